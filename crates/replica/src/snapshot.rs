//! The status of all replicas and free instances, computed once per call of `propose`.

use crate::{InstanceStatus, ListingState, Pacer, Phase, Report, View, serve};
use clock::Moment;
use name::{Instance, Replica};
use state::{Assignment, State};
use std::collections::HashSet;

/// The status of a member, as the planning of repairs uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberStatus {
    /// The member has a fresh report.
    Present,
    /// The member has no fresh report or is newly suspected, and may still be alive.
    Silent,
    /// Watchers in two failure domains suspect the member.
    Lost,
    /// The member has no fresh report and is unlisted or listed as leaving.
    Removed,
    /// The member reports, and is leaving.
    Leaving,
    /// Operators have taken out the member or its failure domain.
    TakenOut,
}

impl MemberStatus {
    /// Returns whether the member can be retained in its replica.
    pub(crate) fn is_retained(self) -> bool {
        matches!(self, Self::Present | Self::Silent)
    }

    /// Returns whether the member counts as failed.
    pub(crate) fn is_failed(self) -> bool {
        matches!(self, Self::Lost | Self::Removed)
    }
}

/// An assigned replica with the status of each member.
#[derive(Debug)]
pub(crate) struct Group<'a> {
    pub(crate) replica: &'a Replica,
    pub(crate) assignment: &'a Assignment,
    pub(crate) statuses: Vec<MemberStatus>,
    pub(crate) is_servable: bool,
    /// Whether the lead reports requests in progress.
    pub(crate) is_busy: bool,
}

impl Group<'_> {
    /// Returns the members that can be retained.
    pub(crate) fn retained(&self) -> impl Iterator<Item = &Instance> {
        self.members()
            .filter(|(_, s)| s.is_retained())
            .map(|(i, _)| i)
    }

    /// Returns the members, each with its status.
    pub(crate) fn members(&self) -> impl Iterator<Item = (&Instance, MemberStatus)> {
        self.assignment
            .members
            .iter()
            .zip(self.statuses.iter().copied())
    }

    /// Returns whether all members can be retained.
    pub(crate) fn is_intact(&self) -> bool {
        self.statuses.iter().all(|s| s.is_retained())
    }

    /// Returns whether at least one member counts as failed.
    pub(crate) fn has_failed_member(&self) -> bool {
        self.statuses.iter().any(|s| s.is_failed())
    }
}

/// An instance that is free to become a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FreeInstance<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) status: &'a InstanceStatus,
    pub(crate) report: &'a Report,
}

/// The assigned replicas and the free instances.
#[derive(Debug)]
pub(crate) struct Snapshot<'a> {
    pub(crate) groups: Vec<Group<'a>>,
    /// The free instances, sorted by name.
    pub(crate) free: Vec<FreeInstance<'a>>,
}

impl<'a> Snapshot<'a> {
    /// Computes the status of every assigned member and the free instances.
    pub(crate) fn new(state: &'a State, view: &'a View, pacer: &Pacer, now: Moment) -> Self {
        let mut assigned = HashSet::new();
        let mut groups = Vec::with_capacity(state.assignments.len());
        for (replica, assignment) in &state.assignments {
            assigned.extend(&assignment.members);
            let statuses = assignment.members.iter();
            let lead = assignment.members.first();
            let is_busy = lead
                .and_then(|i| view.fresh_report(i, now))
                .is_some_and(|r| r.running > 0 && r.generation == assignment.generation);
            groups.push(Group {
                replica,
                assignment,
                statuses: statuses
                    .map(|i| member_status(state, view, pacer, i, now))
                    .collect(),
                is_servable: serve::check_replica(state, view, replica, assignment, now).is_ok(),
                is_busy,
            });
        }
        let mut free: Vec<_> = view
            .iter()
            .filter(|(instance, _)| !assigned.contains(instance))
            .filter_map(|(instance, status)| free_instance(state, view, instance, status, now))
            .collect();
        free.sort_by_key(|f| f.instance);
        Self { groups, free }
    }

    /// Returns whether fewer than half of the assigned members report or are taken out.
    ///
    /// It is then more likely that this node is cut off than that most instances
    /// failed, so that the node must propose nothing.
    pub(crate) fn is_isolated(&self) -> bool {
        let statuses = || self.groups.iter().flat_map(|g| &g.statuses);
        let reporting = statuses().filter(|s| {
            matches!(
                s,
                MemberStatus::Present | MemberStatus::Leaving | MemberStatus::TakenOut
            )
        });
        reporting.count() * 2 < statuses().count()
    }
}

/// Returns the status of a member.
fn member_status(
    state: &State,
    view: &View,
    pacer: &Pacer,
    instance: &Instance,
    now: Moment,
) -> MemberStatus {
    let settings = view.settings();
    let absent_for = pacer.absent_for(instance, now);
    let Some(status) = view.get(instance) else {
        return if absent_for > settings.gone_after {
            MemberStatus::Removed
        } else {
            MemberStatus::Silent
        };
    };
    if state.is_taken_out(instance, &status.domain) {
        return MemberStatus::TakenOut;
    }
    let report = status.fresh_report(settings, now);
    let is_fresh = report.is_some();
    let is_suspected = status.is_suspected(now);
    match (status.listing, is_fresh) {
        (ListingState::Leaving, true) => MemberStatus::Leaving,
        (ListingState::Leaving, false) => MemberStatus::Removed,
        _ if status.is_gone(settings.gone_after, now) => MemberStatus::Removed,
        (_, true) if is_suspected && absent_for > settings.vote_lifetime * 3 => MemberStatus::Lost,
        (_, true) if is_suspected => MemberStatus::Silent,
        // No order to leave was due while the state assigns the instance: the engine
        // is stopping on its own.
        (_, true) if report.is_some_and(|r| r.phase == Phase::Leaving) => MemberStatus::Leaving,
        (_, true) => MemberStatus::Present,
        (_, false) if is_suspected => MemberStatus::Lost,
        (_, false) => MemberStatus::Silent,
    }
}

/// Returns the instance if it is usable as a member.
fn free_instance<'a>(
    state: &State,
    view: &View,
    instance: &'a Instance,
    status: &'a InstanceStatus,
    now: Moment,
) -> Option<FreeInstance<'a>> {
    let report = status.fresh_report(view.settings(), now)?;
    let is_usable = status.listing == ListingState::Live
        && report.phase != Phase::Leaving
        && !status.is_suspected(now)
        && !state.is_taken_out(instance, &status.domain);
    is_usable.then_some(FreeInstance {
        instance,
        status,
        report,
    })
}
