//! Tests of readings, status, the directory and the planned stop.

use crate::network::{Network, node, peer};
use clock::Moment;
use member::{
    Directory, Drain, Freshness, Reachability, Role, Settings, Stage, Status, TailReading,
};
use name::{Domain, Offset, Sequence};
use proptest::{collection, prelude::*, test_runner::RngSeed};
use state::{Change, Operation, Record, Scope, State, Writer};
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn reachability(known: usize, heard: usize, without_log: usize) -> Reachability {
    Reachability {
        watched: known,
        reachable: heard,
        without_log,
    }
}

#[test]
fn status_from_readings_and_reachability() {
    struct Case {
        name: &'static str,
        reading: Option<(u64, u64)>,
        is_log_down: bool,
        /// The offset that a peer reports as folded.
        peer: u64,
        folded: u64,
        reachability: Reachability,
        now: u64,
        status: Status,
    }
    let base = || Case {
        name: "",
        reading: Some((7, 1_000)),
        is_log_down: false,
        peer: 7,
        folded: 7,
        reachability: reachability(8, 8, 0),
        now: 1_500,
        status: Status::Fresh,
    };
    let cases = [
        Case {
            name: "all records read and folded",
            ..base()
        },
        Case {
            name: "at the bound",
            now: 3_000,
            ..base()
        },
        Case {
            name: "fresh without reachable peers",
            reachability: reachability(8, 0, 0),
            ..base()
        },
        Case {
            name: "not folded yet",
            folded: 6,
            status: Status::Behind,
            ..base()
        },
        Case {
            name: "after a pause",
            now: 60_000,
            status: Status::Isolated,
            ..base()
        },
        Case {
            name: "log down for this node only",
            now: 4_000,
            is_log_down: true,
            status: Status::Isolated,
            ..base()
        },
        Case {
            name: "log down for most",
            now: 4_000,
            is_log_down: true,
            reachability: reachability(8, 5, 4),
            status: Status::Outage,
            ..base()
        },
        Case {
            name: "log down for most, with a record not folded here",
            folded: 6,
            now: 4_000,
            is_log_down: true,
            reachability: reachability(8, 5, 4),
            status: Status::Behind,
            ..base()
        },
        Case {
            name: "log down, and a peer has folded a record not folded here",
            now: 4_000,
            is_log_down: true,
            peer: 8,
            reachability: reachability(8, 8, 8),
            status: Status::Behind,
            ..base()
        },
        Case {
            name: "log down for half",
            now: 4_000,
            is_log_down: true,
            reachability: reachability(7, 7, 3),
            status: Status::Isolated,
            ..base()
        },
        Case {
            name: "partitioned in a minority",
            now: 4_000,
            is_log_down: true,
            reachability: reachability(8, 3, 3),
            status: Status::Isolated,
            ..base()
        },
        Case {
            name: "a single node without the log",
            reading: None,
            is_log_down: true,
            reachability: reachability(0, 0, 0),
            status: Status::Outage,
            ..base()
        },
    ];
    for case in cases {
        let mut freshness = Freshness::new(BOUND);
        freshness.record_peer_offset(Offset(case.peer));
        if let Some((offset, sent)) = case.reading {
            freshness.record_read(Offset(offset), at(sent), at(sent + 10));
        }
        if case.is_log_down {
            freshness.record_failure();
        }
        let status = freshness.status(Offset(case.folded), case.reachability, at(case.now));
        assert_eq!(status, case.status, "{}", case.name);
    }
}

/// Guards against a node refusing work before it could fold a new record.
#[test]
fn new_record_keeps_status_fresh_until_bound() {
    let mut freshness = Freshness::new(BOUND);
    freshness.record_read(Offset(7), at(0), at(5));
    freshness.record_read(Offset(8), at(1_000), at(1_005));
    let status = |folded, now| freshness.status(Offset(folded), reachability(8, 8, 0), at(now));
    assert_eq!(status(7, 1_500), Status::Fresh);
    assert_eq!(status(7, 2_001), Status::Behind);
    assert_eq!(status(8, 2_001), Status::Fresh);
}

#[test]
fn relayed_reading_keeps_its_age() {
    let mut freshness = Freshness::new(BOUND);
    let reading = TailReading {
        offset: Offset(7),
        age: Duration::from_millis(1_900),
    };
    freshness.add_reading(&reading, at(10), at(50));
    assert_eq!(
        freshness.latest_reading(at(50)).map(|v| v.age),
        Some(Duration::from_millis(1_940))
    );
    assert_eq!(freshness.latest_reading(at(111)), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Each hop: the offset of the holder's clock, the time before the call,
    /// and the transit times of the call and the reply, in milliseconds.
    #[test]
    fn relayed_age_is_never_below_real_age(
        hops in collection::vec((0_u64..9_000, 0_u64..400, 0_u64..900, 0_u64..900), 1..8),
        reading in 0_u64..300,
    ) {
        let bound = Duration::from_secs(60);
        let (mut real, mut ahead) = (reading, 0);
        let mut holder = Freshness::new(bound);
        // The read was sent at real time 0.
        holder.record_read(Offset(1), at(0), at(reading));
        for (next_ahead, wait, call, reply) in hops {
            let sent = real + wait;
            let made = sent + call;
            real = made + reply;
            let reading = holder.latest_reading(at(made + ahead)).expect("within the bound");
            prop_assert!(reading.age >= Duration::from_millis(made));
            ahead = next_ahead;
            holder = Freshness::new(bound);
            holder.add_reading(&reading, at(sent + ahead), at(real + ahead));
            let age = holder.latest_reading(at(real + ahead)).expect("within the bound").age;
            prop_assert!(age >= Duration::from_millis(real), "{age:?} at {real} ms");
        }
    }
}

/// Returns a state in which a failure domain is taken out.
fn state_without_domain(domain: &str) -> State {
    let mut state = State::default();
    let change = Change::Operation {
        base: Offset::ZERO,
        scope: Scope::Domain(domain.try_into().expect("a valid name")),
        operation: Operation::TakeOut,
        by: "operator".into(),
    };
    let writer = Writer(peer(0, 1).incarnation);
    state.apply(
        Offset(1),
        &Record {
            writer,
            sequence: Sequence(1),
            change,
        },
    );
    state
}

#[test]
fn directory_lists_nodes_that_accept_work() {
    let mut network = Network::from_epoch(9, Settings::default());
    network.run(5);
    let now = network.now();
    network.stop(2);
    for (at, role) in [(3, Role::Leaving), (4, Role::Isolated)] {
        network.tables[at]
            .as_mut()
            .expect("the node runs")
            .set_role(role, now);
    }
    network.run(9);
    let table = network.tables[0].as_ref().expect("the node runs");
    let near: Domain = "domain-8".try_into().expect("a valid name");
    let ttl = Duration::from_secs(5);
    struct Case {
        name: &'static str,
        state: State,
        status: Status,
        listed: Vec<usize>,
    }
    let cases = [
        Case {
            name: "fresh",
            state: State::default(),
            status: Status::Fresh,
            listed: vec![8, 0, 1, 5, 6, 7],
        },
        Case {
            name: "outage",
            state: State::default(),
            status: Status::Outage,
            listed: vec![8, 0, 1, 5, 6, 7],
        },
        Case {
            name: "isolated",
            state: State::default(),
            status: Status::Isolated,
            listed: vec![8, 1, 5, 6, 7],
        },
        Case {
            name: "behind",
            state: State::default(),
            status: Status::Behind,
            listed: vec![8, 1, 5, 6, 7],
        },
        Case {
            name: "taken out",
            state: state_without_domain("domain-5"),
            status: Status::Fresh,
            listed: vec![8, 0, 1, 6, 7],
        },
    ];
    for case in cases {
        let directory = Directory::new(table, &case.state, case.status, Some(&near), ttl);
        let listed: Vec<_> = directory.entries.iter().map(|e| e.node.clone()).collect();
        let expected: Vec<_> = case.listed.iter().map(|at| node(*at)).collect();
        assert_eq!(listed, expected, "{}", case.name);
        assert_eq!(directory.ttl_seconds, 5);
        assert!(
            directory
                .entries
                .iter()
                .all(|e| e.is_nearest == (e.domain == near))
        );
        assert!(directory.entries[0].weight > directory.entries[1].weight);
    }
}

/// Guards against a planned stop rejecting callers with a cached directory, and
/// against the process exiting while requests are in progress.
#[test]
fn planned_stop_finishes_requests_in_progress() {
    let ttl = Duration::from_secs(5);
    let mut drain = Drain::new();
    assert!(drain.begin_request(at(0)));
    drain.start(ttl, at(1_000));
    drain.start(ttl, at(4_000));
    assert_eq!(drain.update(at(1_000)), Stage::Leaving { until: at(6_000) });
    assert!(
        drain.begin_request(at(5_999)),
        "a request from a caller with a cached directory is accepted"
    );
    assert!(!drain.begin_request(at(6_000)));
    drain.end_request(at(6_500));
    assert_eq!(
        drain.update(at(900_000)),
        Stage::Draining,
        "one request is still in progress"
    );
    drain.end_request(at(900_001));
    assert_eq!(drain.update(at(900_001)), Stage::Stopped);
    assert_eq!(drain.in_progress(), 0);
}
