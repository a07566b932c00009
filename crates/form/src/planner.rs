//! The planner and its step.

use crate::{
    Engine, Event, Inputs, OutgoingOrder, Step,
    demand::Scarcity,
    formation::{Formation, NextStep, heads},
    replica::{ReportedReplica, reported_replicas},
    sent::{SentOpen, SentOrders},
    start::MAX_RESERVE,
};
use clock::Moment;
use name::{Fabric, Instance, Model, Replica};
use site::{
    order::{Command, Order, Outcome},
    server::Phase,
};
use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

/// The time after which an order without a reported effect is sent again.
///
/// Reports are up to 200 ms old, and an order takes effect within that time.
const ORDER_EFFECT_TIMEOUT: Duration = Duration::from_millis(450);

/// The maximum age of a report when it arrives, and the time of the call.
const MAX_REPORT_AGE: Duration = Duration::from_millis(400);

/// The time for which orders to an engine are remembered while its state is not known.
const UNKNOWN_ENGINE_MEMORY: Duration = Duration::from_secs(60);

/// The time after the planner's start during which it forms only replicas of the
/// largest models, since engines are still starting.
const STARTUP_WAIT: Duration = Duration::from_millis(3_000);

/// The engines without a membership, by fabric domain.
pub(crate) type FreeEngines = HashMap<Option<Fabric>, Vec<Instance>>;

/// Returns what the names of all replicas begin with that a planner forms.
pub(crate) fn replica_prefix(token: u64) -> String {
    format!("r{token}-")
}

/// An order that may still take effect.
#[derive(Debug, Clone)]
pub(crate) struct PendingOrder {
    command: Command,
    sequence: Option<u64>,
    sent_at: Moment,
}

/// A planner with its state between steps.
#[derive(Debug, Default)]
pub struct Planner {
    pub(crate) token: u64,
    /// The maximum number of engines in reserve in a fabric domain.
    pub(crate) max_reserve: usize,
    pub(crate) formation_count: u64,
    pub(crate) formations: Vec<Formation>,
    pub(crate) pending_orders: HashMap<Instance, PendingOrder>,
    pub(crate) load_starts: VecDeque<Moment>,
    /// The time since which a replica of an earlier planner has been incomplete.
    pub(crate) incomplete_since: HashMap<(Replica, u64), Moment>,
    /// The highest reported generation.
    pub(crate) highest_generation: u64,
    /// The replicas that were closed to free their engines for a scarcer model.
    pub(crate) reclaimed: HashSet<(Replica, u64)>,
    /// The heads that were ordered to open and that may serve because of it.
    pub(crate) opens: HashMap<Instance, SentOpen>,
    /// When engines first answered an order to close that they were closed already. A head
    /// that is opening by an earlier planner's order does so, too; it accepts no other one.
    pub(crate) closed_already: HashMap<Instance, Moment>,
    /// The replica that was last closed to replace members without an entry, and
    /// when.
    pub(crate) last_replaced: Option<((Replica, u64), Moment)>,
    /// The models that hosts were ordered to stage, and when that should end.
    pub(crate) staging: HashMap<Instance, (Model, Moment)>,
    /// The time of the first step.
    pub(crate) started_at: Option<Moment>,
    /// The engines that have carried out an order of this planner, and when that was
    /// first known. They refuse orders of earlier planners.
    pub(crate) obeyed_at: HashMap<Instance, Moment>,
    /// When each engine was first sent an order of this planner.
    pub(crate) first_orders: HashMap<Instance, Moment>,
    /// The orders that each engine may still carry out.
    pub(crate) sent_orders: HashMap<Instance, SentOrders>,
    pub(crate) events: Vec<Event>,
    /// The replicas and the reserve of the last [`Event::ServingChanged`].
    pub(crate) last_serving: Option<(Vec<(Model, usize)>, usize)>,
}

impl Planner {
    /// Returns a planner whose orders carry a fencing token.
    pub fn new(token: u64) -> Self {
        Self {
            token,
            max_reserve: MAX_RESERVE,
            ..Self::default()
        }
    }

    /// Sets the maximum number of engines in reserve in a fabric domain, at least one;
    /// the default is two.
    #[must_use]
    pub fn with_max_reserve(mut self, engines: usize) -> Self {
        self.max_reserve = engines.max(1);
        self
    }

    /// Returns the fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns the orders to send now.
    pub fn step(
        &mut self,
        mut engines: HashMap<Instance, Engine>,
        inputs: &Inputs<'_>,
        now: Moment,
    ) -> Step {
        self.update_staging(&mut engines, now);
        let engines = &engines;
        let startup_end = *self.started_at.get_or_insert(now) + STARTUP_WAIT;
        self.obeyed_at.retain(|id, _| engines.contains_key(id));
        self.first_orders.retain(|id, _| engines.contains_key(id));
        self.sent_orders.retain(|id, sent| match engines.get(id) {
            Some(engine) => sent.may_take_effect(engine),
            None => now.since(sent.sent_at) < UNKNOWN_ENGINE_MEMORY,
        });
        self.closed_already.retain(|id, _| engines.contains_key(id));
        self.opens.retain(|id, open| match engines.get(id) {
            Some(engine) => open.update(engine, now),
            None => now.since(open.sent_at) < UNKNOWN_ENGINE_MEMORY,
        });
        self.pending_orders.retain(|id, pending| {
            engines.contains_key(id) && now.since(pending.sent_at) < ORDER_EFFECT_TIMEOUT
        });
        let replicas = reported_replicas(engines);
        let generations = replicas.iter().map(|r| r.generation);
        self.highest_generation = self.highest_generation.max(generations.max().unwrap_or(0));
        let mut commands = Vec::new();
        let open_time = inputs.engine_spec.open_time;
        self.advance_formations(engines, open_time, now, &mut commands);
        let mut free = self.free_engines(engines);
        let mut scarcity = Scarcity::new(inputs.engine_spec, inputs.demand);
        for formation in &self.formations {
            scarcity.add_replica(&formation.model);
        }
        let mut serving = Vec::new();
        let is_reported = |key: &(Replica, u64)| {
            let mut keys = replicas.iter().map(|r| (&r.replica, r.generation));
            keys.any(|reported| reported == (&key.0, key.1))
        };
        self.incomplete_since.retain(|key, _| is_reported(key));
        self.reclaimed.retain(is_reported);
        for replica in &replicas {
            self.maintain(replica, engines, inputs, now, &mut commands, &mut free);
            let is_serving = replica.is_in_service
                && !self.is_reclaimed(replica)
                && matches!(replica.head_phase, Some(Phase::Open | Phase::Ready));
            if let (true, true, true, Some(model)) = (
                is_serving,
                (replica.is_healthy || replica.lacks_entries_only)
                    && replica.is_complete(inputs.engine_spec),
                !self.formations.iter().any(|f| f.replica == replica.replica),
                &replica.model,
            ) {
                scarcity.add_replica(model);
                serving.push(replica);
            }
        }
        self.record_serving(&serving, engines, &free, inputs);
        let is_startup_over = inputs.has_traffic || now >= startup_end;
        self.start_formations(
            engines,
            &mut free,
            &mut scarcity,
            inputs,
            is_startup_over,
            now,
        );
        self.reclaim_replica(engines, &free, &serving, &scarcity, inputs, &mut commands);
        if is_startup_over {
            self.stage_weights(engines, &scarcity, inputs, now, &mut commands);
        }
        self.advance_formations(engines, open_time, now, &mut commands);
        Step {
            orders: self.issue_orders(engines, commands, now),
            events: std::mem::take(&mut self.events),
        }
    }

    /// Adds an event if the serving replicas or the reserve changed.
    fn record_serving(
        &mut self,
        serving: &[&ReportedReplica],
        engines: &HashMap<Instance, Engine>,
        free: &FreeEngines,
        inputs: &Inputs<'_>,
    ) {
        let count = |model: &Model| {
            let is_model = |r: &&&ReportedReplica| r.model.as_ref() == Some(model);
            serving.iter().filter(is_model).count()
        };
        let models = inputs.engine_spec.models.iter();
        let replicas: Vec<_> = models.map(|w| (w.model.clone(), count(&w.model))).collect();
        let reserve = free.values().map(Vec::len).sum();
        let serving = (replicas.clone(), reserve);
        if self.last_serving.as_ref() == Some(&serving) {
            return;
        }
        self.last_serving = Some(serving);
        let is_unloaded = |id: &&Instance| {
            let mut models = inputs.engine_spec.models.iter();
            models.all(|w| engines[*id].needs_load(&w.model))
        };
        self.events.push(Event::ServingChanged {
            replicas,
            reserve,
            unloaded: free.values().flatten().filter(is_unloaded).count(),
            loads: self.loads_in_progress(engines),
        });
    }

    /// Records the outcome of an order, known at `now`.
    ///
    /// It may become known after the engine was sent another order.
    pub fn record_outcome(
        &mut self,
        engine: &Instance,
        order: &Order,
        outcome: Outcome,
        now: Moment,
    ) {
        let sequence = order.expected_sequence;
        match (&order.command, outcome) {
            (Command::Stage { .. }, Outcome::Started | Outcome::Unknown) => {}
            (Command::Stage { .. }, _) => {
                self.staging.remove(engine);
            }
            (
                Command::Open {
                    replica,
                    generation,
                },
                Outcome::AlreadyDone,
            ) => {
                if let Some(open) = self.opens.get_mut(engine) {
                    open.record_already_open(replica, *generation, sequence);
                }
            }
            (Command::Close { .. }, Outcome::AlreadyDone) => {
                self.closed_already.entry(engine.clone()).or_insert(now);
            }
            _ => {}
        }
        if matches!(outcome, Outcome::Started | Outcome::AlreadyDone) {
            self.obeyed_at.entry(engine.clone()).or_insert(now);
        }
        // An order that was not carried out may be sent again after the next report;
        // one that may have been carried out is not repeated for a while.
        let pending = self.pending_orders.get(engine);
        let is_pending =
            pending.is_some_and(|p| p.command == order.command && p.sequence == sequence);
        if is_pending && matches!(outcome, Outcome::WrongEngine | Outcome::Refused) {
            self.pending_orders.remove(engine);
        }
    }

    /// Returns the engines with pending orders or in formations, possibly twice.
    pub fn engines_in_transition(&self) -> impl Iterator<Item = &Instance> {
        self.pending_orders.keys().chain(self.forming_engines())
    }

    /// Returns the engines in formations.
    pub(crate) fn forming_engines(&self) -> HashSet<&Instance> {
        self.formations.iter().flat_map(|f| &f.members).collect()
    }

    /// Requests the next orders of the formations, and removes those that ended.
    fn advance_formations(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        open_time: Duration,
        now: Moment,
        commands: &mut Vec<(Instance, Command)>,
    ) {
        let heads = heads(engines, |head| self.may_open(head, open_time));
        let events = &mut self.events;
        self.formations.retain(|formation| {
            let next = formation.next_step(engines, &heads, now);
            if let NextStep::Orders(orders) = next {
                for order in orders {
                    if !commands.contains(&order) {
                        commands.push(order);
                    }
                }
                return true;
            }
            events.push(Event::FormationEnded {
                replica: formation.replica.clone(),
                is_open: next == NextStep::Done,
            });
            false
        });
    }

    /// Returns whether an engine may still carry out an order of an earlier planner.
    ///
    /// An order that got no response may be carried out many seconds later, so no time
    /// excludes it. An engine refuses it once it has seen the higher token of this planner:
    /// when it has obeyed an order, or is a member of a replica that this planner named.
    pub(crate) fn is_unfenced(&self, engine: &Engine) -> bool {
        let obeyed_at = self.obeyed_at.get(engine.id());
        let has_reported = obeyed_at.is_some_and(|at| engine.report_requested_at > *at);
        let is_own = engine
            .membership()
            .is_some_and(|member| self.has_named(&member.replica));
        !has_reported && !is_own
    }

    /// Returns whether a head that does not serve may open by an order that is not reported
    /// yet, of this planner or of an earlier one.
    pub(crate) fn may_open(&self, head: &Engine, open_time: Duration) -> bool {
        self.open_for(head).is_some()
            || self.is_unfenced(head)
            || self.may_be_opening(head, open_time)
    }

    /// Returns the order to open the replica of which an engine is the head.
    fn open_for(&self, head: &Engine) -> Option<&SentOpen> {
        let member = head.membership()?;
        let open = self.opens.get(head.id());
        open.filter(|open| open.is_for(member))
    }

    /// Returns whether a head may have accepted an order to open that reports do not show
    /// yet. Unless that was long ago, it is waited for and closed, since a head that leaves
    /// cuts off what it has begun to serve.
    pub(crate) fn may_be_opening(&self, head: &Engine, open_time: Duration) -> bool {
        let is_recent = |at: Moment| head.report_requested_at <= at + open_time + MAX_REPORT_AGE;
        let closed_already = self.closed_already.get(head.id());
        let open = self.open_for(head);
        closed_already.is_some_and(|at| is_recent(*at))
            || open.is_some_and(|open| is_recent(open.last_possible_at()))
    }

    /// Returns whether a late order may still take an engine out of a replica that it is a
    /// member of.
    pub(crate) fn may_be_taken(&self, engine: &Engine, replica: &Replica) -> bool {
        self.is_unfenced(engine) || self.is_ordered_away(engine.id(), replica)
    }

    /// Returns whether an order of this planner may still take an engine out of a replica.
    ///
    /// A formation may send its members a join at any step.
    pub(crate) fn is_ordered_away(&self, engine: &Instance, replica: &Replica) -> bool {
        let sent = self.sent_orders.get(engine);
        let mut formations = self.formations.iter();
        sent.is_some_and(|sent| sent.takes_from(replica))
            || formations.any(|f| f.replica != *replica && f.members.contains(engine))
    }

    /// Returns whether this planner has given a replica its name.
    fn has_named(&self, replica: &Replica) -> bool {
        let number = replica.as_str().strip_prefix(&replica_prefix(self.token));
        number.is_some_and(|number| number.parse::<u64>().is_ok())
    }

    /// Returns the engines without a membership, by fabric domain.
    fn free_engines(&self, engines: &HashMap<Instance, Engine>) -> FreeEngines {
        let forming = self.forming_engines();
        let mut free = FreeEngines::new();
        let idle = engines
            .values()
            .filter(|e| e.is_joinable() && e.membership().is_none() && !forming.contains(e.id()));
        for engine in idle {
            let fabric = engine.fabric().cloned();
            free.entry(fabric).or_default().push(engine.id().clone());
        }
        free
    }

    /// Turns commands into orders, at most one for each engine.
    fn issue_orders(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        commands: Vec<(Instance, Command)>,
        now: Moment,
    ) -> Vec<OutgoingOrder> {
        let mut orders = Vec::new();
        for (id, command) in commands {
            let Some(engine) = engines.get(&id) else {
                continue;
            };
            let sequence = engine.sequence;
            let is_staging = matches!(command, Command::Stage { .. });
            if !engine.has_reported() && !is_staging {
                continue;
            }
            let is_pending = self.pending_orders.get(&id).is_some_and(|pending| {
                pending.sequence == sequence
                    || pending.command == command
                    || engine.report_requested_at <= pending.sent_at
            });
            if is_pending {
                continue;
            }
            let pending = PendingOrder {
                command: command.clone(),
                sequence,
                sent_at: now,
            };
            self.pending_orders.insert(id.clone(), pending);
            let sent = self.sent_orders.entry(id.clone());
            sent.or_insert_with(|| SentOrders::new(sequence, now))
                .add(&command, sequence, now);
            self.first_orders.entry(id.clone()).or_insert(now);
            if let Command::Open {
                replica,
                generation,
            } = &command
            {
                let open = self.opens.remove(&id);
                let open = SentOpen::again(open, replica, *generation, sequence, now);
                self.opens.insert(id.clone(), open);
            }
            orders.push(OutgoingOrder {
                engine: id,
                order: Order {
                    command,
                    token: self.token,
                    expected_sequence: sequence,
                },
            });
        }
        orders
    }
}
