//! The settings that the platform passes to a process.

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
    /// The bandwidth of the machine's network link, if the platform gives it.
    pub link_mbit_per_s: Option<f64>,
    /// The memory above which the platform kills the process, in bytes, if it gives it.
    pub memory_bytes: Option<u64>,
    /// The number of descriptors for sockets and pipes, if the platform limits it.
    pub max_descriptors: Option<usize>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// The limits that the deployment guarantees.
    pub bounds: Bounds,
}

/// The limits that the deployment guarantees.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// The maximum time from an entry marked as leaving to the last new request.
    pub max_leaving_delay: Duration,
    /// The maximum time from publishing a configuration to its effect.
    pub max_config_delay: Duration,
    /// The maximum time from the removal of a secret to the last request accepted
    /// with it.
    pub max_revoke_delay: Option<Duration>,
    /// The time from SIGTERM to SIGKILL.
    pub termination_grace: Duration,
    /// The retries allowed per request.
    pub retry_ratio: f64,
    /// The retries allowed in each window in addition to those per request.
    pub retry_slack: f64,
    /// The window of the limit on retries.
    pub retry_window: Duration,
    /// The window of the limit on weight loads.
    pub load_window: Duration,
    /// The maximum time for which callers cache a response of the directory.
    pub directory_max_age: Duration,
    /// The maximum time for which the directory may name a node that has ended.
    pub max_directory_delay: Duration,
}
