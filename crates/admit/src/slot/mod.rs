//! Concurrency slots: each permits one request in progress at one server.
//!
//! Each server has numbered slots. [`Ownership`] assigns each slot to one entry
//! node by rendezvous hashing over the epoch's peers, so that a request needs no
//! message between nodes and the sum over all nodes is bounded in any outage.
//! A [`Gate`] tracks the slots that one node owns at one server and decides how
//! many of them are open.
//!
//! The bound is exact for a server that turns cold by a restart: permits for slots
//! below the cold limit are valid after a restart, and the others only over a
//! connection on which the permit's boot id was seen, which a restart breaks. A
//! server that turns cold without a restart keeps its requests in progress; from
//! the next [`CapacityReport`] on, no request is added until their number is below
//! the node's share of the cold limit.

mod gate;
mod ownership;
mod warmth;

pub use gate::{Completion, Ending, Gate, Permit, Timing};
pub use ownership::Ownership;
pub use warmth::CapacityReport;
