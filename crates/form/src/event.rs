//! What a step of the planner takes in and gives out.

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

/// What one step decided.
#[derive(Debug, Clone, Default)]
pub struct Step {
    /// The orders to send.
    pub orders: Vec<OutgoingOrder>,
    /// What the planner believes and wants now, for the log.
    pub events: Vec<Event>,
}

/// A decision or a change of belief, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A replica is to be formed.
    FormationStarted {
        /// The replica.
        replica: Replica,
        /// The model.
        model: Model,
        /// The members.
        members: Vec<Instance>,
        /// The use of the model's replicas before.
        scarcity: f64,
        /// How long each member takes to join.
        joins: Vec<Duration>,
    },
    /// A formation ended.
    FormationEnded {
        /// The replica.
        replica: Replica,
        /// Whether it serves.
        is_open: bool,
    },
    /// A serving replica is given up for a scarcer model.
    ReplicaReclaimed {
        /// The replica.
        replica: Replica,
        /// The scarcer model.
        scarcer: Model,
        /// The use of that model's replicas.
        scarcity: f64,
    },
    /// The replicas that serve each model, and the engines that are members of nothing.
    ServingChanged {
        /// The replicas by model.
        replicas: Vec<(Model, usize)>,
        /// The engines in reserve.
        reserve: usize,
    },
}

/// The planner's knowledge of the deployment for one step.
#[derive(Debug, Clone)]
pub struct Inputs<'a> {
    /// The costs and models.
    pub engine: &'a config::EngineSpec,
    /// What callers ask for.
    pub demand: &'a Demand,
    /// Whether any request has come; before the first one, loads are fast and free.
    pub has_traffic: bool,
    /// The window in which loads are counted.
    pub load_window: Duration,
}
