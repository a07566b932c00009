//! Replicas that exist: which are opened, taken apart or given up.

use crate::{
    Engine, Note, Rates,
    formation::Formation,
    need::Scarcity,
    planner::{Free, Planner},
    replica::Reported,
};
use clock::Moment;
use name::Instance;
use site::{order::Command, server::Phase};
use std::{collections::HashMap, time::Duration};

/// How long after an order to open its effect may be missing from reports: the
/// time of a call that is given up, and the age of a report.
const SETTLED_AFTER: Duration = Duration::from_millis(700);

/// How long a replica that an earlier planner began may stay incomplete.
const INHERITED: Duration = Duration::from_millis(1_500);

/// The time from the order to close a replica until its members are formed anew,
/// so that no other one is closed meanwhile for the same reason.
const CLOSING: Duration = Duration::from_millis(1_000);

/// How long a replica may finish what it has after a member's entry went.
///
/// Usual streams end within two to four seconds.
const FINISHING: Duration = Duration::from_millis(3_000);

/// How much scarcer a model must be than another one, after the change, for a
/// serving replica of the other one to be given up.
///
/// The hysteresis keeps engines from moving to and fro with the demand.
const DONOR_FACTOR: f64 = 1.6;

/// Returns whether a replica could be formed anew from the sound ones of its
/// members and of the free engines beside them, without a load.
fn can_replace(
    replica: &Reported,
    engines: &HashMap<Instance, Engine>,
    rates: &Rates<'_>,
    free: &Free,
) -> bool {
    let Some(weights) = replica.model.as_ref().and_then(|m| rates.engine.weights(m)) else {
        return false;
    };
    let members = || replica.members.values().map(|id| &engines[id]);
    let fabric = members().next().and_then(|e| e.fabric().cloned());
    let idle = free.get(&fabric).map_or(&[][..], Vec::as_slice);
    let idle = idle.iter().map(|id| &engines[id]);
    let ready = idle.filter(|e| !e.needs_load(&weights.model)).count();
    members().filter(|e| e.is_sound()).count() + ready >= weights.size
}

impl Planner {
    /// Opens a complete replica, and takes an incomplete one apart.
    pub(crate) fn look_at(
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
        // Members without an entry may be cut off from the store only: while they
        // answer, a replica that serves is kept until it can be formed without them,
        // one such replica at a time.
        let is_closing = |c: &(Instance, Command)| matches!(c.1, Command::Close { .. });
        let is_closed = self
            .replaced
            .as_ref()
            .is_some_and(|(_, at)| now.since(*at) < CLOSING);
        let is_changing = is_closed || !self.formations.is_empty() || wanted.iter().any(is_closing);
        let is_kept = replica.is_unlisted
            && replica.head == Some(Phase::Open)
            && replica.is_complete(rates.engine)
            && !is_given_up;
        if is_kept {
            let key = (name.clone(), generation);
            let is_replaced = self.replaced.as_ref().is_some_and(|(last, _)| *last == key);
            if !is_replaced {
                if is_changing || !can_replace(replica, engines, rates, free) {
                    return;
                }
                self.replaced = Some((key, now));
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
        // One that lost a member unnoticed stands still and never finishes.
        let is_overdue =
            !is_given_up && !replica.is_complete(rates.engine) && now.since(since) > FINISHING;
        match (replica.head, head) {
            (Some(Phase::Open), Some(head)) => {
                let close = Command::Close {
                    replica: name,
                    generation,
                    // Without a dead member, it finishes what it has.
                    is_abrupt: replica.has_dead,
                };
                wanted.push((head.clone(), close));
                if replica.has_dead {
                    self.set_free(replica, engines, free);
                }
            }
            (Some(Phase::Closing), Some(head)) if replica.has_dead || is_overdue => {
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
                self.set_free(replica, engines, free);
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
                if replica.has_dead {
                    self.set_free(replica, engines, free);
                }
            }
        }
    }

    /// Adds the members of a replica to the engines that can form another one.
    ///
    /// Their joins are held back while the head may serve, but other members of
    /// the new replica can begin.
    fn set_free(&self, replica: &Reported, engines: &HashMap<Instance, Engine>, free: &mut Free) {
        let is_taken = |e: &&Engine| self.formations.iter().any(|f| f.members.contains(e.id()));
        let members = replica.members.values().map(|id| &engines[id]);
        let usable =
            members.filter(|e| e.is_sound() && e.has_reported() && e.is_allowed && !is_taken(e));
        for engine in usable {
            let fabric = engine.fabric().cloned();
            free.entry(fabric).or_default().push(engine.id().clone());
        }
    }

    /// Returns whether a replica was closed for the sake of a scarcer model.
    pub(crate) fn is_given_up(&self, replica: &Reported) -> bool {
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

    /// Gives up a serving replica whose engines a scarcer model needs more.
    pub(crate) fn give_up(
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
}
