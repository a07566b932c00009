//! The control plane of a node, the actions of operators, and the audits.

use crate::{
    Invariant,
    backend::address,
    node::{Link, Node, PEER_TIMEOUT},
    simulation::{
        ENGINES, Endpoint, HeartbeatReply, Message, NODES, NodeMessage, ScheduledAction,
        ServerMessage, Simulation, domain, incarnation_id, lists,
    },
    step::{Mutation, Step, Work},
    trace::Outcome,
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

/// The time in ms in which node 2 cannot reach the log, so that peers relay records.
const LINK_OUTAGE_MS: (u64, u64) = (1_500, 3_500);

/// The time within which every node applies an operator's accepted change.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(4);

/// The time within which nodes stop using a server that the platform retires.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(5);

/// The time within which nodes detect the loss of a replica's member.
const MEMBER_LOSS_TIMEOUT: Duration = Duration::from_secs(3);

/// The time for which a changed set of nodes must persist before an epoch is proposed.
const EPOCH_SETTLE_TIME: Duration = Duration::from_secs(2);

/// No epoch is proposed before, so that nodes have received their peers' replies.
const FIRST_EPOCH_PROPOSAL: Moment = Moment(1_000_000);

/// The time for which callers cache the list of entry nodes.
const CALLER_TTL: Duration = Duration::from_secs(1);

/// The time after which an operator's action is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of bytes in a relay of records.
const MAX_RELAY_BYTES: usize = 1 << 20;

/// Returns whether the link of node 2 to the log is down.
pub(crate) fn is_link_down(now: Moment) -> bool {
    now >= Moment::from_millis(LINK_OUTAGE_MS.0) && now < Moment::from_millis(LINK_OUTAGE_MS.1)
}

/// Rewrites the base of each lists record to the revision in force.
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

/// Returns every assigned replica as servable.
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

/// Returns the entry of a node in an epoch.
fn peer(node: usize, incarnation: u32) -> Peer {
    let template = Node::new(node, incarnation, Moment::START);
    Peer {
        node: template.name,
        incarnation: incarnation_id(node, incarnation),
        domain: template.domain,
        peer_address: address(node),
        caller_address: address(node),
    }
}

impl Simulation {
    /// Appends the first records to the log and forms the first replicas.
    pub(crate) fn seed_log(&mut self) {
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
        for (replica, assignment) in self.log.committed.assignments.clone() {
            for (member, server) in (0..).zip(self.members(&self.log.committed, &replica)) {
                self.servers[server].highest_generation = assignment.generation;
                self.servers[server].membership = Some(crate::backend::Membership {
                    replica: replica.clone(),
                    generation: assignment.generation,
                    member,
                    size: assignment.members.len(),
                    ready: Moment::START,
                });
            }
        }
    }

    /// Handles the changes of a node's control state.
    pub(crate) fn apply_events(&mut self, node: usize, before: &State, events: &[Event]) {
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
            let text = format!("node {node} reverted to lists {}", state.lists_revision);
            self.record_finding(Invariant::Configuration, text);
        }
        if state.epoch.revision != before.epoch.revision {
            let base = match self.has_mutation(Mutation::SkipTransferDelay) {
                true => Some(Offset::ZERO),
                false => replaced_epoch(events, before.epoch.revision),
            };
            self.nodes[node].adopt_epoch(&state, base, now);
        }
    }

    /// Reads the platform's list of instances.
    pub(crate) fn poll_listing(&mut self, node: usize) {
        let now = self.now;
        if now < self.list_frozen_until {
            return;
        }
        let listed = self.servers.iter().enumerate().map(|(i, s)| s.listing(i));
        let mut engines: Vec<_> = listed.collect();
        let services = engines.split_off(ENGINES);
        self.nodes[node].engines.update_listing(&engines, now);
        self.nodes[node].services.update_listing(&services, now);
    }

    /// Sends a heartbeat to every peer.
    pub(crate) fn send_heartbeats(&mut self, node: usize) {
        let (sent, entry_node) = (self.now, &self.nodes[node]);
        let lags = !entry_node.freshness.reads_log() || !entry_node.follower.is_ready();
        let next_offset = lags.then(|| entry_node.follower.next_offset());
        let own = entry_node.incarnation;
        for peer in (0..NODES).filter(|peer| *peer != node) {
            let body = NodeMessage::Heartbeat {
                from: node,
                incarnation: own,
                next_offset,
                sent,
            };
            self.send_node(node, peer, body);
        }
    }

    /// Sends a message to a peer.
    fn send_node(&mut self, from: usize, to: usize, body: NodeMessage) {
        let incarnation = self.nodes[to].incarnation;
        let message = Message::ToNode {
            node: to,
            incarnation,
            body,
        };
        self.send(Endpoint::Node(from), Endpoint::Node(to), message);
    }

    /// Replies to a peer's heartbeat.
    pub(crate) fn on_heartbeat(
        &mut self,
        node: usize,
        from: usize,
        incarnation: u32,
        next_offset: Option<Offset>,
        sent: Moment,
    ) {
        let now = self.now;
        let entry_node = &self.nodes[node];
        let have = |from: Offset| Offset(from.0.saturating_sub(1));
        let reply = HeartbeatReply {
            from: node,
            incarnation: entry_node.incarnation,
            sent,
            reads_log: entry_node.freshness.reads_log(),
            folded: entry_node.follower.state().offset,
            tail_reading: entry_node.freshness.latest_reading(now),
            relay: next_offset
                .and_then(|from| entry_node.follower.relay_after(have(from), MAX_RELAY_BYTES)),
            votes: entry_node.votes.clone(),
        };
        if self.nodes[from].incarnation == incarnation {
            self.send_node(node, from, NodeMessage::HeartbeatReply(Box::new(reply)));
        }
    }

    /// Handles a peer's reply to a heartbeat.
    pub(crate) fn on_heartbeat_reply(&mut self, node: usize, reply: HeartbeatReply) {
        let now = self.now;
        let has_records =
            |relay: &state::Relay| !relay.entries.is_empty() || relay.snapshot.is_some();
        if reply.relay.as_ref().is_some_and(has_records)
            && !self.reach_step(Work::Control, Step::Relay, node, None, None)
        {
            return;
        }
        let before = self.nodes[node].state();
        let entry_node = &mut self.nodes[node];
        let link = Link {
            last_contact: reply.sent,
            incarnation: reply.incarnation,
            reads_log: reply.reads_log,
        };
        entry_node.links.insert(reply.from, link);
        entry_node.freshness.record_peer_offset(reply.folded);
        entry_node.record_votes(&reply.votes, now);
        if let Some(tail_reading) = &reply.tail_reading {
            entry_node
                .freshness
                .add_reading(tail_reading, reply.sent, now);
        }
        if let Some(relay) = reply.relay {
            let events = entry_node.follower.offer_relay(relay);
            self.apply_events(node, &before, &events);
        }
    }

    /// Proposes assignments of replicas, and sends the orders that are due.
    pub(crate) fn form_replicas(&mut self, node: usize) {
        let (now, mutation) = (self.now, self.plan.mutation);
        let entry_node = &mut self.nodes[node];
        let status = entry_node.status(now, mutation);
        if !entry_node.follower.is_ready() || !status.accepts_work() {
            return;
        }
        let state = entry_node.state();
        let names = state.epoch.peers.iter().map(|p| p.node.as_str());
        let rank = name::rendezvous_rank("replicas", entry_node.name.as_str(), names);
        let is_fresh = status == Status::Fresh;
        let lists = state.lists();
        let changes = match is_fresh {
            true => propose(
                &state,
                lists,
                &entry_node.engines,
                &Policy::default(),
                rank,
                now,
                &mut entry_node.pacer,
            ),
            false => Vec::new(),
        };
        let due = orders(
            &state,
            lists,
            &entry_node.engines,
            is_fresh,
            now,
            &mut entry_node.order_tracker,
        );
        for change in changes {
            if !self.reach_step(Work::Control, Step::Propose, node, None, None) {
                return;
            }
            self.append_change(node, change);
        }
        for order in due {
            let server = self.servers.iter().position(|s| s.name == order.instance);
            // A paused node must not send the order, since its deadline has passed.
            if !self.reach_step(Work::Control, Step::Order, node, server, None) {
                return;
            }
            if let Some(server) = server {
                self.stale_orders.push((server, order.command.clone()));
                self.send_server(node, server, ServerMessage::Order(order.command));
            }
        }
    }

    /// Appends a change to the log with the node as its writer.
    fn append_change(&mut self, node: usize, change: Change) {
        let entry_node = &mut self.nodes[node];
        entry_node.sequence += 1;
        let record = Record {
            writer: Writer(incarnation_id(node, entry_node.incarnation)),
            sequence: Sequence(entry_node.sequence),
            change,
        };
        self.send_log(
            node,
            crate::simulation::LogMessage::Control(Box::new(record)),
        );
    }

    /// Proposes an epoch once the reachable nodes differ from those of the epoch.
    pub(crate) fn renew_epoch(&mut self, node: usize) {
        let now = self.now;
        let entry_node = &mut self.nodes[node];
        let state = entry_node.state();
        let mut alive: BTreeMap<usize, u32> = entry_node
            .links
            .iter()
            .filter(|(_, link)| now.since(link.last_contact) <= PEER_TIMEOUT)
            .map(|(peer, link)| (*peer, link.incarnation))
            .collect();
        alive.insert(node, entry_node.incarnation);
        let peers: Vec<Peer> = alive
            .iter()
            .map(|(i, incarnation)| peer(*i, *incarnation))
            .collect();
        let is_same = state.epoch.peers == peers;
        let is_first = alive.keys().next() == Some(&node);
        if is_same
            || !is_first
            || entry_node.status(now, None) != Status::Fresh
            || now < FIRST_EPOCH_PROPOSAL
        {
            entry_node.membership_changed_at = None;
            return;
        }
        let membership_changed_at = *entry_node.membership_changed_at.get_or_insert(now);
        if now.since(membership_changed_at) >= EPOCH_SETTLE_TIME {
            entry_node.membership_changed_at = None;
            let base = state.epoch.revision;
            self.append_change(node, Change::Epoch { base, peers });
        }
    }

    /// Returns the first running node with a complete state, counted from `first`.
    fn running_node(&self, first: usize) -> Option<usize> {
        let runs = |node: &usize| self.runs(*node) && self.nodes[*node].follower.is_ready();
        (0..NODES).map(|i| (first + i) % NODES).find(runs)
    }

    /// Returns whether a node's process is up and not paused.
    pub(crate) fn runs(&self, node: usize) -> bool {
        let paused = self.paused.get(&Endpoint::Node(node));
        self.nodes[node].is_up && paused.is_none_or(|until| self.now >= *until)
    }

    /// Executes a scheduled action.
    pub(crate) fn run_action(&mut self, action: ScheduledAction) {
        match action {
            ScheduledAction::LeaveServer(server) => self.servers[server].leaving = Some(self.now),
            ScheduledAction::StopNode(node) => {
                if self.runs(node)
                    && self.reach_step(Work::Control, Step::PlannedStop, node, None, None)
                {
                    self.stop_node(node);
                }
            }
            ScheduledAction::Publish(node) => self.publish(node),
            ScheduledAction::TakeOut => self.operate(action, Operation::TakeOut),
            ScheduledAction::BringBack => self.operate(action, Operation::BringBack),
        }
    }

    fn stop_node(&mut self, node: usize) {
        let now = self.now;
        if self.has_mutation(Mutation::SkipDrain) {
            return self.end_node(node, true);
        }
        self.nodes[node].drain.start(CALLER_TTL, now);
    }

    fn publish(&mut self, first: usize) {
        let Some(node) = self.running_node(first) else {
            return;
        };
        if !self.reach_step(Work::Control, Step::AppendConfiguration, node, None, None) {
            return self.push(
                RETRY_INTERVAL,
                Message::ScheduledAction(ScheduledAction::Publish(first)),
            );
        }
        let change = Change::Lists {
            base: self.nodes[node].state().lists_revision,
            text: lists(u32::try_from(first).unwrap_or(0) + 1),
            by: "operator".into(),
        };
        self.append_change(node, change);
    }

    /// Takes failure domain c out or brings it back; retries until the change is accepted.
    fn operate(&mut self, action: ScheduledAction, operation: Operation) {
        let scope = Scope::Domain(domain("c"));
        let accepted = self.log.committed.operations.get(&scope);
        if accepted.is_some_and(|(_, last)| *last == operation) {
            return;
        }
        self.push(RETRY_INTERVAL, Message::ScheduledAction(action));
        let step = match operation {
            Operation::TakeOut => Step::TakeOut,
            Operation::BringBack => Step::BringBack,
        };
        let Some(node) = self.running_node(0) else {
            return;
        };
        if !self.reach_step(Work::Control, step, node, None, None) {
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

    /// Terminates a node's process and its connections to callers.
    pub(crate) fn end_node(&mut self, node: usize, is_planned: bool) {
        let count = self.nodes[node].drain.in_progress();
        if is_planned && count > 0 {
            let text = format!("node {node} stopped with {count} requests in progress");
            self.record_finding(Invariant::PlannedStop, text);
        }
        self.nodes[node].is_up = false;
        let jobs: Vec<usize> = self.nodes[node].jobs.keys().copied().collect();
        for request in jobs {
            self.finish_request(request, Outcome::Disconnected);
        }
        self.nodes[node].jobs.clear();
    }

    /// Starts a terminated process again.
    pub(crate) fn start(&mut self, endpoint: Endpoint) {
        let now = self.now;
        match endpoint {
            Endpoint::Node(node) if !self.nodes[node].is_up => {
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = Node::new(node, incarnation, now);
                self.push_node(Duration::ZERO, node, NodeMessage::Tick);
            }
            Endpoint::Server(server) if !self.servers[server].is_up => {
                self.servers[server].start(now);
            }
            _ => {}
        }
    }

    /// Checks the invariants for a request that is being sent to a server.
    pub(crate) fn inspect_send(
        &mut self,
        node: usize,
        server: usize,
        replica: Option<&Replica>,
        generation: Generation,
    ) {
        let now = self.now;
        let state = self.nodes[node].state();
        let backend = &self.servers[server];
        let name = backend.name.clone();
        let is_late = |since: Moment| now.since(since) > CONFIGURATION_TIMEOUT;
        let operation = self
            .log
            .committed
            .operations
            .get(&Scope::Domain(backend.domain.clone()));
        let out = operation.filter(|(_, last)| *last == Operation::TakeOut);
        let accepted = out.and_then(|(at, _)| self.log.accepted.iter().find(|a| a.0 == *at));
        let is_out = accepted.and_then(|a| a.1).is_some_and(is_late);
        let is_leaving = backend
            .leaving
            .is_some_and(|since| now.since(since) > LEAVING_TIMEOUT);
        let members = replica.map(|r| self.members(&state, r)).unwrap_or_default();
        let is_missing = |member: &&usize| {
            let backend = &self.servers[**member];
            let membership = backend.membership.as_ref();
            let is_here = membership
                .is_some_and(|p| Some(&p.replica) == replica && p.generation == generation);
            !is_here && now.since(backend.changed_at) > MEMBER_LOSS_TIMEOUT
        };
        let missing = members.iter().find(is_missing).copied();
        if is_out {
            self.record_finding(Invariant::TakenOut, format!("node {node} sent to {name}"));
        }
        if is_leaving {
            self.record_finding(Invariant::Leaving, format!("node {node} sent to {name}"));
        }
        if let Some(member) = missing {
            let text = format!(
                "node {node} sent to {name} without {}",
                self.servers[member].name
            );
            self.record_finding(Invariant::WholeReplica, text);
        }
    }

    /// Compares the control state of each node with the accepted changes.
    pub(crate) fn audit(&mut self) {
        for node in 0..NODES {
            if !self.runs(node) {
                continue;
            }
            let entry_node = &self.nodes[node];
            let state = entry_node.state();
            let mut seen = BTreeMap::new();
            for (replica, instance) in state
                .assignments
                .iter()
                .flat_map(|(r, a)| a.members.iter().map(move |i| (r, i)))
            {
                if let Some(other) = seen.insert(instance.clone(), replica.clone()) {
                    let text = format!("{instance} belongs to {other} and {replica}");
                    self.record_finding(Invariant::OneReplica, text);
                }
            }
            self.audit_configuration(node, &state);
        }
    }

    fn audit_configuration(&mut self, node: usize, state: &State) {
        let now = self.now;
        let entry_node = &self.nodes[node];
        let committed = &self.log.committed;
        let is_other =
            state.offset == committed.offset && state.lists_revision != committed.lists_revision;
        let is_fresh = entry_node.is_ready(now, self.plan.mutation)
            && entry_node.status(now, self.plan.mutation) == Status::Fresh;
        let overdue = self.log.accepted.iter().find(|(offset, at)| {
            *offset > state.offset && at.is_some_and(|at| now.since(at) > CONFIGURATION_TIMEOUT)
        });
        if let Some((offset, _)) = overdue.filter(|_| is_fresh) {
            let text = format!("revision {offset} is not in force at node {node}");
            self.record_finding(Invariant::Configuration, text);
        }
        if is_other {
            let text = format!("node {node} has other lists in force than were accepted");
            self.record_finding(Invariant::Configuration, text);
        }
    }
}
