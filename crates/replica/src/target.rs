//! The number of replicas that each model should have.

use crate::propose::Context;
use name::Model;
use std::collections::BTreeMap;

/// The current and the intended number of replicas of one model.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Target {
    /// The replicas with at least one member that can be retained.
    pub(crate) current: usize,
    /// The replicas that the model should have: `guaranteed`, plus one if rounding left room.
    pub(crate) desired: usize,
    /// The model's share of the usable instances in replicas, rounded down.
    pub(crate) guaranteed: usize,
}

/// Returns the target of every model that is listed or assigned.
pub(crate) fn targets(context: &Context<'_>) -> BTreeMap<Model, Target> {
    let snapshot = context.snapshot;
    let retained: usize = snapshot.groups.iter().map(|g| g.retained().count()).sum();
    let mut targets = shares(context, retained + snapshot.free.len());
    for group in &snapshot.groups {
        let target = targets.entry(group.assignment.model.clone()).or_default();
        target.current += usize::from(group.retained().next().is_some());
    }
    targets
}

/// Divides `usable` instances among the listed models by weight.
///
/// The instances left by rounding go to the models with the largest remainders.
fn shares(context: &Context<'_>, usable: usize) -> BTreeMap<Model, Target> {
    let models = &context.lists.models;
    let total: u64 = models.values().map(|m| u64::from(m.weight)).sum();
    let mut targets = BTreeMap::new();
    let mut remainders = Vec::new();
    let mut unassigned = usable;
    for (name, model) in models {
        let members = model.members.max(1) as usize;
        let share = usable as u64 * u64::from(model.weight) / total.max(1);
        let guaranteed = usize::try_from(share).unwrap_or(usable) / members;
        unassigned -= guaranteed * members;
        let target = Target {
            current: 0,
            desired: guaranteed,
            guaranteed,
        };
        targets.insert(name.clone(), target);
        if model.weight > 0 {
            let remainder = share % members as u64;
            remainders.push((std::cmp::Reverse(remainder), name, members));
        }
    }
    remainders.sort();
    for (_, name, members) in remainders {
        if let Some(target) = targets.get_mut(name)
            && unassigned >= members
        {
            target.desired += 1;
            unassigned -= members;
        }
    }
    targets
}
