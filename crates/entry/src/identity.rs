//! Who a node is.

use name::{Domain, Incarnation, Node, Region};
use state::{Peer, Writer};
use std::net::SocketAddr;

/// Who a node is, for one life of its process.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// The name.
    pub(crate) node: Node,
    /// The life.
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
    /// Returns the node as the epoch lists it.
    pub(crate) fn peer(&self) -> Peer {
        Peer {
            node: self.node.clone(),
            incarnation: self.incarnation,
            domain: self.domain.clone(),
            peer_address: self.peer_address,
            caller_address: self.caller_address,
        }
    }

    /// Returns the node as a writer of records.
    pub(crate) fn writer(&self) -> Writer {
        Writer(self.incarnation)
    }
}
