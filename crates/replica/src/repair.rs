//! Replacing members of replicas that exist.

use crate::{
    Loss, Phase,
    pacer::Want,
    pool::Pool,
    propose::Scene,
    snapshot::{Fate, Group},
    weights,
};
use name::Instance;
use state::Change;
use std::{sync::Arc, time::Duration};

/// How long a better set must be at hand before a replica moves.
const MOVE_DELAY: Duration = Duration::from_secs(5);

/// How long a loaded instance must be at hand before a loading member yields.
const SWAP_DELAY: Duration = Duration::from_millis(500);

/// Replaces lost members, and returns the replicas for which no instance is left.
pub(crate) fn replace<'a>(
    scene: &Scene<'a>,
    pool: &mut Pool<'_>,
    wants: &mut Vec<Want>,
) -> Vec<&'a Group<'a>> {
    let mut broken: Vec<&Group<'_>> = scene
        .survey
        .groups
        .iter()
        .filter(|g| !g.is_whole())
        .collect();
    broken.sort_by_key(|g| (g.fates.len() - g.kept().count(), g.replica));
    let mut stuck = Vec::new();
    for group in broken {
        match remedy(scene, group) {
            Remedy::Wait => {}
            Remedy::Dissolve => wants.push(release(group, Duration::ZERO)),
            Remedy::Replace => match mend(scene, group, pool) {
                Mend::Want(want) => wants.push(*want),
                Mend::Wait => {}
                Mend::Stuck => stuck.push(group),
            },
        }
    }
    stuck
}

/// What to do about a replica that is not whole.
enum Remedy {
    /// Nothing yet.
    Wait,
    /// Dissolve it.
    Dissolve,
    /// Replace the members that cannot be kept.
    Replace,
}

/// Decides what to do about a replica that is not whole.
fn remedy(scene: &Scene<'_>, group: &Group<'_>) -> Remedy {
    let all = |fate| group.fates.iter().all(|f| *f == fate);
    let any = |fate| group.fates.contains(&fate);
    if all(Fate::Gone) || (!scene.policy.replace && any(Fate::Gone)) {
        return Remedy::Dissolve;
    }
    // A replica without survivors keeps its members, which may return warm.
    if !scene.policy.replace || group.kept().next().is_none() {
        return Remedy::Wait;
    }
    let drained = scene.pacer.is_drained(group.replica, group.busy, scene.now);
    if group.is_broken() || drained {
        Remedy::Replace
    } else {
        Remedy::Wait
    }
}

/// What came of the attempt to replace members.
enum Mend {
    Want(Box<Want>),
    Wait,
    Stuck,
}

/// Puts free instances in the places of the members that cannot be kept.
fn mend(scene: &Scene<'_>, group: &Group<'_>, pool: &mut Pool<'_>) -> Mend {
    let Some(home) = scene.home(group) else {
        return Mend::Wait;
    };
    let a = group.assignment;
    let weights = weights(&a.model, &a.version);
    let missing = group.fates.iter().filter(|f| !f.stays()).count();
    let cross = scene.policy.cross;
    let loss = Loss {
        warm: pool.is_warm(&home, cross, &weights, missing),
        back: scene.pacer.back(),
        load: scene.pacer.load(),
    };
    if is_too_soon(scene, group, &loss) {
        return Mend::Wait;
    }
    let Some(picked) = pool.pick(&home, cross, &weights, missing) else {
        return Mend::Stuck;
    };
    let mut picked = picked.into_iter();
    let members = group
        .members()
        .map(|(i, fate)| match fate.stays() {
            true => Some(i.clone()),
            false => picked.next(),
        })
        .collect::<Option<Vec<_>>>();
    match members {
        Some(members) => Mend::Want(Box::new(assign(group, members, Duration::ZERO))),
        None => Mend::Stuck,
    }
}

/// Returns whether the policy still waits for one of the lost members.
fn is_too_soon(scene: &Scene<'_>, group: &Group<'_>, loss: &Loss) -> bool {
    let patience = (scene.policy.patience)(loss);
    group
        .members()
        .filter(|(_, fate)| *fate == Fate::Lost)
        .any(|(i, _)| scene.pacer.absent(i, scene.now) < patience)
}

/// Lets members that still load yield to instances that hold the weights.
pub(crate) fn swap(scene: &Scene<'_>, pool: &mut Pool<'_>, wants: &mut Vec<Want>) {
    for group in &scene.survey.groups {
        if group.servable || !group.is_whole() {
            continue;
        }
        let Some(home) = scene.home(group) else {
            continue;
        };
        let a = group.assignment;
        let weights = weights(&a.model, &a.version);
        let mut members = a.members.clone();
        // A replica in one fabric domain stays there: it would have to load
        // anyway when it moves back.
        let spread = group
            .kept()
            .filter_map(|i| scene.view.get(i))
            .any(|s| s.fabric != home);
        let cross = scene.policy.cross && spread;
        for member in &mut members {
            let cold = scene.view.fresh(member, scene.now).is_some_and(|r| {
                matches!(r.phase, Phase::Idle | Phase::Loading) && !r.holds(&weights)
            });
            if cold
                && pool.is_warm(&home, cross, &weights, 1)
                && let Some(warm) = pool.pick(&home, cross, &weights, 1).and_then(first)
            {
                *member = warm;
            }
        }
        if members != a.members {
            wants.push(assign(group, members, SWAP_DELAY));
        }
    }
}

/// Moves one spread replica into one fabric domain where that is worth it.
///
/// It is worth it at once if all newcomers hold the weights, and otherwise
/// after the age that the policy sets, since the load keeps the replica down.
pub(crate) fn gather(scene: &Scene<'_>, pool: &mut Pool<'_>, wants: &mut Vec<Want>) {
    let Some(age) = scene.policy.home else {
        return;
    };
    for group in scene.survey.groups.iter().filter(|g| g.servable) {
        let Some(home) = scene.home(group) else {
            continue;
        };
        let a = group.assignment;
        let outside = |i: &Instance| scene.view.get(i).is_some_and(|s| s.fabric != home);
        let away = a.members.iter().filter(|i| outside(i)).count();
        if away == 0 || pool.count(&home) < away {
            continue;
        }
        let weights = weights(&a.model, &a.version);
        let warm = pool.is_warm(&home, false, &weights, away);
        if !warm && scene.pacer.age(group.replica, scene.now) < age {
            continue;
        }
        let Some(picked) = pool.pick(&home, false, &weights, away) else {
            continue;
        };
        let mut picked = picked.into_iter();
        let members = a
            .members
            .iter()
            .map(|i| match outside(i) {
                true => picked.next(),
                false => Some(i.clone()),
            })
            .collect::<Option<Vec<_>>>();
        wants.extend(members.map(|m| assign(group, m, MOVE_DELAY)));
        return;
    }
}

/// Returns the first of the picked instances.
fn first(picked: Vec<Instance>) -> Option<Instance> {
    picked.into_iter().next()
}

/// Returns the change that gives the replica other members.
pub(crate) fn assign(group: &Group<'_>, members: Vec<Instance>, delay: Duration) -> Want {
    let a = group.assignment;
    Want {
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
        reform: true,
    }
}

/// Returns the change that dissolves the replica.
pub(crate) fn release(group: &Group<'_>, delay: Duration) -> Want {
    let base = group.assignment.generation;
    Want {
        replica: group.replica.clone(),
        base,
        change: Change::Release {
            base,
            replica: group.replica.clone(),
        },
        delay,
        reform: true,
    }
}
