//! Replaces members of existing replicas.

use crate::{
    Phase, RecoveryEstimate,
    pacer::Proposal,
    pool::Pool,
    propose::Context,
    snapshot::{Group, MemberStatus},
    weights_name,
};
use name::Instance;
use state::Change;
use std::{sync::Arc, time::Duration};

/// How long the instances for a move must be free before a replica moves.
const CONSOLIDATION_DELAY: Duration = Duration::from_secs(5);

/// How long an instance with the weights must be free before it replaces a loading member.
const SWAP_DELAY: Duration = Duration::from_millis(500);

/// Replaces lost members, and returns the replicas for which too few instances are free.
pub(crate) fn replace_lost<'a>(
    context: &Context<'a>,
    pool: &mut Pool<'_>,
    proposals: &mut Vec<Proposal>,
) -> Vec<&'a Group<'a>> {
    let mut incomplete: Vec<&Group<'_>> = context
        .snapshot
        .groups
        .iter()
        .filter(|g| !g.is_intact())
        .collect();
    incomplete.sort_by_key(|g| (g.statuses.len() - g.retained().count(), g.replica));
    let mut unrepaired = Vec::new();
    for group in incomplete {
        match choose_action(context, group) {
            Action::Wait => {}
            Action::Dissolve => proposals.push(release(group, Duration::ZERO)),
            Action::Replace => match replace_members(context, group, pool) {
                Replacement::Proposed(proposal) => proposals.push(*proposal),
                Replacement::Wait => {}
                Replacement::NoInstance => unrepaired.push(group),
            },
        }
    }
    unrepaired
}

/// The action on a replica with members that cannot be retained.
enum Action {
    /// Take no action yet.
    Wait,
    /// Dissolve the replica.
    Dissolve,
    /// Replace the members that cannot be retained.
    Replace,
}

/// Chooses the action on a replica with members that cannot be retained.
fn choose_action(context: &Context<'_>, group: &Group<'_>) -> Action {
    let all = |status| group.statuses.iter().all(|s| *s == status);
    let any = |status| group.statuses.contains(&status);
    if all(MemberStatus::Removed) || (!context.policy.replaces_lost && any(MemberStatus::Removed)) {
        return Action::Dissolve;
    }
    // A replica without retained members keeps its assignment, since the members may
    // return with the weights loaded.
    if !context.policy.replaces_lost || group.retained().next().is_none() {
        return Action::Wait;
    }
    let is_drained = context
        .pacer
        .is_drained(group.replica, group.is_busy, context.now);
    if group.has_failed_member() || is_drained {
        Action::Replace
    } else {
        Action::Wait
    }
}

/// The result of an attempt to replace members.
enum Replacement {
    Proposed(Box<Proposal>),
    Wait,
    NoInstance,
}

/// Puts free instances in the places of the members that cannot be retained.
fn replace_members(context: &Context<'_>, group: &Group<'_>, pool: &mut Pool<'_>) -> Replacement {
    let Some(fabric) = context.main_fabric(group) else {
        return Replacement::Wait;
    };
    let a = group.assignment;
    let weights = weights_name(&a.model, &a.version);
    let missing = group.statuses.iter().filter(|s| !s.is_retained()).count();
    let may_span = context.policy.may_span_fabrics;
    let estimate = RecoveryEstimate {
        has_loaded_spare: pool.has_enough_loaded(&fabric, may_span, &weights, missing),
        return_time: context.pacer.return_time(),
        load_time: context.pacer.load_time(),
    };
    if is_awaiting_return(context, group, &estimate) {
        return Replacement::Wait;
    }
    let Some(picked) = pool.pick(&fabric, may_span, &weights, missing) else {
        return Replacement::NoInstance;
    };
    let mut picked = picked.into_iter();
    let members = group
        .members()
        .map(|(i, status)| match status.is_retained() {
            true => Some(i.clone()),
            false => picked.next(),
        })
        .collect::<Option<Vec<_>>>();
    match members {
        Some(members) => Replacement::Proposed(Box::new(assign(group, members, Duration::ZERO))),
        None => Replacement::NoInstance,
    }
}

/// Returns whether the policy still waits for a lost member to return.
fn is_awaiting_return(
    context: &Context<'_>,
    group: &Group<'_>,
    estimate: &RecoveryEstimate,
) -> bool {
    let delay = (context.policy.replacement_delay)(estimate);
    group
        .members()
        .filter(|(_, status)| *status == MemberStatus::Lost)
        .any(|(i, _)| context.pacer.absent_for(i, context.now) < delay)
}

/// Replaces members that are still loading by free instances with the weights.
pub(crate) fn swap_loading(
    context: &Context<'_>,
    pool: &mut Pool<'_>,
    proposals: &mut Vec<Proposal>,
) {
    for group in &context.snapshot.groups {
        if group.is_servable || !group.is_intact() {
            continue;
        }
        let Some(fabric) = context.main_fabric(group) else {
            continue;
        };
        let a = group.assignment;
        let weights = weights_name(&a.model, &a.version);
        let mut members = a.members.clone();
        // A replica within one fabric domain stays there: moving back later would
        // need the load anyway.
        let is_spread = group
            .retained()
            .filter_map(|i| context.view.get(i))
            .any(|s| s.fabric != fabric);
        let may_span = context.policy.may_span_fabrics && is_spread;
        for member in &mut members {
            let is_unloaded = context
                .view
                .fresh_report(member, context.now)
                .is_some_and(|r| {
                    matches!(r.phase, Phase::Idle | Phase::Loading) && !r.has_weights(&weights)
                });
            if is_unloaded
                && pool.has_enough_loaded(&fabric, may_span, &weights, 1)
                && let Some(loaded) = pool.pick(&fabric, may_span, &weights, 1).and_then(first)
            {
                *member = loaded;
            }
        }
        if members != a.members {
            proposals.push(assign(group, members, SWAP_DELAY));
        }
    }
}

/// Moves one replica that spans fabric domains into a single one.
///
/// The replica moves at once if all new members have the weights. Otherwise it
/// moves at the age that the policy sets, since it cannot serve during the load.
pub(crate) fn consolidate(
    context: &Context<'_>,
    pool: &mut Pool<'_>,
    proposals: &mut Vec<Proposal>,
) {
    let Some(age) = context.policy.consolidates_after else {
        return;
    };
    for group in context.snapshot.groups.iter().filter(|g| g.is_servable) {
        let Some(fabric) = context.main_fabric(group) else {
            continue;
        };
        let a = group.assignment;
        let is_outside = |i: &Instance| context.view.get(i).is_some_and(|s| s.fabric != fabric);
        let outside_count = a.members.iter().filter(|i| is_outside(i)).count();
        if outside_count == 0 || pool.count_in(&fabric) < outside_count {
            continue;
        }
        let weights = weights_name(&a.model, &a.version);
        let loaded = pool.has_enough_loaded(&fabric, false, &weights, outside_count);
        if !loaded && context.pacer.in_force_for(group.replica, context.now) < age {
            continue;
        }
        let Some(picked) = pool.pick(&fabric, false, &weights, outside_count) else {
            continue;
        };
        let mut picked = picked.into_iter();
        let members = a
            .members
            .iter()
            .map(|i| match is_outside(i) {
                true => picked.next(),
                false => Some(i.clone()),
            })
            .collect::<Option<Vec<_>>>();
        proposals.extend(members.map(|m| assign(group, m, CONSOLIDATION_DELAY)));
        return;
    }
}

/// Returns the first of the picked instances.
fn first(picked: Vec<Instance>) -> Option<Instance> {
    picked.into_iter().next()
}

/// Returns a proposal that gives the replica the new `members`.
pub(crate) fn assign(group: &Group<'_>, members: Vec<Instance>, delay: Duration) -> Proposal {
    let a = group.assignment;
    Proposal {
        replica: group.replica.clone(),
        base: a.generation,
        change: Change::Assign {
            base: a.generation,
            replica: group.replica.clone(),
            model: a.model.clone(),
            version: Arc::clone(&a.version),
            members,
        },
        delay,
        is_reconfiguration: true,
    }
}

/// Returns a proposal that dissolves the replica.
pub(crate) fn release(group: &Group<'_>, delay: Duration) -> Proposal {
    let base = group.assignment.generation;
    Proposal {
        replica: group.replica.clone(),
        base,
        change: Change::Release {
            base,
            replica: group.replica.clone(),
        },
        delay,
        is_reconfiguration: true,
    }
}
