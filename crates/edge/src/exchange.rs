//! The exchange between nodes of what they learn from servers' answers.
//!
//! Three things are exchanged: the crash histories of parts of requests, the limits that
//! servers name, and which servers are leaving or had no entry. What all nodes must act on
//! at once is sent to all at once; what several nodes learn at about the same time is sent
//! after a random delay that grows with the number of nodes, and not at all if another node
//! sent it first. Each node also sends all that it knows to a few others at intervals, and
//! to nodes that have just started, so that lost datagrams and restarts only delay it.

use crate::state::{Shared, Tables};
use clock::Moment;
use name::Instance;
use place::Named;
use quarantine::{Part, Record};
use rand::{Rng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::{collections::HashMap, hash::Hash, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

/// The first byte of a datagram, which identifies its format.
pub(crate) const FORMAT: u8 = 3;

/// The time between two transmissions of everything to some other nodes.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of nodes to which everything is sent at each interval.
const EXCHANGE_NODES: usize = 2;

/// The number of nodes that send everything to a node that has just started.
const NEWCOMER_SENDERS: usize = 8;

/// The maximum number of crash histories in a datagram, some 16 kB.
const MAX_RECORDS: usize = 64;

/// The maximum number of limits in a datagram, some 16 kB.
const MAX_LIMITS: usize = 512;

/// The maximum number of servers of each kind in a datagram, some 10 kB.
const MAX_SERVERS: usize = 512;

/// The longest random delay per other node.
const DELAY_PER_NODE: Duration = Duration::from_millis(2);

/// The minimum time between two transmissions to all nodes.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(20);

/// The limit that a server named.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct LimitRecord {
    server: Instance,
    incarnation: u64,
    per_s: Option<f64>,
    /// The milliseconds since the server's answer.
    age_ms: u64,
}

/// The content of a datagram.
///
/// Encoded by position: the order of fields is part of the format.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Message {
    histories: Vec<Record>,
    limits: Vec<LimitRecord>,
}

/// A fact about an incarnation of a server.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ServerRecord {
    server: Instance,
    incarnation: u64,
    /// The milliseconds since a node learned of it first.
    age_ms: u64,
}

/// What follows a message, where earlier versions of the program read nothing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Departures {
    /// The servers that are leaving.
    leaving: Vec<ServerRecord>,
    /// The servers without an entry, or that have not confirmed that they are back.
    absent: Vec<ServerRecord>,
}

impl Departures {
    /// Returns whether there is nothing to send.
    fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.absent.is_empty()
    }
}

/// What is to be sent to other nodes.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// When the history of each part is sent to all nodes.
    parts: HashMap<Part, Moment>,
    /// When the limit of each server is sent to all nodes.
    limits: HashMap<Instance, Moment>,
    /// When it is sent to all nodes that a server is leaving.
    leaving: HashMap<Instance, Moment>,
    /// The nodes that have just started.
    newcomers: Vec<SocketAddr>,
}

impl Outbox {
    /// Sends the history of a part to all nodes, at a time or earlier.
    pub(crate) fn add_part(&mut self, part: Part, at: Moment) {
        let due = self.parts.entry(part).or_insert(at);
        *due = at.min(*due);
    }

    /// Does not send the history of a part, since another node sent the same.
    pub(crate) fn remove_part(&mut self, part: Part) {
        self.parts.remove(&part);
    }

    /// Returns when the next transmission to all nodes is due.
    fn next_due(&self) -> Option<Moment> {
        self.parts
            .values()
            .chain(self.limits.values())
            .chain(self.leaving.values())
            .copied()
            .min()
    }
}

/// Takes the keys that are due, at most `max`.
fn take_due<K: Hash + Eq + Clone>(due: &mut HashMap<K, Moment>, max: usize, now: Moment) -> Vec<K> {
    let ready = due.iter().filter(|(_, at)| **at <= now);
    let keys: Vec<K> = ready.map(|(key, _)| key.clone()).take(max).collect();
    for key in &keys {
        due.remove(key);
    }
    keys
}

impl Tables {
    /// Returns a random delay for what several nodes learn at about the same time.
    pub(crate) fn random_send_delay(&self) -> Duration {
        let nodes = u32::try_from(self.peers.node_count()).unwrap_or(u32::MAX);
        (DELAY_PER_NODE * nodes).mul_f64(rand::rng().random_range(0.0..1.0))
    }

    /// Divides limits among the present nodes, and forgets old ones.
    pub(crate) fn update_limits(&mut self, own: &str, now: Moment) {
        self.limits.set_nodes(own, self.peers.node_names(own));
        self.limits.expire(now);
    }

    /// Returns a message with the histories of some parts and the limits of some servers.
    fn message(
        &self,
        parts: impl IntoIterator<Item = Part>,
        servers: impl IntoIterator<Item = Instance>,
        now: Moment,
    ) -> Message {
        let parts = parts.into_iter();
        let histories = parts.filter_map(|part| self.quarantine.record(part, now));
        let limits = servers.into_iter().filter_map(|server| {
            let named = self.limits.named(&server)?;
            let age = now.since(named.at).as_millis();
            Some(LimitRecord {
                server,
                incarnation: named.incarnation,
                per_s: named.per_s,
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            })
        });
        Message {
            histories: histories.collect(),
            limits: limits.collect(),
        }
    }

    /// Returns the leaving servers of a list, with the age of what is known.
    fn leaving_records(&self, servers: &[Instance], now: Moment) -> Vec<ServerRecord> {
        let leaving = self.fleet.leaving();
        server_records(leaving.filter(|(id, _, _)| servers.contains(id)), now)
    }

    /// Returns all that this node knows.
    fn everything(&self, now: Moment) -> (Message, Departures) {
        let parts = self.quarantine.parts().into_iter().take(MAX_RECORDS);
        let servers = self.limits.servers().into_iter().take(MAX_LIMITS);
        let departures = Departures {
            leaving: server_records(self.fleet.leaving(), now),
            absent: server_records(self.fleet.absent(), now),
        };
        (self.message(parts, servers, now), departures)
    }
}

/// Returns records of facts that nodes learned at the given moments.
fn server_records<'a>(
    facts: impl Iterator<Item = (&'a Instance, u64, Moment)>,
    now: Moment,
) -> Vec<ServerRecord> {
    let records = facts.map(|(id, incarnation, since)| ServerRecord {
        server: id.clone(),
        incarnation,
        age_ms: u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX),
    });
    records.take(MAX_SERVERS).collect()
}

impl Shared {
    /// Records the limit that a server named in an answer, or that it named none.
    pub(crate) fn record_limit(&self, server: &Instance, incarnation: u64, per_s: Option<f64>) {
        let now = self.now();
        let named = Named {
            incarnation,
            per_s,
            at: now,
        };
        let mut tables = self.tables();
        if !tables.limits.record(server, named) {
            return;
        }
        let at = now + tables.random_send_delay();
        tables.outbox.limits.entry(server.clone()).or_insert(at);
        drop(tables);
        self.log_limit(server, named, "own", now);
        self.exchange_due.notify_one();
    }

    /// Logs that the limit of a server changed.
    fn log_limit(&self, server: &Instance, named: Named, source: &str, now: Moment) {
        let label = if named.per_s.is_some() {
            "limit"
        } else {
            "no limit"
        };
        self.metrics.count("announcements", label);
        info!(self.log, "limit of backend server changed"; "server" => %server,
            "incarnation" => named.incarnation, "per_s" => named.per_s, "source" => source,
            "age_ms" => now.since(named.at).as_millis() as u64);
    }

    /// Applies the limits that another node sent.
    fn apply_limits(&self, limits: &[LimitRecord], source: &str) {
        let now = self.now();
        for limit in limits {
            let is_valid = limit
                .per_s
                .is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0);
            if !is_valid {
                warn!(self.log, "limit from another node is no rate"; "server" => %limit.server, "from" => source);
                continue;
            }
            let named = Named {
                incarnation: limit.incarnation,
                per_s: limit.per_s,
                at: now - Duration::from_millis(limit.age_ms),
            };
            let mut tables = self.tables();
            let is_changed = tables.limits.record(&limit.server, named);
            if is_changed {
                tables.outbox.limits.remove(&limit.server);
                drop(tables);
                self.log_limit(&limit.server, named, source, now);
            }
        }
    }

    /// Sends all nodes that a server announced that it is leaving, unless another node does.
    pub(crate) fn share_leaving(&self, tables: &mut Tables, server: &Instance) {
        let at = self.now() + tables.random_send_delay();
        tables.outbox.leaving.entry(server.clone()).or_insert(at);
        self.exchange_due.notify_one();
    }

    /// Applies what another node knows about servers that leave or have left.
    fn apply_departures(self: &Arc<Self>, departures: &Departures, source: &str) {
        let now = self.now();
        let mut tables = self.tables();
        let mut is_changed = false;
        for (records, is_leaving) in [(&departures.leaving, true), (&departures.absent, false)] {
            for record in records.iter().take(MAX_SERVERS) {
                let (id, incarnation) = (&record.server, record.incarnation);
                let since = now - Duration::from_millis(record.age_ms);
                let is_new = if is_leaving {
                    tables.outbox.leaving.remove(id);
                    tables.fleet.set_leaving(id, incarnation, since)
                } else {
                    tables.fleet.record_absence(id, incarnation, since)
                };
                if is_new {
                    let fact = if is_leaving {
                        "leaving"
                    } else {
                        "had no entry"
                    };
                    info!(self.log, "backend server withdrawn by another node"; "server" => %id,
                        "incarnation" => incarnation, "fact" => fact, "source" => source, "age_ms" => record.age_ms);
                }
                is_changed |= is_new;
            }
        }
        if is_changed {
            self.update_targets(&mut tables);
        }
    }

    /// Sends everything to a node that has just started, as some of the others do.
    pub(crate) fn greet(&self, tables: &mut Tables, address: SocketAddr) {
        let senders = NEWCOMER_SENDERS as f64 / tables.peers.node_count() as f64;
        if rand::rng().random_bool(senders.min(1.0)) {
            tables.outbox.newcomers.push(address);
            self.exchange_due.notify_one();
        }
    }
}

/// Sends to the other nodes for as long as the node runs.
pub(crate) async fn run_sender(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut next_exchange = shared.now() + EXCHANGE_INTERVAL;
    loop {
        let wait = {
            let now = shared.now();
            let tables = shared.tables();
            let due = tables.outbox.next_due();
            let next = due.map_or(next_exchange, |due| due.min(next_exchange));
            if tables.outbox.newcomers.is_empty() {
                now.until(next)
            } else {
                Duration::ZERO
            }
        };
        let _ = timeout(wait, shared.exchange_due.notified()).await;
        let now = shared.now();
        let (due, everything, addresses, recipients) = {
            let mut tables = shared.tables();
            let parts = take_due(&mut tables.outbox.parts, MAX_RECORDS, now);
            let servers = take_due(&mut tables.outbox.limits, MAX_LIMITS, now);
            let leaving = take_due(&mut tables.outbox.leaving, MAX_SERVERS, now);
            let due = tables.message(parts, servers, now);
            let due_departures = Departures {
                leaving: tables.leaving_records(&leaving, now),
                absent: Vec::new(),
            };
            let mut recipients = std::mem::take(&mut tables.outbox.newcomers);
            let addresses = tables.peers.addresses();
            if now >= next_exchange {
                next_exchange = now + EXCHANGE_INTERVAL;
                recipients.extend(addresses.choose_multiple(&mut rand::rng(), EXCHANGE_NODES));
            }
            let everything = (!recipients.is_empty()).then(|| tables.everything(now));
            ((due, due_departures), everything, addresses, recipients)
        };
        if let Some(bytes) = encode(&shared, &due) {
            send(&socket, &bytes, &addresses).await;
            shared.metrics.count("exchange", "sent to all");
            sleep(MIN_SEND_INTERVAL).await;
        }
        if let Some(bytes) = everything.and_then(|everything| encode(&shared, &everything)) {
            send(&socket, &bytes, &recipients).await;
        }
    }
}

/// Sends a datagram to several nodes.
///
/// A send error has the same effect as a lost datagram: it delays the content until the
/// next exchange.
async fn send(socket: &UdpSocket, bytes: &[u8], addresses: &[SocketAddr]) {
    for address in addresses {
        let _ = socket.send_to(bytes, address).await;
    }
}

/// Encodes a datagram; `None` if it is empty.
fn encode(shared: &Shared, (message, departures): &(Message, Departures)) -> Option<Vec<u8>> {
    if message.histories.is_empty() && message.limits.is_empty() && departures.is_empty() {
        return None;
    }
    let bytes = postcard::to_extend(message, vec![FORMAT]);
    match bytes.and_then(|bytes| postcard::to_extend(departures, bytes)) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            warn!(shared.log, "exchange encoding failed"; "error" => %error);
            None
        }
    }
}

/// Decodes a datagram; earlier versions of the program send no departures.
fn decode(bytes: &[u8]) -> Result<(Message, Departures), postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    let departures = match rest {
        [] => Departures::default(),
        rest => postcard::from_bytes(rest)?,
    };
    Ok((message, departures))
}

/// Applies a datagram of another node.
pub(crate) fn receive(shared: &Arc<Shared>, bytes: &[u8], from: SocketAddr) {
    let (message, departures) = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            shared.metrics.count("beats_malformed", "exchange");
            warn!(shared.log, "malformed exchange"; "from" => %from, "error" => %error);
            return;
        }
    };
    let source = from.to_string();
    let histories = &message.histories[..message.histories.len().min(MAX_RECORDS)];
    if !histories.is_empty() {
        shared.apply_records(histories, &source);
    }
    let limits = &message.limits[..message.limits.len().min(MAX_LIMITS)];
    shared.apply_limits(limits, &source);
    if !departures.is_empty() {
        shared.apply_departures(&departures, &source);
    }
}

#[cfg(test)]
mod tests;
