//! The demand for each model, relative to the replicas that serve it.

use crate::Engine;
use name::{Fabric, Instance, Model};
use site::config;
use std::collections::HashMap;

/// The demand of callers, by model, in fully used replicas.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    /// The number of replicas that the demand for a model would keep busy all the
    /// time.
    pub replicas: HashMap<Model, f64>,
}

/// The minimum fraction of the expected demand that is assumed for a model.
///
/// A model that is rarely requested still needs a replica.
const MIN_EXPECTED_FRACTION: f64 = 0.05;

impl Demand {
    /// Returns the demand for a model.
    ///
    /// Before any request, the shares that the configuration expects are used
    /// instead.
    fn for_model(&self, spec: &config::ModelSpec) -> f64 {
        let expected = spec.expected_share.max(MIN_EXPECTED_FRACTION) / spec.replica_size as f64;
        let observed = self.replicas.get(&spec.model).copied().unwrap_or(0.0);
        if self.replicas.is_empty() {
            expected
        } else {
            observed.max(MIN_EXPECTED_FRACTION * expected)
        }
    }
}

/// The scarcity of each model: its demand per serving replica.
#[derive(Debug, Clone)]
pub(crate) struct Scarcity {
    demand: HashMap<Model, f64>,
    replicas: HashMap<Model, usize>,
}

impl Scarcity {
    /// Returns the scarcity without any replica.
    pub(crate) fn new(engine_spec: &config::EngineSpec, demand: &Demand) -> Self {
        let models = engine_spec.models.iter();
        Self {
            demand: models
                .map(|w| (w.model.clone(), demand.for_model(w)))
                .collect(),
            replicas: HashMap::new(),
        }
    }

    /// Counts one more replica of a model.
    pub(crate) fn add_replica(&mut self, model: &Model) {
        *self.replicas.entry(model.clone()).or_default() += 1;
    }

    /// Returns the scarcity that a model would have with `change` more replicas.
    pub(crate) fn for_replica_change(&self, model: &Model, change: isize) -> f64 {
        let replicas = self.replicas.get(model).copied().unwrap_or(0);
        let replicas = replicas.saturating_add_signed(change);
        let demand = self.demand.get(model).copied().unwrap_or(0.0);
        if replicas == 0 {
            // Without any replica, the model with the highest demand still goes
            // first.
            demand * 1e6
        } else {
            demand / replicas as f64
        }
    }

    /// Returns the models, the scarcest first.
    pub(crate) fn scarcest_first<'a>(
        &self,
        engine_spec: &'a config::EngineSpec,
    ) -> Vec<&'a config::ModelSpec> {
        let mut models: Vec<_> = engine_spec.models.iter().collect();
        models.sort_by(|a, b| {
            self.for_replica_change(&b.model, 0)
                .total_cmp(&self.for_replica_change(&a.model, 0))
        });
        models
    }
}

/// The models that the engines of each fabric domain can join without a load.
#[derive(Debug)]
pub(crate) struct Reserves<'a> {
    engine_spec: &'a config::EngineSpec,
    scarcity: &'a Scarcity,
    /// The number of members of replicas, by domain and model.
    members: HashMap<(Option<&'a Fabric>, &'a Model), usize>,
    /// The number of engines without a membership that could join without a load, by
    /// domain and model.
    idle: HashMap<(Option<&'a Fabric>, &'a Model), usize>,
}

impl<'a> Reserves<'a> {
    /// Counts the healthy engines.
    pub(crate) fn new(
        engines: &'a HashMap<Instance, Engine>,
        engine_spec: &'a config::EngineSpec,
        scarcity: &'a Scarcity,
    ) -> Self {
        let mut reserves = Self {
            engine_spec,
            scarcity,
            members: HashMap::new(),
            idle: HashMap::new(),
        };
        for e in engines.values().filter(|e| e.is_healthy()) {
            for spec in &engine_spec.models {
                let key = (e.fabric(), &spec.model);
                let is_member = e.membership().is_some() && e.holds(&spec.model);
                if is_member {
                    *reserves.members.entry(key).or_default() += 1;
                }
                if e.membership().is_none() && !e.needs_load(&spec.model) {
                    *reserves.idle.entry(key).or_default() += 1;
                }
            }
        }
        reserves
    }

    /// Returns whether each domain with a replica of the largest model has an engine
    /// in reserve for it.
    pub(crate) fn covers_largest_model(&self) -> bool {
        let largest = self
            .engine_spec
            .models
            .iter()
            .max_by_key(|w| w.replica_size);
        largest.is_none_or(|largest| {
            let mut keys = self.members.keys().filter(|(_, m)| **m == largest.model);
            keys.all(|key| self.idle.contains_key(key))
        })
    }

    /// Picks up to `limit` hosts and the models that they should stage, those with
    /// the largest shortage first.
    pub(crate) fn choose_stagings(
        mut self,
        mut hosts: Vec<&'a Engine>,
        limit: usize,
    ) -> Vec<(Instance, &'a config::ModelSpec)> {
        hosts.sort_by_key(|e| e.id().clone());
        let mut chosen = Vec::new();
        while chosen.len() < limit {
            let stagings = hosts
                .iter()
                .filter_map(|e| Some((self.preferred_staging(e)?, *e)));
            let Some(((_, spec), engine)) = stagings.max_by_key(|((shortage, _), _)| *shortage)
            else {
                break;
            };
            hosts.retain(|e| e.id() != engine.id());
            let key = (engine.fabric(), &spec.model);
            *self.idle.entry(key).or_default() += 1;
            chosen.push((engine.id().clone(), spec));
        }
        chosen
    }

    /// Returns the model that an engine's host should stage, and the shortage that it
    /// relieves.
    ///
    /// An engine in reserve stages the model whose replicas in its domain would be
    /// hardest to restore if a member were lost. A member of a smaller replica stages
    /// the largest model, so that it can replace a member of that.
    fn preferred_staging(&self, e: &Engine) -> Option<(usize, &'a config::ModelSpec)> {
        let largest = self
            .engine_spec
            .models
            .iter()
            .max_by_key(|w| w.replica_size)?;
        let has_any = self
            .engine_spec
            .models
            .iter()
            .any(|w| !e.needs_load(&w.model));
        let candidates = self
            .engine_spec
            .models
            .iter()
            .filter(|w| e.needs_load(&w.model));
        let staging = candidates
            .filter(|w| !has_any || w.model == largest.model)
            .map(|w| (self.shortage(e, w), w))
            .max_by_key(|(shortage, _)| *shortage)?;
        Some(if e.membership().is_some() {
            (staging.0 / MEMBER_STAGING_DIVISOR, staging.1)
        } else {
            staging
        })
    }

    /// Returns the shortage of a reserve for a model in a domain: its members for
    /// each engine in reserve, weighted by the model's scarcity.
    ///
    /// A domain without a replica of a scarce model still gets a reserve for one.
    fn shortage(&self, e: &Engine, spec: &config::ModelSpec) -> usize {
        let key = (e.fabric(), &spec.model);
        let members = self.members.get(&key).copied().unwrap_or(0).max(1);
        let idle = self.idle.get(&key).copied().unwrap_or(0);
        let scarcity = self.scarcity.for_replica_change(&spec.model, 0).min(2.0);
        (members as f64 * 1_000.0 * scarcity / (1 + idle) as f64) as usize
    }
}

/// The divisor of the shortage for a staging on a member of a replica instead of an
/// engine in reserve: using it gives up the member's replica.
const MEMBER_STAGING_DIVISOR: usize = 4;
