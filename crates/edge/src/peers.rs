//! What nodes tell each other, by datagrams.
//!
//! A lost datagram costs the freshness of a hint and nothing else: what must be
//! agreed on stands in the platform's store.

use crate::{
    state::Shared,
    vouch::{self, Echo, News, Told},
};
use clock::Moment;
use name::{Instance, Model, Node};
use place::{Share, Work};
use serde::{Deserialize, Serialize};
use site::node::Card;
use slog::{info, warn};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{net::UdpSocket, time::sleep};

/// The shortest time between two datagrams to the same node.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// The time that each other node adds to the interval.
///
/// It bounds what a node sends and reads to about a hundred datagrams a second.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(10);

/// How many intervals a node may be silent before it is thought gone.
const SILENT_INTERVALS: u32 = 4;

/// How long a node that is silent still counts when allowances are divided.
const COUNTED_FOR: Duration = Duration::from_secs(10);

/// How long datagrams are sent to a node that never answers.
const TRIED_FOR: Duration = Duration::from_secs(30);

/// The same for the planner, on whose word the others act.
const PLANNER_INTERVAL_PER_PEER: Duration = Duration::from_millis(2);

/// The part of the interval after which an urgent datagram may follow.
const URGENT_PART: f64 = 0.3;

/// The datagrams whose time of sending is remembered: those of some seconds.
const MAX_SENT: usize = 128;

/// The first byte of a datagram, which names its format.
const FORMAT: u8 = 1;

/// The longest datagram, in bytes.
const MAX_BYTES: usize = 60_000;

/// What a node tells the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Beat {
    card: Card,
    /// Counts the datagrams of one life.
    number: u64,
    is_ready: bool,
    is_stopping: bool,
    /// The fencing token, if this node plans and sees the store.
    planner: Option<u64>,
    /// The engines that the planner found dead, with their lives.
    lost: Vec<(Instance, u64)>,
    /// Requests in progress, unread prompt tokens, silence, and how many
    /// milliseconds ago something came, by target.
    shares: Vec<(Instance, u32, u32, bool, Option<u32>)>,
    /// The replicas that this node's callers would fill, by model.
    demand: Vec<(Model, f64)>,
    /// What the planner has read.
    told: Option<Told>,
}

/// Another node.
#[derive(Debug, Clone)]
struct Peer {
    card: Card,
    number: u64,
    /// When it was last heard; `None` if only its card is known.
    heard: Option<Moment>,
    known: Moment,
    is_ready: bool,
    is_stopping: bool,
    demand: Vec<(Model, f64)>,
    /// What was heard of it when the feeds were read that this node tells of.
    echo: Echo,
}

/// The last datagram heard from each node, with the node's life.
pub(crate) type Marks = HashMap<Node, (u64, u64)>;

/// A planner that was heard.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    /// Its fencing token.
    pub(crate) token: u64,
    node: Node,
    /// When it last said that it plans; `None` if it has stepped down since.
    at: Option<Moment>,
}

/// What is known of the other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<Node, Peer>,
    now: Moment,
    /// The planner with the highest token that was heard.
    pub(crate) planner: Option<Heard>,
    /// The token that this node plans with, if it does.
    pub(crate) own_token: Option<u64>,
    /// What this node found dead, if it plans.
    pub(crate) own_lost: Vec<(Instance, u64)>,
    /// What this node read of servers' entries lately, if it plans.
    pub(crate) own_news: News,
    /// When another node last told what it has read.
    pub(crate) vouched: Option<Moment>,
    /// The number drawn at the start of this node's process.
    pub(crate) own_life: u64,
    /// The last datagrams that this node sent, and when.
    sent: VecDeque<(u64, Moment)>,
}

impl Peers {
    /// Returns the time between two datagrams of this node to the same node.
    fn interval(&self) -> Duration {
        if self.own_token.is_some() {
            self.planner_interval()
        } else {
            self.round()
        }
    }

    /// Returns the time between two datagrams of a node that plans.
    fn planner_interval(&self) -> Duration {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        MIN_INTERVAL.max(PLANNER_INTERVAL_PER_PEER * peers)
    }

    /// Notes that a datagram is sent.
    pub(crate) fn note_sent(&mut self, number: u64, now: Moment) {
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    /// Returns when a datagram was sent, if that is remembered.
    pub(crate) fn sent_at(&self, number: u64) -> Option<Moment> {
        let sent = self.sent.iter().rev();
        sent.clone()
            .find(|(known, _)| *known == number)
            .map(|(_, at)| *at)
    }

    /// Returns what was heard of the other nodes until now.
    pub(crate) fn marks(&self) -> Marks {
        let heard = self.peers.iter().filter(|(_, peer)| peer.heard.is_some());
        heard
            .map(|(node, peer)| (node.clone(), (peer.card.life, peer.number)))
            .collect()
    }

    /// Notes that a feed was read that began when `marks` had been heard.
    pub(crate) fn note_read(&mut self, marks: &Marks, place: impl Fn(&mut Echo) -> &mut u64) {
        for (node, (life, number)) in marks {
            let Some(peer) = self.peers.get_mut(node) else {
                continue;
            };
            if peer.echo.life != *life {
                peer.echo = Echo {
                    life: *life,
                    ..Echo::default()
                };
            }
            *place(&mut peer.echo) = *number;
        }
    }

    /// Returns whether a planner has told lately what it read.
    pub(crate) fn is_vouched(&self, now: Moment) -> bool {
        let patience = self.planner_patience();
        self.vouched.is_some_and(|at| now.since(at) < patience)
    }

    /// Returns the nodes among which allowances are divided, this one included.
    pub(crate) fn count(&self) -> usize {
        1 + self.counted().count()
    }

    /// Returns the names of the nodes among which allowances are divided.
    pub(crate) fn names<'a>(&'a self, own: &'a str) -> Vec<&'a str> {
        let others = self.counted().map(|peer| peer.card.node.as_str());
        others.chain([own]).collect()
    }

    /// Returns the other nodes among which allowances are divided.
    fn counted(&self) -> impl Iterator<Item = &Peer> {
        let is_counted = |peer: &&Peer| {
            peer.heard
                .is_some_and(|heard| self.now.since(heard) < COUNTED_FOR)
        };
        self.peers.values().filter(is_counted)
    }

    /// Returns the time between two datagrams of a node that does not plan.
    pub(crate) fn round(&self) -> Duration {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        MIN_INTERVAL.max(INTERVAL_PER_PEER * peers)
    }

    /// Returns how long a node may be silent before it counts as gone.
    fn patience(&self) -> Duration {
        self.round() * SILENT_INTERVALS
    }

    /// Returns how old a planner's word may be before it counts as gone.
    pub(crate) fn planner_patience(&self) -> Duration {
        self.planner_interval() * SILENT_INTERVALS
    }

    /// Returns whether a planner was heard lately and has not stepped down.
    pub(crate) fn has_planner(&self, now: Moment) -> bool {
        let at = self.planner.as_ref().and_then(|heard| heard.at);
        at.is_some_and(|at| now.since(at) < self.planner_patience())
    }

    /// Returns the highest fencing token that was heard.
    pub(crate) fn newest_token(&self) -> u64 {
        self.planner.as_ref().map_or(0, |heard| heard.token)
    }

    /// Learns of a node from its card in the store.
    pub(crate) fn learn(&mut self, card: Card, now: Moment) {
        let known = self.peers.get(&card.node);
        if known.is_some_and(|peer| peer.heard.is_some()) {
            return;
        }
        let peer = Peer {
            card,
            number: 0,
            heard: None,
            known: now,
            is_ready: false,
            is_stopping: false,
            demand: Vec::new(),
            echo: Echo::default(),
        };
        self.peers.insert(peer.card.node.clone(), peer);
    }

    /// Returns the addresses of the nodes that callers should use.
    pub(crate) fn usable(&self, now: Moment) -> Vec<(Card, bool)> {
        let patience = self.patience();
        self.peers
            .values()
            .filter(|peer| peer.heard.is_some_and(|at| now.since(at) < patience))
            .filter(|peer| !peer.is_stopping)
            .map(|peer| (peer.card.clone(), peer.is_ready))
            .collect()
    }

    /// Returns what the callers of all other nodes ask for.
    pub(crate) fn demand(&self, now: Moment) -> HashMap<Model, f64> {
        let patience = self.patience();
        let mut total = HashMap::new();
        for peer in self.peers.values() {
            if peer.heard.is_some_and(|at| now.since(at) < patience) {
                for (model, replicas) in &peer.demand {
                    *total.entry(model.clone()).or_default() += replicas;
                }
            }
        }
        total
    }

    /// Returns where datagrams go, and forgets nodes that never answer.
    fn addresses(&mut self, now: Moment) -> Vec<(SocketAddr, Echo)> {
        self.peers.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known);
            now.since(last) < TRIED_FOR
        });
        let peers = self.peers.values();
        peers.map(|peer| (peer.card.peer, peer.echo)).collect()
    }

    /// Takes a datagram in; returns false if it is an old one.
    fn hear(&mut self, beat: &Beat, now: Moment) -> bool {
        self.now = now;
        let known = self.peers.get(&beat.card.node);
        let is_old = known.is_some_and(|peer| {
            peer.card.life == beat.card.life && peer.heard.is_some() && peer.number >= beat.number
        });
        if is_old {
            return false;
        }
        let peer = Peer {
            card: beat.card.clone(),
            number: beat.number,
            heard: Some(now),
            known: now,
            is_ready: beat.is_ready,
            is_stopping: beat.is_stopping,
            demand: beat.demand.clone(),
            echo: known.map_or_else(Echo::default, |peer| peer.echo),
        };
        self.peers.insert(peer.card.node.clone(), peer);
        match (beat.planner, &mut self.planner) {
            (Some(token), known) if token >= known.as_ref().map_or(0, |k| k.token) => {
                *known = Some(Heard {
                    token,
                    node: beat.card.node.clone(),
                    at: Some(now),
                });
            }
            (None, Some(known)) if known.node == beat.card.node => known.at = None,
            _ => {}
        }
        true
    }
}

/// Tells the other nodes, for as long as the node runs.
pub(crate) async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>, card: Card) {
    let mut number = 0;
    loop {
        number += 1;
        let (addresses, interval, beat) = {
            let is_ready = shared.is_ready();
            let now = shared.now();
            let mut tables = shared.tables();
            tables.peers.now = now;
            tables.load.expire(now);
            let beat = Beat {
                card: card.clone(),
                number,
                is_ready,
                is_stopping: shared.is_stopping(),
                planner: tables.peers.own_token,
                lost: tables.peers.own_lost.clone(),
                shares: tables
                    .load
                    .shares(now)
                    .map(|s| told_share(s, now))
                    .collect(),
                demand: tables.demand.replicas(now).into_iter().collect(),
                told: vouch::tell(&mut tables),
            };
            tables.peers.note_sent(number, now);
            let addresses = tables.peers.addresses(now);
            let nodes = tables.peers.count();
            tables.budget.divide(&shared.settings.bounds, nodes);
            (addresses, tables.peers.interval(), beat)
        };
        match postcard::to_extend(&beat, vec![FORMAT]) {
            Ok(bytes) => send(&socket, bytes, &addresses, beat.told.is_some()).await,
            Err(error) => warn!(shared.log, "beat not written"; "error" => %error),
        }
        let urgent = interval.mul_f64(URGENT_PART);
        sleep(urgent).await;
        tokio::select! {
            () = sleep(interval.saturating_sub(urgent)) => {}
            () = shared.urgent.notified() => {}
        }
    }
}

/// Returns a share as a datagram bears it.
fn told_share(share: Share, now: Moment) -> (Instance, u32, u32, bool, Option<u32>) {
    let Work {
        requests,
        unread,
        is_silent,
    } = share.work;
    let ago = share.heard.map(|heard| now.since(heard).as_millis());
    let ago = ago.and_then(|ago| u32::try_from(ago).ok());
    (share.server, requests, unread, is_silent, ago)
}

/// Sends one datagram to each address, with what was heard from there if this
/// node tells what it has read.
async fn send(
    socket: &UdpSocket,
    mut bytes: Vec<u8>,
    addresses: &[(SocketAddr, Echo)],
    is_telling: bool,
) {
    let length = bytes.len();
    for (address, echo) in addresses {
        bytes.truncate(length);
        if is_telling && let Ok(echo) = postcard::to_stdvec(echo) {
            bytes.extend(echo);
        }
        // A datagram that cannot be sent is as good as a lost one; the next
        // one follows within the interval.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Reads a datagram: what is told to all, and what is told to this node.
fn decode(bytes: &[u8]) -> Result<(Beat, Option<Echo>), postcard::Error> {
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

/// Takes one datagram into the tables.
fn take_in(shared: &Arc<Shared>, beat: Beat, echo: Option<Echo>) {
    let now = shared.now();
    let mut tables = shared.tables();
    let was_known = tables
        .peers
        .peers
        .get(&beat.card.node)
        .is_some_and(|peer| peer.card.life == beat.card.life && peer.heard.is_some());
    if !tables.peers.hear(&beat, now) {
        return;
    }
    if !was_known {
        info!(shared.log, "node heard"; "node" => %beat.card.node, "front" => %beat.card.front);
    }
    let shares = beat.shares.into_iter();
    let shares = shares.map(|(server, requests, unread, is_silent, ago)| Share {
        server,
        work: Work {
            requests,
            unread,
            is_silent,
        },
        heard: ago.map(|ago| now - Duration::from_millis(ago.into())),
    });
    tables.load.share(beat.card.node, shares, now);
    let is_newest = beat.planner == Some(tables.peers.newest_token());
    let mut is_changed = false;
    if beat.planner.is_some() && is_newest && tables.peers.own_token.is_none() {
        is_changed |= tables.fleet.set_lost(beat.lost);
        let echo = echo.filter(|echo| echo.life == tables.peers.own_life);
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

#[cfg(test)]
mod tests;
