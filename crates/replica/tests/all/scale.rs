//! The decisions at the size of 400 replicas on 1,600 instances.

use crate::{
    fixture::{MEMBERS, epoch, n},
    simulation::World,
};
use replica::{Ledger, Pacer, Policy, Vote, orders, propose, servable, watchers};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

const ENGINES: usize = 1_600;
const NODES: usize = 340;
const CALLS: u32 = 20;

/// Prints the mean time of a call.
fn time(what: &str, mut call: impl FnMut()) {
    let start = Instant::now();
    (0..CALLS).for_each(|_| call());
    println!("{what}: {:?}", start.elapsed() / CALLS);
}

/// Prints the mean times of the calls in the world's present situation.
fn measure(world: &World, what: &str) {
    let settings = world.view.settings().clone();
    let (state, lists, view) = (&world.state, &world.lists, &world.view);
    let mut pacer = Pacer::new(settings.clone());
    let mut ledger = Ledger::new(n("e7"), settings);
    let policy = &world.policy;
    time(&format!("servable, {what}"), || {
        servable(state, view, world.now);
    });
    time(&format!("propose, {what}"), || {
        propose(state, lists, view, policy, 7, world.now, &mut pacer);
    });
    time(&format!("orders, {what}"), || {
        orders(state, lists, view, true, world.now, &mut ledger);
    });
}

/// Makes the chosen watchers suspect every instance that is down.
fn suspect(world: &mut World) {
    let down = world.engines.values().filter(|e| e.down_until > world.now);
    for engine in down {
        let listed = &engine.listed;
        for watcher in watchers(&listed.instance, &listed.domain, &world.state.epoch, 3) {
            let vote = Vote {
                watcher,
                instance: listed.instance.clone(),
                suspected: true,
            };
            assert!(world.view.vote(&vote, &world.state.epoch, world.now));
        }
    }
}

#[test]
fn sixteen_hundred_instances_form_four_hundred_replicas() {
    let mut world = World::new(Policy::default(), ENGINES, 1);
    world.state.epoch = epoch(NODES);
    world.entries.truncate(1);
    world.entries[0].ledger = Ledger::new(n("e0"), world.view.settings().clone());
    let every = world.engines.keys().cloned().collect::<Vec<_>>();
    // The only node of the replay that is up has to send all orders.
    world.state.epoch.peers.truncate(1);
    world.run(Duration::from_secs(1));
    measure(&world, "all idle");
    world.run(Duration::from_secs(14));
    world.state.epoch = epoch(NODES);
    let serving = world.serving();
    assert_eq!(serving.len(), ENGINES / MEMBERS);
    let used: BTreeSet<_> = serving.into_values().flatten().collect();
    assert_eq!(used.len(), ENGINES);
    measure(&world, "all serve");

    for instance in every.iter().take(10) {
        world.stop(instance, Duration::from_secs(60), true);
    }
    world.entries.clear();
    world.run(Duration::from_secs(2));
    suspect(&mut world);
    measure(&world, "ten members lost");

    for instance in every {
        if world.engines[&instance].listed.domain.as_str() == "d1" {
            world.stop(&instance, Duration::from_secs(60), false);
        }
    }
    world.run(Duration::from_secs(2));
    let start = Instant::now();
    suspect(&mut world);
    println!("votes on a dark failure domain: {:?}", start.elapsed());
    measure(&world, "a failure domain is dark");
    let dark = servable(&world.state, &world.view, world.now);
    let lost = dark.values().filter(|s| s.is_err()).count();
    assert!((130..150).contains(&lost), "{lost} replicas are down");
}
