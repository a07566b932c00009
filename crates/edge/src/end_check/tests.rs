//! Which lost connections count as ends of servers.

use super::{CHECK_REUSE_TIME, EndChecks, MAX_UNCONFIRMED, RESTART_TIME};
use crate::evidence::Loss;
use clock::Moment;
use std::{sync::Arc, time::Duration};

fn loss(incarnation: u64, at: Moment) -> Loss {
    Loss {
        parts: Vec::new(),
        server: "s".parse().expect("a name"),
        incarnation,
        run: Duration::from_millis(80),
        at,
    }
}

/// Guards against a server that starts again so soon that it never refuses a connection.
#[test]
fn later_incarnation_confirms_a_loss_for_some_seconds() {
    struct Case {
        condition: &'static str,
        incarnation: Option<u64>,
        after: Duration,
        confirmed: usize,
    }
    let second = Duration::from_secs(1);
    let cases = [
        Case {
            condition: "a later incarnation",
            incarnation: Some(8),
            after: second,
            confirmed: 1,
        },
        Case {
            condition: "the same incarnation",
            incarnation: Some(7),
            after: second,
            confirmed: 0,
        },
        Case {
            condition: "no entry",
            incarnation: None,
            after: second,
            confirmed: 0,
        },
        Case {
            condition: "a later incarnation long after",
            incarnation: Some(8),
            after: RESTART_TIME,
            confirmed: 0,
        },
    ];
    for case in cases {
        let mut checks = EndChecks::default();
        let at = Moment::from_millis(1_000);
        checks.keep(loss(7, at));
        let incarnation = |_: &_| case.incarnation;
        let confirmed = checks.take_confirmed(incarnation, at + case.after);
        assert_eq!(confirmed.len(), case.confirmed, "{}", case.condition);
        let again = checks.take_confirmed(incarnation, at + case.after);
        assert!(again.is_empty(), "{}", case.condition);
    }
}

#[test]
fn losses_in_a_moment_share_one_check() {
    let mut checks = EndChecks::default();
    let at = Moment::from_millis(1_000);
    let (first, is_new) = checks.check(loss(7, at).digest(), at);
    assert!(is_new);
    let (second, is_new) = checks.check(loss(7, at).digest(), at + CHECK_REUSE_TIME / 2);
    assert!(!is_new && Arc::ptr_eq(&first, &second));
    let (_, is_new) = checks.check(loss(8, at).digest(), at);
    assert!(is_new);
    let (_, is_new) = checks.check(loss(7, at).digest(), at + CHECK_REUSE_TIME);
    assert!(is_new);
}

#[test]
fn unconfirmed_losses_are_bounded() {
    let mut checks = EndChecks::default();
    for _ in 0..2 * MAX_UNCONFIRMED {
        checks.keep(loss(7, Moment::START));
    }
    let confirmed = checks.take_confirmed(|_| Some(8), Moment::START);
    assert_eq!(confirmed.len(), MAX_UNCONFIRMED);
}
