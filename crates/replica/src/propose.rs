//! Proposals to form, repair, move and dissolve replicas.

use crate::{
    Pacer, Policy, View, form, merge,
    pacer::Proposal,
    pool::Pool,
    repair,
    snapshot::{Group, Snapshot},
    target,
};
use clock::Moment;
use name::Fabric;
use plan::Lists;
use state::{Change, State};
use std::collections::BTreeMap;

/// The inputs that all steps of [`propose`](fn@crate::propose) share.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) lists: &'a Lists,
    pub(crate) view: &'a View,
    pub(crate) policy: &'a Policy,
    pub(crate) pacer: &'a Pacer,
    pub(crate) snapshot: &'a Snapshot<'a>,
    pub(crate) now: Moment,
}

impl Context<'_> {
    /// Returns the fabric domain that has the most retained members of the replica.
    pub(crate) fn main_fabric(&self, group: &Group<'_>) -> Option<Fabric> {
        let mut counts: BTreeMap<&Fabric, usize> = BTreeMap::new();
        for status in group.retained().filter_map(|i| self.view.get(i)) {
            *counts.entry(&status.fabric).or_default() += 1;
        }
        counts
            .into_iter()
            .max_by_key(|(fabric, n)| (*n, std::cmp::Reverse(*fabric)))
            .map(|(fabric, _)| fabric.clone())
    }
}

/// Returns the changes of the assignments that this node should append to the log now.
///
/// Every entry node calls this several times a second with its `rank` among the
/// entry nodes. Lower ranks propose first, so that the other nodes usually see the
/// change accepted before their own delay ends. When two nodes still propose at
/// once, applying the log accepts only the first change, since all nodes use the
/// same replica names. A node that is cut off from most of the assigned instances
/// proposes nothing.
pub fn propose(
    state: &State,
    lists: &Lists,
    view: &View,
    policy: &Policy,
    rank: usize,
    now: Moment,
    pacer: &mut Pacer,
) -> Vec<Change> {
    let snapshot = Snapshot::new(state, view, pacer, now);
    pacer.observe(state, view, &snapshot, now);
    if snapshot.is_isolated() {
        return Vec::new();
    }
    let context = Context {
        lists,
        view,
        policy,
        pacer,
        snapshot: &snapshot,
        now,
    };
    let proposals = collect_proposals(&context);
    pacer.due_changes(proposals, rank, now)
}

/// Returns all changes that would improve the present state, most useful first.
fn collect_proposals(context: &Context<'_>) -> Vec<Proposal> {
    let mut proposals = Vec::new();
    let mut pool = Pool::new(&context.snapshot.free);
    let unrepaired = repair::replace_lost(context, &mut pool, &mut proposals);
    let has_merged = merge::merge_survivors(context, &pool, &unrepaired, &mut proposals);
    if context.policy.swaps_loading {
        repair::swap_loading(context, &mut pool, &mut proposals);
        let rest = if has_merged {
            &[]
        } else {
            unrepaired.as_slice()
        };
        merge::merge_loading(context, rest, &mut proposals);
    }
    let targets = target::targets(context);
    form::form(context, &targets, &mut pool, &mut proposals);
    form::rebalance(context, &targets, &mut proposals);
    form::upgrade(context, &mut proposals);
    if proposals.is_empty() {
        repair::consolidate(context, &mut pool, &mut proposals);
    }
    proposals
}
