//! Rate and concurrency limits of client accounts, enforced over all nodes.
//!
//! A plan's limit applies to the sum of an account's use on all entry nodes. Half
//! of it is split evenly, so that each node has a share without a request; the
//! rest is divided by demand by the account's home node, as leased grants:
//!
//! 1. a node's [`NodeLimit`] makes a [`Demand`] for the [`home_node`], sent in the
//!    heartbeat;
//! 2. the home node's [`Allocator`] replies with a [`Grant`];
//! 3. the node's [`Bucket`]s admit requests at even share plus grant.
//!
//! When the home node fails, grants expire and only the evenly split half
//! remains. The sum over all nodes never exceeds the limit: see
//! `docs/design/admit.md` for the argument.

mod allocator;
mod bucket;
mod delayed;
mod node;

pub use allocator::{Allocator, home_node};
pub use bucket::{Bucket, Refusal, Usage};
pub use node::{Demand, Grant, Lease, Limit, NodeLimit};
