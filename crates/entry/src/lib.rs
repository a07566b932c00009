//! The entry node: callers' API, peers, and the drivers of every decision.
//!
//! [`Entry::start`] starts one node from its settings; [`Entry::stop`] ends it
//! as a planned stop. The decisions are in the areas' crates and pure; the
//! modules here read inputs, ask, and carry the results out:
//!
//! - `http` and `admin` serve callers and operators, `peer` the other nodes;
//! - `serve` takes a request through admission, place, attempts and retries;
//! - `driver` follows the log, polls backend servers, exchanges heartbeats,
//!   proposes replicas and epochs, and sends orders;
//! - `node` holds the tables that they share, with their lock order.

mod admin;
mod driver;
mod endpoint;
mod http;
mod identity;
mod metrics;
mod node;
mod peer;
mod reports;
mod serve;
mod start;

pub use endpoint::{Audience, Endpoint, endpoints};
pub use start::{Entry, Failure};
