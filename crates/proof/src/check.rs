//! The ten promises, each judged over what the fakes saw.

use crate::{
    simulation::{expected, length},
    step::Work,
    trace::{Request, Told, Trace},
};
use std::{collections::BTreeMap, fmt};
use verdict::Verdict;

/// A promise that must hold whatever fails.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Promise {
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

impl Promise {
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
        let noted = trace.notes.iter().filter(|note| note.promise == self);
        let mut found: Vec<String> = noted
            .map(|note| format!("at {} ms: {}", note.at.0 / 1_000, note.text))
            .collect();
        match self {
            Self::OwnAnswer => found.extend(own_answer(trace)),
            Self::NotRun => found.extend(not_run(trace)),
            Self::AtMostOnce => found.extend(at_most_once(trace)),
            _ => {}
        }
        let violation = |text| Violation {
            promise: self,
            text,
        };
        found.into_iter().map(violation).collect()
    }
}

/// A broken promise.
#[common::plain]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.text)
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
        let whole = expected(own, length(request.work, own));
        if !whole.starts_with(&request.text) {
            return Some(format!("request {id} was delivered {:?}", request.text));
        }
        match &request.told {
            Some((Told::Whole(text), _)) if *text != whole => {
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
    let begun = begun(trace);
    let wrong = |(id, request): (usize, &Request)| {
        let is_denied = matches!(request.told, Some((Told::Failed(Verdict::NotRun), _)));
        let runs = match request.work {
            Work::Booking => begun.get(&request.key).copied().unwrap_or_default(),
            _ => request.begun,
        };
        (is_denied && runs > 0).then(|| format!("request {id} was told not-run and ran"))
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
    let begun = begun(trace).into_iter();
    begun
        .filter(|(_, runs)| *runs > 1)
        .map(|(key, runs)| format!("key {key} ran {runs} times"))
        .collect()
}

/// Returns how often each key ran.
fn begun(trace: &Trace) -> BTreeMap<usize, u32> {
    let mut runs = BTreeMap::new();
    for request in trace.requests.iter().filter(|r| r.work == Work::Booking) {
        *runs.entry(request.key).or_default() += request.begun;
    }
    runs
}
