//! The entry node on a platform.
//!
//! An [`Edge`] runs everything a node does, over a [`site::Platform`]:
//!
//! - `follow` reads the operators' and servers' feeds into the [`state`] tables,
//! - `heartbeat` tells other nodes what this one has in progress, and hears them;
//!   `peers` keeps what was heard,
//! - `feed_relay` tells them what the planner has read, so that they need not read it,
//! - `plan` forms replicas while this node holds the newest claim,
//! - `listener` takes connections, `serve` takes a request through `admit` and
//!   `attempt`, `stream` carries the events of an answer,
//! - `directory` says which nodes callers should use.
//!
//! All tables are behind one lock, [`state::Shared::tables`], which is never
//! held across an await.

mod admit;
mod attempt;
mod directory;
mod events;
mod feed_relay;
mod follow;
mod heartbeat;
mod listener;
mod metrics;
mod peers;
mod plan;
mod probe;
mod serve;
mod slot;
mod start;
mod state;
mod stream;

pub use start::Edge;
