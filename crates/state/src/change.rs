//! Records of the control stream.

use name::{Domain, Generation, Incarnation, Instance, Model, Node, Offset, Replica, Sequence};
use std::{fmt, net::SocketAddr, sync::Arc};

/// One incarnation of a process that appends records.
#[common::key]
#[serde(transparent)]
pub struct Writer(pub Incarnation);

/// A record of the control stream.
#[common::value]
pub struct Record {
    /// The process that wrote the record.
    pub writer: Writer,
    /// The sequence number among the writer's records; repeats are ignored.
    pub sequence: Sequence,
    /// The change to apply.
    pub change: Change,
}

/// A change of the control state.
#[common::value]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Replaces both operators' lists.
    Lists {
        /// The offset of the lists that this change replaces.
        base: Offset,
        /// The lists as TOML.
        text: Arc<str>,
        /// The operator who published it.
        by: Arc<str>,
    },
    /// Takes a failure domain or an instance out of service, or brings it back.
    Operation {
        /// The offset of the last operation on the same scope.
        base: Offset,
        /// The failure domain or instance.
        scope: Scope,
        /// Whether the scope is taken out or brought back.
        operation: Operation,
        /// The operator who ordered it.
        by: Arc<str>,
    },
    /// Creates a replica, or assigns other instances to it.
    Assign {
        /// The generation that this change replaces; zero for a new replica.
        base: Generation,
        /// The replica's name.
        replica: Replica,
        /// The model that the replica serves.
        model: Model,
        /// The version of the model.
        version: Arc<str>,
        /// The member instances in order of rank; the first is the leader.
        members: Vec<Instance>,
    },
    /// Removes a replica and frees its instances.
    Release {
        /// The generation that is removed.
        base: Generation,
        /// The replica's name.
        replica: Replica,
    },
    /// Replaces the list of entry nodes that own slots.
    Epoch {
        /// The offset of the epoch that this replaces.
        base: Offset,
        /// The nodes.
        peers: Vec<Peer>,
    },
    /// Stores the whole state, so that older records may expire.
    Snapshot {
        /// The state.
        snapshot: Box<Snapshot>,
    },
}

/// The target of an operation.
#[common::value]
#[derive(PartialOrd, Ord, Hash)]
#[serde(tag = "scope", content = "name", rename_all = "snake_case")]
pub enum Scope {
    /// A failure domain.
    Domain(Domain),
    /// An instance.
    Instance(Instance),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Domain(domain) => write!(f, "failure domain {domain}"),
            Self::Instance(instance) => write!(f, "instance {instance}"),
        }
    }
}

/// The kind of an operation.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Stops new work for the scope.
    TakeOut,
    /// Allows new work for the scope again.
    BringBack,
}

/// A replica's assignment.
#[common::value]
pub struct Assignment {
    /// The fencing token: the offset of the record that made the assignment.
    pub generation: Generation,
    /// The model that the replica serves.
    pub model: Model,
    /// The version of the model.
    pub version: Arc<str>,
    /// The member instances in order of rank; the first is the leader.
    pub members: Vec<Instance>,
}

/// An entry node in an epoch.
#[common::value]
pub struct Peer {
    /// The node's name.
    pub node: Node,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The node's failure domain.
    pub domain: Domain,
    /// The address on which the node serves its peers.
    pub peer_address: SocketAddr,
    /// The address on which the node serves callers.
    pub caller_address: SocketAddr,
}

/// The list of entry nodes that own slots.
#[common::value]
#[derive(Default)]
pub struct Epoch {
    /// The offset of the record that set the epoch.
    pub revision: Offset,
    /// The nodes.
    pub peers: Vec<Peer>,
}

/// A control state with the offset that it covers.
#[common::value]
pub struct Snapshot {
    /// The last offset that the state includes.
    pub covers: Offset,
    /// The state.
    pub state: crate::State,
}

impl Snapshot {
    /// Rejects a snapshot that is invalid for a record at `offset`.
    pub(crate) fn check(&self, offset: Offset) -> Result<(), crate::Rejection> {
        if self.covers == self.state.offset && self.covers < offset {
            return Ok(());
        }
        let fault = format!("a snapshot at {offset} cannot cover {}", self.covers);
        Err(crate::check::invalid(fault))
    }
}
