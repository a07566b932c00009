//! What the fakes saw, from which the promises are judged.

use crate::step::Work;
use clock::Moment;
use verdict::Verdict;

/// What a caller was told last.
#[common::plain]
pub enum Outcome {
    /// A whole answer with its text.
    Complete(String),
    /// An error.
    Failed(Verdict),
    /// The connection broke, which says nothing.
    Disconnected,
}

/// One request of a caller.
#[common::plain]
pub struct Request {
    /// Its kind.
    pub work: Work,
    /// The entry node to which it went.
    pub node: usize,
    /// The number of its key; requests with one key are repeats.
    pub key: usize,
    /// What the caller was told, and when.
    pub outcome: Option<(Outcome, Moment)>,
    /// The text that was delivered.
    pub text: String,
    /// How often a backend server began to work on it.
    pub executions: u32,
}

/// A fact that some fake noticed and that breaks a promise.
#[common::plain]
pub struct Finding {
    /// The promise.
    pub invariant: crate::Invariant,
    /// When.
    pub at: Moment,
    /// What was seen.
    pub text: String,
}

/// What the fakes saw in one run.
#[derive(Debug, Default, Clone)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<Request>,
    /// The facts that break a promise.
    pub findings: Vec<Finding>,
    /// The number of faults that struck.
    pub injected: u32,
    /// The request at which the first fault struck.
    pub target: Option<usize>,
    /// The number of times that each step was reached.
    pub reached: std::collections::BTreeMap<(Work, crate::Step), u32>,
}
