//! Membership of entry nodes, the directory of entries, freshness.
//!
//! Each node calls a few partners in every interval. A call and its reply
//! carry a [`Beat`] each: evidence that the sender lives, and the words about
//! members that changed since the last exchange of the two. Partners come from
//! a graph that all nodes derive alike from the members, so that each node is
//! watched by the same few others in any failure domain, at a cost that does
//! not grow with the number of nodes.
//!
//! [`Freshness`] says whether this node may act on its state, [`Directory`]
//! which nodes callers should use, [`Drain`] how a node stops, and
//! [`Proposer`] when the list of nodes that own slots should change.

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
