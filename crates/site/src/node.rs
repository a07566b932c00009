//! Entry nodes, as they announce themselves to each other.

use name::{Domain, Node};
use std::net::SocketAddr;

/// What a node announces of itself when it starts and when it leaves.
#[common::value]
pub struct NodeRecord {
    /// The node.
    pub node: Node,
    /// A number drawn at the start of the process.
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

/// The record by which a node becomes the planner.
#[common::value]
pub struct PlannerClaim {
    /// The node.
    pub node: Node,
    /// The life of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
}
