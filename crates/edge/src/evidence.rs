//! Requests that crash servers, and those that are withheld for it.
//!
//! The decisions are those of [`quarantine::Table`]; [`crate::end_check`] tells crashes from
//! lost connections, and [`crate::exchange`] sends the crash histories to the other nodes.

use crate::{
    admit::Job,
    end_check::check_reported,
    slot::Slot,
    state::{Shared, Tables},
};
use clock::Moment;
use name::Instance;
use quarantine::{Change, Level, Part, Record, Refusal, Server};
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;
use verdict::Kind;

/// The longest time that a request waits for the next trial of a suspected part.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// The minimum retry delay for callers of withheld requests.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How much of a response had come when the connection to its server was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// At most its beginning.
    Begun,
    /// More than its beginning.
    PastBeginning,
}

/// A connection that a server lost while it ran a request.
#[derive(Debug, Clone)]
pub(crate) struct Loss {
    /// The parts of the request that may have crashed the server.
    pub(crate) parts: Vec<Part>,
    /// The server.
    pub(crate) server: Instance,
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// How long it had worked on the request.
    pub(crate) run: Duration,
    /// When the connection was lost.
    pub(crate) at: Moment,
}

impl Loss {
    /// Returns the digest of the server's incarnation.
    pub(crate) fn digest(&self) -> Server {
        Server::new(&self.server, self.incarnation)
    }
}

impl Shared {
    /// Records that a server lost the connection on which it ran a request.
    ///
    /// If the server has ended, the whole request may be the cause, and if the response
    /// had just begun, also each shared part of its prompt.
    pub(crate) async fn record_loss(&self, job: &Job, slot: &Slot, progress: Progress) {
        // Another node records the losses of the servers that it uses.
        if slot.node.is_some() {
            return;
        }
        let target = &slot.choice.target;
        let at = self.now();
        let mut parts = vec![job.whole()];
        if progress == Progress::Begun {
            parts.extend(job.prompt_parts.iter());
        }
        let loss = Loss {
            parts,
            server: target.server.clone(),
            incarnation: target.incarnation,
            run: at.since(slot.acquired_at),
            at,
        };
        if self.has_ended(&loss, target).await {
            self.record_crash(&mut self.tables(), &loss);
        }
    }

    /// Records the crashes of servers that were seen to start again.
    pub(crate) fn record_restarts(&self, tables: &mut Tables) {
        let Tables {
            fleet, end_checks, ..
        } = tables;
        let incarnation = |id: &_| fleet.server(id).map(|server| server.incarnation);
        let confirmed = end_checks.take_confirmed(incarnation, self.now());
        for loss in confirmed {
            self.record_crash(tables, &loss);
        }
    }

    /// Records the crash of a server while it ran a request.
    fn record_crash(&self, tables: &mut Tables, loss: &Loss) {
        let table = &mut tables.quarantine;
        let affected = table.record_crash(&loss.parts, loss.digest(), loss.run, loss.at);
        if affected.is_empty() {
            return;
        }
        let now = self.now();
        for part in &affected {
            tables.outbox.add_part(*part, now);
        }
        let changes = tables.assess_parts(now);
        info!(self.log, "server crashed while it ran a request"; "server" => %loss.server,
            "incarnation" => loss.incarnation, "run_ms" => loss.run.as_millis() as u64,
            "age_ms" => now.since(loss.at).as_millis() as u64, "parts" => format_parts(&affected));
        self.metrics.count("quarantine", "crash");
        self.apply_changes(&changes, "own");
        self.exchange_due.notify_one();
    }

    /// Clears the prompt's parts of a request whose answer went on past its beginning.
    pub(crate) fn record_progress(&self, job: &Job) {
        if !job.prompt_parts.is_empty() {
            self.clear(&job.prompt_parts);
        }
    }

    /// Clears a request whose answer is complete.
    pub(crate) fn record_completion(&self, job: &Job) {
        self.record_progress(job);
        if self.tables().quarantine.has_requests() {
            self.clear(&[job.whole()]);
        }
    }

    /// Clears parts of requests, and returns those whose history changed.
    pub(crate) fn clear(&self, parts: &[Part]) -> Vec<Part> {
        let now = self.now();
        let mut tables = self.tables();
        let cleared = tables.quarantine.record_success(parts, now);
        self.apply_cleared(&mut tables, &cleared, now);
        cleared
    }

    /// Clears all crashes of a server that has not ended.
    pub(crate) fn refute(&self, server: Server) {
        let now = self.now();
        let mut tables = self.tables();
        let cleared = tables.quarantine.refute(server);
        self.apply_cleared(&mut tables, &cleared, now);
    }

    /// Decides again after crashes of parts were cleared, and sends them to all nodes.
    fn apply_cleared(&self, tables: &mut Tables, cleared: &[Part], now: Moment) {
        if cleared.is_empty() {
            return;
        }
        let at = now + tables.random_send_delay();
        for part in cleared {
            tables.outbox.add_part(*part, at);
        }
        let changes = tables.assess_parts(now);
        self.metrics.count("quarantine", "cleared");
        self.apply_changes(&changes, "own");
        self.exchange_due.notify_one();
    }

    /// Logs parts whose level changed, and wakes the requests that depend on them.
    fn apply_changes(&self, changes: &[Change], source: &str) {
        for change in changes {
            let level = match change.level {
                Level::Allowed => "allowed",
                Level::Suspected => "suspected",
                Level::Quarantined => "quarantined",
            };
            self.metrics.count("quarantine", level);
            info!(self.log, "treatment of a request's part changed"; "kind" => change.part.kind(),
                "part" => format_digest(change.part.digest()), "level" => level, "crashes" => change.crashes, "source" => source,
                "last_crash_age_ms" => change.last_crash_age.as_millis() as u64);
        }
        if !changes.is_empty() {
            self.treatment_changes.send_modify(|count| *count += 1);
        }
    }

    /// Applies crash histories that another node sent.
    pub(crate) fn apply_records(self: &Arc<Self>, records: &[Record], source: &str) {
        let now = self.now();
        let mut tables = self.tables();
        let mut is_changed = false;
        for record in records {
            is_changed |= tables.quarantine.merge(record, now);
            if tables.quarantine.is_covered_by(record, now) {
                tables.outbox.remove_part(record.part);
            }
        }
        if !is_changed {
            return;
        }
        let changes = tables.assess_parts(now);
        drop(tables);
        self.apply_changes(&changes, source);
        check_reported(self, records, source);
    }
}

impl Tables {
    /// Decides again how parts are treated.
    fn assess_parts(&mut self, now: Moment) -> Vec<Change> {
        self.quarantine.assess(now, &mut rand::rng())
    }
}

impl Job {
    /// Returns the digest of the whole request, which is the same for each attempt of its
    /// caller.
    pub(crate) fn whole(&self) -> Part {
        *self.whole.get_or_init(|| {
            let account = self.account.as_ref().map_or("", |account| account.as_str());
            let body = self.outgoing.body.pieces().iter();
            let body: Vec<&[u8]> = body.map(|piece| &piece[..]).collect();
            Part::request_in_pieces(&[
                &[account.as_bytes()],
                &[self.outgoing.method.as_str().as_bytes()],
                &[self.call.host.as_bytes()],
                &[self.outgoing.path_and_query.as_bytes()],
                &body,
            ])
        })
    }

    /// Returns the parts of the request that may be under suspicion.
    ///
    /// The digest of the whole request is computed only while one is.
    fn parts(&self, shared: &Shared) -> Vec<Part> {
        let has_requests = shared.tables().quarantine.has_requests();
        let whole = has_requests.then(|| self.whole());
        let parts = self.prompt_parts.iter().copied();
        whole.into_iter().chain(parts).collect()
    }

    /// Returns the digest that selects the server for a request under suspicion.
    pub(crate) fn trial_digest(&self, shared: &Shared) -> Option<u64> {
        let has_requests = shared.tables().quarantine.has_requests();
        let whole = has_requests.then(|| self.whole())?;
        let is_suspected = shared.tables().quarantine.is_suspected(whole);
        is_suspected.then(|| whole.digest())
    }

    /// Waits until the request may be sent, if its parts are under suspicion.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the wait would be long.
    pub(crate) async fn wait_for_trial(&self, shared: &Shared) -> Result<(), Refusal> {
        let mut changes = shared.treatment_changes.subscribe();
        let give_up_at = shared.now() + MAX_TRIAL_WAIT;
        loop {
            let Some(refusal) = self.refusal(shared) else {
                return Ok(());
            };
            let trial_at = shared.now() + refusal.wait;
            if refusal.level == Level::Quarantined
                || trial_at > give_up_at
                || trial_at > self.deadline
            {
                return Err(refusal);
            }
            // The wait also ends if the parts are cleared or quarantined meanwhile.
            let _ = timeout(refusal.wait, changes.changed()).await;
        }
    }

    /// Returns why the request is withheld now; `None` if it is not.
    fn refusal(&self, shared: &Shared) -> Option<Refusal> {
        let parts = self.parts(shared);
        let tables = shared.tables();
        let nodes = tables.peers.node_count();
        tables.quarantine.refusal(&parts, nodes, shared.now())
    }

    /// Records that the request is sent, or withholds it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a part of the request is under suspicion.
    pub(crate) fn begin_trial(&self, shared: &Shared) -> Result<(), Refusal> {
        let parts = self.parts(shared);
        let now = shared.now();
        let mut tables = shared.tables();
        let nodes = tables.peers.node_count();
        tables.quarantine.admit(&parts, nodes, now)
    }

    /// Returns whether a part of the request is quarantined.
    pub(crate) fn is_quarantined(&self, shared: &Shared) -> bool {
        let parts = self.parts(shared);
        shared.tables().quarantine.is_quarantined(&parts)
    }
}

/// Returns the message and the retry delay for the caller of a withheld request.
pub(crate) fn withheld_error(
    shared: &Shared,
    job: &Job,
    refusal: &Refusal,
) -> (Kind, &'static str, Duration) {
    shared.metrics.count("quarantine", "withheld");
    info!(shared.log, "request withheld"; "id" => &*job.call.attempt_id, "kind" => refusal.part.kind(),
        "part" => format_digest(refusal.part.digest()), "level" => ?refusal.level,
        "crashes" => refusal.crashes, "wait_ms" => refusal.wait.as_millis() as u64,
        "interval_ms" => refusal.interval.as_millis() as u64);
    (
        Kind::Unavailable,
        refusal.message(),
        refusal.interval.max(MIN_RETRY_DELAY),
    )
}

/// Returns the text of a digest.
pub(crate) fn format_digest(digest: u64) -> String {
    format!("{digest:016x}")
}

/// Returns the text of several parts.
fn format_parts(parts: &[Part]) -> String {
    let text = |part: &Part| format!("{} {:016x}", part.kind(), part.digest());
    parts.iter().map(text).collect::<Vec<_>>().join(", ")
}
