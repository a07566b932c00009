//! What engines say and what they are told.

use clock::Moment;
use name::{Generation, Instance, Model, Replica};
use std::{net::SocketAddr, sync::Arc};
use uuid::Uuid;

/// The phase of an engine.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It belongs to no replica.
    Idle,
    /// It loads weights.
    Loading,
    /// It is loaded, and waits for the other members.
    Joining,
    /// It serves as a member.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// An engine's report on itself.
#[common::value]
pub struct Report {
    /// The instance.
    pub instance: Instance,
    /// One life of the engine; a restart draws another.
    pub boot: Uuid,
    /// The phase.
    pub phase: Phase,
    /// The replica to which it believes it belongs.
    pub replica: Option<Replica>,
    /// The generation of that membership; zero without one.
    pub generation: Generation,
    /// Its place in the replica, from 0.
    pub member: u32,
    /// The models, versions and adapters loaded, as `model@version`.
    pub loaded: Vec<Arc<str>>,
    /// Requests in progress or waiting inside.
    pub running: u32,
    /// Whether it checks fencing numbers.
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
    /// The last moment to write the order; the driver checks it directly before.
    pub deadline: Moment,
    /// Whether the engine checks fencing numbers.
    ///
    /// Without, the driver sends on a connection used for this order alone.
    pub fences: bool,
    /// What the engine is told.
    pub command: Command,
}

/// What an order says.
#[common::plain]
pub enum Command {
    /// Become a member of a replica.
    Join {
        /// The replica.
        replica: Replica,
        /// The fencing number.
        generation: Generation,
        /// The place, from 0.
        member: u32,
        /// The addresses of all members in order.
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
