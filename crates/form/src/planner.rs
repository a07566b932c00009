//! The planner's step.

use crate::{
    Demand, Engine,
    formation::{Formation, Next},
    need::{Reserves, Scarcity},
    replica::{Reported, reported},
};
use clock::Moment;
use name::{Fabric, Instance, Model, Replica};
use site::{
    config,
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

/// How long after an order to open its effect may be missing from reports: the
/// time of a call that is given up, and the age of a report.
const SETTLED_AFTER: Duration = Duration::from_millis(700);

/// How long a replica that an earlier planner began may stay incomplete.
const INHERITED: Duration = Duration::from_millis(1_500);

/// How much scarcer a model must be than another one, after the change, for a
/// serving replica of the other one to be given up.
///
/// The hysteresis keeps engines from moving to and fro with the demand.
const DONOR_FACTOR: f64 = 1.6;

/// The use of a model's replicas above which another one is formed even if that
/// takes loads from the weight store. Below it, engines are better kept in
/// reserve, with their weights staged.
const SCARCE: f64 = 0.75;

/// The part of all engines that are made members of replicas before reserves
/// are staged. Before the first request, all loads together take longer than
/// the time there is.
const PRIMARY_PART: f64 = 0.6;

/// The use of a model's replicas for each load from the weight store that
/// another replica may take.
const SCARCE_FOR_LOAD: f64 = 0.35;

/// What a formation without a load costs, in loads.
const LOAD_COST: f64 = 0.25;

/// The part of a fabric domain's engines that is kept in reserve while no model
/// is scarce, so that a replica that loses a member is formed again at once.
const RESERVE_PART: f64 = 0.2;

/// How long the planner waits for engines to come before it forms replicas of
/// any but the largest models.
const SETTLING: Duration = Duration::from_millis(3_000);

/// The loads at once that are left to joins, which complete a replica.
const LOADS_FOR_JOINS: usize = 2;

/// How much longer than expected a staging may take.
const STAGING_GRACE: Duration = Duration::from_secs(8);

/// The part of the allowed loads of weights that the planner uses.
const LOADS_PART: f64 = 0.8;

/// The engines that are members of nothing, by fabric domain.
type Free = HashMap<Option<Fabric>, Vec<Instance>>;

/// An order for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// The engine.
    pub engine: Instance,
    /// The order.
    pub order: Order,
}

/// What one step decided.
#[derive(Debug, Clone, Default)]
pub struct Step {
    /// The orders to send.
    pub sends: Vec<Send>,
    /// What the planner believes and wants now, for the log.
    pub notes: Vec<Note>,
}

/// A decision or a change of belief, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A replica is to be formed.
    Form {
        /// The replica.
        replica: Replica,
        /// The model.
        model: Model,
        /// The members.
        members: Vec<Instance>,
        /// The use of the model's replicas before.
        scarcity: f64,
        /// How long each member takes to join.
        joins: Vec<Duration>,
    },
    /// A formation ended.
    Formed {
        /// The replica.
        replica: Replica,
        /// Whether it serves.
        is_open: bool,
    },
    /// A serving replica is given up for a scarcer model.
    GiveUp {
        /// The replica.
        replica: Replica,
        /// The scarcer model.
        scarcer: Model,
        /// The use of that model's replicas.
        scarcity: f64,
    },
    /// The replicas that serve each model, and the engines that are members of nothing.
    Serving {
        /// The replicas by model.
        replicas: Vec<(Model, usize)>,
        /// The engines in reserve.
        reserve: usize,
    },
}

/// The planner's knowledge of the deployment for one step.
#[derive(Debug, Clone)]
pub struct Rates<'a> {
    /// The costs and models.
    pub engine: &'a config::Engine,
    /// What callers ask for.
    pub demand: &'a Demand,
    /// Whether any request has come; before the first one, loads are fast and free.
    pub has_traffic: bool,
    /// The window in which loads are counted.
    pub load_window: Duration,
}

/// An order that may still take effect.
#[derive(Debug, Clone)]
struct Sent {
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
    token: u64,
    formed: u64,
    formations: Vec<Formation>,
    sent: HashMap<Instance, Sent>,
    loads: VecDeque<Moment>,
    /// Since when a replica of an earlier planner has been incomplete.
    incomplete: HashMap<(Replica, u64), Moment>,
    /// The highest generation that was reported.
    highest: u64,
    /// The replicas that were closed for the sake of a scarcer model.
    given_up: HashSet<(Replica, u64)>,
    /// When heads were last told to open.
    opened: HashMap<(Replica, u64), Moment>,
    /// What hosts were told to stage, and when that should end.
    staging: HashMap<Instance, (Model, Moment)>,
    /// When most engines should have been seen.
    settled: Option<Moment>,
    notes: Vec<Note>,
    /// The last note on what serves.
    serving: Option<Note>,
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
                replica.is_sound && replica.is_complete(rates.engine),
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

    /// Puts the stagings under way beside the engines that carry them out.
    ///
    /// One that takes far longer than expected was not carried out.
    fn note_staging(&mut self, engines: &mut HashMap<Instance, Engine>, now: Moment) {
        self.staging.retain(|id, (model, until)| {
            let engine = engines.get(id);
            now < *until + STAGING_GRACE
                && engine.is_some_and(|e| e.is_sound() && !e.has_staged(model))
        });
        for (id, staging) in &self.staging {
            if let Some(engine) = engines.get_mut(id) {
                engine.staging = Some(staging.clone());
            }
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

    /// Returns whether an engine is in transition, so that its reports matter.
    pub fn is_watched(&self, engine: &Instance) -> bool {
        self.sent.contains_key(engine) || self.formations.iter().any(|f| f.members.contains(engine))
    }

    /// Moves the formations on.
    fn advance(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        now: Moment,
        wanted: &mut Vec<(Instance, Command)>,
    ) {
        let notes = &mut self.notes;
        self.formations.retain(|formation| {
            let next = formation.next(engines, now);
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
        let taken: HashSet<&Instance> = self.formations.iter().flat_map(|f| &f.members).collect();
        let mut free = Free::new();
        for engine in engines.values() {
            let is_free = engine.is_sound()
                && engine.is_allowed
                && engine.member().is_none()
                && !taken.contains(engine.id());
            if is_free {
                let fabric = engine.fabric().cloned();
                free.entry(fabric).or_default().push(engine.id().clone());
            }
        }
        free
    }

    /// Opens a complete replica, and takes an incomplete one apart.
    fn look_at(
        &mut self,
        replica: &Reported,
        engines: &HashMap<Instance, Engine>,
        rates: &Rates<'_>,
        now: Moment,
        wanted: &mut Vec<(Instance, Command)>,
        free: &mut Free,
    ) {
        let is_forming =
            |f: &Formation| f.replica == replica.replica && f.generation == replica.generation;
        if self.formations.iter().any(is_forming) {
            return;
        }
        let (name, generation) = (replica.replica.clone(), replica.generation);
        let head = replica.members.get(&0);
        let is_given_up = self.is_given_up(replica);
        if replica.is_sound && replica.is_complete(rates.engine) && !is_given_up {
            let is_openable = replica.head == Some(Phase::Ready) && replica.is_ready;
            if let (true, Some(head)) = (is_openable, head) {
                let open = Command::Open {
                    replica: name.clone(),
                    generation,
                };
                wanted.push((head.clone(), open));
            }
            if replica.head != Some(Phase::Broken) {
                return;
            }
        }
        // Members of a replica that is still being joined report it one by one.
        let since = *self
            .incomplete
            .entry((name.clone(), generation))
            .or_insert(now);
        let is_growing = !is_given_up
            && matches!(replica.head, None | Some(Phase::Joining | Phase::Ready))
            && !replica.has_dead
            && replica.is_sound;
        if is_growing && now.since(since) < INHERITED {
            return;
        }
        match (replica.head, head) {
            (Some(Phase::Open), Some(head)) => {
                let close = Command::Close {
                    replica: name,
                    generation,
                    // A replica that is given up finishes what it has.
                    is_abrupt: replica.has_dead || !replica.is_complete(rates.engine),
                };
                wanted.push((head.clone(), close));
            }
            (Some(Phase::Closing), Some(head)) if replica.has_dead => {
                let close = Command::Close {
                    replica: name,
                    generation,
                    is_abrupt: true,
                };
                wanted.push((head.clone(), close));
            }
            (Some(Phase::Closing), _) => {}
            (Some(_), Some(head)) if self.may_have_opened(head, replica, engines) => {}
            (Some(_), _) => {
                // A join replaces the membership of a replica that does not serve.
                let is_taken =
                    |e: &&Engine| self.formations.iter().any(|f| f.members.contains(e.id()));
                let members = replica.members.values().map(|id| &engines[id]);
                let usable = members.filter(|e| e.is_sound() && e.is_allowed && !is_taken(e));
                for engine in usable {
                    let fabric = engine.fabric().cloned();
                    free.entry(fabric).or_default().push(engine.id().clone());
                }
            }
            (None, _) => {
                // The head is gone, and nothing says whether it still serves:
                // the others leave it before they join another replica.
                let is_alive = |id: &&Instance| engines.get(*id).is_some_and(|e| e.is_alive);
                for id in replica.members.values().filter(is_alive) {
                    let leave = Command::Leave {
                        replica: name.clone(),
                        generation,
                    };
                    wanted.push((id.clone(), leave));
                }
            }
        }
    }

    /// Returns whether a replica was closed for the sake of a scarcer model.
    fn is_given_up(&self, replica: &Reported) -> bool {
        let key = (replica.replica.clone(), replica.generation);
        self.given_up.contains(&key)
    }

    /// Returns whether a head may be open though it is not reported so: an order
    /// to open may still be under way, and reports are some hundred ms old.
    fn may_have_opened(
        &self,
        head: &Instance,
        replica: &Reported,
        engines: &HashMap<Instance, Engine>,
    ) -> bool {
        let key = (replica.replica.clone(), replica.generation);
        let opened = self.opened.get(&key);
        opened.is_some_and(|at| engines[head].asked < *at + SETTLED_AFTER)
    }

    /// Begins formations for the scarcest models.
    fn form(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        free: &mut Free,
        scarcity: &mut Scarcity,
        rates: &Rates<'_>,
        is_settled: bool,
        now: Moment,
    ) {
        let reserves_lack = !Reserves::new(engines, rates.engine, scarcity).has_one_each();
        loop {
            let members: usize = engines.len() - free.values().map(Vec::len).sum::<usize>();
            let is_enough = members as f64 > engines.len() as f64 * PRIMARY_PART;
            if !rates.has_traffic && is_settled && is_enough && reserves_lack {
                return;
            }
            let mut order = scarcity.order(rates.engine);
            if !is_settled {
                // Engines are still coming: a domain that has room for a small
                // replica only now may have room for a large one soon.
                let largest = order.iter().map(|w| w.size).max();
                order.retain(|w| Some(w.size) == largest);
            }
            // What a replica is worth, for each load that it takes.
            let worth = |weights: &config::Weights, members: &[Instance]| {
                let loads = loads_for(engines, members, weights);
                scarcity.with(&weights.model, 0) / (LOAD_COST + loads as f64)
            };
            let found = order
                .into_iter()
                .filter_map(|weights| {
                    let use_now = scarcity.with(&weights.model, 0);
                    let members = self.pick(engines, free, weights, use_now, rates, now)?;
                    Some((weights, members))
                })
                .max_by(|a, b| worth(a.0, &a.1).total_cmp(&worth(b.0, &b.1)));
            let Some((weights, members)) = found else {
                return;
            };
            let before = scarcity.with(&weights.model, 0);
            scarcity.add(&weights.model);
            for ids in free.values_mut() {
                ids.retain(|id| !members.contains(id));
            }
            self.begin(engines, weights, members, before, now);
        }
    }

    /// Picks the members of a new replica of a model.
    fn pick(
        &self,
        engines: &HashMap<Instance, Engine>,
        free: &Free,
        weights: &config::Weights,
        scarcity: f64,
        rates: &Rates<'_>,
        now: Moment,
    ) -> Option<Vec<Instance>> {
        let is_scarce = scarcity >= SCARCE;
        let left = self.loads_left(engines, rates, now);
        let room = if rates.has_traffic {
            left.min((scarcity / SCARCE_FOR_LOAD) as usize)
        } else {
            left
        };
        let sizes = domain_sizes(engines);
        let is_largest = rates.engine.models.iter().all(|w| w.size <= weights.size);
        let mut best: Option<(Duration, usize, Vec<Instance>)> = None;
        for (fabric, ids) in free {
            let reserve = if is_scarce {
                0
            } else {
                (sizes[fabric] as f64 * RESERVE_PART).round() as usize
            };
            if ids.len() < weights.size + reserve || (fabric.is_none() && weights.size > 1) {
                continue;
            }
            let mut ids = ids.clone();
            ids.sort_by_key(|id| {
                let engine = &engines[id];
                let slowness = (engine.pace * 10.0) as u64;
                (engine.join_time(weights, now), slowness, id.clone())
            });
            ids.truncate(weights.size);
            if loads_for(engines, &ids, weights) > room {
                continue;
            }
            let slowest = ids
                .iter()
                .map(|id| engines[id].join_time(weights, now))
                .max()?;
            // Among equally fast domains, the largest model takes the one with
            // most engines left, and others the one with fewest: a small
            // replica must not take the last place of a large one.
            let rest = if is_largest {
                usize::MAX - free[fabric].len()
            } else {
                free[fabric].len()
            };
            let is_better = best
                .as_ref()
                .is_none_or(|(time, left, first)| (slowest, rest, &ids) < (*time, *left, first));
            if is_better {
                best = Some((slowest, rest, ids));
            }
        }
        best.map(|(_, _, ids)| ids)
    }

    /// Begins a formation.
    fn begin(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        weights: &config::Weights,
        members: Vec<Instance>,
        scarcity: f64,
        now: Moment,
    ) {
        let loads = loads_for(engines, &members, weights);
        self.loads.extend(std::iter::repeat_n(now, loads));
        let joins = members.iter().map(|id| engines[id].join_time(weights, now));
        let joins: Vec<Duration> = joins.collect();
        // Loads share the weight store, so that many at once take longer.
        let longest = joins.iter().max().copied().unwrap_or_default() * 3;
        self.formed += 1;
        let name = format!("r{}-{}", self.token, self.formed);
        let Ok(replica) = Replica::try_from(name) else {
            return;
        };
        let generation = self.token.max(self.highest);
        let model = weights.model.clone();
        self.notes.push(Note::Form {
            replica: replica.clone(),
            model: model.clone(),
            members: members.clone(),
            scarcity,
            joins,
        });
        self.formations.push(Formation::new(
            replica, generation, model, members, longest, loads, now,
        ));
    }

    /// Gives up a serving replica whose engines a scarcer model needs more.
    fn give_up(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        free: &Free,
        serving: &[&Reported],
        scarcity: &Scarcity,
        rates: &Rates<'_>,
        wanted: &mut Vec<(Instance, Command)>,
    ) {
        let is_closing = |c: &(Instance, Command)| matches!(c.1, Command::Close { .. });
        if !self.formations.is_empty() || wanted.iter().any(is_closing) {
            return;
        }
        let Some(scarcest) = scarcity.order(rates.engine).into_iter().next() else {
            return;
        };
        let donors = serving.iter().filter(|replica| {
            let Some(model) = &replica.model else {
                return false;
            };
            let after = scarcity.with(model, -1);
            *model != scarcest.model
                && replica.head == Some(Phase::Open)
                && scarcity.with(&scarcest.model, 1) > after * DONOR_FACTOR / 1.2
                && scarcity.with(&scarcest.model, 0) > after * DONOR_FACTOR
        });
        let donor = donors
            .filter(|replica| {
                let member = replica.members.values().next();
                let fabric = member.and_then(|id| engines[id].fabric().cloned());
                let idle = free.get(&fabric).map_or(&[][..], Vec::as_slice);
                let usable = replica
                    .members
                    .values()
                    .chain(idle)
                    .filter(|id| !engines[*id].needs_load(&scarcest.model));
                usable.count() >= scarcest.size
            })
            .min_by_key(|replica| replica.members.len());
        if let Some((replica, head)) = donor.and_then(|r| Some((r, r.members.get(&0)?))) {
            let close = Command::Close {
                replica: replica.replica.clone(),
                generation: replica.generation,
                is_abrupt: false,
            };
            wanted.push((head.clone(), close));
            self.given_up
                .insert((replica.replica.clone(), replica.generation));
            self.notes.push(Note::GiveUp {
                replica: replica.replica.clone(),
                scarcer: scarcest.model.clone(),
                scarcity: scarcity.with(&scarcest.model, 0),
            });
        }
    }

    /// Stages weights on hosts, so that replicas that lose a member are formed
    /// again without a load from the weight store.
    ///
    /// Engines that are members of nothing go first. Loads never stop while any
    /// host lacks something: engines may be lost as fast as they can be loaded.
    fn stage(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        scarcity: &Scarcity,
        rates: &Rates<'_>,
        now: Moment,
        wanted: &mut Vec<(Instance, Command)>,
    ) {
        let is_taken = |id: &Instance| {
            self.sent.contains_key(id)
                || wanted.iter().any(|(other, _)| other == id)
                || self.formations.iter().any(|f| f.members.contains(id))
        };
        let for_joins = if rates.has_traffic {
            LOADS_FOR_JOINS
        } else {
            0
        };
        let room = self
            .loads_left(engines, rates, now)
            .saturating_sub(for_joins);
        let hosts: Vec<&Engine> = engines
            .values()
            .filter(|e| e.is_sound() && e.is_allowed && !e.is_busy && !is_taken(e.id()))
            .collect();
        let reserves = Reserves::new(engines, rates.engine, scarcity);
        if !rates.has_traffic && reserves.has_one_each() {
            return;
        }
        let chosen = reserves.choose(hosts, room);
        for (id, weights) in chosen {
            self.loads.push_back(now);
            // Stagings that share the weight store with others take longer.
            let until = now + weights.load;
            self.staging
                .insert(id.clone(), (weights.model.clone(), until));
            let model = weights.model.clone();
            wanted.push((id, Command::Stage { model }));
        }
    }

    /// Returns how many loads of weights may begin now.
    ///
    /// Beyond so many at once each load takes longer, so that none is gained and
    /// the first ones are late.
    fn loads_left(
        &self,
        engines: &HashMap<Instance, Engine>,
        rates: &Rates<'_>,
        now: Moment,
    ) -> usize {
        let joining: usize = self.formations.iter().map(|f| f.loading(engines)).sum();
        let under_way = joining + self.staging.len();
        let at_once = (rates.engine.loads_at_once as usize).saturating_sub(under_way);
        if !rates.has_traffic {
            // Replicas of several engines are begun whole.
            return if at_once > 0 { usize::MAX } else { 0 };
        }
        let is_counted = |sent: &&Moment| now.since(**sent) < rates.load_window;
        let begun = self.loads.iter().filter(is_counted).count();
        let allowed = rates.engine.loads_per_s * rates.load_window.as_secs_f64() * LOADS_PART;
        (allowed as usize).saturating_sub(begun).min(at_once)
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

/// Returns how many engines each fabric domain has.
fn domain_sizes(engines: &HashMap<Instance, Engine>) -> HashMap<Option<Fabric>, usize> {
    let mut sizes = HashMap::new();
    for engine in engines.values().filter(|e| e.is_sound()) {
        *sizes.entry(engine.fabric().cloned()).or_default() += 1;
    }
    sizes
}

/// Returns how many loads from the weight store a replica with these members takes.
fn loads_for(
    engines: &HashMap<Instance, Engine>,
    members: &[Instance],
    weights: &config::Weights,
) -> usize {
    let needs_load = |id: &&Instance| engines[*id].needs_load(&weights.model);
    members.iter().filter(needs_load).count()
}
