//! Merging the survivors of replicas that cannot be repaired.

use crate::{pace::Want, pool::Pool, propose::Scene, repair::release, survey::Group};
use name::{Fabric, Model};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long the survivors must have been stuck before a replica is dissolved.
const MERGE_DELAY: Duration = Duration::from_secs(1);

/// Replicas whose survivors could stand together: model, version, fabric domain.
type Kind<'a> = (&'a Model, &'a Arc<str>, Option<Fabric>);

/// Dissolves some of the `stuck` replicas so that others can be repaired.
///
/// The released survivors are free in the next proposal, which repairs the
/// replica with most survivors first. Merges inside a fabric domain go before
/// those across.
pub(crate) fn merge(
    scene: &Scene<'_>,
    pool: &Pool<'_>,
    stuck: &[&Group<'_>],
    wants: &mut Vec<Want>,
) {
    if !scene.policy.merge {
        return;
    }
    let before = wants.len();
    dissolve(kinds(stuck, |g| scene.home(g)), pool, wants);
    if scene.policy.cross && wants.len() == before {
        dissolve(kinds(stuck, |_| None), pool, wants);
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
fn dissolve(kinds: BTreeMap<Kind<'_>, Vec<&Group<'_>>>, pool: &Pool<'_>, wants: &mut Vec<Want>) {
    for ((_, _, fabric), mut groups) in kinds {
        let mut free = fabric.map_or(pool.len(), |f| pool.count(&f));
        let kept = |g: &Group<'_>| g.kept().count();
        groups.sort_by_key(|g| (std::cmp::Reverse(kept(g)), g.replica));
        let mut rest = groups.as_slice();
        while let Some((keeper, others)) = rest.split_first() {
            let missing = keeper.fates.len() - kept(keeper);
            let mut donors = 0;
            while free < missing && donors < others.len() {
                donors += 1;
                free += kept(others[others.len() - donors]);
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
