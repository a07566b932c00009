//! Which lost connections count as ends of servers.

use super::{CHECK_REUSE_TIME, EndChecks, MAX_CHECKS, MAX_UNCONFIRMED, RESTART_TIME};
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
    let mut check = |incarnation, after| {
        let check = checks.check(loss(incarnation, at).digest(), at + after);
        check.expect("few checks")
    };
    let (first, is_new) = check(7, Duration::ZERO);
    assert!(is_new);
    let (second, is_new) = check(7, CHECK_REUSE_TIME / 2);
    assert!(!is_new && Arc::ptr_eq(&first, &second));
    assert!(check(8, Duration::ZERO).1);
    assert!(check(7, CHECK_REUSE_TIME).1);
}

/// Guards against a thousand connections at once when a failure domain is lost.
#[test]
fn checks_in_a_moment_are_bounded() {
    let mut checks = EndChecks::default();
    let at = Moment::from_millis(1_000);
    for incarnation in 0..10 * MAX_CHECKS as u64 {
        let check = checks.check(loss(incarnation, at).digest(), at);
        assert_eq!(check.is_some(), incarnation < MAX_CHECKS as u64);
    }
    let later = at + CHECK_REUSE_TIME;
    assert!(checks.check(loss(0, at).digest(), later).is_some());
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
