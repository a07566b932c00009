//! The pace of proposals, and what earlier losses and loads took.

use crate::{
    Phase, Settings, View,
    snapshot::{Fate, Group, Survey},
};
use clock::Moment;
use name::{Generation, Instance, Offset, Replica};
use state::{Change, State};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// The largest rank that adds to a node's delay.
const MAX_RANK: u32 = 20;

/// The weight of the latest of the measured times, as a divisor.
const SMOOTHING: u32 = 5;

/// A change that the present situation calls for.
#[derive(Debug)]
pub(crate) struct Want {
    pub(crate) replica: Replica,
    pub(crate) base: Generation,
    pub(crate) change: Change,
    /// How long the situation must have lasted.
    pub(crate) delay: Duration,
    /// Whether the change touches a replica that exists.
    pub(crate) reform: bool,
}

/// When a change was first called for, and when it was last proposed.
#[derive(Debug, Clone)]
struct Wanted {
    base: Generation,
    first: Moment,
    sent: Option<Moment>,
    reform: bool,
}

/// A member's absence.
#[derive(Debug, Clone, Copy)]
struct Absence {
    since: Moment,
    /// Whether it was lost, and not just unseen for a moment.
    lost: bool,
}

/// Remembers between calls of [`propose`](crate::propose) what paces them.
#[derive(Debug, Clone)]
pub struct Pacer {
    settings: Settings,
    offset: Option<Offset>,
    known: BTreeMap<Replica, Generation>,
    spent: VecDeque<Moment>,
    wanted: BTreeMap<Replica, Wanted>,
    absent: BTreeMap<Instance, Absence>,
    loading: BTreeMap<Instance, Moment>,
    ages: BTreeMap<Replica, (Generation, Moment)>,
    draining: BTreeMap<Replica, Moment>,
    called: Moment,
    back: Duration,
    load: Duration,
}

impl Pacer {
    /// Returns a pacer without history.
    pub fn new(settings: Settings) -> Self {
        let (back, load) = (settings.back, settings.load);
        Self {
            settings,
            offset: None,
            known: BTreeMap::new(),
            spent: VecDeque::new(),
            wanted: BTreeMap::new(),
            absent: BTreeMap::new(),
            loading: BTreeMap::new(),
            ages: BTreeMap::new(),
            draining: BTreeMap::new(),
            called: Moment::START,
            back,
            load,
        }
    }

    /// Returns the measured time until a lost member is back.
    pub fn back(&self) -> Duration {
        self.back
    }

    /// Returns the measured time of a weight load.
    pub fn load(&self) -> Duration {
        self.load
    }

    /// Returns for how long a member has not been present.
    pub(crate) fn absent(&self, instance: &Instance, now: Moment) -> Duration {
        self.absent
            .get(instance)
            .map(|absence| now.since(absence.since))
            .unwrap_or_default()
    }

    /// Returns for how long the instance has been loading.
    pub(crate) fn loading(&self, instance: &Instance, now: Moment) -> Duration {
        self.loading
            .get(instance)
            .map(|since| now.since(*since))
            .unwrap_or_default()
    }

    /// Returns for how long the replica's generation has been in force.
    pub(crate) fn age(&self, replica: &Replica, now: Moment) -> Duration {
        self.ages
            .get(replica)
            .map(|(_, since)| now.since(*since))
            .unwrap_or_default()
    }

    /// Returns whether a replica without new work has finished what it had.
    pub(crate) fn is_drained(&self, replica: &Replica, busy: bool, now: Moment) -> bool {
        let Some(since) = self.draining.get(replica) else {
            return false;
        };
        let span = now.since(*since);
        let least = self.settings.drain_least;
        span >= self.settings.drain_limit || (span >= least && !busy)
    }

    /// Takes note of what changed since the last call.
    ///
    /// After a pause of this node, and while it is blind, nothing counts as
    /// having lasted.
    pub(crate) fn observe(&mut self, state: &State, view: &View, survey: &Survey<'_>, now: Moment) {
        if survey.is_blind() || now.since(self.called) > self.settings.pause {
            self.wanted.clear();
        }
        self.called = now;
        self.count_reforms(state, now);
        self.note_absences(survey, now);
        self.note_loads(view, now);
        self.note_drains(survey, now);
    }

    /// Counts the accepted re-forms, whoever proposed them.
    fn count_reforms(&mut self, state: &State, now: Moment) {
        let window = self.settings.reform_window;
        while self.spent.front().is_some_and(|at| now.since(*at) > window) {
            self.spent.pop_front();
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
                .known
                .iter()
                .filter(|(r, g)| current.get(*r) != Some(*g))
                .count();
            self.spent.extend(std::iter::repeat_n(now, changed));
        }
        self.ages.retain(|r, (g, _)| current.get(r) == Some(g));
        for (replica, generation) in &current {
            self.ages
                .entry(replica.clone())
                .or_insert((*generation, now));
        }
        self.known = current;
        self.offset = Some(state.offset);
    }

    /// Learns how long lost members stay away.
    fn note_absences(&mut self, survey: &Survey<'_>, now: Moment) {
        let mut absent = BTreeMap::new();
        for (instance, fate) in survey.groups.iter().flat_map(Group::members) {
            let before = self.absent.get(instance).copied();
            if matches!(fate, Fate::Unseen | Fate::Lost | Fate::Gone) {
                let mut absence = before.unwrap_or(Absence {
                    since: now,
                    lost: false,
                });
                absence.lost |= fate.is_dead();
                absent.insert(instance.clone(), absence);
            } else if let Some(absence) = before.filter(|a| a.lost) {
                self.back = smoothed(self.back, now.since(absence.since));
            }
        }
        self.absent = absent;
    }

    /// Learns how long loads take.
    fn note_loads(&mut self, view: &View, now: Moment) {
        let mut loading = BTreeMap::new();
        for (instance, seen) in view.iter() {
            let Some(report) = seen.fresh(&self.settings, now) else {
                continue;
            };
            let before = self.loading.get(instance).copied();
            match (report.phase, before) {
                (Phase::Loading, _) => {
                    loading.insert(instance.clone(), before.unwrap_or(now));
                }
                (Phase::Joining | Phase::Ready, Some(since)) => {
                    self.load = smoothed(self.load, now.since(since));
                }
                _ => {}
            }
        }
        self.loading = loading;
    }

    /// Notes since when replicas get no new work for a planned reason.
    fn note_drains(&mut self, survey: &Survey<'_>, now: Moment) {
        let draining: BTreeSet<_> = survey
            .groups
            .iter()
            .filter(|g| {
                g.fates
                    .iter()
                    .any(|f| matches!(f, Fate::Leaving | Fate::Out))
            })
            .map(|g| g.replica)
            .collect();
        self.draining.retain(|r, _| draining.contains(r));
        for replica in draining {
            self.draining.entry(replica.clone()).or_insert(now);
        }
    }

    /// Returns the changes that are due on a node of the given rank.
    ///
    /// A change is due when it was called for without a gap for its delay and
    /// the rank's. Re-forms are limited for each window by what the state shows
    /// as accepted, so that the limit holds over all nodes together.
    pub(crate) fn admit(&mut self, wants: Vec<Want>, rank: usize, now: Moment) -> Vec<Change> {
        self.forget_unwanted(&wants);
        let rank = u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        let backoff = self.settings.rank_step * rank;
        let mut budget = self.budget(now);
        let mut forms = self.settings.forms;
        let mut due = Vec::new();
        for want in wants {
            let wanted = self.wanted.entry(want.replica).or_insert(Wanted {
                base: want.base,
                first: now,
                sent: None,
                reform: want.reform,
            });
            let ripe = now.since(wanted.first) >= want.delay.saturating_add(backoff);
            let rested = wanted
                .sent
                .is_none_or(|at| now.since(at) >= self.settings.repropose);
            let left = if want.reform { &mut budget } else { &mut forms };
            if ripe && rested && *left > 0 {
                *left -= 1;
                wanted.sent = Some(now);
                due.push(want.change);
            }
        }
        due
    }

    /// Forgets what is no longer called for.
    fn forget_unwanted(&mut self, wants: &[Want]) {
        let keys: BTreeMap<_, _> = wants.iter().map(|w| (&w.replica, w.base)).collect();
        self.wanted
            .retain(|replica, w| keys.get(replica) == Some(&w.base));
    }

    /// Returns the number of re-forms that may still be proposed.
    fn budget(&self, now: Moment) -> usize {
        let replicas = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        let limit = (replicas / self.settings.reform_per).max(self.settings.reform_floor);
        let outstanding = self.wanted.values().filter(|w| w.reform).filter(|w| {
            w.sent
                .is_some_and(|at| now.since(at) < self.settings.repropose)
        });
        (limit as usize).saturating_sub(self.spent.len() + outstanding.count())
    }
}

/// Returns the moving average after one more measured time.
fn smoothed(average: Duration, latest: Duration) -> Duration {
    (average * (SMOOTHING - 1) + latest) / SMOOTHING
}
