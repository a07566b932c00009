//! Compares the policies over the same faults, and checks what must always hold.

use crate::simulation::{TICK, World};
use name::Instance;
use rand::Rng;
use replica::Policy;
use std::{collections::BTreeSet, time::Duration};

/// The number of engines; 48 of them stand in six fabric domains of eight.
const ENGINES: usize = 50;

/// The length of a replay in steps.
const STEPS: u32 = 10 * 60 * 4;

/// The step at which a failure domain goes dark, and how long it stays so.
const OUTAGE: (u32, Duration) = (4 * 60 * 4, Duration::from_secs(120));

/// The mean number of steps between two faults.
const FAULT_EVERY: u32 = 45 * 4;

/// What one replay measured.
#[derive(Debug, Clone, Copy)]
struct Figures {
    /// Replica-seconds in which a replica that could exist did not serve.
    downtime: f64,
    /// Instance-seconds of live instances outside of servable replicas.
    stranded: f64,
    /// Accepted changes of existing replicas.
    reforms: usize,
}

/// Injects one fault: a pause, a restart or a loss for many minutes.
fn fault(world: &mut World) {
    let index = world.rng.random_range(0..ENGINES);
    let instance: Instance = world.engines.keys().nth(index).unwrap().clone();
    let (span, restart) = match world.rng.random_range(0..10) {
        0..3 => (world.rng.random_range(3..15), false),
        3..8 => (world.rng.random_range(10..40), true),
        _ => (world.rng.random_range(200..600), true),
    };
    world.stop(&instance, Duration::from_secs(span), restart);
}

/// Checks what must hold at every step.
fn check(world: &World) {
    let mut used = BTreeSet::new();
    for (replica, members) in world.serving() {
        let generation = world.state.assignments[&replica].generation;
        for (place, instance) in (0..).zip(members) {
            let engine = &world.engines[&instance];
            let silent = world.now.since(engine.down_since);
            let fresh = world.view.settings().fresh;
            assert!(
                engine.down_until <= world.now || silent <= fresh + TICK,
                "{replica} serves {silent:?} after the loss of {instance}"
            );
            let expected = Some((replica.clone(), generation, place));
            assert!(engine.down_until > world.now || engine.place == expected);
            assert!(used.insert(instance), "an instance serves in two replicas");
        }
    }
}

/// Replays the faults of `seed` under the policy.
fn run(policy: &str, seed: u64) -> Figures {
    let mut world = World::new(Policy::named(policy).unwrap(), ENGINES, seed);
    let mut faults = world.rng.clone();
    for step in 0..STEPS {
        if step > 240 && faults.random_ratio(1, FAULT_EVERY) {
            // Faults are drawn from the seed alone, whatever the policy does.
            world.rng = faults.clone();
            fault(&mut world);
            faults.random::<u64>();
        }
        if step == OUTAGE.0 {
            let dark: Vec<_> = world.engines.keys().cloned().collect();
            for instance in dark {
                if world.engines[&instance].listed.domain.as_str() == "d1" {
                    world.stop(&instance, OUTAGE.1, seed % 2 == 1);
                }
            }
        }
        world.step();
        check(&world);
    }
    Figures {
        downtime: world.downtime,
        stranded: world.stranded,
        reforms: world.reforms,
    }
}

#[test]
fn late_orders_to_engines_that_ignore_fencing_never_make_two_replicas_serve() {
    for seed in 1..=3 {
        let mut world = World::new(Policy::default(), ENGINES, seed);
        world.engines.values_mut().for_each(|e| e.fences = false);
        for step in 0..3 * 60 * 4 {
            if step > 80 && world.rng.random_ratio(1, 60) {
                fault(&mut world);
            }
            // A sender that was paused between its check and its write.
            if step > 80 && step < 480 && world.rng.random_ratio(1, 20) {
                let index = world.rng.random_range(0..world.sent.len());
                let late = world.sent[index].clone();
                world.deliver(&late);
            }
            world.step();
            check(&world);
        }
        assert!(world.sent.len() > 60, "late orders were drawn from too few");
        let live = world.engines.values().filter(|e| e.down_until <= world.now);
        let possible = live.count() / crate::fixture::MEMBERS;
        let serving = world.serving().len();
        assert!(
            serving + 3 >= possible,
            "{serving} of {possible} serve, seed {seed}"
        );
    }
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

#[test]
fn adaptive_beats_fixed_groups() {
    let measured = |policy: &str| {
        let runs = std::thread::scope(|scope| {
            let threads: Vec<_> = (1..=5)
                .map(|seed| scope.spawn(move || run(policy, seed)))
                .collect();
            let figures = threads.into_iter().map(|t| t.join().unwrap());
            figures.collect::<Vec<_>>()
        });
        let downtime = median(runs.iter().map(|f| f.downtime).collect());
        let stranded = median(runs.iter().map(|f| f.stranded).collect());
        let reforms = runs.iter().map(|f| f.reforms).max().unwrap();
        println!(
            "{policy:9} downtime {downtime:6.0} replica-s, stranded {stranded:6.0} instance-s, \
             at most {reforms} re-forms; each: {runs:?}"
        );
        (downtime, stranded)
    };
    let figures = Policy::NAMES.map(measured);
    let [adaptive, fixed, ..] = figures;
    assert!(adaptive.0 < fixed.0, "downtime");
    assert!(adaptive.1 < fixed.1, "stranded");
}
