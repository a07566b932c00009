//! Counters of the requests that the servers received.

use name::{Domain, Instance};
use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};
use tokio::time::Instant;

/// A request that a backend server started.
#[common::value]
pub struct StartedRequest {
    /// The time in milliseconds since the start of the world.
    pub at_ms: u64,
    /// The failure domain of the server.
    pub domain: Domain,
    /// The instance of the server.
    pub instance: Instance,
}

/// Counters of all servers.
#[common::value]
#[derive(Default)]
pub struct Counters {
    /// Restarts of backend servers that were overloaded while cold.
    pub cold_overloads: u64,
    /// Runs of calls by idempotency key.
    pub runs_per_key: BTreeMap<String, u64>,
    /// Requests that a replica served while a member was missing.
    pub served_with_missing_member: u64,
    /// Requests that a replica refused because a member was missing.
    pub refused_with_missing_member: u64,
    /// Orders that an engine executed after it had received a later generation.
    pub stale_orders_obeyed: u64,
    /// Orders that an engine refused as stale.
    pub stale_orders_refused: u64,
    /// Resumed requests whose delivered text differs from the answer.
    pub wrong_resumes: u64,
    /// Answers generated to their end.
    pub whole_answers: u64,
    /// Attempts that were cancelled or whose caller disconnected.
    pub abandoned: u64,
    /// Weight loads that were started.
    pub loads: u64,
    /// Append requests to the log.
    pub appends: u64,
    /// Read requests to the log.
    pub reads: u64,
    /// Requests that backend servers started.
    pub begun: Vec<StartedRequest>,
}

impl Counters {
    /// Returns the number of requests started in `domain` later than `since_ms`.
    pub fn started_requests(&self, domain: &Domain, since_ms: u64) -> usize {
        let is_counted =
            |begun: &&StartedRequest| begun.at_ms > since_ms && begun.domain == *domain;
        self.begun.iter().filter(is_counted).count()
    }

    /// Returns the max number of runs of one idempotency key.
    pub fn max_runs_per_key(&self) -> u64 {
        self.runs_per_key.values().copied().max().unwrap_or(0)
    }
}

/// The counters shared by all servers.
///
/// No other lock is taken while they are locked.
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

    /// Updates the counters.
    pub(crate) fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.counters.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Calls `ask` with the counters.
    pub(crate) fn inspect<T>(&self, ask: impl FnOnce(&Counters) -> T) -> T {
        ask(&self.counters.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
