//! The inputs and outputs of a planner step.

use crate::Demand;
use name::{Instance, Model, Replica};
use site::{config, order::Order};
use std::time::Duration;

/// An order for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingOrder {
    /// The engine.
    pub engine: Instance,
    /// The order.
    pub order: Order,
}

/// The result of one planner step.
#[derive(Debug, Clone, Default)]
pub struct Step {
    /// The orders to send.
    pub orders: Vec<OutgoingOrder>,
    /// The decisions and state changes, for the log.
    pub events: Vec<Event>,
}

/// A decision of the planner or a change that it detected, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The formation of a replica started.
    FormationStarted {
        /// The replica.
        replica: Replica,
        /// The model.
        model: Model,
        /// The members.
        members: Vec<Instance>,
        /// The scarcity of the model before.
        scarcity: f64,
        /// The expected join time of each member.
        joins: Vec<Duration>,
    },
    /// A formation ended.
    FormationEnded {
        /// The replica.
        replica: Replica,
        /// Whether the replica serves.
        is_open: bool,
    },
    /// A serving replica is closed to free its engines for a scarcer model.
    ReplicaReclaimed {
        /// The replica.
        replica: Replica,
        /// The scarcer model.
        scarcer: Model,
        /// The scarcity of that model.
        scarcity: f64,
    },
    /// The number of serving replicas or of engines in reserve has changed.
    ServingChanged {
        /// The number of serving replicas by model.
        replicas: Vec<(Model, usize)>,
        /// The number of engines without a membership.
        reserve: usize,
        /// The number of those that would have to load weights for every model.
        unloaded: usize,
        /// The number of loads from the weight store in progress.
        loads: usize,
    },
}

/// The state of the deployment for one planner step.
#[derive(Debug, Clone)]
pub struct Inputs<'a> {
    /// The latency parameters and models.
    pub engine_spec: &'a config::EngineSpec,
    /// The demand of callers.
    pub demand: &'a Demand,
    /// Whether any request has arrived; before the first one, loads are fast and
    /// free.
    pub has_traffic: bool,
    /// The window of the load rate limit.
    pub load_window: Duration,
}
