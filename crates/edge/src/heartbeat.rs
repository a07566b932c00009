//! Heartbeat datagrams between nodes.
//!
//! Heartbeats carry hints only, so a lost one makes a hint older and has no other
//! effect. Everything that nodes must agree on is in the platform's store.

use crate::{
    exchange,
    feed_relay::{self, Ack, FeedUpdate},
    level::Extension,
    peers::Peers,
    state::Shared,
};
use clock::Moment;
use name::{Instance, Model, Node};
use place::{TargetLoad, Work};
use serde::{Deserialize, Serialize};
use site::node::NodeRecord;
use slog::{info, warn};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::UdpSocket, time::sleep};

/// The minimum delay before a requested heartbeat, as a fraction of the interval.
const URGENT_DELAY_FRACTION: f64 = 0.4;

/// The first heartbeats of a new planner, which omit the total load.
///
/// Not all other nodes have reported their load to it yet.
const HEARTBEATS_WITHOUT_TOTAL: u32 = 3;

/// The first byte of a datagram, which identifies its format.
pub(crate) const FORMAT: u8 = 4;

/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// The state that a node sends to the other nodes.
///
/// Encoded by position: the order of fields is part of the format.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) record: NodeRecord,
    /// The sequence number of the heartbeat within the node's incarnation.
    pub(crate) sequence: u64,
    pub(crate) is_ready: bool,
    pub(crate) is_stopping: bool,
    /// Whether the node reaches no backend servers.
    pub(crate) is_isolated: bool,
    /// The fencing token, if this node is the planner and its view of the store is
    /// recent.
    pub(crate) planner_token: Option<u64>,
    /// The engines that the planner found dead, with their incarnations.
    pub(crate) dead_engines: Vec<(Instance, u64)>,
    /// The replica members without an entry that still answer the planner, with
    /// their incarnations.
    pub(crate) unlisted: Vec<(Instance, u64)>,
    /// The requests in progress.
    pub(crate) load: LoadReport,
    /// The demand of this node's callers in replicas, by model.
    pub(crate) demand: Vec<(Model, f64)>,
    /// The planner's feed reads, if this node is the planner.
    pub(crate) feed_update: Option<FeedUpdate>,
}

/// The load of each target: requests in progress, prompt tokens not yet processed,
/// whether the target is stalled, and milliseconds since its last output.
pub(crate) type EncodedShares = Vec<(Instance, u32, u32, bool, Option<u32>)>;

/// The load that a heartbeat reports.
///
/// Encoded by position: the order of variants is part of the format.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum LoadReport {
    /// No load is reported.
    Absent,
    /// The load from the sender's own requests.
    Local(EncodedShares),
    /// The load from all nodes' requests.
    Total(EncodedShares),
}

/// The recipients of a heartbeat.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Recipients {
    /// The planner, at this address.
    Planner(SocketAddr),
    /// All other nodes. The planner sends feed reads and the total load if `has_content`.
    All { has_content: bool },
}

/// When a node sends heartbeats to whom.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// When all other nodes were last sent one, and whether this node was stopping or
    /// isolated then.
    last_broadcast: Option<(Moment, (bool, bool))>,
    /// When the planner's feed reads and the total load were last sent.
    last_content: Option<Moment>,
    /// Whether they are to be sent early, since other nodes act on a change.
    is_content_requested: bool,
}

impl Schedule {
    /// Returns the time until heartbeats are due.
    pub(crate) fn interval(peers: &Peers) -> Duration {
        if peers.own_token.is_some() || peers.asked_since().is_some() {
            peers.liveness_interval()
        } else {
            peers.planner_interval()
        }
    }

    /// Sends the planner's feed reads and the total load before their interval ends.
    pub(crate) fn request_content(&mut self) {
        self.is_content_requested = true;
    }

    /// Returns the recipients of the heartbeats that are due at the end of an interval.
    ///
    /// A change of `state`, whether the node is stopping or isolated, is sent to all at once,
    /// and nodes that were just found get a heartbeat at once.
    pub(crate) fn recipients(
        &mut self,
        peers: &Peers,
        state: (bool, bool),
        now: Moment,
    ) -> Vec<Recipients> {
        let is_planning = peers.own_token.is_some();
        let is_broadcast_due = is_planning
            || peers.has_new_records()
            || self.last_broadcast.is_none_or(|(at, last_state)| {
                now.since(at) >= peers.broadcast_interval() || last_state != state
            });
        if is_broadcast_due {
            self.last_broadcast = Some((now, state));
        }
        let has_content = is_planning && self.is_content_due(peers, now);
        if has_content {
            self.last_content = Some(now);
            self.is_content_requested = false;
        }
        let planner = peers.planner_address(now).map(Recipients::Planner);
        let all = is_broadcast_due.then_some(Recipients::All { has_content });
        planner.into_iter().chain(all).collect()
    }

    /// Returns whether the planner's feed reads and the total load are due.
    fn is_content_due(&self, peers: &Peers, now: Moment) -> bool {
        let interval = peers.planner_interval();
        let due = if self.is_content_requested {
            interval.mul_f64(URGENT_DELAY_FRACTION)
        } else {
            // They are sent at the end of the liveness interval that is nearest.
            interval - peers.liveness_interval() / 2
        };
        self.last_content.is_none_or(|at| now.since(at) >= due)
    }
}

/// Sends heartbeats to the other nodes for as long as the node runs.
///
/// Each node reports its load to the planner, which sends the total to all nodes. Between
/// two heartbeats with the total, the planner sends small ones: how soon nodes notice its
/// loss must not depend on their number.
/// Without a planner, nodes report their load to all others.
pub(crate) async fn run_sender(shared: Arc<Shared>, socket: Arc<UdpSocket>, record: NodeRecord) {
    let mut sequence = 0;
    // The heartbeats of this planner that may carry the total load.
    let mut totals_due = 0;
    let mut schedule = Schedule::default();
    let mut had_recent_update = false;
    loop {
        let now = shared.now();
        log_relay_transition(&shared, &mut had_recent_update, now);
        let is_stopping = shared.is_stopping();
        let (interval, recipients, is_planning) = {
            let mut tables = shared.tables();
            tables.peers.now = now;
            tables.load.expire(now);
            tables.fleet.expire(now);
            let is_planning = tables.peers.own_token.is_some();
            shared.log_levels(&tables.step_levels(is_planning, now));
            tables.update_limits(shared.settings.node.as_str(), now);
            tables.update_budgets(&shared.settings.bounds, now);
            let state = (is_stopping, tables.reach.isolated_since().is_some());
            let peers = &tables.peers;
            let recipients = schedule.recipients(peers, state, now);
            (Schedule::interval(peers), recipients, is_planning)
        };
        if !is_planning {
            totals_due = 0;
        }
        for recipients in recipients {
            sequence += 1;
            let has_content = matches!(recipients, Recipients::All { has_content: true });
            totals_due += u32::from(is_planning && has_content);
            let has_total = totals_due > HEARTBEATS_WITHOUT_TOTAL;
            let message = compose(&shared, &record, sequence, recipients, has_total);
            send(&shared, &socket, &message).await;
        }
        let urgent_delay = interval.mul_f64(URGENT_DELAY_FRACTION);
        sleep(urgent_delay).await;
        tokio::select! {
            () = sleep(interval.saturating_sub(urgent_delay)) => {}
            () = shared.heartbeat_requested.notified() => schedule.request_content(),
        }
    }
}

/// Logs when this node starts or stops relying on relayed feed updates.
fn log_relay_transition(shared: &Shared, had_recent_update: &mut bool, now: Moment) {
    let tables = shared.tables();
    let has_recent_update = tables.peers.has_recent_update(now);
    if std::mem::replace(had_recent_update, has_recent_update) == has_recent_update {
        return;
    }
    let age = |at: Option<Moment>| at.map(|at| now.since(at).as_millis() as u64);
    let message = if has_recent_update {
        "feed updates from planner started"
    } else {
        "feed updates from planner stopped"
    };
    info!(shared.log, "{}", message; "token" => tables.peers.highest_token(),
        "config_age_ms" => age(tables.config_confirmed), "servers_age_ms" => age(tables.servers_confirmed));
}

/// A heartbeat with its targets.
struct Message {
    heartbeat: Heartbeat,
    extension: Extension,
    /// The addresses, and the acknowledgment for each.
    targets: Vec<(SocketAddr, Ack)>,
}

/// Composes the next heartbeat.
///
/// It and the acknowledgments are taken under one lock. An acknowledgment that is newer
/// than the feed update would confirm changes that the update does not contain.
fn compose(
    shared: &Shared,
    record: &NodeRecord,
    sequence: u64,
    recipients: Recipients,
    has_total: bool,
) -> Message {
    let is_ready = shared.is_ready();
    let now = shared.now();
    let mut tables = shared.tables();
    let is_planning = tables.peers.own_token.is_some();
    let is_bare = is_planning && matches!(recipients, Recipients::All { has_content: false });
    let load = if is_planning {
        if has_total && !is_bare {
            LoadReport::Total(encode_shares(tables.load.aggregate_load(now), now))
        } else {
            LoadReport::Absent
        }
    } else if let Recipients::Planner(_) = recipients {
        let shares: Vec<TargetLoad> = tables.load.local_load(now).collect();
        tables.peers.record_reported_load(sequence, shares.clone());
        LoadReport::Local(encode_shares(shares, now))
    } else if tables.peers.has_planner(now) {
        LoadReport::Absent
    } else {
        LoadReport::Local(encode_shares(tables.load.local_load(now), now))
    };
    tables.peers.record_sent(sequence, now);
    let heartbeat = Heartbeat {
        record: record.clone(),
        sequence,
        is_ready,
        is_stopping: shared.is_stopping(),
        is_isolated: tables.reach.isolated_since().is_some(),
        planner_token: tables.peers.own_token,
        dead_engines: tables.peers.dead_engines.clone(),
        unlisted: if is_planning {
            tables.fleet.unlisted()
        } else {
            Vec::new()
        },
        load,
        demand: tables.demand.replicas(now).into_iter().collect(),
        feed_update: if is_bare {
            None
        } else {
            feed_relay::next_update(&mut tables, shared.has_slow_link())
        },
    };
    let targets = match recipients {
        Recipients::Planner(address) => vec![(address, Ack::default())],
        Recipients::All { .. } => tables.peers.heartbeat_targets(now),
    };
    let extension = match recipients {
        Recipients::Planner(_) => tables.levels.report(now),
        Recipients::All { .. } if is_bare => Extension::default(),
        Recipients::All { .. } => tables.levels.announcement(),
    };
    Message {
        heartbeat,
        extension,
        targets,
    }
}

/// Sends a heartbeat to each target, with the target's acknowledgment if the
/// heartbeat carries a feed update or an extension follows.
async fn send(shared: &Shared, socket: &UdpSocket, message: &Message) {
    let Message {
        heartbeat,
        extension,
        targets,
    } = message;
    let sequences = heartbeat.feed_update.as_ref().map(FeedUpdate::sequences);
    let sequences = sequences.filter(|sequences| !sequences.is_empty());
    let has_extension = !extension.is_empty() || sequences.is_some();
    let mut bytes = match postcard::to_extend(heartbeat, vec![FORMAT]) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(shared.log, "heartbeat encoding failed"; "error" => %error);
            return;
        }
    };
    let length = bytes.len();
    for (address, ack) in targets {
        bytes.truncate(length);
        if (heartbeat.feed_update.is_some() || has_extension)
            && let Ok(ack) = postcard::to_stdvec(ack)
        {
            bytes.extend(ack);
            if has_extension && let Ok(extension) = postcard::to_stdvec(extension) {
                bytes.extend(extension);
                if let Some(Ok(sequences)) = sequences.as_ref().map(postcard::to_stdvec) {
                    bytes.extend(sequences);
                }
            }
        }
        // A send error has the same effect as a lost datagram; the next
        // heartbeat follows within the interval.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// A received heartbeat.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) heartbeat: Heartbeat,
    /// The acknowledgment for this node.
    pub(crate) ack: Option<Ack>,
    /// The extension; `None` from earlier versions of the program.
    pub(crate) extension: Option<Extension>,
    /// Whether bytes follow that are no extension.
    pub(crate) has_malformed_extension: bool,
}

/// Decodes a datagram.
///
/// An extension that cannot be decoded is left out: the heartbeat before it is valid.
pub(crate) fn decode(bytes: &[u8]) -> Result<Received, postcard::Error> {
    let Some((&FORMAT, bytes)) = bytes.split_first() else {
        return Err(postcard::Error::DeserializeBadEncoding);
    };
    let (mut heartbeat, rest) = postcard::take_from_bytes::<Heartbeat>(bytes)?;
    let (ack, rest) = match rest {
        [] => (None, rest),
        rest => {
            let (ack, rest) = postcard::take_from_bytes::<Ack>(rest)?;
            (Some(ack), rest)
        }
    };
    let (extension, rest) = match rest {
        [] => (None, rest),
        rest => postcard::take_from_bytes(rest)
            .map_or((None, rest), |(extension, rest)| (Some(extension), rest)),
    };
    let mut has_malformed_extension = extension.is_none() && !rest.is_empty();
    // Earlier versions of the program send no numbers.
    if let (Some(update), Some(_), [_, ..]) = (&mut heartbeat.feed_update, &extension, rest) {
        match postcard::from_bytes(rest) {
            Ok(sequences) => update.set_sequences(sequences),
            Err(_) => has_malformed_extension = true,
        }
    }
    Ok(Received {
        heartbeat,
        ack,
        // An empty one only precedes the numbers, and withdraws no shares.
        extension: extension.filter(|extension: &Extension| !extension.is_empty()),
        has_malformed_extension,
    })
}

/// Encodes shares for a heartbeat.
fn encode_shares(shares: impl IntoIterator<Item = TargetLoad>, now: Moment) -> EncodedShares {
    shares.into_iter().map(|s| encode_share(s, now)).collect()
}

/// Encodes one share for a heartbeat.
fn encode_share(share: TargetLoad, now: Moment) -> (Instance, u32, u32, bool, Option<u32>) {
    let Work {
        requests,
        prefill_tokens,
        is_stalled,
    } = share.work;
    let ago = share
        .last_received
        .map(|last_received| now.since(last_received).as_millis());
    let ago = ago.and_then(|ago| u32::try_from(ago).ok());
    (share.server, requests, prefill_tokens, is_stalled, ago)
}

/// Receives heartbeats from the other nodes for as long as the node runs.
pub(crate) async fn run_receiver(shared: Arc<Shared>, socket: Arc<UdpSocket>, own: Node) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // The error concerns a single datagram, such as an unreachable port.
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        if let Some((&exchange::FORMAT, records)) = buffer[..length].split_first() {
            exchange::receive(&shared, records, from);
            continue;
        }
        match decode(&buffer[..length]) {
            Ok(received) if received.heartbeat.record.node == own => {}
            Ok(received) => {
                if received.has_malformed_extension {
                    shared.metrics.count("beats_malformed", "extension");
                    warn!(shared.log, "malformed extension of heartbeat"; "from" => %from);
                }
                apply_heartbeat(&shared, received);
            }
            Err(error) => {
                shared.metrics.count("beats_malformed", "peer");
                warn!(shared.log, "malformed heartbeat"; "from" => %from, "error" => %error);
            }
        }
    }
}

/// Decodes the shares of a heartbeat.
fn decode_shares(shares: EncodedShares, now: Moment) -> impl Iterator<Item = TargetLoad> {
    let shares = shares.into_iter();
    shares.map(
        move |(server, requests, prefill_tokens, is_stalled, ago)| TargetLoad {
            server,
            work: Work {
                requests,
                prefill_tokens,
                is_stalled,
            },
            last_received: ago.map(|ago| now - Duration::from_millis(ago.into())),
        },
    )
}

/// Applies a heartbeat to the tables.
fn apply_heartbeat(shared: &Arc<Shared>, received: Received) {
    let Received {
        heartbeat,
        ack,
        extension,
        ..
    } = received;
    let now = shared.now();
    let mut tables = shared.tables();
    let had_received = tables.peers.has_received_from(&heartbeat.record);
    if !tables.peers.receive(&heartbeat, now) {
        return;
    }
    if !had_received {
        shared.greet(&mut tables, heartbeat.record.peer_address);
        info!(shared.log, "first heartbeat from node"; "node" => %heartbeat.record.node, "front" => %heartbeat.record.caller_address);
    }
    let is_newest = heartbeat.planner_token == Some(tables.peers.highest_token());
    let is_planner =
        heartbeat.planner_token.is_some() && is_newest && tables.peers.own_token.is_none();
    let ack = ack.filter(|ack| ack.incarnation == tables.peers.own_incarnation);
    if let Some(extension) = extension {
        let record = &heartbeat.record;
        let (node, incarnation) = (&record.node, record.incarnation);
        tables
            .levels
            .receive_report(node, incarnation, &extension, now);
        if is_planner {
            tables.levels.receive_shares(&extension, now);
        }
    }
    match heartbeat.load {
        LoadReport::Local(shares) if !tables.peers.has_recent_update(now) => {
            let shares = decode_shares(shares, now);
            tables
                .load
                .set_node_load(heartbeat.record.node, shares, now);
        }
        LoadReport::Total(shares) if is_planner => {
            let shares = decode_shares(shares, now).collect();
            let others = ack.and_then(|ack| tables.peers.subtract_own(shares, ack.load));
            if let Some(others) = others {
                tables
                    .load
                    .set_aggregate_load(heartbeat.record.node, others, now);
            }
        }
        _ => {}
    }
    let mut is_changed = false;
    if is_planner {
        is_changed |= tables.fleet.set_dead(heartbeat.dead_engines);
        is_changed |= tables.fleet.set_unlisted(heartbeat.unlisted);
        if let Some(update) = heartbeat.feed_update {
            is_changed |= feed_relay::apply_update(&shared.log, &mut tables, update, ack, now);
        }
    }
    if is_changed {
        shared.update_targets(&mut tables);
    } else {
        shared.assign_slots(&mut tables);
    }
}
