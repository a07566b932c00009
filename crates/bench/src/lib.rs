//! End-to-end load generation, fault scenarios and measurements.
//!
//! A [`Deployment`] runs entry nodes and the stand-ins in one process, on
//! loopback, with ports that the operating system chooses. [`Client`] calls it
//! as callers and operators do. [`run`] applies a seeded load while a
//! [`Scenario`] injects its faults, and returns the measurements as a [`Run`];
//! a [`Report`] formats several runs.

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

pub use client::{Answer, Client, StreamedAnswer};
pub use deployment::{Deployment, Error, Kind, OPERATOR_TOKEN, Options, api_key};
pub use report::{Report, Run};
pub use run::{Setup, run};
pub use scenario::Scenario;
