//! Request placement: choosing a target, queueing, and limiting retries.
//!
//! A [`Fleet`] turns the entries of backend servers into [`Target`]s, to which
//! requests can be sent: an open replica of a model, or a server of a plain service.
//! [`LoadTracker`] holds the requests in progress at each target, [`CostModel`]
//! predicts the latency that one more request would have there, [`Limits`] holds the rates
//! that servers name, and [`choose_target`] picks a target. [`Levels`] holds which share
//! of the requests for each model is admitted, so that first tokens come in time. Requests without a
//! target wait in a [`Queue`]; [`RetryBudget`] limits retries. [`Reach`] decides whether this node reaches the servers at all.
//!
//! This crate reads no clock, opens no socket and holds no lock.

mod budget;
mod choice;
mod cost;
mod delay;
mod fleet;
mod level;
mod limit;
mod load;
mod queue;
mod reach;

pub use budget::RetryBudget;
pub use choice::{Contention, Decision, Objective, Placement, Query, choose_target};
pub use cost::CostModel;
pub use delay::Delays;
pub use fleet::{Fleet, Outdated, Target, Version};
pub use level::{
    LevelChange, Levels, MAX_SHARE_AGE, Occupancy, Outcomes, admission_probability, fair_level,
};
pub use limit::{Limits, NAMED_SPAN, Named, Share, cold_share};
pub use load::{LoadTracker, TargetLoad, Work};
pub use queue::{Queue, Urgency, estimated_wait};
pub use reach::{CHECK_INTERVAL, CHECKED_SERVERS, CONNECTED_CHECK_INTERVAL, Reach};
