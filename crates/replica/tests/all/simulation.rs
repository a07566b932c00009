//! A simulation of engine faults against the real decisions and the real control state.

use crate::fixture::{MEMBERS, epoch, listed, lists, named};
use clock::Moment;
use name::{Generation, Incarnation, Instance, Offset, Replica, Sequence};
use plan::Lists;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replica::{
    Command, Evaluation, FailureDetector, ListedInstance, Order, OrderTracker, Pacer, Phase,
    Policy, Report, Settings, View, orders, propose, servable, weights_name,
};
use state::{Peer, Record, State, Writer};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use uuid::Uuid;

/// The simulated time of one step.
pub const STEP: Duration = Duration::from_millis(250);

/// The time that a weight load takes.
pub const LOAD_TIME: Duration = Duration::from_secs(45);

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    pub listed: ListedInstance,
    pub boot: Uuid,
    pub phase: Phase,
    pub place: Option<(Replica, Generation, u32)>,
    pub loaded: bool,
    pub loading_until: Moment,
    pub down_until: Moment,
    pub down_since: Moment,
    pub running: u32,
    pub fences: bool,
}

/// The state of one simulated entry node.
pub struct EntryNode {
    pub domain: name::Domain,
    pub detector: FailureDetector,
    pub pacer: Pacer,
    pub tracker: OrderTracker,
}

/// The engines, the control state and the entry nodes, which share one view.
pub struct Simulation {
    pub now: Moment,
    pub state: State,
    pub lists: Lists,
    pub view: View,
    pub policy: Policy,
    pub engines: BTreeMap<Instance, Engine>,
    pub entry_nodes: Vec<EntryNode>,
    pub rng: ChaCha8Rng,
    pub downtime_s: f64,
    pub stranded_s: f64,
    pub reconfigurations: usize,
    /// All orders sent so far, from which tests repeat late ones.
    pub sent_orders: Vec<Order>,
}

impl Simulation {
    /// Returns a simulation of `count` idle engines with the weights.
    pub fn new(policy: Policy, count: usize, seed: u64) -> Self {
        let settings = Settings::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let engine = |i| Engine {
            listed: listed(i),
            boot: Uuid::from_u128(rng.random()),
            phase: Phase::Idle,
            place: None,
            loaded: true,
            loading_until: Moment::START,
            down_until: Moment::START,
            down_since: Moment::START,
            running: 0,
            fences: true,
        };
        let engines: BTreeMap<_, _> = (0..count)
            .map(engine)
            .map(|e| (e.listed.instance.clone(), e))
            .collect();
        let state = State {
            epoch: epoch(3),
            offset: Offset(1),
            ..State::default()
        };
        let entry = |p: &Peer| {
            let mut detector =
                FailureDetector::new(p.node.clone(), settings.clone(), Moment::START);
            detector.set_instances(engines.keys().cloned(), Moment::START);
            EntryNode {
                domain: p.domain.clone(),
                detector,
                pacer: Pacer::new(settings.clone()),
                tracker: OrderTracker::new(p.node.clone(), settings.clone()),
            }
        };
        let entry_nodes = state.epoch.peers.iter().map(entry).collect();
        Self {
            now: Moment::START,
            lists: lists(),
            view: View::new(settings.clone()),
            state,
            policy,
            engines,
            entry_nodes,
            rng,
            downtime_s: 0.0,
            stranded_s: 0.0,
            reconfigurations: 0,
            sent_orders: Vec::new(),
        }
    }

    /// Advances the simulation by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Applies a change to the control state at the next offset.
    pub fn append(&mut self, change: state::Change) -> state::Outcome {
        let offset = self.state.offset.next();
        let record = Record {
            writer: Writer(Incarnation(Uuid::from_u128(1))),
            sequence: Sequence(offset.0),
            change,
        };
        self.state.apply(offset, &record)
    }

    /// Stops an engine for `span`; a restart loses weights and membership.
    pub fn stop(&mut self, instance: &Instance, span: Duration, restart: bool) {
        let boot = Uuid::from_u128(self.rng.random());
        let engine = self.engines.get_mut(instance).unwrap();
        if engine.down_until <= self.now {
            engine.down_since = self.now;
        }
        engine.down_until = engine.down_until.max(self.now + span);
        if restart {
            engine.boot = boot;
            engine.phase = Phase::Idle;
            engine.place = None;
            engine.loaded = false;
        }
    }

    /// Returns whether the failure domain has engines and all of them are down.
    pub fn is_domain_down(&self, domain: &name::Domain) -> bool {
        let inside = |e: &&Engine| e.listed.domain == *domain;
        let mut inside = self.engines.values().filter(inside).peekable();
        inside.peek().is_some() && inside.all(|e| e.down_until > self.now)
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        let listed: Vec<_> = self.engines.values().map(|e| e.listed.clone()).collect();
        self.view.update_listing(&listed, self.now);
        self.advance_engines();
        self.poll();
        let mut entry_nodes = std::mem::take(&mut self.entry_nodes);
        let mut changes = Vec::new();
        let mut sent = Vec::new();
        for (rank, entry) in entry_nodes.iter_mut().enumerate() {
            if self.is_domain_down(&entry.domain) {
                continue;
            }
            self.cast_votes(entry);
            let (state, lists, view, now) = (&self.state, &self.lists, &self.view, self.now);
            let pacer = &mut entry.pacer;
            changes.extend(propose(state, lists, view, &self.policy, rank, now, pacer));
            sent.extend(orders(state, lists, view, true, now, &mut entry.tracker));
        }
        self.entry_nodes = entry_nodes;
        let now = self.now;
        sent.iter()
            .filter(|o| now <= o.deadline)
            .for_each(|o| self.deliver(o));
        self.sent_orders.extend(sent);
        for change in changes {
            let before = self.state.assignments.len();
            let accepted = self.append(change) == state::Outcome::Accepted;
            let formed = self.state.assignments.len() > before;
            self.reconfigurations += usize::from(accepted && !formed);
        }
        self.measure();
    }

    fn advance_engines(&mut self) {
        let now = self.now;
        let joined: BTreeMap<_, usize> = self
            .engines
            .values()
            .filter(|e| e.down_until <= now && matches!(e.phase, Phase::Joining | Phase::Ready))
            .filter_map(|e| e.place.as_ref().map(|(r, g, _)| (r.clone(), *g)))
            .fold(BTreeMap::new(), |mut counts, key| {
                *counts.entry(key).or_default() += 1;
                counts
            });
        for engine in self.engines.values_mut().filter(|e| e.down_until <= now) {
            if engine.phase == Phase::Loading && engine.loading_until <= now {
                engine.loaded = true;
                engine.phase = Phase::Joining;
            }
            let key = engine.place.as_ref().map(|(r, g, _)| (r.clone(), *g));
            let is_complete = key.is_some_and(|k| joined.get(&k) == Some(&MEMBERS));
            if engine.phase == Phase::Joining && is_complete {
                engine.phase = Phase::Ready;
            }
        }
    }

    fn poll(&mut self) {
        for engine in self.engines.values().filter(|e| e.down_until <= self.now) {
            let place = engine.place.clone();
            let loaded = engine.loaded.then(|| weights_name(&named("m"), "1").into());
            let report = Report {
                instance: engine.listed.instance.clone(),
                boot: engine.boot,
                phase: engine.phase,
                generation: place.as_ref().map(|p| p.1).unwrap_or_default(),
                member: place.as_ref().map_or(0, |p| p.2),
                replica: place.map(|p| p.0),
                loaded: loaded.into_iter().collect::<Vec<Arc<str>>>(),
                running: engine.running,
                fences: engine.fences,
            };
            self.view.record_report(report, self.now, self.now);
        }
    }

    fn cast_votes(&mut self, entry: &mut EntryNode) {
        for engine in self.engines.values().filter(|e| e.down_until <= self.now) {
            entry
                .detector
                .record_answer(&engine.listed.instance, self.now);
        }
        if let Evaluation::Votes(votes) = entry.detector.evaluate(self.now) {
            for vote in votes {
                self.view.record_vote(&vote, &self.state.epoch, self.now);
            }
        }
    }

    /// Delivers an order to its engine, which rejects an outdated one if it checks fencing.
    pub fn deliver(&mut self, order: &Order) {
        let now = self.now;
        let engine = self.engines.get_mut(&order.instance).unwrap();
        let current = engine.place.as_ref().map(|p| p.1).unwrap_or_default();
        if engine.down_until > now {
            return;
        }
        let accepts = |g: Generation| g >= current || !engine.fences;
        match &order.command {
            Command::Join {
                replica,
                generation,
                member,
                ..
            } if accepts(*generation) => {
                engine.place = Some((replica.clone(), *generation, *member));
                engine.phase = match engine.loaded {
                    true => Phase::Joining,
                    false => Phase::Loading,
                };
                engine.loading_until = now + LOAD_TIME;
            }
            Command::Leave { generation } if accepts(*generation) => {
                engine.place = None;
                engine.phase = Phase::Idle;
            }
            _ => {}
        }
    }

    fn measure(&mut self) {
        let up = |e: &&Engine| e.down_until <= self.now;
        let live = self.engines.values().filter(up).count();
        let serving = self.serving().len();
        let step_s = STEP.as_secs_f64();
        self.downtime_s += (live / MEMBERS).saturating_sub(serving) as f64 * step_s;
        self.stranded_s += live.saturating_sub(serving * MEMBERS) as f64 * step_s;
    }

    /// Returns the members of each servable replica.
    pub fn serving(&self) -> BTreeMap<Replica, Vec<Instance>> {
        servable(&self.state, &self.view, self.now)
            .into_iter()
            .filter(|(_, result)| result.is_ok())
            .map(|(r, _)| {
                let members = self.state.assignments[&r].members.clone();
                (r, members)
            })
            .collect()
    }
}
