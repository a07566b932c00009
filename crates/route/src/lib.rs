//! Routing: choice of replica, prefix affinity, retries, resume.
//!
//! Everything here is a pure decision: state, an event, the current moment and
//! a random source come in. A driver keeps a [`Load`] for each replica and a
//! [`prefix::Index`], calls [`choose`] for each attempt, follows the answer with
//! [`answer::Progress`], and asks [`retry`] what to do after a failure.
//!
//! Load reports and cache events are hints: a wrong one costs time, never
//! correctness. What a server may bear is decided by slots, not here.

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
