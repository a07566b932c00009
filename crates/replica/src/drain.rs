//! Holding back orders while requests are in progress.

use crate::{Phase, Report, View};
use clock::Moment;
use name::{Generation, Instance, Replica};
use state::State;
use std::{collections::HashMap, time::Duration};

/// A replica at one generation.
type Former = (Replica, Generation);

/// What the engines still do for generations that are no longer in force.
#[derive(Debug, Clone, Default)]
pub(crate) struct Drain {
    /// The members of the generations seen in force.
    members: HashMap<Former, Vec<Instance>>,
    /// Since when a former generation has been holding back orders.
    held: HashMap<Former, Moment>,
    limit: Duration,
}

impl Drain {
    /// Notes which former generations still have requests in progress.
    ///
    /// A former generation holds back orders to its members while its lead
    /// reports requests in progress and no member is missing, since a replica
    /// with a missing member has nothing left to finish.
    pub(crate) fn note(&mut self, state: &State, view: &View, now: Moment) {
        self.limit = view.settings().drain_limit;
        for (replica, a) in &state.assignments {
            self.members
                .entry((replica.clone(), a.generation))
                .or_insert_with(|| a.members.clone());
        }
        let mut busy = HashMap::new();
        for (_, seen) in view.iter() {
            let Some(report) = seen.fresh(view.settings(), now) else {
                continue;
            };
            let Some(former) = former(report) else {
                continue;
            };
            let superseded = state.generation_of(&former.0) != former.1;
            if report.member == 0 && report.running > 0 && superseded {
                let since = self.held.get(&former).copied().unwrap_or(now);
                busy.insert(former, since);
            }
        }
        busy.retain(|former, _| self.is_whole(view, former, now));
        self.held = busy;
        let held = &self.held;
        self.members.retain(|former, _| {
            held.contains_key(former) || state.generation_of(&former.0) == former.1
        });
    }

    /// Returns whether all members still serve the former generation.
    fn is_whole(&self, view: &View, former: &Former, now: Moment) -> bool {
        let serves = |i: &Instance| {
            view.fresh(i, now)
                .and_then(self::former)
                .is_some_and(|f| f == *former)
        };
        self.members
            .get(former)
            .is_none_or(|members| members.iter().all(serves))
    }

    /// Returns whether an order to the engine must wait for requests to end.
    pub(crate) fn holds(&self, report: &Report, now: Moment) -> bool {
        former(report)
            .and_then(|f| self.held.get(&f))
            .is_some_and(|since| now.since(*since) < self.limit)
    }
}

/// Returns the replica and generation for which the engine serves.
fn former(report: &Report) -> Option<Former> {
    let serves = matches!(report.phase, Phase::Ready | Phase::Leaving);
    let replica = report.replica.clone().filter(|_| serves)?;
    Some((replica, report.generation))
}
