//! Simulated external systems with fault injection, for tests and benchmarks.
//!
//! A [`World`] starts a log service, an instance list, a weight store, model
//! engines and plain services on loopback, each a server of its own. Its
//! [`Command`]s inject faults, and its [`Counters`] record what the servers
//! received. Tests check guarantees against these counters, so the servers never
//! help to keep the guarantees, for example by deduplicating requests.

mod cache;
mod command;
mod counters;
pub mod engine;
mod host;
mod platform;
mod server;
mod service;
mod shape;
mod stream;
mod survey;
mod world;

pub use command::{Command, Place};
pub use counters::Counters;
pub use host::Mode;
pub use server::{Faults, Server};
pub use shape::{Domain, Shape};
pub use survey::{Serving, Survey};
pub use world::{Process, World, serve};
