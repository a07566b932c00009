//! Backend servers, as they report themselves.

use name::{Domain, Fabric, Instance, Model, Replica, Service};
use std::{net::SocketAddr, time::Duration};

/// The latest entry of a backend server.
#[common::value]
pub struct Server {
    /// The server.
    pub id: Instance,
    /// The service that it runs.
    pub service: Service,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Domain,
    /// The start of this life in wall-clock milliseconds, which tells lives apart.
    pub incarnation: u64,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// How much longer it is cold.
    pub cold_time_left: Duration,
    /// What it says of itself as a model engine.
    pub engine: EngineState,
}

/// What a model engine says of itself.
#[common::value]
#[derive(Default)]
pub struct EngineState {
    /// The fabric domain.
    pub fabric: Option<Fabric>,
    /// The models whose weights the host keeps.
    pub staged_models: Vec<Model>,
    /// The models that it holds.
    pub loaded_models: Vec<Model>,
    /// The replica of which it is a member.
    pub membership: Option<Membership>,
}

/// A membership in a replica.
#[common::value]
pub struct Membership {
    /// The replica.
    pub replica: Replica,
    /// The replica's generation.
    pub generation: u64,
    /// The place among the members; zero is the head.
    pub rank: usize,
    /// How far it is.
    pub phase: Phase,
}

/// How far a member of a replica is.
#[common::key]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It is getting ready.
    Joining,
    /// It can take part.
    Ready,
    /// As the head, it takes requests.
    Open,
    /// As the head, it finishes what it has.
    Closing,
    /// It has lost other members.
    Broken,
}

/// The answer of an engine that was asked for its state.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The start of the engine's life, if it said so.
    pub incarnation: Option<u64>,
    /// What it says of itself.
    pub engine: EngineState,
    /// The orders that it has accepted in this life.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The requests that wait.
    pub queued: u32,
    /// The requests in progress.
    pub running: u32,
    /// How much slower than usual it works; 1 is usual.
    pub slowdown: f64,
}

/// A change of one backend server's entry.
#[common::value]
pub enum Change {
    /// The entry is this one now.
    Updated(Box<Server>),
    /// There is no usable entry any more.
    Removed(Instance),
}

impl Change {
    /// Returns the server whose entry changed.
    pub fn id(&self) -> &Instance {
        match self {
            Self::Updated(server) => &server.id,
            Self::Removed(id) => id,
        }
    }
}

impl Server {
    /// Returns whether another entry means the same for requests.
    ///
    /// Every renewal counts down how long the server stays cold; what the host keeps,
    /// and how far a member is that does not serve, matters to the planner only.
    pub fn is_equivalent_for_callers(&self, other: &Self) -> bool {
        let plain = |server: &Self| {
            let mut plain = server.clone();
            plain.cold_time_left = plain.cold_time_left.min(Duration::from_nanos(1));
            plain.engine.staged_models.clear();
            if let Some(member) = &mut plain.engine.membership
                && member.phase == Phase::Joining
            {
                member.phase = Phase::Ready;
            }
            plain
        };
        plain(self) == plain(other)
    }
}
