//! Searches interleavings of nodes and a server for use above the server's limit.

mod model;

use admit::slot::Timing;
use model::{Config, Event, Model};
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_oneof, proptest};
use std::{collections::HashSet, time::Duration};

const RANDOM_CONFIG: Config = Config {
    nodes: 3,
    slots: 6,
    cold_limit: 2,
    time_step: Duration::from_millis(100),
    log_view_lifetime: Duration::from_millis(300),
    max_request_time: Duration::from_millis(500),
    timing: || Timing {
        lease: Duration::from_millis(400),
        send: Duration::from_millis(200),
        settle: Duration::from_millis(500),
        rest: Duration::from_millis(1_000),
    },
};

const EXHAUSTIVE_CONFIG: Config = Config {
    nodes: 2,
    slots: 3,
    cold_limit: 1,
    time_step: Duration::from_millis(100),
    log_view_lifetime: Duration::from_millis(100),
    max_request_time: Duration::from_millis(100),
    timing: || Timing {
        lease: Duration::from_millis(200),
        send: Duration::from_millis(100),
        settle: Duration::from_millis(200),
        rest: Duration::from_millis(300),
    },
};

/// The number of events that the exhaustive search applies from each start state.
const SEARCH_DEPTH: usize = 5;

fn event() -> impl Strategy<Value = Event> {
    let node = || 0..RANDOM_CONFIG.nodes;
    prop_oneof![
        4 => prop::strategy::Just(Event::AdvanceTime),
        1 => prop::strategy::Just(Event::RestartServer),
        2 => prop::strategy::Just(Event::WarmUp),
        1 => (1..1_usize << RANDOM_CONFIG.nodes).prop_map(Event::AcceptEpoch),
        4 => (node(), any::<bool>()).prop_map(|(n, by_record)| Event::ReadLog(n, by_record)),
        1 => node().prop_map(Event::RestartNode),
        3 => node().prop_map(Event::Connect),
        4 => node().prop_map(Event::RequestReport),
        4 => node().prop_map(Event::DeliverReport),
        8 => node().prop_map(Event::Acquire),
        8 => node().prop_map(Event::Send),
        3 => node().prop_map(Event::Complete),
    ]
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    // Guards against two nodes that together exceed the limit of a server, in
    // long random sequences of epochs, restarts and late reports.
    #[test]
    fn random_interleavings_respect_server_limit(
        events in prop::collection::vec(event(), 0..150),
    ) {
        let mut model = Model::new(RANDOM_CONFIG);
        for event in events {
            model.apply(event);
            let violation = model.violation();
            prop_assert!(violation.is_none(), "{event:?}: {violation:?}\n{model:#?}");
        }
    }
}

/// Returns every event of the exhaustive search.
fn all_events() -> Vec<Event> {
    let per_node = |n: usize| {
        [
            Event::ReadLog(n, true),
            Event::Connect(n),
            Event::RequestReport(n),
            Event::DeliverReport(n),
            Event::Acquire(n),
            Event::Send(n),
            Event::Complete(n),
        ]
    };
    let shared = [Event::AdvanceTime, Event::RestartServer, Event::WarmUp];
    let epochs = (1..1 << EXHAUSTIVE_CONFIG.nodes).map(Event::AcceptEpoch);
    let nodes = (0..EXHAUSTIVE_CONFIG.nodes).flat_map(per_node);
    shared.into_iter().chain(epochs).chain(nodes).collect()
}

/// Returns the simulation after the events of a path.
fn replay(path: &[Event]) -> Model {
    let mut model = Model::new(EXHAUSTIVE_CONFIG);
    for event in path {
        model.apply(*event);
    }
    model
}

/// Returns the paths to the states from which the search starts.
fn start_paths() -> [Vec<Event>; 4] {
    use Event::{AcceptEpoch, Acquire, Connect, DeliverReport, RequestReport, WarmUp};
    let both = |event: fn(usize) -> Event| [event(0), event(1)];
    let reports = [both(RequestReport), both(DeliverReport)].concat();
    let mut warm = vec![WarmUp];
    warm.extend(both(Connect));
    // The first warm report opens no slot; each further one doubles the number.
    for _ in 0..3 {
        warm.extend(&reports);
    }
    let mut loaded = warm.clone();
    loaded.extend([both(Acquire), both(Acquire)].concat());
    // The cold slot is reassigned to the other node in one of these two.
    let reassigned = |mask| {
        let permits = both(Acquire).into_iter();
        let path = reports.iter().copied().chain(permits);
        path.chain([AcceptEpoch(mask)]).collect()
    };
    [reassigned(1), reassigned(2), warm, loaded]
}

/// Searches every path of `depth` events from `start`.
///
/// Returns the number of states and the maximum number of requests in progress.
fn search(start: Vec<Event>, depth: usize) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut max_running = 0;
    let mut paths = vec![start];
    for _ in 0..depth {
        let mut longer = Vec::new();
        for (path, event) in paths
            .iter()
            .flat_map(|p| all_events().into_iter().map(move |e| (p, e)))
        {
            let next = [path.as_slice(), &[event]].concat();
            let model = replay(&next);
            let violation = model.violation();
            assert!(violation.is_none(), "{next:?}: {violation:?}");
            max_running = max_running.max(model.running());
            if seen.insert(name::rendezvous_score("state", &format!("{model:?}"))) {
                longer.push(next);
            }
        }
        paths = longer;
    }
    (seen.len(), max_running)
}

// Guards against a short sequence of events that the random search misses.
#[test]
fn all_short_interleavings_respect_server_limit() {
    for (start, min_running) in start_paths().into_iter().zip([1, 1, 2, 3]) {
        let (states, max_running) = search(start, SEARCH_DEPTH);
        println!("{states} states, at most {max_running} requests in progress");
        assert!(
            max_running >= min_running,
            "the search reached only {max_running} requests"
        );
    }
}

/// A change of slot owner that takes more events than the search depth.
struct Handover {
    name: &'static str,
    /// Returns the events for a previous and a new owner.
    events: fn(usize, usize) -> Vec<Event>,
}

// Guards against a slot in use by its previous and its new owner at once, when the
// previous owner applies the change of epoch late.
#[test]
fn slot_handover_never_overlaps() {
    use Event::{AcceptEpoch, Acquire, AdvanceTime, ReadLog, Send};
    let cases = [
        Handover {
            name: "the previous owner stopped reading the log",
            events: |old, new| {
                let start = [AcceptEpoch(1 << new), ReadLog(new, true)];
                let rest = [AdvanceTime; 4];
                let end = [
                    ReadLog(new, true),
                    Acquire(old),
                    Acquire(new),
                    Send(old),
                    Send(new),
                ];
                [&start[..], &rest, &end].concat()
            },
        },
        Handover {
            name: "the previous owner missed an epoch and reads a snapshot",
            events: |old, new| {
                let start = [AcceptEpoch(1 << new), ReadLog(new, true)];
                let rest = [AdvanceTime; 4];
                let sent = [ReadLog(new, true), Acquire(new), Send(new)];
                let back = [
                    AcceptEpoch(1 << old),
                    ReadLog(old, false),
                    Acquire(old),
                    Send(old),
                ];
                [&start[..], &rest, &sent, &back].concat()
            },
        },
    ];
    for Handover { name, events } in cases {
        let mut max_running = 0;
        for (old, new) in [(0, 1), (1, 0)] {
            let reports = [
                Event::RequestReport(0),
                Event::RequestReport(1),
                Event::DeliverReport(0),
                Event::DeliverReport(1),
            ];
            let mut model = replay(&reports);
            for event in events(old, new) {
                model.apply(event);
                assert_eq!(model.violation(), None, "{name}: {old} to {new}, {event:?}");
                max_running = max_running.max(model.running());
            }
        }
        assert_eq!(max_running, 1, "{name}: the new owner never sent");
    }
}
