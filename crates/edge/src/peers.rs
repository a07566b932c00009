//! What is known of the other nodes, by the datagrams that were heard.

use crate::{
    beat::{Beat, ToldLoad},
    vouch::{Echo, News},
};
use clock::Moment;
use name::{Instance, Model, Node};
use place::{TargetLoad, Work};
use site::node::NodeRecord;
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// The shortest time between two datagrams that a node sends to all others.
const MIN_ROUND: Duration = Duration::from_millis(400);

/// The time that each other node adds to it.
///
/// It bounds what a node sends and reads to about a hundred datagrams a second.
const ROUND_PER_PEER: Duration = Duration::from_millis(10);

/// The shortest time between two datagrams from and to the planner, which adds
/// up what the others have in progress and tells them.
const MIN_BEAT: Duration = Duration::from_millis(200);

/// The time that each other node adds to it.
///
/// It bounds what the planner sends and reads to about five hundred datagrams a
/// second.
const BEAT_PER_PEER: Duration = Duration::from_millis(2);

/// How many intervals a node may be silent before it is thought gone.
const SILENT_INTERVALS: u32 = 4;

/// How long a node that is silent still counts when allowances are divided.
const COUNTED_FOR: Duration = Duration::from_secs(10);

/// How long datagrams are sent to a node that never answers.
const TRIED_FOR: Duration = Duration::from_secs(30);

/// The datagrams whose time of sending is remembered: those of some seconds.
const MAX_SENT: usize = 128;

/// The datagrams to the planner of which it is remembered what they told.
const MAX_TOLD: usize = 16;

/// Another node.
#[derive(Debug, Clone)]
struct Peer {
    card: NodeRecord,
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
    pub(crate) now: Moment,
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
    /// The last datagrams that told the planner of this node's load, and what.
    told: VecDeque<(u64, Vec<TargetLoad>)>,
}

impl Peers {
    /// Returns how many other nodes are known.
    fn others(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time between two datagrams that a node sends to all others.
    pub(crate) fn round(&self) -> Duration {
        MIN_ROUND.max(ROUND_PER_PEER * self.others())
    }

    /// Returns the time between two datagrams from and to the planner.
    pub(crate) fn beat(&self) -> Duration {
        MIN_BEAT.max(BEAT_PER_PEER * self.others())
    }

    /// Returns how late this node learns what the others choose.
    pub(crate) fn lag(&self, now: Moment) -> Duration {
        if self.own_token.is_some() {
            self.beat()
        } else if self.is_vouched(now) {
            self.beat() * 2
        } else {
            self.round()
        }
    }

    /// Returns where the planner is heard, if another node plans.
    pub(crate) fn planner_at(&self, now: Moment) -> Option<SocketAddr> {
        if self.own_token.is_some() || !self.has_planner(now) {
            return None;
        }
        let heard = self.planner.as_ref()?;
        Some(self.peers.get(&heard.node)?.card.peer_address)
    }

    /// Notes what this node told of its own load with a datagram.
    pub(crate) fn note_told(&mut self, number: u64, shares: Vec<TargetLoad>) {
        self.told.push_back((number, shares));
        if self.told.len() > MAX_TOLD {
            self.told.pop_front();
        }
    }

    /// Returns the work of all nodes but this one, from a sum that holds what this
    /// node told with a datagram; `None` if that is no longer known.
    pub(crate) fn without_own(&self, sum: Vec<TargetLoad>, number: u64) -> Option<Vec<TargetLoad>> {
        let (_, own) = self.told.iter().rev().find(|(known, _)| *known == number)?;
        let part = |server: &Instance| {
            let share = own.iter().find(|share| share.server == *server);
            share.map_or_else(Work::default, |share| share.work)
        };
        let sum = sum.into_iter();
        Some(
            sum.map(|share| {
                let part = part(&share.server);
                share.without(part)
            })
            .collect(),
        )
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
        let mut sent = self.sent.iter().rev();
        let (_, at) = sent.find(|(known, _)| *known == number)?;
        Some(*at)
    }

    /// Returns what was heard of the other nodes until now.
    pub(crate) fn marks(&self) -> Marks {
        let heard = self.peers.iter().filter(|(_, peer)| peer.heard.is_some());
        heard
            .map(|(node, peer)| (node.clone(), (peer.card.incarnation, peer.number)))
            .collect()
    }

    /// Notes that a feed was read that began when `marks` had been heard.
    pub(crate) fn note_read(&mut self, marks: &Marks, place: impl Fn(&mut Echo) -> &mut u64) {
        for (node, (life, number)) in marks {
            let Some(peer) = self.peers.get_mut(node) else {
                continue;
            };
            peer.echo.note_life(*life);
            *place(&mut peer.echo) = *number;
        }
    }

    /// Returns whether a planner has told lately what it read.
    pub(crate) fn is_vouched(&self, now: Moment) -> bool {
        let patience = self.planner_patience();
        self.own_token.is_none() && self.vouched.is_some_and(|at| now.since(at) < patience)
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

    /// Returns how long a node may be silent before it counts as gone.
    fn patience(&self) -> Duration {
        self.round() * SILENT_INTERVALS
    }

    /// Returns how old a planner's word may be before it counts as gone.
    pub(crate) fn planner_patience(&self) -> Duration {
        self.beat() * SILENT_INTERVALS
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
    pub(crate) fn learn(&mut self, card: NodeRecord, now: Moment) {
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
    pub(crate) fn usable(&self, now: Moment) -> Vec<(NodeRecord, bool)> {
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
    pub(crate) fn addresses(&mut self, now: Moment) -> Vec<(SocketAddr, Echo)> {
        self.peers.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known);
            now.since(last) < TRIED_FOR
        });
        let peers = self.peers.values();
        peers
            .map(|peer| (peer.card.peer_address, peer.echo))
            .collect()
    }

    /// Returns whether a node was heard in this life.
    pub(crate) fn is_known(&self, card: &NodeRecord) -> bool {
        let peer = self.peers.get(&card.node);
        peer.is_some_and(|peer| peer.card.incarnation == card.incarnation && peer.heard.is_some())
    }

    /// Takes a datagram in; returns false if it is an old one.
    pub(crate) fn hear(&mut self, beat: &Beat, now: Moment) -> bool {
        self.now = now;
        let known = self.peers.get(&beat.card.node);
        let is_old = known.is_some_and(|peer| {
            peer.card.incarnation == beat.card.incarnation
                && peer.heard.is_some()
                && peer.number >= beat.number
        });
        if is_old {
            return false;
        }
        let mut echo = known.map_or_else(Echo::default, |peer| peer.echo);
        if matches!(beat.load, ToldLoad::Own(_)) {
            echo.note_life(beat.card.incarnation);
            echo.told = beat.number;
        }
        let peer = Peer {
            card: beat.card.clone(),
            number: beat.number,
            heard: Some(now),
            known: now,
            is_ready: beat.is_ready,
            is_stopping: beat.is_stopping,
            demand: beat.demand.clone(),
            echo,
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

#[cfg(test)]
mod tests;
