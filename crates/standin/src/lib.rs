//! Small fakes of the systems outside, with fault switches.
//!
//! A [`World`] starts a log service, an instance list, a weight store, model
//! engines and plain services on loopback, each a server of its own. Its
//! [`Command`]s bring about faults, and its [`Counters`] tell what the servers
//! have seen: they are the judges of the promises, so they never help to keep
//! them.

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
