//! What is in progress, here and at other nodes.

use crate::{FIRST, SLOTS, at};
use place::{Load, Share, Work};
use site::fixture::id;
use std::time::Duration;

/// With 72 nodes, each had one or two requests at a replica. One that waited
/// there made all nodes give up all requests at it: 2,881 attempts in a quiet
/// day, with 58 replicas really lost.
#[test]
fn a_replica_that_answers_other_nodes_does_not_stand_still() {
    struct Case {
        what: &'static str,
        /// Whether the other node thinks that the replica is silent.
        is_silent: bool,
        /// When the other node heard from it.
        heard: Option<u64>,
        /// Whether this node has a request there.
        has_own: bool,
        expected: bool,
    }
    let cases = [
        Case {
            what: "a request of this node waits, another one is answered",
            is_silent: false,
            heard: Some(1_900),
            has_own: true,
            expected: false,
        },
        Case {
            what: "a request of the other node waits, and it heard of an earlier one",
            is_silent: true,
            heard: Some(1_800),
            has_own: false,
            expected: false,
        },
        Case {
            what: "nothing comes to either",
            is_silent: true,
            heard: None,
            has_own: true,
            expected: true,
        },
        Case {
            what: "the other node heard something too long ago",
            is_silent: true,
            heard: Some(1_400),
            has_own: false,
            expected: true,
        },
    ];
    for case in cases {
        let mut load = Load::default();
        if case.has_own {
            load.start(&id("a"), 100, FIRST, at(1_000));
        }
        let share = Share {
            server: id("a"),
            work: Work {
                requests: 1,
                unread: 100,
                is_silent: case.is_silent,
            },
            heard: case.heard.map(at),
        };
        load.share("other".parse().expect("a name"), [share], at(1_950));
        let is_silent = load.work(&id("a"), at(2_000)).is_silent;
        assert_eq!(is_silent, case.expected, "{}", case.what);
    }
}

/// A node that gave a place back may take it again, whatever the others do.
#[test]
fn a_node_replaces_what_ended() {
    let mut load = Load::default();
    for _ in 0..10 {
        load.start(&id("a"), 0, FIRST, at(1_000));
    }
    for _ in 0..4 {
        load.end(&id("a"), at(4_950));
    }
    assert_eq!(
        load.growth(&id("a"), Duration::from_millis(700), at(5_000)),
        0
    );
    for n in 0..6 {
        let growth = load.growth(&id("a"), Duration::from_millis(700), at(5_000));
        assert_eq!(growth, usize::from(n == 5), "{n}");
        load.start(&id("a"), 0, FIRST, at(5_000));
    }
}

/// One node tells the sum of all; while none does, each tells its own.
#[test]
fn a_sum_replaces_what_each_node_says_and_the_other_way_round() {
    let share = |requests| Share {
        server: id("a"),
        work: Work {
            requests,
            ..Work::default()
        },
        heard: None,
    };
    let node = |name: &str| name.parse().expect("a name");
    let mut load = Load::default();
    load.start(&id("a"), 0, FIRST, at(1_000));
    let requests = |load: &Load| load.work(&id("a"), at(1_000)).requests;
    load.share(node("x"), [share(2)], at(1_000));
    load.share(node("y"), [share(3)], at(1_000));
    assert_eq!(requests(&load), 1 + 2 + 3);
    let sum = load.sum(at(1_000));
    assert_eq!(sum, [share(6)]);
    // What is told with the sum leaves this node's own part out.
    load.share_sum(node("planner"), [share(9)], at(1_000));
    assert_eq!(requests(&load), 1 + 9);
    load.share_sum(node("planner"), [share(8)], at(1_000));
    assert_eq!(requests(&load), 1 + 8);
    load.share_sum(node("next"), [share(7)], at(1_000));
    assert_eq!(requests(&load), 1 + 7);
    load.share(node("x"), [share(2)], at(1_000));
    assert_eq!(requests(&load), 1 + 2, "the sum held x as well");
    load.share(node("y"), [share(3)], at(1_000));
    assert_eq!(requests(&load), 1 + 2 + 3);
    load.expire(at(9_000));
    assert_eq!(requests(&load), 1);
}

/// After a restart of all nodes, replicas that read a second's worth of prompts
/// were taken for ones that stand still, and the credit for retries was used up.
#[test]
fn a_replica_that_reads_many_prompts_does_not_stand_still() {
    let mut load = Load::default();
    let first = Duration::from_millis(800);
    for _ in 0..SLOTS {
        load.start(&id("a"), 1_400, first, at(1_000));
    }
    assert!(!load.work(&id("a"), at(2_000)).is_silent);
    assert!(load.work(&id("a"), at(2_300)).is_silent);
}
