//! Rate limits and delays of proposals, and measured return and load times.

use crate::{
    Phase, Settings, View,
    snapshot::{Group, MemberStatus, Snapshot},
};
use clock::Moment;
use name::{Generation, Instance, Offset, Replica};
use state::{Change, State};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// The rank above which the delay of a node no longer grows.
const MAX_RANK: u32 = 20;

/// The weight of the latest sample in the moving average, as a divisor.
const SAMPLE_WEIGHT_DIVISOR: u32 = 5;

/// A change of the assignments that becomes due once its delay has passed.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) replica: Replica,
    pub(crate) base: Generation,
    pub(crate) change: Change,
    /// How long the proposal must be collected without interruption before it is due.
    pub(crate) delay: Duration,
    /// Whether the change reconfigures an existing replica.
    pub(crate) is_reconfiguration: bool,
}

/// Since when a proposal has been collected in every call, and when it was last due.
#[derive(Debug, Clone)]
struct PendingProposal {
    base: Generation,
    since: Moment,
    last_proposed: Option<Moment>,
    is_reconfiguration: bool,
}

/// A member's absence.
#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Moment,
    /// Whether the member counted as failed, and not only as without fresh reports.
    is_lost: bool,
}

/// Delays and rate-limits proposals between calls of [`propose`](fn@crate::propose).
#[derive(Debug, Clone)]
pub struct Pacer {
    settings: Settings,
    offset: Option<Offset>,
    generations: BTreeMap<Replica, Generation>,
    recent_reconfigurations: VecDeque<Moment>,
    pending: BTreeMap<Replica, PendingProposal>,
    absences: BTreeMap<Instance, Absence>,
    loading_since: BTreeMap<Instance, Moment>,
    in_force_since: BTreeMap<Replica, (Generation, Moment)>,
    draining_since: BTreeMap<Replica, Moment>,
    last_call: Moment,
    return_time: Duration,
    load_time: Duration,
}

impl Pacer {
    /// Returns a pacer without history.
    pub fn new(settings: Settings) -> Self {
        let (return_time, load_time) = (settings.initial_return_time, settings.initial_load_time);
        Self {
            settings,
            offset: None,
            generations: BTreeMap::new(),
            recent_reconfigurations: VecDeque::new(),
            pending: BTreeMap::new(),
            absences: BTreeMap::new(),
            loading_since: BTreeMap::new(),
            in_force_since: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            last_call: Moment::START,
            return_time,
            load_time,
        }
    }

    /// Returns the average time until a lost member returns.
    pub fn return_time(&self) -> Duration {
        self.return_time
    }

    /// Returns the average time of a weight load.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Returns how long a member has been absent, or zero if it is present.
    pub(crate) fn absent_for(&self, instance: &Instance, now: Moment) -> Duration {
        self.absences
            .get(instance)
            .map(|absence| now.since(absence.since))
            .unwrap_or_default()
    }

    /// Returns how long the instance has been loading, or zero if it is not.
    pub(crate) fn loading_for(&self, instance: &Instance, now: Moment) -> Duration {
        self.loading_since
            .get(instance)
            .map(|since| now.since(*since))
            .unwrap_or_default()
    }

    /// Returns how long the current generation of the replica has been in force.
    pub(crate) fn in_force_for(&self, replica: &Replica, now: Moment) -> Duration {
        self.in_force_since
            .get(replica)
            .map(|(_, since)| now.since(*since))
            .unwrap_or_default()
    }

    /// Returns whether a draining replica has finished its requests or timed out.
    pub(crate) fn is_drained(&self, replica: &Replica, is_busy: bool, now: Moment) -> bool {
        let Some(since) = self.draining_since.get(replica) else {
            return false;
        };
        let span = now.since(*since);
        let min = self.settings.min_drain;
        span >= self.settings.max_drain || (span >= min && !is_busy)
    }

    /// Updates the history from the present state, view and snapshot.
    ///
    /// After a pause of this node, and while it is isolated, the delays of all
    /// pending proposals start again.
    pub(crate) fn observe(
        &mut self,
        state: &State,
        view: &View,
        snapshot: &Snapshot<'_>,
        now: Moment,
    ) {
        if snapshot.is_isolated() || now.since(self.last_call) > self.settings.pause_threshold {
            self.pending.clear();
        }
        self.last_call = now;
        self.count_reconfigurations(state, now);
        self.update_absences(snapshot, now);
        self.update_load_times(view, now);
        self.update_drains(snapshot, now);
    }

    /// Counts the accepted reconfigurations, whichever node proposed them.
    fn count_reconfigurations(&mut self, state: &State, now: Moment) {
        let window = self.settings.reconfiguration_window;
        while self
            .recent_reconfigurations
            .front()
            .is_some_and(|at| now.since(*at) > window)
        {
            self.recent_reconfigurations.pop_front();
        }
        if self.offset == Some(state.offset) {
            return;
        }
        let current: BTreeMap<_, _> = state
            .assignments
            .iter()
            .map(|(r, a)| (r.clone(), a.generation))
            .collect();
        if self.offset.is_some() {
            let changed = self
                .generations
                .iter()
                .filter(|(r, g)| current.get(*r) != Some(*g))
                .count();
            self.recent_reconfigurations
                .extend(std::iter::repeat_n(now, changed));
        }
        self.in_force_since
            .retain(|r, (g, _)| current.get(r) == Some(g));
        for (replica, generation) in &current {
            self.in_force_since
                .entry(replica.clone())
                .or_insert((*generation, now));
        }
        self.generations = current;
        self.offset = Some(state.offset);
    }

    /// Updates the absences of members, and the average time until a lost one returns.
    fn update_absences(&mut self, snapshot: &Snapshot<'_>, now: Moment) {
        let mut absences = BTreeMap::new();
        for (instance, status) in snapshot.groups.iter().flat_map(Group::members) {
            let before = self.absences.get(instance).copied();
            if matches!(
                status,
                MemberStatus::Silent | MemberStatus::Lost | MemberStatus::Removed
            ) {
                let mut absence = before.unwrap_or(Absence {
                    since: now,
                    is_lost: false,
                });
                absence.is_lost |= status.is_failed();
                absences.insert(instance.clone(), absence);
            } else if let Some(absence) = before.filter(|a| a.is_lost) {
                self.return_time = moving_average(self.return_time, now.since(absence.since));
            }
        }
        self.absences = absences;
    }

    /// Updates the loads in progress, and the average time of a load.
    fn update_load_times(&mut self, view: &View, now: Moment) {
        let mut loading_since = BTreeMap::new();
        for (instance, status) in view.iter() {
            let Some(report) = status.fresh_report(&self.settings, now) else {
                continue;
            };
            let before = self.loading_since.get(instance).copied();
            match (report.phase, before) {
                (Phase::Loading, _) => {
                    loading_since.insert(instance.clone(), before.unwrap_or(now));
                }
                (Phase::Joining | Phase::Ready, Some(since)) => {
                    self.load_time = moving_average(self.load_time, now.since(since));
                }
                _ => {}
            }
        }
        self.loading_since = loading_since;
    }

    /// Updates since when replicas have had a member that is leaving or taken out.
    fn update_drains(&mut self, snapshot: &Snapshot<'_>, now: Moment) {
        let draining: BTreeSet<_> = snapshot
            .groups
            .iter()
            .filter(|g| {
                g.statuses
                    .iter()
                    .any(|s| matches!(s, MemberStatus::Leaving | MemberStatus::TakenOut))
            })
            .map(|g| g.replica)
            .collect();
        self.draining_since.retain(|r, _| draining.contains(r));
        for replica in draining {
            self.draining_since.entry(replica.clone()).or_insert(now);
        }
    }

    /// Returns the changes that are due on a node of the given rank.
    ///
    /// A change is due once it has been among `proposals` in every call for its own
    /// delay plus that of the rank. The limit on reconfigurations in each window counts
    /// those that the state shows as accepted, so that it holds for all nodes
    /// together.
    pub(crate) fn due_changes(
        &mut self,
        proposals: Vec<Proposal>,
        rank: usize,
        now: Moment,
    ) -> Vec<Change> {
        self.discard_withdrawn(&proposals);
        let rank = u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        let backoff = self.settings.delay_per_rank * rank;
        let mut reconfigurations = self.reconfigurations_left(now);
        let mut forms = self.settings.max_forms_per_call;
        let mut due = Vec::new();
        for proposal in proposals {
            let pending = self
                .pending
                .entry(proposal.replica)
                .or_insert(PendingProposal {
                    base: proposal.base,
                    since: now,
                    last_proposed: None,
                    is_reconfiguration: proposal.is_reconfiguration,
                });
            let has_waited = now.since(pending.since) >= proposal.delay.saturating_add(backoff);
            let may_repeat = pending
                .last_proposed
                .is_none_or(|at| now.since(at) >= self.settings.repropose_after);
            let allowance = if proposal.is_reconfiguration {
                &mut reconfigurations
            } else {
                &mut forms
            };
            if has_waited && may_repeat && *allowance > 0 {
                *allowance -= 1;
                pending.last_proposed = Some(now);
                due.push(proposal.change);
            }
        }
        due
    }

    /// Discards pending proposals that are not among `proposals`.
    fn discard_withdrawn(&mut self, proposals: &[Proposal]) {
        let keys: BTreeMap<_, _> = proposals.iter().map(|p| (&p.replica, p.base)).collect();
        self.pending
            .retain(|replica, p| keys.get(replica) == Some(&p.base));
    }

    /// Returns the number of reconfigurations that may still be proposed in this window.
    fn reconfigurations_left(&self, now: Moment) -> usize {
        let replicas = u32::try_from(self.generations.len()).unwrap_or(u32::MAX);
        let limit = (replicas / self.settings.replicas_per_reconfiguration)
            .max(self.settings.min_reconfigurations);
        let outstanding = self
            .pending
            .values()
            .filter(|p| p.is_reconfiguration)
            .filter(|p| {
                p.last_proposed
                    .is_some_and(|at| now.since(at) < self.settings.repropose_after)
            });
        (limit as usize).saturating_sub(self.recent_reconfigurations.len() + outstanding.count())
    }
}

/// Returns the moving average after one more sample.
fn moving_average(average: Duration, latest: Duration) -> Duration {
    (average * (SAMPLE_WEIGHT_DIVISOR - 1) + latest) / SAMPLE_WEIGHT_DIVISOR
}
