//! Combines the remaining members of replicas that cannot be repaired.

use crate::{
    pacer::Proposal, pool::Pool, propose::Context, repair::release, snapshot::Group, weights_name,
};
use name::{Fabric, Instance, Model};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long replicas must have lacked a free instance before one is dissolved.
const MERGE_DELAY: Duration = Duration::from_secs(1);

/// How long a generation must be in force before its loading replica may be dissolved.
const MERGE_LOADING_DELAY: Duration = Duration::from_secs(2);

/// A load may be abandoned within the load time divided by this number.
const ABANDONABLE_LOAD_DIVISOR: u32 = 4;

/// What replicas must have in common to merge: model, version and fabric domain.
type MergeKey<'a> = (&'a Model, &'a Arc<str>, Option<Fabric>);

/// Dissolves some of the `unrepaired` replicas so that others can be repaired.
///
/// Returns whether any is dissolved.
///
/// The released members are free in the next call, which repairs the replica with
/// the most remaining members first. Merges within a fabric domain take precedence
/// over merges across fabric domains.
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

/// Dissolves some loading replicas so that others can serve without waiting.
///
/// Two replicas that each lack one loaded member together have enough loaded
/// members for one that serves at once. In the next call, the loaded members of a
/// dissolved replica replace loading members of another. Only loads that began
/// recently are abandoned (see [`ABANDONABLE_LOAD_DIVISOR`]).
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
    // Free instances with the weights were assigned by the preceding steps, so that
    // none is counted here.
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

/// Groups the replicas by what they must have in common to merge.
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

/// Dissolves the replicas with the fewest usable members while others can be completed.
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
