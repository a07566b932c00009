//! A simulation of one server, several entry nodes and their drivers.

use admit::slot::{CapacityReport, Completion, Ending, Gate, Ownership, Permit, Timing};
use clock::Moment;
use name::{Incarnation, Node, Offset};
use state::{Epoch, Peer};
use std::time::Duration;
use uuid::Uuid;

/// The sizes and durations of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    pub nodes: usize,
    pub slots: u32,
    pub cold_limit: u32,
    pub time_step: Duration,
    pub log_view_lifetime: Duration,
    pub max_request_time: Duration,
    pub timing: fn() -> Timing,
}

/// A step of the simulation; the numbers are node indices unless said otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time passes.
    AdvanceTime,
    /// The server restarts, cold.
    RestartServer,
    /// The server has warmed up.
    WarmUp,
    /// The log accepts an epoch of the nodes in the bit mask.
    AcceptEpoch(usize),
    /// A node reads the log to its end, record by record if true, else from a snapshot.
    ReadLog(usize, bool),
    /// A node restarts with a new incarnation.
    RestartNode(usize),
    /// A node connects to the server and receives its boot id.
    Connect(usize),
    /// A node requests a report, which the server creates at once.
    RequestReport(usize),
    /// The last requested report arrives at the node.
    DeliverReport(usize),
    /// A node acquires a permit, if one is available.
    Acquire(usize),
    /// A node sends the request of its oldest unsent permit.
    Send(usize),
    /// The oldest request of a node completes.
    Complete(usize),
}

/// A permit whose request was sent.
#[derive(Debug)]
struct Sent {
    permit: Permit,
    until: Moment,
}

/// One node and the state of its driver.
#[derive(Debug)]
struct Member {
    gate: Gate,
    incarnation: u128,
    epochs_read: usize,
    connected: Option<Uuid>,
    pending_report: Option<CapacityReport>,
    unsent: Vec<Permit>,
    sent: Vec<Sent>,
}

/// A request that runs at the server.
#[derive(Debug)]
struct Running {
    node: usize,
    incarnation: u128,
    slot: u32,
    until: Moment,
}

/// The simulation state.
#[derive(Debug)]
pub struct Model {
    config: Config,
    now: Moment,
    epochs: Vec<Epoch>,
    members: Vec<Member>,
    boot: u128,
    is_warm: bool,
    running: Vec<Running>,
}

impl Model {
    /// Returns a simulation in which every node has applied the first epoch.
    pub fn new(config: Config) -> Self {
        let mut model = Self {
            config,
            now: Moment::from_millis(1),
            epochs: Vec::new(),
            members: (0..config.nodes)
                .map(|n| member(config, n, n as u128))
                .collect(),
            boot: 1,
            is_warm: false,
            running: Vec::new(),
        };
        model.apply(Event::AcceptEpoch((1 << config.nodes) - 1));
        for node in 0..config.nodes {
            model.apply(Event::ReadLog(node, true));
        }
        model
    }

    /// Applies one event.
    pub fn apply(&mut self, event: Event) {
        match event {
            Event::AdvanceTime => self.advance_time(),
            Event::RestartServer => self.restart_server(),
            Event::WarmUp => self.is_warm = true,
            Event::AcceptEpoch(mask) => self.accept_epoch(mask),
            Event::ReadLog(node, by_record) => self.read_log(node, by_record),
            Event::RestartNode(node) => self.restart_node(node),
            Event::Connect(node) => self.members[node].connected = Some(Uuid::from_u128(self.boot)),
            Event::RequestReport(node) => self.request_report(node),
            Event::DeliverReport(node) => {
                let member = &mut self.members[node];
                if let Some(report) = member.pending_report.take() {
                    member.gate.observe(report);
                }
            }
            Event::Acquire(node) => {
                let member = &mut self.members[node];
                member.unsent.extend(member.gate.try_acquire(self.now));
            }
            Event::Send(node) => self.send(node),
            Event::Complete(node) => self.complete(node),
        }
    }

    /// Returns a description if a slot is used twice or the server exceeds its limit.
    pub fn violation(&self) -> Option<String> {
        let limit = match self.is_warm {
            true => self.config.slots,
            false => self.config.cold_limit,
        };
        let mut slots: Vec<u32> = self.running.iter().map(|r| r.slot).collect();
        slots.sort_unstable();
        let has_repeat = slots.windows(2).any(|pair| pair[0] == pair[1]);
        let is_above = self.running.len() > limit as usize;
        (has_repeat || is_above).then(|| format!("slots {slots:?} in use, limit {limit}"))
    }

    /// Returns the number of requests in progress at the server.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Advances the clock, and ends every request that reached the maximum time.
    fn advance_time(&mut self) {
        self.now = self.now + self.config.time_step;
        let now = self.now;
        self.running.retain(|r| now < r.until);
        for member in &mut self.members {
            while member.sent.first().is_some_and(|s| s.until <= now) {
                let sent = member.sent.remove(0);
                member
                    .gate
                    .release(sent.permit, completion(Ending::Failed), now);
            }
        }
    }

    fn restart_server(&mut self) {
        self.boot += 1;
        self.is_warm = false;
        self.running.clear();
        // Nodes detect the restart only when they next use their connection.
        for member in &mut self.members {
            if member.connected.is_some() {
                member.connected = Some(Uuid::nil());
            }
        }
    }

    fn accept_epoch(&mut self, mask: usize) {
        let nodes = (0..self.config.nodes).filter(|n| mask & (1 << n) != 0);
        let peers = nodes
            .map(|n| peer(n, self.members[n].incarnation))
            .collect();
        let revision = Offset(self.epochs.len() as u64 + 1);
        self.epochs.push(Epoch { revision, peers });
    }

    fn read_log(&mut self, node: usize, by_record: bool) {
        let member = &mut self.members[node];
        let unread = &self.epochs[member.epochs_read..];
        let skipped = if by_record {
            0
        } else {
            unread.len().saturating_sub(1)
        };
        for epoch in &unread[skipped..] {
            let base = by_record.then(|| Offset(epoch.revision.0 - 1));
            member
                .gate
                .apply_epoch(&Ownership::from(epoch), base, self.now);
        }
        member.epochs_read = self.epochs.len();
        member
            .gate
            .confirm_log_view(self.now + self.config.log_view_lifetime);
    }

    fn restart_node(&mut self, node: usize) {
        // Requests of the previous incarnation may continue at the server.
        let incarnation = self.members[node].incarnation + 100;
        self.members[node] = member(self.config, node, incarnation);
    }

    fn request_report(&mut self, node: usize) {
        self.members[node].pending_report = Some(CapacityReport {
            boot: Uuid::from_u128(self.boot),
            warm: self.is_warm,
            warm_limit: self.config.slots,
            cold_limit: self.config.cold_limit,
            idle: self.running.is_empty(),
            at: self.now,
        });
    }

    fn send(&mut self, node: usize) {
        let (now, boot) = (self.now, Uuid::from_u128(self.boot));
        let until = now + self.config.max_request_time;
        let member = &mut self.members[node];
        if member.unsent.is_empty() {
            return;
        }
        let permit = member.unsent.remove(0);
        if !permit.may_send(member.connected, now) {
            member.gate.release(permit, completion(Ending::Failed), now);
            return;
        }
        if member.connected.is_some_and(|seen| seen != boot) {
            member.connected = None;
            member.gate.release(permit, completion(Ending::Reset), now);
            return;
        }
        self.running.push(Running {
            node,
            incarnation: member.incarnation,
            slot: permit.slot(),
            until,
        });
        member.sent.push(Sent { permit, until });
    }

    fn complete(&mut self, node: usize) {
        let member = &mut self.members[node];
        if member.sent.is_empty() {
            return;
        }
        let Sent { permit, .. } = member.sent.remove(0);
        let is_own = |r: &Running| {
            (r.node, r.incarnation, r.slot) == (node, member.incarnation, permit.slot())
        };
        // The request was lost in a restart if the server no longer runs it.
        let at = self.running.iter().position(is_own);
        let ending = match at {
            Some(_) => Ending::Whole,
            None => Ending::Reset,
        };
        if let Some(at) = at {
            self.running.remove(at);
        }
        member.gate.release(permit, completion(ending), self.now);
    }
}

fn completion(ending: Ending) -> Completion {
    Completion {
        ending,
        first_token: Some(Duration::from_millis(5)),
    }
}

fn node(number: usize) -> Node {
    Node::try_from(format!("node-{number}")).expect("a name")
}

fn member(config: Config, number: usize, incarnation: u128) -> Member {
    let id = Incarnation(Uuid::from_u128(incarnation));
    Member {
        gate: Gate::new(
            "server",
            (node(number), id),
            config.slots,
            (config.timing)(),
        ),
        incarnation,
        epochs_read: 0,
        connected: None,
        pending_report: None,
        unsent: Vec::new(),
        sent: Vec::new(),
    }
}

/// Returns the entry of a node in an epoch.
pub fn peer(number: usize, incarnation: u128) -> Peer {
    let address = "127.0.0.1:1".parse().expect("an address");
    Peer {
        node: node(number),
        incarnation: Incarnation(Uuid::from_u128(incarnation)),
        domain: "domain".try_into().expect("a name"),
        peer_address: address,
        caller_address: address,
    }
}
