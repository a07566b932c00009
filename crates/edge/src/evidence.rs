//! Evidence on prompt parts that end servers, exchanged between nodes.
//!
//! A node that sees a server end below an answer that had just begun sends the evidence
//! to all other nodes at once. Whether a part was cleared is sent after a random delay
//! that grows with the number of nodes, and not at all if another node sent it first.
//! Each node also sends its evidence to a few others at intervals, and to nodes that
//! have just started, so that lost datagrams and restarts only delay it.

use crate::{admit::Job, slot::Slot, state::Shared};
use clock::Moment;
use quarantine::{Change, Level, Part, Record, Refusal, Server};
use rand::{Rng, seq::IndexedRandom};
use slog::{info, warn};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};
use verdict::Kind;

/// The first byte of a datagram with evidence.
pub(crate) const FORMAT: u8 = 2;

/// The time between two transmissions of all evidence to some other nodes.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of nodes to which all evidence is sent at each interval.
const EXCHANGE_NODES: usize = 2;

/// The number of nodes that send all evidence to a node that has just started.
const NEWCOMER_SENDERS: usize = 8;

/// The maximum number of records in a datagram, which keeps it below 20 kB.
const MAX_RECORDS: usize = 64;

/// The longest delay per other node before it is sent that a part was cleared.
const CLEARED_DELAY_PER_NODE: Duration = Duration::from_millis(2);

/// The minimum time between two transmissions to all nodes.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(20);

/// The longest time that a request waits for the next trial of a suspected part.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// The minimum retry delay for callers of withheld requests.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Evidence that is to be sent to other nodes.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// When the evidence on each part is sent to all nodes.
    due: HashMap<Part, Moment>,
    /// The nodes that have just started.
    newcomers: Vec<SocketAddr>,
}

impl Outbox {
    /// Sends the evidence on a part to all nodes, at a time or earlier.
    fn add(&mut self, part: Part, at: Moment) {
        let due = self.due.entry(part).or_insert(at);
        *due = at.min(*due);
    }

    /// Takes the parts that are due.
    fn take_due(&mut self, now: Moment) -> Vec<Part> {
        let due: Vec<Part> = self
            .due
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(part, _)| *part)
            .take(MAX_RECORDS)
            .collect();
        for part in &due {
            self.due.remove(part);
        }
        due
    }
}

impl Shared {
    /// Accuses the parts of a request whose answer had just begun when its server ended.
    pub(crate) fn accuse_parts(&self, job: &Job, slot: &Slot) {
        if job.parts.is_empty() {
            return;
        }
        let target = &slot.choice.target;
        let server = Server::new(&target.server, target.incarnation);
        let now = self.now();
        let mut tables = self.tables();
        let accused = tables.quarantine.accuse(&job.parts, server, now);
        if accused.is_empty() {
            return;
        }
        for part in &accused {
            tables.evidence.add(*part, now);
        }
        let changes = tables.assess_parts(now);
        drop(tables);
        info!(self.log, "server ended below an answer that had just begun"; "id" => &*job.call.attempt_id,
            "server" => %target.server, "incarnation" => target.incarnation, "parts" => format_parts(&accused));
        self.metrics.count("quarantine", "accused");
        self.apply_changes(&changes, "own");
        self.evidence_due.notify_one();
    }

    /// Clears the parts of a request whose answer went on past its beginning.
    pub(crate) fn clear_parts(&self, job: &Job) {
        if job.parts.is_empty() {
            return;
        }
        let now = self.now();
        let mut tables = self.tables();
        let cleared = tables.quarantine.clear(&job.parts, now);
        if cleared.is_empty() {
            return;
        }
        let max_delay = CLEARED_DELAY_PER_NODE * node_count_u32(tables.peers.node_count());
        for part in &cleared {
            let delay = max_delay.mul_f64(rand::rng().random_range(0.0..1.0));
            tables.evidence.add(*part, now + delay);
        }
        let changes = tables.assess_parts(now);
        drop(tables);
        self.metrics.count("quarantine", "cleared");
        self.apply_changes(&changes, "own");
        self.evidence_due.notify_one();
    }

    /// Logs parts whose level changed, and wakes the requests that depend on them.
    fn apply_changes(&self, changes: &[Change], source: &str) {
        for change in changes {
            let level = match change.level {
                Level::Free => "free",
                Level::Suspected => "suspected",
                Level::Blamed => "blamed",
            };
            self.metrics.count("quarantine", level);
            info!(self.log, "treatment of a prompt part changed"; "part" => format_part(change.part),
                "level" => level, "ends" => change.ends, "source" => source,
                "last_end_age_ms" => change.last_end_age.as_millis() as u64);
        }
        if !changes.is_empty() {
            self.treatment_changes.send_modify(|count| *count += 1);
        }
    }

    /// Applies evidence that another node sent.
    fn apply_records(&self, records: &[Record], source: &str) {
        let now = self.now();
        let mut tables = self.tables();
        let mut is_changed = false;
        for record in records {
            is_changed |= tables.quarantine.merge(record, now);
            if tables.quarantine.is_covered_by(record, now) {
                tables.evidence.due.remove(&record.part);
            }
        }
        if !is_changed {
            return;
        }
        let changes = tables.assess_parts(now);
        drop(tables);
        self.apply_changes(&changes, source);
    }

    /// Sends all evidence to a node that has just started, as some of the others do.
    pub(crate) fn greet(&self, tables: &mut crate::state::Tables, address: SocketAddr) {
        let senders = NEWCOMER_SENDERS as f64 / tables.peers.node_count() as f64;
        if rand::rng().random_bool(senders.min(1.0)) {
            tables.evidence.newcomers.push(address);
            self.evidence_due.notify_one();
        }
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
            if refusal.level == Level::Blamed || trial_at > give_up_at || trial_at > self.deadline {
                return Err(refusal);
            }
            // The wait also ends if the parts are cleared or blamed meanwhile.
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

    /// Returns whether a part of the prompt takes the blame for the ends of servers.
    pub(crate) fn is_blamed(&self, shared: &Shared) -> bool {
        !self.parts.is_empty() && shared.tables().quarantine.is_blamed(&self.parts)
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
        "level" => ?refusal.level, "ends" => refusal.ends, "wait_ms" => refusal.wait.as_millis() as u64,
        "interval_ms" => refusal.interval.as_millis() as u64);
    let message = "a part of the prompt is withheld because servers ended below it";
    (
        Kind::Unavailable,
        message,
        refusal.interval.max(MIN_RETRY_DELAY),
    )
}

/// Returns the text of a part's digest.
fn format_part(part: Part) -> String {
    format!("{:016x}", part.0)
}

/// Returns the text of several parts' digests.
fn format_parts(parts: &[Part]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format_part(*part)).collect();
    parts.join(",")
}

/// Returns a number of nodes as a factor of times.
fn node_count_u32(node_count: usize) -> u32 {
    u32::try_from(node_count).unwrap_or(u32::MAX)
}

/// Sends evidence to the other nodes for as long as the node runs.
pub(crate) async fn run_sender(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut next_exchange = shared.now() + EXCHANGE_INTERVAL;
    loop {
        let now = shared.now();
        let wait = {
            let tables = shared.tables();
            let due = tables.evidence.due.values().copied().min();
            let next = due.map_or(next_exchange, |due| due.min(next_exchange));
            if tables.evidence.newcomers.is_empty() {
                now.until(next)
            } else {
                Duration::ZERO
            }
        };
        let _ = timeout(wait, shared.evidence_due.notified()).await;
        let now = shared.now();
        let (to_all, all, recipients) = {
            let mut tables = shared.tables();
            let due = tables.evidence.take_due(now);
            let mut recipients = std::mem::take(&mut tables.evidence.newcomers);
            let addresses = tables.peers.addresses();
            if now >= next_exchange {
                next_exchange = now + EXCHANGE_INTERVAL;
                let some = addresses.choose_multiple(&mut rand::rng(), EXCHANGE_NODES);
                recipients.extend(some);
            }
            let all = tables.quarantine.parts().into_iter().take(MAX_RECORDS);
            let all = encode(&shared, &tables.quarantine, all, now);
            let due = encode(&shared, &tables.quarantine, due, now);
            (due.map(|bytes| (bytes, addresses)), all, recipients)
        };
        if let Some((bytes, addresses)) = to_all {
            for address in &addresses {
                // A lost datagram only delays the evidence until the next exchange.
                let _ = socket.send_to(&bytes, address).await;
            }
            shared.metrics.count("quarantine", "sent");
            sleep(MIN_SEND_INTERVAL).await;
        }
        if let Some(bytes) = all {
            for address in &recipients {
                let _ = socket.send_to(&bytes, address).await;
            }
        }
    }
}

/// Encodes the evidence on some parts; `None` if there is none.
fn encode(
    shared: &Shared,
    table: &quarantine::Table,
    parts: impl IntoIterator<Item = Part>,
    now: Moment,
) -> Option<Vec<u8>> {
    let parts = parts.into_iter();
    let records: Vec<Record> = parts.filter_map(|part| table.record(part, now)).collect();
    if records.is_empty() {
        return None;
    }
    match postcard::to_extend(&records, vec![FORMAT]) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            warn!(shared.log, "evidence encoding failed"; "error" => %error);
            None
        }
    }
}

/// Applies a datagram with evidence.
pub(crate) fn receive(shared: &Shared, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes::<Vec<Record>>(bytes) {
        Ok(records) => apply(shared, &records, from),
        Err(error) => {
            shared.metrics.count("beats_malformed", "evidence");
            warn!(shared.log, "malformed evidence"; "from" => %from, "error" => %error);
        }
    }
}

/// Applies the records of a datagram, up to the number that nodes send.
fn apply(shared: &Shared, records: &[Record], from: SocketAddr) {
    let records = &records[..records.len().min(MAX_RECORDS)];
    shared.apply_records(records, &from.to_string());
}
