//! Exchange of outcomes and shares, and what holds without the planner.

use super::Table;
use clock::Moment;
use name::{Model, Node};
use place::{MAX_SHARE_AGE, Occupancy, Outcomes};
use std::time::Duration;

fn model() -> Model {
    "m".parse().expect("a name")
}

fn outcomes(on_time: u64, late: u64) -> Vec<(Model, Outcomes)> {
    let outcomes = Outcomes {
        on_time,
        late,
        refused: 0,
    };
    vec![(model(), outcomes)]
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
        table.receive_shares(&[(model(), case.sent)], begin);
        let share = table.share(&model(), begin + case.age);
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
    table.receive_shares(&[(model(), 700)], now);
    table.step(true, full, now);
    // What an earlier planner may have counted is skipped.
    table.receive_outcomes(&node, 1, &outcomes(100, 400), now);
    table.receive_outcomes(&node, 1, &outcomes(120, 400), now);
    table.receive_outcomes(&node, 1, &outcomes(120, 400), now);
    table.receive_outcomes(&node, 2, &outcomes(0, 0), now);
    table.receive_outcomes(&node, 2, &outcomes(10, 0), now);
    let changes = table.step(true, full, now + Duration::from_secs(1));
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].outcomes, outcomes(30, 0)[0].1);
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
    table.receive_shares(&[(model(), 500)], now);
    let mut admitted = [0; 3];
    for _ in 0..300 {
        admitted[0] += usize::from(table.admits(&model(), 0, false, now));
        admitted[1] += usize::from(table.admits(&model(), 1, false, now));
        admitted[2] += usize::from(table.admits(&model(), 0, true, now));
    }
    assert!(admitted[0] > 290, "{admitted:?}");
    assert!((100..=200).contains(&admitted[1]), "{admitted:?}");
    assert!(admitted[2] < 10, "{admitted:?}");
}
