//! Compares the policies under equal faults, and checks invariants at every step.

use crate::simulation::{STEP, Simulation};
use name::Instance;
use rand::Rng;
use replica::Policy;
use std::{collections::BTreeSet, time::Duration};

/// The number of engines; 48 of them fill six fabric domains of eight.
const ENGINES: usize = 50;

/// The length of a simulation in steps.
const STEPS: u32 = 10 * 60 * 4;

/// The step at which all engines of a failure domain stop, and for how long.
const OUTAGE: (u32, Duration) = (4 * 60 * 4, Duration::from_secs(120));

/// The mean number of steps between two faults.
const MEAN_STEPS_BETWEEN_FAULTS: u32 = 45 * 4;

/// The measurements of one simulation.
#[derive(Debug, Clone, Copy)]
struct Measurements {
    /// The replica-seconds in which fewer replicas served than the live engines allow.
    downtime_s: f64,
    /// The instance-seconds of live instances outside servable replicas.
    stranded_s: f64,
    /// The number of accepted changes of existing replicas.
    reconfigurations: usize,
}

/// Stops a random engine: a short pause, a restart or a loss of several minutes.
fn inject_fault(simulation: &mut Simulation) {
    let index = simulation.rng.random_range(0..ENGINES);
    let instance: Instance = simulation.engines.keys().nth(index).unwrap().clone();
    let (span, restart) = match simulation.rng.random_range(0..10) {
        0..3 => (simulation.rng.random_range(3..15), false),
        3..8 => (simulation.rng.random_range(10..40), true),
        _ => (simulation.rng.random_range(200..600), true),
    };
    simulation.stop(&instance, Duration::from_secs(span), restart);
}

/// Checks the invariants that must hold at every step.
///
/// No replica serves without a member for longer than a report counts as fresh, and
/// no instance serves in two replicas.
fn check_invariants(simulation: &Simulation) {
    let mut used = BTreeSet::new();
    for (replica, members) in simulation.serving() {
        let generation = simulation.state.assignments[&replica].generation;
        for (place, instance) in (0..).zip(members) {
            let engine = &simulation.engines[&instance];
            let downtime = simulation.now.since(engine.down_since);
            let fresh = simulation.view.settings().report_max_age;
            assert!(
                engine.down_until <= simulation.now || downtime <= fresh + STEP,
                "{replica} serves {downtime:?} after the loss of {instance}"
            );
            let expected = Some((replica.clone(), generation, place));
            assert!(engine.down_until > simulation.now || engine.place == expected);
            assert!(used.insert(instance), "an instance serves in two replicas");
        }
    }
}

/// Runs a simulation of the faults of `seed` under the policy.
fn run_faults(policy: &str, seed: u64) -> Measurements {
    let mut simulation = Simulation::new(Policy::by_name(policy).unwrap(), ENGINES, seed);
    let mut faults = simulation.rng.clone();
    for step in 0..STEPS {
        if step > 240 && faults.random_ratio(1, MEAN_STEPS_BETWEEN_FAULTS) {
            // Faults depend on the seed alone, so that all policies meet the same ones.
            simulation.rng = faults.clone();
            inject_fault(&mut simulation);
            faults.random::<u64>();
        }
        if step == OUTAGE.0 {
            let all: Vec<_> = simulation.engines.keys().cloned().collect();
            for instance in all {
                if simulation.engines[&instance].listed.domain.as_str() == "d1" {
                    simulation.stop(&instance, OUTAGE.1, seed % 2 == 1);
                }
            }
        }
        simulation.step();
        check_invariants(&simulation);
    }
    Measurements {
        downtime_s: simulation.downtime_s,
        stranded_s: simulation.stranded_s,
        reconfigurations: simulation.reconfigurations,
    }
}

/// Guards against an instance that serves in two replicas after a delayed order to an engine
/// that does not check fencing numbers.
#[test]
fn late_unfenced_orders_never_share_an_instance() {
    for seed in 1..=3 {
        let mut simulation = Simulation::new(Policy::default(), ENGINES, seed);
        simulation
            .engines
            .values_mut()
            .for_each(|e| e.fences = false);
        for step in 0..3 * 60 * 4 {
            if step > 80 && simulation.rng.random_ratio(1, 60) {
                inject_fault(&mut simulation);
            }
            // Repeats an old order, as a sender paused between its check and its write would.
            if step > 80 && step < 480 && simulation.rng.random_ratio(1, 20) {
                let index = simulation.rng.random_range(0..simulation.sent_orders.len());
                let late_order = simulation.sent_orders[index].clone();
                simulation.deliver(&late_order);
            }
            simulation.step();
            check_invariants(&simulation);
        }
        assert!(
            simulation.sent_orders.len() > 60,
            "too few orders to draw late ones from"
        );
        let live = simulation
            .engines
            .values()
            .filter(|e| e.down_until <= simulation.now);
        let possible = live.count() / crate::fixture::MEMBERS;
        let serving = simulation.serving().len();
        assert!(
            serving + 3 >= possible,
            "{serving} of {possible} serve, seed {seed}"
        );
    }
}

fn median(mut measurements: Vec<f64>) -> f64 {
    measurements.sort_by(f64::total_cmp);
    measurements[measurements.len() / 2]
}

/// Guards against a default policy with more downtime or more stranded instances than the
/// `fixed` policy.
#[test]
fn adaptive_policy_outperforms_fixed() {
    let measure = |policy: &str| {
        let runs = std::thread::scope(|scope| {
            let threads: Vec<_> = (1..=5)
                .map(|seed| scope.spawn(move || run_faults(policy, seed)))
                .collect();
            let measurements = threads.into_iter().map(|t| t.join().unwrap());
            measurements.collect::<Vec<_>>()
        });
        let downtime_s = median(runs.iter().map(|f| f.downtime_s).collect());
        let stranded_s = median(runs.iter().map(|f| f.stranded_s).collect());
        let reconfigurations = runs.iter().map(|f| f.reconfigurations).max().unwrap();
        println!(
            "{policy:9} downtime {downtime_s:6.0} replica-s, stranded {stranded_s:6.0} instance-s, \
             at most {reconfigurations} reconfigurations; each: {runs:?}"
        );
        (downtime_s, stranded_s)
    };
    let measurements = Policy::NAMES.map(measure);
    let [adaptive, fixed, ..] = measurements;
    assert!(adaptive.0 < fixed.0, "downtime");
    assert!(adaptive.1 < fixed.1, "stranded");
}
