//! The member table of a node.

use crate::{
    Beat, Graph, Health, LogReport, Member, Reachability, Role, Settings, full_sync::FullSync,
};
use clock::Moment;
use name::{Incarnation, Node};
use state::{Epoch, Peer};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

/// The number of recent member records sent to a new partner.
const RECENT_MEMBERS: usize = 8;

/// A heartbeat call that is due.
#[common::plain]
pub struct Call {
    /// The address of the callee.
    pub to: SocketAddr,
    /// The callee's name; none for a seed that is not a known member.
    pub node: Option<Node>,
    /// The heartbeat to send.
    pub beat: Beat,
}

/// A member's latest record with local bookkeeping.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// The number of the local change that stored the record; zero if it is not
    /// relayed.
    pub(crate) change: u64,
    /// The node that sent the record.
    pub(crate) source: Option<Node>,
    /// When the record got its present health.
    pub(crate) health_since: Moment,
}

/// The state of the heartbeat exchange with one other node.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// The other node's incarnation; none until its first heartbeat.
    pub(crate) incarnation: Option<Incarnation>,
    /// The last local change that the other node has applied.
    pub(crate) acknowledged_change: u64,
    /// The other node's last change that was applied here.
    pub(crate) applied_change: u64,
    /// Whether the other node has acknowledged this node's incarnation.
    pub(crate) is_own_incarnation_known: bool,
    /// Since when the other node's digest has differed from the local one.
    pub(crate) differs_since: Option<Moment>,
    /// The other node's last bucket digests.
    pub(crate) digests: Vec<u32>,
    /// When the last heartbeat arrived, or when watching started.
    pub(crate) last_beat: Moment,
    /// Whether a heartbeat arrived since watching started.
    pub(crate) has_sent_beat: bool,
    /// Whether the other node can read the log.
    pub(crate) reads_log: bool,
}

/// The member table of a node, with the state of the exchange with its
/// partners.
#[derive(Debug)]
pub struct Table {
    pub(crate) own: Node,
    pub(crate) settings: Settings,
    seeds: Vec<SocketAddr>,
    pub(crate) members: BTreeMap<Node, Entry>,
    /// The nodes by the number of the change that stored their record.
    pub(crate) changes: BTreeMap<u64, Node>,
    pub(crate) last_change: u64,
    /// A digest of all records that are not dead.
    pub(crate) digest: u64,
    pub(crate) full_sync: FullSync,
    /// The nodes of the current epoch, dead or not.
    epoch_nodes: BTreeSet<Node>,
    pub(crate) links: HashMap<Node, Link>,
    graph: Graph,
    is_graph_stale: bool,
    pub(crate) rounds: usize,
    reads_log: bool,
    last_tick: Option<Moment>,
}

impl Table {
    /// Returns the table of a node that has just started.
    ///
    /// `incarnation_number` is the wall time of the start in milliseconds.
    /// `seeds` are peer addresses to call while no live member is known there.
    pub fn new(
        own: Peer,
        incarnation_number: u64,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        now: Moment,
    ) -> Self {
        let mut table = Self {
            own: own.node.clone(),
            settings,
            seeds,
            members: BTreeMap::new(),
            changes: BTreeMap::new(),
            last_change: 0,
            digest: 0,
            full_sync: FullSync::new(now),
            epoch_nodes: BTreeSet::new(),
            links: HashMap::new(),
            graph: Graph::default(),
            is_graph_stale: true,
            rounds: 0,
            reads_log: false,
            last_tick: None,
        };
        let member = Member {
            peer: own,
            incarnation_number,
            version: 1,
            role: Role::Open,
            health: Health::Alive,
        };
        table.publish(member, None, now);
        table
    }

    /// Returns this node's own record.
    pub fn own(&self) -> &Member {
        &self.members[&self.own].member
    }

    /// Returns the records of all members, dead ones included, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Returns the record of `node`.
    pub fn member(&self, node: &Node) -> Option<&Member> {
        self.members.get(node).map(|entry| &entry.member)
    }

    /// Returns whether this incarnation of `node` is a member that is not dead.
    pub fn is_member(&self, node: &Node, incarnation: Incarnation) -> bool {
        self.member(node)
            .is_some_and(|w| w.peer.incarnation == incarnation && w.health != Health::Dead)
    }

    /// Sets the role of this node; a leaving node keeps its role.
    pub fn set_role(&mut self, role: Role, now: Moment) {
        let mut member = self.own().clone();
        if member.role == role || member.role == Role::Leaving {
            return;
        }
        member.role = role;
        member.version += 1;
        self.publish(member, None, now);
    }

    /// Marks this node as dead before it stops.
    ///
    /// The caller must send one more round of heartbeats to spread the record.
    pub fn announce_stop(&mut self, now: Moment) {
        let mut member = self.own().clone();
        member.health = Health::Dead;
        member.version += 1;
        self.publish(member, None, now);
    }

    /// Sets the nodes of the epoch in force.
    ///
    /// A node without a record counts as alive until its heartbeats time out.
    pub fn set_epoch(&mut self, epoch: &Epoch, now: Moment) {
        self.epoch_nodes = epoch.peers.iter().map(|p| p.node.clone()).collect();
        self.is_graph_stale = true;
        for peer in &epoch.peers {
            let member = Member {
                peer: peer.clone(),
                incarnation_number: 0,
                version: 0,
                role: Role::Open,
                health: Health::Alive,
            };
            // Not relayed: every node reads the epoch from the log.
            if !self.members.contains_key(&peer.node) {
                self.store(member, now);
            }
        }
    }

    /// Returns the heartbeat calls of one interval; called once per interval.
    pub fn calls(&mut self, report: &LogReport, now: Moment) -> Vec<Call> {
        self.reads_log = report.reads_log;
        self.tick(now);
        self.rounds += 1;
        let mut calls = Vec::new();
        for node in self.graph.callees.clone() {
            let Some(to) = self.member(&node).map(|member| member.peer.peer_address) else {
                continue;
            };
            let beat = self.build_beat(Some(&node), report);
            calls.push(Call {
                to,
                node: Some(node),
                beat,
            });
        }
        calls.extend(self.seed_call(report));
        self.request_page(&mut calls, now);
        calls
    }

    /// Returns the call to a seed at whose address no live member is known.
    fn seed_call(&self, report: &LogReport) -> Option<Call> {
        let known: BTreeSet<SocketAddr> = self
            .members()
            .filter(|member| member.health != Health::Dead)
            .map(|member| member.peer.peer_address)
            .collect();
        let unknown: Vec<&SocketAddr> = self.seeds.iter().filter(|s| !known.contains(s)).collect();
        let to = **unknown.get(self.rounds % unknown.len().max(1))?;
        Some(Call {
            to,
            node: None,
            beat: self.build_beat(None, report),
        })
    }

    /// Suspects silent partners and declares overdue suspects dead.
    ///
    /// A node that was paused does not suspect others, nor does one that
    /// reaches neither the log nor a majority of its partners: the fault is
    /// likely its own.
    pub fn tick(&mut self, now: Moment) {
        self.refresh_graph(now);
        let was_paused = self
            .last_tick
            .is_some_and(|last| now.since(last) > self.settings.suspect_after);
        self.last_tick = Some(now);
        if was_paused {
            self.reset_timers(now);
            return;
        }
        if self.reads_log
            || self
                .reachability_of(self.graph.partners.iter(), now)
                .has_majority()
        {
            self.suspect_silent(now);
            self.declare_dead(now);
        }
        self.remove_dead(now);
        self.refresh_graph(now);
    }

    /// Returns the reachability of the watched nodes that belong to the epoch.
    pub fn reachability(&self, now: Moment) -> Reachability {
        let in_epoch =
            |node: &&Node| self.epoch_nodes.is_empty() || self.epoch_nodes.contains(*node);
        self.reachability_of(self.graph.partners.iter().filter(in_epoch), now)
    }

    /// Returns the nodes with which this node exchanges heartbeats.
    pub fn partners(&self) -> impl Iterator<Item = &Node> {
        self.graph.partners.iter()
    }

    /// Returns the part of the graph around this node.
    pub(crate) fn graph(&self) -> &Graph {
        &self.graph
    }

    /// Returns the reachability of `nodes`.
    fn reachability_of<'a>(
        &self,
        nodes: impl Iterator<Item = &'a Node>,
        now: Moment,
    ) -> Reachability {
        let mut reachability = Reachability::default();
        for node in nodes {
            reachability.watched += 1;
            let Some(link) = self.links.get(node) else {
                continue;
            };
            if link.has_sent_beat && now.since(link.last_beat) <= self.settings.suspect_after {
                reachability.reachable += 1;
                reachability.without_log += usize::from(!link.reads_log);
            }
        }
        reachability
    }

    /// Restarts all timeouts after a pause of this node.
    fn reset_timers(&mut self, now: Moment) {
        for link in self.links.values_mut() {
            link.last_beat = now;
            link.has_sent_beat = false;
        }
        for entry in self.members.values_mut() {
            entry.health_since = now;
        }
    }

    /// Suspects partners without a recent heartbeat.
    fn suspect_silent(&mut self, now: Moment) {
        let silent: Vec<Member> = self
            .graph
            .partners
            .iter()
            .filter(|node| {
                self.links
                    .get(*node)
                    .is_some_and(|link| now.since(link.last_beat) > self.settings.suspect_after)
            })
            .filter_map(|node| self.member(node))
            .filter(|member| member.health == Health::Alive)
            .cloned()
            .collect();
        for mut member in silent {
            member.health = Health::Suspect;
            self.publish(member, None, now);
        }
    }

    /// Declares suspects dead that did not refute in time.
    fn declare_dead(&mut self, now: Moment) {
        let expired: Vec<Member> = self
            .members
            .values()
            .filter(|entry| entry.member.health == Health::Suspect)
            .filter(|entry| now.since(entry.health_since) > self.settings.dead_after)
            .map(|entry| entry.member.clone())
            .collect();
        for mut member in expired {
            member.health = Health::Dead;
            self.publish(member, None, now);
        }
    }

    /// Removes members that died long ago, and stale links to former partners.
    fn remove_dead(&mut self, now: Moment) {
        let after = self.settings.remove_after;
        let removed: Vec<Node> = self
            .members
            .iter()
            .filter(|(node, entry)| entry.member.health == Health::Dead && **node != self.own)
            .filter(|(node, entry)| {
                !self.epoch_nodes.contains(*node) && now.since(entry.health_since) > after
            })
            .map(|(node, _)| node.clone())
            .collect();
        for node in removed {
            if let Some(entry) = self.members.remove(&node) {
                self.changes.remove(&entry.change);
                self.digest ^= entry.member.digest();
            }
        }
        let (partners, silence) = (&self.graph.partners, self.settings.suspect_after);
        self.links.retain(|node, link| {
            partners.contains(node) || now.since(link.last_beat) <= 2 * silence
        });
    }

    /// Rebuilds the graph if the set of live members or the epoch changed.
    fn refresh_graph(&mut self, now: Moment) {
        if !std::mem::take(&mut self.is_graph_stale) {
            return;
        }
        // Dead nodes of the epoch stay in the graph: they count toward
        // reachability, and calling them detects the end of a partition.
        let nodes = self
            .members
            .iter()
            .filter(|(node, entry)| {
                entry.member.health != Health::Dead || self.epoch_nodes.contains(*node)
            })
            .map(|(node, _)| node);
        let (full_mesh_nodes, rings) = (self.settings.full_mesh_nodes, self.settings.rings);
        self.graph = Graph::around(&self.own, nodes, full_mesh_nodes, rings);
        let recent = self.recent_change();
        for node in &self.graph.partners {
            self.links
                .entry(node.clone())
                .or_insert_with(|| Link::new(recent, now));
        }
    }

    /// Returns the change after which records count as recent.
    ///
    /// A new partner is sent the recent records, since its previous partners
    /// may not have relayed them yet.
    pub(crate) fn recent_change(&self) -> u64 {
        let first = self.changes.keys().rev().nth(RECENT_MEMBERS - 1);
        first.map_or(0, |change| change - 1)
    }

    /// Stores a record as the next local change, which is relayed to partners.
    pub(crate) fn publish(&mut self, member: Member, source: Option<&Node>, now: Moment) {
        let node = member.peer.node.clone();
        self.store(member, now);
        self.last_change += 1;
        self.changes.insert(self.last_change, node.clone());
        let entry = self
            .members
            .get_mut(&node)
            .expect("the member was just stored");
        entry.change = self.last_change;
        entry.source = source.cloned();
    }

    /// Stores a record that is not relayed.
    pub(crate) fn store(&mut self, member: Member, now: Moment) {
        let node = member.peer.node.clone();
        let previous = self.members.remove(&node);
        let was_dead = previous
            .as_ref()
            .map(|entry| entry.member.health == Health::Dead);
        if was_dead != Some(member.health == Health::Dead) {
            self.is_graph_stale = true;
        }
        let mut since = now;
        if let Some(entry) = &previous {
            self.changes.remove(&entry.change);
            self.digest ^= entry.member.digest();
            if entry.member.has_same_precedence(&member) {
                since = entry.health_since;
            }
        }
        self.digest ^= member.digest();
        let entry = Entry {
            member,
            change: 0,
            source: None,
            health_since: since,
        };
        self.members.insert(node, entry);
    }
}

impl Link {
    /// Returns a link to a node that has sent no heartbeat yet.
    ///
    /// The other node is sent the changes after `change`; a full
    /// synchronization supplies the earlier ones.
    pub(crate) fn new(change: u64, now: Moment) -> Self {
        Self {
            incarnation: None,
            acknowledged_change: change,
            applied_change: 0,
            is_own_incarnation_known: false,
            differs_since: None,
            digests: Vec::new(),
            last_beat: now,
            has_sent_beat: false,
            reads_log: false,
        }
    }
}
