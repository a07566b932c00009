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
    let members = replica.members.values();
    let sound = members.filter(|id| engines[*id].is_sound()).count();
    let idle = replica.free_beside(engines, free).iter();
    let ready = idle.filter(|id| !engines[*id].needs_load(&weights.model));
    sound + ready.count() >= weights.size
}

/// Returns whether a command closes a replica.
fn is_closing((_, command): &(Instance, Command)) -> bool {
    matches!(command, Command::Close { .. })
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
        let key = replica.key();
        let head = replica.members.get(&0);
        let is_given_up = self.is_given_up(replica);
        if replica.is_sound && replica.is_complete(rates.engine) && !is_given_up {
            let is_openable = replica.head == Some(Phase::Ready) && replica.is_ready;
            if let (true, Some(head)) = (is_openable, head) {
                wanted.push((head.clone(), replica.open()));
            }
            if replica.head != Some(Phase::Broken) {
                return;
            }
        }
        // Members without an entry may be cut off from the store only: while they
        // answer, a replica that serves is kept until it can be formed without them,
        // one such replica at a time.
        let is_kept = replica.is_unlisted
            && replica.head == Some(Phase::Open)
            && replica.is_complete(rates.engine)
            && !is_given_up;
        let last = self.replaced.as_ref();
        if is_kept && last.is_none_or(|(last, _)| *last != key) {
            let is_closed = last.is_some_and(|(_, at)| now.since(*at) < CLOSING);
            let is_changing = is_closed || self.is_changing(wanted);
            if is_changing || !can_replace(replica, engines, rates, free) {
                return;
            }
            self.replaced = Some((key.clone(), now));
        }
        // Members of a replica that is still being joined report it one by one.
        let since = *self.incomplete.entry(key).or_insert(now);
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
                // Without a dead member, it finishes what it has.
                wanted.push((head.clone(), replica.close(replica.has_dead)));
                if replica.has_dead {
                    self.set_free(replica, engines, free);
                }
            }
            (Some(Phase::Closing), Some(head)) if replica.has_dead || is_overdue => {
                wanted.push((head.clone(), replica.close(true)));
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
                    wanted.push((id.clone(), replica.leave()));
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
        let forming = self.forming();
        let members = replica.members.values().map(|id| &engines[id]);
        for engine in members.filter(|e| e.is_joinable() && !forming.contains(e.id())) {
            let fabric = engine.fabric().cloned();
            free.entry(fabric).or_default().push(engine.id().clone());
        }
    }

    /// Returns whether replicas are being formed or closed.
    fn is_changing(&self, wanted: &[(Instance, Command)]) -> bool {
        !self.formations.is_empty() || wanted.iter().any(is_closing)
    }

    /// Returns whether a replica was closed for the sake of a scarcer model.
    pub(crate) fn is_given_up(&self, replica: &Reported) -> bool {
        self.given_up.contains(&replica.key())
    }

    /// Returns whether a head may be open though it is not reported so: an order
    /// to open may still be under way, and reports are some hundred ms old.
    fn may_have_opened(
        &self,
        head: &Instance,
        replica: &Reported,
        engines: &HashMap<Instance, Engine>,
    ) -> bool {
        let opened = self.opened.get(&replica.key());
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
        if self.is_changing(wanted) {
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
                let usable = replica
                    .members
                    .values()
                    .chain(replica.free_beside(engines, free))
                    .filter(|id| !engines[*id].needs_load(&scarcest.model));
                usable.count() >= scarcest.size
            })
            .min_by_key(|replica| replica.members.len());
        if let Some((replica, head)) = donor.and_then(|r| Some((r, r.members.get(&0)?))) {
            wanted.push((head.clone(), replica.close(false)));
            self.given_up.insert(replica.key());
            self.notes.push(Note::GiveUp {
                replica: replica.replica.clone(),
                scarcer: scarcest.model.clone(),
                scarcity: scarcity.with(&scarcest.model, 0),
            });
        }
    }
}
