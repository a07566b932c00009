//! The settings that the platform gives a process.

use name::{Domain, Node};
use std::{net::SocketAddr, time::Duration};

/// The settings of one entry node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The node.
    pub node: Node,
    /// The failure domain.
    pub domain: Domain,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for the platform's checks of readiness.
    pub readiness_address: SocketAddr,
    /// The address of the directory, if this node serves it.
    pub directory_address: Option<SocketAddr>,
    /// The address for other nodes.
    pub peer_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The rate of the machine's link, if the platform names one.
    pub link_mbit_per_s: Option<f64>,
    /// The bounds that the deployment promises.
    pub bounds: Bounds,
}

/// The bounds that the deployment promises.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// The time from an entry that says "leaving" to the last new request.
    pub leaving: Duration,
    /// The time from a configuration to its effect.
    pub config: Duration,
    /// The time from the removal of a secret to the last request with it.
    pub revoke: Option<Duration>,
    /// The time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// The further attempts that are allowed for each request.
    pub retry_ratio: f64,
    /// The further attempts that are allowed besides, in each window.
    pub retry_slack: f64,
    /// The window in which loads of weights are counted.
    pub load_window: Duration,
    /// The longest time that callers keep an answer of the directory.
    pub max_answer_age: Duration,
}
