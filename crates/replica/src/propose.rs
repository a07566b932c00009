//! Which replicas to form, repair or dissolve.

use crate::{
    Pacer, Policy, View, form, merge,
    pacer::Want,
    pool::Pool,
    repair,
    snapshot::{Group, Survey},
    target,
};
use clock::Moment;
use name::Fabric;
use plan::Lists;
use state::{Change, State};
use std::collections::BTreeMap;

/// What every step of a proposal reads.
#[derive(Debug)]
pub(crate) struct Scene<'a> {
    pub(crate) lists: &'a Lists,
    pub(crate) view: &'a View,
    pub(crate) policy: &'a Policy,
    pub(crate) pacer: &'a Pacer,
    pub(crate) survey: &'a Survey<'a>,
    pub(crate) now: Moment,
}

impl Scene<'_> {
    /// Returns the fabric domain of most of the members that can be kept.
    pub(crate) fn home(&self, group: &Group<'_>) -> Option<Fabric> {
        let mut counts: BTreeMap<&Fabric, usize> = BTreeMap::new();
        for seen in group.kept().filter_map(|i| self.view.get(i)) {
            *counts.entry(&seen.fabric).or_default() += 1;
        }
        counts
            .into_iter()
            .max_by_key(|(fabric, n)| (*n, std::cmp::Reverse(*fabric)))
            .map(|(fabric, _)| fabric.clone())
    }
}

/// Returns the changes of the assignments that this node should append now.
///
/// Called several times a second on every entry node with the node's `rank`
/// among them. Lower ranks propose first, so that others mostly see the change
/// accepted before their turn; the fold settles the remaining races, since all
/// nodes use the same replica names. A node that sees few of the assigned
/// instances proposes nothing.
pub fn propose(
    state: &State,
    lists: &Lists,
    view: &View,
    policy: &Policy,
    rank: usize,
    now: Moment,
    pacer: &mut Pacer,
) -> Vec<Change> {
    let survey = Survey::new(state, view, pacer, now);
    pacer.observe(state, view, &survey, now);
    if survey.is_blind() {
        return Vec::new();
    }
    let scene = Scene {
        lists,
        view,
        policy,
        pacer,
        survey: &survey,
        now,
    };
    let wants = collect(&scene);
    pacer.admit(wants, rank, now)
}

/// Returns all changes that the present situation calls for, most useful first.
fn collect(scene: &Scene<'_>) -> Vec<Want> {
    let mut wants = Vec::new();
    let mut pool = Pool::new(&scene.survey.free);
    let stuck = repair::replace(scene, &mut pool, &mut wants);
    let merged = merge::merge(scene, &pool, &stuck, &mut wants);
    if scene.policy.swap {
        repair::swap(scene, &mut pool, &mut wants);
        let rest = if merged { &[] } else { stuck.as_slice() };
        merge::concentrate(scene, rest, &mut wants);
    }
    let targets = target::targets(scene);
    form::form(scene, &targets, &mut pool, &mut wants);
    form::rebalance(scene, &targets, &mut wants);
    form::upgrade(scene, &mut wants);
    if wants.is_empty() {
        repair::gather(scene, &mut pool, &mut wants);
    }
    wants
}
