//! Backend servers: their entries and reports.

use name::{Domain, Fabric, Instance, Model, Replica, Service};
use std::{net::SocketAddr, time::Duration};

/// The latest entry of a backend server in the store.
#[common::value]
pub struct Server {
    /// The server.
    pub id: Instance,
    /// The service that it runs.
    pub service: Service,
    /// The address that receives requests.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Domain,
    /// The start time of the process in wall-clock milliseconds, which identifies the
    /// incarnation.
    pub incarnation: u64,
    /// The number of the entry among those of the incarnation; `None` if it is not known.
    ///
    /// Not part of the encoding, which earlier versions of the program decode by position.
    #[serde(skip)]
    pub sequence: Option<u64>,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server is about to stop.
    pub is_leaving: bool,
    /// The remaining time for which the server is cold and bears a reduced request
    /// rate.
    pub cold_time_left: Duration,
    /// The state of the server as a model engine.
    pub engine: EngineState,
}

/// The reported state of a model engine.
#[common::value]
#[derive(Default)]
pub struct EngineState {
    /// The fabric domain.
    pub fabric: Option<Fabric>,
    /// The models whose weights are stored on the host.
    pub staged_models: Vec<Model>,
    /// The models that the engine has loaded.
    pub loaded_models: Vec<Model>,
    /// The engine's membership in a replica.
    pub membership: Option<Membership>,
}

/// A membership in a replica.
#[common::value]
pub struct Membership {
    /// The replica.
    pub replica: Replica,
    /// The replica's generation.
    pub generation: u64,
    /// The position among the members; zero is the head.
    pub rank: usize,
    /// The phase.
    pub phase: Phase,
}

/// The phase of a member of a replica.
#[common::key]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The member is preparing to serve.
    Joining,
    /// The member is prepared to serve.
    Ready,
    /// The head accepts requests.
    Open,
    /// The head finishes its requests and accepts no new ones.
    Closing,
    /// The member has lost other members of its replica.
    Broken,
}

/// The response of an engine to a request for its state.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The engine's incarnation, if reported.
    pub incarnation: Option<u64>,
    /// The state of the engine.
    pub engine: EngineState,
    /// The number of orders accepted in this incarnation.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The number of queued requests.
    pub queued: u32,
    /// The number of requests in progress.
    pub running: u32,
    /// The slowdown factor; 1 is normal.
    pub slowdown: f64,
}

/// The answer of a server to a health check.
#[common::key]
pub struct Health {
    /// Whether the server accepts requests.
    pub is_ready: bool,
    /// Whether the server announces that it is leaving.
    pub is_leaving: bool,
}

/// A change of one backend server's entry.
#[common::value]
pub enum Change {
    /// The entry was created or updated.
    Updated(Box<Server>),
    /// The entry was removed or can no longer be parsed.
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

    /// Returns the entry; `None` for a removal.
    pub fn entry(&self) -> Option<&Server> {
        match self {
            Self::Updated(server) => Some(server),
            Self::Removed(_) => None,
        }
    }
}

impl Server {
    /// Returns whether another entry describes the same state, whatever their numbers.
    pub fn is_same_state(&self, other: &Self) -> bool {
        let numbered = || Self {
            sequence: self.sequence,
            ..other.clone()
        };
        // The planner compares each engine's entry in each step; most are equal.
        self == other || *self == numbered()
    }

    /// Returns whether another entry is equivalent for requests.
    ///
    /// Each renewal updates the remaining cold time. Staged models, and the phase of
    /// a member that does not serve yet, matter only to the planner.
    pub fn is_equivalent_for_callers(&self, other: &Self) -> bool {
        let normalized = |server: &Self| {
            let mut normalized = server.clone();
            normalized.sequence = None;
            normalized.cold_time_left = normalized.cold_time_left.min(Duration::from_nanos(1));
            normalized.engine.staged_models.clear();
            if let Some(member) = &mut normalized.engine.membership
                && member.phase == Phase::Joining
            {
                member.phase = Phase::Ready;
            }
            normalized
        };
        normalized(self) == normalized(other)
    }
}
