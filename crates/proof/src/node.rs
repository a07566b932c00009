//! One entry node: its decisions, and what carries them out.

use crate::{
    backend::{COLD_LIMIT, WARM_LIMIT},
    control,
    request::Job,
    simulation::{
        ENGINES, End, LogMessage, Message, NODES, NodeMessage, Reading, ServerMessage, TICK, World,
        domain, incarnation,
    },
    step::{Broken, Step, Work},
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

/// The greatest age of a voucher on which a node acts.
pub(crate) const VOUCHER_BOUND: Duration = Duration::from_secs(2);

/// The time from the arrival of a request to its deadline.
pub(crate) const PATIENCE: Duration = Duration::from_secs(4);

/// The time within which a permit is used.
const SEND_WITHIN: Duration = Duration::from_millis(100);

/// The time for which a peer counts as heard.
pub(crate) const HEARD_FOR: Duration = Duration::from_secs(3);

/// The longest time for which a read of the log is waited for.
const READ_WITHIN: Duration = Duration::from_secs(1);

/// Ticks between two beats, two lists and two rounds of control.
const BEAT_TICKS: u64 = 5;
const CONTROL_TICKS: u64 = 3;
const POLL_TICKS: u64 = 2;

/// What a node last heard from a peer.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    pub(crate) heard: Moment,
    pub(crate) life: u32,
    pub(crate) reads_log: bool,
}

/// How warm a server reported to be.
#[derive(Debug, Clone)]
struct Bearing {
    boot: Uuid,
    warm: bool,
    taken: Moment,
}

/// One entry node.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) index: usize,
    pub(crate) life: u32,
    pub(crate) is_up: bool,
    pub(crate) name: name::Node,
    pub(crate) domain: Domain,
    pub(crate) follower: Follower,
    pub(crate) freshness: Freshness,
    pub(crate) engines: View,
    pub(crate) services: View,
    bearings: BTreeMap<usize, Bearing>,
    pub(crate) gates: BTreeMap<usize, Gate>,
    division: Option<(Ownership, Option<Offset>, Moment)>,
    pub(crate) claims: Table,
    pub(crate) jobs: BTreeMap<usize, Job>,
    pub(crate) drain: Drain,
    pub(crate) pacer: Pacer,
    pub(crate) ledger: OrderTracker,
    pub(crate) watch: FailureDetector,
    pub(crate) votes: Vec<Vote>,
    pub(crate) links: BTreeMap<usize, Link>,
    pub(crate) budget: Budget,
    pub(crate) sequence: u64,
    pub(crate) differs: Option<Moment>,
    pub(crate) served: BTreeSet<(Replica, Generation)>,
    reading: Option<Moment>,
    ticks: u64,
}

impl Node {
    pub(crate) fn new(index: usize, life: u32, now: Moment) -> Self {
        let settings = Settings::default();
        let name: name::Node = format!("node-{index}")
            .as_str()
            .try_into()
            .expect("a valid name");
        Self {
            index,
            life,
            is_up: true,
            domain: domain(["a", "b", "c"][index % 3]),
            follower: Follower::new(Writer(incarnation(index, life)), Limits::default()),
            freshness: Freshness::new(VOUCHER_BOUND),
            engines: View::new(settings.clone()),
            services: View::new(settings.clone()),
            bearings: BTreeMap::new(),
            gates: BTreeMap::new(),
            division: None,
            claims: Table::new(Window::default(), Bounds::default()),
            jobs: BTreeMap::new(),
            drain: Drain::new(),
            pacer: Pacer::new(settings.clone()),
            ledger: OrderTracker::new(name.clone(), settings.clone()),
            watch: FailureDetector::new(name.clone(), settings, now),
            votes: Vec::new(),
            links: BTreeMap::new(),
            budget: Budget::default(),
            sequence: 0,
            differs: None,
            served: BTreeSet::new(),
            reading: None,
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

    /// Returns what is seen of the peers.
    fn sight(&self, now: Moment) -> Reachability {
        let heard = || {
            self.links
                .values()
                .filter(|l| now.since(l.heard) <= HEARD_FOR)
        };
        Reachability {
            watched: NODES - 1,
            reachable: heard().count(),
            without_log: heard().filter(|l| !l.reads_log).count(),
        }
    }

    /// Returns whether the state is young enough to act on.
    pub(crate) fn status(&self, now: Moment, broken: Option<Broken>) -> Status {
        if broken == Some(Broken::IgnoreVoucherAge) {
            return Status::Fresh;
        }
        let folded = self.follower.state().offset;
        self.freshness.status(folded, self.sight(now), now)
    }

    /// Returns whether the state is whole, and young enough to take work.
    pub(crate) fn is_ready(&self, now: Moment, broken: Option<Broken>) -> bool {
        self.follower.is_ready() && self.status(now, broken).accepts_work()
    }

    /// Returns another request in progress at the node.
    pub(crate) fn other_request(&self, request: usize) -> Option<usize> {
        let other = |id: &&usize| **id != request && self.jobs[*id].is_sent();
        self.jobs.keys().find(other).copied()
    }

    /// Returns the evidence on a set of servers, the first of which takes requests.
    fn evidence(&self, members: &[usize]) -> Option<CapacityReport> {
        let all: Option<Vec<&Bearing>> = members.iter().map(|i| self.bearings.get(i)).collect();
        let all = all?;
        Some(CapacityReport {
            boot: all.first()?.boot,
            warm: all.iter().all(|b| b.warm),
            warm_limit: WARM_LIMIT,
            cold_limit: COLD_LIMIT,
            // The harness keeps no load; slots rest for their whole time.
            idle: false,
            at: all.iter().map(|b| b.taken).min()?,
        })
    }

    /// Divides the slots by a new epoch.
    pub(crate) fn adopt_epoch(&mut self, state: &State, base: Option<Offset>, now: Moment) {
        let ownership = Ownership::from(&state.epoch);
        for gate in self.gates.values_mut() {
            gate.apply_epoch(&ownership, base, now);
        }
        self.division = Some((ownership, base, now));
    }

    /// Returns the slots at a server, which are made when it is first offered.
    fn gate(&mut self, server: usize, name: &str) -> &mut Gate {
        let owner = (self.name.clone(), incarnation(self.index, self.life));
        let division = &self.division;
        self.gates.entry(server).or_insert_with(|| {
            let timing = Timing {
                send: SEND_WITHIN,
                rest: VOUCHER_BOUND + SEND_WITHIN + PATIENCE,
                ..Timing::default()
            };
            let mut gate = Gate::new(name, owner, WARM_LIMIT, timing);
            if let Some((ownership, base, adopted)) = division {
                gate.apply_epoch(ownership, *base, *adopted);
            }
            gate
        })
    }
}

impl World {
    /// Handles a message to a node.
    pub(crate) fn on_node(&mut self, node: usize, body: NodeMessage) {
        match body {
            NodeMessage::Tick => self.tick(node),
            NodeMessage::Proceed { request, step } => self.proceed(node, request, step),
            NodeMessage::Page(reading) => self.read(node, *reading),
            NodeMessage::Appended { request, append } => self.appended(node, request, append),
            NodeMessage::Reported {
                server,
                report,
                warm,
                asked,
            } => self.reported(node, server, *report, warm, asked),
            NodeMessage::Connected {
                request,
                attempt,
                boot,
            } => self.connected(node, request, attempt, boot),
            NodeMessage::Refused {
                request,
                attempt,
                begun,
            } => self.refused(node, request, attempt, begun),
            NodeMessage::Frame { request, frame } => self.frame(node, request, &frame),
            NodeMessage::Beat {
                from,
                life,
                wants,
                sent,
            } => self.beat(node, from, life, wants, sent),
            NodeMessage::Echo(echo) => self.echo(node, *echo),
        }
    }

    fn tick(&mut self, node: usize) {
        let ticks = self.nodes[node].ticks;
        self.nodes[node].ticks += 1;
        self.push_node(TICK, node, NodeMessage::Tick);
        self.ask_log(node);
        if ticks.is_multiple_of(POLL_TICKS) {
            self.poll(node);
            self.survey(node);
        }
        if ticks.is_multiple_of(BEAT_TICKS) {
            self.list(node);
            self.send_beats(node);
        }
        if ticks.is_multiple_of(CONTROL_TICKS) {
            self.judge(node);
            self.form(node);
            self.renew_epoch(node);
        }
        self.look_at_jobs(node);
        if self.nodes[node].drain.update(self.now) == Stage::Stopped {
            self.end_node(node, true);
        }
    }

    /// Asks the log for the records that the node lacks.
    fn ask_log(&mut self, node: usize) {
        let now = self.now;
        let held = &mut self.nodes[node];
        if let Some(asked) = held.reading {
            if now.since(asked) < READ_WITHIN {
                return;
            }
            held.freshness.record_failure();
        }
        held.reading = Some(now);
        let body = LogMessage::Read {
            wants: held.follower.next_read(),
            claims: held.claims.position(),
            asked: now,
        };
        if node != 2 || !control::is_link_down(now) {
            self.send_log(node, body);
        }
    }

    /// Sends a message to the log.
    pub(crate) fn send_log(&mut self, node: usize, body: LogMessage) {
        let from = (node, self.nodes[node].life);
        self.send(End::Node(node), End::Log, Message::ToLog { from, body });
    }

    /// Sends a message to a server.
    pub(crate) fn send_server(&mut self, node: usize, server: usize, body: ServerMessage) {
        let from = (node, self.nodes[node].life);
        let message = Message::ToServer { server, from, body };
        self.send(End::Node(node), End::Server(server), message);
    }

    /// Takes the answer of the log.
    fn read(&mut self, node: usize, reading: Reading) {
        let (now, wall) = (self.now, self.wall());
        let Reading {
            asked,
            mut page,
            claims,
            claims_last,
        } = reading;
        // An answer that comes after its time was given up.
        if self.nodes[node].reading != Some(asked) {
            return;
        }
        self.nodes[node].reading = None;
        if !page.entries.is_empty() && !self.hook(Work::Control, Step::Fold, node, None, None) {
            return;
        }
        if self.is_broken(Broken::AnyBase) {
            control::ignore_bases(&self.nodes[node].follower, &mut page);
        }
        let last = Offset(page.tail.0.saturating_sub(1));
        let before = self.nodes[node].state();
        let events = self.nodes[node].follower.offer_page(page);
        self.digest(node, &before, &events);
        let held = &mut self.nodes[node];
        held.freshness.record_read(last, asked, now);
        held.claims.must_reach(claims_last);
        for (offset, record) in claims {
            held.claims.fold(offset, Some(&record), wall);
        }
        self.look_at_claims(node);
    }

    /// Polls all servers.
    fn poll(&mut self, node: usize) {
        let asked = self.now;
        for server in 0..self.servers.len() {
            self.send_server(node, server, ServerMessage::Poll { asked });
        }
    }

    fn reported(
        &mut self,
        node: usize,
        server: usize,
        report: replica::Report,
        warm: bool,
        asked: Moment,
    ) {
        if !self.hook(Work::Control, Step::Report, node, Some(server), None) {
            return;
        }
        let now = self.now;
        let held = &mut self.nodes[node];
        held.watch.record_answer(&report.instance, asked);
        let known = held.bearings.get(&server);
        if known.is_none_or(|b| b.taken < asked) {
            let bearing = Bearing {
                boot: report.boot,
                warm,
                taken: asked,
            };
            held.bearings.insert(server, bearing);
        }
        held.view(server).record_report(report, asked, now);
    }

    /// Judges the silent instances, and counts the votes.
    fn judge(&mut self, node: usize) {
        let now = self.now;
        let names: Vec<_> = self.servers.iter().map(|s| s.name.clone()).collect();
        let held = &mut self.nodes[node];
        held.watch.set_instances(names, now);
        held.votes = match held.watch.evaluate(now) {
            Evaluation::Votes(votes) => votes,
            Evaluation::Isolated => Vec::new(),
        };
        let votes = held.votes.clone();
        held.count(&votes, now);
    }

    /// Works out which servers are offered, and opens their slots.
    fn survey(&mut self, node: usize) {
        let now = self.now;
        let broken = self.plan.broken;
        let state = self.nodes[node].state();
        let mut offers: Vec<(usize, Vec<usize>)> = Vec::new();
        let mut served = BTreeSet::new();
        for (replica, found) in self.servable(node) {
            let members = self.members(&state, &replica);
            offers.extend(members.first().map(|lead| (*lead, members.clone())));
            served.insert((replica, found.generation));
        }
        for fresh in served.difference(&self.nodes[node].served.clone()) {
            let lead = self.members(&state, &fresh.0).first().copied();
            if !self.hook(Work::Control, Step::Serve, node, lead, None) {
                return;
            }
        }
        self.nodes[node].served = served;
        offers.extend((ENGINES..self.servers.len()).map(|server| (server, vec![server])));
        let takes_work = self.nodes[node].status(now, broken).accepts_work();
        for (server, members) in offers {
            let name = self.servers[server].name.clone();
            let held = &mut self.nodes[node];
            let evidence = held.evidence(&members);
            let gate = held.gate(server, name.as_str());
            if let Some(evidence) = evidence {
                gate.observe(evidence);
            }
            if takes_work {
                gate.confirm_log_view(now + VOUCHER_BOUND);
            }
        }
    }

    /// Returns the replicas that the node may use.
    pub(crate) fn servable(&self, node: usize) -> Vec<(Replica, Servable)> {
        let held = &self.nodes[node];
        let state = held.state();
        if self.is_broken(Broken::OtherGeneration) {
            return control::all_assigned(&state);
        }
        servable(&state, &held.engines, self.now)
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
    /// Counts votes in both views.
    pub(crate) fn count(&mut self, votes: &[Vote], now: Moment) {
        let epoch = self.state().epoch.clone();
        for vote in votes {
            self.engines.record_vote(vote, &epoch, now);
            self.services.record_vote(vote, &epoch, now);
        }
    }
}
