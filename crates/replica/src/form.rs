//! Forms new replicas, dissolves surplus ones and upgrades outdated ones.

use crate::{
    pacer::Proposal,
    pool::Pool,
    propose::Context,
    repair::{assign, release},
    snapshot::Group,
    target::Target,
    weights_name,
};
use name::{Generation, Model, Replica};
use state::Change;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// The number of calls for which new replicas are planned ahead.
const CALLS_PLANNED_AHEAD: usize = 4;

/// How long enough instances in one fabric domain must be free before a replica forms.
const FORM_DELAY: Duration = Duration::from_secs(1);

/// How long no fabric domain must have enough before a replica forms across several.
const SPREAD_DELAY: Duration = Duration::from_secs(5);

/// How long a model must exceed its share before a replica is dissolved.
const SHARE_DELAY: Duration = Duration::from_secs(5);

/// Forms replicas from free instances for models below their share.
pub(crate) fn form(
    context: &Context<'_>,
    targets: &BTreeMap<Model, Target>,
    pool: &mut Pool<'_>,
    proposals: &mut Vec<Proposal>,
) {
    let mut used_names: BTreeSet<Replica> = context
        .snapshot
        .groups
        .iter()
        .map(|g| g.replica.clone())
        .collect();
    let mut missing: BTreeMap<&Model, usize> = targets
        .iter()
        .map(|(m, t)| (m, t.desired.saturating_sub(t.current)))
        .filter(|(_, n)| *n > 0)
        .collect();
    // Planning ahead lets the delays of later replicas run while earlier ones are proposed.
    for _ in 0..context.view.settings().max_forms_per_call * CALLS_PLANNED_AHEAD {
        let next = missing
            .iter()
            .max_by_key(|(m, n)| (**n, std::cmp::Reverse(**m)));
        let Some(model) = next.map(|(m, _)| *m) else {
            return;
        };
        match form_one(context, model, &used_names, pool) {
            Some(proposal) => {
                used_names.insert(proposal.replica.clone());
                proposals.push(proposal);
                missing.entry(model).and_modify(|n| *n -= 1);
                missing.retain(|_, n| *n > 0);
            }
            None => {
                missing.remove(model);
            }
        }
    }
}

/// Returns a proposal for one replica, or `None` if too few instances are free.
fn form_one(
    context: &Context<'_>,
    name: &Model,
    used_names: &BTreeSet<Replica>,
    pool: &mut Pool<'_>,
) -> Option<Proposal> {
    let model = context.lists.models.get(name)?;
    let replica = unused_name(name, used_names)?;
    let members = model.members.max(1) as usize;
    let weights = weights_name(name, &model.version);
    let policy = context.policy;
    let picked = pool.pick_within_fabric(&weights, members, policy.spares_per_fabric);
    let (members, delay) = match picked {
        Some(set) => (set, FORM_DELAY),
        None if policy.may_span_fabrics => {
            (pool.pick_across_fabrics(&weights, members)?, SPREAD_DELAY)
        }
        None => return None,
    };
    Some(Proposal {
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
        is_reconfiguration: false,
    })
}

/// Returns the replica name of the model with the lowest unused number.
fn unused_name(model: &Model, used_names: &BTreeSet<Replica>) -> Option<Replica> {
    (1..=used_names.len() + 1)
        .map_while(|n| Replica::try_from(format!("{model}-{n}")).ok())
        .find(|replica| !used_names.contains(replica))
}

/// Dissolves one replica of a model above its share if another model is below its own.
///
/// A model counts as below its share only if it has fewer replicas than the share
/// rounded down, so that the loss of one instance moves no replica between models.
/// Replicas of models that are no longer listed are dissolved as well.
pub(crate) fn rebalance(
    context: &Context<'_>,
    targets: &BTreeMap<Model, Target>,
    proposals: &mut Vec<Proposal>,
) {
    let lists = context.lists;
    if lists.models.is_empty() {
        return;
    }
    let is_any_lacking = targets.values().any(|t| t.current < t.guaranteed);
    let is_surplus = |group: &&Group<'_>| {
        let model = &group.assignment.model;
        let has_surplus = targets.get(model).is_some_and(|t| t.current > t.desired);
        !lists.models.contains_key(model) || (is_any_lacking && has_surplus)
    };
    let chosen = context
        .snapshot
        .groups
        .iter()
        .filter(is_surplus)
        .min_by_key(|g| (g.is_servable, std::cmp::Reverse(g.replica)));
    proposals.extend(chosen.map(|g| release(g, SHARE_DELAY)));
}

/// Moves replicas to the listed version and number of members, one at a time per model.
pub(crate) fn upgrade(context: &Context<'_>, proposals: &mut Vec<Proposal>) {
    let models_down: BTreeSet<&Model> = context
        .snapshot
        .groups
        .iter()
        .filter(|g| !g.is_servable && g.retained().next().is_some())
        .map(|g| &g.assignment.model)
        .collect();
    let mut upgrading = BTreeSet::new();
    for group in &context.snapshot.groups {
        let a = group.assignment;
        let Some(model) = context.lists.models.get(&a.model) else {
            continue;
        };
        let has_listed_width = model.members.max(1) as usize == a.members.len();
        if has_listed_width && model.version == a.version || !group.is_intact() {
            continue;
        }
        if (group.is_servable && models_down.contains(&a.model)) || !upgrading.insert(&a.model) {
            continue;
        }
        if !has_listed_width {
            proposals.push(release(group, FORM_DELAY));
            continue;
        }
        let mut proposal = assign(group, a.members.clone(), FORM_DELAY);
        if let Change::Assign { version, .. } = &mut proposal.change {
            *version = Arc::clone(&model.version);
        }
        proposals.push(proposal);
    }
}
