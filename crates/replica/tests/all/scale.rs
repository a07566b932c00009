//! Tests and times the decisions at the size of 400 replicas on 1,600 instances.

use crate::{
    fixture::{MEMBERS, epoch, named},
    simulation::Simulation,
};
use replica::{OrderTracker, Pacer, Policy, Vote, orders, propose, servable, watchers};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

const ENGINES: usize = 1_600;
const ENTRY_NODES: usize = 340;
const CALLS_PER_MEASUREMENT: u32 = 20;

/// Prints the mean time of one call.
fn print_mean_time(what: &str, mut call: impl FnMut()) {
    let start = Instant::now();
    (0..CALLS_PER_MEASUREMENT).for_each(|_| call());
    println!("{what}: {:?}", start.elapsed() / CALLS_PER_MEASUREMENT);
}

/// Prints the mean times of the decisions in the present state of the simulation.
fn measure_decisions(simulation: &Simulation, what: &str) {
    let settings = simulation.view.settings().clone();
    let (state, lists, view) = (&simulation.state, &simulation.lists, &simulation.view);
    let mut pacer = Pacer::new(settings.clone());
    let mut tracker = OrderTracker::new(named("e7"), settings);
    let policy = &simulation.policy;
    print_mean_time(&format!("servable, {what}"), || {
        servable(state, view, simulation.now);
    });
    print_mean_time(&format!("propose, {what}"), || {
        propose(state, lists, view, policy, 7, simulation.now, &mut pacer);
    });
    print_mean_time(&format!("orders, {what}"), || {
        orders(state, lists, view, true, simulation.now, &mut tracker);
    });
}

/// Records the votes of all watchers of the instances that are down.
fn cast_suspicions(simulation: &mut Simulation) {
    let down = simulation
        .engines
        .values()
        .filter(|e| e.down_until > simulation.now);
    for engine in down {
        let listed = &engine.listed;
        for watcher in watchers(&listed.instance, &listed.domain, &simulation.state.epoch, 3) {
            let vote = Vote {
                watcher,
                instance: listed.instance.clone(),
                suspected: true,
            };
            assert!(
                simulation
                    .view
                    .record_vote(&vote, &simulation.state.epoch, simulation.now)
            );
        }
    }
}

/// Guards against incomplete or overlapping replicas at this size, and prints the times of
/// the decisions.
#[test]
fn forms_400_replicas_of_1600_instances() {
    let mut simulation = Simulation::new(Policy::default(), ENGINES, 1);
    simulation.state.epoch = epoch(ENTRY_NODES);
    simulation.entry_nodes.truncate(1);
    simulation.entry_nodes[0].tracker =
        OrderTracker::new(named("e0"), simulation.view.settings().clone());
    let all_instances = simulation.engines.keys().cloned().collect::<Vec<_>>();
    // With a single peer in the epoch, the only simulated node sends all orders at once.
    simulation.state.epoch.peers.truncate(1);
    simulation.run(Duration::from_secs(1));
    measure_decisions(&simulation, "all idle");
    simulation.run(Duration::from_secs(14));
    simulation.state.epoch = epoch(ENTRY_NODES);
    let serving = simulation.serving();
    assert_eq!(serving.len(), ENGINES / MEMBERS);
    let used: BTreeSet<_> = serving.into_values().flatten().collect();
    assert_eq!(used.len(), ENGINES);
    measure_decisions(&simulation, "all serve");

    for instance in all_instances.iter().take(10) {
        simulation.stop(instance, Duration::from_secs(60), true);
    }
    simulation.entry_nodes.clear();
    simulation.run(Duration::from_secs(2));
    cast_suspicions(&mut simulation);
    measure_decisions(&simulation, "ten members lost");

    for instance in all_instances {
        if simulation.engines[&instance].listed.domain.as_str() == "d1" {
            simulation.stop(&instance, Duration::from_secs(60), false);
        }
    }
    simulation.run(Duration::from_secs(2));
    let start = Instant::now();
    cast_suspicions(&mut simulation);
    println!(
        "votes on a failure domain that is down: {:?}",
        start.elapsed()
    );
    measure_decisions(&simulation, "a failure domain is down");
    let during_outage = servable(&simulation.state, &simulation.view, simulation.now);
    let lost = during_outage.values().filter(|s| s.is_err()).count();
    assert!((130..150).contains(&lost), "{lost} replicas are down");
}
