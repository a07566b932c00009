//! The simulated backend servers.

use crate::simulation::{Endpoint, Message, NodeMessage, Simulation, expected_frame, instance};
use admit::slot::Permit;
use clock::Moment;
use name::{Attempt, Domain, Generation, Instance, Replica};
use replica::{Command, ListedInstance, Phase, Report};
use route::answer::{End as Finish, Frame};
use std::{collections::BTreeSet, time::Duration};
use uuid::Uuid;

/// The maximum number of requests in progress at a cold server.
pub(crate) const COLD_LIMIT: u32 = 4;

/// The maximum number of requests in progress at a warm server.
pub(crate) const WARM_LIMIT: u32 = 24;

/// The time for which a server is cold.
const WARMUP_TIME: Duration = Duration::from_secs(3);

/// The time within which nodes detect a server that turned cold without a restart.
const COLD_DETECTION_TIME: Duration = Duration::from_millis(1_500);

/// The time between two frames of a response.
const FRAME_INTERVAL: Duration = Duration::from_millis(150);

/// The time from a join order until the engine is ready.
const JOIN_TIME: Duration = Duration::from_millis(300);

/// An engine's membership in a replica, as ordered.
#[common::plain]
pub(crate) struct Membership {
    pub(crate) replica: Replica,
    pub(crate) generation: Generation,
    pub(crate) member: u32,
    pub(crate) size: usize,
    pub(crate) ready: Moment,
}

/// A request in progress at a server.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: usize,
    pub(crate) answer_owner: usize,
    pub(crate) attempt: Attempt,
    pub(crate) node: (usize, u32),
    pub(crate) generation: Generation,
    pub(crate) index: u32,
    pub(crate) total: u32,
    /// The boot identifier of the server to which the connection was opened.
    pub(crate) connected_boot: Uuid,
    /// The slot that was granted to it.
    pub(crate) grant: Option<Grant>,
}

/// The slot of a request, kept for checks; real servers do not receive it.
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    slot: u32,
    boot: Uuid,
    is_cold: bool,
}

impl From<&Permit> for Grant {
    fn from(permit: &Permit) -> Self {
        Self {
            slot: permit.slot(),
            boot: permit.boot(),
            is_cold: permit.is_cold(),
        }
    }
}

/// A backend server: a model engine or a plain service.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: Instance,
    pub(crate) domain: Domain,
    pub(crate) is_engine: bool,
    pub(crate) is_up: bool,
    pub(crate) boot: u128,
    pub(crate) fences: bool,
    pub(crate) highest_generation: Generation,
    pub(crate) membership: Option<Membership>,
    /// When it last started, stopped or changed its membership.
    pub(crate) changed_at: Moment,
    /// When it last turned cold, and whether by a process start.
    pub(crate) cold_at: (Moment, bool),
    pub(crate) leaving: Option<Moment>,
    pub(crate) runs: Vec<Run>,
    /// Attempts whose connection was closed before their request arrived.
    pub(crate) closed: BTreeSet<Attempt>,
}

impl Server {
    pub(crate) fn new(index: usize, domain: &Domain, is_engine: bool) -> Self {
        Self {
            name: instance(index),
            domain: domain.clone(),
            is_engine,
            is_up: true,
            boot: 1,
            fences: true,
            highest_generation: Generation::default(),
            membership: None,
            changed_at: Moment::START,
            cold_at: (Moment::START, true),
            leaving: None,
            runs: Vec::new(),
            closed: BTreeSet::new(),
        }
    }

    /// Returns the identifier of its current boot.
    pub(crate) fn boot_id(&self) -> Uuid {
        let number = self.name.as_str().bytes().map(u128::from).sum::<u128>();
        Uuid::from_u128(number << 64 | self.boot)
    }

    pub(crate) fn is_warm(&self, now: Moment) -> bool {
        now >= self.cold_at.0 + WARMUP_TIME
    }

    /// Returns its report.
    pub(crate) fn report(&self, now: Moment) -> Report {
        let membership = self.membership.as_ref();
        let phase = match membership {
            None => Phase::Idle,
            Some(membership) if now < membership.ready => Phase::Joining,
            Some(_) => Phase::Ready,
        };
        Report {
            instance: self.name.clone(),
            boot: self.boot_id(),
            phase,
            replica: membership.map(|p| p.replica.clone()),
            generation: membership.map_or(self.highest_generation, |p| p.generation),
            member: membership.map_or(0, |p| p.member),
            loaded: vec!["chat@1".into()],
            running: u32::try_from(self.runs.len()).unwrap_or(u32::MAX),
            fences: self.fences,
        }
    }

    /// Returns its entry in the platform's list of instances.
    pub(crate) fn listing(&self, index: usize) -> ListedInstance {
        ListedInstance {
            instance: self.name.clone(),
            address: address(index),
            domain: self.domain.clone(),
            fabric: self.domain.as_str().try_into().expect("a name is a name"),
            leaving: self.leaving.is_some(),
        }
    }

    /// Ends its process.
    pub(crate) fn stop(&mut self, now: Moment) -> Vec<Run> {
        self.is_up = false;
        self.changed_at = now;
        self.membership = None;
        self.highest_generation = Generation::default();
        std::mem::take(&mut self.runs)
    }

    /// Starts its process again.
    pub(crate) fn start(&mut self, now: Moment) {
        self.is_up = true;
        self.boot += 1;
        self.changed_at = now;
        self.cold_at = (now, true);
    }
}

/// Returns the address of a server.
pub(crate) fn address(index: usize) -> std::net::SocketAddr {
    let port = 7_000 + u16::try_from(index).unwrap_or(0);
    ([10, 0, 0, 1], port).into()
}

impl Simulation {
    /// Returns whether every member of the server's replica is up with its generation.
    fn is_whole(&self, server: usize) -> bool {
        let Some(membership) = &self.servers[server].membership else {
            return !self.servers[server].is_engine;
        };
        let is_member = |s: &&Server| {
            s.is_up
                && s.membership.as_ref().is_some_and(|p| {
                    p.replica == membership.replica && p.generation == membership.generation
                })
        };
        self.servers.iter().filter(is_member).count() == membership.size
    }

    /// Ends the run of an attempt whose connection the node closed.
    pub(crate) fn close_run(&mut self, server: usize, attempt: Attempt) {
        let backend = &mut self.servers[server];
        let before = backend.runs.len();
        backend.runs.retain(|run| run.attempt != attempt);
        // A request that arrives after the close must not start, since connections are ordered.
        if backend.runs.len() == before {
            backend.closed.insert(attempt);
        }
    }

    /// Receives a request, and starts to execute it unless the server refuses it.
    pub(crate) fn begin_run(&mut self, server: usize, run: Run) {
        let now = self.now;
        if self.servers[server].closed.remove(&run.attempt) {
            return;
        }
        if run.connected_boot != self.servers[server].boot_id() {
            return self.answer_run(server, &run, None, Some(true));
        }
        if !self.is_whole(server) {
            return self.answer_run(server, &run, None, Some(false));
        }
        self.inspect_slot(server, &run);
        self.trace.requests[run.request].executions += 1;
        let backend = &mut self.servers[server];
        let attempt = run.attempt;
        backend.runs.push(run);
        let (cold_at, by_start) = backend.cold_at;
        let is_noticed = by_start || now >= cold_at + COLD_DETECTION_TIME;
        let count = backend.runs.len();
        if !backend.is_warm(now) && count > COLD_LIMIT as usize && is_noticed {
            let text = format!("{} holds {count} requests while cold", backend.name);
            self.record_finding(crate::Invariant::ColdLimit, text);
        }
        let boot = self.servers[server].boot;
        let next = Message::Frame {
            server,
            boot,
            attempt,
        };
        self.push(FRAME_INTERVAL, next);
    }

    /// Checks that a request's slot is of the current boot and not used by another node.
    fn inspect_slot(&mut self, server: usize, run: &Run) {
        let Some(grant) = &run.grant else {
            return;
        };
        let backend = &self.servers[server];
        let is_same = |other: &&Run| {
            other.node != run.node && other.grant.as_ref().is_some_and(|g| g.slot == grant.slot)
        };
        let is_twice = backend.runs.iter().any(|other| is_same(&other));
        let is_stale = !grant.is_cold && grant.boot != backend.boot_id();
        if is_twice {
            let text = format!(
                "slot {} of {} is used by two nodes",
                grant.slot, backend.name
            );
            self.record_finding(crate::Invariant::ColdLimit, text);
        }
        if is_stale {
            let text = format!("slot {} is of an earlier incarnation", grant.slot);
            self.record_finding(crate::Invariant::ColdLimit, text);
        }
    }

    /// Sends the next frame of a run.
    pub(crate) fn advance_run(&mut self, server: usize, boot: u128, attempt: Attempt) {
        if self.servers[server].boot != boot || !self.servers[server].is_up {
            return;
        }
        let runs = &self.servers[server].runs;
        let Some(at) = runs.iter().position(|run| run.attempt == attempt) else {
            return;
        };
        if !self.is_whole(server) {
            let run = self.servers[server].runs.remove(at);
            return self.answer_run(server, &run, None, Some(true));
        }
        let run = &mut self.servers[server].runs[at];
        let is_last = run.index + 1 >= run.total;
        let frame = Frame {
            attempt,
            generation: run.generation,
            index: run.index,
            text: expected_frame(run.answer_owner, run.index),
            end: is_last.then_some(Finish::Whole),
        };
        run.index += 1;
        let run = run.clone();
        if is_last {
            self.servers[server].runs.remove(at);
        } else {
            let next = Message::Frame {
                server,
                boot,
                attempt,
            };
            self.push(FRAME_INTERVAL, next);
        }
        self.answer_run(server, &run, Some(frame), None);
    }

    /// Sends a frame, or a failure that reports whether the request had started.
    fn answer_run(
        &mut self,
        server: usize,
        run: &Run,
        frame: Option<Frame>,
        has_begun: Option<bool>,
    ) {
        let (node, incarnation) = run.node;
        let body = match (frame, has_begun) {
            (Some(frame), _) => NodeMessage::Frame {
                request: run.request,
                frame,
            },
            (None, has_begun) => NodeMessage::Refused {
                request: run.request,
                attempt: run.attempt,
                has_begun: has_begun.unwrap_or(true),
            },
        };
        self.send(
            Endpoint::Server(server),
            Endpoint::Node(node),
            Message::ToNode {
                node,
                incarnation,
                body,
            },
        );
    }

    /// Reports the failure of runs whose connections broke.
    pub(crate) fn break_runs(&mut self, server: usize, runs: &[Run]) {
        for run in runs {
            self.answer_run(server, run, None, Some(true));
        }
    }

    /// Executes an order unless its generation is fenced off.
    pub(crate) fn take_order(&mut self, server: usize, command: &Command) {
        let now = self.now;
        let was_whole = self.is_whole(server);
        let backend = &mut self.servers[server];
        let generation = match command {
            Command::Join { generation, .. } | Command::Leave { generation } => *generation,
        };
        if backend.fences && generation < backend.highest_generation {
            return;
        }
        let is_newer = generation > backend.highest_generation;
        backend.highest_generation = backend.highest_generation.max(generation);
        let membership = match command {
            Command::Join {
                replica,
                generation,
                member,
                peers,
                ..
            } => Some(Membership {
                replica: replica.clone(),
                generation: *generation,
                member: *member,
                size: peers.len(),
                ready: now + JOIN_TIME,
            }),
            Command::Leave { .. } => None,
        };
        let key = |p: &Option<Membership>| p.as_ref().map(|p| (p.replica.clone(), p.generation));
        if key(&backend.membership) == key(&membership) {
            return;
        }
        backend.membership = membership;
        backend.changed_at = now;
        let runs = std::mem::take(&mut backend.runs);
        if is_newer && was_whole && !runs.is_empty() {
            let text = format!(
                "an order interrupted {} requests at {}",
                runs.len(),
                backend.name
            );
            self.record_finding(crate::Invariant::PlannedStop, text);
        }
        self.break_runs(server, &runs);
    }
}
