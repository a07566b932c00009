//! Vouchers, status, the directory and the planned stop, rule by rule.

use crate::net::{Net, node, peer};
use clock::Moment;
use member::{Directory, Drain, Freshness, Role, Settings, Sight, Stage, Status, Voucher};
use name::{Domain, Offset, Sequence};
use proptest::{collection, prelude::*, test_runner::RngSeed};
use state::{Change, Operation, Record, Scope, State, Writer};
use std::time::Duration;

const BOUND: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn sight(known: usize, heard: usize, without_log: usize) -> Sight {
    Sight {
        known,
        heard,
        without_log,
    }
}

#[test]
fn a_status_follows_from_vouchers_and_sight() {
    struct Case {
        name: &'static str,
        reading: Option<(u64, u64)>,
        is_log_down: bool,
        /// The offset that a peer says it has folded.
        peer: u64,
        folded: u64,
        sight: Sight,
        now: u64,
        status: Status,
    }
    let base = || Case {
        name: "",
        reading: Some((7, 1_000)),
        is_log_down: false,
        peer: 7,
        folded: 7,
        sight: sight(8, 8, 0),
        now: 1_500,
        status: Status::Fresh,
    };
    let cases = [
        Case {
            name: "read and folded",
            ..base()
        },
        Case {
            name: "at the bound",
            now: 3_000,
            ..base()
        },
        Case {
            name: "fresh without sight",
            sight: sight(8, 0, 0),
            ..base()
        },
        Case {
            name: "not folded yet",
            folded: 6,
            status: Status::Behind,
            ..base()
        },
        Case {
            name: "woke from a pause",
            now: 60_000,
            status: Status::Isolated,
            ..base()
        },
        Case {
            name: "log down for it alone",
            now: 4_000,
            is_log_down: true,
            status: Status::Isolated,
            ..base()
        },
        Case {
            name: "log down for most",
            now: 4_000,
            is_log_down: true,
            sight: sight(8, 5, 4),
            status: Status::Outage,
            ..base()
        },
        Case {
            name: "log down for most, with a record that is missing here",
            folded: 6,
            now: 4_000,
            is_log_down: true,
            sight: sight(8, 5, 4),
            status: Status::Behind,
            ..base()
        },
        Case {
            name: "log down, and a peer has a record that is missing here",
            now: 4_000,
            is_log_down: true,
            peer: 8,
            sight: sight(8, 8, 8),
            status: Status::Behind,
            ..base()
        },
        Case {
            name: "log down for half",
            now: 4_000,
            is_log_down: true,
            sight: sight(7, 7, 3),
            status: Status::Isolated,
            ..base()
        },
        Case {
            name: "cut off in a minority",
            now: 4_000,
            is_log_down: true,
            sight: sight(8, 3, 3),
            status: Status::Isolated,
            ..base()
        },
        Case {
            name: "a single node without the log",
            reading: None,
            is_log_down: true,
            sight: sight(0, 0, 0),
            status: Status::Outage,
            ..base()
        },
    ];
    for case in cases {
        let mut freshness = Freshness::new(BOUND);
        freshness.exists(Offset(case.peer));
        if let Some((offset, sent)) = case.reading {
            freshness.read(Offset(offset), at(sent), at(sent + 10));
        }
        if case.is_log_down {
            freshness.failed();
        }
        let status = freshness.status(Offset(case.folded), case.sight, at(case.now));
        assert_eq!(status, case.status, "{}", case.name);
    }
}

#[test]
fn a_new_record_does_not_end_freshness_before_the_bound() {
    let mut freshness = Freshness::new(BOUND);
    freshness.read(Offset(7), at(0), at(5));
    freshness.read(Offset(8), at(1_000), at(1_005));
    let status = |folded, now| freshness.status(Offset(folded), sight(8, 8, 0), at(now));
    assert_eq!(status(7, 1_500), Status::Fresh);
    assert_eq!(status(7, 2_001), Status::Behind);
    assert_eq!(status(8, 2_001), Status::Fresh);
}

#[test]
fn a_voucher_older_than_the_process_stays_old() {
    let mut freshness = Freshness::new(BOUND);
    let voucher = Voucher {
        offset: Offset(7),
        age: Duration::from_millis(1_900),
    };
    freshness.learn(&voucher, at(10), at(50));
    assert_eq!(
        freshness.voucher(at(50)).map(|v| v.age),
        Some(Duration::from_millis(1_940))
    );
    assert_eq!(freshness.voucher(at(111)), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Each hop: how far the holder's clock is ahead, the time before the call,
    /// the call's and the reply's time in transit, in milliseconds.
    #[test]
    fn a_voucher_never_looks_younger_than_it_is(
        hops in collection::vec((0_u64..9_000, 0_u64..400, 0_u64..900, 0_u64..900), 1..8),
        reading in 0_u64..300,
    ) {
        let bound = Duration::from_secs(60);
        let (mut real, mut ahead) = (reading, 0);
        let mut holder = Freshness::new(bound);
        // The reading was asked for at 0 in real time.
        holder.read(Offset(1), at(0), at(reading));
        for (next_ahead, wait, call, reply) in hops {
            let sent = real + wait;
            let made = sent + call;
            real = made + reply;
            let voucher = holder.voucher(at(made + ahead)).expect("within the bound");
            prop_assert!(voucher.age >= Duration::from_millis(made));
            ahead = next_ahead;
            holder = Freshness::new(bound);
            holder.learn(&voucher, at(sent + ahead), at(real + ahead));
            let age = holder.voucher(at(real + ahead)).expect("within the bound").age;
            prop_assert!(age >= Duration::from_millis(real), "{age:?} at {real} ms");
        }
    }
}

/// Returns a state in which a failure domain was taken out.
fn without(domain: &str) -> State {
    let mut state = State::default();
    let change = Change::Operation {
        base: Offset::ZERO,
        scope: Scope::Domain(domain.try_into().expect("a name")),
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
fn the_directory_lists_who_may_take_work() {
    let mut net = Net::from_epoch(9, Settings::default());
    net.run(5);
    let now = net.now();
    net.stop(2);
    for (at, role) in [(3, Role::Leaving), (4, Role::Isolated)] {
        net.tables[at]
            .as_mut()
            .expect("it runs")
            .set_role(role, now);
    }
    net.run(9);
    let table = net.tables[0].as_ref().expect("it runs");
    let near: Domain = "domain-8".try_into().expect("a name");
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
            state: without("domain-5"),
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
                .all(|e| e.nearest == (e.domain == near))
        );
        assert!(directory.entries[0].weight > directory.entries[1].weight);
    }
}

#[test]
fn a_planned_stop_cuts_nothing_off() {
    let ttl = Duration::from_secs(5);
    let mut drain = Drain::new();
    assert!(drain.begin(at(0)));
    drain.leave(ttl, at(1_000));
    drain.leave(ttl, at(4_000));
    assert_eq!(drain.tick(at(1_000)), Stage::Leaving { until: at(6_000) });
    assert!(
        drain.begin(at(5_999)),
        "a caller with an older list is served"
    );
    assert!(!drain.begin(at(6_000)));
    drain.end(at(6_500));
    assert_eq!(
        drain.tick(at(900_000)),
        Stage::Draining,
        "one is still in progress"
    );
    drain.end(at(900_001));
    assert_eq!(drain.tick(at(900_001)), Stage::Stopped);
    assert_eq!(drain.in_progress(), 0);
}
