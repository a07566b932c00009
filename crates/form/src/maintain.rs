//! Existing replicas: which are opened, closed or reclaimed for other models.

use crate::{
    Engine, Event, Inputs,
    demand::Scarcity,
    formation::Formation,
    planner::{FreeEngines, Planner},
    replica::ReportedReplica,
};
use clock::Moment;
use name::Instance;
use site::{order::Command, server::Phase};
use std::{collections::HashMap, time::Duration};

/// The time for which a replica that an earlier planner started may stay incomplete, and
/// for which a member of one may not obey the orders of this planner.
const INHERITED_INCOMPLETE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time from the order to close a replica until its members are formed anew, so
/// that no other replica is closed meanwhile for the same reason.
const CLOSE_TIME: Duration = Duration::from_millis(1_000);

/// The time for which a replica may finish its requests after a member's entry was
/// removed.
///
/// Usual streams end within two to four seconds.
const FINISH_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The minimum ratio of a model's scarcity to another one's, after the change, for a
/// serving replica of the other model to be reclaimed.
///
/// The hysteresis keeps engines from moving back and forth with demand.
const DONOR_SCARCITY_RATIO: f64 = 1.6;

/// Returns whether a replica could be formed anew, without a load, from its healthy
/// members and the free engines in its fabric domain.
fn can_replace(
    replica: &ReportedReplica,
    engines: &HashMap<Instance, Engine>,
    inputs: &Inputs<'_>,
    free: &FreeEngines,
) -> bool {
    let Some(spec) = replica
        .model
        .as_ref()
        .and_then(|m| inputs.engine_spec.model(m))
    else {
        return false;
    };
    let members = replica.members.values();
    let healthy = members.filter(|id| engines[*id].is_healthy()).count();
    let idle = replica.free_in_domain(engines, free).iter();
    let ready = idle.filter(|id| !engines[*id].needs_load(&spec.model));
    healthy + ready.count() >= spec.replica_size
}

/// Returns whether a command closes a replica.
fn is_closing((_, command): &(Instance, Command)) -> bool {
    matches!(command, Command::Close { .. })
}

impl Planner {
    /// Opens a complete replica, and closes an incomplete one.
    pub(crate) fn maintain(
        &mut self,
        replica: &ReportedReplica,
        engines: &HashMap<Instance, Engine>,
        inputs: &Inputs<'_>,
        now: Moment,
        commands: &mut Vec<(Instance, Command)>,
        free: &mut FreeEngines,
    ) {
        let is_forming =
            |f: &Formation| f.replica == replica.replica && f.generation == replica.generation;
        if self.formations.iter().any(is_forming) {
            return;
        }
        let key = replica.key();
        let head = replica.members.get(&0);
        let is_reclaimed = self.is_reclaimed(replica);
        if replica.is_healthy && replica.is_complete(inputs.engine_spec) && !is_reclaimed {
            let is_openable = replica.head_phase == Some(Phase::Ready) && replica.is_ready;
            let is_formed_anew = is_openable && !self.open_if_held(replica, engines, now, commands);
            if replica.head_phase != Some(Phase::Broken) && !is_formed_anew {
                return;
            }
        }
        // Members without an entry may have lost only their connection to the store.
        // While they respond, a serving replica is kept until it can be formed
        // without them, one such replica at a time.
        let is_kept = replica.lacks_entries_only
            && replica.head_phase == Some(Phase::Open)
            && replica.is_complete(inputs.engine_spec)
            && !is_reclaimed;
        let last = self.last_replaced.as_ref();
        if is_kept && last.is_none_or(|(last, _)| *last != key) {
            let is_closed = last.is_some_and(|(_, at)| now.since(*at) < CLOSE_TIME);
            let is_changing = is_closed || self.is_changing(commands);
            if is_changing || !can_replace(replica, engines, inputs, free) {
                return;
            }
            self.last_replaced = Some((key.clone(), now));
        }
        // Members of a replica that is still being formed report it one by one.
        let since = *self.incomplete_since.entry(key).or_insert(now);
        let is_growing = !is_reclaimed
            && matches!(
                replica.head_phase,
                None | Some(Phase::Joining | Phase::Ready)
            )
            && !replica.has_dead
            && replica.is_healthy;
        if is_growing && now.since(since) < INHERITED_INCOMPLETE_TIMEOUT {
            return;
        }
        // A replica with an undetected member loss hangs and never finishes.
        let is_overdue = !is_reclaimed
            && !replica.is_complete(inputs.engine_spec)
            && now.since(since) > FINISH_TIMEOUT;
        let is_close_late = now.since(since) >= 2 * INHERITED_INCOMPLETE_TIMEOUT;
        let open_time = inputs.engine_spec.open_time;
        match (replica.head_phase, head) {
            (Some(Phase::Open), Some(head)) => {
                // Without a dead member, the replica finishes its requests.
                commands.push((head.clone(), replica.close_command(replica.has_dead)));
                if replica.has_dead {
                    self.free_members(replica, engines, free);
                }
            }
            (Some(Phase::Closing), Some(head)) if replica.has_dead || is_overdue => {
                commands.push((head.clone(), replica.close_command(true)));
            }
            (Some(Phase::Closing), _) => {}
            (Some(_), Some(head)) if self.may_be_opening(&engines[head], open_time) => {}
            (Some(Phase::Ready), Some(head))
                if self.is_unfenced(&engines[head]) && !is_close_late =>
            {
                // An order of an earlier planner to open the head may be in flight. Once
                // the head has obeyed this planner, it refuses that order.
                commands.push((head.clone(), replica.close_command(false)));
            }
            (Some(Phase::Joining | Phase::Ready), Some(head))
                if self.may_open(&engines[head], open_time) =>
            {
                // An order of this planner to open may be carried out as long as the head
                // has accepted no other one. An order to close does not change that for a
                // head that is not open, but leaving does.
                commands.push((head.clone(), replica.leave_command()));
            }
            (Some(_), _) => {
                // A join replaces the membership in a replica that does not serve.
                self.free_members(replica, engines, free);
            }
            (None, _) => {
                // The head does not respond and may still serve: the other members
                // leave the replica before they join another one.
                let is_alive = |id: &&Instance| engines.get(*id).is_some_and(|e| e.is_alive);
                for id in replica.members.values().filter(is_alive) {
                    commands.push((id.clone(), replica.leave_command()));
                }
                if replica.has_dead {
                    self.free_members(replica, engines, free);
                }
            }
        }
    }

    /// Opens a complete replica, or first orders its members to join it once more.
    ///
    /// A join into another replica that an earlier planner ordered, or that this one got no
    /// response to, may still be carried out while the head is open. Members that have
    /// obeyed this planner refuse the former. Returns false if a member may be taken and
    /// the replica has to be formed anew, which supersedes all earlier orders.
    fn open_if_held(
        &mut self,
        replica: &ReportedReplica,
        engines: &HashMap<Instance, Engine>,
        now: Moment,
        commands: &mut Vec<(Instance, Command)>,
    ) -> bool {
        let members: Vec<Instance> = replica.members.values().cloned().collect();
        let (Some(head), Some(model)) = (members.first(), &replica.model) else {
            return false;
        };
        let may_be_taken = |id: &Instance| self.may_be_taken(&engines[id], &replica.replica);
        if !members.iter().any(may_be_taken) {
            self.incomplete_since.remove(&replica.key());
            commands.push((head.clone(), replica.open_command()));
            return true;
        }
        let is_ordered_away = |id: &Instance| self.is_ordered_away(id, &replica.replica);
        let is_any_ordered_away = members.iter().any(is_ordered_away);
        let unfenced = members.iter().filter(|id| self.is_unfenced(&engines[*id]));
        commands.extend(unfenced.map(|id| {
            let join = Command::Join {
                replica: replica.replica.clone(),
                generation: replica.generation,
                model: model.clone(),
                members: members.clone(),
            };
            (id.clone(), join)
        }));
        !is_any_ordered_away && !members.iter().any(|id| self.is_disobedient(id, now))
    }

    /// Returns whether an engine has not obeyed this planner some time after its first order.
    ///
    /// That time does not include the wait for a report of the engine, without which it gets
    /// no order: with a thousand engines, their reports take seconds.
    fn is_disobedient(&self, id: &Instance, now: Moment) -> bool {
        let first_order = self.first_orders.get(id);
        let is_overdue =
            first_order.is_some_and(|at| now.since(*at) >= INHERITED_INCOMPLETE_TIMEOUT);
        is_overdue && !self.obeyed_at.contains_key(id)
    }

    /// Adds the members of a replica to the engines that can form another one.
    ///
    /// Their joins are held back while the head may serve, but other members of the
    /// new replica can start to join.
    fn free_members(
        &self,
        replica: &ReportedReplica,
        engines: &HashMap<Instance, Engine>,
        free: &mut FreeEngines,
    ) {
        let forming = self.forming_engines();
        let members = replica.members.values().map(|id| &engines[id]);
        for engine in members.filter(|e| e.is_joinable() && !forming.contains(e.id())) {
            let fabric = engine.fabric().cloned();
            free.entry(fabric).or_default().push(engine.id().clone());
        }
    }

    /// Returns whether replicas are being formed or closed.
    fn is_changing(&self, commands: &[(Instance, Command)]) -> bool {
        !self.formations.is_empty() || commands.iter().any(is_closing)
    }

    /// Returns whether a replica was closed to free its engines for a scarcer model.
    pub(crate) fn is_reclaimed(&self, replica: &ReportedReplica) -> bool {
        self.reclaimed.contains(&replica.key())
    }

    /// Closes a serving replica whose engines a scarcer model needs more.
    pub(crate) fn reclaim_replica(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        free: &FreeEngines,
        serving: &[&ReportedReplica],
        scarcity: &Scarcity,
        inputs: &Inputs<'_>,
        commands: &mut Vec<(Instance, Command)>,
    ) {
        if self.is_changing(commands) {
            return;
        }
        let Some(scarcest) = scarcity
            .scarcest_first(inputs.engine_spec)
            .into_iter()
            .next()
        else {
            return;
        };
        let donors = serving.iter().filter(|replica| {
            let Some(model) = &replica.model else {
                return false;
            };
            let after = scarcity.for_replica_change(model, -1);
            *model != scarcest.model
                && replica.head_phase == Some(Phase::Open)
                && scarcity.for_replica_change(&scarcest.model, 1)
                    > after * DONOR_SCARCITY_RATIO / 1.2
                && scarcity.for_replica_change(&scarcest.model, 0) > after * DONOR_SCARCITY_RATIO
        });
        let donor = donors
            .filter(|replica| {
                let usable = replica
                    .members
                    .values()
                    .chain(replica.free_in_domain(engines, free))
                    .filter(|id| !engines[*id].needs_load(&scarcest.model));
                usable.count() >= scarcest.replica_size
            })
            .min_by_key(|replica| replica.members.len());
        if let Some((replica, head)) = donor.and_then(|r| Some((r, r.members.get(&0)?))) {
            commands.push((head.clone(), replica.close_command(false)));
            self.reclaimed.insert(replica.key());
            self.events.push(Event::ReplicaReclaimed {
                replica: replica.replica.clone(),
                scarcer: scarcest.model.clone(),
                scarcity: scarcity.for_replica_change(&scarcest.model, 0),
            });
        }
    }
}
