//! The state of the other nodes, from their heartbeats.

use crate::{
    feed_relay::{Ack, Backlog},
    heartbeat::{Heartbeat, LoadReport},
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

/// The minimum time between two heartbeats that a node sends to all others.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(400);

/// The broadcast interval per other node, once it exceeds the minimum.
///
/// It limits a node to sending and receiving about a hundred datagrams per second.
const BROADCAST_INTERVAL_PER_PEER: Duration = Duration::from_millis(10);

/// The minimum time between two heartbeats from and to the planner, which sums up
/// the other nodes' load and sends them the total.
const MIN_PLANNER_INTERVAL: Duration = Duration::from_millis(200);

/// The planner's heartbeat interval per other node, once it exceeds the minimum.
///
/// It limits the planner to sending and receiving about five hundred datagrams per
/// second.
const PLANNER_INTERVAL_PER_PEER: Duration = Duration::from_millis(2);

/// The longest time between two heartbeats of the planner, whatever the number of nodes.
///
/// Those between two that carry its feed reads and the total load are small.
pub(crate) const MAX_LIVENESS_INTERVAL: Duration = Duration::from_millis(250);

/// The number of intervals without a heartbeat after which a node counts as unreachable.
const MAX_MISSED_INTERVALS: u32 = 4;

/// How long a node without heartbeats still gets a share of divided allowances.
const ALLOWANCE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long heartbeats are sent to a node that sends none.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of heartbeats whose send time is stored: those of some seconds.
const MAX_SEND_TIMES: usize = 128;

/// The number of load reports to the planner that are stored.
const MAX_REPORTED_LOADS: usize = 16;

/// How well a node serves callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// It is not ready.
    None,
    /// It passes requests on to other nodes.
    Forwarded,
    /// It sends requests to the servers.
    Direct,
}

impl Standing {
    /// Returns how well a node serves, given whether it is ready and isolated.
    pub(crate) fn new(is_ready: bool, is_isolated: bool) -> Self {
        match (is_ready, is_isolated) {
            (false, _) => Self::None,
            (true, true) => Self::Forwarded,
            (true, false) => Self::Direct,
        }
    }
}

/// Another node.
#[derive(Debug, Clone)]
struct Peer {
    record: NodeRecord,
    sequence: u64,
    /// When its last heartbeat was received; `None` if only its record was read.
    last_received: Option<Moment>,
    discovered_at: Moment,
    is_ready: bool,
    is_stopping: bool,
    /// Whether it reaches no backend servers.
    is_isolated: bool,
    demand: Vec<(Model, f64)>,
    /// Which of its heartbeats had come before the feed reads that this node relays.
    ack: Ack,
}

/// The incarnation and sequence number of each node's last heartbeat.
pub(crate) type ReceivedSequences = HashMap<Node, (u64, u64)>;

/// A planner that sent a heartbeat.
#[derive(Debug, Clone)]
pub(crate) struct KnownPlanner {
    /// Its fencing token.
    pub(crate) token: u64,
    node: Node,
    /// When its last heartbeat as planner came; `None` if it has stepped down since.
    last_active: Option<Moment>,
}

/// The holder of a planner claim that is asked for a heartbeat.
#[derive(Debug, Clone)]
struct Asked {
    node: Node,
    since: Moment,
}

/// The state of the other nodes, and of this node's exchange with them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<Node, Peer>,
    pub(crate) now: Moment,
    /// The planner with the highest fencing token received.
    pub(crate) planner: Option<KnownPlanner>,
    /// This node's fencing token, if it is the planner.
    pub(crate) own_token: Option<u64>,
    /// The planner that is asked for a heartbeat, if none came lately.
    asked: Option<Asked>,
    /// Whether nodes were found in the store to which no heartbeat was sent yet.
    has_new_records: bool,
    /// The engines that this node found dead, if it is the planner.
    pub(crate) dead_engines: Vec<(Instance, u64)>,
    /// The changes of servers' entries to relay, if this node is the planner.
    pub(crate) backlog: Backlog,
    /// When the last feed update came from a planner.
    pub(crate) last_update: Option<Moment>,
    /// The random number that identifies this process.
    pub(crate) own_incarnation: u64,
    /// The sequence numbers and send times of this node's last heartbeats.
    send_times: VecDeque<(u64, Moment)>,
    /// The sequence numbers and contents of this node's last load reports to the
    /// planner.
    reported_loads: VecDeque<(u64, Vec<TargetLoad>)>,
}

impl Peers {
    /// Returns the number of other nodes.
    fn others(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the time between two heartbeats that a node sends to all others.
    pub(crate) fn broadcast_interval(&self) -> Duration {
        MIN_BROADCAST_INTERVAL.max(BROADCAST_INTERVAL_PER_PEER * self.others())
    }

    /// Returns the time between two heartbeats of the planner, a part of that between two with
    /// the total.
    pub(crate) fn liveness_interval(&self) -> Duration {
        let interval = self.planner_interval();
        let parts = interval
            .as_millis()
            .div_ceil(MAX_LIVENESS_INTERVAL.as_millis());
        interval / u32::try_from(parts).unwrap_or(u32::MAX)
    }

    /// Returns the time between two load reports to the planner, and between two of its
    /// heartbeats with the total.
    pub(crate) fn planner_interval(&self) -> Duration {
        MIN_PLANNER_INTERVAL.max(PLANNER_INTERVAL_PER_PEER * self.others())
    }

    /// Returns the delay until this node receives the load that others add.
    pub(crate) fn load_delay(&self, now: Moment) -> Duration {
        if self.own_token.is_some() {
            self.planner_interval()
        } else if self.has_recent_update(now) {
            self.planner_interval() * 2
        } else {
            self.broadcast_interval()
        }
    }

    /// Returns the address for heartbeats to the planner, if another node plans or may plan.
    pub(crate) fn planner_address(&self, now: Moment) -> Option<SocketAddr> {
        if self.own_token.is_some() {
            return None;
        }
        let planner = self.planner.as_ref().filter(|_| self.has_planner(now));
        let asked = self.asked.as_ref().map(|asked| &asked.node);
        let node = planner.map(|planner| &planner.node).or(asked)?;
        Some(self.peers.get(node)?.record.peer_address)
    }

    /// Starts to ask a node for a heartbeat, and returns since when it has been asked.
    pub(crate) fn ask(&mut self, node: &Node, now: Moment) -> Moment {
        let asked = self.asked.take().filter(|asked| asked.node == *node);
        let asked = asked.unwrap_or_else(|| Asked {
            node: node.clone(),
            since: now,
        });
        let since = asked.since;
        self.asked = Some(asked);
        since
    }

    /// Asks the planner once its heartbeats are late, and stops when one has come.
    pub(crate) fn update_asked(&mut self, now: Moment) {
        let Some(planner) = &self.planner else {
            return;
        };
        let silence = planner.last_active.map(|at| now.since(at));
        if silence.is_some_and(|silence| silence >= self.planner_timeout() / 2) {
            let node = planner.node.clone();
            self.ask(&node, now);
        } else {
            self.asked = None;
        }
    }

    /// Returns the planner whose heartbeats this node received last, and when the last one came,
    /// unless it has stepped down since.
    pub(crate) fn last_planner(&self) -> Option<(&Node, Option<Moment>)> {
        let planner = self.planner.as_ref();
        planner.map(|planner| (&planner.node, planner.last_active))
    }

    /// Returns since when a planner has been asked for a heartbeat, if one is.
    pub(crate) fn asked_since(&self) -> Option<Moment> {
        self.asked.as_ref().map(|asked| asked.since)
    }

    /// Returns whether a node has ended its term as the planner, as far as this one knows.
    pub(crate) fn has_stepped_down(&self, node: &Node) -> bool {
        let planner = self.planner.as_ref();
        planner.is_some_and(|planner| planner.node == *node && planner.last_active.is_none())
    }

    /// Returns whether the address of the planner that is asked is not known.
    pub(crate) fn lacks_asked_record(&self) -> bool {
        let asked = self.asked.as_ref();
        asked.is_some_and(|asked| !self.peers.contains_key(&asked.node))
    }

    /// Returns whether nodes were found to which no heartbeat was sent yet.
    pub(crate) fn has_new_records(&self) -> bool {
        self.has_new_records
    }

    /// Records the load that this node reported with a heartbeat.
    pub(crate) fn record_reported_load(&mut self, sequence: u64, shares: Vec<TargetLoad>) {
        self.reported_loads.push_back((sequence, shares));
        if self.reported_loads.len() > MAX_REPORTED_LOADS {
            self.reported_loads.pop_front();
        }
    }

    /// Returns the work of all other nodes.
    ///
    /// `sum` is a total that includes this node's load report of heartbeat `sequence`.
    /// Returns `None` if that report is no longer stored.
    pub(crate) fn subtract_own(
        &self,
        sum: Vec<TargetLoad>,
        sequence: u64,
    ) -> Option<Vec<TargetLoad>> {
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

    /// Records the send time of a heartbeat.
    pub(crate) fn record_sent(&mut self, sequence: u64, now: Moment) {
        self.send_times.push_back((sequence, now));
        if self.send_times.len() > MAX_SEND_TIMES {
            self.send_times.pop_front();
        }
    }

    /// Returns the send time of a heartbeat, if it is still stored.
    pub(crate) fn sent_at(&self, sequence: u64) -> Option<Moment> {
        let mut sent = self.send_times.iter().rev();
        let (_, at) = sent.find(|(known, _)| *known == sequence)?;
        Some(*at)
    }

    /// Returns the last heartbeat received from each other node.
    pub(crate) fn received_sequences(&self) -> ReceivedSequences {
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.last_received.is_some());
        peers
            .map(|(node, peer)| (node.clone(), (peer.record.incarnation, peer.sequence)))
            .collect()
    }

    /// Records a feed read that began after the heartbeats in `received` had come.
    ///
    /// `field` selects the feed in the acknowledgments.
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

    /// Returns whether a planner's feed update came recently.
    pub(crate) fn has_recent_update(&self, now: Moment) -> bool {
        let timeout = self.planner_interval() * MAX_MISSED_INTERVALS;
        self.own_token.is_none() && self.last_update.is_some_and(|at| now.since(at) < timeout)
    }

    /// Returns the number of nodes that share allowances, this one included.
    pub(crate) fn node_count(&self) -> usize {
        1 + self.allowance_peers().count()
    }

    /// Returns the names of the nodes that share allowances, this one last.
    pub(crate) fn node_names<'a>(&'a self, own: &'a str) -> Vec<&'a str> {
        let others = self.allowance_peers().map(|peer| peer.record.node.as_str());
        others.chain([own]).collect()
    }

    /// Returns the other nodes that share allowances.
    ///
    /// A node that was just found has its share, although its first heartbeat to this one may
    /// come an interval later.
    fn allowance_peers(&self) -> impl Iterator<Item = &Peer> {
        let has_allowance = |peer: &&Peer| {
            let at = peer.last_received.unwrap_or(peer.discovered_at);
            self.now.since(at) < ALLOWANCE_TIMEOUT
        };
        self.peers.values().filter(has_allowance)
    }

    /// Returns the time without heartbeats after which a node counts as unreachable.
    fn silence_timeout(&self) -> Duration {
        self.broadcast_interval() * MAX_MISSED_INTERVALS
    }

    /// Returns the time without heartbeats after which a planner counts as unreachable.
    pub(crate) fn planner_timeout(&self) -> Duration {
        self.liveness_interval() * MAX_MISSED_INTERVALS
    }

    /// Returns whether a planner sent a heartbeat recently and has not stepped down.
    pub(crate) fn has_planner(&self, now: Moment) -> bool {
        let at = self
            .planner
            .as_ref()
            .and_then(|planner| planner.last_active);
        at.is_some_and(|at| now.since(at) < self.planner_timeout())
    }

    /// Returns the highest fencing token received.
    pub(crate) fn highest_token(&self) -> u64 {
        self.planner.as_ref().map_or(0, |planner| planner.token)
    }

    /// Adds a node from its record in the store, unless it sent heartbeats already.
    pub(crate) fn add_record(&mut self, record: NodeRecord, now: Moment) {
        let known = self.peers.get(&record.node);
        if known.is_some_and(|peer| peer.last_received.is_some()) {
            return;
        }
        let peer = Peer {
            record,
            sequence: 0,
            last_received: None,
            discovered_at: now,
            is_ready: false,
            is_stopping: false,
            is_isolated: false,
            demand: Vec::new(),
            ack: Ack::default(),
        };
        self.has_new_records |= known.is_none();
        self.peers.insert(peer.record.node.clone(), peer);
    }

    /// Returns the nodes that sent a heartbeat lately and are not stopping.
    fn available(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let timeout = self.silence_timeout();
        self.peers
            .values()
            .filter(move |peer| peer.last_received.is_some_and(|at| now.since(at) < timeout))
            .filter(|peer| !peer.is_stopping)
    }

    /// Returns the nodes that callers may use, and how well they serve.
    ///
    /// A node that has been silent for `max_silence` is left out even if fewer
    /// heartbeats were missed than make it unreachable: with hundreds of nodes, these
    /// take longer than a node that has ended may be named.
    pub(crate) fn available_nodes(
        &self,
        max_silence: Duration,
        now: Moment,
    ) -> Vec<(NodeRecord, Standing)> {
        let is_recent = |at: Moment| now.since(at) < max_silence;
        let available = self
            .available(now)
            .filter(|peer| peer.last_received.is_some_and(is_recent));
        let standing = |peer: &Peer| Standing::new(peer.is_ready, peer.is_isolated);
        available
            .map(|peer| (peer.record.clone(), standing(peer)))
            .collect()
    }

    /// Returns the nodes that serve requests and reach the backend servers.
    pub(crate) fn connected_nodes(&self, now: Moment) -> Vec<NodeRecord> {
        let available = self.available(now);
        let connected = available.filter(|peer| peer.is_ready && !peer.is_isolated);
        connected.map(|peer| peer.record.clone()).collect()
    }

    /// Returns whether a node sent a heartbeat lately and is not stopping.
    pub(crate) fn is_available(&self, node: &Node, now: Moment) -> bool {
        self.available(now).any(|peer| peer.record.node == *node)
    }

    /// Returns the number of nodes that share allowances and send requests to servers, this
    /// one included.
    pub(crate) fn sending_count(&self) -> usize {
        1 + self
            .allowance_peers()
            .filter(|peer| !peer.is_isolated)
            .count()
    }

    /// Returns the demand of all other nodes' callers in replicas, by model.
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

    /// Returns the address of each node with its acknowledgment.
    ///
    /// Nodes that have sent no heartbeat for a long time are removed first.
    pub(crate) fn heartbeat_targets(&mut self, now: Moment) -> Vec<(SocketAddr, Ack)> {
        self.has_new_records = false;
        self.peers.retain(|_, peer| {
            let last = peer.last_received.unwrap_or(peer.discovered_at);
            now.since(last) < UNREACHABLE_TIMEOUT
        });
        let peers = self.peers.values();
        peers
            .map(|peer| (peer.record.peer_address, peer.ack))
            .collect()
    }

    /// Returns the address of each other node.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.values();
        peers.map(|peer| peer.record.peer_address).collect()
    }

    /// Returns whether this incarnation of a node has sent a heartbeat.
    pub(crate) fn has_received_from(&self, record: &NodeRecord) -> bool {
        let peer = self.peers.get(&record.node);
        peer.is_some_and(|peer| {
            peer.record.incarnation == record.incarnation && peer.last_received.is_some()
        })
    }

    /// Applies a heartbeat; returns false if a newer one of the same incarnation came
    /// before.
    pub(crate) fn receive(&mut self, heartbeat: &Heartbeat, now: Moment) -> bool {
        self.now = now;
        let known = self.peers.get(&heartbeat.record.node);
        let is_stale = known.is_some_and(|peer| {
            peer.record.incarnation == heartbeat.record.incarnation
                && peer.last_received.is_some()
                && peer.sequence >= heartbeat.sequence
        });
        if is_stale {
            return false;
        }
        let mut ack = known.map_or_else(Ack::default, |peer| peer.ack);
        if matches!(heartbeat.load, LoadReport::Local(_)) {
            ack.set_incarnation(heartbeat.record.incarnation);
            ack.load = heartbeat.sequence;
        }
        let peer = Peer {
            record: heartbeat.record.clone(),
            sequence: heartbeat.sequence,
            last_received: Some(now),
            discovered_at: now,
            is_ready: heartbeat.is_ready,
            is_stopping: heartbeat.is_stopping,
            is_isolated: heartbeat.is_isolated,
            demand: heartbeat.demand.clone(),
            ack,
        };
        self.peers.insert(peer.record.node.clone(), peer);
        match (heartbeat.planner_token, &mut self.planner) {
            (Some(token), known) if token >= known.as_ref().map_or(0, |k| k.token) => {
                *known = Some(KnownPlanner {
                    token,
                    node: heartbeat.record.node.clone(),
                    last_active: Some(now),
                });
            }
            (None, Some(known)) if known.node == heartbeat.record.node => known.last_active = None,
            _ => {}
        }
        true
    }
}

#[cfg(test)]
mod tests;
