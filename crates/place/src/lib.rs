//! Placing, queueing and refusing requests.
//!
//! A [`Fleet`] turns the entries of backend servers into [`Target`]s, which are
//! what a request can be sent to: an open replica of a model, or a server of a
//! plain service. [`Load`] holds what is in progress at each, [`Cost`] predicts
//! what one more request would meet there, and [`choose`] picks a target. What
//! finds none waits in a [`Queue`]; [`Budget`] bounds further attempts.
//!
//! Nothing here reads a clock, opens a socket or holds a lock.

mod budget;
mod choice;
mod cost;
mod fleet;
mod load;
mod queue;

pub use budget::Budget;
pub use choice::{Ask, Choice, Crowd, Outlook, choose, cold_part};
pub use cost::Cost;
pub use fleet::{Fleet, Target};
pub use load::{Load, Share, Work};
pub use queue::{Queue, Rank, wait};
