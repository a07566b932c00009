//! The members that a node knows.

use crate::{Beat, Graph, Health, Report, Role, Settings, Sight, Word, lesson::Lesson};
use clock::Moment;
use name::{Incarnation, Node};
use state::{Epoch, Peer};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

/// The number of words that a new partner gets unasked.
const RECENT_WORDS: usize = 8;

/// A call that is due.
#[common::plain]
pub struct Call {
    /// The address of the callee.
    pub to: SocketAddr,
    /// The callee's name; none for a seed that is not known yet.
    pub node: Option<Node>,
    /// What to send.
    pub beat: Beat,
}

/// A member's latest word and what this node made of it.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub(crate) word: Word,
    /// The number of this node's change that brought the word; zero for none.
    pub(crate) change: u64,
    /// The member that brought the word.
    pub(crate) source: Option<Node>,
    /// When the health became what it is.
    pub(crate) since: Moment,
}

/// The state of the exchange with one other node.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// The life of the other node; none until it was heard.
    pub(crate) incarnation: Option<Incarnation>,
    /// The last own change that the other node has taken.
    pub(crate) acknowledged: u64,
    /// The other node's last change that was taken.
    pub(crate) seen: u64,
    /// Whether the other node has heard this life of this node.
    pub(crate) introduced: bool,
    /// Since when the other node's members have differed.
    pub(crate) differs: Option<Moment>,
    /// The other node's last digests.
    pub(crate) digests: Vec<u32>,
    /// When the other node was heard, or the watch began.
    pub(crate) heard: Moment,
    /// Whether it was heard at all.
    pub(crate) was_heard: bool,
    /// Whether it reads the log.
    pub(crate) reads_log: bool,
}

/// The members that a node knows, and the exchange with its partners.
#[derive(Debug)]
pub struct Table {
    pub(crate) own: Node,
    pub(crate) settings: Settings,
    seeds: Vec<SocketAddr>,
    pub(crate) members: BTreeMap<Node, Held>,
    /// The nodes by the number of the change that brought their word.
    pub(crate) changes: BTreeMap<u64, Node>,
    pub(crate) change: u64,
    /// A digest of all words about nodes that are not dead.
    pub(crate) digest: u64,
    pub(crate) lesson: Lesson,
    /// The nodes of the epoch, dead or not.
    epoch: BTreeSet<Node>,
    pub(crate) links: HashMap<Node, Link>,
    graph: Graph,
    is_graph_old: bool,
    pub(crate) rounds: usize,
    reads_log: bool,
    last_tick: Option<Moment>,
}

impl Table {
    /// Returns the table of a node that has just started.
    ///
    /// `life` is the wall time of the start, in milliseconds. `seeds` are peer
    /// addresses to call while no member is known there.
    pub fn new(
        own: Peer,
        life: u64,
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
            change: 0,
            digest: 0,
            lesson: Lesson::new(now),
            epoch: BTreeSet::new(),
            links: HashMap::new(),
            graph: Graph::default(),
            is_graph_old: true,
            rounds: 0,
            reads_log: false,
            last_tick: None,
        };
        let word = Word {
            peer: own,
            life,
            version: 1,
            role: Role::Open,
            health: Health::Alive,
        };
        table.put(word, None, now);
        table
    }

    /// Returns this node's own word.
    pub fn own(&self) -> &Word {
        &self.members[&self.own].word
    }

    /// Returns the words about all members, dead ones included, by name.
    pub fn words(&self) -> impl Iterator<Item = &Word> {
        self.members.values().map(|held| &held.word)
    }

    /// Returns the word about `node`.
    pub fn word(&self, node: &Node) -> Option<&Word> {
        self.members.get(node).map(|held| &held.word)
    }

    /// Returns whether that life of `node` is a member that is not dead.
    pub fn is_member(&self, node: &Node, incarnation: Incarnation) -> bool {
        self.word(node)
            .is_some_and(|w| w.peer.incarnation == incarnation && w.health != Health::Dead)
    }

    /// Says what this node wants to be used for; a node that leaves stays so.
    pub fn set_role(&mut self, role: Role, now: Moment) {
        let mut word = self.own().clone();
        if word.role == role || word.role == Role::Leaving {
            return;
        }
        word.role = role;
        word.version += 1;
        self.put(word, None, now);
    }

    /// Says that this node stops; to be sent once more to its partners.
    pub fn say_goodbye(&mut self, now: Moment) {
        let mut word = self.own().clone();
        word.health = Health::Dead;
        word.version += 1;
        self.put(word, None, now);
    }

    /// Learns the nodes of the epoch in force.
    ///
    /// A node that is new here counts as alive until it is found silent.
    pub fn adopt(&mut self, epoch: &Epoch, now: Moment) {
        self.epoch = epoch.peers.iter().map(|p| p.node.clone()).collect();
        self.is_graph_old = true;
        for peer in &epoch.peers {
            let word = Word {
                peer: peer.clone(),
                life: 0,
                version: 0,
                role: Role::Open,
                health: Health::Alive,
            };
            // All nodes learn it from the log: there is nothing to pass on.
            if !self.members.contains_key(&peer.node) {
                self.enter(word, now);
            }
        }
    }

    /// Returns the calls of one interval; to be asked for once in each.
    pub fn calls(&mut self, report: &Report, now: Moment) -> Vec<Call> {
        self.reads_log = report.reads_log;
        self.tick(now);
        self.rounds += 1;
        let mut calls = Vec::new();
        for node in self.graph.calls.clone() {
            let Some(to) = self.word(&node).map(|word| word.peer.peer_address) else {
                continue;
            };
            let beat = self.beat(Some(&node), report);
            calls.push(Call {
                to,
                node: Some(node),
                beat,
            });
        }
        calls.extend(self.seed_call(report));
        self.ask(&mut calls, now);
        calls
    }

    /// Returns the call to a seed at whose address no live member is known.
    fn seed_call(&self, report: &Report) -> Option<Call> {
        let known: BTreeSet<SocketAddr> = self
            .words()
            .filter(|word| word.health != Health::Dead)
            .map(|word| word.peer.peer_address)
            .collect();
        let unknown: Vec<&SocketAddr> = self.seeds.iter().filter(|s| !known.contains(s)).collect();
        let to = **unknown.get(self.rounds % unknown.len().max(1))?;
        Some(Call {
            to,
            node: None,
            beat: self.beat(None, report),
        })
    }

    /// Suspects silent partners and buries suspects that did not refute.
    ///
    /// A node that was paused itself suspects nobody, nor does one that reaches
    /// neither the log nor most of its partners: the fault is likely its own.
    pub fn tick(&mut self, now: Moment) {
        self.refresh_graph(now);
        let paused = self
            .last_tick
            .is_some_and(|last| now.since(last) > self.settings.suspect_after);
        self.last_tick = Some(now);
        if paused {
            self.forgive(now);
            return;
        }
        if self.reads_log || self.sight_of(self.graph.partners.iter(), now).is_most() {
            self.suspect_silent(now);
            self.bury(now);
        }
        self.forget(now);
        self.refresh_graph(now);
    }

    /// Returns what this node sees of the nodes of the epoch that it watches.
    pub fn sight(&self, now: Moment) -> Sight {
        let in_epoch = |node: &&Node| self.epoch.is_empty() || self.epoch.contains(*node);
        self.sight_of(self.graph.partners.iter().filter(in_epoch), now)
    }

    /// Returns the nodes with which this one exchanges beats.
    pub fn partners(&self) -> impl Iterator<Item = &Node> {
        self.graph.partners.iter()
    }

    /// Returns the part of the graph around this node.
    pub(crate) fn graph(&self) -> &Graph {
        &self.graph
    }

    /// Returns what is seen of `nodes`.
    fn sight_of<'a>(&self, nodes: impl Iterator<Item = &'a Node>, now: Moment) -> Sight {
        let mut sight = Sight::default();
        for node in nodes {
            sight.known += 1;
            let Some(link) = self.links.get(node) else {
                continue;
            };
            if link.was_heard && now.since(link.heard) <= self.settings.suspect_after {
                sight.heard += 1;
                sight.without_log += usize::from(!link.reads_log);
            }
        }
        sight
    }

    /// Starts all waits anew after this node was paused.
    fn forgive(&mut self, now: Moment) {
        for link in self.links.values_mut() {
            link.heard = now;
            link.was_heard = false;
        }
        for held in self.members.values_mut() {
            held.since = now;
        }
    }

    /// Suspects the partners that are silent.
    fn suspect_silent(&mut self, now: Moment) {
        let silent: Vec<Word> = self
            .graph
            .partners
            .iter()
            .filter(|node| {
                self.links
                    .get(*node)
                    .is_some_and(|link| now.since(link.heard) > self.settings.suspect_after)
            })
            .filter_map(|node| self.word(node))
            .filter(|word| word.health == Health::Alive)
            .cloned()
            .collect();
        for mut word in silent {
            word.health = Health::Suspect;
            self.put(word, None, now);
        }
    }

    /// Declares suspects dead that did not refute in time.
    fn bury(&mut self, now: Moment) {
        let late: Vec<Word> = self
            .members
            .values()
            .filter(|held| held.word.health == Health::Suspect)
            .filter(|held| now.since(held.since) > self.settings.dead_after)
            .map(|held| held.word.clone())
            .collect();
        for mut word in late {
            word.health = Health::Dead;
            self.put(word, None, now);
        }
    }

    /// Forgets members that are long dead, and links that serve nobody.
    fn forget(&mut self, now: Moment) {
        let after = self.settings.forget_after;
        let gone: Vec<Node> = self
            .members
            .iter()
            .filter(|(node, held)| held.word.health == Health::Dead && **node != self.own)
            .filter(|(node, held)| !self.epoch.contains(*node) && now.since(held.since) > after)
            .map(|(node, _)| node.clone())
            .collect();
        for node in gone {
            if let Some(held) = self.members.remove(&node) {
                self.changes.remove(&held.change);
                self.digest ^= held.word.digest();
            }
        }
        let (partners, quiet) = (&self.graph.partners, self.settings.suspect_after);
        self.links
            .retain(|node, link| partners.contains(node) || now.since(link.heard) <= 2 * quiet);
    }

    /// Brings the partners up to date with the members.
    fn refresh_graph(&mut self, now: Moment) {
        if !std::mem::take(&mut self.is_graph_old) {
            return;
        }
        // Dead nodes of the epoch stay in the graph: they count when sight is
        // judged, and calling them ends a partition.
        let nodes = self
            .members
            .iter()
            .filter(|(node, held)| held.word.health != Health::Dead || self.epoch.contains(*node))
            .map(|(node, _)| node);
        let (full, circles) = (self.settings.full, self.settings.circles);
        self.graph = Graph::around(&self.own, nodes, full, circles);
        let recent = self.recent();
        for node in &self.graph.partners {
            self.links
                .entry(node.clone())
                .or_insert_with(|| Link::new(recent, now));
        }
    }

    /// Returns the change after which the words count as recent.
    ///
    /// A new partner gets these, since its last partners may not have had the
    /// time to pass them on.
    pub(crate) fn recent(&self) -> u64 {
        let first = self.changes.keys().rev().nth(RECENT_WORDS - 1);
        first.map_or(0, |change| change - 1)
    }

    /// Enters a word as this node's next change, to be passed on.
    pub(crate) fn put(&mut self, word: Word, source: Option<&Node>, now: Moment) {
        let node = word.peer.node.clone();
        self.enter(word, now);
        self.change += 1;
        self.changes.insert(self.change, node.clone());
        let held = self.members.get_mut(&node).expect("it was entered");
        held.change = self.change;
        held.source = source.cloned();
    }

    /// Enters a word that the other nodes learn without this one.
    pub(crate) fn enter(&mut self, word: Word, now: Moment) {
        let node = word.peer.node.clone();
        let before = self.members.remove(&node);
        let was_dead = before.as_ref().map(|held| held.word.health == Health::Dead);
        if was_dead != Some(word.health == Health::Dead) {
            self.is_graph_old = true;
        }
        let mut since = now;
        if let Some(held) = &before {
            self.changes.remove(&held.change);
            self.digest ^= held.word.digest();
            if held.word.is_same_claim(&word) {
                since = held.since;
            }
        }
        self.digest ^= word.digest();
        let held = Held {
            word,
            change: 0,
            source: None,
            since,
        };
        self.members.insert(node, held);
    }
}

impl Link {
    /// Returns a link to a node that was not heard yet.
    ///
    /// It gets the changes after `change`; what it lacks before, it asks for.
    pub(crate) fn new(change: u64, now: Moment) -> Self {
        Self {
            incarnation: None,
            acknowledged: change,
            seen: 0,
            introduced: false,
            differs: None,
            digests: Vec::new(),
            heard: now,
            was_heard: false,
            reads_log: false,
        }
    }
}
