//! How much each model is asked for, against what serves it.

use crate::Engine;
use name::{Fabric, Instance, Model};
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

/// What the engines of each fabric domain could join without a load.
#[derive(Debug)]
pub(crate) struct Reserves<'a> {
    engine: &'a config::Engine,
    /// The members of replicas by domain and model.
    members: HashMap<(Option<&'a Fabric>, &'a Model), usize>,
    /// The engines that are members of nothing and could join, likewise.
    idle: HashMap<(Option<&'a Fabric>, &'a Model), usize>,
}

impl<'a> Reserves<'a> {
    /// Counts the engines.
    pub(crate) fn new(engines: &'a HashMap<Instance, Engine>, engine: &'a config::Engine) -> Self {
        let mut reserves = Self {
            engine,
            members: HashMap::new(),
            idle: HashMap::new(),
        };
        for e in engines.values().filter(|e| e.is_sound()) {
            for weights in &engine.models {
                let key = (e.fabric(), &weights.model);
                let is_member = e.member().is_some() && e.holds(&weights.model);
                if is_member {
                    *reserves.members.entry(key).or_default() += 1;
                }
                if e.member().is_none() && !e.needs_load(&weights.model) {
                    *reserves.idle.entry(key).or_default() += 1;
                }
            }
        }
        reserves
    }

    /// Returns the model that an engine's host should stage, if any.
    ///
    /// An engine in reserve stages what its domain's replicas would lack most
    /// if one of their members were lost. A member of a smaller replica stages
    /// the largest model, so that it can stand in for a member of that.
    pub(crate) fn lacking(&self, e: &Engine) -> Option<Model> {
        let largest = self.engine.models.iter().max_by_key(|w| w.size)?;
        if e.member().is_some() {
            let is_lacking = e.needs_load(&largest.model);
            return is_lacking.then(|| largest.model.clone());
        }
        let is_ready = |w: &&config::Weights| e.has_staged(&w.model);
        if self.engine.models.iter().any(|w| is_ready(&w)) {
            let is_lacking = e.needs_load(&largest.model) && self.is_bare(e, &largest.model);
            return is_lacking.then(|| largest.model.clone());
        }
        let risk = |w: &&config::Weights| {
            let key = (e.fabric(), &w.model);
            let members = self.members.get(&key).copied().unwrap_or(0);
            let idle = self.idle.get(&key).copied().unwrap_or(0);
            (members * 100 / (1 + idle), std::cmp::Reverse(w.size))
        };
        let lacking = self.engine.models.iter().filter(|w| e.needs_load(&w.model));
        lacking.max_by_key(risk).map(|w| w.model.clone())
    }

    /// Returns whether no idle engine of the domain could join a replica of a model.
    fn is_bare(&self, e: &Engine, model: &Model) -> bool {
        !self.idle.contains_key(&(e.fabric(), model))
    }
}
