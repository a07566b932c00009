//! Clients of model engines, plain services, the weight store and the
//! instance list.
//!
//! [`proto`] holds the published protocols that these systems speak: JSON over
//! HTTP/1.1. Nothing of this system runs on their instances.
//!
//! A [`Connection`] reads the backend server's boot id when it opens. Since a
//! TCP connection does not survive a restart, a request that goes over it
//! reaches that life of the server or none. Each [`Failure`] says whether the
//! request may have run: `not-run` only if no byte of it left, or if the server
//! refused it by definition.

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
