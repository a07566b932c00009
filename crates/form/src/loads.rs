//! Loads from the weight store: how many may run, and what hosts stage.

use crate::{
    Engine, Rates,
    need::{Reserves, Scarcity},
    planner::Planner,
};
use clock::Moment;
use name::Instance;
use site::order::Command;
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// The part of the loads at once that is left to joins, which complete a replica.
const PART_FOR_JOINS: f64 = 0.34;

/// How much longer than expected a staging may take.
const STAGING_GRACE: Duration = Duration::from_secs(8);

/// The part of the allowed loads of weights that the planner uses.
const LOADS_PART: f64 = 0.8;

impl Planner {
    /// Puts the stagings under way beside the engines that carry them out.
    ///
    /// One that takes far longer than expected was not carried out.
    pub(crate) fn note_staging(&mut self, engines: &mut HashMap<Instance, Engine>, now: Moment) {
        self.staging.retain(|id, (model, until)| {
            let engine = engines.get(id);
            now < *until + STAGING_GRACE
                && engine.is_some_and(|e| e.is_sound() && !e.has_staged(model))
        });
        for (id, staging) in &self.staging {
            if let Some(engine) = engines.get_mut(id) {
                engine.staging = Some(staging.clone());
            }
        }
    }

    /// Stages weights on hosts, so that replicas that lose a member are formed
    /// again without a load from the weight store.
    ///
    /// Engines that are members of nothing go first. Loads never stop while any
    /// host lacks something: engines may be lost as fast as they can be loaded.
    pub(crate) fn stage(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        scarcity: &Scarcity,
        rates: &Rates<'_>,
        now: Moment,
        wanted: &mut Vec<(Instance, Command)>,
    ) {
        let ordered: HashSet<&Instance> = wanted.iter().map(|(id, _)| id).collect();
        let forming = self.forming();
        let is_taken = |id: &Instance| {
            self.sent.contains_key(id) || ordered.contains(id) || forming.contains(id)
        };
        let for_joins = if rates.has_traffic {
            (f64::from(rates.engine.loads_at_once) * PART_FOR_JOINS) as usize
        } else {
            0
        };
        let room = self
            .loads_left(engines, rates, now)
            .saturating_sub(for_joins);
        let hosts: Vec<&Engine> = engines
            .values()
            .filter(|e| e.is_sound() && e.is_allowed && !e.is_busy && !is_taken(e.id()))
            .collect();
        let reserves = Reserves::new(engines, rates.engine, scarcity);
        if !rates.has_traffic && reserves.has_one_each() {
            return;
        }
        let chosen = reserves.choose(hosts, room);
        for (id, weights) in chosen {
            self.loads.push_back(now);
            // Stagings that share the weight store with others take longer.
            let until = now + weights.load;
            self.staging
                .insert(id.clone(), (weights.model.clone(), until));
            let model = weights.model.clone();
            wanted.push((id, Command::Stage { model }));
        }
    }

    /// Returns how many loads of weights may begin now.
    ///
    /// Beyond so many at once each load takes longer, so that none is gained and
    /// the first ones are late.
    pub(crate) fn loads_left(
        &self,
        engines: &HashMap<Instance, Engine>,
        rates: &Rates<'_>,
        now: Moment,
    ) -> usize {
        let joining: usize = self.formations.iter().map(|f| f.loading(engines)).sum();
        let under_way = joining + self.staging.len();
        let at_once = (rates.engine.loads_at_once as usize).saturating_sub(under_way);
        if !rates.has_traffic {
            // Replicas of several engines are begun whole.
            return if at_once > 0 { usize::MAX } else { 0 };
        }
        let is_counted = |sent: &&Moment| now.since(**sent) < rates.load_window;
        let begun = self.loads.iter().filter(is_counted).count();
        let allowed = rates.engine.loads_per_s * rates.load_window.as_secs_f64() * LOADS_PART;
        (allowed as usize).saturating_sub(begun).min(at_once)
    }
}
