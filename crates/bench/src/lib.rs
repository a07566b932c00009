//! Load, experiments and measurements of the whole path.
//!
//! A [`Deployment`] runs entry nodes and the stand-ins in one process, on
//! loopback, with ports that the system chooses. [`Client`] calls it as callers
//! and operators do. [`run`] puts a seeded load on it while a [`Scenario`]
//! happens, and gives what one [`Run`] measured; a [`Report`] shows several.

mod caller;
mod client;
mod deployment;
mod load;
pub mod policy;
mod probe;
mod report;
mod run;
mod sample;
mod scenario;

pub use client::{Answer, Client, Streamed};
pub use deployment::{Deployment, Error, Kind, OPERATOR_TOKEN, Options, api_key};
pub use report::{Report, Run};
pub use run::{Setup, run};
pub use scenario::Scenario;
