//! Entry nodes, as they announce themselves to each other.

use name::{Domain, Node};
use std::net::SocketAddr;

/// What a node announces of itself when it starts and when it leaves.
#[common::value]
pub struct Card {
    /// The node.
    pub node: Node,
    /// A number drawn at the start of the process.
    pub life: u64,
    /// The failure domain.
    pub domain: Domain,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for other nodes.
    pub peer: SocketAddr,
}

/// The record by which a node becomes the planner.
#[common::value]
pub struct Claim {
    /// The node.
    pub node: Node,
    /// The life of its process.
    pub life: u64,
}
