//! Virtual time, messages and the processes of one run.

use crate::{
    Promise,
    backend::{Run, Server},
    node::Node,
    step::{Broken, Fault, Step, Strike, Work},
    trace::{Note, Trace},
};
use clock::{Moment, Wall};
use member::TailReading;
use name::{Attempt, Domain, Incarnation, Instance, Offset};
use once::{Append, Record as ClaimRecord};
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

/// The virtual time of one run.
const LENGTH: Moment = Moment(14_000_000);

/// When the last request arrives.
const LAST_ARRIVAL: u64 = 11_000;

/// The time between two ticks of a node.
pub(crate) const TICK: Duration = Duration::from_millis(100);

/// The time between two audits.
const AUDIT_EACH: Duration = Duration::from_millis(500);

/// The frames of a service's answer.
const SERVICE_FRAMES: u32 = 5;

/// The frames of a short draft.
const SHORT_FRAMES: u32 = 6;

/// The frames of a long draft.
const LONG_FRAMES: u32 = 20;

/// One in so many requests that are drafts is a long one.
const LONG_EACH: usize = 7;

/// What strikes in one run, and which decision is left out.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The faults.
    pub strikes: Vec<Strike>,
    /// The seed of all random choices.
    pub seed: u64,
    /// The decision that is left out.
    pub broken: Option<Broken>,
}

/// A process, as an end of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    Node(usize),
    Server(usize),
    Log,
    Caller,
}

/// What a node is told.
#[derive(Debug, Clone)]
pub(crate) enum NodeMessage {
    Tick,
    Proceed {
        request: usize,
        step: Step,
    },
    Page(Box<Reading>),
    Appended {
        request: usize,
        append: Append,
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
        begun: bool,
    },
    Frame {
        request: usize,
        frame: Frame,
    },
    Beat {
        from: usize,
        life: u32,
        wants: Option<Offset>,
        sent: Moment,
    },
    Echo(Box<Echo>),
}

/// What a node answers to a peer's beat.
#[derive(Debug, Clone)]
pub(crate) struct Echo {
    pub(crate) from: usize,
    pub(crate) life: u32,
    pub(crate) sent: Moment,
    pub(crate) reads_log: bool,
    pub(crate) folded: Offset,
    pub(crate) voucher: Option<TailReading>,
    pub(crate) relay: Option<Relay>,
    pub(crate) votes: Vec<Vote>,
}

/// What the log answers to a reader.
#[derive(Debug, Clone)]
pub(crate) struct Reading {
    pub(crate) asked: Moment,
    pub(crate) page: Page,
    pub(crate) claims: Vec<(Offset, ClaimRecord)>,
    pub(crate) claims_last: Offset,
}

/// What a server is told.
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

/// What the log is told.
#[derive(Debug, Clone)]
pub(crate) enum LogMessage {
    Read {
        wants: Offset,
        claims: Offset,
        asked: Moment,
    },
    Control(Box<Record>),
    Claim {
        request: usize,
        record: ClaimRecord,
    },
}

/// An action of the operators or of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Script {
    Publish(usize),
    TakeOut,
    BringBack,
    LeaveServer(usize),
    StopNode(usize),
}

/// What is due at a moment.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    ToNode {
        node: usize,
        life: u32,
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
    Script(Script),
    Start(End),
    Audit,
}

/// How the answers of servers are disturbed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Disturbance {
    pub(crate) fault: Fault,
    pub(crate) until: Moment,
}

/// The platform's log.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) entries: Vec<Entry>,
    /// The number of records that expired.
    pub(crate) expired: usize,
    pub(crate) claims: Vec<ClaimRecord>,
    pub(crate) down_until: Moment,
    pub(crate) slow_until: Moment,
    pub(crate) mute_until: Moment,
    /// What all records lead to.
    pub(crate) truth: State,
    /// The lists in force, by a compare-and-set of its own.
    lists: Offset,
    /// The accepted lists and operations, with the moments at which a node first
    /// read them back, since no operator is told of them before.
    pub(crate) accepted: Vec<(Offset, Option<Moment>)>,
}

/// All processes of one run.
#[derive(Debug)]
pub struct World {
    pub(crate) now: Moment,
    queue: BTreeMap<(Moment, u64), Message>,
    serial: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) plan: Plan,
    pub(crate) nodes: Vec<Node>,
    pub(crate) servers: Vec<Server>,
    pub(crate) log: Log,
    pub(crate) trace: Trace,
    pub(crate) disturbance: Option<Disturbance>,
    pub(crate) paused: BTreeMap<End, Moment>,
    pub(crate) slow: BTreeMap<End, Moment>,
    pub(crate) cut_off: BTreeMap<End, Moment>,
    pub(crate) list_frozen_until: Moment,
    pub(crate) stale_orders: Vec<(usize, Command)>,
}

impl World {
    /// Runs a plan, and returns what was seen.
    pub fn run(plan: &Plan) -> Trace {
        let mut world = Self::new(plan.clone());
        while let Some(((at, _), message)) = world.queue.pop_first() {
            if at > LENGTH {
                break;
            }
            world.now = at;
            world.deliver(message);
        }
        world.trace
    }

    fn new(plan: Plan) -> Self {
        let domains: Vec<Domain> = ["a", "b", "c"].into_iter().map(domain).collect();
        let server = |i: usize| match i < ENGINES {
            true => Server::new(i, &domains[i / 2], true),
            false => Server::new(i, &domains[i - ENGINES], false),
        };
        let mut world = Self {
            now: Moment::START,
            queue: BTreeMap::new(),
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            nodes: (0..NODES).map(|i| Node::new(i, 1, Moment::START)).collect(),
            servers: (0..ENGINES + SERVICES).map(server).collect(),
            log: Log::default(),
            trace: Trace::default(),
            disturbance: None,
            paused: BTreeMap::new(),
            slow: BTreeMap::new(),
            cut_off: BTreeMap::new(),
            list_frozen_until: Moment::START,
            stale_orders: Vec::new(),
            plan,
        };
        world.found();
        world.load();
        for node in 0..NODES {
            world.push_node(Duration::from_millis(node as u64), node, NodeMessage::Tick);
        }
        world.push(AUDIT_EACH, Message::Audit);
        world
    }

    /// Plans the arrivals of requests and the operators' actions.
    fn load(&mut self) {
        let at = |millis: u64| Duration::from_millis(millis);
        for millis in (600..LAST_ARRIVAL).step_by(140) {
            let node = self.rng.random_range(0..NODES);
            self.request(Work::Draft, node, None, at(millis));
            let node = self.rng.random_range(0..NODES);
            self.request(Work::Enquiry, node, None, at(millis + 17));
            if millis % 3 == 0 {
                let key = self.request(Work::Booking, node, None, at(millis + 31));
                let other = (node + 1) % NODES;
                let again = self.rng.random_range(0..2_000);
                self.request(Work::Booking, other, Some(key), at(millis + 31 + again));
            }
        }
        let script = [
            (2_000, Script::Publish(0)),
            (2_001, Script::Publish(1)),
            (2_500, Script::TakeOut),
            (9_500, Script::BringBack),
            (4_000, Script::LeaveServer(ENGINES + 1)),
            (8_500, Script::StopNode(1)),
        ];
        for (millis, script) in script {
            self.push(at(millis), Message::Script(script));
        }
    }

    fn request(&mut self, work: Work, node: usize, key: Option<usize>, after: Duration) -> usize {
        let id = self.trace.requests.len();
        self.trace.requests.push(crate::trace::Request {
            work,
            node,
            key: key.unwrap_or(id),
            told: None,
            text: String::new(),
            begun: 0,
        });
        self.push(after, Message::Arrive(id));
        id
    }

    /// Returns whether a decision is left out.
    pub(crate) fn is_broken(&self, broken: Broken) -> bool {
        self.plan.broken == Some(broken)
    }

    /// Returns the wall-clock time.
    pub(crate) fn wall(&self) -> Wall {
        Wall(1_000_000_000 + self.now.0 / 1_000)
    }

    /// Notes a broken promise.
    pub(crate) fn note(&mut self, promise: Promise, text: String) {
        let at = self.now;
        self.trace.notes.push(Note { promise, at, text });
    }

    /// Queues a message.
    pub(crate) fn push(&mut self, after: Duration, message: Message) {
        self.serial += 1;
        self.queue.insert((self.now + after, self.serial), message);
    }

    /// Queues a message of a node to itself.
    pub(crate) fn push_node(&mut self, after: Duration, node: usize, body: NodeMessage) {
        let life = self.nodes[node].life;
        self.push(after, Message::ToNode { node, life, body });
    }

    /// Sends a message over the network.
    pub(crate) fn send(&mut self, from: End, to: End, message: Message) {
        if self.is_cut(from, to) {
            return;
        }
        let mut delay = Duration::from_micros(self.rng.random_range(500..6_000));
        for end in [from, to] {
            if self.slow.get(&end).is_some_and(|until| self.now < *until) {
                delay += Duration::from_millis(700);
            }
        }
        let is_log = from == End::Log || to == End::Log;
        if is_log && self.now < self.log.slow_until {
            delay += Duration::from_millis(1_200);
        }
        self.disturb(message, delay, from);
    }

    /// Returns whether a partition separates two processes.
    ///
    /// A node that is cut off still reaches the servers, which is the worst case.
    fn is_cut(&self, from: End, to: End) -> bool {
        let off = |end: End| {
            self.cut_off
                .get(&end)
                .is_some_and(|until| self.now < *until)
        };
        let is_server = |end: End| matches!(end, End::Server(_));
        match (from, to) {
            (End::Node(_), other) | (other, End::Node(_)) if is_server(other) => off(other),
            _ => off(from) || off(to),
        }
    }

    /// Queues an answer late, twice or on another connection.
    fn disturb(&mut self, message: Message, delay: Duration, from: End) {
        let Some(Disturbance { fault, until }) = self.disturbance else {
            return self.push(delay, message);
        };
        let is_answer = matches!(
            &message,
            Message::ToNode {
                body: NodeMessage::Frame { .. } | NodeMessage::Connected { .. },
                ..
            }
        );
        if self.now >= until || !is_answer || !matches!(from, End::Server(_)) {
            return self.push(delay, message);
        }
        match fault {
            Fault::Late => self.push(delay + Duration::from_secs(5), message),
            Fault::Repeated => {
                self.push(delay, message.clone());
                self.push(delay * 3, message);
            }
            _ => {
                let crossed = self.cross(message);
                self.push(delay, crossed);
            }
        }
    }

    /// Puts a frame on the connection of another request of the same node.
    fn cross(&self, mut message: Message) -> Message {
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
    fn handler(message: &Message) -> End {
        match message {
            Message::ToNode { node, .. } => End::Node(*node),
            Message::ToServer { server, .. } | Message::Frame { server, .. } => {
                End::Server(*server)
            }
            Message::ToLog { .. } => End::Log,
            _ => End::Caller,
        }
    }

    fn deliver(&mut self, message: Message) {
        let paused = self.paused.get(&Self::handler(&message)).copied();
        if let Some(until) = paused.filter(|until| self.now < *until) {
            return self.push(self.now.until(until), message);
        }
        match message {
            Message::ToNode { node, life, body } => {
                if self.nodes[node].is_up && self.nodes[node].life == life {
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
            Message::Script(script) => self.act(script),
            Message::Start(end) => self.start(end),
            Message::Audit => {
                self.audit();
                self.push(AUDIT_EACH, Message::Audit);
            }
        }
    }

    fn on_server(&mut self, server: usize, from: (usize, u32), body: ServerMessage) {
        let now = self.now;
        let (node, life) = from;
        let held = &self.servers[server];
        let reply = |body| Message::ToNode { node, life, body };
        let answer = match body {
            ServerMessage::Connect { request, attempt } => NodeMessage::Connected {
                request,
                attempt,
                boot: held.is_up.then(|| held.life()),
            },
            _ if !held.is_up => return,
            ServerMessage::Poll { asked } => NodeMessage::Reported {
                server,
                report: Box::new(held.report(now)),
                warm: held.is_warm(now),
                asked,
            },
            ServerMessage::Close(attempt) => return self.close_run(server, attempt),
            ServerMessage::Work(run) => return self.begin_run(server, *run),
            ServerMessage::Order(command) => return self.take_order(server, &command),
        };
        self.send(End::Server(server), End::Node(node), reply(answer));
    }

    fn on_log(&mut self, (node, life): (usize, u32), body: LogMessage) {
        let is_down = self.now < self.log.down_until;
        let body = match body {
            LogMessage::Read { .. } if is_down => return,
            LogMessage::Read {
                wants,
                claims,
                asked,
            } => NodeMessage::Page(Box::new(self.log.read(wants, claims, asked))),
            LogMessage::Control(record) => {
                if !is_down {
                    self.append(*record);
                }
                return;
            }
            LogMessage::Claim { request, record } => {
                let append = match is_down {
                    true => Append::Refused,
                    false if self.now < self.log.mute_until => Append::Unknown,
                    false => Append::Acknowledged,
                };
                if !is_down {
                    self.log.claims.push(record);
                }
                NodeMessage::Appended { request, append }
            }
        };
        self.send(
            End::Log,
            End::Node(node),
            Message::ToNode { node, life, body },
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
        let outcome = self.log.truth.apply(offset, &record);
        if let state::Change::Lists { base, .. } = &record.change
            && *base == self.log.lists
        {
            self.log.lists = offset;
        }
        if self.log.truth.lists_revision != self.log.lists {
            let text = format!("lists {offset} took the place of others than their base");
            self.note(Promise::Configuration, text);
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
    /// Answers a reader.
    fn read(&self, wants: Offset, claims: Offset, asked: Moment) -> Reading {
        let count = |offset: Offset| usize::try_from(offset.0).unwrap_or(usize::MAX);
        let from = (count(wants).max(1) - 1).max(self.expired);
        let entries = self.entries.get(from..).unwrap_or_default().to_vec();
        let page = Page {
            first: Offset(self.expired as u64 + 1),
            tail: Offset(self.entries.len() as u64 + 1),
            entries,
        };
        let from = count(claims);
        let later = self.claims.get(from..).unwrap_or_default();
        Reading {
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

/// Returns the number of frames of an answer.
pub(crate) fn length(work: Work, request: usize) -> u32 {
    match work {
        Work::Draft if request.is_multiple_of(LONG_EACH) => LONG_FRAMES,
        Work::Draft => SHORT_FRAMES,
        _ => SERVICE_FRAMES,
    }
}

/// Returns a part of the answer to a request.
pub(crate) fn expected_part(request: usize, index: u32) -> String {
    format!("{request}.{index};")
}

/// Returns the whole answer to a request.
pub(crate) fn expected(request: usize, length: u32) -> String {
    (0..length).map(|i| expected_part(request, i)).collect()
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

/// Returns the life of a node.
pub(crate) fn incarnation(node: usize, life: u32) -> Incarnation {
    Incarnation(Uuid::from_u128((node as u128) << 32 | u128::from(life)))
}

/// The hash of the caller's API key.
const KEY: &str = "f1a3c9a6ddb2b3d286e13d5ddf3f75bf9533100a2b26015311a9537e1ee9361f";

/// Returns the lists that the run starts with, or a later edition of them.
pub(crate) fn lists(edition: u32) -> Arc<str> {
    format!(
        "[[account]]\nname = \"caller\"\nplan = \"p{edition}\"\nkeys = [\"{KEY}\"]\n\n\
         [[plan]]\nname = \"p{edition}\"\nweight = 1\ntokens_per_s = 100000\n\
         requests_per_s = 1000\nconcurrency = 1000\nclasses = [\"batch\"]\nmodels = [\"chat\"]\n\n\
         [[model]]\nname = \"chat\"\nversion = \"1\"\nmembers = 2\n"
    )
    .into()
}
