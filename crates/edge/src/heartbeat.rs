//! The datagrams that nodes send each other.
//!
//! A lost datagram costs the freshness of a hint and nothing else: what must be
//! agreed on stands in the platform's store.

use crate::{
    feed_relay::{self, Ack, FeedUpdate},
    state::Shared,
};
use clock::Moment;
use name::{Instance, Model, Node};
use place::{Share, Work};
use serde::{Deserialize, Serialize};
use site::node::Card;
use slog::{info, warn};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::UdpSocket, time::sleep};

/// The part of the time between two datagrams after which an urgent one may follow.
const URGENT_DELAY_FRACTION: f64 = 0.4;

/// The datagrams of a new planner that leave out the sum, since not all others
/// have told it yet what they have in progress.
const HEARTBEATS_WITHOUT_TOTAL: u32 = 3;

/// The first byte of a datagram, which names its format.
pub(crate) const FORMAT: u8 = 1;

/// The longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// What a node tells the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) card: Card,
    /// Counts the datagrams of one life.
    pub(crate) sequence: u64,
    pub(crate) is_ready: bool,
    pub(crate) is_stopping: bool,
    /// The fencing token, if this node plans and sees the store.
    pub(crate) planner_token: Option<u64>,
    /// The engines that the planner found dead, with their lives.
    pub(crate) dead_engines: Vec<(Instance, u64)>,
    /// The members without an entry that the planner finds alive, with their lives.
    pub(crate) unlisted: Vec<(Instance, u64)>,
    /// What is in progress.
    pub(crate) load: LoadReport,
    /// The replicas that this node's callers would fill, by model.
    pub(crate) demand: Vec<(Model, f64)>,
    /// What the planner has read.
    pub(crate) feed_update: Option<FeedUpdate>,
}

/// Requests in progress, unread prompt tokens, silence, and how many milliseconds
/// ago something came, by target.
pub(crate) type EncodedShares = Vec<(Instance, u32, u32, bool, Option<u32>)>;

/// What a datagram tells of requests in progress.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum LoadReport {
    /// Nothing.
    Absent,
    /// The sender's own.
    Local(EncodedShares),
    /// Those of all nodes.
    Total(EncodedShares),
}

/// To whom a datagram goes.
#[derive(Debug, Clone, Copy)]
enum Recipients {
    /// The planner, which is at this address.
    Planner(SocketAddr),
    /// All other nodes.
    All,
}

/// Tells the other nodes, for as long as the node runs.
///
/// What is in progress goes to the planner, which tells all nodes the sum; while
/// there is none, it goes to all.
pub(crate) async fn run_sender(shared: Arc<Shared>, socket: Arc<UdpSocket>, card: Card) {
    let mut sequence = 0;
    let mut heartbeats_as_planner = 0;
    let mut last_broadcast: Option<(Moment, bool)> = None;
    let mut had_recent_update = false;
    loop {
        let now = shared.now();
        log_relay_transition(&shared, &mut had_recent_update, now);
        let is_stopping = shared.is_stopping();
        let (interval, planner, is_planning, is_broadcast_due) = {
            let mut tables = shared.tables();
            tables.peers.now = now;
            tables.load.expire(now);
            let nodes = tables.peers.node_count();
            for budget in tables.budgets.values_mut() {
                budget.divide(&shared.settings.bounds, nodes);
            }
            let broadcast_interval = tables.peers.broadcast_interval();
            // That a node stops is told at once.
            let is_broadcast_due = last_broadcast.is_none_or(|(at, stopping)| {
                now.since(at) >= broadcast_interval || stopping != is_stopping
            });
            let peers = &tables.peers;
            (
                peers.planner_interval(),
                peers.planner_address(now),
                peers.own_token.is_some(),
                is_broadcast_due,
            )
        };
        heartbeats_as_planner = if is_planning {
            heartbeats_as_planner + 1
        } else {
            0
        };
        let has_total = heartbeats_as_planner > HEARTBEATS_WITHOUT_TOTAL;
        let all = (is_planning || is_broadcast_due).then_some(Recipients::All);
        if all.is_some() {
            last_broadcast = Some((now, is_stopping));
        }
        for recipients in planner.map(Recipients::Planner).into_iter().chain(all) {
            sequence += 1;
            let (heartbeat, targets) = compose(&shared, &card, sequence, recipients, has_total);
            send(&shared, &socket, &heartbeat, &targets).await;
        }
        let urgent_delay = interval.mul_f64(URGENT_DELAY_FRACTION);
        sleep(urgent_delay).await;
        tokio::select! {
            () = sleep(interval.saturating_sub(urgent_delay)) => {}
            () = shared.heartbeat_requested.notified() => {}
        }
    }
}

/// Logs whether this node begins or ceases to rely on what the planner has read.
fn log_relay_transition(shared: &Shared, had_recent_update: &mut bool, now: Moment) {
    let tables = shared.tables();
    let has_recent_update = tables.peers.has_recent_update(now);
    if std::mem::replace(had_recent_update, has_recent_update) == has_recent_update {
        return;
    }
    let age = |at: Option<Moment>| at.map(|at| now.since(at).as_millis() as u64);
    let message = if has_recent_update {
        "planner's word heard"
    } else {
        "planner's word lost"
    };
    info!(shared.log, "{}", message; "token" => tables.peers.highest_token(),
        "config_age_ms" => age(tables.config_confirmed), "servers_age_ms" => age(tables.servers_confirmed));
}

/// Writes the next datagram, and returns where it goes, with what was heard from
/// there.
///
/// Both are taken under one lock: a later echo beside an earlier word would vouch
/// for what the word does not hold.
fn compose(
    shared: &Shared,
    card: &Card,
    sequence: u64,
    recipients: Recipients,
    has_total: bool,
) -> (Heartbeat, Vec<(SocketAddr, Ack)>) {
    let is_ready = shared.is_ready();
    let now = shared.now();
    let mut tables = shared.tables();
    let is_planning = tables.peers.own_token.is_some();
    let load = if is_planning {
        if has_total {
            LoadReport::Total(encode_shares(tables.load.sum(now), now))
        } else {
            LoadReport::Absent
        }
    } else if let Recipients::Planner(_) = recipients {
        let shares: Vec<Share> = tables.load.shares(now).collect();
        tables.peers.record_reported_load(sequence, shares.clone());
        LoadReport::Local(encode_shares(shares, now))
    } else if tables.peers.has_planner(now) {
        LoadReport::Absent
    } else {
        LoadReport::Local(encode_shares(tables.load.shares(now), now))
    };
    tables.peers.record_sent(sequence, now);
    let heartbeat = Heartbeat {
        card: card.clone(),
        sequence,
        is_ready,
        is_stopping: shared.is_stopping(),
        planner_token: tables.peers.own_token,
        dead_engines: tables.peers.dead_engines.clone(),
        unlisted: if is_planning {
            tables.fleet.unlisted()
        } else {
            Vec::new()
        },
        load,
        demand: tables.demand.replicas(now).into_iter().collect(),
        feed_update: feed_relay::next_update(&mut tables, shared.has_slow_link()),
    };
    let targets = match recipients {
        Recipients::Planner(address) => vec![(address, Ack::default())],
        Recipients::All => tables.peers.heartbeat_targets(now),
    };
    (heartbeat, targets)
}

/// Sends one datagram to each address, with what was heard from there if this
/// node tells what it has read.
async fn send(
    shared: &Shared,
    socket: &UdpSocket,
    heartbeat: &Heartbeat,
    targets: &[(SocketAddr, Ack)],
) {
    let mut bytes = match postcard::to_extend(heartbeat, vec![FORMAT]) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(shared.log, "beat not written"; "error" => %error);
            return;
        }
    };
    let length = bytes.len();
    for (address, ack) in targets {
        bytes.truncate(length);
        if heartbeat.feed_update.is_some()
            && let Ok(ack) = postcard::to_stdvec(ack)
        {
            bytes.extend(ack);
        }
        // A datagram that cannot be sent is as good as a lost one; the next
        // one follows within the interval.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Reads a datagram: what is told to all, and what is told to this node.
pub(crate) fn decode(bytes: &[u8]) -> Result<(Heartbeat, Option<Ack>), postcard::Error> {
    let Some((&FORMAT, bytes)) = bytes.split_first() else {
        return Err(postcard::Error::DeserializeBadEncoding);
    };
    let (heartbeat, rest) = postcard::take_from_bytes::<Heartbeat>(bytes)?;
    let ack = match rest {
        [] => None,
        rest => Some(postcard::from_bytes(rest)?),
    };
    Ok((heartbeat, ack))
}

/// Returns shares as a datagram bears them.
fn encode_shares(shares: impl IntoIterator<Item = Share>, now: Moment) -> EncodedShares {
    shares.into_iter().map(|s| encode_share(s, now)).collect()
}

/// Returns a share as a datagram bears it.
fn encode_share(share: Share, now: Moment) -> (Instance, u32, u32, bool, Option<u32>) {
    let Work {
        requests,
        unread,
        is_silent,
    } = share.work;
    let ago = share.heard.map(|heard| now.since(heard).as_millis());
    let ago = ago.and_then(|ago| u32::try_from(ago).ok());
    (share.server, requests, unread, is_silent, ago)
}

/// Hears the other nodes, for as long as the node runs.
pub(crate) async fn run_receiver(shared: Arc<Shared>, socket: Arc<UdpSocket>, own: Node) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An error of one datagram, such as an unreachable port.
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        match decode(&buffer[..length]) {
            Ok((heartbeat, _)) if heartbeat.card.node == own => {}
            Ok((heartbeat, ack)) => apply_heartbeat(&shared, heartbeat, ack),
            Err(error) => {
                shared.metrics.count("beats_malformed", "peer");
                warn!(shared.log, "beat not understood"; "from" => %from, "error" => %error);
            }
        }
    }
}

/// Returns the shares that a datagram bears.
fn decode_shares(shares: EncodedShares, now: Moment) -> impl Iterator<Item = Share> {
    let shares = shares.into_iter();
    shares.map(move |(server, requests, unread, is_silent, ago)| Share {
        server,
        work: Work {
            requests,
            unread,
            is_silent,
        },
        heard: ago.map(|ago| now - Duration::from_millis(ago.into())),
    })
}

/// Takes one datagram into the tables.
fn apply_heartbeat(shared: &Arc<Shared>, heartbeat: Heartbeat, ack: Option<Ack>) {
    let now = shared.now();
    let mut tables = shared.tables();
    let had_received = tables.peers.has_received_from(&heartbeat.card);
    if !tables.peers.receive(&heartbeat, now) {
        return;
    }
    if !had_received {
        info!(shared.log, "node heard"; "node" => %heartbeat.card.node, "front" => %heartbeat.card.front);
    }
    let is_newest = heartbeat.planner_token == Some(tables.peers.highest_token());
    let is_planner =
        heartbeat.planner_token.is_some() && is_newest && tables.peers.own_token.is_none();
    let ack = ack.filter(|ack| ack.incarnation == tables.peers.own_incarnation);
    match heartbeat.load {
        LoadReport::Local(shares) if !tables.peers.has_recent_update(now) => {
            let shares = decode_shares(shares, now);
            tables.load.share(heartbeat.card.node, shares, now);
        }
        LoadReport::Total(shares) if is_planner => {
            let shares = decode_shares(shares, now).collect();
            let others = ack.and_then(|ack| tables.peers.subtract_own(shares, ack.load));
            if let Some(others) = others {
                tables.load.share_sum(heartbeat.card.node, others, now);
            }
        }
        _ => {}
    }
    let mut is_changed = false;
    if is_planner {
        is_changed |= tables.fleet.set_lost(heartbeat.dead_engines);
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
