//! Forming new replicas, and dissolving those beyond a model's share.

use crate::{
    pacer::Want,
    pool::Pool,
    propose::Scene,
    repair::{assign, release},
    snapshot::Group,
    target::Target,
    weights,
};
use name::{Generation, Model, Replica};
use state::Change;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// The number of calls for which replicas to form are planned ahead.
const AHEAD: usize = 4;

/// How long a set in one fabric domain must be free before it is formed.
const FORM_DELAY: Duration = Duration::from_secs(1);

/// How long there must be no such set before a spread one is formed.
const SPREAD_DELAY: Duration = Duration::from_secs(5);

/// How long a model must be beyond its share before a replica is dissolved.
const SHARE_DELAY: Duration = Duration::from_secs(5);

/// Forms replicas from free instances for the models below their share.
pub(crate) fn form(
    scene: &Scene<'_>,
    targets: &BTreeMap<Model, Target>,
    pool: &mut Pool<'_>,
    wants: &mut Vec<Want>,
) {
    let mut taken: BTreeSet<Replica> = scene
        .survey
        .groups
        .iter()
        .map(|g| g.replica.clone())
        .collect();
    let mut missing: BTreeMap<&Model, usize> = targets
        .iter()
        .map(|(m, t)| (m, t.want.saturating_sub(t.have)))
        .filter(|(_, n)| *n > 0)
        .collect();
    // Later ones start their delay while the first are proposed.
    for _ in 0..scene.view.settings().forms * AHEAD {
        let next = missing
            .iter()
            .max_by_key(|(m, n)| (**n, std::cmp::Reverse(**m)));
        let Some(model) = next.map(|(m, _)| *m) else {
            return;
        };
        match form_one(scene, model, &taken, pool) {
            Some(want) => {
                taken.insert(want.replica.clone());
                wants.push(want);
                missing.entry(model).and_modify(|n| *n -= 1);
                missing.retain(|_, n| *n > 0);
            }
            None => {
                missing.remove(model);
            }
        }
    }
}

/// Forms one replica of `model`, or returns `None` if no set is free.
fn form_one(
    scene: &Scene<'_>,
    name: &Model,
    taken: &BTreeSet<Replica>,
    pool: &mut Pool<'_>,
) -> Option<Want> {
    let model = scene.lists.models.get(name)?;
    let replica = unused_name(name, taken)?;
    let members = model.members.max(1) as usize;
    let weights = weights(name, &model.version);
    let policy = scene.policy;
    let close = pool.set(&weights, members, policy.spares);
    let (members, delay) = match close {
        Some(set) => (set, FORM_DELAY),
        None if policy.cross => (pool.spread_set(&weights, members)?, SPREAD_DELAY),
        None => return None,
    };
    Some(Want {
        replica: replica.clone(),
        base: Generation::default(),
        change: Change::Assign {
            base: Generation::default(),
            replica,
            model: name.clone(),
            version: Arc::clone(&model.version),
            members,
        },
        delay,
        reform: false,
    })
}

/// Returns the model's replica name with the lowest number that is not taken.
fn unused_name(model: &Model, taken: &BTreeSet<Replica>) -> Option<Replica> {
    (1..=taken.len() + 1)
        .map_while(|n| Replica::try_from(format!("{model}-{n}")).ok())
        .find(|replica| !taken.contains(replica))
}

/// Dissolves one replica of a model beyond its share that another model lacks.
///
/// A model lacks a replica only below its share rounded down, so that the loss of
/// an instance shifts nothing between models. Replicas of models that are no
/// longer listed are dissolved as well.
pub(crate) fn rebalance(
    scene: &Scene<'_>,
    targets: &BTreeMap<Model, Target>,
    wants: &mut Vec<Want>,
) {
    let lists = scene.lists;
    if lists.models.is_empty() {
        return;
    }
    let lacking = targets.values().any(|t| t.have < t.least);
    let beyond = |group: &&Group<'_>| {
        let model = &group.assignment.model;
        let surplus = targets.get(model).is_some_and(|t| t.have > t.want);
        !lists.models.contains_key(model) || (lacking && surplus)
    };
    let chosen = scene
        .survey
        .groups
        .iter()
        .filter(beyond)
        .min_by_key(|g| (g.servable, std::cmp::Reverse(g.replica)));
    wants.extend(chosen.map(|g| release(g, SHARE_DELAY)));
}

/// Brings replicas to the listed version and width, one at a time for a model.
pub(crate) fn upgrade(scene: &Scene<'_>, wants: &mut Vec<Want>) {
    let down: BTreeSet<&Model> = scene
        .survey
        .groups
        .iter()
        .filter(|g| !g.servable && g.kept().next().is_some())
        .map(|g| &g.assignment.model)
        .collect();
    let mut begun = BTreeSet::new();
    for group in &scene.survey.groups {
        let a = group.assignment;
        let Some(model) = scene.lists.models.get(&a.model) else {
            continue;
        };
        let width = model.members.max(1) as usize == a.members.len();
        if width && model.version == a.version || !group.is_whole() {
            continue;
        }
        if (group.servable && down.contains(&a.model)) || !begun.insert(&a.model) {
            continue;
        }
        if !width {
            wants.push(release(group, FORM_DELAY));
            continue;
        }
        let mut want = assign(group, a.members.clone(), FORM_DELAY);
        if let Change::Assign { version, .. } = &mut want.change {
            *version = Arc::clone(&model.version);
        }
        wants.push(want);
    }
}
