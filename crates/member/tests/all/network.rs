//! A network of member tables that exchange heartbeats in lockstep, one round
//! per second.

use clock::Moment;
use member::{Beat, LogReport, Settings, Table};
use name::{Incarnation, Node, Offset};
use state::{Epoch, Peer};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};
use uuid::Uuid;

/// The number of failure domains.
const DOMAINS: usize = 12;

/// Returns the name of the node with index `at`.
pub fn node(at: usize) -> Node {
    format!("entry-{at:03}").try_into().expect("a valid name")
}

/// Returns the peer entry of one incarnation of node `at`.
pub fn peer(at: usize, incarnation: u64) -> Peer {
    let address = |port| {
        SocketAddr::from((
            [10, 0, 0, 1],
            port + u16::try_from(at).expect("the index fits in u16"),
        ))
    };
    Peer {
        node: node(at),
        incarnation: Incarnation(Uuid::from_u128(
            (at as u128 + 1) * 1_000 + u128::from(incarnation),
        )),
        domain: format!("domain-{}", at % DOMAINS)
            .try_into()
            .expect("a valid name"),
        peer_address: address(7_000),
        caller_address: address(8_000),
    }
}

/// A simulated network of member tables.
#[derive(Debug)]
pub struct Network {
    /// The tables of the running nodes.
    pub tables: Vec<Option<Table>>,
    /// Paused nodes, which neither send nor receive.
    pub paused: BTreeSet<usize>,
    /// Nodes below this index can reach only each other.
    pub partition: Option<usize>,
    settings: Settings,
    incarnation_counts: Vec<u64>,
    seeds: Vec<SocketAddr>,
    epoch: Epoch,
    round: u64,
    bytes: usize,
    calls: usize,
    nodes_by_address: HashMap<SocketAddr, usize>,
}

impl Network {
    /// Returns a network whose nodes know only the first node's address.
    pub fn from_seed(count: usize, settings: Settings) -> Self {
        Self::new(count, settings, Epoch::default())
    }

    /// Returns a network whose nodes know each other from the epoch.
    pub fn from_epoch(count: usize, settings: Settings) -> Self {
        let peers = (0..count).map(|at| peer(at, 1)).collect();
        let revision = Offset(1);
        Self::new(count, settings, Epoch { revision, peers })
    }

    fn new(count: usize, settings: Settings, epoch: Epoch) -> Self {
        let mut network = Self {
            tables: (0..count).map(|_| None).collect(),
            paused: BTreeSet::new(),
            partition: None,
            settings,
            incarnation_counts: vec![0; count],
            seeds: vec![peer(0, 1).peer_address],
            epoch,
            round: 0,
            bytes: 0,
            calls: 0,
            nodes_by_address: (0..count)
                .map(|at| (peer(at, 1).peer_address, at))
                .collect(),
        };
        for at in 0..count {
            network.start(at);
        }
        network
    }

    /// Returns the time of the current round.
    pub fn now(&self) -> Moment {
        Moment::START + Duration::from_secs(self.round)
    }

    /// Returns the indexes of the running nodes.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.tables.len()).filter(|at| self.tables[*at].is_some())
    }

    /// Returns the current incarnation of node `at`.
    pub fn incarnation(&self, at: usize) -> Incarnation {
        peer(at, self.incarnation_counts[at]).incarnation
    }

    /// Sets the epoch on all running nodes and on nodes started later.
    pub fn set_epoch(&mut self, epoch: &Epoch) {
        let now = self.now();
        self.epoch = epoch.clone();
        for table in self.tables.iter_mut().flatten() {
            table.set_epoch(epoch, now);
        }
    }

    /// Returns the epoch that was set last.
    pub fn epoch(&self) -> &Epoch {
        &self.epoch
    }

    /// Stops a node without announcing it.
    pub fn stop(&mut self, at: usize) {
        self.tables[at] = None;
    }

    /// Starts the next incarnation of a node.
    pub fn start(&mut self, at: usize) {
        self.start_with_clock(at, 1_000_000 + self.round * 1_000);
    }

    /// Starts the next incarnation of a node whose wall clock shows `wall_ms`.
    pub fn start_with_clock(&mut self, at: usize, wall_ms: u64) {
        self.incarnation_counts[at] += 1;
        let own = peer(at, self.incarnation_counts[at]);
        let (seeds, settings, now) = (self.seeds.clone(), self.settings.clone(), self.now());
        let mut table = Table::new(own, wall_ms, seeds, settings, now);
        table.set_epoch(&self.epoch, now);
        self.tables[at] = Some(table);
    }

    /// Runs some rounds.
    pub fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.round += 1;
            for at in 0..self.tables.len() {
                self.call(at);
            }
        }
    }

    /// Makes the calls of one node in the current round.
    fn call(&mut self, at: usize) {
        let now = self.now();
        let report = LogReport::default();
        if self.paused.contains(&at) {
            return;
        }
        let Some(table) = &mut self.tables[at] else {
            return;
        };
        for call in table.calls(&report, now) {
            self.count(&call.beat);
            let Some(to) = self.reachable_node(at, call.to) else {
                continue;
            };
            let callee = self.tables[to].as_mut().expect("the node is reachable");
            let reply = callee.handle_call(&call.beat, &report, now);
            self.count(&reply);
            let caller = self.tables[at].as_mut().expect("the node runs");
            caller.handle_reply(&reply, now, now);
            self.calls += 1;
        }
    }

    /// Returns the node at an address, if `caller` can reach it.
    fn reachable_node(&self, caller: usize, address: SocketAddr) -> Option<usize> {
        let to = *self.nodes_by_address.get(&address)?;
        let is_below_partition = |at: usize| self.partition.is_some_and(|partition| at < partition);
        let is_up = self.tables[to].is_some() && !self.paused.contains(&to);
        (is_up && to != caller && is_below_partition(to) == is_below_partition(caller))
            .then_some(to)
    }

    fn count(&mut self, beat: &Beat) {
        self.bytes += beat.estimated_bytes();
    }

    /// Resets the counts of bytes and calls.
    pub fn reset_counts(&mut self) {
        self.bytes = 0;
        self.calls = 0;
    }

    /// Returns the bytes that a node sends and receives per round.
    pub fn bytes_per_node(&self, rounds: usize) -> u64 {
        (2 * self.bytes / rounds / self.tables.len()) as u64
    }

    /// Returns the calls that a node makes and receives in 100 rounds.
    pub fn calls_per_node(&self, rounds: usize) -> u64 {
        (2 * 100 * self.calls / rounds / self.tables.len()) as u64
    }
}
