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
mod checked_stream;
mod connection;
pub mod engine;
mod failure;
mod limits;
pub mod listing;
mod pool;
pub mod proto;
pub mod service;
pub mod sse;
pub mod weights;

pub use answer::Answer;
pub use connection::Connection;
pub use failure::{Failure, Restart};
pub use limits::Limits;
pub use pool::{Pool, Target};
