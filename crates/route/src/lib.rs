//! Routing: choice of replica, prefix affinity, retries, resume.
//!
//! This crate does no I/O: callers pass in state, events, the current time and a
//! random number generator. A driver keeps a [`Load`] for each replica and a
//! [`prefix::Index`], calls [`choose`] for each attempt, validates the answer's
//! frames with [`answer::Progress`], and calls [`retry`] after a failure.
//!
//! Load reports and cache events are hints: a wrong one costs time, never
//! correctness. The limit of a server is enforced by slots, not here.

pub mod answer;
mod choice;
mod engine_prefix;
mod load;
mod policy;
pub mod prefix;
pub mod retry;

pub use choice::{Candidate, Choice, Reason, Request, choose, replica_key};
pub use engine_prefix::{EnginePrefixMap, RoutePrefixes};
pub use load::Load;
pub use policy::{ParsePolicyError, Policy};
