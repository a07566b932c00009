//! What nodes tell each other, by datagrams.
//!
//! A lost datagram costs the freshness of a hint and nothing else: what must be
//! agreed on stands in the platform's store.

use crate::{follow, state::Shared};
use clock::Moment;
use name::{Instance, Model, Node};
use place::{Share, Work};
use serde::{Deserialize, Serialize};
use site::{node::Card, server::Change};
use slog::{info, warn};
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
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

/// How long a change of an entry is told: some datagrams, of which a few may be lost.
const TOLD_FOR: Duration = Duration::from_millis(900);

/// The most changes in one datagram, so that it stays within its length.
const MAX_NEWS: usize = 60;

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
    /// What the planner read of servers' entries lately, each with the offset of
    /// the feed behind it.
    news: Vec<(u64, Change)>,
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
}

/// Changes of servers' entries, told for as long as other nodes may not have read them.
#[derive(Debug, Clone, Default)]
pub(crate) struct News {
    changes: Vec<(u64, Change, Moment)>,
}

impl News {
    /// Adds a change that was read before an offset of the feed.
    pub(crate) fn add(&mut self, offset: u64, change: Change, now: Moment) {
        self.changes
            .retain(|(_, known, at)| known.id() != change.id() && now.since(*at) < TOLD_FOR);
        self.changes.push((offset, change, now));
    }

    /// Returns what is still to be told, the newest changes if they are many.
    fn told(&self, now: Moment) -> Vec<(u64, Change)> {
        let lately = self.changes.iter().rev();
        lately
            .filter(|(_, _, at)| now.since(*at) < TOLD_FOR)
            .take(MAX_NEWS)
            .map(|(offset, change, _)| (*offset, change.clone()))
            .collect()
    }
}

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
}

impl Peers {
    /// Returns the time between two datagrams to the same node.
    fn interval(&self) -> Duration {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        MIN_INTERVAL.max(INTERVAL_PER_PEER * peers)
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

    /// Returns how old a planner's word may be before it counts as gone.
    pub(crate) fn patience(&self) -> Duration {
        self.interval() * SILENT_INTERVALS
    }

    /// Returns whether a planner was heard lately and has not stepped down.
    pub(crate) fn has_planner(&self, now: Moment) -> bool {
        let at = self.planner.as_ref().and_then(|heard| heard.at);
        at.is_some_and(|at| now.since(at) < self.patience())
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
    fn addresses(&mut self, now: Moment) -> Vec<SocketAddr> {
        self.peers.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known);
            now.since(last) < TRIED_FOR
        });
        self.peers.values().map(|peer| peer.card.peer).collect()
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
        let (addresses, interval, bytes) = {
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
                news: tables.peers.own_news.told(now),
            };
            let addresses = tables.peers.addresses(now);
            let nodes = tables.peers.count();
            tables.budget.divide(&shared.settings.bounds, nodes);
            (
                addresses,
                tables.peers.interval(),
                serde_json::to_vec(&beat),
            )
        };
        match bytes {
            Ok(bytes) => send(&socket, &bytes, &addresses).await,
            Err(error) => warn!(shared.log, "beat not written"; "error" => %error),
        }
        sleep(interval).await;
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

/// Sends one datagram to each address.
async fn send(socket: &UdpSocket, bytes: &[u8], addresses: &[SocketAddr]) {
    for address in addresses {
        // A datagram that cannot be sent is as good as a lost one; the next
        // one follows within the interval.
        let _ = socket.send_to(bytes, address).await;
    }
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
        match serde_json::from_slice::<Beat>(&buffer[..length]) {
            Ok(beat) if beat.card.node == own => {}
            Ok(beat) => take_in(&shared, beat),
            Err(error) => {
                shared.metrics.count("beats_malformed", "peer");
                warn!(shared.log, "beat not understood"; "from" => %from, "error" => %error);
            }
        }
    }
}

/// Takes one datagram into the tables.
fn take_in(shared: &Arc<Shared>, beat: Beat) {
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
        for (offset, change) in beat.news {
            is_changed |= follow::hear(shared, &mut tables, offset, change);
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
