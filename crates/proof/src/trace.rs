//! The trace of a run, over which the invariants are checked.

use crate::step::Work;
use clock::Moment;
use verdict::Verdict;

/// The result that a caller received.
#[common::plain]
pub enum Outcome {
    /// A complete answer with its text.
    Complete(String),
    /// An error.
    Failed(Verdict),
    /// The connection broke, so it is unknown whether the request ran.
    Disconnected,
}

/// One request of a caller.
#[common::plain]
pub struct Request {
    /// The kind of work.
    pub work: Work,
    /// The index of the entry node that received it.
    pub node: usize,
    /// The index of the first request with the same idempotency key, or its own index.
    pub key: usize,
    /// The first result that the caller received, and when.
    pub outcome: Option<(Outcome, Moment)>,
    /// The text delivered to the caller; collected for drafts only.
    pub text: String,
    /// The number of times that a backend server started to execute it.
    pub executions: u32,
}

/// A violation that was observed during the run.
#[common::plain]
pub struct Finding {
    /// The violated invariant.
    pub invariant: crate::Invariant,
    /// The virtual time of the observation.
    pub at: Moment,
    /// What was observed.
    pub text: String,
}

/// The observations of one run.
#[derive(Debug, Default, Clone)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<Request>,
    /// The violations observed during the run.
    pub findings: Vec<Finding>,
    /// The number of injected faults.
    pub injected: u32,
    /// The request during which the first fault was injected.
    pub target: Option<usize>,
    /// The number of times that each step was reached.
    pub reached: std::collections::BTreeMap<(Work, crate::Step), u32>,
}
