//! How much each model is asked for, against what serves it.

use name::Model;
use site::config;
use std::collections::HashMap;

/// The work that callers ask for, by model, in replicas that it would fill.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    /// The replicas of a model that would be busy all the time.
    pub replicas: HashMap<Model, f64>,
}

/// The part of the expected work that is always counted on.
///
/// A model that is asked for rarely still needs a replica.
const FLOOR: f64 = 0.05;

impl Demand {
    /// Returns the demand for a model.
    ///
    /// Before any request, the shares that the configuration expects stand for it.
    fn of(&self, weights: &config::Weights) -> f64 {
        let expected = weights.share.max(FLOOR) / weights.size as f64;
        let seen = self.replicas.get(&weights.model).copied().unwrap_or(0.0);
        if self.replicas.is_empty() {
            expected
        } else {
            seen.max(FLOOR * expected)
        }
    }
}

/// How scarce each model is: its demand for each replica that serves it.
#[derive(Debug, Clone)]
pub(crate) struct Scarcity {
    demand: HashMap<Model, f64>,
    replicas: HashMap<Model, usize>,
}

impl Scarcity {
    /// Returns the scarcity with no replica yet.
    pub(crate) fn new(engine: &config::Engine, demand: &Demand) -> Self {
        let models = engine.models.iter();
        Self {
            demand: models.map(|w| (w.model.clone(), demand.of(w))).collect(),
            replicas: HashMap::new(),
        }
    }

    /// Counts one more replica of a model.
    pub(crate) fn add(&mut self, model: &Model) {
        *self.replicas.entry(model.clone()).or_default() += 1;
    }

    /// Returns the scarcity of a model if it had `change` more replicas.
    pub(crate) fn with(&self, model: &Model, change: isize) -> f64 {
        let replicas = self.replicas.get(model).copied().unwrap_or(0);
        let replicas = replicas.saturating_add_signed(change);
        let demand = self.demand.get(model).copied().unwrap_or(0.0);
        if replicas == 0 {
            // Without any replica, the most wanted model still goes first.
            demand * 1e6
        } else {
            demand / replicas as f64
        }
    }

    /// Returns the models, the scarcest first.
    pub(crate) fn order<'a>(&self, engine: &'a config::Engine) -> Vec<&'a config::Weights> {
        let mut models: Vec<_> = engine.models.iter().collect();
        models.sort_by(|a, b| self.with(&b.model, 0).total_cmp(&self.with(&a.model, 0)));
        models
    }
}
