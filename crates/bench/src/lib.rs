//! Load, experiments and measurements of the whole path.
//!
//! A [`Deployment`] runs entry nodes and the stand-ins in one process, on
//! loopback, with ports that the system chooses. [`Client`] calls it as callers
//! and operators do.

mod client;
mod deployment;

pub use client::{Answer, Client, Streamed};
pub use deployment::{Deployment, Error, Kind, OPERATOR_TOKEN, Options, api_key};
