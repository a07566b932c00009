//! The state of an engine in the planner.

use clock::Moment;
use name::{Fabric, Instance, Model};
use site::{
    config::ModelSpec,
    server::{Membership, Server},
};
use std::time::Duration;

/// A model engine with its last reported state.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The latest entry, updated by the latest report.
    pub server: Server,
    /// Whether the engine responds.
    pub is_alive: bool,
    /// Whether the engine has an entry in the store; without one, it may have lost
    /// only its connection to the store.
    pub has_entry: bool,
    /// Whether the engine's failure domain is in service, so that it may get new
    /// requests.
    pub is_in_service: bool,
    /// Whether the engine reports an order in progress.
    pub is_busy: bool,
    /// The number of orders that the engine has accepted; `None` before its first
    /// report.
    pub sequence: Option<u64>,
    /// The engine's slowdown factor; 1 is normal.
    pub slowdown: f64,
    /// When the latest report was requested.
    pub report_requested_at: Moment,
    /// Whether the entry and the latest report agree on the engine's replica; an
    /// entry may have been written late.
    pub is_confirmed: bool,
    /// The model that the engine's host is staging, and when that should end.
    pub staging: Option<(Model, Moment)>,
}

impl Engine {
    /// Returns the engine's name.
    pub fn id(&self) -> &Instance {
        &self.server.id
    }

    /// Returns the fabric domain; an engine without one shares its domain with no
    /// other.
    pub fn fabric(&self) -> Option<&Fabric> {
        self.server.engine.fabric.as_ref()
    }

    /// Returns the engine's membership in a replica.
    pub fn membership(&self) -> Option<&Membership> {
        self.server.engine.membership.as_ref()
    }

    /// Returns whether the engine has reported its state to this planner.
    ///
    /// Entries may be outdated: engines cannot renew them while the store is
    /// unavailable, and the first planner after that would treat members of open
    /// replicas as free.
    pub fn has_reported(&self) -> bool {
        self.sequence.is_some()
    }

    /// Returns whether the engine can remain a member of a replica.
    pub fn is_healthy(&self) -> bool {
        self.is_alive && self.has_entry && !self.server.is_leaving
    }

    /// Returns whether the engine itself can be ordered to join a new replica.
    pub(crate) fn is_joinable(&self) -> bool {
        self.is_healthy() && self.has_reported() && self.is_confirmed && self.is_in_service
    }

    /// Returns whether `model` is the model that the engine holds or held last.
    pub fn holds(&self, model: &Model) -> bool {
        self.server.engine.loaded_models.first() == Some(model)
    }

    /// Returns whether the engine's host stores the weights of `model`.
    pub fn has_staged(&self, model: &Model) -> bool {
        self.server.engine.staged_models.contains(model)
    }

    /// Returns the time to join a replica of a model, from `now`.
    pub fn join_time(&self, spec: &ModelSpec, now: Moment) -> Duration {
        /// The time of a join if the engine held the model last.
        const HELD_JOIN_TIME: Duration = Duration::from_millis(200);
        if self.holds(&spec.model) {
            HELD_JOIN_TIME
        } else if self.has_staged(&spec.model) {
            spec.warm_load_time
        } else if let Some(end) = self.staging_end(&spec.model) {
            now.until(end) + spec.warm_load_time
        } else {
            spec.load_time
        }
    }

    /// Returns whether joining a replica of `model` loads weights from the weight
    /// store.
    pub fn needs_load(&self, model: &Model) -> bool {
        !self.holds(model) && !self.has_staged(model) && self.staging_end(model).is_none()
    }

    /// Returns when the staging of `model` should end, if it is in progress.
    fn staging_end(&self, model: &Model) -> Option<Moment> {
        let staging = self.staging.as_ref().filter(|(staged, _)| staged == model);
        staging.map(|(_, end)| *end)
    }
}
