//! The simulation of one run: virtual time, messages and processes.

use crate::{
    Invariant,
    backend::{Run, Server},
    node::Node,
    step::{Fault, Injection, Mutation, Step, Work},
    trace::{Finding, Trace},
};
use clock::{Moment, WallTime};
use member::TailReading;
use name::{Attempt, Domain, Incarnation, Instance, Offset};
use once::{AppendResult, Record as ClaimRecord};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replica::{Command, Report, Vote};
use route::answer::Frame;
use state::{Entry, Page, Record, Relay, State};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use uuid::Uuid;

/// The number of entry nodes.
pub(crate) const NODES: usize = 3;

/// The number of model engines; the plain services follow them.
pub(crate) const ENGINES: usize = 6;

/// The number of plain services.
const SERVICES: usize = 3;

/// The virtual time at which a run ends.
const RUN_END: Moment = Moment(14_000_000);

/// The time in ms before which requests arrive, apart from repeats of keys.
const LAST_ARRIVAL_MS: u64 = 11_000;

/// The time between two ticks of a node.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two audits of the nodes' control states.
const AUDIT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of frames in a service's response.
const SERVICE_FRAMES: u32 = 5;

/// The number of frames in a short draft.
const SHORT_FRAMES: u32 = 6;

/// The number of frames in a long draft.
const LONG_FRAMES: u32 = 20;

/// Drafts whose request number is a multiple of this are long.
const LONG_DRAFT_INTERVAL: usize = 7;

/// The faults, seed and mutation of one run.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The faults to inject.
    pub injections: Vec<Injection>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The check or decision that is disabled, if any.
    pub mutation: Option<Mutation>,
}

/// The sender or receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    Node(usize),
    Server(usize),
    Log,
    Caller,
}

/// A message to a node.
#[derive(Debug, Clone)]
pub(crate) enum NodeMessage {
    Tick,
    Proceed {
        request: usize,
        step: Step,
    },
    Page(Box<LogResponse>),
    Appended {
        request: usize,
        append: AppendResult,
    },
    Reported {
        server: usize,
        report: Box<Report>,
        warm: bool,
        asked: Moment,
    },
    Connected {
        request: usize,
        attempt: Attempt,
        boot: Option<Uuid>,
    },
    Refused {
        request: usize,
        attempt: Attempt,
        has_begun: bool,
    },
    Frame {
        request: usize,
        frame: Frame,
    },
    Heartbeat {
        from: usize,
        incarnation: u32,
        next_offset: Option<Offset>,
        sent: Moment,
    },
    HeartbeatReply(Box<HeartbeatReply>),
}

/// A node's reply to a peer's heartbeat.
#[derive(Debug, Clone)]
pub(crate) struct HeartbeatReply {
    pub(crate) from: usize,
    pub(crate) incarnation: u32,
    pub(crate) sent: Moment,
    pub(crate) reads_log: bool,
    pub(crate) folded: Offset,
    pub(crate) tail_reading: Option<TailReading>,
    pub(crate) relay: Option<Relay>,
    pub(crate) votes: Vec<Vote>,
}

/// The log's response to a read of the control and claim streams.
#[derive(Debug, Clone)]
pub(crate) struct LogResponse {
    pub(crate) asked: Moment,
    pub(crate) page: Page,
    pub(crate) claims: Vec<(Offset, ClaimRecord)>,
    pub(crate) claims_last: Offset,
}

/// A message to a backend server.
#[derive(Debug, Clone)]
pub(crate) enum ServerMessage {
    Poll {
        asked: Moment,
    },
    Connect {
        request: usize,
        attempt: Attempt,
    },
    Work(Box<Run>),
    /// The node closed the connection of an attempt.
    Close(Attempt),
    Order(Command),
}

/// A message to the log.
#[derive(Debug, Clone)]
pub(crate) enum LogMessage {
    Read {
        next_offset: Offset,
        claims: Offset,
        asked: Moment,
    },
    Control(Box<Record>),
    Claim {
        request: usize,
        record: ClaimRecord,
    },
}

/// A scheduled action of the operators or of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ScheduledAction {
    Publish(usize),
    TakeOut,
    BringBack,
    LeaveServer(usize),
    StopNode(usize),
}

/// An entry of the event queue.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    ToNode {
        node: usize,
        incarnation: u32,
        body: NodeMessage,
    },
    ToServer {
        server: usize,
        from: (usize, u32),
        body: ServerMessage,
    },
    ToLog {
        from: (usize, u32),
        body: LogMessage,
    },
    Frame {
        server: usize,
        boot: u128,
        attempt: Attempt,
    },
    Arrive(usize),
    ScheduledAction(ScheduledAction),
    Start(Endpoint),
    Audit,
}

/// A fault in the delivery of the servers' responses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeliveryFault {
    pub(crate) fault: Fault,
    pub(crate) until: Moment,
}

/// The platform's log, with a control stream and a claim stream.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) entries: Vec<Entry>,
    /// The number of expired control records.
    pub(crate) expired: usize,
    pub(crate) claims: Vec<ClaimRecord>,
    pub(crate) down_until: Moment,
    pub(crate) slow_until: Moment,
    pub(crate) acks_lost_until: Moment,
    /// The control state after all appended records.
    pub(crate) committed: State,
    /// The revision of the lists in force, by an independent compare-and-set.
    lists: Offset,
    /// The accepted lists and operations, with the moments at which a node first
    /// read them back, since no operator receives a confirmation before that.
    pub(crate) accepted: Vec<(Offset, Option<Moment>)>,
}

/// The processes, the event queue and the trace of one run.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) now: Moment,
    queue: BTreeMap<(Moment, u64), Message>,
    message_number: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) plan: Plan,
    pub(crate) nodes: Vec<Node>,
    pub(crate) servers: Vec<Server>,
    pub(crate) log: Log,
    pub(crate) trace: Trace,
    pub(crate) delivery_fault: Option<DeliveryFault>,
    pub(crate) paused: BTreeMap<Endpoint, Moment>,
    pub(crate) slow: BTreeMap<Endpoint, Moment>,
    pub(crate) partitioned: BTreeMap<Endpoint, Moment>,
    pub(crate) list_frozen_until: Moment,
    pub(crate) stale_orders: Vec<(usize, Command)>,
}

impl Simulation {
    /// Runs a plan, and returns its trace.
    pub fn run(plan: &Plan) -> Trace {
        let mut simulation = Self::new(plan.clone());
        while let Some(((at, _), message)) = simulation.queue.pop_first() {
            if at > RUN_END {
                break;
            }
            simulation.now = at;
            simulation.deliver(message);
        }
        simulation.trace
    }

    fn new(plan: Plan) -> Self {
        let domains: Vec<Domain> = ["a", "b", "c"].into_iter().map(domain).collect();
        let server = |i: usize| match i < ENGINES {
            true => Server::new(i, &domains[i / 2], true),
            false => Server::new(i, &domains[i - ENGINES], false),
        };
        let mut simulation = Self {
            now: Moment::START,
            queue: BTreeMap::new(),
            message_number: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            nodes: (0..NODES).map(|i| Node::new(i, 1, Moment::START)).collect(),
            servers: (0..ENGINES + SERVICES).map(server).collect(),
            log: Log::default(),
            trace: Trace::default(),
            delivery_fault: None,
            paused: BTreeMap::new(),
            slow: BTreeMap::new(),
            partitioned: BTreeMap::new(),
            list_frozen_until: Moment::START,
            stale_orders: Vec::new(),
            plan,
        };
        simulation.seed_log();
        simulation.schedule_workload();
        for node in 0..NODES {
            simulation.push_node(Duration::from_millis(node as u64), node, NodeMessage::Tick);
        }
        simulation.push(AUDIT_INTERVAL, Message::Audit);
        simulation
    }

    /// Schedules the requests and the actions of operators and platform.
    fn schedule_workload(&mut self) {
        let at = |millis: u64| Duration::from_millis(millis);
        for millis in (600..LAST_ARRIVAL_MS).step_by(140) {
            let node = self.rng.random_range(0..NODES);
            self.schedule_request(Work::Draft, node, None, at(millis));
            let node = self.rng.random_range(0..NODES);
            self.schedule_request(Work::Enquiry, node, None, at(millis + 17));
            if millis % 3 == 0 {
                let key = self.schedule_request(Work::Booking, node, None, at(millis + 31));
                let other = (node + 1) % NODES;
                let again = self.rng.random_range(0..2_000);
                self.schedule_request(Work::Booking, other, Some(key), at(millis + 31 + again));
            }
        }
        let actions = [
            (2_000, ScheduledAction::Publish(0)),
            (2_001, ScheduledAction::Publish(1)),
            (2_500, ScheduledAction::TakeOut),
            (9_500, ScheduledAction::BringBack),
            (4_000, ScheduledAction::LeaveServer(ENGINES + 1)),
            (8_500, ScheduledAction::StopNode(1)),
        ];
        for (millis, action) in actions {
            self.push(at(millis), Message::ScheduledAction(action));
        }
    }

    fn schedule_request(
        &mut self,
        work: Work,
        node: usize,
        key: Option<usize>,
        after: Duration,
    ) -> usize {
        let id = self.trace.requests.len();
        self.trace.requests.push(crate::trace::Request {
            work,
            node,
            key: key.unwrap_or(id),
            outcome: None,
            text: String::new(),
            executions: 0,
        });
        self.push(after, Message::Arrive(id));
        id
    }

    /// Returns whether the run has a mutation.
    pub(crate) fn has_mutation(&self, mutation: Mutation) -> bool {
        self.plan.mutation == Some(mutation)
    }

    /// Returns the wall-clock time.
    pub(crate) fn wall(&self) -> WallTime {
        WallTime(1_000_000_000 + self.now.0 / 1_000)
    }

    /// Records a violation of an invariant.
    pub(crate) fn record_finding(&mut self, invariant: Invariant, text: String) {
        let at = self.now;
        self.trace.findings.push(Finding {
            invariant,
            at,
            text,
        });
    }

    /// Queues a message for delivery after a delay.
    pub(crate) fn push(&mut self, after: Duration, message: Message) {
        self.message_number += 1;
        self.queue
            .insert((self.now + after, self.message_number), message);
    }

    /// Queues a message of a node to itself.
    pub(crate) fn push_node(&mut self, after: Duration, node: usize, body: NodeMessage) {
        let incarnation = self.nodes[node].incarnation;
        self.push(
            after,
            Message::ToNode {
                node,
                incarnation,
                body,
            },
        );
    }

    /// Sends a message over the network.
    pub(crate) fn send(&mut self, from: Endpoint, to: Endpoint, message: Message) {
        if self.is_partitioned(from, to) {
            return;
        }
        let mut delay = Duration::from_micros(self.rng.random_range(500..6_000));
        for endpoint in [from, to] {
            if self
                .slow
                .get(&endpoint)
                .is_some_and(|until| self.now < *until)
            {
                delay += Duration::from_millis(700);
            }
        }
        let is_log = from == Endpoint::Log || to == Endpoint::Log;
        if is_log && self.now < self.log.slow_until {
            delay += Duration::from_millis(1_200);
        }
        self.apply_delivery_fault(message, delay, from);
    }

    /// Returns whether a partition separates two processes.
    ///
    /// A partitioned node still reaches the servers, which is the worst case.
    fn is_partitioned(&self, from: Endpoint, to: Endpoint) -> bool {
        let is_isolated = |endpoint: Endpoint| {
            self.partitioned
                .get(&endpoint)
                .is_some_and(|until| self.now < *until)
        };
        let is_server = |endpoint: Endpoint| matches!(endpoint, Endpoint::Server(_));
        match (from, to) {
            (Endpoint::Node(_), other) | (other, Endpoint::Node(_)) if is_server(other) => {
                is_isolated(other)
            }
            _ => is_isolated(from) || is_isolated(to),
        }
    }

    /// Queues a message; responses may be late, repeated or misrouted by a fault.
    fn apply_delivery_fault(&mut self, message: Message, delay: Duration, from: Endpoint) {
        let Some(DeliveryFault { fault, until }) = self.delivery_fault else {
            return self.push(delay, message);
        };
        let is_answer = matches!(
            &message,
            Message::ToNode {
                body: NodeMessage::Frame { .. } | NodeMessage::Connected { .. },
                ..
            }
        );
        if self.now >= until || !is_answer || !matches!(from, Endpoint::Server(_)) {
            return self.push(delay, message);
        }
        match fault {
            Fault::Late => self.push(delay + Duration::from_secs(5), message),
            Fault::Repeated => {
                self.push(delay, message.clone());
                self.push(delay * 3, message);
            }
            _ => {
                let misrouted = self.misroute(message);
                self.push(delay, misrouted);
            }
        }
    }

    /// Moves a frame to the connection of another request of the same node.
    fn misroute(&self, mut message: Message) -> Message {
        if let Message::ToNode {
            node,
            body: NodeMessage::Frame { request, .. },
            ..
        } = &mut message
            && let Some(other) = self.nodes[*node].other_request(*request)
        {
            *request = other;
        }
        message
    }

    /// Returns the process that handles a message.
    fn handler(message: &Message) -> Endpoint {
        match message {
            Message::ToNode { node, .. } => Endpoint::Node(*node),
            Message::ToServer { server, .. } | Message::Frame { server, .. } => {
                Endpoint::Server(*server)
            }
            Message::ToLog { .. } => Endpoint::Log,
            _ => Endpoint::Caller,
        }
    }

    fn deliver(&mut self, message: Message) {
        let paused = self.paused.get(&Self::handler(&message)).copied();
        if let Some(until) = paused.filter(|until| self.now < *until) {
            return self.push(self.now.until(until), message);
        }
        match message {
            Message::ToNode {
                node,
                incarnation,
                body,
            } => {
                if self.nodes[node].is_up && self.nodes[node].incarnation == incarnation {
                    self.on_node(node, body);
                }
            }
            Message::ToServer { server, from, body } => self.on_server(server, from, body),
            Message::ToLog { from, body } => self.on_log(from, body),
            Message::Frame {
                server,
                boot,
                attempt,
            } => self.advance_run(server, boot, attempt),
            Message::Arrive(request) => self.arrive(request),
            Message::ScheduledAction(action) => self.run_action(action),
            Message::Start(endpoint) => self.start(endpoint),
            Message::Audit => {
                self.audit();
                self.push(AUDIT_INTERVAL, Message::Audit);
            }
        }
    }

    fn on_server(&mut self, server: usize, from: (usize, u32), body: ServerMessage) {
        let now = self.now;
        let (node, incarnation) = from;
        let backend = &self.servers[server];
        let reply = |body| Message::ToNode {
            node,
            incarnation,
            body,
        };
        let answer = match body {
            ServerMessage::Connect { request, attempt } => NodeMessage::Connected {
                request,
                attempt,
                boot: backend.is_up.then(|| backend.boot_id()),
            },
            _ if !backend.is_up => return,
            ServerMessage::Poll { asked } => NodeMessage::Reported {
                server,
                report: Box::new(backend.report(now)),
                warm: backend.is_warm(now),
                asked,
            },
            ServerMessage::Close(attempt) => return self.close_run(server, attempt),
            ServerMessage::Work(run) => return self.begin_run(server, *run),
            ServerMessage::Order(command) => return self.take_order(server, &command),
        };
        self.send(
            Endpoint::Server(server),
            Endpoint::Node(node),
            reply(answer),
        );
    }

    fn on_log(&mut self, (node, incarnation): (usize, u32), body: LogMessage) {
        let is_down = self.now < self.log.down_until;
        let body = match body {
            LogMessage::Read { .. } if is_down => return,
            LogMessage::Read {
                next_offset,
                claims,
                asked,
            } => NodeMessage::Page(Box::new(self.log.read(next_offset, claims, asked))),
            LogMessage::Control(record) => {
                if !is_down {
                    self.append(*record);
                }
                return;
            }
            LogMessage::Claim { request, record } => {
                let append = match is_down {
                    true => AppendResult::Refused,
                    false if self.now < self.log.acks_lost_until => AppendResult::Unknown,
                    false => AppendResult::Acknowledged,
                };
                if !is_down {
                    self.log.claims.push(record);
                }
                NodeMessage::Appended { request, append }
            }
        };
        self.send(
            Endpoint::Log,
            Endpoint::Node(node),
            Message::ToNode {
                node,
                incarnation,
                body,
            },
        );
    }

    /// Appends a record of the control stream.
    pub(crate) fn append(&mut self, record: Record) {
        let offset = Offset(self.log.entries.len() as u64 + 1);
        let Ok(data) = state::encode(&record) else {
            return;
        };
        let at = self.wall();
        self.log.entries.push(Entry { offset, at, data });
        let outcome = self.log.committed.apply(offset, &record);
        if let state::Change::Lists { base, .. } = &record.change
            && *base == self.log.lists
        {
            self.log.lists = offset;
        }
        if self.log.committed.lists_revision != self.log.lists {
            let text = format!("lists {offset} replaced lists other than their base");
            self.record_finding(Invariant::Configuration, text);
        }
        let is_configuration = matches!(
            record.change,
            state::Change::Lists { .. } | state::Change::Operation { .. }
        );
        if is_configuration && outcome == state::Outcome::Accepted {
            self.log.accepted.push((offset, None));
        }
    }
}

impl Log {
    /// Returns the records from the requested offsets on.
    fn read(&self, next_offset: Offset, claims: Offset, asked: Moment) -> LogResponse {
        let count = |offset: Offset| usize::try_from(offset.0).unwrap_or(usize::MAX);
        let from = (count(next_offset).max(1) - 1).max(self.expired);
        let entries = self.entries.get(from..).unwrap_or_default().to_vec();
        let page = Page {
            first: Offset(self.expired as u64 + 1),
            tail: Offset(self.entries.len() as u64 + 1),
            entries,
        };
        let from = count(claims);
        let later = self.claims.get(from..).unwrap_or_default();
        LogResponse {
            asked,
            page,
            claims: (claims.0 + 1..)
                .map(Offset)
                .zip(later.iter().cloned())
                .collect(),
            claims_last: Offset(self.claims.len() as u64),
        }
    }
}

/// Returns the number of frames in a response.
pub(crate) fn frame_count(work: Work, request: usize) -> u32 {
    match work {
        Work::Draft if request.is_multiple_of(LONG_DRAFT_INTERVAL) => LONG_FRAMES,
        Work::Draft => SHORT_FRAMES,
        _ => SERVICE_FRAMES,
    }
}

/// Returns the expected text of one response frame.
pub(crate) fn expected_frame(request: usize, index: u32) -> String {
    format!("{request}.{index};")
}

/// Returns the expected text of a complete response.
pub(crate) fn expected_answer(request: usize, length: u32) -> String {
    (0..length).map(|i| expected_frame(request, i)).collect()
}

/// Returns the name of a server's instance.
pub(crate) fn instance(index: usize) -> Instance {
    let name = if index < ENGINES { "engine" } else { "service" };
    Instance::try_from(format!("{name}-{index}")).expect("a valid name")
}

/// Returns a failure domain.
pub(crate) fn domain(name: &str) -> Domain {
    name.try_into().expect("a valid name")
}

/// Returns the identifier of a node's incarnation.
pub(crate) fn incarnation_id(node: usize, incarnation: u32) -> Incarnation {
    Incarnation(Uuid::from_u128(
        (node as u128) << 32 | u128::from(incarnation),
    ))
}

/// The hash of the caller's API key.
const API_KEY_HASH: &str = "f1a3c9a6ddb2b3d286e13d5ddf3f75bf9533100a2b26015311a9537e1ee9361f";

/// Returns an edition of the configuration lists; a run starts with edition 0.
pub(crate) fn lists(edition: u32) -> Arc<str> {
    format!(
        "[[account]]\nname = \"caller\"\nplan = \"p{edition}\"\nkeys = [\"{API_KEY_HASH}\"]\n\n\
         [[plan]]\nname = \"p{edition}\"\nweight = 1\ntokens_per_s = 100000\n\
         requests_per_s = 1000\nconcurrency = 1000\nclasses = [\"batch\"]\nmodels = [\"chat\"]\n\n\
         [[model]]\nname = \"chat\"\nversion = \"1\"\nmembers = 2\n"
    )
    .into()
}
