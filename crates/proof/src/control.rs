//! The control plane of a node, the operators' actions, and the audits.

use crate::{
    Promise,
    backend::address,
    node::{HEARD_FOR, Link, Node},
    simulation::{
        ENGINES, Echo, End, Message, NODES, NodeMessage, Script, ServerMessage, World, domain,
        incarnation, lists,
    },
    step::{Broken, Step, Work},
    trace::Told,
};
use clock::Moment;
use member::Status;
use name::{Generation, Offset, Replica, Sequence};
use replica::{Policy, Servable, orders, propose};
use state::{
    Change, Event, Follower, Operation, Page, Peer, Record, Scope, State, Writer, decode, encode,
    replaced_epoch,
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use uuid::Uuid;

/// When node 2 cannot reach the log, so that its peers relay the records.
const LINK_DOWN: (u64, u64) = (1_500, 3_500);

/// The time within which every node follows what operators say.
const FOLLOW_WITHIN: Duration = Duration::from_secs(4);

/// The time within which the platform's list shows that a server leaves, and nodes follow.
const LIST_WITHIN: Duration = Duration::from_secs(5);

/// The time within which the loss of a member is noticed.
const NOTICE_WITHIN: Duration = Duration::from_secs(3);

/// The time for which a changed set of nodes must stand before an epoch is proposed.
const EPOCH_SETTLE: Duration = Duration::from_secs(2);

/// Until this moment the nodes get to know each other.
const START: Moment = Moment(1_000_000);

/// The time for which callers keep a list of entry nodes.
const CALLER_TTL: Duration = Duration::from_secs(1);

/// The time after which an operator tries again.
const TRY_AGAIN: Duration = Duration::from_millis(500);

/// The most bytes of a relay.
const RELAY_BYTES: usize = 1 << 20;

/// Returns whether the link of node 2 to the log is down.
pub(crate) fn is_link_down(now: Moment) -> bool {
    now >= Moment::from_millis(LINK_DOWN.0) && now < Moment::from_millis(LINK_DOWN.1)
}

/// Rewrites each record of a page to the base in force.
pub(crate) fn ignore_bases(follower: &Follower, page: &mut Page) {
    let mut state = State::clone(follower.state());
    for entry in &mut page.entries {
        let Ok(mut record) = decode(entry.data.as_bytes()) else {
            continue;
        };
        if let Change::Lists { base, .. } = &mut record.change {
            *base = state.lists_revision;
        }
        if let Ok(data) = encode(&record) {
            entry.data = data;
        }
        state.apply(entry.offset, &record);
    }
}

/// Returns every assigned replica as if it could be served.
pub(crate) fn all_assigned(state: &State) -> Vec<(Replica, Servable)> {
    let all = state.assignments.iter();
    all.filter_map(|(replica, a)| {
        let servable = Servable {
            generation: a.generation,
            model: a.model.clone(),
            version: Arc::clone(&a.version),
            lead: a.members.first()?.clone(),
            address: address(0),
            spans_fabrics: false,
            as_of: Moment::START,
        };
        Some((replica.clone(), servable))
    })
    .collect()
}

/// Returns a node as an epoch lists it.
fn peer(node: usize, life: u32) -> Peer {
    let template = Node::new(node, life, Moment::START);
    Peer {
        node: template.name,
        incarnation: incarnation(node, life),
        domain: template.domain,
        peer_address: address(node),
        caller_address: address(node),
    }
}

impl World {
    /// Puts the first records on the log and the first replicas in place.
    pub(crate) fn found(&mut self) {
        let assign = |number: usize| Change::Assign {
            base: Generation::default(),
            replica: format!("chat/{number}")
                .as_str()
                .try_into()
                .expect("a valid name"),
            model: "chat".try_into().expect("a valid name"),
            version: "1".into(),
            members: (2 * number..2 * number + 2)
                .map(crate::simulation::instance)
                .collect(),
        };
        let changes = [
            Change::Lists {
                base: Offset::ZERO,
                text: lists(0),
                by: "operator".into(),
            },
            Change::Epoch {
                base: Offset::ZERO,
                peers: (0..NODES).map(|node| peer(node, 1)).collect(),
            },
            assign(0),
            assign(1),
        ];
        for (number, change) in (1..).zip(changes) {
            self.append(Record {
                writer: Writer(name::Incarnation(Uuid::max())),
                sequence: Sequence(number),
                change,
            });
        }
        for (replica, assignment) in self.log.truth.assignments.clone() {
            for (member, server) in (0..).zip(self.members(&self.log.truth, &replica)) {
                self.servers[server].highest = assignment.generation;
                self.servers[server].place = Some(crate::backend::Place {
                    replica: replica.clone(),
                    generation: assignment.generation,
                    member,
                    size: assignment.members.len(),
                    ready: Moment::START,
                });
            }
        }
    }

    /// Takes over what a node folded.
    pub(crate) fn digest(&mut self, node: usize, before: &State, events: &[Event]) {
        if events.is_empty() {
            return;
        }
        let now = self.now;
        let state = self.nodes[node].state();
        for (offset, read) in &mut self.log.accepted {
            if *offset <= state.offset {
                read.get_or_insert(now);
            }
        }
        if state.lists_revision < before.lists_revision || state.offset < before.offset {
            let text = format!("node {node} went back to {}", state.lists_revision);
            self.note(Promise::Configuration, text);
        }
        if state.epoch.revision != before.epoch.revision {
            let base = match self.is_broken(Broken::NoRest) {
                true => Some(Offset::ZERO),
                false => replaced_epoch(events, before.epoch.revision),
            };
            self.nodes[node].adopt_epoch(&state, base, now);
        }
    }

    /// Reads the platform's list of instances.
    pub(crate) fn list(&mut self, node: usize) {
        let now = self.now;
        if now < self.list_frozen_until {
            return;
        }
        let listed = self.servers.iter().enumerate().map(|(i, s)| s.listed(i));
        let mut engines: Vec<_> = listed.collect();
        let services = engines.split_off(ENGINES);
        self.nodes[node].engines.update_listing(&engines, now);
        self.nodes[node].services.update_listing(&services, now);
    }

    /// Asks all peers what they know.
    pub(crate) fn send_beats(&mut self, node: usize) {
        let (sent, held) = (self.now, &self.nodes[node]);
        let lags = !held.freshness.reads_log() || !held.follower.is_ready();
        let wants = lags.then(|| held.follower.next_offset());
        let own = held.life;
        for peer in (0..NODES).filter(|peer| *peer != node) {
            let body = NodeMessage::Beat {
                from: node,
                life: own,
                wants,
                sent,
            };
            self.send_node(node, peer, body);
        }
    }

    /// Sends a message to a peer.
    fn send_node(&mut self, from: usize, to: usize, body: NodeMessage) {
        let life = self.nodes[to].life;
        let message = Message::ToNode {
            node: to,
            life,
            body,
        };
        self.send(End::Node(from), End::Node(to), message);
    }

    /// Answers a peer.
    pub(crate) fn beat(
        &mut self,
        node: usize,
        from: usize,
        life: u32,
        wants: Option<Offset>,
        sent: Moment,
    ) {
        let now = self.now;
        let held = &self.nodes[node];
        let have = |from: Offset| Offset(from.0.saturating_sub(1));
        let echo = Echo {
            from: node,
            life: held.life,
            sent,
            reads_log: held.freshness.reads_log(),
            folded: held.follower.state().offset,
            voucher: held.freshness.latest_reading(now),
            relay: wants.and_then(|from| held.follower.relay_after(have(from), RELAY_BYTES)),
            votes: held.votes.clone(),
        };
        if self.nodes[from].life == life {
            self.send_node(node, from, NodeMessage::Echo(Box::new(echo)));
        }
    }

    /// Takes a peer's answer.
    pub(crate) fn echo(&mut self, node: usize, echo: Echo) {
        let now = self.now;
        let has_records =
            |relay: &state::Relay| !relay.entries.is_empty() || relay.snapshot.is_some();
        if echo.relay.as_ref().is_some_and(has_records)
            && !self.hook(Work::Control, Step::Relay, node, None, None)
        {
            return;
        }
        let before = self.nodes[node].state();
        let held = &mut self.nodes[node];
        let link = Link {
            heard: echo.sent,
            life: echo.life,
            reads_log: echo.reads_log,
        };
        held.links.insert(echo.from, link);
        held.freshness.record_peer_offset(echo.folded);
        held.count(&echo.votes, now);
        if let Some(voucher) = &echo.voucher {
            held.freshness.add_reading(voucher, echo.sent, now);
        }
        if let Some(relay) = echo.relay {
            let events = held.follower.offer_relay(relay);
            self.digest(node, &before, &events);
        }
    }

    /// Proposes replicas, and orders engines to form them.
    pub(crate) fn form(&mut self, node: usize) {
        let (now, broken) = (self.now, self.plan.broken);
        let held = &mut self.nodes[node];
        let status = held.status(now, broken);
        if !held.follower.is_ready() || !status.accepts_work() {
            return;
        }
        let state = held.state();
        let names = state.epoch.peers.iter().map(|p| p.node.as_str());
        let rank = name::rank("replicas", held.name.as_str(), names);
        let is_fresh = status == Status::Fresh;
        let lists = state.lists();
        let changes = match is_fresh {
            true => propose(
                &state,
                lists,
                &held.engines,
                &Policy::default(),
                rank,
                now,
                &mut held.pacer,
            ),
            false => Vec::new(),
        };
        let due = orders(
            &state,
            lists,
            &held.engines,
            is_fresh,
            now,
            &mut held.ledger,
        );
        for change in changes {
            if !self.hook(Work::Control, Step::Propose, node, None, None) {
                return;
            }
            self.append_change(node, change);
        }
        for order in due {
            let server = self.servers.iter().position(|s| s.name == order.instance);
            // After a pause the deadline of the order has passed.
            if !self.hook(Work::Control, Step::Order, node, server, None) {
                return;
            }
            if let Some(server) = server {
                self.stale_orders.push((server, order.command.clone()));
                self.send_server(node, server, ServerMessage::Order(order.command));
            }
        }
    }

    /// Appends a change in the name of a node.
    fn append_change(&mut self, node: usize, change: Change) {
        let held = &mut self.nodes[node];
        held.sequence += 1;
        let record = Record {
            writer: Writer(incarnation(node, held.life)),
            sequence: Sequence(held.sequence),
            change,
        };
        self.send_log(
            node,
            crate::simulation::LogMessage::Control(Box::new(record)),
        );
    }

    /// Proposes an epoch once other nodes are alive than the epoch lists.
    pub(crate) fn renew_epoch(&mut self, node: usize) {
        let now = self.now;
        let held = &mut self.nodes[node];
        let state = held.state();
        let mut alive: BTreeMap<usize, u32> = held
            .links
            .iter()
            .filter(|(_, link)| now.since(link.heard) <= HEARD_FOR)
            .map(|(peer, link)| (*peer, link.life))
            .collect();
        alive.insert(node, held.life);
        let peers: Vec<Peer> = alive.iter().map(|(i, life)| peer(*i, *life)).collect();
        let is_same = state.epoch.peers == peers;
        let is_first = alive.keys().next() == Some(&node);
        if is_same || !is_first || held.status(now, None) != Status::Fresh || now < START {
            held.differs = None;
            return;
        }
        let differs = *held.differs.get_or_insert(now);
        if now.since(differs) >= EPOCH_SETTLE {
            held.differs = None;
            let base = state.epoch.revision;
            self.append_change(node, Change::Epoch { base, peers });
        }
    }

    /// Returns a node that runs, from `first` on.
    fn running_node(&self, first: usize) -> Option<usize> {
        let runs = |node: &usize| self.runs(*node) && self.nodes[*node].follower.is_ready();
        (0..NODES).map(|i| (first + i) % NODES).find(runs)
    }

    /// Returns whether a node's process runs.
    pub(crate) fn runs(&self, node: usize) -> bool {
        let paused = self.paused.get(&End::Node(node));
        self.nodes[node].is_up && paused.is_none_or(|until| self.now >= *until)
    }

    /// Carries out an action of the operators or of the platform.
    pub(crate) fn act(&mut self, script: Script) {
        match script {
            Script::LeaveServer(server) => self.servers[server].leaving = Some(self.now),
            Script::StopNode(node) => {
                if self.runs(node) && self.hook(Work::Control, Step::PlannedStop, node, None, None)
                {
                    self.stop_node(node);
                }
            }
            Script::Publish(node) => self.publish(node),
            Script::TakeOut => self.operate(script, Operation::TakeOut),
            Script::BringBack => self.operate(script, Operation::BringBack),
        }
    }

    fn stop_node(&mut self, node: usize) {
        let now = self.now;
        if self.is_broken(Broken::NoDrain) {
            return self.end_node(node, true);
        }
        self.nodes[node].drain.start(CALLER_TTL, now);
    }

    fn publish(&mut self, first: usize) {
        let Some(node) = self.running_node(first) else {
            return;
        };
        if !self.hook(Work::Control, Step::AppendConfiguration, node, None, None) {
            return self.push(TRY_AGAIN, Message::Script(Script::Publish(first)));
        }
        let change = Change::Lists {
            base: self.nodes[node].state().lists_revision,
            text: lists(u32::try_from(first).unwrap_or(0) + 1),
            by: "operator".into(),
        };
        self.append_change(node, change);
    }

    /// Takes failure domain c out or brings it back; tries until that is accepted.
    fn operate(&mut self, script: Script, operation: Operation) {
        let scope = Scope::Domain(domain("c"));
        let accepted = self.log.truth.operations.get(&scope);
        if accepted.is_some_and(|(_, last)| *last == operation) {
            return;
        }
        self.push(TRY_AGAIN, Message::Script(script));
        let step = match operation {
            Operation::TakeOut => Step::TakeOut,
            Operation::BringBack => Step::BringBack,
        };
        let Some(node) = self.running_node(0) else {
            return;
        };
        if !self.hook(Work::Control, step, node, None, None) {
            return;
        }
        let state = self.nodes[node].state();
        let base = state
            .operations
            .get(&scope)
            .map_or(Offset::ZERO, |(at, _)| *at);
        let change = Change::Operation {
            base,
            scope,
            operation,
            by: "operator".into(),
        };
        self.append_change(node, change);
    }

    /// Ends a node's process.
    pub(crate) fn end_node(&mut self, node: usize, is_planned: bool) {
        let count = self.nodes[node].drain.in_progress();
        if is_planned && count > 0 {
            let text = format!("node {node} stopped with {count} requests in progress");
            self.note(Promise::PlannedStop, text);
        }
        self.nodes[node].is_up = false;
        let jobs: Vec<usize> = self.nodes[node].jobs.keys().copied().collect();
        for request in jobs {
            self.tell(request, Told::Cut);
        }
        self.nodes[node].jobs.clear();
    }

    /// Starts a process that ended.
    pub(crate) fn start(&mut self, end: End) {
        let now = self.now;
        match end {
            End::Node(node) if !self.nodes[node].is_up => {
                let life = self.nodes[node].life + 1;
                self.nodes[node] = Node::new(node, life, now);
                self.push_node(Duration::ZERO, node, NodeMessage::Tick);
            }
            End::Server(server) if !self.servers[server].is_up => self.servers[server].start(now),
            _ => {}
        }
    }

    /// Checks a request that is being written to a server.
    pub(crate) fn inspect_send(
        &mut self,
        node: usize,
        server: usize,
        replica: Option<&Replica>,
        generation: Generation,
    ) {
        let now = self.now;
        let state = self.nodes[node].state();
        let held = &self.servers[server];
        let name = held.name.clone();
        let is_late = |since: Moment| now.since(since) > FOLLOW_WITHIN;
        let operation = self
            .log
            .truth
            .operations
            .get(&Scope::Domain(held.domain.clone()));
        let out = operation.filter(|(_, last)| *last == Operation::TakeOut);
        let accepted = out.and_then(|(at, _)| self.log.accepted.iter().find(|a| a.0 == *at));
        let is_out = accepted.and_then(|a| a.1).is_some_and(is_late);
        let is_leaving = held
            .leaving
            .is_some_and(|since| now.since(since) > LIST_WITHIN);
        let members = replica.map(|r| self.members(&state, r)).unwrap_or_default();
        let is_missing = |member: &&usize| {
            let held = &self.servers[**member];
            let place = held.place.as_ref();
            let is_here =
                place.is_some_and(|p| Some(&p.replica) == replica && p.generation == generation);
            !is_here && now.since(held.changed) > NOTICE_WITHIN
        };
        let missing = members.iter().find(is_missing).copied();
        if is_out {
            self.note(Promise::TakenOut, format!("node {node} sent to {name}"));
        }
        if is_leaving {
            self.note(Promise::Leaving, format!("node {node} sent to {name}"));
        }
        if let Some(member) = missing {
            let text = format!(
                "node {node} sent to {name} without {}",
                self.servers[member].name
            );
            self.note(Promise::WholeReplica, text);
        }
    }

    /// Compares what the nodes have in force with what was accepted.
    pub(crate) fn audit(&mut self) {
        for node in 0..NODES {
            if !self.runs(node) {
                continue;
            }
            let held = &self.nodes[node];
            let state = held.state();
            let mut seen = BTreeMap::new();
            for (replica, instance) in state
                .assignments
                .iter()
                .flat_map(|(r, a)| a.members.iter().map(move |i| (r, i)))
            {
                if let Some(other) = seen.insert(instance.clone(), replica.clone()) {
                    let text = format!("{instance} belongs to {other} and {replica}");
                    self.note(Promise::OneReplica, text);
                }
            }
            self.audit_configuration(node, &state);
        }
    }

    fn audit_configuration(&mut self, node: usize, state: &State) {
        let now = self.now;
        let held = &self.nodes[node];
        let truth = &self.log.truth;
        let is_other = state.offset == truth.offset && state.lists_revision != truth.lists_revision;
        let is_fresh = held.is_ready(now, self.plan.broken)
            && held.status(now, self.plan.broken) == Status::Fresh;
        let overdue = self.log.accepted.iter().find(|(offset, at)| {
            *offset > state.offset && at.is_some_and(|at| now.since(at) > FOLLOW_WITHIN)
        });
        if let Some((offset, _)) = overdue.filter(|_| is_fresh) {
            let text = format!("revision {offset} is not in force at node {node}");
            self.note(Promise::Configuration, text);
        }
        if is_other {
            let text = format!("node {node} has other lists in force than were accepted");
            self.note(Promise::Configuration, text);
        }
    }
}
