//! Admission: slots, warmth, fair shares, bounded queues.
//!
//! This crate does no I/O: each function takes the state, an event and the
//! current time, and returns a result. Drivers read clocks and act on results.
//!
//! A request passes the modules in this order: [`limit`] checks the client
//! account's rates and concurrency, [`Queue`] orders waiting requests by weighted
//! fair queueing, [`slot`] grants the permit for one request in progress at one
//! server, and [`stats`] records the request's latencies.
//!
//! Invariant: over all entry nodes, the permits in use at one server never exceed
//! that server's limit, without a message between nodes for each request.

pub mod fifo;
pub mod limit;
mod queue;
pub mod slot;
pub mod stats;

pub use queue::{Bounds, Entry, Popped, Queue};
