//! Delays orders while requests of the previous assignment are in progress.

use crate::{Phase, Report, View};
use clock::Moment;
use name::{Generation, Instance, Replica};
use state::State;
use std::{collections::HashMap, time::Duration};

/// A replica at one generation.
type ReplicaGeneration = (Replica, Generation);

/// The generations no longer in force that still have requests in progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct Drain {
    /// The members of each generation that was in force.
    members: HashMap<ReplicaGeneration, Vec<Instance>>,
    /// Since when a former generation has had requests in progress and delayed orders.
    busy_since: HashMap<ReplicaGeneration, Moment>,
    max_drain: Duration,
}

impl Drain {
    /// Updates which former generations still have requests in progress.
    ///
    /// A former generation delays orders to its members while its lead reports
    /// requests in progress and every member still serves it. With a member missing,
    /// the requests cannot finish.
    pub(crate) fn update(&mut self, state: &State, view: &View, now: Moment) {
        self.max_drain = view.settings().max_drain;
        for (replica, a) in &state.assignments {
            self.members
                .entry((replica.clone(), a.generation))
                .or_insert_with(|| a.members.clone());
        }
        let mut busy = HashMap::new();
        for (_, status) in view.iter() {
            let Some(report) = status.fresh_report(view.settings(), now) else {
                continue;
            };
            let Some(former) = served_generation(report) else {
                continue;
            };
            let is_superseded = state.generation_of(&former.0) != former.1;
            if report.member == 0 && report.running > 0 && is_superseded {
                let since = self.busy_since.get(&former).copied().unwrap_or(now);
                busy.insert(former, since);
            }
        }
        busy.retain(|former, _| self.all_serve(view, former, now));
        self.busy_since = busy;
        let busy_since = &self.busy_since;
        self.members.retain(|former, _| {
            busy_since.contains_key(former) || state.generation_of(&former.0) == former.1
        });
    }

    /// Returns whether all members still serve the former generation.
    fn all_serve(&self, view: &View, former: &ReplicaGeneration, now: Moment) -> bool {
        let serves = |i: &Instance| {
            view.fresh_report(i, now)
                .and_then(served_generation)
                .is_some_and(|f| f == *former)
        };
        self.members
            .get(former)
            .is_none_or(|members| members.iter().all(serves))
    }

    /// Returns whether an order to the engine must wait for requests in progress.
    pub(crate) fn must_wait(&self, report: &Report, now: Moment) -> bool {
        served_generation(report)
            .and_then(|f| self.busy_since.get(&f))
            .is_some_and(|since| now.since(*since) < self.max_drain)
    }
}

/// Returns the replica and generation that the engine reports to serve.
fn served_generation(report: &Report) -> Option<ReplicaGeneration> {
    let serves = matches!(report.phase, Phase::Ready | Phase::Leaving);
    let replica = report.replica.clone().filter(|_| serves)?;
    Some((replica, report.generation))
}
