//! The records by which entry nodes announce themselves to each other.

use name::{Domain, Node};
use std::net::SocketAddr;

/// The record that a node writes when it starts and when it leaves.
#[common::value]
pub struct NodeRecord {
    /// The node.
    pub node: Node,
    /// The random number of the process, drawn at its start.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The failure domain.
    pub domain: Domain,
    /// The address for callers.
    #[serde(rename = "front")]
    pub caller_address: SocketAddr,
    /// The address for other nodes.
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
}

/// The record by which a node claims to be the planner.
#[common::value]
pub struct PlannerClaim {
    /// The node.
    pub node: Node,
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
}
