//! New replicas: the choice of their models and engines.

use crate::{
    Engine, Event, Inputs,
    demand::{Reserves, Scarcity},
    formation::Formation,
    planner::{FreeEngines, Planner, replica_prefix},
};
use clock::Moment;
use name::{Fabric, Instance, Replica};
use site::config;
use std::{collections::HashMap, time::Duration};

/// The scarcity of a model above which a replica is formed even if that takes loads
/// from the weight store. Below it, engines are better kept in reserve, with their
/// weights staged.
const LOAD_SCARCITY: f64 = 0.75;

/// The fraction of all engines that become members of replicas before reserves are
/// staged. Before the first request, all loads together take longer than the time
/// available.
const PRIMARY_FRACTION: f64 = 0.6;

/// The scarcity of a model at which a new replica may use all concurrent loads from
/// the weight store; below it, a proportional part of them.
const ALL_LOADS_SCARCITY: f64 = 2.1;

/// The cost of a formation without a load, in loads.
const FORMATION_COST_LOADS: f64 = 0.25;

/// The fraction of a fabric domain's engines that is kept in reserve while no model
/// is scarce, so that a replica that loses a member is formed again at once.
const RESERVE_FRACTION: f64 = 0.2;

/// The maximum number of engines in reserve in a fabric domain.
///
/// A reserve replaces what is lost until other engines have loaded weights. That grows
/// with the rate of losses, not with the size of the domain.
pub(crate) const MAX_RESERVE: usize = 2;

/// The cost of choosing a domain, the most important part first: the time of the
/// slowest join, the number of replicas of the largest model that no longer fit, the
/// remaining engines, and the time of the slowest join again.
type Preference = (Duration, usize, usize, Duration);

impl Planner {
    /// Starts formations for the scarcest models.
    pub(crate) fn start_formations(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        free: &mut FreeEngines,
        scarcity: &mut Scarcity,
        inputs: &Inputs<'_>,
        is_startup_over: bool,
        now: Moment,
    ) {
        let sizes = domain_sizes(engines);
        let lacks_reserves = !inputs.has_traffic
            && !Reserves::new(engines, inputs.engine_spec, scarcity).covers_largest_model();
        loop {
            let members: usize = engines.len() - free.values().map(Vec::len).sum::<usize>();
            let is_enough = members as f64 > engines.len() as f64 * PRIMARY_FRACTION;
            if is_startup_over && is_enough && lacks_reserves {
                return;
            }
            let mut order = scarcity.scarcest_first(inputs.engine_spec);
            if !is_startup_over {
                // Engines are still starting: a domain that now has room only for a
                // small replica may soon have room for a large one.
                let largest = order.iter().map(|w| w.replica_size).max();
                order.retain(|w| Some(w.replica_size) == largest);
                order.retain(|w| !self.has_expected_share(engines, w, inputs));
            }
            let mut found = order.into_iter().filter_map(|spec| {
                let model_scarcity = scarcity.for_replica_change(&spec.model, 0);
                let members =
                    self.pick_members(engines, free, &sizes, spec, model_scarcity, inputs, now)?;
                Some((spec, members))
            });
            let found = if inputs.has_traffic {
                // The value of a replica for each load that it takes.
                let value = |spec: &config::ModelSpec, members: &[Instance]| {
                    let loads = loads_for(engines, members, spec);
                    scarcity.for_replica_change(&spec.model, 0)
                        / (FORMATION_COST_LOADS + loads as f64)
                };
                found.min_by(|a, b| value(b.0, &b.1).total_cmp(&value(a.0, &a.1)))
            } else {
                // Loads are fast, and engines are the scarce resource: a less scarce
                // model does not go first because the scarcest one lacks a load.
                let left = self.loads_left(engines, inputs, now);
                let next = found.next();
                next.filter(|(spec, ids)| loads_for(engines, ids, spec) <= left)
            };
            let Some((spec, members)) = found else {
                return;
            };
            let before = scarcity.for_replica_change(&spec.model, 0);
            scarcity.add_replica(&spec.model);
            for ids in free.values_mut() {
                ids.retain(|id| !members.contains(id));
            }
            self.start_formation(engines, spec, members, before, now);
        }
    }

    /// Returns whether a model's replicas have the share of all engines, less the
    /// reserve, that the configuration expects.
    fn has_expected_share(
        &self,
        engines: &HashMap<Instance, Engine>,
        spec: &config::ModelSpec,
        inputs: &Inputs<'_>,
    ) -> bool {
        let total: f64 = inputs
            .engine_spec
            .models
            .iter()
            .map(|w| w.expected_share)
            .sum();
        let formations = self.formations.iter();
        let of_model = formations.filter(|f| f.model == spec.model);
        let members = of_model.map(|f| f.members.len()).sum::<usize>();
        let forming = self.forming_engines();
        let serving = engines.values().filter(|e| {
            e.membership().is_some()
                // A joining engine may not yet report the model that it will hold.
                && (e.holds(&spec.model) || e.server.engine.loaded_models.is_empty())
                && !forming.contains(e.id())
        });
        let used = (members + serving.count()) as f64;
        let usable = engines.len() as f64 * (1.0 - RESERVE_FRACTION);
        used >= spec.expected_share / total.max(f64::MIN_POSITIVE) * usable
    }

    /// Picks the members of a new replica of a model.
    #[expect(
        clippy::too_many_arguments,
        reason = "what a choice depends on; there is no state to keep it in"
    )]
    fn pick_members(
        &self,
        engines: &HashMap<Instance, Engine>,
        free: &FreeEngines,
        sizes: &HashMap<Option<Fabric>, usize>,
        spec: &config::ModelSpec,
        scarcity: f64,
        inputs: &Inputs<'_>,
        now: Moment,
    ) -> Option<Vec<Instance>> {
        let is_scarce = scarcity >= LOAD_SCARCITY;
        let load_limit = if inputs.has_traffic {
            let left = self.loads_left(engines, inputs, now);
            let loads = scarcity / ALL_LOADS_SCARCITY * f64::from(inputs.engine_spec.loads_at_once);
            left.min(loads as usize)
        } else {
            usize::MAX
        };
        let is_largest = inputs
            .engine_spec
            .models
            .iter()
            .all(|w| w.replica_size <= spec.replica_size);
        let largest = inputs
            .engine_spec
            .models
            .iter()
            .map(|w| w.replica_size)
            .max();
        let mut best: Option<(Preference, Vec<Instance>)> = None;
        for (fabric, ids) in free {
            let reserve = if is_scarce {
                0
            } else {
                // A replica that needs nearly the whole domain leaves no reserve.
                let size = sizes.get(fabric).copied().unwrap_or(0);
                self.reserve_size(size)
                    .min(size.saturating_sub(spec.replica_size))
            };
            if ids.len() < spec.replica_size + reserve
                || (fabric.is_none() && spec.replica_size > 1)
            {
                continue;
            }
            let left = ids.len();
            let mut ids = ids.clone();
            ids.sort_by_key(|id| {
                let engine = &engines[id];
                let slowdown_tenths = (engine.slowdown * 10.0) as u64;
                (engine.join_time(spec, now), slowdown_tenths, id.clone())
            });
            ids.truncate(spec.replica_size);
            if loads_for(engines, &ids, spec) > load_limit {
                continue;
            }
            let slowest = engines[ids.last()?].join_time(spec, now);
            // The number of replicas of the largest model that no longer fit.
            let fitting = |left: usize| left.saturating_sub(reserve) / largest.unwrap_or(1);
            let lost_replicas = fitting(left) - fitting(left - spec.replica_size);
            // The largest model uses the domain with the most free engines, and
            // others use the domain with the fewest: a small replica must not take
            // the last room for a large one.
            let rest = if is_largest { usize::MAX - left } else { left };
            // Before traffic, loads are fast, and room for replicas matters more.
            let preference = if inputs.has_traffic {
                (slowest, lost_replicas, rest, Duration::ZERO)
            } else {
                (Duration::ZERO, lost_replicas, rest, slowest)
            };
            let is_better = best
                .as_ref()
                .is_none_or(|(found, first)| (preference, &ids) < (*found, first));
            if is_better {
                best = Some((preference, ids));
            }
        }
        best.map(|(_, ids)| ids)
    }

    /// Returns the number of engines to keep in reserve in a domain of `size` engines.
    fn reserve_size(&self, size: usize) -> usize {
        ((size as f64 * RESERVE_FRACTION) as usize)
            .min(self.max_reserve)
            .max(1)
    }

    /// Starts a formation.
    fn start_formation(
        &mut self,
        engines: &HashMap<Instance, Engine>,
        spec: &config::ModelSpec,
        members: Vec<Instance>,
        scarcity: f64,
        now: Moment,
    ) {
        let loads = loads_for(engines, &members, spec);
        self.load_starts.extend(std::iter::repeat_n(now, loads));
        let joins = members.iter().map(|id| engines[id].join_time(spec, now));
        let joins: Vec<Duration> = joins.collect();
        // Concurrent loads share the weight store and take longer.
        let longest = joins.iter().max().copied().unwrap_or_default() * 3;
        self.formation_count += 1;
        let name = replica_prefix(self.token) + &self.formation_count.to_string();
        let Ok(replica) = Replica::try_from(name) else {
            return;
        };
        let generation = self.token.max(self.highest_generation);
        let model = spec.model.clone();
        self.events.push(Event::FormationStarted {
            replica: replica.clone(),
            model: model.clone(),
            members: members.clone(),
            scarcity,
            joins,
        });
        self.formations.push(Formation::new(
            replica, generation, model, members, longest, loads, now,
        ));
    }
}

/// Returns the number of healthy engines in each fabric domain.
fn domain_sizes(engines: &HashMap<Instance, Engine>) -> HashMap<Option<Fabric>, usize> {
    let mut sizes = HashMap::new();
    for engine in engines.values().filter(|e| e.is_healthy()) {
        *sizes.entry(engine.fabric().cloned()).or_default() += 1;
    }
    sizes
}

/// Returns the number of loads from the weight store that a replica with these
/// members takes.
fn loads_for(
    engines: &HashMap<Instance, Engine>,
    members: &[Instance],
    spec: &config::ModelSpec,
) -> usize {
    let needs_load = |id: &&Instance| engines[*id].needs_load(&spec.model);
    members.iter().filter(needs_load).count()
}
