//! The entry node: callers' API, exchange with peers, and background tasks.
//!
//! [`Entry::start`] starts one node from its settings; [`Entry::stop`] stops it
//! gracefully. The decisions are pure functions in other crates; the modules
//! here read the inputs, call the decisions and carry out the results:
//!
//! - `http` and `admin` serve callers and operators, `peer` the other nodes;
//! - `serve` takes a request through admission, placement, attempts and retries;
//! - `driver` follows the log, polls backend servers, exchanges heartbeats,
//!   proposes replicas and epochs, and sends orders;
//! - `node` holds the tables that they share, with their lock order;
//! - `reports` stores what instances and peers report beyond the views.

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
