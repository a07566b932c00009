//! Which engines must be told of their membership.

use crate::{Command, Listing, Order, Phase, Report, Seen, Settings, View, drain::Drain, weights};
use clock::Moment;
use name::{Generation, Instance, Node, Replica};
use plan::Lists;
use state::{Assignment, State};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// How long a released engine keeps its membership, in case it is assigned anew.
const LEAVE_DELAY: Duration = Duration::from_secs(2);

/// The number of resends after which a load no longer counts as next in turn.
const STUCK_RESENDS: u32 = 10;

/// Remembers between calls of [`orders`] what was ordered and when.
#[derive(Debug, Clone)]
pub struct Ledger {
    own: Node,
    settings: Settings,
    entries: HashMap<Instance, Entry>,
    drain: Drain,
}

/// What is remembered of one instance.
#[derive(Debug, Clone)]
struct Entry {
    /// The generation that the state gives it; zero if it is free.
    generation: Generation,
    /// When this node saw that generation come into force.
    changed: Moment,
    /// The order that is due, if one is.
    pending: Option<Pending>,
}

/// An order that is due.
#[derive(Debug, Clone)]
struct Pending {
    since: Moment,
    rank: u32,
    first: Option<Moment>,
    last: Option<Moment>,
}

/// A place that the state gives to an instance.
#[derive(Debug, Clone, Copy)]
struct Place<'a> {
    replica: &'a Replica,
    assignment: &'a Assignment,
    member: u32,
}

/// An engine that must be told something.
#[derive(Debug)]
struct Due<'a> {
    instance: &'a Instance,
    seen: &'a Seen,
    report: &'a Report,
    /// The place to take, or `None` to leave.
    place: Option<Place<'a>>,
    /// Whether the engine must load weights.
    load: bool,
}

impl Ledger {
    /// Returns the ledger of the node `own`, without history.
    pub fn new(own: Node, settings: Settings) -> Self {
        Self {
            own,
            settings,
            entries: HashMap::new(),
            drain: Drain::default(),
        }
    }

    /// Notes the generation that the state gives to an instance.
    fn note(&mut self, instance: &Instance, generation: Generation, now: Moment) {
        match self.entries.get_mut(instance) {
            Some(entry) if entry.generation == generation => {}
            Some(entry) => {
                *entry = Entry {
                    generation,
                    changed: now,
                    pending: None,
                };
            }
            None => {
                let entry = Entry {
                    generation,
                    changed: now,
                    pending: None,
                };
                self.entries.insert(instance.clone(), entry);
            }
        }
    }

    /// Returns for how long the state has given the instance what it gives now.
    fn settled(&self, instance: &Instance, now: Moment) -> Duration {
        self.entries
            .get(instance)
            .map(|e| now.since(e.changed))
            .unwrap_or_default()
    }

    /// Returns whether it is this node's turn to send, and notes that it does.
    fn turn(&mut self, state: &State, instance: &Instance, now: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(instance) else {
            return false;
        };
        let own = &self.own;
        let pending = entry.pending.get_or_insert_with(|| Pending {
            since: now,
            rank: rank(state, own, instance),
            first: None,
            last: None,
        });
        let backoff = self.settings.rank_step * pending.rank;
        let ripe = now.since(pending.since) >= backoff;
        let rested = pending
            .last
            .is_none_or(|at| now.since(at) >= self.settings.resend);
        if ripe && rested {
            pending.first.get_or_insert(now);
            pending.last = Some(now);
        }
        ripe && rested
    }

    /// Returns whether orders to the instance have long had no effect.
    fn is_stuck(&self, instance: &Instance, now: Moment) -> bool {
        let first = self
            .entries
            .get(instance)
            .and_then(|e| e.pending.as_ref())
            .and_then(|p| p.first);
        first.is_some_and(|at| now.since(at) > self.settings.resend * STUCK_RESENDS)
    }
}

/// Returns the orders that this node should send now.
///
/// The orders are projections of `state`, so that any node may send them; each
/// node waits for its rank among the entry nodes for the instance. `current`
/// says whether the state is known to be fresh; without that, engines that do
/// not check fencing numbers are told nothing. The driver drops an order whose
/// deadline has passed directly before the write.
pub fn orders(
    state: &State,
    lists: &Lists,
    view: &View,
    current: bool,
    now: Moment,
    ledger: &mut Ledger,
) -> Vec<Order> {
    let places = places(state);
    ledger.entries.retain(|i, _| view.get(i).is_some());
    ledger.drain.note(state, view, now);
    let mut due = Vec::new();
    let mut loading = 0;
    for (instance, seen) in view.iter() {
        let place = places.get(instance).copied();
        let generation = place.map(|p| p.assignment.generation).unwrap_or_default();
        ledger.note(instance, generation, now);
        let Some(report) = seen.fresh(&ledger.settings, now) else {
            continue;
        };
        loading += usize::from(report.phase == Phase::Loading);
        match needed(state, instance, seen, report, place) {
            Some(found) if ledger.may(&found, current, now) => due.push(found),
            Some(_) => {}
            None => ledger.settle(instance),
        }
    }
    let slots = ledger.settings.loads.saturating_sub(loading);
    schedule(&mut due, slots, ledger, now);
    due.retain(|d| ledger.turn(state, d.instance, now));
    due.iter()
        .filter_map(|d| order(lists, view, d, now + ledger.settings.order_life))
        .collect()
}

/// Returns the place that the state gives to each instance.
fn places(state: &State) -> HashMap<&Instance, Place<'_>> {
    let mut places = HashMap::new();
    for (replica, assignment) in &state.assignments {
        for (member, instance) in (0..).zip(&assignment.members) {
            let place = Place {
                replica,
                assignment,
                member,
            };
            places.insert(instance, place);
        }
    }
    places
}

/// Returns what the engine must be told, if anything.
fn needed<'a>(
    state: &State,
    instance: &'a Instance,
    seen: &'a Seen,
    report: &'a Report,
    place: Option<Place<'a>>,
) -> Option<Due<'a>> {
    // A later generation shows that this node is behind.
    if report.generation.0 > state.offset.0 {
        return None;
    }
    let Some(place) = place else {
        let leave = report.replica.is_some() && report.phase != Phase::Leaving;
        return leave.then_some(Due {
            instance,
            seen,
            report,
            place: None,
            load: false,
        });
    };
    let a = place.assignment;
    let here = report.replica.as_ref() == Some(place.replica)
        && report.generation == a.generation
        && report.member == place.member
        && report.phase != Phase::Idle;
    let usable = seen.listing != Listing::Leaving && !state.is_taken_out(instance, &seen.domain);
    (!here && usable).then(|| Due {
        instance,
        seen,
        report,
        place: Some(place),
        load: !report.holds(&weights(&a.model, &a.version)),
    })
}

impl Ledger {
    /// Returns whether the engine may be told now.
    fn may(&self, due: &Due<'_>, current: bool, now: Moment) -> bool {
        let settled = self.settled(due.instance, now);
        let certain = current && settled >= self.settings.settle;
        if !due.report.fences && !certain {
            return false;
        }
        if due.place.is_none() && settled < LEAVE_DELAY {
            return false;
        }
        !self.drain.holds(due.report, now)
    }

    /// Notes that the engine is where it should be.
    fn settle(&mut self, instance: &Instance) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.pending = None;
        }
    }
}

/// Keeps the orders that need no load, and as many loads as `slots` allows.
///
/// Replicas that lack fewest loads come first. Every node sorts alike, so that
/// together they start no more than `slots`.
fn schedule(due: &mut Vec<Due<'_>>, slots: usize, ledger: &Ledger, now: Moment) {
    let mut lacking: BTreeMap<Replica, usize> = BTreeMap::new();
    for replica in due.iter().filter(|d| d.load).filter_map(|d| d.place) {
        *lacking.entry(replica.replica.clone()).or_default() += 1;
    }
    let lack = |d: &Due<'_>| {
        d.place
            .and_then(|p| lacking.get(p.replica))
            .copied()
            .unwrap_or_default()
    };
    due.sort_by(|a, b| {
        let key = |d: &Due<'_>| (d.load, d.load && ledger.is_stuck(d.instance, now), lack(d));
        let by_place = |d: &Due<'_>| d.place.map(|p| (p.replica.clone(), p.member));
        key(a)
            .cmp(&key(b))
            .then_with(|| by_place(a).cmp(&by_place(b)))
            .then_with(|| a.instance.cmp(b.instance))
    });
    let ready = due.iter().filter(|d| !d.load).count();
    due.truncate(ready + slots);
}

/// Returns the node's rank among the entry nodes for orders to `instance`.
fn rank(state: &State, own: &Node, instance: &Instance) -> u32 {
    let nodes = state.epoch.peers.iter().map(|p| p.node.as_str());
    let rank = name::rank(instance.as_str(), own.as_str(), nodes);
    u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Returns the order, unless the address of a member is unknown.
fn order(lists: &Lists, view: &View, due: &Due<'_>, deadline: Moment) -> Option<Order> {
    let command = match due.place {
        Some(place) => join(lists, view, place)?,
        None => Command::Leave {
            generation: due.report.generation,
        },
    };
    Some(Order {
        instance: due.instance.clone(),
        address: due.seen.address,
        deadline,
        fences: due.report.fences,
        command,
    })
}

/// Returns the command to take `place`.
fn join(lists: &Lists, view: &View, place: Place<'_>) -> Option<Command> {
    let a = place.assignment;
    let peers: Option<Vec<SocketAddr>> = a
        .members
        .iter()
        .map(|i| view.get(i).map(|s| s.address))
        .collect();
    let model = lists.models.get(&a.model);
    Some(Command::Join {
        replica: place.replica.clone(),
        generation: a.generation,
        member: place.member,
        peers: peers?,
        model: a.model.clone(),
        version: Arc::clone(&a.version),
        adapters: model.map(|m| m.adapters.clone()).unwrap_or_default(),
    })
}
