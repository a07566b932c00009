//! Merging the survivors of replicas that cannot be repaired.

use crate::{
    pacer::Proposal, pool::Pool, propose::Context, repair::release, snapshot::Group, weights_name,
};
use name::{Fabric, Instance, Model};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long the survivors must have been stuck before a replica is dissolved.
const MERGE_DELAY: Duration = Duration::from_secs(1);

/// How long a replica must have waited for loads before it may be dissolved.
const MERGE_LOADING_DELAY: Duration = Duration::from_secs(2);

/// The part of a load, as a divisor, below which it may be given up.
const ABANDONABLE_LOAD_DIVISOR: u32 = 4;

/// Replicas whose survivors could stand together: model, version, fabric domain.
type MergeKey<'a> = (&'a Model, &'a Arc<str>, Option<Fabric>);

/// Dissolves some of the `stuck` replicas so that others can be repaired.
///
/// Returns whether any is dissolved.
///
/// The released survivors are free in the next proposal, which repairs the
/// replica with most survivors first. Merges inside a fabric domain go before
/// those across.
pub(crate) fn merge_survivors(
    context: &Context<'_>,
    pool: &Pool<'_>,
    unrepaired: &[&Group<'_>],
    proposals: &mut Vec<Proposal>,
) -> bool {
    if !context.policy.merges_survivors {
        return false;
    }
    let before = proposals.len();
    let retained_count = |g: &Group<'_>| g.retained().count();
    release_donors(
        by_merge_key(unrepaired, |g| context.main_fabric(g)),
        retained_count,
        pool,
        proposals,
    );
    if context.policy.may_span_fabrics && proposals.len() == before {
        release_donors(
            by_merge_key(unrepaired, |_| None),
            retained_count,
            pool,
            proposals,
        );
    }
    proposals.len() > before
}

/// Dissolves some replicas that load so that others are whole at once.
///
/// Two replicas that each lack one loaded member hold enough of them for one
/// that serves now. The loaded members of a dissolved replica take the places
/// of loading ones in the next proposal. Only loads that have hardly begun are
/// given up.
pub(crate) fn merge_loading<'a>(
    context: &Context<'a>,
    unrepaired: &[&'a Group<'a>],
    proposals: &mut Vec<Proposal>,
) {
    let abandonable = context.pacer.load_time() / ABANDONABLE_LOAD_DIVISOR;
    let is_unloaded = |i: &Instance, g: &Group<'_>| {
        let weights = weights_name(&g.assignment.model, &g.assignment.version);
        context
            .view
            .fresh_report(i, context.now)
            .is_some_and(|r| !r.has_weights(&weights))
    };
    let loaded_count = |g: &Group<'_>| g.retained().filter(|i| !is_unloaded(i, g)).count();
    let is_loading = |g: &&Group<'_>| {
        let is_under_way = |i: &Instance| context.pacer.loading_for(i, context.now) >= abandonable;
        let width = g.statuses.len();
        let age = context.pacer.in_force_for(g.replica, context.now);
        !g.is_servable
            && g.is_intact()
            && (1..width).contains(&loaded_count(g))
            && age >= MERGE_LOADING_DELAY
            && !g.retained().any(|i| is_unloaded(i, g) && is_under_way(i))
    };
    let mut candidates: Vec<_> = context.snapshot.groups.iter().filter(is_loading).collect();
    candidates.extend(unrepaired);
    // Free instances that hold the weights have taken places already.
    let pool = Pool::default();
    let before = proposals.len();
    release_donors(
        by_merge_key(&candidates, |g| context.main_fabric(g)),
        loaded_count,
        &pool,
        proposals,
    );
    if context.policy.may_span_fabrics && proposals.len() == before {
        release_donors(
            by_merge_key(&candidates, |_| None),
            loaded_count,
            &pool,
            proposals,
        );
    }
}

/// Divides the stuck replicas by what must agree for a merge.
fn by_merge_key<'a>(
    unrepaired: &[&'a Group<'a>],
    home: impl Fn(&Group<'_>) -> Option<Fabric>,
) -> BTreeMap<MergeKey<'a>, Vec<&'a Group<'a>>> {
    let mut groups_by_key: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for group in unrepaired {
        let a = group.assignment;
        groups_by_key
            .entry((&a.model, &a.version, home(group)))
            .or_default()
            .push(*group);
    }
    groups_by_key
}

/// Dissolves the replicas with fewest survivors as far as others become whole.
fn release_donors(
    groups_by_key: BTreeMap<MergeKey<'_>, Vec<&Group<'_>>>,
    usable_count: impl Fn(&Group<'_>) -> usize,
    pool: &Pool<'_>,
    proposals: &mut Vec<Proposal>,
) {
    for ((_, _, fabric), mut groups) in groups_by_key {
        let mut free = fabric.map_or(pool.len(), |f| pool.count_in(&f));
        groups.retain(|g| usable_count(g) > 0);
        groups.sort_by_key(|g| (std::cmp::Reverse(usable_count(g)), g.replica));
        let mut rest = groups.as_slice();
        while let Some((recipient, others)) = rest.split_first() {
            let missing = recipient.statuses.len() - usable_count(recipient);
            let mut donors = 0;
            while free < missing && donors < others.len() {
                donors += 1;
                free += usable_count(others[others.len() - donors]);
            }
            if free < missing {
                break;
            }
            free -= missing;
            let (remaining, dissolved) = others.split_at(others.len() - donors);
            proposals.extend(dissolved.iter().map(|g| release(g, MERGE_DELAY)));
            rest = remaining;
        }
    }
}
