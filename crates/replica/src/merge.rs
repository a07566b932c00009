//! Merging the survivors of replicas that cannot be repaired.

use crate::{pacer::Want, pool::Pool, propose::Scene, repair::release, snapshot::Group, weights};
use name::{Fabric, Instance, Model};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long the survivors must have been stuck before a replica is dissolved.
const MERGE_DELAY: Duration = Duration::from_secs(1);

/// How long a replica must have waited for loads before it may be dissolved.
const CONCENTRATE_DELAY: Duration = Duration::from_secs(2);

/// The part of a load, as a divisor, below which it may be given up.
const YOUNG: u32 = 4;

/// Replicas whose survivors could stand together: model, version, fabric domain.
type Kind<'a> = (&'a Model, &'a Arc<str>, Option<Fabric>);

/// Dissolves some of the `stuck` replicas so that others can be repaired.
///
/// Returns whether any is dissolved.
///
/// The released survivors are free in the next proposal, which repairs the
/// replica with most survivors first. Merges inside a fabric domain go before
/// those across.
pub(crate) fn merge(
    scene: &Scene<'_>,
    pool: &Pool<'_>,
    stuck: &[&Group<'_>],
    wants: &mut Vec<Want>,
) -> bool {
    if !scene.policy.merge {
        return false;
    }
    let before = wants.len();
    let kept = |g: &Group<'_>| g.kept().count();
    dissolve(kinds(stuck, |g| scene.home(g)), kept, pool, wants);
    if scene.policy.cross && wants.len() == before {
        dissolve(kinds(stuck, |_| None), kept, pool, wants);
    }
    wants.len() > before
}

/// Dissolves some replicas that load so that others are whole at once.
///
/// Two replicas that each lack one loaded member hold enough of them for one
/// that serves now. The loaded members of a dissolved replica take the places
/// of loading ones in the next proposal. Only loads that have hardly begun are
/// given up.
pub(crate) fn concentrate<'a>(scene: &Scene<'a>, stuck: &[&'a Group<'a>], wants: &mut Vec<Want>) {
    let young = scene.pacer.load() / YOUNG;
    let cold = |i: &Instance, g: &Group<'_>| {
        let weights = weights(&g.assignment.model, &g.assignment.version);
        scene
            .view
            .fresh(i, scene.now)
            .is_some_and(|r| !r.holds(&weights))
    };
    let warm = |g: &Group<'_>| g.kept().filter(|i| !cold(i, g)).count();
    let loading = |g: &&Group<'_>| {
        let begun = |i: &Instance| scene.pacer.loading(i, scene.now) >= young;
        let width = g.fates.len();
        let age = scene.pacer.age(g.replica, scene.now);
        !g.servable
            && g.is_whole()
            && (1..width).contains(&warm(g))
            && age >= CONCENTRATE_DELAY
            && !g.kept().any(|i| cold(i, g) && begun(i))
    };
    let mut candidates: Vec<_> = scene.survey.groups.iter().filter(loading).collect();
    candidates.extend(stuck);
    // Free instances that hold the weights have taken places already.
    let pool = Pool::default();
    let before = wants.len();
    dissolve(kinds(&candidates, |g| scene.home(g)), warm, &pool, wants);
    if scene.policy.cross && wants.len() == before {
        dissolve(kinds(&candidates, |_| None), warm, &pool, wants);
    }
}

/// Divides the stuck replicas by what must agree for a merge.
fn kinds<'a>(
    stuck: &[&'a Group<'a>],
    home: impl Fn(&Group<'_>) -> Option<Fabric>,
) -> BTreeMap<Kind<'a>, Vec<&'a Group<'a>>> {
    let mut kinds: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for group in stuck {
        let a = group.assignment;
        kinds
            .entry((&a.model, &a.version, home(group)))
            .or_default()
            .push(*group);
    }
    kinds
}

/// Dissolves the replicas with fewest survivors as far as others become whole.
fn dissolve(
    kinds: BTreeMap<Kind<'_>, Vec<&Group<'_>>>,
    usable: impl Fn(&Group<'_>) -> usize,
    pool: &Pool<'_>,
    wants: &mut Vec<Want>,
) {
    for ((_, _, fabric), mut groups) in kinds {
        let mut free = fabric.map_or(pool.len(), |f| pool.count(&f));
        groups.retain(|g| usable(g) > 0);
        groups.sort_by_key(|g| (std::cmp::Reverse(usable(g)), g.replica));
        let mut rest = groups.as_slice();
        while let Some((keeper, others)) = rest.split_first() {
            let missing = keeper.fates.len() - usable(keeper);
            let mut donors = 0;
            while free < missing && donors < others.len() {
                donors += 1;
                free += usable(others[others.len() - donors]);
            }
            if free < missing {
                break;
            }
            free -= missing;
            let (left, dissolved) = others.split_at(others.len() - donors);
            wants.extend(dissolved.iter().map(|g| release(g, MERGE_DELAY)));
            rest = left;
        }
    }
}
