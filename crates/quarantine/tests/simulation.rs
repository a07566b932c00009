//! Many nodes that exchange evidence over a network that delays and loses datagrams.

use clock::Moment;
use name::{Instance, Service};
use quarantine::{Part, Record, Server, Table};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};

/// The time within which all nodes act on what one of them has seen.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The most crashing requests that may reach servers after [`CONTACT_TIME`] from the end
/// number [`Cause::last_end`].
const MAX_LATE: usize = 3;

/// What ends servers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cause {
    /// A part that many requests share.
    Part,
    /// One request that callers send again and again.
    Request,
}

impl Cause {
    /// Returns the end after which the cause is withheld.
    fn last_end(self) -> usize {
        match self {
            Self::Part => 5,
            Self::Request => 3,
        }
    }
}

const STEP: Duration = Duration::from_millis(10);

/// When an answer begins, after its request was sent.
const BEGIN: Duration = Duration::from_millis(250);

/// When the crashing part ends its server, after its request was sent.
const CRASH: Duration = Duration::from_millis(350);

/// When an answer counts as past its beginning, after its request was sent.
const PAST_BEGINNING: Duration = Duration::from_millis(600);

/// The number of servers that run at the same time.
const SERVERS: usize = 8;

/// The number of first parts that requests share.
const FIRST_PARTS: usize = 60;

struct Scenario {
    cause: Cause,
    nodes: usize,
    /// Requests that end servers, per second.
    crashing_per_s: f64,
    /// Other requests, per second.
    sound_per_s: f64,
    /// The fraction of datagrams that are lost.
    loss: f64,
    /// Whether a third of the nodes restart, when this many seconds have passed.
    restart_at_s: Option<u64>,
}

struct Request {
    node: usize,
    parts: Vec<Part>,
    server: usize,
    sent_at: Moment,
    is_crashing: bool,
    is_past_beginning: bool,
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Moment,
    tables: Vec<Table>,
    /// The incarnation of each server.
    servers: Vec<u64>,
    requests: Vec<Request>,
    /// Datagrams on their way, by arrival: where they arrive, and what they carry.
    network: BTreeMap<Moment, Vec<(usize, Record)>>,
    /// Crash to be sent: when, by which node, and on which part.
    due: Vec<(Moment, usize, Part)>,
    ends: Vec<Moment>,
    /// When crashing requests were sent.
    sent: Vec<Moment>,
    /// The number of requests made so far.
    made: u64,
    /// When other requests came, and whether they were sent.
    sound: Vec<(Moment, bool)>,
}

fn part(id: &str) -> Part {
    let service: Service = "llm".parse().expect("a name");
    Part::prompt(&service, id)
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let nodes = scenario.nodes;
        Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Moment::START,
            tables: vec![Table::default(); nodes],
            servers: (0..SERVERS as u64).collect(),
            requests: Vec::new(),
            network: BTreeMap::new(),
            due: Vec::new(),
            ends: Vec::new(),
            sent: Vec::new(),
            made: 0,
            sound: Vec::new(),
        }
    }

    fn run(&mut self, seconds: u64) {
        let steps = seconds * 1_000 / STEP.as_millis() as u64;
        for step in 0..steps {
            self.now = self.now + STEP;
            let is_second = step % 100 == 0;
            if is_second && Some(step / 100) == self.scenario.restart_at_s {
                self.restart_nodes();
            }
            if is_second {
                self.exchange();
            }
            self.deliver();
            self.send_requests();
            self.run_requests();
            self.send_due();
        }
    }

    /// Restarts a third of the nodes, which some others then send their evidence.
    fn restart_nodes(&mut self) {
        for node in (0..self.scenario.nodes).step_by(3) {
            self.tables[node] = Table::default();
            for _ in 0..8.min(self.scenario.nodes - 1) {
                let from = self.rng.random_range(0..self.scenario.nodes);
                self.send_all(from, node);
            }
        }
    }

    /// Sends all evidence of each node to two others.
    fn exchange(&mut self) {
        for from in 0..self.scenario.nodes {
            for _ in 0..2 {
                let to = self.rng.random_range(0..self.scenario.nodes);
                self.send_all(from, to);
            }
        }
    }

    fn send_all(&mut self, from: usize, to: usize) {
        for part in self.tables[from].parts().into_iter().take(64) {
            if let Some(record) = self.tables[from].record(part, self.now) {
                self.send(to, record);
            }
        }
    }

    fn send(&mut self, to: usize, record: Record) {
        if !self.rng.random_bool(self.scenario.loss) {
            let delay = Duration::from_millis(self.rng.random_range(1..30));
            let arriving = self.network.entry(self.now + delay).or_default();
            arriving.push((to, record));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let waiting = self.network.split_off(&(now + Duration::from_micros(1)));
        let arrived = std::mem::replace(&mut self.network, waiting);
        for (node, record) in arrived.into_values().flatten() {
            let table = &mut self.tables[node];
            let is_changed = table.merge(&record, now);
            if table.is_covered_by(&record, now) {
                self.due
                    .retain(|(_, by, part)| *by != node || *part != record.part);
            }
            if is_changed {
                table.assess(now, &mut self.rng);
            }
        }
    }

    fn send_due(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.due)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.due = later;
        let due: Vec<(Moment, usize, Part)> = due;
        for (_, node, part) in due {
            if let Some(record) = self.tables[node].record(part, now) {
                for to in 0..self.scenario.nodes {
                    self.send(to, record.clone());
                }
            }
        }
    }

    fn send_requests(&mut self) {
        let crashing = self.scenario.crashing_per_s * STEP.as_secs_f64();
        let sound = self.scenario.sound_per_s * STEP.as_secs_f64();
        for (rate, is_crashing) in [(crashing, true), (sound, false)] {
            for _ in 0..rate.floor() as usize + usize::from(self.rng.random_bool(rate.fract())) {
                self.send_request(is_crashing);
            }
        }
    }

    fn send_request(&mut self, is_crashing: bool) {
        let node = self.rng.random_range(0..self.scenario.nodes);
        let first = part(&format!("first{}", self.rng.random_range(0..FIRST_PARTS)));
        let is_part = self.scenario.cause == Cause::Part;
        let second = if is_crashing && is_part {
            part("crashing")
        } else {
            part(&format!("second{}", self.rng.random_range(0..FIRST_PARTS)))
        };
        self.made += 1;
        let whole = if is_crashing && !is_part {
            Part::request(&[b"crashing"])
        } else {
            Part::request(&[&self.made.to_be_bytes()])
        };
        let parts = vec![whole, first, second];
        let server = if self.tables[node].is_suspected(whole) {
            whole.digest() as usize % SERVERS
        } else {
            self.rng.random_range(0..SERVERS)
        };
        let is_sent = self.tables[node]
            .admit(&parts, self.scenario.nodes, self.now)
            .is_ok();
        if is_crashing && is_sent {
            self.sent.push(self.now);
        } else if !is_crashing {
            self.sound.push((self.now, is_sent));
        }
        if is_sent {
            self.requests.push(Request {
                node,
                parts,
                server,
                sent_at: self.now,
                is_crashing,
                is_past_beginning: false,
            });
        }
    }

    fn run_requests(&mut self) {
        let now = self.now;
        let age = |request: &Request| now.since(request.sent_at);
        let crashed: Vec<usize> = self
            .requests
            .iter()
            .filter(|r| r.is_crashing && age(r) >= CRASH)
            .map(|r| r.server)
            .collect();
        for server in crashed {
            self.end_server(server);
        }
        let mut past: Vec<(usize, Vec<Part>)> = Vec::new();
        for request in &mut self.requests {
            if now.since(request.sent_at) >= PAST_BEGINNING && !request.is_past_beginning {
                request.is_past_beginning = true;
                past.push((request.node, request.parts.clone()));
            }
        }
        for (node, parts) in past {
            let cleared = self.tables[node].record_success(&parts, now);
            if !cleared.is_empty() {
                self.tables[node].assess(now, &mut self.rng);
            }
            for part in cleared {
                let max_ms = 2 * self.scenario.nodes as u64;
                let delay = Duration::from_millis(self.rng.random_range(0..max_ms));
                self.due.push((now + delay, node, part));
            }
        }
        self.requests
            .retain(|r| now.since(r.sent_at) < Duration::from_secs(1));
    }

    /// Ends a server with all its requests; another one takes its place.
    fn end_server(&mut self, server: usize) {
        let now = self.now;
        let instance: Instance = "i".parse().expect("a name");
        let digest = Server::new(&instance, self.servers[server]);
        let (ended, others): (Vec<Request>, Vec<Request>) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|r| r.server == server);
        self.requests = others;
        if ended.is_empty() {
            return;
        }
        self.ends.push(now);
        self.servers[server] += SERVERS as u64;
        for request in ended {
            let age = now.since(request.sent_at);
            if age < BEGIN || age >= PAST_BEGINNING {
                continue;
            }
            let table = &mut self.tables[request.node];
            for part in table.record_crash(&request.parts, digest, age, now) {
                self.due.push((now, request.node, part));
            }
            table.assess(now, &mut self.rng);
        }
    }

    /// Returns the number of crashing requests that were sent later than
    /// all nodes should have acted.
    fn late(&self) -> usize {
        let Some(last) = self.ends.get(self.scenario.cause.last_end() - 1) else {
            return 0;
        };
        let late = self.sent.iter().filter(|at| **at > *last + CONTACT_TIME);
        late.count()
    }

    /// Returns the fraction of other requests that were sent at their first attempt
    /// later than twice the contact time after the fifth end, or the last of fewer.
    fn sound_fraction(&self) -> f64 {
        let Some(end) = self.ends.iter().take(5).next_back() else {
            return 1.0;
        };
        let after = *end + CONTACT_TIME * 2;
        let late: Vec<bool> = self
            .sound
            .iter()
            .filter(|(at, _)| *at > after)
            .map(|(_, is_sent)| *is_sent)
            .collect();
        if late.is_empty() {
            return 1.0;
        }
        late.iter().filter(|is_sent| **is_sent).count() as f64 / late.len() as f64
    }
}

#[test]
fn what_crashes_servers_is_withheld_and_its_neighbors_are_not() {
    struct Case {
        cause: Cause,
        nodes: usize,
        crashing_per_s: f64,
        sound_per_s: f64,
        loss: f64,
        restart_at_s: Option<u64>,
        seeds: u64,
    }
    let case = |cause, nodes, crashing_per_s, sound_per_s, loss, restart_at_s, seeds| Case {
        cause,
        nodes,
        crashing_per_s,
        sound_per_s,
        loss,
        restart_at_s,
        seeds,
    };
    let (part, request) = (Cause::Part, Cause::Request);
    let cases = [
        case(part, 9, 10.0, 50.0, 0.0, None, 6),
        case(part, 9, 10.0, 50.0, 0.05, Some(8), 6),
        case(part, 9, 1.0, 50.0, 0.05, Some(8), 3),
        case(part, 72, 10.0, 200.0, 0.05, Some(8), 1),
        case(part, 340, 30.0, 400.0, 0.05, Some(8), 1),
        case(request, 9, 2.0, 50.0, 0.0, None, 6),
        case(request, 9, 20.0, 50.0, 0.05, Some(8), 6),
        case(request, 72, 10.0, 200.0, 0.05, Some(8), 1),
        case(request, 340, 30.0, 400.0, 0.05, Some(8), 1),
    ];
    for case in cases {
        for seed in 0..case.seeds {
            let scenario = Scenario {
                cause: case.cause,
                nodes: case.nodes,
                crashing_per_s: case.crashing_per_s,
                sound_per_s: case.sound_per_s,
                loss: case.loss,
                restart_at_s: case.restart_at_s,
            };
            let mut simulation = Simulation::new(scenario, seed);
            simulation.run(20);
            let what = format!(
                "{:?}, {} nodes, {} per s, seed {seed}: {} ends, {} late, {:.2} of the others sent",
                case.cause,
                case.nodes,
                case.crashing_per_s,
                simulation.ends.len(),
                simulation.late(),
                simulation.sound_fraction()
            );
            println!("{what}");
            assert!(simulation.late() <= MAX_LATE, "{what}");
            assert!(simulation.sound_fraction() >= 0.5, "{what}");
        }
    }
}
