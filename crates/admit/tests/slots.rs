//! No interleaving puts more on a server than it bears.

mod model;

use admit::slot::Timing;
use model::{Event, Shape, World};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_oneof, proptest};
use std::{collections::HashSet, time::Duration};

const WIDE: Shape = Shape {
    nodes: 3,
    slots: 6,
    cold_limit: 2,
    step: Duration::from_millis(100),
    voucher: Duration::from_millis(300),
    longest: Duration::from_millis(500),
    timing: || Timing {
        lease: Duration::from_millis(400),
        send: Duration::from_millis(200),
        settle: Duration::from_millis(500),
        rest: Duration::from_millis(1_000),
    },
};

const SMALL: Shape = Shape {
    nodes: 2,
    slots: 3,
    cold_limit: 1,
    step: Duration::from_millis(100),
    voucher: Duration::from_millis(100),
    longest: Duration::from_millis(100),
    timing: || Timing {
        lease: Duration::from_millis(200),
        send: Duration::from_millis(100),
        settle: Duration::from_millis(200),
        rest: Duration::from_millis(300),
    },
};

/// The events that the exhaustive search makes from each state.
const DEPTH: usize = 5;

fn event() -> impl Strategy<Value = Event> {
    let node = || 0..WIDE.nodes;
    prop_oneof![
        4 => prop::strategy::Just(Event::Pass),
        1 => prop::strategy::Just(Event::Restart),
        2 => prop::strategy::Just(Event::Warm),
        1 => (1..1_usize << WIDE.nodes).prop_map(Event::Epoch),
        4 => (node(), any::<bool>()).prop_map(|(n, by_record)| Event::Sync(n, by_record)),
        1 => node().prop_map(Event::Reborn),
        3 => node().prop_map(Event::Connect),
        4 => node().prop_map(Event::Ask),
        4 => node().prop_map(Event::Tell),
        8 => node().prop_map(Event::Acquire),
        8 => node().prop_map(Event::Send),
        3 => node().prop_map(Event::End),
    ]
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    #[test]
    fn random_interleavings_stay_within_what_the_server_bears(
        events in prop::collection::vec(event(), 0..150),
    ) {
        let mut world = World::new(WIDE);
        for event in events {
            world.apply(event);
            let fault = world.fault();
            prop_assert!(fault.is_none(), "{event:?}: {fault:?}\n{world:#?}");
        }
    }
}

/// Returns every event of the small model.
fn events() -> Vec<Event> {
    let per_node = |n: usize| {
        [
            Event::Sync(n, true),
            Event::Connect(n),
            Event::Ask(n),
            Event::Tell(n),
            Event::Acquire(n),
            Event::Send(n),
            Event::End(n),
        ]
    };
    let shared = [Event::Pass, Event::Restart, Event::Warm];
    let epochs = (1..1 << SMALL.nodes).map(Event::Epoch);
    let nodes = (0..SMALL.nodes).flat_map(per_node);
    shared.into_iter().chain(epochs).chain(nodes).collect()
}

/// Returns the model after the events of a path.
fn replay(path: &[Event]) -> World {
    let mut world = World::new(SMALL);
    for event in path {
        world.apply(*event);
    }
    world
}

/// Returns the paths to the states from which the search goes on.
fn starts() -> [Vec<Event>; 4] {
    use Event::{Acquire, Ask, Connect, Epoch, Tell, Warm};
    let both = |event: fn(usize) -> Event| [event(0), event(1)];
    let told = [both(Ask), both(Tell)].concat();
    let mut warm = vec![Warm];
    warm.extend(both(Connect));
    // The first warm report opens nothing, each further one doubles.
    for _ in 0..3 {
        warm.extend(&told);
    }
    let mut loaded = warm.clone();
    loaded.extend([both(Acquire), both(Acquire)].concat());
    // The cold slot passes to the other node in one of these two.
    let moved = |mask| {
        let permits = both(Acquire).into_iter();
        let path = told.iter().copied().chain(permits);
        path.chain([Epoch(mask)]).collect()
    };
    [moved(1), moved(2), warm, loaded]
}

/// Searches every path of `depth` events from `start`; returns states and the most in progress.
fn search(start: Vec<Event>, depth: usize) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut most = 0;
    let mut paths = vec![start];
    for _ in 0..depth {
        let mut longer = Vec::new();
        for (path, event) in paths
            .iter()
            .flat_map(|p| events().into_iter().map(move |e| (p, e)))
        {
            let next = [path.as_slice(), &[event]].concat();
            let world = replay(&next);
            let fault = world.fault();
            assert!(fault.is_none(), "{next:?}: {fault:?}");
            most = most.max(world.running());
            if seen.insert(name::score("state", &format!("{world:?}"))) {
                longer.push(next);
            }
        }
        paths = longer;
    }
    (seen.len(), most)
}

#[test]
fn every_short_interleaving_stays_within_what_the_server_bears() {
    for (start, least) in starts().into_iter().zip([1, 1, 2, 3]) {
        let (states, most) = search(start, DEPTH);
        println!("{states} states, at most {most} requests in progress");
        assert!(most >= least, "the search reached only {most} requests");
    }
}

/// A handover that takes longer than the search goes.
struct Handover {
    name: &'static str,
    /// The events for an old owner and a new one.
    events: fn(usize, usize) -> Vec<Event>,
}

#[test]
fn a_slot_is_never_used_by_two_owners() {
    use Event::{Acquire, Epoch, Pass, Send, Sync};
    let cases = [
        Handover {
            name: "the old owner lost sight of the log",
            events: |old, new| {
                let start = [Epoch(1 << new), Sync(new, true)];
                let rest = [Pass; 4];
                let end = [
                    Sync(new, true),
                    Acquire(old),
                    Acquire(new),
                    Send(old),
                    Send(new),
                ];
                [&start[..], &rest, &end].concat()
            },
        },
        Handover {
            name: "the old owner missed an epoch and follows a snapshot",
            events: |old, new| {
                let start = [Epoch(1 << new), Sync(new, true)];
                let rest = [Pass; 4];
                let sent = [Sync(new, true), Acquire(new), Send(new)];
                let back = [Epoch(1 << old), Sync(old, false), Acquire(old), Send(old)];
                [&start[..], &rest, &sent, &back].concat()
            },
        },
    ];
    for Handover { name, events } in cases {
        let mut most = 0;
        for (old, new) in [(0, 1), (1, 0)] {
            let told = [Event::Ask(0), Event::Ask(1), Event::Tell(0), Event::Tell(1)];
            let mut world = replay(&told);
            for event in events(old, new) {
                world.apply(event);
                assert_eq!(world.fault(), None, "{name}: {old} to {new}, {event:?}");
                most = most.max(world.running());
            }
        }
        assert_eq!(most, 1, "{name}: the new owner never sent");
    }
}
