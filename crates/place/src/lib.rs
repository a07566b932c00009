//! Placing, queueing and refusing requests.
//!
//! A [`Fleet`] turns the entries of backend servers into [`Target`]s, which are
//! what a request can be sent to: an open replica of a model, or a server of a
//! plain service. [`LoadTracker`] holds what is in progress at each, [`CostModel`] predicts
//! what one more request would meet there, and [`choose_target`] picks a target. What
//! finds none waits in a [`Queue`]; [`RetryBudget`] bounds further attempts.
//!
//! Nothing here reads a clock, opens a socket or holds a lock.

mod budget;
mod choice;
mod cost;
mod fleet;
mod load;
mod queue;

pub use budget::RetryBudget;
pub use choice::{Contention, Decision, Placement, Query, choose_target, cold_rate_share};
pub use cost::CostModel;
pub use fleet::{Fleet, Target};
pub use load::{LoadTracker, TargetLoad, Work};
pub use queue::{Queue, Urgency, estimated_wait};
