//! Prompt parts that crash servers, and the requests that are withheld for them.
//!
//! The decisions are those of [`quarantine::Table`]; [`crate::exchange`] sends the
//! crash histories to the other nodes.

use crate::{admit::Job, slot::Slot, state::Shared};
use clock::Moment;
use quarantine::{Change, Level, Part, Record, Refusal, Server};
use slog::info;
use std::time::Duration;
use tokio::time::timeout;
use verdict::Kind;

/// The longest time that a request waits for the next trial of a suspected part.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// The minimum retry delay for callers of withheld requests.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Shared {
    /// Records the crash of a server while the answer of a request had just begun.
    pub(crate) fn record_crash(&self, job: &Job, slot: &Slot) {
        if job.parts.is_empty() {
            return;
        }
        let target = &slot.choice.target;
        let server = Server::new(&target.server, target.incarnation);
        let now = self.now();
        let mut tables = self.tables();
        let affected = tables.quarantine.record_crash(&job.parts, server, now);
        if affected.is_empty() {
            return;
        }
        for part in &affected {
            tables.outbox.add_part(*part, now);
        }
        let changes = tables.assess_parts(now);
        drop(tables);
        info!(self.log, "server crashed while an answer began"; "id" => &*job.call.attempt_id,
            "server" => %target.server, "incarnation" => target.incarnation, "parts" => format_parts(&affected));
        self.metrics.count("quarantine", "crash");
        self.apply_changes(&changes, "own");
        self.exchange_due.notify_one();
    }

    /// Clears the parts of a request whose answer went on past its beginning.
    pub(crate) fn record_success(&self, job: &Job) {
        if job.parts.is_empty() {
            return;
        }
        let now = self.now();
        let mut tables = self.tables();
        let cleared = tables.quarantine.record_success(&job.parts, now);
        if cleared.is_empty() {
            return;
        }
        let at = now + tables.random_send_delay();
        for part in &cleared {
            tables.outbox.add_part(*part, at);
        }
        let changes = tables.assess_parts(now);
        drop(tables);
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
            info!(self.log, "treatment of a prompt part changed"; "part" => format_part(change.part),
                "level" => level, "crashes" => change.crashes, "source" => source,
                "last_crash_age_ms" => change.last_crash_age.as_millis() as u64);
        }
        if !changes.is_empty() {
            self.treatment_changes.send_modify(|count| *count += 1);
        }
    }

    /// Applies crash histories that another node sent.
    pub(crate) fn apply_records(&self, records: &[Record], source: &str) {
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
    }
}

impl crate::state::Tables {
    /// Decides again how parts are treated.
    fn assess_parts(&mut self, now: Moment) -> Vec<Change> {
        let nodes = self.peers.node_count();
        self.quarantine.assess(nodes, now, &mut rand::rng())
    }
}

impl Job {
    /// Waits until the request may be sent, if its parts are under suspicion.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the wait would be long.
    pub(crate) async fn wait_for_trial(&self, shared: &Shared) -> Result<(), Refusal> {
        if self.parts.is_empty() {
            return Ok(());
        }
        let mut changes = shared.treatment_changes.subscribe();
        let give_up_at = shared.now() + MAX_TRIAL_WAIT;
        loop {
            let now = shared.now();
            let Some(refusal) = shared.tables().quarantine.refusal(&self.parts, now) else {
                return Ok(());
            };
            let trial_at = now + refusal.wait;
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

    /// Records that the request is sent, or withholds it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if a part of the prompt is under suspicion.
    pub(crate) fn begin_trial(&self, shared: &Shared) -> Result<(), Refusal> {
        if self.parts.is_empty() {
            return Ok(());
        }
        let now = shared.now();
        let mut tables = shared.tables();
        let nodes = tables.peers.node_count();
        tables.quarantine.admit(&self.parts, nodes, now)
    }

    /// Returns the digest of the request, which is the same for each attempt of its caller.
    pub(crate) fn digest(&self) -> u64 {
        let account = self.account.as_ref().map_or("", |account| account.as_str());
        quarantine::request_digest(&[
            account.as_bytes(),
            self.outgoing.method.as_str().as_bytes(),
            self.call.host.as_bytes(),
            self.outgoing.path_and_query.as_bytes(),
            &self.outgoing.body,
        ])
    }

    /// Returns whether a part of the prompt is quarantined.
    pub(crate) fn is_quarantined(&self, shared: &Shared) -> bool {
        !self.parts.is_empty() && shared.tables().quarantine.is_quarantined(&self.parts)
    }
}

/// Returns the message and the retry delay for the caller of a withheld request.
pub(crate) fn withheld_error(
    shared: &Shared,
    job: &Job,
    refusal: &Refusal,
) -> (Kind, &'static str, Duration) {
    shared.metrics.count("quarantine", "withheld");
    info!(shared.log, "request withheld"; "id" => &*job.call.attempt_id, "part" => format_part(refusal.part),
        "level" => ?refusal.level, "crashes" => refusal.crashes, "wait_ms" => refusal.wait.as_millis() as u64,
        "interval_ms" => refusal.interval.as_millis() as u64);
    let message = "a part of the prompt is quarantined because servers crashed on it";
    (
        Kind::Unavailable,
        message,
        refusal.interval.max(MIN_RETRY_DELAY),
    )
}

/// Returns the text of a digest.
pub(crate) fn format_digest(digest: u64) -> String {
    format!("{digest:016x}")
}

/// Returns the text of a part's digest.
fn format_part(part: Part) -> String {
    format_digest(part.0)
}

/// Returns the text of several parts' digests.
fn format_parts(parts: &[Part]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format_part(*part)).collect();
    parts.join(",")
}
