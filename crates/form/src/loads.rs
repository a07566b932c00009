//! Loads from the weight store: their limit, and what hosts stage.

use crate::{
    Engine, Inputs,
    demand::{Reserves, Scarcity},
    planner::Planner,
};
use clock::Moment;
use name::Instance;
use site::order::Command;
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// The fraction of concurrent loads that is reserved for joins, which complete a
/// replica.
const JOIN_LOADS_FRACTION: f64 = 0.34;

/// The time that a staging may take beyond its expected end.
const STAGING_GRACE: Duration = Duration::from_secs(8);

/// The fraction of the allowed load rate that the planner uses.
const USED_LOADS_FRACTION: f64 = 0.8;

/// The fraction of the allowed load rate that a planner uses in its first window: an earlier
/// planner may have used its own fraction just before.
const FIRST_USED_LOADS_FRACTION: f64 = 0.25;

impl Planner {
    /// Copies the stagings in progress to the engines that carry them out.
    ///
    /// A staging that takes far longer than expected was not carried out.
    pub(crate) fn update_staging(&mut self, engines: &mut HashMap<Instance, Engine>, now: Moment) {
        self.staging.retain(|id, (model, until)| {
            let engine = engines.get(id);
            now < *until + STAGING_GRACE
                && engine.is_some_and(|e| e.is_healthy() && !e.has_staged(model))
        });
        for (id, staging) in &self.staging {
            if let Some(engine) = engines.get_mut(id) {
                engine.staging = Some(staging.clone());
            }
        }
    }

    /// Stages weights on hosts, so that a replica that loses a member can be formed
    /// again without a load from the weight store.
    ///
    /// Engines without a membership go first. Loading continues while any host lacks
    /// a model: engines may be lost as fast as they can be loaded.
    pub(crate) fn stage_weights(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        scarcity: &Scarcity,
        inputs: &Inputs<'_>,
        now: Moment,
        commands: &mut Vec<(Instance, Command)>,
    ) {
        let ordered: HashSet<&Instance> = commands.iter().map(|(id, _)| id).collect();
        let forming = self.forming_engines();
        let is_taken = |id: &Instance| {
            self.pending_orders.contains_key(id) || ordered.contains(id) || forming.contains(id)
        };
        let reserved_for_joins = if inputs.has_traffic {
            (f64::from(inputs.engine_spec.loads_at_once) * JOIN_LOADS_FRACTION) as usize
        } else {
            0
        };
        let load_limit = self
            .loads_left(engines, inputs, now)
            .saturating_sub(reserved_for_joins);
        let hosts: Vec<&Engine> = engines
            .values()
            .filter(|e| e.is_healthy() && e.is_in_service && !e.is_busy && !is_taken(e.id()))
            .collect();
        let reserves = Reserves::new(engines, inputs.engine_spec, scarcity);
        if !inputs.has_traffic && reserves.covers_largest_model() {
            return;
        }
        let chosen = reserves.choose_stagings(hosts, load_limit);
        for (id, spec) in chosen {
            self.load_starts.push_back(now);
            // Concurrent stagings share the weight store and take longer.
            let until = now + spec.load_time;
            self.staging.insert(id.clone(), (spec.model.clone(), until));
            let model = spec.model.clone();
            commands.push((id, Command::Stage { model }));
        }
    }

    /// Returns the number of loads from the weight store in progress.
    pub(crate) fn loads_in_progress(&self, engines: &HashMap<Instance, Engine>) -> usize {
        let joining = self.formations.iter().map(|f| f.loading_members(engines));
        joining.sum::<usize>() + self.staging.len()
    }

    /// Returns the number of loads that may start now.
    ///
    /// Beyond the limit of concurrent loads each load takes longer, so that the total
    /// rate does not grow and the first loads finish late.
    pub(crate) fn loads_left(
        &self,
        engines: &HashMap<Instance, Engine>,
        inputs: &Inputs<'_>,
        now: Moment,
    ) -> usize {
        let at_once = inputs.engine_spec.loads_at_once as usize;
        let concurrent_left = at_once.saturating_sub(self.loads_in_progress(engines));
        if !inputs.has_traffic {
            // Before traffic, the loads of all members of a replica start together.
            return if concurrent_left > 0 { usize::MAX } else { 0 };
        }
        let is_counted = |started_at: &&Moment| now.since(**started_at) < inputs.load_window;
        let started = self.load_starts.iter().filter(is_counted).count();
        let is_first_window = self
            .started_at
            .is_some_and(|at| now.since(at) < inputs.load_window);
        let fraction = if is_first_window {
            FIRST_USED_LOADS_FRACTION
        } else {
            USED_LOADS_FRACTION
        };
        let allowed = inputs.engine_spec.loads_per_s * inputs.load_window.as_secs_f64() * fraction;
        (allowed as usize)
            .saturating_sub(started)
            .min(concurrent_left)
    }
}
