//! The fault matrix: every fault at every step, on virtual time.
//!
//! A [`World`] holds three entry nodes, eight backend servers and the platform's
//! log as plain data, and one queue of messages in the order of virtual time.
//! The nodes decide with the same pure functions as the daemon; what carries
//! their decisions out here is a short copy of the daemon's drivers. A [`Fault`]
//! strikes when a request or a control action reaches a [`Step`], and ten
//! functions over the [`Trace`] say which [`Promise`] was broken.
//!
//! Runs are deterministic: the same plan and seed give the same trace.

mod backend;
mod check;
mod control;
mod fault;
mod matrix;
mod node;
mod request;
mod simulation;
mod step;
mod table;
mod trace;

pub use check::{Invariant, Violation};
pub use matrix::{Cell, Report, pair, run_cells, run_pairs};
pub use simulation::{Plan, Simulation};
pub use step::{Fault, Injection, Mutation, Step, Victim, Work, excluded};
pub use trace::{Outcome, Trace};
