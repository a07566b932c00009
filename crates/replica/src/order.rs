//! Selection of the join and leave orders that a node sends to engines.

use crate::{
    Command, InstanceStatus, ListingState, Order, Phase, Report, Settings, View, drain::Drain,
    weights_name,
};
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

/// How long a released engine keeps its membership, in case it is assigned again.
const LEAVE_DELAY: Duration = Duration::from_secs(2);

/// The number of resends after which a load order yields its priority to others.
const INEFFECTIVE_RESENDS: u32 = 10;

/// Tracks between calls of [`orders`] which orders are due and when each was sent.
#[derive(Debug, Clone)]
pub struct OrderTracker {
    own: Node,
    settings: Settings,
    records: HashMap<Instance, InstanceRecord>,
    drain: Drain,
}

/// The assignment and the pending order of one instance.
#[derive(Debug, Clone)]
struct InstanceRecord {
    /// The generation at which the state assigns the instance; zero if it is free.
    generation: Generation,
    /// When this node first saw that generation.
    in_force_since: Moment,
    /// The order that is due, if any.
    pending: Option<PendingOrder>,
}

/// An order that is due, and the times at which this node sent it.
#[derive(Debug, Clone)]
struct PendingOrder {
    due_since: Moment,
    rank: u32,
    first_sent: Option<Moment>,
    last_sent: Option<Moment>,
}

/// The place in a replica to which the state assigns an instance.
#[derive(Debug, Clone, Copy)]
struct Place<'a> {
    replica: &'a Replica,
    assignment: &'a Assignment,
    member: u32,
}

/// An order that an engine needs.
#[derive(Debug)]
struct DueOrder<'a> {
    instance: &'a Instance,
    status: &'a InstanceStatus,
    report: &'a Report,
    /// The place to join, or `None` to leave the replica.
    place: Option<Place<'a>>,
    /// Whether the engine must load weights to join.
    needs_load: bool,
}

impl OrderTracker {
    /// Returns a tracker for the node `own`, without history.
    pub fn new(own: Node, settings: Settings) -> Self {
        Self {
            own,
            settings,
            records: HashMap::new(),
            drain: Drain::default(),
        }
    }

    /// Records the generation at which the state assigns an instance.
    fn record_generation(&mut self, instance: &Instance, generation: Generation, now: Moment) {
        match self.records.get_mut(instance) {
            Some(record) if record.generation == generation => {}
            Some(record) => {
                *record = InstanceRecord {
                    generation,
                    in_force_since: now,
                    pending: None,
                };
            }
            None => {
                let record = InstanceRecord {
                    generation,
                    in_force_since: now,
                    pending: None,
                };
                self.records.insert(instance.clone(), record);
            }
        }
    }

    /// Returns how long the assignment of the instance has been unchanged.
    fn unchanged_for(&self, instance: &Instance, now: Moment) -> Duration {
        self.records
            .get(instance)
            .map(|e| now.since(e.in_force_since))
            .unwrap_or_default()
    }

    /// Returns whether this node must send the order now, and if so records the send.
    ///
    /// The delay grows with the rank of the node, so that one node sends first.
    fn claim_turn(&mut self, state: &State, instance: &Instance, now: Moment) -> bool {
        let Some(record) = self.records.get_mut(instance) else {
            return false;
        };
        let own = &self.own;
        let pending = record.pending.get_or_insert_with(|| PendingOrder {
            due_since: now,
            rank: rank(state, own, instance),
            first_sent: None,
            last_sent: None,
        });
        let backoff = self.settings.delay_per_rank * pending.rank;
        let is_turn = now.since(pending.due_since) >= backoff;
        let may_resend = pending
            .last_sent
            .is_none_or(|at| now.since(at) >= self.settings.resend_after);
        if is_turn && may_resend {
            pending.first_sent.get_or_insert(now);
            pending.last_sent = Some(now);
        }
        is_turn && may_resend
    }

    /// Returns whether the instance has ignored orders for [`INEFFECTIVE_RESENDS`] resends.
    fn is_ineffective(&self, instance: &Instance, now: Moment) -> bool {
        let first_sent = self
            .records
            .get(instance)
            .and_then(|e| e.pending.as_ref())
            .and_then(|p| p.first_sent);
        first_sent
            .is_some_and(|at| now.since(at) > self.settings.resend_after * INEFFECTIVE_RESENDS)
    }
}

/// Returns the orders that this node should send now.
///
/// The orders bring engines to the assignments in `state`, so that any node may
/// send them. Each node delays its sends by its rank among the entry nodes for the
/// instance. `is_state_fresh` is whether `state` is confirmed to be fresh; if not,
/// engines that do not check fencing numbers get no orders. Directly before the
/// write, the driver drops an order whose deadline has passed.
pub fn orders(
    state: &State,
    lists: &Lists,
    view: &View,
    is_state_fresh: bool,
    now: Moment,
    tracker: &mut OrderTracker,
) -> Vec<Order> {
    let places = assigned_places(state);
    tracker.records.retain(|i, _| view.get(i).is_some());
    tracker.drain.update(state, view, now);
    let mut due = Vec::new();
    let mut loading = 0;
    for (instance, status) in view.iter() {
        let place = places.get(instance).copied();
        let generation = place.map(|p| p.assignment.generation).unwrap_or_default();
        tracker.record_generation(instance, generation, now);
        let Some(report) = status.fresh_report(&tracker.settings, now) else {
            continue;
        };
        loading += usize::from(report.phase == Phase::Loading);
        match required_order(state, instance, status, report, place) {
            Some(found) if tracker.may_send(&found, is_state_fresh, now) => due.push(found),
            Some(_) => {}
            None => tracker.clear_pending(instance),
        }
    }
    let load_slots = tracker
        .settings
        .max_concurrent_loads
        .saturating_sub(loading);
    schedule(&mut due, load_slots, tracker, now);
    due.retain(|d| tracker.claim_turn(state, d.instance, now));
    due.iter()
        .filter_map(|d| build_order(lists, view, d, now + tracker.settings.order_lifetime))
        .collect()
}

/// Returns the place to which the state assigns each instance.
fn assigned_places(state: &State) -> HashMap<&Instance, Place<'_>> {
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

/// Returns the order that the engine needs, if any.
fn required_order<'a>(
    state: &State,
    instance: &'a Instance,
    status: &'a InstanceStatus,
    report: &'a Report,
    place: Option<Place<'a>>,
) -> Option<DueOrder<'a>> {
    // The engine reports a later generation than the state of this node holds, so
    // that the state is behind.
    if report.generation.0 > state.offset.0 {
        return None;
    }
    let Some(place) = place else {
        let must_leave = report.replica.is_some() && report.phase != Phase::Leaving;
        return must_leave.then_some(DueOrder {
            instance,
            status,
            report,
            place: None,
            needs_load: false,
        });
    };
    let a = place.assignment;
    let is_in_place = report.replica.as_ref() == Some(place.replica)
        && report.generation == a.generation
        && report.member == place.member
        && report.phase != Phase::Idle;
    let is_usable =
        status.listing != ListingState::Leaving && !state.is_taken_out(instance, &status.domain);
    (!is_in_place && is_usable).then(|| DueOrder {
        instance,
        status,
        report,
        place: Some(place),
        needs_load: !report.has_weights(&weights_name(&a.model, &a.version)),
    })
}

impl OrderTracker {
    /// Returns whether the order may be sent now.
    fn may_send(&self, due: &DueOrder<'_>, is_state_fresh: bool, now: Moment) -> bool {
        let unchanged_for = self.unchanged_for(due.instance, now);
        let is_certain = is_state_fresh && unchanged_for >= self.settings.unfenced_quiet_period;
        if !due.report.fences && !is_certain {
            return false;
        }
        if due.place.is_none() && unchanged_for < LEAVE_DELAY {
            return false;
        }
        !self.drain.must_wait(due.report, now)
    }

    /// Discards the pending order, since the engine reports the assigned membership.
    fn clear_pending(&mut self, instance: &Instance) {
        if let Some(record) = self.records.get_mut(instance) {
            record.pending = None;
        }
    }
}

/// Keeps the orders that need no load, and at most `load_slots` that need one.
///
/// Replicas that lack the fewest loads come first. All nodes sort in the same
/// order, so that together they start no more than `load_slots` loads.
fn schedule(due: &mut Vec<DueOrder<'_>>, load_slots: usize, tracker: &OrderTracker, now: Moment) {
    let mut missing_loads: BTreeMap<Replica, usize> = BTreeMap::new();
    for replica in due.iter().filter(|d| d.needs_load).filter_map(|d| d.place) {
        *missing_loads.entry(replica.replica.clone()).or_default() += 1;
    }
    let missing = |d: &DueOrder<'_>| {
        d.place
            .and_then(|p| missing_loads.get(p.replica))
            .copied()
            .unwrap_or_default()
    };
    due.sort_by(|a, b| {
        let key = |d: &DueOrder<'_>| {
            (
                d.needs_load,
                d.needs_load && tracker.is_ineffective(d.instance, now),
                missing(d),
            )
        };
        let by_place = |d: &DueOrder<'_>| d.place.map(|p| (p.replica.clone(), p.member));
        key(a)
            .cmp(&key(b))
            .then_with(|| by_place(a).cmp(&by_place(b)))
            .then_with(|| a.instance.cmp(b.instance))
    });
    let ready = due.iter().filter(|d| !d.needs_load).count();
    due.truncate(ready + load_slots);
}

/// Returns the rank of the node among the entry nodes for orders to `instance`.
fn rank(state: &State, own: &Node, instance: &Instance) -> u32 {
    let nodes = state.epoch.peers.iter().map(|p| p.node.as_str());
    let rank = name::rendezvous_rank(instance.as_str(), own.as_str(), nodes);
    u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Returns the order to send, or `None` if the address of a member is unknown.
fn build_order(lists: &Lists, view: &View, due: &DueOrder<'_>, deadline: Moment) -> Option<Order> {
    let command = match due.place {
        Some(place) => join_command(lists, view, place)?,
        None => Command::Leave {
            generation: due.report.generation,
        },
    };
    Some(Order {
        instance: due.instance.clone(),
        address: due.status.address,
        deadline,
        fences: due.report.fences,
        command,
    })
}

/// Returns the command to join at `place`.
fn join_command(lists: &Lists, view: &View, place: Place<'_>) -> Option<Command> {
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
