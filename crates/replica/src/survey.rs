//! One pass over state and view, as the start of every proposal.

use crate::{Listing, Pacer, Phase, Report, Seen, View, serve};
use clock::Moment;
use name::{Instance, Replica};
use state::{Assignment, State};
use std::collections::HashSet;

/// What has become of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It reports, whatever it reports.
    Present,
    /// It is silent here, but not suspected.
    Unseen,
    /// Two watchers suspect it.
    Lost,
    /// It is silent, and the platform's list dropped it or says that it leaves.
    Gone,
    /// It is about to leave.
    Leaving,
    /// Operators have taken it out.
    Out,
}

impl Fate {
    /// Returns whether the member can be kept.
    pub(crate) fn stays(self) -> bool {
        matches!(self, Self::Present | Self::Unseen)
    }

    /// Returns whether the member cannot serve any more.
    pub(crate) fn is_dead(self) -> bool {
        matches!(self, Self::Lost | Self::Gone)
    }
}

/// A replica with the fates of its members.
#[derive(Debug)]
pub(crate) struct Group<'a> {
    pub(crate) replica: &'a Replica,
    pub(crate) assignment: &'a Assignment,
    pub(crate) fates: Vec<Fate>,
    pub(crate) servable: bool,
    /// Whether the lead reports requests in progress.
    pub(crate) busy: bool,
}

impl Group<'_> {
    /// Returns the members that can be kept.
    pub(crate) fn kept(&self) -> impl Iterator<Item = &Instance> {
        self.members().filter(|(_, f)| f.stays()).map(|(i, _)| i)
    }

    /// Returns the members with their fates.
    pub(crate) fn members(&self) -> impl Iterator<Item = (&Instance, Fate)> {
        self.assignment
            .members
            .iter()
            .zip(self.fates.iter().copied())
    }

    /// Returns whether all members can be kept.
    pub(crate) fn is_whole(&self) -> bool {
        self.fates.iter().all(|f| f.stays())
    }

    /// Returns whether some member cannot serve any more.
    pub(crate) fn is_broken(&self) -> bool {
        self.fates.iter().any(|f| f.is_dead())
    }
}

/// A free instance that could become a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Free<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) seen: &'a Seen,
    pub(crate) report: &'a Report,
}

/// The replicas and the free instances.
#[derive(Debug)]
pub(crate) struct Survey<'a> {
    pub(crate) groups: Vec<Group<'a>>,
    /// The free instances, by name.
    pub(crate) free: Vec<Free<'a>>,
}

impl<'a> Survey<'a> {
    /// Looks at every assigned member and every instance once.
    pub(crate) fn new(state: &'a State, view: &'a View, pacer: &Pacer, now: Moment) -> Self {
        let mut held = HashSet::new();
        let mut groups = Vec::with_capacity(state.assignments.len());
        for (replica, assignment) in &state.assignments {
            held.extend(&assignment.members);
            let fates = assignment.members.iter();
            let lead = assignment.members.first();
            let busy = lead
                .and_then(|i| view.fresh(i, now))
                .is_some_and(|r| r.running > 0 && r.generation == assignment.generation);
            groups.push(Group {
                replica,
                assignment,
                fates: fates.map(|i| fate(state, view, pacer, i, now)).collect(),
                servable: serve::judge(state, view, replica, assignment, now).is_ok(),
                busy,
            });
        }
        let mut free: Vec<_> = view
            .iter()
            .filter(|(instance, _)| !held.contains(instance))
            .filter_map(|(instance, seen)| free(state, view, instance, seen, now))
            .collect();
        free.sort_by_key(|f| f.instance);
        Self { groups, free }
    }

    /// Returns whether this node sees too little to judge others.
    ///
    /// Then it is more likely cut off itself than that most instances are lost.
    pub(crate) fn is_blind(&self) -> bool {
        let fates = || self.groups.iter().flat_map(|g| &g.fates);
        let seen = fates().filter(|f| matches!(f, Fate::Present | Fate::Leaving | Fate::Out));
        seen.count() * 2 < fates().count()
    }
}

/// Returns what has become of a member.
fn fate(state: &State, view: &View, pacer: &Pacer, instance: &Instance, now: Moment) -> Fate {
    let settings = view.settings();
    let absent = pacer.absent(instance, now);
    let Some(seen) = view.get(instance) else {
        return if absent > settings.gone_after {
            Fate::Gone
        } else {
            Fate::Unseen
        };
    };
    if state.is_taken_out(instance, &seen.domain) {
        return Fate::Out;
    }
    let report = seen.fresh(settings, now);
    let fresh = report.is_some();
    let suspected = seen.suspected(now);
    match (seen.listing, fresh) {
        (Listing::Leaving, true) => Fate::Leaving,
        (Listing::Leaving, false) => Fate::Gone,
        _ if seen.is_gone(settings.gone_after, now) => Fate::Gone,
        (_, true) if suspected && absent > settings.vote_life * 3 => Fate::Lost,
        (_, true) if suspected => Fate::Unseen,
        // The state still assigns it, so that it leaves by its own decision.
        (_, true) if report.is_some_and(|r| r.phase == Phase::Leaving) => Fate::Leaving,
        (_, true) => Fate::Present,
        (_, false) if suspected => Fate::Lost,
        (_, false) => Fate::Unseen,
    }
}

/// Returns the instance if it could become a member.
fn free<'a>(
    state: &State,
    view: &View,
    instance: &'a Instance,
    seen: &'a Seen,
    now: Moment,
) -> Option<Free<'a>> {
    let report = seen.fresh(view.settings(), now)?;
    let usable = seen.listing == Listing::Live
        && report.phase != Phase::Leaving
        && !seen.suspected(now)
        && !state.is_taken_out(instance, &seen.domain);
    usable.then_some(Free {
        instance,
        seen,
        report,
    })
}
