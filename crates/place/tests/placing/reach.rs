//! When a node counts as isolated from the backend servers.

use clock::Moment;
use name::Instance;
use place::{CONNECTED_CHECK_INTERVAL, Reach};
use std::time::Duration;

fn server(n: usize) -> Instance {
    format!("s{n}").parse().expect("a name")
}

/// Something that a node observes.
#[derive(Debug, Clone, Copy)]
enum Seen {
    /// This server is out of reach.
    Failure(usize),
    /// This server answers.
    Contact(usize),
    /// This many of that many servers accept connections.
    Check(usize, usize),
}

use Seen::{Check, Contact, Failure};

#[test]
fn node_is_isolated_if_nearly_no_server_accepts_connections() {
    struct Case {
        condition: &'static str,
        seen: Vec<(u64, Seen)>,
        /// Whether a check was due after any failure.
        is_checked: bool,
        is_isolated: bool,
    }
    let both = |rest: &[(u64, Seen)]| {
        let mut seen = vec![(0, Failure(1)), (10, Failure(2))];
        seen.extend(rest);
        seen
    };
    let case = |condition, seen, is_checked, is_isolated| Case {
        condition,
        seen,
        is_checked,
        is_isolated,
    };
    let cases = [
        case(
            "one server",
            vec![(0, Failure(1)), (300, Failure(1))],
            false,
            false,
        ),
        case(
            "two servers at different times",
            vec![(0, Failure(1)), (1_500, Failure(2))],
            false,
            false,
        ),
        case(
            "one server that answers again, and another",
            vec![(0, Failure(1)), (100, Contact(1)), (200, Failure(2))],
            false,
            false,
        ),
        case(
            "two servers, others accept",
            both(&[(20, Check(4, 6))]),
            true,
            false,
        ),
        case(
            "a failure domain of three",
            both(&[(20, Check(3, 6))]),
            true,
            false,
        ),
        case("no server accepts", both(&[(20, Check(0, 6))]), true, true),
        case("one of six accepts", both(&[(20, Check(1, 6))]), true, true),
        case(
            "both servers of a small deployment",
            both(&[(20, Check(0, 2))]),
            true,
            true,
        ),
        case(
            "no other server is known",
            both(&[(20, Check(0, 0))]),
            true,
            false,
        ),
        case(
            "the links come back for one check",
            both(&[(20, Check(0, 6)), (300, Check(6, 6)), (600, Check(0, 6))]),
            true,
            true,
        ),
        case(
            "the links are back",
            both(&[(20, Check(0, 6)), (300, Check(5, 6)), (600, Check(3, 6))]),
            true,
            false,
        ),
        case(
            "all servers are gone from the list",
            both(&[(20, Check(0, 6)), (300, Check(0, 0)), (600, Check(0, 0))]),
            true,
            false,
        ),
    ];
    for case in cases {
        let mut reach = Reach::default();
        let mut is_checked = false;
        for (at, seen) in case.seen {
            let now = Moment::from_millis(at);
            match seen {
                Failure(n) => is_checked |= reach.record_failure(&server(n), now),
                Contact(n) => reach.record_contact(&server(n)),
                Check(accepted, checked) => {
                    let before = reach.isolated_since();
                    let is_changed = reach.record_check(accepted, checked, now);
                    let is_other = before.is_some() != reach.isolated_since().is_some();
                    assert_eq!(is_changed, is_other, "{}", case.condition);
                }
            }
        }
        assert_eq!(is_checked, case.is_checked, "{}", case.condition);
        let is_isolated = reach.isolated_since().is_some();
        assert_eq!(is_isolated, case.is_isolated, "{}", case.condition);
        assert_eq!(reach.is_in_doubt(), is_isolated, "{}", case.condition);
    }
}

/// Guards against a planner that decides between the first failures and their check.
#[test]
fn node_is_in_doubt_until_its_check_ends() {
    let mut reach = Reach::default();
    let now = Moment::from_millis(1_000);
    assert!(!reach.record_failure(&server(1), now));
    assert!(!reach.is_in_doubt());
    assert!(reach.record_failure(&server(2), now));
    assert!(reach.is_in_doubt());
    assert!(
        !reach.record_failure(&server(3), now),
        "one check at a time"
    );
    reach.record_check(6, 6, now);
    assert!(!reach.is_in_doubt());
}

#[test]
fn checks_are_as_seldom_as_the_interval() {
    let mut reach = Reach::default();
    let mut checks: u32 = 0;
    for ms in 0..2_000_u64 {
        let now = Moment::from_millis(ms);
        if reach.record_failure(&server(ms as usize % 50), now) {
            checks += 1;
            reach.record_check(6, 6, now);
        }
    }
    let most = Duration::from_secs(2).as_millis() / CONNECTED_CHECK_INTERVAL.as_millis();
    assert!(u128::from(checks) <= most, "{checks} checks in 2 s");
}
