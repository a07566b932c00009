//! The datagrams that nodes send each other.
//!
//! A lost datagram costs the freshness of a hint and nothing else: what must be
//! agreed on stands in the platform's store.

use crate::{
    state::Shared,
    vouch::{self, Echo, Told},
};
use clock::Moment;
use name::{Instance, Model, Node};
use place::{TargetLoad, Work};
use serde::{Deserialize, Serialize};
use site::node::NodeRecord;
use slog::{info, warn};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::UdpSocket, time::sleep};

/// The part of the time between two datagrams after which an urgent one may follow.
const URGENT_PART: f64 = 0.4;

/// The datagrams of a new planner that leave out the sum, since not all others
/// have told it yet what they have in progress.
const BEATS_WITHOUT_SUM: u32 = 3;

/// The first byte of a datagram, which names its format.
pub(crate) const FORMAT: u8 = 1;

/// The longest datagram, in bytes.
const MAX_BYTES: usize = 60_000;

/// What a node tells the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Beat {
    pub(crate) card: NodeRecord,
    /// Counts the datagrams of one life.
    pub(crate) number: u64,
    pub(crate) is_ready: bool,
    pub(crate) is_stopping: bool,
    /// The fencing token, if this node plans and sees the store.
    pub(crate) planner: Option<u64>,
    /// The engines that the planner found dead, with their lives.
    pub(crate) lost: Vec<(Instance, u64)>,
    /// The members without an entry that the planner finds alive, with their lives.
    pub(crate) unlisted: Vec<(Instance, u64)>,
    /// What is in progress.
    pub(crate) load: ToldLoad,
    /// The replicas that this node's callers would fill, by model.
    pub(crate) demand: Vec<(Model, f64)>,
    /// What the planner has read.
    pub(crate) told: Option<Told>,
}

/// Requests in progress, unread prompt tokens, silence, and how many milliseconds
/// ago something came, by target.
pub(crate) type ToldShares = Vec<(Instance, u32, u32, bool, Option<u32>)>;

/// What a datagram tells of requests in progress.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ToldLoad {
    /// Nothing.
    Nothing,
    /// The sender's own.
    Own(ToldShares),
    /// Those of all nodes.
    Sum(ToldShares),
}

/// To whom a datagram goes.
#[derive(Debug, Clone, Copy)]
enum Audience {
    /// The planner, which is at this address.
    Planner(SocketAddr),
    /// All other nodes.
    All,
}

/// Tells the other nodes, for as long as the node runs.
///
/// What is in progress goes to the planner, which tells all nodes the sum; while
/// there is none, it goes to all.
pub(crate) async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>, card: NodeRecord) {
    let mut number = 0;
    let mut beats_of_office = 0;
    let mut last_round: Option<(Moment, bool)> = None;
    let mut was_vouched = false;
    loop {
        let now = shared.now();
        note_planners_word(&shared, &mut was_vouched, now);
        let is_stopping = shared.is_stopping();
        let (beat, planner, is_planning, is_round_due) = {
            let mut tables = shared.tables();
            tables.peers.now = now;
            tables.load.expire(now);
            let nodes = tables.peers.count();
            for budget in tables.budgets.values_mut() {
                budget.set_node_count(&shared.settings.bounds, nodes);
            }
            let round = tables.peers.round();
            // That a node stops is told at once.
            let is_round_due = last_round
                .is_none_or(|(at, stopping)| now.since(at) >= round || stopping != is_stopping);
            let peers = &tables.peers;
            (
                peers.beat(),
                peers.planner_at(now),
                peers.own_token.is_some(),
                is_round_due,
            )
        };
        beats_of_office = if is_planning { beats_of_office + 1 } else { 0 };
        let has_sum = beats_of_office > BEATS_WITHOUT_SUM;
        let all = (is_planning || is_round_due).then_some(Audience::All);
        if all.is_some() {
            last_round = Some((now, is_stopping));
        }
        for audience in planner.map(Audience::Planner).into_iter().chain(all) {
            number += 1;
            let (beat, addresses) = write(&shared, &card, number, audience, has_sum);
            send(&shared, &socket, &beat, &addresses).await;
        }
        let urgent = beat.mul_f64(URGENT_PART);
        sleep(urgent).await;
        tokio::select! {
            () = sleep(beat.saturating_sub(urgent)) => {}
            () = shared.urgent.notified() => {}
        }
    }
}

/// Logs whether this node begins or ceases to rely on what the planner has read.
fn note_planners_word(shared: &Shared, was_vouched: &mut bool, now: Moment) {
    let tables = shared.tables();
    let is_vouched = tables.peers.is_vouched(now);
    if std::mem::replace(was_vouched, is_vouched) == is_vouched {
        return;
    }
    let age = |at: Option<Moment>| at.map(|at| now.since(at).as_millis() as u64);
    let message = if is_vouched {
        "planner's word heard"
    } else {
        "planner's word lost"
    };
    info!(shared.log, "{}", message; "token" => tables.peers.newest_token(),
        "config_age_ms" => age(tables.confirmed), "servers_age_ms" => age(tables.servers_confirmed));
}

/// Writes the next datagram, and returns where it goes, with what was heard from
/// there.
///
/// Both are taken under one lock: a later echo beside an earlier word would vouch
/// for what the word does not hold.
fn write(
    shared: &Shared,
    card: &NodeRecord,
    number: u64,
    audience: Audience,
    has_sum: bool,
) -> (Beat, Vec<(SocketAddr, Echo)>) {
    let is_ready = shared.is_ready();
    let now = shared.now();
    let mut tables = shared.tables();
    let is_planning = tables.peers.own_token.is_some();
    let load = if is_planning {
        if has_sum {
            ToldLoad::Sum(told_shares(tables.load.aggregate_load(now), now))
        } else {
            ToldLoad::Nothing
        }
    } else if let Audience::Planner(_) = audience {
        let shares: Vec<TargetLoad> = tables.load.local_load(now).collect();
        tables.peers.note_told(number, shares.clone());
        ToldLoad::Own(told_shares(shares, now))
    } else if tables.peers.has_planner(now) {
        ToldLoad::Nothing
    } else {
        ToldLoad::Own(told_shares(tables.load.local_load(now), now))
    };
    tables.peers.note_sent(number, now);
    let beat = Beat {
        card: card.clone(),
        number,
        is_ready,
        is_stopping: shared.is_stopping(),
        planner: tables.peers.own_token,
        lost: tables.peers.own_lost.clone(),
        unlisted: if is_planning {
            tables.fleet.unlisted()
        } else {
            Vec::new()
        },
        load,
        demand: tables.demand.replicas(now).into_iter().collect(),
        told: vouch::tell(&mut tables, shared.has_slow_link()),
    };
    let addresses = match audience {
        Audience::Planner(address) => vec![(address, Echo::default())],
        Audience::All => tables.peers.addresses(now),
    };
    (beat, addresses)
}

/// Sends one datagram to each address, with what was heard from there if this
/// node tells what it has read.
async fn send(shared: &Shared, socket: &UdpSocket, beat: &Beat, addresses: &[(SocketAddr, Echo)]) {
    let mut bytes = match postcard::to_extend(beat, vec![FORMAT]) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(shared.log, "beat not written"; "error" => %error);
            return;
        }
    };
    let length = bytes.len();
    for (address, echo) in addresses {
        bytes.truncate(length);
        if beat.told.is_some()
            && let Ok(echo) = postcard::to_stdvec(echo)
        {
            bytes.extend(echo);
        }
        // A datagram that cannot be sent is as good as a lost one; the next
        // one follows within the interval.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Reads a datagram: what is told to all, and what is told to this node.
pub(crate) fn decode(bytes: &[u8]) -> Result<(Beat, Option<Echo>), postcard::Error> {
    let Some((&FORMAT, bytes)) = bytes.split_first() else {
        return Err(postcard::Error::DeserializeBadEncoding);
    };
    let (beat, rest) = postcard::take_from_bytes::<Beat>(bytes)?;
    let echo = match rest {
        [] => None,
        rest => Some(postcard::from_bytes(rest)?),
    };
    Ok((beat, echo))
}

/// Returns shares as a datagram bears them.
fn told_shares(shares: impl IntoIterator<Item = TargetLoad>, now: Moment) -> ToldShares {
    shares.into_iter().map(|s| told_share(s, now)).collect()
}

/// Returns a share as a datagram bears it.
fn told_share(share: TargetLoad, now: Moment) -> (Instance, u32, u32, bool, Option<u32>) {
    let Work {
        requests,
        prefill_tokens: unread,
        is_stalled: is_silent,
    } = share.work;
    let ago = share
        .last_received
        .map(|heard| now.since(heard).as_millis());
    let ago = ago.and_then(|ago| u32::try_from(ago).ok());
    (share.server, requests, unread, is_silent, ago)
}

/// Hears the other nodes, for as long as the node runs.
pub(crate) async fn hear(shared: Arc<Shared>, socket: Arc<UdpSocket>, own: Node) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An error of one datagram, such as an unreachable port.
            sleep(Duration::from_millis(1)).await;
            continue;
        };
        match decode(&buffer[..length]) {
            Ok((beat, _)) if beat.card.node == own => {}
            Ok((beat, echo)) => take_in(&shared, beat, echo),
            Err(error) => {
                shared.metrics.count("beats_malformed", "peer");
                warn!(shared.log, "beat not understood"; "from" => %from, "error" => %error);
            }
        }
    }
}

/// Returns the shares that a datagram bears.
fn shares_of(shares: ToldShares, now: Moment) -> impl Iterator<Item = TargetLoad> {
    let shares = shares.into_iter();
    shares.map(
        move |(server, requests, unread, is_silent, ago)| TargetLoad {
            server,
            work: Work {
                requests,
                prefill_tokens: unread,
                is_stalled: is_silent,
            },
            last_received: ago.map(|ago| now - Duration::from_millis(ago.into())),
        },
    )
}

/// Takes one datagram into the tables.
fn take_in(shared: &Arc<Shared>, beat: Beat, echo: Option<Echo>) {
    let now = shared.now();
    let mut tables = shared.tables();
    let was_known = tables.peers.is_known(&beat.card);
    if !tables.peers.hear(&beat, now) {
        return;
    }
    if !was_known {
        info!(shared.log, "node heard"; "node" => %beat.card.node, "front" => %beat.card.caller_address);
    }
    let is_newest = beat.planner == Some(tables.peers.newest_token());
    let is_planner = beat.planner.is_some() && is_newest && tables.peers.own_token.is_none();
    let echo = echo.filter(|echo| echo.life == tables.peers.own_life);
    match beat.load {
        ToldLoad::Own(shares) if !tables.peers.is_vouched(now) => {
            let shares = shares_of(shares, now);
            tables.load.set_node_load(beat.card.node, shares, now);
        }
        ToldLoad::Sum(shares) if is_planner => {
            let shares = shares_of(shares, now).collect();
            let others = echo.and_then(|echo| tables.peers.without_own(shares, echo.told));
            if let Some(others) = others {
                tables.load.set_aggregate_load(beat.card.node, others, now);
            }
        }
        _ => {}
    }
    let mut is_changed = false;
    if is_planner {
        is_changed |= tables.fleet.set_dead(beat.lost);
        is_changed |= tables.fleet.set_unlisted(beat.unlisted);
        if let Some(told) = beat.told {
            is_changed |= vouch::take_over(&shared.log, &mut tables, told, echo, now);
        }
    }
    if is_changed {
        shared.refresh(&mut tables);
    } else {
        shared.offer(&mut tables);
    }
}
