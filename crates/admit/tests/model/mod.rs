//! A model of one server, several nodes and their drivers.

use admit::slot::{Completion, Ending, Evidence, Gate, Ownership, Permit, Timing};
use clock::Moment;
use name::{Incarnation, Node, Offset};
use state::{Epoch, Peer};
use std::time::Duration;
use uuid::Uuid;

/// The sizes and durations of a model.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub nodes: usize,
    pub slots: u32,
    pub cold_limit: u32,
    pub step: Duration,
    pub voucher: Duration,
    pub longest: Duration,
    pub timing: fn() -> Timing,
}

/// What may happen next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time passes.
    Pass,
    /// The server restarts, cold.
    Restart,
    /// The server has warmed up.
    Warm,
    /// An epoch of the nodes in the mask is accepted.
    Epoch(usize),
    /// A node reads the log to its end, record by record or by a snapshot.
    Sync(usize, bool),
    /// A node starts anew with another incarnation.
    Reborn(usize),
    /// A node connects, and sees the boot id on the connection.
    Connect(usize),
    /// A node asks for a report, which is made at once.
    Ask(usize),
    /// The report asked for last arrives.
    Tell(usize),
    /// A node takes a permit.
    Acquire(usize),
    /// A node sends the request of its oldest unsent permit.
    Send(usize),
    /// The oldest request of a node ends whole.
    End(usize),
}

/// A permit whose request was sent.
#[derive(Debug)]
struct Sent {
    permit: Permit,
    until: Moment,
}

/// One node with its driver's state.
#[derive(Debug)]
struct Member {
    gate: Gate,
    incarnation: u128,
    seen: usize,
    connected: Option<Uuid>,
    asked: Option<Evidence>,
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

/// The whole model.
#[derive(Debug)]
pub struct World {
    shape: Shape,
    now: Moment,
    epochs: Vec<Epoch>,
    members: Vec<Member>,
    boot: u128,
    is_warm: bool,
    running: Vec<Running>,
}

impl World {
    /// Returns a model in which every node has adopted the first epoch.
    pub fn new(shape: Shape) -> Self {
        let mut world = Self {
            shape,
            now: Moment::from_millis(1),
            epochs: Vec::new(),
            members: (0..shape.nodes)
                .map(|n| member(shape, n, n as u128))
                .collect(),
            boot: 1,
            is_warm: false,
            running: Vec::new(),
        };
        world.apply(Event::Epoch((1 << shape.nodes) - 1));
        for node in 0..shape.nodes {
            world.apply(Event::Sync(node, true));
        }
        world
    }

    /// Carries out one event.
    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Pass => self.pass(),
            Event::Restart => self.restart(),
            Event::Warm => self.is_warm = true,
            Event::Epoch(mask) => self.accept(mask),
            Event::Sync(node, by_record) => self.sync(node, by_record),
            Event::Reborn(node) => self.reborn(node),
            Event::Connect(node) => self.members[node].connected = Some(Uuid::from_u128(self.boot)),
            Event::Ask(node) => self.ask(node),
            Event::Tell(node) => {
                let member = &mut self.members[node];
                if let Some(evidence) = member.asked.take() {
                    member.gate.observe(evidence);
                }
            }
            Event::Acquire(node) => {
                let member = &mut self.members[node];
                member.unsent.extend(member.gate.try_acquire(self.now));
            }
            Event::Send(node) => self.send(node),
            Event::End(node) => self.end(node),
        }
    }

    /// Returns what is wrong, if the server has more in progress than it bears.
    pub fn fault(&self) -> Option<String> {
        let bears = match self.is_warm {
            true => self.shape.slots,
            false => self.shape.cold_limit,
        };
        let mut slots: Vec<u32> = self.running.iter().map(|r| r.slot).collect();
        slots.sort_unstable();
        let has_repeat = slots.windows(2).any(|pair| pair[0] == pair[1]);
        let is_above = self.running.len() > bears as usize;
        (has_repeat || is_above).then(|| format!("slots {slots:?} in use, {bears} bearable"))
    }

    /// Returns the number of requests in progress at the server.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Ends every request that reached its longest time.
    fn pass(&mut self) {
        self.now = self.now + self.shape.step;
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

    fn restart(&mut self) {
        self.boot += 1;
        self.is_warm = false;
        self.running.clear();
        // Nodes learn of it only when they next use their connection.
        for member in &mut self.members {
            if member.connected.is_some() {
                member.connected = Some(Uuid::nil());
            }
        }
    }

    fn accept(&mut self, mask: usize) {
        let nodes = (0..self.shape.nodes).filter(|n| mask & (1 << n) != 0);
        let peers = nodes
            .map(|n| peer(n, self.members[n].incarnation))
            .collect();
        let revision = Offset(self.epochs.len() as u64 + 1);
        self.epochs.push(Epoch { revision, peers });
    }

    fn sync(&mut self, node: usize, by_record: bool) {
        let member = &mut self.members[node];
        let unseen = &self.epochs[member.seen..];
        let skipped = if by_record {
            0
        } else {
            unseen.len().saturating_sub(1)
        };
        for epoch in &unseen[skipped..] {
            let base = by_record.then(|| Offset(epoch.revision.0 - 1));
            member.gate.adopt(&Ownership::from(epoch), base, self.now);
        }
        member.seen = self.epochs.len();
        member.gate.vouch(self.now + self.shape.voucher);
    }

    fn reborn(&mut self, node: usize) {
        // Its requests may run on at the server: nothing cancels them at once.
        let incarnation = self.members[node].incarnation + 100;
        self.members[node] = member(self.shape, node, incarnation);
    }

    fn ask(&mut self, node: usize) {
        self.members[node].asked = Some(Evidence {
            boot: Uuid::from_u128(self.boot),
            warm: self.is_warm,
            warm_limit: self.shape.slots,
            cold_limit: self.shape.cold_limit,
            idle: self.running.is_empty(),
            at: self.now,
        });
    }

    fn send(&mut self, node: usize) {
        let (now, boot) = (self.now, Uuid::from_u128(self.boot));
        let until = now + self.shape.longest;
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

    fn end(&mut self, node: usize) {
        let member = &mut self.members[node];
        if member.sent.is_empty() {
            return;
        }
        let Sent { permit, .. } = member.sent.remove(0);
        let is_own = |r: &Running| {
            (r.node, r.incarnation, r.slot) == (node, member.incarnation, permit.slot())
        };
        // It was lost in a restart if the server no longer has it.
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

fn member(shape: Shape, number: usize, incarnation: u128) -> Member {
    let life = Incarnation(Uuid::from_u128(incarnation));
    Member {
        gate: Gate::new(
            "server",
            (node(number), life),
            shape.slots,
            (shape.timing)(),
        ),
        incarnation,
        seen: 0,
        connected: None,
        asked: None,
        unsent: Vec::new(),
        sent: Vec::new(),
    }
}

/// Returns a node as an epoch lists it.
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
