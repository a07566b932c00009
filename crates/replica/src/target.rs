//! How many replicas each model should have.

use crate::propose::Scene;
use name::Model;
use std::collections::BTreeMap;

/// The number of replicas of one model.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Target {
    /// The replicas with at least one member that can be kept.
    pub(crate) have: usize,
    /// The replicas that the model's share allows.
    pub(crate) want: usize,
    /// The model's share of the usable instances, in replicas, rounded down.
    pub(crate) least: usize,
}

/// Returns the numbers of replicas for every model that is listed or assigned.
pub(crate) fn targets(scene: &Scene<'_>) -> BTreeMap<Model, Target> {
    let survey = scene.survey;
    let kept: usize = survey.groups.iter().map(|g| g.kept().count()).sum();
    let mut targets = shares(scene, kept + survey.free.len());
    for group in &survey.groups {
        let target = targets.entry(group.assignment.model.clone()).or_default();
        target.have += usize::from(group.kept().next().is_some());
    }
    targets
}

/// Divides `usable` instances among the listed models by weight.
///
/// What rounding leaves goes to the models with the largest remainders.
fn shares(scene: &Scene<'_>, usable: usize) -> BTreeMap<Model, Target> {
    let models = &scene.lists.models;
    let total: u64 = models.values().map(|m| u64::from(m.weight)).sum();
    let mut targets = BTreeMap::new();
    let mut remainders = Vec::new();
    let mut left = usable;
    for (name, model) in models {
        let members = model.members.max(1) as usize;
        let share = usable as u64 * u64::from(model.weight) / total.max(1);
        let least = usize::try_from(share).unwrap_or(usable) / members;
        left -= least * members;
        let target = Target {
            have: 0,
            want: least,
            least,
        };
        targets.insert(name.clone(), target);
        if model.weight > 0 {
            let rest = share % members as u64;
            remainders.push((std::cmp::Reverse(rest), name, members));
        }
    }
    remainders.sort();
    for (_, name, members) in remainders {
        if let Some(target) = targets.get_mut(name)
            && left >= members
        {
            target.want += 1;
            left -= members;
        }
    }
    targets
}
