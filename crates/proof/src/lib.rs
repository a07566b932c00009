//! Deterministic fault injection: every fault at every step, on virtual time.
//!
//! A [`Simulation`] holds three entry nodes, nine backend servers and the platform's
//! log as plain data, and a message queue ordered by virtual time. The nodes
//! decide with the same pure functions as the daemon; the simulation has its own
//! short version of the daemon's input and output. A [`Fault`] is injected when a
//! request or a control action reaches a [`Step`], and ten functions over the
//! [`Trace`] report each violated [`Invariant`].
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
