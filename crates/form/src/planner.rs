//! The planner's step.

use crate::{
    Engine, Note, Rates, Send, Step,
    formation::{Formation, Next, heads},
    need::Scarcity,
    replica::{Reported, reported},
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

/// How long an order without a visible effect is not sent again.
///
/// Reports are up to 200 ms old, and an order takes effect within that time.
const PATIENCE: Duration = Duration::from_millis(450);

/// How long the planner waits for engines to come before it forms replicas of
/// any but the largest models.
const SETTLING: Duration = Duration::from_millis(3_000);

/// The engines that are members of nothing, by fabric domain.
pub(crate) type Free = HashMap<Option<Fabric>, Vec<Instance>>;

/// An order that may still take effect.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    command: Command,
    sequence: Option<u64>,
    at: Moment,
}

impl Sent {
    /// Returns whether the order was to stage weights.
    fn is_staging(&self) -> bool {
        matches!(self.command, Command::Stage { .. })
    }
}

/// The planner's memory.
#[derive(Debug, Default)]
pub struct Planner {
    pub(crate) token: u64,
    pub(crate) formed: u64,
    pub(crate) formations: Vec<Formation>,
    pub(crate) sent: HashMap<Instance, Sent>,
    pub(crate) loads: VecDeque<Moment>,
    /// Since when a replica of an earlier planner has been incomplete.
    pub(crate) incomplete: HashMap<(Replica, u64), Moment>,
    /// The highest generation that was reported.
    pub(crate) highest: u64,
    /// The replicas that were closed for the sake of a scarcer model.
    pub(crate) given_up: HashSet<(Replica, u64)>,
    /// When heads were last told to open.
    pub(crate) opened: HashMap<(Replica, u64), Moment>,
    /// The replica that was last closed to be formed without members that have no
    /// entry, and when.
    pub(crate) replaced: Option<((Replica, u64), Moment)>,
    /// What hosts were told to stage, and when that should end.
    pub(crate) staging: HashMap<Instance, (Model, Moment)>,
    /// When most engines should have been seen.
    pub(crate) settled: Option<Moment>,
    pub(crate) notes: Vec<Note>,
    /// The last note on what serves.
    pub(crate) serving: Option<Note>,
}

impl Planner {
    /// Returns a planner whose orders bear a fencing token.
    pub fn new(token: u64) -> Self {
        Self {
            token,
            ..Self::default()
        }
    }

    /// Returns the fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Returns what to order now.
    pub fn step(
        &mut self,
        mut engines: HashMap<Instance, Engine>,
        rates: &Rates<'_>,
        now: Moment,
    ) -> Step {
        self.note_staging(&mut engines, now);
        let engines = &engines;
        let settled = *self.settled.get_or_insert(now + SETTLING);
        self.sent
            .retain(|id, sent| engines.contains_key(id) && now.since(sent.at) < PATIENCE);
        let replicas = reported(engines);
        let generations = replicas.iter().map(|r| r.generation);
        self.highest = self.highest.max(generations.max().unwrap_or(0));
        let mut wanted = Vec::new();
        self.advance(engines, now, &mut wanted);
        let mut free = self.free(engines);
        let mut scarcity = Scarcity::new(rates.engine, rates.demand);
        for formation in &self.formations {
            scarcity.add(&formation.model);
        }
        let mut serving = Vec::new();
        let is_reported = |key: &(Replica, u64)| {
            let mut keys = replicas.iter().map(|r| (&r.replica, r.generation));
            keys.any(|reported| reported == (&key.0, key.1))
        };
        self.opened.retain(|key, _| is_reported(key));
        self.incomplete.retain(|key, _| is_reported(key));
        self.given_up.retain(is_reported);
        for replica in &replicas {
            self.look_at(replica, engines, rates, now, &mut wanted, &mut free);
            let is_serving = replica.is_allowed
                && !self.is_given_up(replica)
                && matches!(replica.head, Some(Phase::Open | Phase::Ready));
            if let (true, true, true, Some(model)) = (
                is_serving,
                (replica.is_sound || replica.is_unlisted) && replica.is_complete(rates.engine),
                !self.formations.iter().any(|f| f.replica == replica.replica),
                &replica.model,
            ) {
                scarcity.add(model);
                serving.push(replica);
            }
        }
        self.note_serving(&serving, &free, rates);
        let is_settled = rates.has_traffic || now >= settled;
        self.form(engines, &mut free, &mut scarcity, rates, is_settled, now);
        self.give_up(engines, &free, &serving, &scarcity, rates, &mut wanted);
        if is_settled {
            self.stage(engines, &scarcity, rates, now, &mut wanted);
        }
        self.advance(engines, now, &mut wanted);
        Step {
            sends: self.send(engines, wanted, now),
            notes: std::mem::take(&mut self.notes),
        }
    }

    /// Notes what serves, if that has changed.
    fn note_serving(&mut self, serving: &[&Reported], free: &Free, rates: &Rates<'_>) {
        let count = |model: &Model| {
            let is_model = |r: &&&Reported| r.model.as_ref() == Some(model);
            serving.iter().filter(is_model).count()
        };
        let models = rates.engine.models.iter();
        let note = Note::Serving {
            replicas: models.map(|w| (w.model.clone(), count(&w.model))).collect(),
            reserve: free.values().map(Vec::len).sum(),
        };
        if self.serving.as_ref() != Some(&note) {
            self.serving = Some(note.clone());
            self.notes.push(note);
        }
    }

    /// Takes note of what became of an order.
    pub fn answered(&mut self, engine: &Instance, outcome: Outcome) {
        // What was not carried out may be ordered again as soon as a fresh
        // report is there; what may have been is left alone for a while.
        let is_staging = self.sent.get(engine).is_some_and(Sent::is_staging);
        if is_staging && !matches!(outcome, Outcome::Begun | Outcome::Unknown) {
            self.staging.remove(engine);
        }
        if matches!(outcome, Outcome::Misdirected | Outcome::Refused) {
            self.sent.remove(engine);
        }
    }

    /// Returns the engines in transition, whose reports matter; some come twice.
    pub fn watched(&self) -> impl Iterator<Item = &Instance> {
        self.sent.keys().chain(self.forming())
    }

    /// Returns the engines that are to be members of replicas being formed.
    pub(crate) fn forming(&self) -> HashSet<&Instance> {
        self.formations.iter().flat_map(|f| &f.members).collect()
    }

    /// Moves the formations on.
    fn advance(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        now: Moment,
        wanted: &mut Vec<(Instance, Command)>,
    ) {
        let notes = &mut self.notes;
        let heads = heads(engines);
        self.formations.retain(|formation| {
            let next = formation.next(engines, &heads, now);
            if let Next::Orders(orders) = next {
                for order in orders {
                    if !wanted.contains(&order) {
                        wanted.push(order);
                    }
                }
                return true;
            }
            notes.push(Note::Formed {
                replica: formation.replica.clone(),
                is_open: next == Next::Done,
            });
            false
        });
    }

    /// Returns the engines that are members of nothing, by fabric domain.
    fn free(&self, engines: &HashMap<Instance, Engine>) -> Free {
        let forming = self.forming();
        let mut free = Free::new();
        let idle = engines
            .values()
            .filter(|e| e.is_joinable() && e.member().is_none() && !forming.contains(e.id()));
        for engine in idle {
            let fabric = engine.fabric().cloned();
            free.entry(fabric).or_default().push(engine.id().clone());
        }
        free
    }

    /// Turns wanted commands into orders, at most one for each engine.
    fn send(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        wanted: Vec<(Instance, Command)>,
        now: Moment,
    ) -> Vec<Send> {
        let mut sends = Vec::new();
        for (id, command) in wanted {
            let Some(engine) = engines.get(&id) else {
                continue;
            };
            let sequence = engine.sequence;
            let is_staging = matches!(command, Command::Stage { .. });
            if !engine.has_reported() && !is_staging {
                continue;
            }
            let is_pending = self.sent.get(&id).is_some_and(|sent| {
                sent.sequence == sequence || sent.command == command || engine.asked <= sent.at
            });
            if is_pending {
                continue;
            }
            let sent = Sent {
                command: command.clone(),
                sequence,
                at: now,
            };
            self.sent.insert(id.clone(), sent);
            if let Command::Open {
                replica,
                generation,
            } = &command
            {
                self.opened.insert((replica.clone(), *generation), now);
            }
            sends.push(Send {
                engine: id,
                order: Order {
                    command,
                    token: self.token,
                    expected_sequence: sequence,
                },
            });
        }
        sends
    }
}
