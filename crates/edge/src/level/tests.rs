//! Exchange of outcomes and shares, and what holds without the planner.

use super::{Extension, Table};
use clock::Moment;
use name::{Account, Model, Node};
use place::{MAX_SHARE_AGE, Occupancy, Outcomes};
use std::time::Duration;

fn model() -> Model {
    "m".parse().expect("a name")
}

fn account(name: &str) -> Account {
    name.parse().expect("a name")
}

fn report(on_time: u64, late: u64) -> Extension {
    let outcomes = Outcomes {
        on_time,
        late,
        refused: 0,
    };
    Extension {
        outcomes: vec![(model(), outcomes)],
        ..Extension::default()
    }
}

fn shares(thousandths: u16) -> Extension {
    Extension {
        shares: vec![(model(), thousandths)],
        ..Extension::default()
    }
}

/// More requests in progress than any target.
fn full(_: &Model) -> Option<Occupancy> {
    Some(Occupancy {
        running: 100,
        slots: 100,
    })
}

/// Guards against a node that goes on to refuse requests with a share from before it lost
/// the planner.
#[test]
fn share_expires_without_the_planner() {
    struct Case {
        what: &'static str,
        sent: u16,
        age: Duration,
        share: f64,
    }
    let cases = [
        Case {
            what: "a recent share",
            sent: 600,
            age: Duration::from_secs(1),
            share: 0.6,
        },
        Case {
            what: "a share that is too old",
            sent: 600,
            age: MAX_SHARE_AGE,
            share: 1.0,
        },
        Case {
            what: "a share out of range",
            sent: 60_000,
            age: Duration::ZERO,
            share: 1.0,
        },
    ];
    for case in cases {
        let begin = Moment::from_millis(1_000);
        let mut table = Table::default();
        table.receive_shares(&shares(case.sent), begin);
        let share = table.share(&model(), None, begin + case.age);
        assert!((share - case.share).abs() < 1e-9, "{}: {share}", case.what);
    }
}

/// Guards against counting outcomes twice or not at all when reports are lost or repeated,
/// nodes restart, and planners follow each other.
#[test]
fn each_outcome_counts_once() {
    let node: Node = "n".parse().expect("a name");
    let now = Moment::from_millis(1_000);
    let mut table = Table::default();
    table.receive_shares(&shares(700), now);
    table.step(true, full, now);
    // What an earlier planner may have counted is skipped.
    table.receive_report(&node, 1, &report(100, 400), now);
    table.receive_report(&node, 1, &report(120, 400), now);
    table.receive_report(&node, 1, &report(120, 400), now);
    table.receive_report(&node, 2, &report(0, 0), now);
    table.receive_report(&node, 2, &report(10, 0), now);
    let changes = table.step(true, full, now + Duration::from_secs(1));
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].outcomes, report(30, 0).outcomes[0].1);
    assert!(changes[0].admitted < 0.7, "{changes:?}");
    // A node that plans no longer sends no shares.
    table.step(false, full, now + Duration::from_secs(2));
    assert!(table.shares().is_empty());
}

/// Guards against refusing urgent requests while others of the same model are admitted.
#[test]
fn share_is_used_by_urgent_requests_first() {
    let now = Moment::from_millis(1_000);
    let mut table = Table::default();
    table.receive_shares(&shares(500), now);
    let mut admitted = [0; 3];
    for _ in 0..300 {
        admitted[0] += usize::from(table.admits(&model(), None, 0, false, now));
        admitted[1] += usize::from(table.admits(&model(), None, 1, false, now));
        admitted[2] += usize::from(table.admits(&model(), None, 0, true, now));
    }
    assert!(admitted[0] > 290, "{admitted:?}");
    assert!((100..=200).contains(&admitted[1]), "{admitted:?}");
    assert!(admitted[2] < 10, "{admitted:?}");
}

/// Guards against refusing requests of small accounts for what a large one sends, and
/// against sums that lose a node's or the planner's own part.
#[test]
fn account_above_a_fair_part_is_thinned_first() {
    let node: Node = "n".parse().expect("a name");
    let begin = Moment::from_millis(1_000);
    let at = |millis| begin + Duration::from_millis(millis);
    let mut planner = Table::default();
    planner.receive_shares(&shares(500), begin);
    planner.step(true, full, begin);
    let offered = |small: u64, large: u64| Extension {
        offered: vec![
            (model(), account("small"), small),
            (model(), account("large"), large),
        ],
        ..report(0, 0)
    };
    planner.receive_report(&node, 1, &offered(7, 70), begin);
    planner.receive_report(&node, 1, &offered(27, 400), at(100));
    for _ in 0..20 {
        planner.admits(&model(), Some(&account("small")), 0, false, at(100));
    }
    planner.step(true, full, at(200));
    let announced = planner.announcement();
    let thinned = announced.account_shares.iter();
    let thinned: Vec<&str> = thinned.map(|(_, account, _)| account.as_str()).collect();
    assert_eq!(thinned, ["large"], "{announced:?}");
    let mut other = Table::default();
    other.receive_shares(&announced, at(300));
    assert!(other.share(&model(), Some(&account("large")), at(300)) < 0.5);
    let small = other.share(&model(), Some(&account("small")), at(300));
    assert!((small - 1.0).abs() < 1e-9, "{small}");
}
