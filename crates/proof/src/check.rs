//! The ten invariants, each checked over the trace of a run.

use crate::{
    simulation::{expected_answer, frame_count},
    step::Work,
    trace::{Outcome, Request, Trace},
};
use std::{collections::BTreeMap, fmt};
use verdict::Verdict;

/// An invariant that must hold under every fault.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// No replica is sent a request more than 3 s after the loss of a member.
    WholeReplica,
    /// No instance belongs to two replicas.
    OneReplica,
    /// A cold server holds no more requests than its cold limit.
    ColdLimit,
    /// A failure domain that was taken out is sent no new work.
    TakenOut,
    /// A caller receives its own complete answer, or an error.
    OwnAnswer,
    /// A request that was reported as not-run has not run.
    NotRun,
    /// A request with a key runs at most once.
    AtMostOnce,
    /// A server that the platform retires is sent no new work.
    Leaving,
    /// A planned stop or reconfiguration interrupts no request.
    PlannedStop,
    /// An accepted configuration takes effect at every node and is not reverted.
    Configuration,
}

impl Invariant {
    /// Every invariant.
    pub const ALL: [Self; 10] = [
        Self::WholeReplica,
        Self::OneReplica,
        Self::ColdLimit,
        Self::TakenOut,
        Self::OwnAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::Leaving,
        Self::PlannedStop,
        Self::Configuration,
    ];

    /// Returns the violations of the invariant in one run.
    pub fn check(self, trace: &Trace) -> Vec<Violation> {
        let findings = trace
            .findings
            .iter()
            .filter(|finding| finding.invariant == self);
        let mut found: Vec<String> = findings
            .map(|finding| format!("at {} ms: {}", finding.at.0 / 1_000, finding.text))
            .collect();
        match self {
            Self::OwnAnswer => found.extend(own_answer(trace)),
            Self::NotRun => found.extend(not_run(trace)),
            Self::AtMostOnce => found.extend(at_most_once(trace)),
            _ => {}
        }
        let violation = |text| Violation {
            invariant: self,
            text,
        };
        found.into_iter().map(violation).collect()
    }
}

/// A violation of an invariant.
#[common::plain]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.text)
    }
}

/// Describes the requests whose caller received something other than its own answer.
fn own_answer(trace: &Trace) -> Vec<String> {
    let wrong = |(id, request): (usize, &Request)| {
        // The answer to a call with a key belongs to the key's first request.
        let own = if request.work == Work::Booking {
            request.key
        } else {
            id
        };
        let whole = expected_answer(own, frame_count(request.work, own));
        if !whole.starts_with(&request.text) {
            return Some(format!("request {id} was delivered {:?}", request.text));
        }
        match &request.outcome {
            Some((Outcome::Complete(text), _)) if *text != whole => {
                Some(format!("request {id} received {text:?} as complete"))
            }
            _ => None,
        }
    };
    trace
        .requests
        .iter()
        .enumerate()
        .filter_map(wrong)
        .collect()
}

/// Describes the requests that were reported as not-run and did run.
fn not_run(trace: &Trace) -> Vec<String> {
    let executions_by_key = executions_by_key(trace);
    let wrong = |(id, request): (usize, &Request)| {
        let reports_not_run =
            matches!(request.outcome, Some((Outcome::Failed(Verdict::NotRun), _)));
        let runs = match request.work {
            Work::Booking => executions_by_key
                .get(&request.key)
                .copied()
                .unwrap_or_default(),
            _ => request.executions,
        };
        (reports_not_run && runs > 0)
            .then(|| format!("request {id} was reported as not-run and ran"))
    };
    trace
        .requests
        .iter()
        .enumerate()
        .filter_map(wrong)
        .collect()
}

/// Describes the keys that ran more than once.
fn at_most_once(trace: &Trace) -> Vec<String> {
    let executions_by_key = executions_by_key(trace).into_iter();
    executions_by_key
        .filter(|(_, runs)| *runs > 1)
        .map(|(key, runs)| format!("key {key} ran {runs} times"))
        .collect()
}

/// Returns the number of executions of each key.
fn executions_by_key(trace: &Trace) -> BTreeMap<usize, u32> {
    let mut runs = BTreeMap::new();
    for request in trace.requests.iter().filter(|r| r.work == Work::Booking) {
        *runs.entry(request.key).or_default() += request.executions;
    }
    runs
}
