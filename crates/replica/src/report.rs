//! Reports of engines, and orders to them.

use clock::Moment;
use name::{Generation, Instance, Model, Replica};
use std::{net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// The phase of an engine.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The engine is a member of no replica.
    Idle,
    /// The engine loads weights.
    Loading,
    /// The weights are loaded; the engine waits for the other members.
    Joining,
    /// The engine serves as a member.
    Ready,
    /// The engine finishes the requests in progress and accepts no new ones.
    Leaving,
}

/// An engine's report on itself.
#[common::value]
pub struct Report {
    /// The instance on which the engine runs.
    pub instance: Instance,
    /// The random identifier that the engine draws at each start.
    pub boot: Uuid,
    /// The phase of the engine.
    pub phase: Phase,
    /// The replica of which the engine is a member.
    pub replica: Option<Replica>,
    /// The generation of that membership, or zero without one.
    pub generation: Generation,
    /// The index of the engine among the members, from 0.
    pub member: u32,
    /// The models, versions and adapters loaded, as `model@version`.
    pub loaded: Vec<Arc<str>>,
    /// The number of requests in progress or queued in the engine.
    pub running: u32,
    /// Whether the engine checks fencing numbers.
    pub fences: bool,
}

impl Report {
    /// Returns whether the weights named `weights` are loaded.
    pub fn has_weights(&self, weights: &str) -> bool {
        self.loaded.iter().any(|name| **name == *weights)
    }
}

/// Returns the name under which a report lists the weights of a model version.
pub fn weights_name(model: &Model, version: &str) -> String {
    format!("{model}@{version}")
}

/// An order to the engine of one instance.
#[common::plain]
pub struct Order {
    /// The instance.
    pub instance: Instance,
    /// The address of its engine.
    pub address: SocketAddr,
    /// The deadline for writing the order; the driver checks it directly before the write.
    pub deadline: Moment,
    /// Whether the engine checks fencing numbers.
    ///
    /// If not, the driver sends the order on a connection of its own.
    pub fences: bool,
    /// The membership change that the engine must make.
    pub command: Command,
}

/// The membership change that an order requests.
#[common::plain]
pub enum Command {
    /// Become a member of a replica.
    Join {
        /// The replica.
        replica: Replica,
        /// The generation of the membership, which is the fencing number.
        generation: Generation,
        /// The index among the members, from 0.
        member: u32,
        /// The addresses of the engines of all members, by member index.
        peers: Vec<SocketAddr>,
        /// The model to load.
        model: Model,
        /// The version to load.
        version: Arc<str>,
        /// The adapters to load.
        adapters: Vec<Model>,
    },
    /// Leave the replica and become idle.
    Leave {
        /// The fencing number of the membership that ends.
        generation: Generation,
    },
}
