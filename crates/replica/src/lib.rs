//! Assignment of instances to replicas, failure detection, orders and servability.
//!
//! A replica is a group of instances that serve one model version together. The
//! control state assigns members to each replica. A [`View`] stores what one
//! entry node has received about the instances: the platform's list, the reports
//! of the engines and the votes of the watchers. Four functions decide on these
//! inputs:
//!
//! - [`servable`] returns which replicas may take requests,
//! - [`propose`] returns the changes that form, repair or dissolve replicas,
//! - [`orders`] returns the join and leave orders to send to engines,
//! - [`watchers`] returns the entry nodes that watch an instance.
//!
//! Callers do the polling, exchange of reports, log appends and sends. No
//! function here reads a clock, opens a socket or draws a random number.

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
