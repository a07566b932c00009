//! What the servers have seen.

use name::{Domain, Instance};
use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};
use tokio::time::Instant;

/// A request that a backend server began.
#[common::value]
pub struct Begun {
    /// When, in milliseconds since the stand-ins started.
    pub at_ms: u64,
    /// In which failure domain.
    pub domain: Domain,
    /// At which instance.
    pub instance: Instance,
}

/// What the servers have seen.
#[common::value]
#[derive(Default)]
pub struct Counters {
    /// Backend servers that fell over because they were overloaded while cold.
    pub cold_overloads: u64,
    /// Runs of calls by idempotency key.
    pub runs_per_key: BTreeMap<String, u64>,
    /// Requests that a replica served although a member was missing.
    pub served_with_missing_member: u64,
    /// Requests that a replica refused because a member was missing.
    pub refused_with_missing_member: u64,
    /// Orders that an engine obeyed although it had seen a later generation.
    pub stale_orders_obeyed: u64,
    /// Orders that an engine refused as stale.
    pub stale_orders_refused: u64,
    /// Resumes whose text is not that of the answer.
    pub wrong_resumes: u64,
    /// Answers generated to their end.
    pub whole_answers: u64,
    /// Attempts that were cancelled or whose caller went away.
    pub abandoned: u64,
    /// Loads of weights that were started.
    pub loads: u64,
    /// Requests for appends to the log.
    pub appends: u64,
    /// Requests for records of the log.
    pub reads: u64,
    /// Requests that were begun.
    pub begun: Vec<Begun>,
}

impl Counters {
    /// Returns the requests begun in `domain` later than `since_ms`.
    pub fn begun(&self, domain: &Domain, since_ms: u64) -> usize {
        let late = |begun: &&Begun| begun.at_ms > since_ms && begun.domain == *domain;
        self.begun.iter().filter(late).count()
    }

    /// Returns the largest number of runs of one idempotency key.
    pub fn most_runs(&self) -> u64 {
        self.runs_per_key.values().copied().max().unwrap_or(0)
    }
}

/// Counters that all servers share. No other lock is taken while they are locked.
#[derive(Debug)]
pub(crate) struct Shared {
    start: Instant,
    counters: Mutex<Counters>,
}

impl Shared {
    /// Returns counters at zero.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            counters: Mutex::default(),
        }
    }

    /// Returns the time since the start in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Changes the counters.
    pub(crate) fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.counters.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns what `ask` finds in the counters.
    pub(crate) fn inspect<T>(&self, ask: impl FnOnce(&Counters) -> T) -> T {
        ask(&self.counters.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
