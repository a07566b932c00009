//! Replicas: assignment, watchers, orders, servability.
//!
//! A [`View`] holds what one entry node knows of the instances: the platform's
//! list, the engines' reports and the watchers' votes. Four pure functions read
//! it together with the control state:
//!
//! - [`servable`] says which replicas may take requests,
//! - [`propose`] says which replicas to form, repair or dissolve,
//! - [`orders`] says which engines must be told of their membership,
//! - [`watchers`] says which entry nodes watch an instance.
//!
//! Drivers poll, gossip, append and send. No function here reads a clock, opens
//! a socket or draws a random number.

mod drain;
mod form;
mod merge;
mod order;
mod pacer;
mod policy;
mod pool;
mod propose;
mod repair;
mod report;
mod serve;
mod settings;
mod snapshot;
mod target;
mod view;
mod watch;

pub use order::{OrderTracker, orders};
pub use pacer::Pacer;
pub use policy::{Policy, RecoveryEstimate};
pub use propose::propose;
pub use report::{Command, Order, Phase, Report, weights_name};
pub use serve::{Blocked, Cause, Servable, dispatch_check, servable};
pub use settings::Settings;
pub use view::{InstanceStatus, ListedInstance, ListingState, TimedReport, View};
pub use watch::{Evaluation, FailureDetector, Vote, watchers};
