//! Rates and concurrency of client accounts, over all nodes together.
//!
//! A plan's limit holds for an account on all entry nodes together. Half of it
//! is split evenly, so that each node has something without asking; the rest is
//! divided by demand by the account's home node, as leased grants:
//!
//! 1. a node's [`NodeLimit`] sends a [`Demand`] in its heartbeat to [`home`];
//! 2. the home's [`Allocator`] answers with a [`Grant`];
//! 3. the node's [`Bucket`]s admit requests at base plus grant.
//!
//! When the home is lost, grants lapse and the even split of the reserved half
//! remains. The sum over all nodes never exceeds the limit: see
//! `docs/design/admit.md` for the argument.

mod allocator;
mod bucket;
mod delayed;
mod node;

pub use allocator::{Allocator, home_node};
pub use bucket::{Bucket, Refusal, Usage};
pub use node::{Demand, Grant, Lease, Limit, NodeLimit};
