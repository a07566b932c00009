//! Limits that servers name, and their division among nodes.

use clock::Moment;
use place::{Limits, NAMED_SPAN, Named};
use site::fixture::id;
use std::time::Duration;

fn named(per_s: Option<f64>, at_ms: u64) -> Named {
    Named {
        incarnation: 1,
        per_s,
        at: Moment::from_millis(at_ms),
    }
}

#[test]
fn shares_of_all_nodes_add_up_to_named_limit() {
    struct Case {
        per_s: f64,
        /// The requests of all nodes in [`NAMED_SPAN`].
        requests: usize,
    }
    let cases = [
        Case {
            per_s: 2.0,
            requests: 8,
        },
        Case {
            per_s: 4.2,
            requests: 16,
        },
        Case {
            per_s: 1_000.0,
            requests: 4_000,
        },
        Case {
            per_s: 0.1,
            requests: 1,
        },
        Case {
            per_s: 0.0,
            requests: 1,
        },
    ];
    for case in cases {
        for nodes in [1_usize, 9, 72, 340] {
            let names: Vec<String> = (0..nodes).map(|n| format!("node-{n}")).collect();
            let all: Vec<&str> = names.iter().map(String::as_str).collect();
            let mut sum = 0;
            for own in &names {
                let mut limits = Limits::default();
                limits.set_nodes(own, all.clone());
                assert!(limits.record(&id("a"), named(Some(case.per_s), 0)));
                let share = limits.share(&id("a"), 1).expect("a limit");
                assert_eq!(share.span, NAMED_SPAN);
                sum += share.requests;
            }
            assert_eq!(sum, case.requests, "{} per s, {nodes} nodes", case.per_s);
        }
    }
}

#[test]
fn newest_answer_of_the_incarnation_decides() {
    struct Case {
        condition: &'static str,
        answers: Vec<Named>,
        per_s: Option<f64>,
    }
    let other_incarnation = Named {
        incarnation: 2,
        ..named(Some(9.0), 30)
    };
    let cases = [
        Case {
            condition: "no answer names a limit",
            answers: vec![named(None, 10)],
            per_s: None,
        },
        Case {
            condition: "a limit that changes",
            answers: vec![named(Some(4.0), 10), named(Some(2.0), 20)],
            per_s: Some(2.0),
        },
        Case {
            condition: "lifted",
            answers: vec![named(Some(4.0), 10), named(None, 20)],
            per_s: None,
        },
        Case {
            condition: "an older answer that comes later",
            answers: vec![named(Some(4.0), 10), named(None, 20), named(Some(4.0), 15)],
            per_s: None,
        },
        Case {
            condition: "a restart",
            answers: vec![named(Some(4.0), 10), other_incarnation],
            per_s: None,
        },
    ];
    for case in cases {
        let mut limits = Limits::default();
        limits.set_nodes("n", vec!["n"]);
        for answer in case.answers {
            limits.record(&id("a"), answer);
        }
        assert_eq!(limits.per_s(&id("a"), 1), case.per_s, "{}", case.condition);
    }
}

#[test]
fn shares_follow_the_number_of_nodes() {
    let mut limits = Limits::default();
    limits.set_nodes("n1", vec!["n1", "n2"]);
    limits.record(&id("a"), named(Some(4.0), 0));
    assert_eq!(limits.share(&id("a"), 1).expect("a limit").requests, 8);
    limits.set_nodes("n1", vec!["n1"]);
    assert_eq!(limits.share(&id("a"), 1).expect("a limit").requests, 16);
}

#[test]
fn limit_that_no_answer_confirms_is_forgotten() {
    let mut limits = Limits::default();
    limits.set_nodes("n", vec!["n"]);
    limits.record(&id("a"), named(Some(4.0), 0));
    limits.expire(Moment::from_millis(599_000));
    assert!(limits.per_s(&id("a"), 1).is_some());
    limits.expire(Moment::START + Duration::from_secs(600));
    assert_eq!(limits.per_s(&id("a"), 1), None);
}

/// Guards against a datagram to all nodes for each answer.
#[test]
fn limit_that_changes_with_each_answer_is_sent_to_others_once_a_second() {
    let mut limits = Limits::default();
    limits.set_nodes("n", vec!["n"]);
    let mut sent = 0;
    for n in 0..100_u32 {
        let per_s = (n % 3 != 0).then_some(1.0 + f64::from(n));
        sent += usize::from(limits.record(&id("a"), named(per_s, u64::from(n) * 50)));
        assert_eq!(limits.per_s(&id("a"), 1), per_s);
    }
    assert!(sent <= 5, "{sent}");
    assert!(sent >= 4, "{sent}");
}
