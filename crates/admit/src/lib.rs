//! Admission: slots, warmth, fair shares, bounded queues.
//!
//! Everything here is a pure decision: state, an event and the current moment
//! give a new state and a result. Drivers read clocks and carry results out.
//!
//! A request passes the modules in this order: [`limit`] checks the client
//! account's rates and concurrency, [`Queue`] orders what waits by weighted
//! fair shares, [`slot`] grants the right to one request in progress at one
//! server, and [`stats`] keeps the times that the request took.
//!
//! The invariant: over all entry nodes, permits in use at one server never
//! exceed what that server bears, without a message for each request.

pub mod fifo;
pub mod limit;
mod queue;
pub mod slot;
pub mod stats;

pub use queue::{Bounds, Entry, Popped, Queue};
