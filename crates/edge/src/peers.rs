//! What is known of the other nodes, by the datagrams that were heard.

use crate::{
    feed_relay::{Ack, Backlog},
    heartbeat::{Heartbeat, LoadReport},
};
use clock::Moment;
use name::{Instance, Model, Node};
use place::{Share, Work};
use site::node::Card;
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// The shortest time between two datagrams that a node sends to all others.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(400);

/// The time that each other node adds to it.
///
/// It bounds what a node sends and reads to about a hundred datagrams a second.
const BROADCAST_INTERVAL_PER_PEER: Duration = Duration::from_millis(10);

/// The shortest time between two datagrams from and to the planner, which adds
/// up what the others have in progress and tells them.
const MIN_PLANNER_INTERVAL: Duration = Duration::from_millis(200);

/// The time that each other node adds to it.
///
/// It bounds what the planner sends and reads to about five hundred datagrams a
/// second.
const PLANNER_INTERVAL_PER_PEER: Duration = Duration::from_millis(2);

/// How many intervals a node may be silent before it is thought gone.
const MAX_MISSED_INTERVALS: u32 = 4;

/// How long a node that is silent still counts when allowances are divided.
const ALLOWANCE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long datagrams are sent to a node that never answers.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The datagrams whose time of sending is remembered: those of some seconds.
const MAX_SEND_TIMES: usize = 128;

/// The datagrams to the planner of which it is remembered what they told.
const MAX_REPORTED_LOADS: usize = 16;

/// Another node.
#[derive(Debug, Clone)]
struct Peer {
    card: Card,
    sequence: u64,
    /// When it was last heard; `None` if only its card is known.
    last_received: Option<Moment>,
    discovered_at: Moment,
    is_ready: bool,
    is_stopping: bool,
    demand: Vec<(Model, f64)>,
    /// What was heard of it when the feeds were read that this node tells of.
    ack: Ack,
}

/// The last datagram heard from each node, with the node's life.
pub(crate) type ReceivedSequences = HashMap<Node, (u64, u64)>;

/// A planner that was heard.
#[derive(Debug, Clone)]
pub(crate) struct KnownPlanner {
    /// Its fencing token.
    pub(crate) token: u64,
    node: Node,
    /// When it last said that it plans; `None` if it has stepped down since.
    last_active: Option<Moment>,
}

/// What is known of the other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<Node, Peer>,
    pub(crate) now: Moment,
    /// The planner with the highest token that was heard.
    pub(crate) planner: Option<KnownPlanner>,
    /// The token that this node plans with, if it does.
    pub(crate) own_token: Option<u64>,
    /// What this node found dead, if it plans.
    pub(crate) dead_engines: Vec<(Instance, u64)>,
    /// What this node read of servers' entries lately, if it plans.
    pub(crate) backlog: Backlog,
    /// When another node last told what it has read.
    pub(crate) last_update: Option<Moment>,
    /// The number drawn at the start of this node's process.
    pub(crate) own_incarnation: u64,
    /// The last datagrams that this node sent, and when.
    send_times: VecDeque<(u64, Moment)>,
    /// The last datagrams that told the planner of this node's load, and what.
    reported_loads: VecDeque<(u64, Vec<Share>)>,
}

impl Peers {
    /// Returns how many other nodes are known.
    fn others(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time between two datagrams that a node sends to all others.
    pub(crate) fn broadcast_interval(&self) -> Duration {
        MIN_BROADCAST_INTERVAL.max(BROADCAST_INTERVAL_PER_PEER * self.others())
    }

    /// Returns the time between two datagrams from and to the planner.
    pub(crate) fn planner_interval(&self) -> Duration {
        MIN_PLANNER_INTERVAL.max(PLANNER_INTERVAL_PER_PEER * self.others())
    }

    /// Returns how late this node learns what the others choose.
    pub(crate) fn load_delay(&self, now: Moment) -> Duration {
        if self.own_token.is_some() {
            self.planner_interval()
        } else if self.has_recent_update(now) {
            self.planner_interval() * 2
        } else {
            self.broadcast_interval()
        }
    }

    /// Returns where the planner is heard, if another node plans.
    pub(crate) fn planner_address(&self, now: Moment) -> Option<SocketAddr> {
        if self.own_token.is_some() || !self.has_planner(now) {
            return None;
        }
        let planner = self.planner.as_ref()?;
        Some(self.peers.get(&planner.node)?.card.peer)
    }

    /// Notes what this node told of its own load with a datagram.
    pub(crate) fn record_reported_load(&mut self, sequence: u64, shares: Vec<Share>) {
        self.reported_loads.push_back((sequence, shares));
        if self.reported_loads.len() > MAX_REPORTED_LOADS {
            self.reported_loads.pop_front();
        }
    }

    /// Returns the work of all nodes but this one, from a sum that holds what this
    /// node told with a datagram; `None` if that is no longer known.
    pub(crate) fn subtract_own(&self, sum: Vec<Share>, sequence: u64) -> Option<Vec<Share>> {
        let (_, own) = self
            .reported_loads
            .iter()
            .rev()
            .find(|(known, _)| *known == sequence)?;
        let own_work = |server: &Instance| {
            let share = own.iter().find(|share| share.server == *server);
            share.map_or_else(Work::default, |share| share.work)
        };
        let sum = sum.into_iter();
        Some(
            sum.map(|share| {
                let own_work = own_work(&share.server);
                share.without(own_work)
            })
            .collect(),
        )
    }

    /// Notes that a datagram is sent.
    pub(crate) fn record_sent(&mut self, sequence: u64, now: Moment) {
        self.send_times.push_back((sequence, now));
        if self.send_times.len() > MAX_SEND_TIMES {
            self.send_times.pop_front();
        }
    }

    /// Returns when a datagram was sent, if that is remembered.
    pub(crate) fn sent_at(&self, sequence: u64) -> Option<Moment> {
        let mut sent = self.send_times.iter().rev();
        let (_, at) = sent.find(|(known, _)| *known == sequence)?;
        Some(*at)
    }

    /// Returns what was heard of the other nodes until now.
    pub(crate) fn received(&self) -> ReceivedSequences {
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.last_received.is_some());
        peers
            .map(|(node, peer)| (node.clone(), (peer.card.life, peer.sequence)))
            .collect()
    }

    /// Notes that a feed was read that began when `marks` had been heard.
    pub(crate) fn record_read(
        &mut self,
        received: &ReceivedSequences,
        field: impl Fn(&mut Ack) -> &mut u64,
    ) {
        for (node, (incarnation, sequence)) in received {
            let Some(peer) = self.peers.get_mut(node) else {
                continue;
            };
            peer.ack.set_incarnation(*incarnation);
            *field(&mut peer.ack) = *sequence;
        }
    }

    /// Returns whether a planner has told lately what it read.
    pub(crate) fn has_recent_update(&self, now: Moment) -> bool {
        let timeout = self.planner_timeout();
        self.own_token.is_none() && self.last_update.is_some_and(|at| now.since(at) < timeout)
    }

    /// Returns the nodes among which allowances are divided, this one included.
    pub(crate) fn node_count(&self) -> usize {
        1 + self.allowance_peers().count()
    }

    /// Returns the names of the nodes among which allowances are divided.
    pub(crate) fn node_names<'a>(&'a self, own: &'a str) -> Vec<&'a str> {
        let others = self.allowance_peers().map(|peer| peer.card.node.as_str());
        others.chain([own]).collect()
    }

    /// Returns the other nodes among which allowances are divided.
    fn allowance_peers(&self) -> impl Iterator<Item = &Peer> {
        let has_allowance = |peer: &&Peer| {
            peer.last_received
                .is_some_and(|at| self.now.since(at) < ALLOWANCE_TIMEOUT)
        };
        self.peers.values().filter(has_allowance)
    }

    /// Returns how long a node may be silent before it counts as gone.
    fn silence_timeout(&self) -> Duration {
        self.broadcast_interval() * MAX_MISSED_INTERVALS
    }

    /// Returns how old a planner's word may be before it counts as gone.
    pub(crate) fn planner_timeout(&self) -> Duration {
        self.planner_interval() * MAX_MISSED_INTERVALS
    }

    /// Returns whether a planner was heard lately and has not stepped down.
    pub(crate) fn has_planner(&self, now: Moment) -> bool {
        let at = self
            .planner
            .as_ref()
            .and_then(|planner| planner.last_active);
        at.is_some_and(|at| now.since(at) < self.planner_timeout())
    }

    /// Returns the highest fencing token that was heard.
    pub(crate) fn highest_token(&self) -> u64 {
        self.planner.as_ref().map_or(0, |planner| planner.token)
    }

    /// Learns of a node from its card in the store.
    pub(crate) fn add_card(&mut self, card: Card, now: Moment) {
        let known = self.peers.get(&card.node);
        if known.is_some_and(|peer| peer.last_received.is_some()) {
            return;
        }
        let peer = Peer {
            card,
            sequence: 0,
            last_received: None,
            discovered_at: now,
            is_ready: false,
            is_stopping: false,
            demand: Vec::new(),
            ack: Ack::default(),
        };
        self.peers.insert(peer.card.node.clone(), peer);
    }

    /// Returns the addresses of the nodes that callers should use.
    pub(crate) fn available_nodes(&self, now: Moment) -> Vec<(Card, bool)> {
        let timeout = self.silence_timeout();
        self.peers
            .values()
            .filter(|peer| peer.last_received.is_some_and(|at| now.since(at) < timeout))
            .filter(|peer| !peer.is_stopping)
            .map(|peer| (peer.card.clone(), peer.is_ready))
            .collect()
    }

    /// Returns what the callers of all other nodes ask for.
    pub(crate) fn demand(&self, now: Moment) -> HashMap<Model, f64> {
        let timeout = self.silence_timeout();
        let mut total = HashMap::new();
        for peer in self.peers.values() {
            if peer.last_received.is_some_and(|at| now.since(at) < timeout) {
                for (model, replicas) in &peer.demand {
                    *total.entry(model.clone()).or_default() += replicas;
                }
            }
        }
        total
    }

    /// Returns where datagrams go, and forgets nodes that never answer.
    pub(crate) fn heartbeat_targets(&mut self, now: Moment) -> Vec<(SocketAddr, Ack)> {
        self.peers.retain(|_, peer| {
            let last = peer.last_received.unwrap_or(peer.discovered_at);
            now.since(last) < UNREACHABLE_TIMEOUT
        });
        let peers = self.peers.values();
        peers.map(|peer| (peer.card.peer, peer.ack)).collect()
    }

    /// Returns whether a node was heard in this life.
    pub(crate) fn has_received_from(&self, card: &Card) -> bool {
        let peer = self.peers.get(&card.node);
        peer.is_some_and(|peer| peer.card.life == card.life && peer.last_received.is_some())
    }

    /// Takes a datagram in; returns false if it is an old one.
    pub(crate) fn receive(&mut self, heartbeat: &Heartbeat, now: Moment) -> bool {
        self.now = now;
        let known = self.peers.get(&heartbeat.card.node);
        let is_stale = known.is_some_and(|peer| {
            peer.card.life == heartbeat.card.life
                && peer.last_received.is_some()
                && peer.sequence >= heartbeat.sequence
        });
        if is_stale {
            return false;
        }
        let mut ack = known.map_or_else(Ack::default, |peer| peer.ack);
        if matches!(heartbeat.load, LoadReport::Local(_)) {
            ack.set_incarnation(heartbeat.card.life);
            ack.load = heartbeat.sequence;
        }
        let peer = Peer {
            card: heartbeat.card.clone(),
            sequence: heartbeat.sequence,
            last_received: Some(now),
            discovered_at: now,
            is_ready: heartbeat.is_ready,
            is_stopping: heartbeat.is_stopping,
            demand: heartbeat.demand.clone(),
            ack,
        };
        self.peers.insert(peer.card.node.clone(), peer);
        match (heartbeat.planner_token, &mut self.planner) {
            (Some(token), known) if token >= known.as_ref().map_or(0, |k| k.token) => {
                *known = Some(KnownPlanner {
                    token,
                    node: heartbeat.card.node.clone(),
                    last_active: Some(now),
                });
            }
            (None, Some(known)) if known.node == heartbeat.card.node => known.last_active = None,
            _ => {}
        }
        true
    }
}

#[cfg(test)]
mod tests;
