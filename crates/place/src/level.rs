//! The admission level of each model: the share of the requests that its replicas can
//! answer in time.
//!
//! It answers a load under which the replicas could run every request, but most of them too
//! late. The planner compares the requests in progress with a target, a fraction of all
//! slots, and admits a share of what is offered so that the target is met. The target
//! itself follows from how many first tokens came within their objectives over all nodes:
//! it falls in proportion to the share that was late, and rises slowly otherwise (additive
//! increase, multiplicative decrease). A share thins requests evenly over time; a limit of
//! the requests in progress would let all nodes place at once when a report shows room.
//!
//! The planner sends the shares to all nodes. A node without a recent one admits all, and
//! relies on its own view of the slots.

use clock::Moment;
use name::Model;
use std::{collections::HashMap, time::Duration};

/// The age from which a share that was received no longer holds.
///
/// Shares come with each heartbeat of the planner, several times in this time.
pub const MAX_SHARE_AGE: Duration = Duration::from_secs(3);

/// The target before any measurement, as a fraction of all slots.
const FIRST_TARGET: f64 = 0.8;

/// The lowest and the highest target.
const MIN_TARGET: f64 = 0.65;
const MAX_TARGET: f64 = 0.95;

/// The time between two changes of a target.
///
/// A change acts on the requests that are placed after it, and the nodes' counts of these
/// arrive some hundred milliseconds later.
const TARGET_INTERVAL: Duration = Duration::from_millis(600);

/// The least number of first tokens on which a lower target is based.
const MIN_SAMPLES: u64 = 12;

/// The share of late first tokens that is accepted: objectives hold for nine in ten.
const ACCEPTED_LATE_SHARE: f64 = 0.10;

/// The greatest decrease of a target in one step, if all first tokens were late.
const MAX_DECREASE: f64 = 0.15;

/// The increase of a target in one step.
const INCREASE: f64 = 0.025;

/// The change of the admitted share in a second, relative to the deviation from the target.
///
/// Requests stay for some two seconds, for which the loop is damped with the proportional
/// part below. Below the target the share rises faster: replicas that stand idle after a
/// burst or a loss serve nobody.
const DECREASE_PER_S: f64 = 0.4;
const INCREASE_PER_S: f64 = 1.2;

/// The immediate change of the admitted share, relative to the deviation from the target.
const PROPORTIONAL: f64 = 1.0;

/// The lowest share, with which the replicas are still probed.
const MIN_SHARE: f64 = 0.10;

/// The outcomes of requests for a model at one node since its start.
#[common::value]
#[derive(Default, Copy)]
pub struct Outcomes {
    /// The first tokens within the objective.
    pub on_time: u64,
    /// The first tokens after the objective.
    pub late: u64,
    /// The requests refused for want of room.
    pub refused: u64,
}

impl Outcomes {
    /// Returns the outcomes since an earlier report; all of them after a restart.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        let is_restarted = self.on_time < earlier.on_time
            || self.late < earlier.late
            || self.refused < earlier.refused;
        if is_restarted {
            return self;
        }
        Self {
            on_time: self.on_time - earlier.on_time,
            late: self.late - earlier.late,
            refused: self.refused - earlier.refused,
        }
    }

    /// Adds the outcomes at another node.
    pub fn add(&mut self, other: Self) {
        // Reports of other nodes may hold any numbers.
        self.on_time = self.on_time.saturating_add(other.on_time);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
    }
}

/// The requests in progress at a model's replicas, and their slots.
#[common::plain]
#[derive(Copy)]
pub struct Occupancy {
    /// The requests in progress, from all nodes.
    pub running: u64,
    /// The slots of all open replicas.
    pub slots: u64,
}

/// The level of one model.
#[derive(Debug, Clone)]
struct State {
    /// The target of the requests in progress, as a fraction of all slots.
    target: f64,
    /// The admitted share without its proportional part.
    share: f64,
    /// The admitted share.
    admitted: f64,
    /// The outcomes since the last change of the target.
    outcomes: Outcomes,
    target_set_at: Moment,
    stepped_at: Moment,
}

/// A change of a model's level, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelChange {
    /// The model.
    pub model: Model,
    /// The admitted share of what is offered.
    pub admitted: f64,
    /// The target as a fraction of all slots.
    pub target: f64,
    /// The requests in progress, as a fraction of all slots.
    pub occupied: f64,
    /// The outcomes since the last change.
    pub outcomes: Outcomes,
}

/// The levels of all models, at the planner.
#[derive(Debug, Clone, Default)]
pub struct Levels {
    models: HashMap<Model, State>,
}

impl Levels {
    /// Returns levels that continue the shares of an earlier planner.
    pub fn continuing(shares: impl IntoIterator<Item = (Model, f64)>, now: Moment) -> Self {
        let models = shares.into_iter().map(|(model, share)| {
            let share = share.clamp(MIN_SHARE, 1.0);
            (model, State::new(share, now))
        });
        Self {
            models: models.collect(),
        }
    }

    /// Adds outcomes of requests for a model.
    pub fn record(&mut self, model: &Model, outcomes: Outcomes, now: Moment) {
        let state = self.models.entry(model.clone());
        let state = state.or_insert_with(|| State::new(1.0, now));
        state.outcomes.add(outcomes);
    }

    /// Updates all levels; `occupancy` returns what is in progress for a model, if it has
    /// replicas. Returns the changes of targets.
    pub fn step(
        &mut self,
        occupancy: impl Fn(&Model) -> Option<Occupancy>,
        now: Moment,
    ) -> Vec<LevelChange> {
        let mut changes = Vec::new();
        for (model, state) in &mut self.models {
            let elapsed = now.since(state.stepped_at);
            state.stepped_at = now;
            let occupied = occupancy(model).filter(|occupancy| occupancy.slots > 0);
            let Some(occupied) = occupied.map(|o| o.running as f64 / o.slots as f64) else {
                continue;
            };
            state.follow_target(occupied, elapsed);
            if now.since(state.target_set_at) < TARGET_INTERVAL {
                continue;
            }
            let outcomes = std::mem::take(&mut state.outcomes);
            state.target = next_target(state.target, outcomes);
            state.target_set_at = now;
            if state.admitted < 1.0 {
                changes.push(LevelChange {
                    model: model.clone(),
                    admitted: state.admitted,
                    target: state.target,
                    occupied,
                    outcomes,
                });
            }
        }
        changes
    }

    /// Returns by how much more replicas a model needs than if its target were the first
    /// one: replicas of which fewer slots may be used answer less in time.
    pub fn replica_factors(&self) -> impl Iterator<Item = (&Model, f64)> {
        self.models
            .iter()
            .map(|(model, state)| (model, FIRST_TARGET / state.target))
    }

    /// Returns the admitted share of each model.
    pub fn shares(&self) -> impl Iterator<Item = (&Model, f64)> {
        self.models
            .iter()
            .map(|(model, state)| (model, state.admitted))
    }
}

impl State {
    fn new(share: f64, now: Moment) -> Self {
        Self {
            target: FIRST_TARGET,
            share,
            admitted: share,
            outcomes: Outcomes::default(),
            target_set_at: now,
            stepped_at: now,
        }
    }

    /// Updates the admitted share so that the occupied fraction of slots meets the target.
    fn follow_target(&mut self, occupied: f64, elapsed: Duration) {
        let deviation = ((self.target - occupied) / self.target).clamp(-1.0, 1.0);
        let gain = if deviation < 0.0 {
            DECREASE_PER_S
        } else {
            INCREASE_PER_S
        };
        let change = 1.0 + gain * deviation * elapsed.as_secs_f64();
        self.share = (self.share * change).clamp(MIN_SHARE, 1.0);
        let proportional = 1.0 + PROPORTIONAL * deviation;
        self.admitted = (self.share * proportional).clamp(MIN_SHARE, 1.0);
    }
}

/// Returns the target after an interval with these outcomes.
fn next_target(target: f64, outcomes: Outcomes) -> f64 {
    let samples = outcomes.on_time.saturating_add(outcomes.late);
    let late_share = outcomes.late as f64 / samples.max(1) as f64;
    if samples >= MIN_SAMPLES && late_share > ACCEPTED_LATE_SHARE {
        let excess = (late_share - ACCEPTED_LATE_SHARE) / (1.0 - ACCEPTED_LATE_SHARE);
        return (target * (1.0 - MAX_DECREASE * excess)).max(MIN_TARGET);
    }
    (target + INCREASE).min(MAX_TARGET)
}

/// Returns the probability with which a request of a rank is admitted.
///
/// `mix` holds the part of each rank in what is offered, the most urgent first. The share
/// is used up by the more urgent ranks first.
pub fn admission_probability(share: f64, mix: &[f64], rank: usize) -> f64 {
    let total: f64 = mix.iter().sum();
    let own = mix.get(rank).copied().unwrap_or(0.0);
    if share >= 1.0 || total <= 0.0 || own <= 0.0 {
        return 1.0;
    }
    let ahead: f64 = mix[..rank].iter().sum();
    ((share * total - ahead) / own).clamp(0.0, 1.0)
}

/// Returns the rate up to which each account is admitted, so that all together get `share`
/// of what they offer: the max-min fair level.
///
/// Accounts that offer less than the level are admitted whole, and what they leave goes to
/// the others. Returns infinity if all of it is admitted.
pub fn fair_level(offered: &[f64], share: f64) -> f64 {
    if share >= 1.0 {
        return f64::INFINITY;
    }
    let mut sorted = offered.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = sorted.iter().sum::<f64>() * share;
    for (index, offered) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *offered >= level {
            return level;
        }
        left -= offered;
    }
    f64::INFINITY
}
