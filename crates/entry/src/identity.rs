//! The identity of a node.

use name::{Domain, Incarnation, Node, Region};
use state::{Peer, Writer};
use std::net::SocketAddr;

/// The name, addresses and location of one incarnation of a node.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// The name.
    pub(crate) node: Node,
    /// The incarnation of the process.
    pub(crate) incarnation: Incarnation,
    /// The region.
    pub(crate) region: Region,
    /// The failure domain.
    pub(crate) domain: Domain,
    /// The address on which callers reach it.
    pub(crate) caller_address: SocketAddr,
    /// The address on which peers reach it.
    pub(crate) peer_address: SocketAddr,
    /// The address on which operators reach it.
    pub(crate) admin_address: SocketAddr,
}

impl Identity {
    /// Returns the node's entry in an epoch.
    pub(crate) fn peer(&self) -> Peer {
        Peer {
            node: self.node.clone(),
            incarnation: self.incarnation,
            domain: self.domain.clone(),
            peer_address: self.peer_address,
            caller_address: self.caller_address,
        }
    }

    /// Returns the node's id as a writer of records.
    pub(crate) fn writer(&self) -> Writer {
        Writer(self.incarnation)
    }
}
