//! The admitted shares of requests at a node, and their exchange with the planner.
//!
//! Each node counts the outcomes of its requests by model and reports the counts since its
//! start to the planner, so that a lost report delays them only. The planner computes the
//! shares from all nodes' counts and loads, and sends them with its heartbeats. A node
//! without a recent share admits all requests.

use crate::state::{Shared, Tables};
use clock::Moment;
use name::{Model, Node};
use place::{LevelChange, Levels, MAX_SHARE_AGE, Occupancy, Outcomes, admission_probability};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::info;
use std::{collections::HashMap, time::Duration};

/// The unit of shares between nodes.
const SHARE_UNIT: f64 = 1_000.0;

/// The maximum number of models in a report or in the shares that are sent.
const MAX_MODELS: usize = 64;

/// What a heartbeat carries besides the state of its node.
///
/// It follows the acknowledgment, where earlier versions of the program read nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Extension {
    /// The outcomes at the sender since its start.
    pub(crate) outcomes: Vec<(Model, Outcomes)>,
    /// The shares that the planner sends, in thousandths of what is offered.
    pub(crate) shares: Vec<(Model, u16)>,
}

impl Extension {
    /// Returns whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.outcomes.is_empty() && self.shares.is_empty()
    }
}

/// The reported outcomes of a node's incarnation, by model.
type Reported = (u64, HashMap<Model, Outcomes>);

/// The levels at a node.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// The outcomes at this node since its start.
    own: HashMap<Model, Outcomes>,
    /// The planner's shares, and when they came.
    received: Option<(Moment, HashMap<Model, f64>)>,
    /// The levels that this node computes, if it is the planner.
    computed: Option<Levels>,
    /// The outcomes that the other nodes reported to this node as the planner.
    reported: HashMap<Node, Reported>,
    /// The own outcomes that the computed levels contain.
    counted: HashMap<Model, Outcomes>,
    /// The requests of this node's callers, by model.
    offered: HashMap<Model, Mix>,
}

/// The ranks of urgency that are told apart, and the one of requests that are late already.
const RANKS: usize = 8;
const LATE_RANK: usize = RANKS - 1;

/// The half-life of the counts of offered requests.
const MIX_HALF_LIFE: Duration = Duration::from_secs(4);

/// The offered requests of each rank, decayed up to a time.
#[derive(Debug, Clone)]
struct Mix {
    counts: [f64; RANKS],
    at: Moment,
}

impl Mix {
    /// Adds a request.
    fn add(&mut self, rank: usize, now: Moment) {
        let half_lives = now.since(self.at).as_secs_f64() / MIX_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        for count in &mut self.counts {
            *count *= factor;
        }
        self.counts[rank] += 1.0;
        self.at = now;
    }
}

impl Table {
    /// Adds outcomes of requests of this node.
    pub(crate) fn record(&mut self, model: &Model, outcomes: Outcomes) {
        self.own.entry(model.clone()).or_default().add(outcomes);
    }

    /// Draws whether a request of a rank of urgency is admitted.
    pub(crate) fn admits(
        &mut self,
        model: &Model,
        rank: usize,
        is_late: bool,
        now: Moment,
    ) -> bool {
        let rank = if is_late {
            LATE_RANK
        } else {
            rank.min(LATE_RANK - 1)
        };
        let share = self.share(model, now);
        let mix = self.offered.entry(model.clone()).or_insert(Mix {
            counts: [0.0; RANKS],
            at: now,
        });
        mix.add(rank, now);
        let probability = admission_probability(share, &mix.counts, rank);
        probability >= 1.0 || rand::rng().random_bool(probability)
    }

    /// Returns the admitted share of a model, if the planner has sent it recently.
    fn share(&self, model: &Model, now: Moment) -> f64 {
        if let Some(computed) = &self.computed {
            let mut shares = computed.shares();
            let share = shares.find(|(known, _)| *known == model);
            return share.map_or(1.0, |(_, share)| share);
        }
        let recent = self.received.as_ref();
        let recent = recent.filter(|(at, _)| now.since(*at) < MAX_SHARE_AGE);
        let share = recent.and_then(|(_, shares)| shares.get(model));
        share.copied().unwrap_or(1.0)
    }

    /// Applies the shares of the planner, in thousandths.
    pub(crate) fn receive_shares(&mut self, shares: &[(Model, u16)], now: Moment) {
        let shares = shares.iter().take(MAX_MODELS);
        let shares = shares.map(|(model, share)| {
            let share = f64::from(*share) / SHARE_UNIT;
            (model.clone(), share.min(1.0))
        });
        self.received = Some((now, shares.collect()));
    }

    /// Adds the outcomes that another node reports, if this node is the planner.
    ///
    /// The first report of an incarnation only sets where later ones begin: an earlier
    /// planner has counted what was before.
    pub(crate) fn receive_outcomes(
        &mut self,
        node: &Node,
        incarnation: u64,
        outcomes: &[(Model, Outcomes)],
        now: Moment,
    ) {
        let Some(computed) = &mut self.computed else {
            return;
        };
        let known = self.reported.get(node);
        let known = known.filter(|(known, _)| *known == incarnation);
        let reported: HashMap<Model, Outcomes> =
            outcomes.iter().take(MAX_MODELS).cloned().collect();
        if let Some((_, earlier)) = known {
            for (model, outcomes) in &reported {
                let before = earlier.get(model).copied().unwrap_or_default();
                computed.record(model, outcomes.since(before), now);
            }
        }
        self.reported.insert(node.clone(), (incarnation, reported));
    }

    /// Updates the levels that this node computes as the planner; discards them if it is
    /// the planner no longer.
    pub(crate) fn step(
        &mut self,
        is_planning: bool,
        occupancy: impl Fn(&Model) -> Option<Occupancy>,
        now: Moment,
    ) -> Vec<LevelChange> {
        if !is_planning {
            self.computed = None;
            self.reported.clear();
            return Vec::new();
        }
        if self.computed.is_none() {
            let received = self.received.take();
            let received = received.map_or_else(HashMap::new, |(_, shares)| shares);
            self.computed = Some(Levels::continuing(received, now));
            self.counted = self.own.clone();
        }
        let Some(computed) = &mut self.computed else {
            return Vec::new();
        };
        for (model, outcomes) in &self.own {
            let counted = self.counted.get(model).copied().unwrap_or_default();
            computed.record(model, outcomes.since(counted), now);
        }
        self.counted = self.own.clone();
        computed.step(occupancy, now)
    }

    /// Returns the outcomes at this node, for a report.
    pub(crate) fn outcomes(&self) -> Vec<(Model, Outcomes)> {
        let own = self.own.iter().take(MAX_MODELS);
        own.map(|(model, outcomes)| (model.clone(), *outcomes))
            .collect()
    }

    /// Returns the shares that this node sends as the planner.
    pub(crate) fn shares(&self) -> Vec<(Model, u16)> {
        let shares = self.computed.iter().flat_map(Levels::shares);
        let shares = shares.take(MAX_MODELS);
        shares
            .map(|(model, share)| (model.clone(), (share * SHARE_UNIT) as u16))
            .collect()
    }
}

impl Tables {
    /// Updates the levels that this node computes as the planner.
    pub(crate) fn step_levels(&mut self, is_planning: bool, now: Moment) -> Vec<LevelChange> {
        let mut models: HashMap<Model, Occupancy> = HashMap::new();
        if is_planning {
            for target in self.targets.iter() {
                let Some(model) = &target.model else {
                    continue;
                };
                let work = self.load.work(&target.server, now);
                if work.is_stalled {
                    continue;
                }
                let occupancy = models.entry(model.clone()).or_insert(Occupancy {
                    running: 0,
                    slots: 0,
                });
                occupancy.running += u64::from(work.requests);
                occupancy.slots += u64::from(target.slots);
            }
        }
        let occupancy = |model: &Model| models.get(model).copied();
        self.levels.step(is_planning, occupancy, now)
    }
}

impl Shared {
    /// Logs changes of levels, which only the planner makes.
    pub(crate) fn log_levels(&self, changes: &[LevelChange]) {
        for change in changes {
            self.metrics.count("levels", "changed");
            info!(self.log, "admission level changed"; "model" => %change.model,
                "admitted" => change.admitted, "target" => change.target,
                "occupied" => change.occupied,
                "on_time" => change.outcomes.on_time, "late" => change.outcomes.late,
                "refused" => change.outcomes.refused);
        }
    }
}

#[cfg(test)]
mod tests;
