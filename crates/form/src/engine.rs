//! One engine, as the planner sees it.

use clock::Moment;
use name::{Fabric, Instance, Model};
use site::{
    config::ModelSpec,
    server::{Membership, Server},
};
use std::time::Duration;

/// One engine, as the planner sees it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The latest entry, with what the latest report says.
    pub server: Server,
    /// Whether it answers.
    pub is_alive: bool,
    /// Whether it has an entry in the store; one without may be cut off from it.
    pub has_entry: bool,
    /// Whether it may get new requests, as far as its failure domain goes.
    pub is_in_service: bool,
    /// Whether an order is in progress, as it reports.
    pub is_busy: bool,
    /// The orders that it has accepted, as it reports; `None` before its first report.
    pub sequence: Option<u64>,
    /// How much slower than usual it works.
    pub slowdown: f64,
    /// When its latest report was asked for.
    pub report_requested_at: Moment,
    /// The model that its host is staging, and when that should end.
    pub staging: Option<(Model, Moment)>,
}

impl Engine {
    /// Returns the name.
    pub fn id(&self) -> &Instance {
        &self.server.id
    }

    /// Returns the fabric domain; an engine without one is in a domain of its own.
    pub fn fabric(&self) -> Option<&Fabric> {
        self.server.engine.fabric.as_ref()
    }

    /// Returns the membership.
    pub fn membership(&self) -> Option<&Membership> {
        self.server.engine.membership.as_ref()
    }

    /// Returns whether it has told this planner its state.
    ///
    /// Entries may be old: engines cannot renew them while the store is away, and
    /// the first planner after that would take members of open replicas for free.
    pub fn has_reported(&self) -> bool {
        self.sequence.is_some()
    }

    /// Returns whether it can be a member of a replica that is to last.
    pub fn is_healthy(&self) -> bool {
        self.is_alive && self.has_entry && !self.server.is_leaving
    }

    /// Returns whether it may be told to join a new replica, as far as itself goes.
    pub(crate) fn is_joinable(&self) -> bool {
        self.is_healthy() && self.has_reported() && self.is_in_service
    }

    /// Returns whether it holds or has held `model` as its last one.
    pub fn holds(&self, model: &Model) -> bool {
        self.server.engine.loaded_models.first() == Some(model)
    }

    /// Returns whether its host keeps the weights of `model`.
    pub fn has_staged(&self, model: &Model) -> bool {
        self.server.engine.staged_models.contains(model)
    }

    /// Returns how long it takes, from `now`, to join a replica of a model.
    pub fn join_time(&self, spec: &ModelSpec, now: Moment) -> Duration {
        /// The time of a join if the model is the one held last.
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

    /// Returns whether joining a replica of `model` loads weights from the store.
    pub fn needs_load(&self, model: &Model) -> bool {
        !self.holds(model) && !self.has_staged(model) && self.staging_end(model).is_none()
    }

    /// Returns when the staging of `model` should end, if it is under way.
    fn staging_end(&self, model: &Model) -> Option<Moment> {
        let staging = self.staging.as_ref().filter(|(staged, _)| staged == model);
        staging.map(|(_, end)| *end)
    }
}
