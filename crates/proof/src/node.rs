//! The simulated entry node and its handlers of messages.

use crate::{
    backend::{COLD_LIMIT, WARM_LIMIT},
    control,
    request::Job,
    simulation::{
        ENGINES, Endpoint, LogMessage, LogResponse, Message, NODES, NodeMessage, ServerMessage,
        Simulation, TICK_INTERVAL, domain, incarnation_id,
    },
    step::{Mutation, Step, Work},
};
use admit::slot::{CapacityReport, Gate, Ownership, Timing};
use clock::Moment;
use member::{Drain, Freshness, Reachability, Stage, Status};
use name::{Domain, Generation, Offset, Replica};
use once::{Bounds, Table, Window};
use replica::{
    Evaluation, FailureDetector, OrderTracker, Pacer, Servable, Settings, View, Vote, servable,
};
use route::retry::Budget;
use state::{Follower, Limits, State, Writer};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use uuid::Uuid;

/// The maximum age of a tail reading on which a node acts.
pub(crate) const MAX_TAIL_READING_AGE: Duration = Duration::from_secs(2);

/// The time from the arrival of a request to its deadline.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// The time within which a permit must be used.
const SEND_TIMEOUT: Duration = Duration::from_millis(100);

/// The time since the last contact after which a peer counts as unreachable.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// The time after which a read of the log counts as failed.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of ticks between two heartbeats and reads of the list of instances.
const HEARTBEAT_TICKS: u64 = 5;
const CONTROL_TICKS: u64 = 3;
const POLL_TICKS: u64 = 2;

/// The state of a peer, from its last reply to a heartbeat.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    pub(crate) last_contact: Moment,
    pub(crate) incarnation: u32,
    pub(crate) reads_log: bool,
}

/// Whether a server reported to be warm, and when it was asked.
#[derive(Debug, Clone)]
struct Warmth {
    boot: Uuid,
    warm: bool,
    observed: Moment,
}

/// A simulated entry node.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) index: usize,
    pub(crate) incarnation: u32,
    pub(crate) is_up: bool,
    pub(crate) name: name::Node,
    pub(crate) domain: Domain,
    pub(crate) follower: Follower,
    pub(crate) freshness: Freshness,
    pub(crate) engines: View,
    pub(crate) services: View,
    warmth: BTreeMap<usize, Warmth>,
    pub(crate) gates: BTreeMap<usize, Gate>,
    slot_ownership: Option<(Ownership, Option<Offset>, Moment)>,
    pub(crate) claims: Table,
    pub(crate) jobs: BTreeMap<usize, Job>,
    pub(crate) drain: Drain,
    pub(crate) pacer: Pacer,
    pub(crate) order_tracker: OrderTracker,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) votes: Vec<Vote>,
    pub(crate) links: BTreeMap<usize, Link>,
    pub(crate) retry_budget: Budget,
    pub(crate) sequence: u64,
    pub(crate) membership_changed_at: Option<Moment>,
    pub(crate) served: BTreeSet<(Replica, Generation)>,
    pending_read: Option<Moment>,
    ticks: u64,
}

impl Node {
    pub(crate) fn new(index: usize, incarnation: u32, now: Moment) -> Self {
        let settings = Settings::default();
        let name: name::Node = format!("node-{index}")
            .as_str()
            .try_into()
            .expect("a valid name");
        Self {
            index,
            incarnation,
            is_up: true,
            domain: domain(["a", "b", "c"][index % 3]),
            follower: Follower::new(
                Writer(incarnation_id(index, incarnation)),
                Limits::default(),
            ),
            freshness: Freshness::new(MAX_TAIL_READING_AGE),
            engines: View::new(settings.clone()),
            services: View::new(settings.clone()),
            warmth: BTreeMap::new(),
            gates: BTreeMap::new(),
            slot_ownership: None,
            claims: Table::new(Window::default(), Bounds::default()),
            jobs: BTreeMap::new(),
            drain: Drain::new(),
            pacer: Pacer::new(settings.clone()),
            order_tracker: OrderTracker::new(name.clone(), settings.clone()),
            failure_detector: FailureDetector::new(name.clone(), settings, now),
            votes: Vec::new(),
            links: BTreeMap::new(),
            retry_budget: Budget::default(),
            sequence: 0,
            membership_changed_at: None,
            served: BTreeSet::new(),
            pending_read: None,
            ticks: 0,
            name,
        }
    }

    /// Returns the control state in force.
    pub(crate) fn state(&self) -> Arc<State> {
        Arc::clone(self.follower.state())
    }

    /// Returns the view that holds a server.
    pub(crate) fn view(&mut self, server: usize) -> &mut View {
        match server < ENGINES {
            true => &mut self.engines,
            false => &mut self.services,
        }
    }

    /// Returns how many peers are reachable, and how many of them lack the log.
    fn reachability(&self, now: Moment) -> Reachability {
        let reachable = || {
            self.links
                .values()
                .filter(|l| now.since(l.last_contact) <= PEER_TIMEOUT)
        };
        Reachability {
            watched: NODES - 1,
            reachable: reachable().count(),
            without_log: reachable().filter(|l| !l.reads_log).count(),
        }
    }

    /// Returns how fresh the control state is.
    pub(crate) fn status(&self, now: Moment, mutation: Option<Mutation>) -> Status {
        if mutation == Some(Mutation::IgnoreVoucherAge) {
            return Status::Fresh;
        }
        let folded = self.follower.state().offset;
        self.freshness.status(folded, self.reachability(now), now)
    }

    /// Returns whether the control state is complete, and fresh enough to accept work.
    pub(crate) fn is_ready(&self, now: Moment, mutation: Option<Mutation>) -> bool {
        self.follower.is_ready() && self.status(now, mutation).accepts_work()
    }

    /// Returns another request that the node has sent to a server.
    pub(crate) fn other_request(&self, request: usize) -> Option<usize> {
        let other = |id: &&usize| **id != request && self.jobs[*id].is_sent();
        self.jobs.keys().find(other).copied()
    }

    /// Returns the capacity of a set of servers, the first of which receives the requests.
    fn capacity_report(&self, members: &[usize]) -> Option<CapacityReport> {
        let all: Option<Vec<&Warmth>> = members.iter().map(|i| self.warmth.get(i)).collect();
        let all = all?;
        Some(CapacityReport {
            boot: all.first()?.boot,
            warm: all.iter().all(|b| b.warm),
            warm_limit: WARM_LIMIT,
            cold_limit: COLD_LIMIT,
            // The simulation reports no load, so transferred slots rest for the whole `rest` time.
            idle: false,
            at: all.iter().map(|b| b.observed).min()?,
        })
    }

    /// Applies the slot ownership of a new epoch.
    pub(crate) fn adopt_epoch(&mut self, state: &State, base: Option<Offset>, now: Moment) {
        let ownership = Ownership::from(&state.epoch);
        for gate in self.gates.values_mut() {
            gate.apply_epoch(&ownership, base, now);
        }
        self.slot_ownership = Some((ownership, base, now));
    }

    /// Returns the gate of a server's slots, created on first use.
    fn gate(&mut self, server: usize, name: &str) -> &mut Gate {
        let owner = (
            self.name.clone(),
            incarnation_id(self.index, self.incarnation),
        );
        let slot_ownership = &self.slot_ownership;
        self.gates.entry(server).or_insert_with(|| {
            let timing = Timing {
                send: SEND_TIMEOUT,
                rest: MAX_TAIL_READING_AGE + SEND_TIMEOUT + REQUEST_TIMEOUT,
                ..Timing::default()
            };
            let mut gate = Gate::new(name, owner, WARM_LIMIT, timing);
            if let Some((ownership, base, adopted)) = slot_ownership {
                gate.apply_epoch(ownership, *base, *adopted);
            }
            gate
        })
    }
}

impl Simulation {
    /// Handles a message to a node.
    pub(crate) fn on_node(&mut self, node: usize, body: NodeMessage) {
        match body {
            NodeMessage::Tick => self.tick(node),
            NodeMessage::Proceed { request, step } => self.proceed(node, request, step),
            NodeMessage::Page(response) => self.on_log_response(node, *response),
            NodeMessage::Appended { request, append } => self.on_appended(node, request, append),
            NodeMessage::Reported {
                server,
                report,
                warm,
                asked,
            } => self.on_report(node, server, *report, warm, asked),
            NodeMessage::Connected {
                request,
                attempt,
                boot,
            } => self.on_connected(node, request, attempt, boot),
            NodeMessage::Refused {
                request,
                attempt,
                has_begun,
            } => self.on_refused(node, request, attempt, has_begun),
            NodeMessage::Frame { request, frame } => self.on_frame(node, request, &frame),
            NodeMessage::Heartbeat {
                from,
                incarnation,
                next_offset,
                sent,
            } => self.on_heartbeat(node, from, incarnation, next_offset, sent),
            NodeMessage::HeartbeatReply(reply) => self.on_heartbeat_reply(node, *reply),
        }
    }

    fn tick(&mut self, node: usize) {
        let ticks = self.nodes[node].ticks;
        self.nodes[node].ticks += 1;
        self.push_node(TICK_INTERVAL, node, NodeMessage::Tick);
        self.read_log(node);
        if ticks.is_multiple_of(POLL_TICKS) {
            self.poll_servers(node);
            self.update_offers(node);
        }
        if ticks.is_multiple_of(HEARTBEAT_TICKS) {
            self.poll_listing(node);
            self.send_heartbeats(node);
        }
        if ticks.is_multiple_of(CONTROL_TICKS) {
            self.evaluate_failures(node);
            self.form_replicas(node);
            self.renew_epoch(node);
        }
        self.check_jobs(node);
        if self.nodes[node].drain.update(self.now) == Stage::Stopped {
            self.end_node(node, true);
        }
    }

    /// Requests the log records that the node has not read.
    fn read_log(&mut self, node: usize) {
        let now = self.now;
        let entry_node = &mut self.nodes[node];
        if let Some(asked) = entry_node.pending_read {
            if now.since(asked) < READ_TIMEOUT {
                return;
            }
            entry_node.freshness.record_failure();
        }
        entry_node.pending_read = Some(now);
        let body = LogMessage::Read {
            next_offset: entry_node.follower.next_read(),
            claims: entry_node.claims.position(),
            asked: now,
        };
        if node != 2 || !control::is_link_down(now) {
            self.send_log(node, body);
        }
    }

    /// Sends a message to the log.
    pub(crate) fn send_log(&mut self, node: usize, body: LogMessage) {
        let from = (node, self.nodes[node].incarnation);
        self.send(
            Endpoint::Node(node),
            Endpoint::Log,
            Message::ToLog { from, body },
        );
    }

    /// Sends a message to a server.
    pub(crate) fn send_server(&mut self, node: usize, server: usize, body: ServerMessage) {
        let from = (node, self.nodes[node].incarnation);
        let message = Message::ToServer { server, from, body };
        self.send(Endpoint::Node(node), Endpoint::Server(server), message);
    }

    /// Handles the log's response to a read.
    fn on_log_response(&mut self, node: usize, response: LogResponse) {
        let (now, wall) = (self.now, self.wall());
        let LogResponse {
            asked,
            mut page,
            claims,
            claims_last,
        } = response;
        // A response to a read that has timed out is discarded.
        if self.nodes[node].pending_read != Some(asked) {
            return;
        }
        self.nodes[node].pending_read = None;
        if !page.entries.is_empty() && !self.reach_step(Work::Control, Step::Fold, node, None, None)
        {
            return;
        }
        if self.has_mutation(Mutation::IgnoreBase) {
            control::ignore_bases(&self.nodes[node].follower, &mut page);
        }
        let last = Offset(page.tail.0.saturating_sub(1));
        let before = self.nodes[node].state();
        let events = self.nodes[node].follower.offer_page(page);
        self.apply_events(node, &before, &events);
        let entry_node = &mut self.nodes[node];
        entry_node.freshness.record_read(last, asked, now);
        entry_node.claims.set_target(claims_last);
        for (offset, record) in claims {
            entry_node.claims.fold(offset, Some(&record), wall);
        }
        self.check_claims(node);
    }

    /// Requests a report from every server.
    fn poll_servers(&mut self, node: usize) {
        let asked = self.now;
        for server in 0..self.servers.len() {
            self.send_server(node, server, ServerMessage::Poll { asked });
        }
    }

    fn on_report(
        &mut self,
        node: usize,
        server: usize,
        report: replica::Report,
        warm: bool,
        asked: Moment,
    ) {
        if !self.reach_step(Work::Control, Step::Report, node, Some(server), None) {
            return;
        }
        let now = self.now;
        let entry_node = &mut self.nodes[node];
        entry_node
            .failure_detector
            .record_answer(&report.instance, asked);
        let known = entry_node.warmth.get(&server);
        if known.is_none_or(|b| b.observed < asked) {
            let reported = Warmth {
                boot: report.boot,
                warm,
                observed: asked,
            };
            entry_node.warmth.insert(server, reported);
        }
        entry_node.view(server).record_report(report, asked, now);
    }

    /// Evaluates which instances are suspected, and records the node's own votes.
    fn evaluate_failures(&mut self, node: usize) {
        let now = self.now;
        let names: Vec<_> = self.servers.iter().map(|s| s.name.clone()).collect();
        let entry_node = &mut self.nodes[node];
        entry_node.failure_detector.set_instances(names, now);
        entry_node.votes = match entry_node.failure_detector.evaluate(now) {
            Evaluation::Votes(votes) => votes,
            Evaluation::Isolated => Vec::new(),
        };
        let votes = entry_node.votes.clone();
        entry_node.record_votes(&votes, now);
    }

    /// Updates the servable replicas and the slots of the available servers.
    fn update_offers(&mut self, node: usize) {
        let now = self.now;
        let mutation = self.plan.mutation;
        let state = self.nodes[node].state();
        let mut offers: Vec<(usize, Vec<usize>)> = Vec::new();
        let mut served = BTreeSet::new();
        for (replica, found) in self.servable(node) {
            let members = self.members(&state, &replica);
            offers.extend(members.first().map(|lead| (*lead, members.clone())));
            served.insert((replica, found.generation));
        }
        for newly_served in served.difference(&self.nodes[node].served.clone()) {
            let lead = self.members(&state, &newly_served.0).first().copied();
            if !self.reach_step(Work::Control, Step::Serve, node, lead, None) {
                return;
            }
        }
        self.nodes[node].served = served;
        offers.extend((ENGINES..self.servers.len()).map(|server| (server, vec![server])));
        let takes_work = self.nodes[node].status(now, mutation).accepts_work();
        for (server, members) in offers {
            let name = self.servers[server].name.clone();
            let entry_node = &mut self.nodes[node];
            let capacity_report = entry_node.capacity_report(&members);
            let gate = entry_node.gate(server, name.as_str());
            if let Some(capacity_report) = capacity_report {
                gate.observe(capacity_report);
            }
            if takes_work {
                gate.confirm_log_view(now + MAX_TAIL_READING_AGE);
            }
        }
    }

    /// Returns the replicas that may serve requests of the node.
    pub(crate) fn servable(&self, node: usize) -> Vec<(Replica, Servable)> {
        let entry_node = &self.nodes[node];
        let state = entry_node.state();
        if self.has_mutation(Mutation::IgnoreGeneration) {
            return control::all_assigned(&state);
        }
        servable(&state, &entry_node.engines, self.now)
            .into_iter()
            .filter_map(|(replica, found)| Some((replica, found.ok()?)))
            .collect()
    }

    /// Returns the servers that are members of a replica.
    pub(crate) fn members(&self, state: &State, replica: &Replica) -> Vec<usize> {
        let assignment = state.assignments.get(replica);
        let names = assignment.iter().flat_map(|a| &a.members);
        names
            .filter_map(|name| self.servers.iter().position(|s| s.name == *name))
            .collect()
    }
}

impl Node {
    /// Records votes in the views of engines and services.
    pub(crate) fn record_votes(&mut self, votes: &[Vote], now: Moment) {
        let epoch = self.state().epoch.clone();
        for vote in votes {
            self.engines.record_vote(vote, &epoch, now);
            self.services.record_vote(vote, &epoch, now);
        }
    }
}
