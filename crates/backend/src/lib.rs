//! Clients of model engines, plain services, the weight store and the
//! instance list.
//!
//! [`proto`] defines the published protocols of these systems: JSON over
//! HTTP/1.1. No code of this workspace runs on their instances.
//!
//! A [`Connection`] reads the backend server's boot id when it opens. Since a
//! TCP connection does not survive a restart, a request sent over it reaches
//! either that incarnation of the server or none. Each [`Failure`] reports
//! whether the request may have run: `not-run` only if no byte of it was written,
//! or if the response is one that the protocol defines as a refusal.

mod answer;
mod bounds;
mod connection;
pub mod engine;
mod failure;
mod gate;
pub mod listing;
mod pool;
pub mod proto;
pub mod service;
pub mod sse;
pub mod weights;

pub use answer::Answer;
pub use bounds::Bounds;
pub use connection::Connection;
pub use failure::{Changed, Failure};
pub use pool::{Pool, Target};
