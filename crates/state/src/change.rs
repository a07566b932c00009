//! Records of the control stream.

use name::{Domain, Generation, Incarnation, Instance, Model, Node, Offset, Replica, Sequence};
use std::{fmt, net::SocketAddr, sync::Arc};

/// One life of a process that appends records.
#[common::key]
#[serde(transparent)]
pub struct Writer(pub Incarnation);

/// A record of the control stream.
#[common::value]
pub struct Record {
    /// Who wrote the record.
    pub writer: Writer,
    /// The record's number among the writer's; a repeat is dropped.
    pub sequence: Sequence,
    /// What the record changes.
    pub change: Change,
}

/// A change of the control state.
#[common::value]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Replaces both operators' lists.
    Lists {
        /// The offset of the lists that this replaces.
        base: Offset,
        /// The TOML text.
        text: Arc<str>,
        /// The operator who published it.
        by: Arc<str>,
    },
    /// Takes a failure domain or instance out of service, or brings it back.
    Operation {
        /// The offset of the last operation on the same scope.
        base: Offset,
        /// What is taken out or brought back.
        scope: Scope,
        /// The direction.
        operation: Operation,
        /// The operator who ordered it.
        by: Arc<str>,
    },
    /// Forms a replica, or forms it anew from other instances.
    Assign {
        /// The replica's generation that this replaces; zero for a new one.
        base: Generation,
        /// The replica's name.
        replica: Replica,
        /// The model that it serves.
        model: Model,
        /// The version of the model.
        version: Arc<str>,
        /// The member instances in order; the first leads.
        members: Vec<Instance>,
    },
    /// Dissolves a replica; its instances become free.
    Release {
        /// The generation that is dissolved.
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
    /// Carries the whole state, so that older records may expire.
    Snapshot {
        /// The state.
        snapshot: Box<Snapshot>,
    },
}

/// What an operation concerns.
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

/// The direction of an operation.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Gives no new work to the scope.
    TakeOut,
    /// Lets the scope serve again.
    BringBack,
}

/// A replica's assignment.
#[common::value]
pub struct Assignment {
    /// The fencing number: the offset of the record.
    pub generation: Generation,
    /// The model that it serves.
    pub model: Model,
    /// The version of the model.
    pub version: Arc<str>,
    /// The member instances in order; the first leads.
    pub members: Vec<Instance>,
}

/// An entry node as the epoch lists it.
#[common::value]
pub struct Peer {
    /// The node's name.
    pub node: Node,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Domain,
    /// The address on which it serves its peers.
    pub peer_address: SocketAddr,
    /// The address on which it serves callers.
    pub caller_address: SocketAddr,
}

/// The list of entry nodes that own slots.
#[common::value]
#[derive(Default)]
pub struct Epoch {
    /// The offset of the record.
    pub revision: Offset,
    /// The nodes.
    pub peers: Vec<Peer>,
}

/// A state with the offset that it covers.
#[common::value]
pub struct Snapshot {
    /// The last offset that the state includes.
    pub covers: Offset,
    /// The state.
    pub state: crate::State,
}

impl Snapshot {
    /// Refuses a snapshot that cannot stand at `offset` of the log.
    pub(crate) fn check(&self, offset: Offset) -> Result<(), crate::Rejection> {
        if self.covers == self.state.offset && self.covers < offset {
            return Ok(());
        }
        let fault = format!("a snapshot at {offset} cannot cover {}", self.covers);
        Err(crate::check::invalid(fault))
    }
}
