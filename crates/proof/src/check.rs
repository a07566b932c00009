//! The ten promises, each judged over what the fakes saw.

use crate::{
    simulation::{expected_answer, frame_count},
    step::Work,
    trace::{Outcome, Request, Trace},
};
use std::{collections::BTreeMap, fmt};
use verdict::Verdict;

/// A promise that must hold whatever fails.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// No replica is sent a request long after one of its instances was lost.
    WholeReplica,
    /// No instance belongs to two replicas.
    OneReplica,
    /// A server that has just started holds no more than its cold limit.
    ColdLimit,
    /// A failure domain that was taken out is sent no new work.
    TakenOut,
    /// A caller gets the whole of its own answer, or an error.
    OwnAnswer,
    /// What was said to be not run has not run.
    NotRun,
    /// A request with a key runs at most once.
    AtMostOnce,
    /// A server that leaves is sent no new work.
    Leaving,
    /// A planned stop cuts off no request.
    PlannedStop,
    /// An accepted configuration comes into force everywhere and stays.
    Configuration,
}

impl Invariant {
    /// Every promise.
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

    /// Returns the violations of the promise in one run.
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

/// A broken promise.
#[common::plain]
pub struct Violation {
    /// The promise.
    pub invariant: Invariant,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.text)
    }
}

/// Returns the callers that got something else than their own answer.
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
                Some(format!("request {id} was told that {text:?} is whole"))
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

/// Returns the requests that were said to be not run and did run.
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
        (reports_not_run && runs > 0).then(|| format!("request {id} was told not-run and ran"))
    };
    trace
        .requests
        .iter()
        .enumerate()
        .filter_map(wrong)
        .collect()
}

/// Returns the keys that ran more than once.
fn at_most_once(trace: &Trace) -> Vec<String> {
    let executions_by_key = executions_by_key(trace).into_iter();
    executions_by_key
        .filter(|(_, runs)| *runs > 1)
        .map(|(key, runs)| format!("key {key} ran {runs} times"))
        .collect()
}

/// Returns how often each key ran.
fn executions_by_key(trace: &Trace) -> BTreeMap<usize, u32> {
    let mut runs = BTreeMap::new();
    for request in trace.requests.iter().filter(|r| r.work == Work::Booking) {
        *runs.entry(request.key).or_default() += request.executions;
    }
    runs
}
