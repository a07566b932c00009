//! Tests of tickets.

use clock::Moment;
use name::{Account, Incarnation, Node};
use once::{Destination, Digest, Quota, Response, Start, Ticket, Tickets};
use proptest::{collection, prelude::*, test_runner::RngSeed};
use std::time::Duration;
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

const INCARNATION: Incarnation = Incarnation(Uuid::from_u128(7));

fn account(text: &str) -> Account {
    text.try_into().expect("a name")
}

fn node(text: &str) -> Node {
    text.try_into().expect("a name")
}

fn number(number: u128) -> Uuid {
    Uuid::from_u128(number)
}

fn tickets() -> Tickets {
    let quota = Quota {
        total: 3,
        account: 2,
        retention: Duration::from_secs(10),
        response_bytes: 10,
    };
    Tickets::new(node("n1"), INCARNATION, quota)
}

fn digest(text: &str) -> Digest {
    Digest::new("POST /b", text.as_bytes())
}

#[test]
fn ticket_runs_once_then_replays_response() {
    let (mut tickets, lena) = (tickets(), account("lena"));
    let ticket = tickets
        .issue(&lena, number(1), Moment::START)
        .expect("room");
    let now = Moment::from_millis(1);
    let start = |tickets: &mut Tickets| tickets.start(&lena, &ticket, digest("a"), now);
    assert_eq!(start(&mut tickets), Ok(Start::Run));
    assert_eq!(start(&mut tickets), Ok(Start::Wait));
    let response = Response::ran(200, "text/plain", b"booked");
    tickets.finish(ticket.number, &Ok(response.clone()), now);
    tickets.finish(
        ticket.number,
        &Err(Error::not_run(Kind::Internal, "late")),
        now,
    );
    assert_eq!(start(&mut tickets), Ok(Start::Done(response)));
}

#[test]
fn failed_run_sets_ticket_verdict() {
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
        let (mut tickets, lena) = (tickets(), account("lena"));
        let now = Moment::START;
        let ticket = tickets.issue(&lena, number(1), now).expect("room");
        tickets
            .start(&lena, &ticket, digest("a"), now)
            .expect("a run");
        let ended = Err(Error::new(Kind::Upstream, verdict, "lost"));
        tickets.finish(ticket.number, &ended, now);
        let error = tickets.start(&lena, &ticket, digest("a"), now);
        assert_eq!(error.expect_err("no answer").verdict(), verdict);
    }
}

#[test]
fn reused_ticket_is_unprocessable() {
    let (mut tickets, lena) = (tickets(), account("lena"));
    let now = Moment::START;
    let ticket = tickets.issue(&lena, number(1), now).expect("room");
    tickets
        .start(&lena, &ticket, digest("a"), now)
        .expect("a run");
    let running = tickets
        .start(&lena, &ticket, digest("b"), now)
        .expect_err("another body");
    assert_eq!(
        (running.kind(), running.verdict()),
        (Kind::Unprocessable, Verdict::MayHaveRun)
    );
    let response = Response::ran(200, "text/plain", b"x");
    tickets.finish(ticket.number, &Ok(response), now);
    let done = tickets
        .start(&lena, &ticket, digest("b"), now)
        .expect_err("another body");
    assert_eq!(
        (done.kind(), done.verdict()),
        (Kind::Unprocessable, Verdict::Ran)
    );
}

#[test]
fn foreign_ticket_gets_unknown_ticket_error() {
    let (mut tickets, lena) = (tickets(), account("lena"));
    let now = Moment::START;
    let ticket = tickets.issue(&lena, number(1), now).expect("room");
    let unknown = Ticket {
        number: number(2),
        ..ticket.clone()
    };
    let earlier = Ticket {
        incarnation: Incarnation(number(3)),
        ..ticket.clone()
    };
    let elsewhere = Ticket {
        node: node("n2"),
        ..ticket.clone()
    };
    let expected = tickets
        .start(&lena, &unknown, digest("a"), now)
        .expect_err("unknown");
    assert_eq!(
        (expected.kind(), expected.verdict()),
        (Kind::Forbidden, Verdict::MayHaveRun)
    );
    for (who, which) in [("tegid", &ticket), ("lena", &earlier), ("lena", &elsewhere)] {
        let error = tickets.start(&account(who), which, digest("a"), now);
        assert_eq!(error.expect_err("foreign"), expected);
    }
    assert_eq!(
        tickets.start(&lena, &ticket, digest("a"), now),
        Ok(Start::Run)
    );
}

#[test]
fn tickets_are_bounded_and_expire_unless_running() {
    let (mut tickets, lena, tegid) = (tickets(), account("lena"), account("tegid"));
    let now = Moment::START;
    let first = tickets.issue(&lena, number(1), now).expect("room");
    tickets.issue(&lena, number(2), now).expect("room");
    let limited = tickets
        .issue(&lena, number(3), now)
        .expect_err("the account's limit is reached");
    assert_eq!(
        (limited.kind(), limited.verdict()),
        (Kind::Limited, Verdict::NotRun)
    );
    tickets.issue(&tegid, number(4), now).expect("room");
    let full = tickets
        .issue(&tegid, number(5), now)
        .expect_err("the total limit is reached");
    assert_eq!(
        (full.kind(), full.verdict()),
        (Kind::Overloaded, Verdict::NotRun)
    );
    tickets
        .start(&lena, &first, digest("a"), now)
        .expect("a run");
    let later = Moment::from_millis(60_000);
    tickets.expire(later);
    assert_eq!(tickets.len(), 1);
    assert_eq!(
        tickets.start(&lena, &first, digest("a"), later),
        Ok(Start::Wait)
    );
    tickets.finish(first.number, &Ok(Response::ran(200, "a/b", b"x")), later);
    tickets.expire(later + Duration::from_secs(10));
    assert!(tickets.is_empty());
    tickets
        .issue(&lena, number(6), later)
        .expect("the account's count went down");
}

#[test]
fn destination_is_issuer_or_gone() {
    let tickets = tickets();
    let issued_by = |name: &str, incarnation: u128| Ticket {
        node: node(name),
        incarnation: Incarnation(number(incarnation)),
        number: number(1),
    };
    let is_member =
        |node: &Node, incarnation: Incarnation| node.as_str() == "n2" && incarnation.0 == number(8);
    let cases = [
        (issued_by("n1", 7), Destination::Local),
        (issued_by("n1", 6), Destination::Gone),
        (
            issued_by("n2", 8),
            Destination::Remote(node("n2"), Incarnation(number(8))),
        ),
        (issued_by("n2", 9), Destination::Gone),
        (issued_by("n3", 8), Destination::Gone),
    ];
    for (ticket, destination) in cases {
        assert_eq!(
            tickets.destination(&ticket, is_member),
            destination,
            "{ticket}"
        );
    }
}

/// Returns a configuration with a fixed seed.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn ticket_text_round_trips(incarnation in any::<u128>(), ticket_number in any::<u128>()) {
        let ticket = Ticket {
            node: node("teifi:1/a.b"),
            incarnation: Incarnation(number(incarnation)),
            number: number(ticket_number),
        };
        prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
    }

    #[test]
    fn arbitrary_text_is_rejected_as_not_run(text in ".{0,80}") {
        if let Err(error) = text.parse::<Ticket>() {
            prop_assert_eq!(error.verdict(), Verdict::NotRun);
        }
    }

    #[test]
    fn ticket_never_runs_twice(
        steps in collection::vec((0_u128..4, 0_u8..4, 0_u64..4_000), 1..80),
    ) {
        let (mut tickets, lena) = (tickets(), account("lena"));
        let mut now = Moment::START;
        let mut runs = [0; 4];
        for (index, step, millis) in steps {
            now = now + Duration::from_millis(millis);
            let ticket = Ticket {
                node: node("n1"),
                incarnation: INCARNATION,
                number: number(index),
            };
            match step {
                // Ticket numbers are random in production and never repeat.
                0 if runs[index as usize] == 0 => {
                    let _ = tickets.issue(&lena, ticket.number, now);
                }
                1 => tickets.finish(ticket.number, &Ok(Response::ran(200, "a/b", b"12345")), now),
                _ => if tickets.start(&lena, &ticket, digest("a"), now) == Ok(Start::Run) {
                    runs[index as usize] += 1;
                }
            }
            prop_assert!(runs.iter().all(|n| *n <= 1));
            prop_assert!(tickets.len() <= 3);
        }
    }
}
