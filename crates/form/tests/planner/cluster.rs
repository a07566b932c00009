//! A simulated cluster of engines that carry out a planner's orders.

use clock::Moment;
use form::{Demand, Engine, Event, Inputs, Planner};
use name::{Instance, Model, Replica};
use site::{
    Server, config,
    fixture::{self, model_spec},
    order::{Command, Order, Outcome},
    server::{self, Membership, Phase},
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// The age of reports: the effect of an order is reported after this time.
pub(crate) const REPORT_LAG: Duration = Duration::from_millis(250);

/// The time from an order to open until the head serves.
pub(crate) const FORM_TIME: Duration = Duration::from_millis(300);

/// The interval of planner steps.
pub(crate) const STEP: Duration = Duration::from_millis(100);

pub(crate) fn model(name: &str) -> Model {
    name.parse().expect("a model's name")
}

/// Engines that carry out orders after a delay.
#[derive(Clone)]
pub(crate) struct Cluster {
    pub(crate) spec: config::EngineSpec,
    pub(crate) engines: BTreeMap<Instance, Engine>,
    pub(crate) orders_in_flight: Vec<(Moment, Instance, Order)>,
    /// The highest fencing token that each engine has received.
    pub(crate) tokens: HashMap<Instance, u64>,
    /// The highest generation that each engine has joined.
    pub(crate) generations: HashMap<Instance, u64>,
    pub(crate) joining: HashMap<Instance, Moment>,
    /// When the heads that have accepted an order to open will serve; until then they
    /// report that they are ready.
    pub(crate) opening: HashMap<Instance, Moment>,
    /// The joins that load from the weight store, and when they end.
    pub(crate) loading: HashMap<Instance, Moment>,
    pub(crate) staging: HashMap<Instance, (Model, Moment)>,
    pub(crate) now: Moment,
    pub(crate) demand: Demand,
    pub(crate) events: Vec<Event>,
    /// The engines that joined another replica while the head of theirs was open, and the
    /// heads that were opened after a member of their replica had joined another one.
    pub(crate) violations: Vec<String>,
    /// The engines that left their replica by an order while its head was open.
    pub(crate) departures: Vec<String>,
    /// The replicas that engines have left for other ones, with those engines.
    pub(crate) left: HashSet<(Replica, u64, Instance)>,
    pub(crate) max_concurrent_loads: usize,
    /// When each load from the weight store began.
    pub(crate) load_starts: Vec<Moment>,
}

impl Cluster {
    /// Returns a cluster with `domains` fabric domains of `size` engines.
    pub(crate) fn new(domains: usize, size: usize) -> Self {
        let mut engines = BTreeMap::new();
        for n in 0..domains * size {
            let id: Instance = format!("e{n:02}").parse().expect("a name");
            let fabric = format!("f{}", n / size).parse().expect("a name");
            let server = Server {
                engine: server::EngineState {
                    fabric: Some(fabric),
                    ..server::EngineState::default()
                },
                ..fixture::server(id.as_str())
            };
            engines.insert(id, running(server));
        }
        Self {
            spec: fixture::engine_spec(vec![
                model_spec("large", 4, 0.67),
                model_spec("small", 2, 0.33),
            ]),
            engines,
            orders_in_flight: Vec::new(),
            tokens: HashMap::new(),
            generations: HashMap::new(),
            joining: HashMap::new(),
            opening: HashMap::new(),
            loading: HashMap::new(),
            staging: HashMap::new(),
            now: Moment::from_millis(10_000),
            demand: Demand::default(),
            events: Vec::new(),
            violations: Vec::new(),
            departures: Vec::new(),
            left: HashSet::new(),
            max_concurrent_loads: 0,
            load_starts: Vec::new(),
        }
    }

    /// Sets the demand for each model, in fully used replicas.
    pub(crate) fn set_demand(&mut self, large: f64, small: f64) {
        self.demand.replicas = [(model("large"), large), (model("small"), small)].into();
    }

    /// Runs a planner for some time.
    pub(crate) fn run(&mut self, planner: &mut Planner, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for (engine, order, outcome) in self.apply_due() {
                if order.token == planner.token() {
                    planner.record_outcome(&engine, &order, outcome, self.now);
                }
            }
            let inputs = Inputs {
                engine_spec: &self.spec.clone(),
                demand: &self.demand.clone(),
                has_traffic: !self.demand.replicas.is_empty(),
                load_window: Duration::from_secs(5),
            };
            let engines = self.engines.clone().into_iter().collect();
            let step = planner.step(engines, &inputs, self.now);
            self.events.extend(step.events);
            for outgoing in step.orders {
                let at = self.now + REPORT_LAG;
                self.orders_in_flight
                    .push((at, outgoing.engine, outgoing.order));
            }
        }
    }

    /// Carries out the due orders, and ends the due joins and stagings.
    ///
    /// Returns each order with its engine and outcome.
    pub(crate) fn apply_due(&mut self) -> Vec<(Instance, Order, Outcome)> {
        let now = self.now;
        let mut outcomes = Vec::new();
        let ordered = std::mem::take(&mut self.orders_in_flight);
        for (at, id, order) in ordered {
            if now >= at {
                let outcome = self.apply_order(&id, &order);
                outcomes.push((id, order, outcome));
            } else {
                self.orders_in_flight.push((at, id, order));
            }
        }
        for (id, at) in &self.joining {
            let engine = self.engines.get_mut(id).expect("a known engine");
            if let (true, Some(member)) = (now >= *at, &mut engine.server.engine.membership)
                && member.phase == Phase::Joining
            {
                member.phase = Phase::Ready;
            }
        }
        self.joining.retain(|_, at| now < *at);
        for (id, at) in &self.opening {
            if now >= *at {
                set(
                    self.engines.get_mut(id).expect("a known engine"),
                    Phase::Open,
                );
            }
        }
        self.opening.retain(|_, at| now < *at);
        for (id, (staged, at)) in &self.staging {
            if now >= *at {
                let engine = self.engines.get_mut(id).expect("a known engine");
                engine.server.engine.staged_models = vec![staged.clone()];
            }
        }
        self.staging.retain(|_, (_, at)| now < *at);
        for engine in self.engines.values_mut() {
            engine.report_requested_at = now;
        }
        outcomes
    }

    /// Carries out an order, unless its fencing token, its expected sequence number or its
    /// generation is too low, or the engine is in the requested state already.
    pub(crate) fn apply_order(&mut self, id: &Instance, order: &Order) -> Outcome {
        let command = &order.command;
        let highest = self.tokens.entry(id.clone()).or_default();
        if !self.engines[id].is_alive {
            return Outcome::Refused;
        }
        if order.token < *highest {
            return Outcome::Fenced;
        }
        *highest = order.token;
        let engine = &self.engines[id];
        if order.expected_sequence.is_some() && order.expected_sequence != engine.sequence {
            return Outcome::Mismatch;
        }
        let member = engine.membership();
        match command {
            Command::Join {
                replica,
                generation,
                ..
            } => {
                let newest = self.generations.entry(id.clone()).or_default();
                if generation < newest {
                    return Outcome::Fenced;
                }
                *newest = *generation;
                if member.is_some_and(|m| m.replica == *replica && m.generation == *generation) {
                    return Outcome::AlreadyDone;
                }
                if self.is_head_serving(id) {
                    let text = format!("{id} joins another replica at {:?}", self.now);
                    self.violations.push(text);
                }
            }
            Command::Open {
                replica,
                generation,
            }
            | Command::Close {
                replica,
                generation,
                ..
            }
            | Command::Leave {
                replica,
                generation,
            } => {
                let member = member.filter(|member| {
                    member.replica == *replica && member.generation == *generation
                });
                let Some(member) = member else {
                    return Outcome::Mismatch;
                };
                let is_open = member.phase == Phase::Open;
                let is_opening = self.opening.contains_key(id);
                match command {
                    Command::Open { .. } if is_open || is_opening => return Outcome::AlreadyDone,
                    Command::Open { .. } if member.phase != Phase::Ready || member.rank != 0 => {
                        return Outcome::Mismatch;
                    }
                    // It is no order to an opening head, which serves after it.
                    Command::Close { .. } if !is_open => return Outcome::AlreadyDone,
                    Command::Leave { .. } if self.is_head_serving(id) => {
                        self.departures
                            .push(format!("{id} leaves at {:?}", self.now));
                    }
                    _ => {}
                }
            }
            Command::Stage { .. } => {}
        }
        let is_traffic = !self.demand.replicas.is_empty();
        // A join waits for a staging of its model that is in progress.
        let staged_at = self.staging.get(id).filter(
            |(staged, _)| matches!(command, Command::Join { model, .. } if model == staged),
        );
        let staged_at = staged_at.map(|(_, at)| *at);
        let engine = self.engines.get_mut(id).expect("a known engine");
        engine.sequence = engine.sequence.map(|s| s + 1);
        match command {
            Command::Join {
                replica,
                generation,
                model,
                members,
            } => {
                let spec = self.spec.model(model).expect("a known model");
                let is_load = engine.needs_load(model) && staged_at.is_none();
                let time = match staged_at {
                    Some(at) => self.now.until(at) + spec.warm_load_time,
                    None => engine.join_time(spec, self.now),
                };
                let time = if is_load && !is_traffic {
                    time / 10
                } else {
                    time
                };
                if let Some(member) = engine.membership() {
                    let left = (member.replica.clone(), member.generation, id.clone());
                    self.left.insert(left);
                }
                self.left
                    .remove(&(replica.clone(), *generation, id.clone()));
                engine.server.engine.membership = Some(Membership {
                    replica: replica.clone(),
                    generation: *generation,
                    rank: members.iter().position(|m| m == id).expect("a member"),
                    phase: Phase::Joining,
                });
                engine.server.engine.loaded_models = vec![model.clone()];
                self.opening.remove(id);
                self.joining.insert(id.clone(), self.now + time);
                if is_load {
                    engine.server.engine.staged_models = vec![model.clone()];
                    self.loading.insert(id.clone(), self.now + time);
                    self.record_loads();
                }
            }
            Command::Open {
                replica,
                generation,
            } => {
                let is_left =
                    |(other, g, _): &(Replica, u64, Instance)| other == replica && g == generation;
                if let Some((_, _, member)) = self.left.iter().find(|left| is_left(left)) {
                    let text = format!("{id} opens {replica} at {:?} without {member}", self.now);
                    self.violations.push(text);
                }
                self.opening.insert(id.clone(), self.now + FORM_TIME);
            }
            Command::Close { .. } => set(engine, Phase::Ready),
            Command::Leave { .. } => {
                engine.server.engine.membership = None;
                self.opening.remove(id);
            }
            Command::Stage { model } => {
                let load = self.spec.model(model).expect("a known model").load_time;
                let load = if is_traffic { load } else { load / 10 };
                self.staging
                    .insert(id.clone(), (model.clone(), self.now + load));
                self.record_loads();
            }
        }
        Outcome::Started
    }

    /// Returns whether the head of an engine's replica is open, or has accepted an order to
    /// open.
    fn is_head_serving(&self, id: &Instance) -> bool {
        let Some(member) = self.engines[id].membership() else {
            return false;
        };
        self.engines.values().any(|engine| {
            let head = engine.membership();
            let head = head.filter(|m| m.replica == member.replica && m.rank == 0);
            let is_open = head.is_some_and(|m| m.phase == Phase::Open);
            let is_opening = head.is_some() && self.opening.contains_key(engine.id());
            engine.is_alive && (is_open || is_opening)
        })
    }

    /// Updates the maximum number of concurrent loads.
    pub(crate) fn record_loads(&mut self) {
        let (now, engines) = (self.now, &self.engines);
        self.load_starts.push(now);
        self.loading
            .retain(|id, at| now < *at && engines[id].is_alive);
        let loads = self.loading.len() + self.staging.len();
        self.max_concurrent_loads = self.max_concurrent_loads.max(loads);
    }

    /// Returns the number of replicas of a model that serve with all their members.
    pub(crate) fn serving(&self, name: &str) -> usize {
        let size = self.spec.model(&model(name)).expect("a model").replica_size;
        let heads = self.engines.values().filter(|e| {
            e.is_alive
                && e.holds(&model(name))
                && e.membership().is_some_and(|m| m.phase == Phase::Open)
        });
        heads
            .filter(|head| {
                let replica = head.membership().map(|m| &m.replica);
                let members = self.engines.values().filter(|e| e.is_alive);
                members
                    .filter(|e| e.membership().map(|m| &m.replica) == replica)
                    .count()
                    == size
            })
            .count()
    }

    /// Adds an empty engine to a fabric domain.
    pub(crate) fn add(&mut self, id: &str, fabric: &str) {
        let mut server = fixture::server(id);
        server.engine.fabric = Some(fabric.parse().expect("a name"));
        self.engines.insert(server.id.clone(), running(server));
    }

    /// Stages all models on all hosts.
    pub(crate) fn stage_all(&mut self) {
        for engine in self.engines.values_mut() {
            engine.server.engine.staged_models = ["large", "small"].map(model).to_vec();
        }
    }

    /// Removes an engine and its orders.
    pub(crate) fn remove(&mut self, id: &Instance) {
        self.engines.remove(id);
        self.orders_in_flight.retain(|(_, other, _)| other != id);
        self.joining.remove(id);
        self.opening.remove(id);
        self.loading.remove(id);
        self.staging.remove(id);
    }

    /// Kills an engine that matches, and returns its name.
    pub(crate) fn kill(&mut self, is_match: impl Fn(&Engine) -> bool) -> Instance {
        let engine = self
            .engines
            .values_mut()
            .find(|e| e.is_alive && is_match(e));
        let engine = engine.expect("an engine that matches");
        engine.is_alive = false;
        engine.id().clone()
    }
}

/// Returns an engine that responds and has accepted no order.
fn running(server: Server) -> Engine {
    Engine {
        server,
        is_alive: true,
        has_entry: true,
        is_in_service: true,
        is_busy: false,
        sequence: Some(0),
        slowdown: 1.0,
        report_requested_at: Moment::START,
        is_confirmed: true,
        staging: None,
    }
}

pub(crate) fn set(engine: &mut Engine, phase: Phase) {
    if let Some(member) = &mut engine.server.engine.membership {
        member.phase = phase;
    }
}
