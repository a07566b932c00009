//! Membership of entry nodes, the directory of entry nodes, and freshness.
//!
//! In every interval, each node calls a few partners. A call and its reply
//! carry one [`Beat`] each: a heartbeat, plus the member records that changed
//! since the last exchange between the two nodes. All nodes derive the same
//! graph of partners from the members. Each node is therefore watched by the
//! same few others, in any failure domain, at a cost that does not grow with
//! the number of nodes.
//!
//! [`Freshness`] decides whether this node may act on its state, [`Directory`]
//! which nodes callers should use, [`Drain`] how a node stops, and [`Proposer`]
//! when the list of nodes that own slots should change.

mod beat;
mod directory;
mod drain;
mod epoch;
mod exchange;
mod freshness;
mod full_sync;
mod graph;
mod member;
mod settings;
mod table;

pub use beat::{Beat, LogReport, Page, PageRequest, TailReading};
pub use directory::{Directory, Listing};
pub use drain::{Drain, Stage};
pub use epoch::{Proposer, Timing};
pub use freshness::{Freshness, Reachability, Status};
pub use graph::Graph;
pub use member::{Health, Member, Role};
pub use settings::{Exchange, Settings};
pub use table::{Call, Table};
