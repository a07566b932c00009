//! Comparison of eras, and what a node keeps when the store returns from an older copy.

use super::{Era, Order, REMOVAL_MEMORY};
use clock::Moment;
use site::{
    Server, feed,
    fixture::{self, id},
    server::Change,
};
use std::time::Duration;

#[test]
fn newer_era_wins_whatever_the_offsets() {
    struct Case {
        what: &'static str,
        latest: Option<u64>,
        position: (u64, u64),
        order: Order,
    }
    let cases = [
        Case {
            what: "the first read",
            latest: None,
            position: (3, 10),
            order: Order::Same,
        },
        Case {
            what: "a lower offset of a newer era",
            latest: Some(3),
            position: (4, 0),
            order: Order::New,
        },
        Case {
            what: "two returns in quick succession",
            latest: Some(3),
            position: (5, 0),
            order: Order::New,
        },
        Case {
            what: "a read that was on its way when the era ended",
            latest: Some(4),
            position: (3, 1_000_000),
            order: Order::Earlier,
        },
        Case {
            what: "a store that names no era",
            latest: Some(0),
            position: (0, 7),
            order: Order::Same,
        },
    ];
    for case in cases {
        let era = Era {
            latest: case.latest,
            ..Era::default()
        };
        let position = feed::position(case.position.0, case.position.1);
        assert_eq!(era.compare(position), case.order, "{}", case.what);
    }
}

/// Guards against requests to a server whose entry was removed and stands in an older copy.
#[test]
fn removed_incarnation_is_outdated_for_as_long_as_copies_are_old() {
    struct Case {
        what: &'static str,
        incarnation: u64,
        after: Duration,
        is_outdated: bool,
    }
    let cases = [
        Case {
            what: "the removed incarnation",
            incarnation: 1,
            after: Duration::from_secs(8),
            is_outdated: true,
        },
        Case {
            what: "a later incarnation",
            incarnation: 2,
            after: Duration::from_secs(8),
            is_outdated: false,
        },
        Case {
            what: "long after the removal",
            incarnation: 1,
            after: REMOVAL_MEMORY,
            is_outdated: false,
        },
    ];
    let now = Moment::from_millis(1_000);
    let mut era = Era::default();
    era.record_removal(&id("a"), 1, now);
    for case in cases {
        let change = Change::Updated(Box::new(Server {
            incarnation: case.incarnation,
            ..fixture::server("a")
        }));
        let is_outdated = era.is_outdated(&change, now + case.after);
        assert_eq!(is_outdated, case.is_outdated, "{}", case.what);
    }
}
