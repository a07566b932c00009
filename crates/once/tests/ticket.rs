//! Tickets, rule by rule.

use clock::Moment;
use name::{Account, Incarnation, Node};
use once::{Answer, Digest, Place, Quota, Start, Ticket, Tickets};
use proptest::{collection, prelude::*, test_runner::RngSeed};
use std::time::Duration;
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

const LIFE: Incarnation = Incarnation(Uuid::from_u128(7));

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
        kept: Duration::from_secs(10),
        answer_bytes: 10,
    };
    Tickets::new(node("n1"), LIFE, quota)
}

fn body(text: &str) -> Digest {
    Digest::new("POST /b", text.as_bytes())
}

#[test]
fn a_ticket_runs_once_and_then_repeats_its_answer() {
    let (mut tickets, lena) = (tickets(), account("lena"));
    let ticket = tickets
        .issue(&lena, number(1), Moment::START)
        .expect("room");
    let now = Moment::from_millis(1);
    let start = |tickets: &mut Tickets| tickets.start(&lena, &ticket, body("a"), now);
    assert_eq!(start(&mut tickets), Ok(Start::Run));
    assert_eq!(start(&mut tickets), Ok(Start::Wait));
    let answer = Answer::ran(200, "text/plain", b"booked");
    tickets.finish(ticket.number, &Ok(answer.clone()), now);
    tickets.finish(
        ticket.number,
        &Err(Error::not_run(Kind::Internal, "late")),
        now,
    );
    assert_eq!(start(&mut tickets), Ok(Start::Done(answer)));
}

#[test]
fn a_ticket_ends_with_the_verdict_of_its_run() {
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
        let (mut tickets, lena) = (tickets(), account("lena"));
        let now = Moment::START;
        let ticket = tickets.issue(&lena, number(1), now).expect("room");
        tickets
            .start(&lena, &ticket, body("a"), now)
            .expect("a run");
        let ended = Err(Error::new(Kind::Upstream, verdict, "lost"));
        tickets.finish(ticket.number, &ended, now);
        let error = tickets.start(&lena, &ticket, body("a"), now);
        assert_eq!(error.expect_err("no answer").verdict(), verdict);
    }
}

#[test]
fn another_request_with_a_ticket_is_unprocessable() {
    let (mut tickets, lena) = (tickets(), account("lena"));
    let now = Moment::START;
    let ticket = tickets.issue(&lena, number(1), now).expect("room");
    tickets
        .start(&lena, &ticket, body("a"), now)
        .expect("a run");
    let running = tickets
        .start(&lena, &ticket, body("b"), now)
        .expect_err("another body");
    assert_eq!(
        (running.kind(), running.verdict()),
        (Kind::Unprocessable, Verdict::MayHaveRun)
    );
    let answer = Answer::ran(200, "text/plain", b"x");
    tickets.finish(ticket.number, &Ok(answer), now);
    let done = tickets
        .start(&lena, &ticket, body("b"), now)
        .expect_err("another body");
    assert_eq!(
        (done.kind(), done.verdict()),
        (Kind::Unprocessable, Verdict::Ran)
    );
}

#[test]
fn a_foreign_ticket_looks_like_an_unknown_one() {
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
        .start(&lena, &unknown, body("a"), now)
        .expect_err("unknown");
    assert_eq!(
        (expected.kind(), expected.verdict()),
        (Kind::Forbidden, Verdict::MayHaveRun)
    );
    for (who, which) in [("tegid", &ticket), ("lena", &earlier), ("lena", &elsewhere)] {
        let error = tickets.start(&account(who), which, body("a"), now);
        assert_eq!(error.expect_err("foreign"), expected);
    }
    assert_eq!(
        tickets.start(&lena, &ticket, body("a"), now),
        Ok(Start::Run)
    );
}

#[test]
fn tickets_are_bounded_and_expire_unless_they_run() {
    let (mut tickets, lena, tegid) = (tickets(), account("lena"), account("tegid"));
    let now = Moment::START;
    let first = tickets.issue(&lena, number(1), now).expect("room");
    tickets.issue(&lena, number(2), now).expect("room");
    let limited = tickets
        .issue(&lena, number(3), now)
        .expect_err("two are held");
    assert_eq!(
        (limited.kind(), limited.verdict()),
        (Kind::Limited, Verdict::NotRun)
    );
    tickets.issue(&tegid, number(4), now).expect("room");
    let full = tickets
        .issue(&tegid, number(5), now)
        .expect_err("three are held");
    assert_eq!(
        (full.kind(), full.verdict()),
        (Kind::Overloaded, Verdict::NotRun)
    );
    tickets.start(&lena, &first, body("a"), now).expect("a run");
    let later = Moment::from_millis(60_000);
    tickets.expire(later);
    assert_eq!(tickets.len(), 1);
    assert_eq!(
        tickets.start(&lena, &first, body("a"), later),
        Ok(Start::Wait)
    );
    tickets.finish(first.number, &Ok(Answer::ran(200, "a/b", b"x")), later);
    tickets.expire(later + Duration::from_secs(10));
    assert!(tickets.is_empty());
    tickets
        .issue(&lena, number(6), later)
        .expect("the account's count went down");
}

#[test]
fn a_ticket_goes_to_its_issuer_or_nowhere() {
    let tickets = tickets();
    let at = |name: &str, life: u128| Ticket {
        node: node(name),
        incarnation: Incarnation(number(life)),
        number: number(1),
    };
    let is_member = |node: &Node, life: Incarnation| node.as_str() == "n2" && life.0 == number(8);
    let cases = [
        (at("n1", 7), Place::Here),
        (at("n1", 6), Place::Gone),
        (
            at("n2", 8),
            Place::Elsewhere(node("n2"), Incarnation(number(8))),
        ),
        (at("n2", 9), Place::Gone),
        (at("n3", 8), Place::Gone),
    ];
    for (ticket, place) in cases {
        assert_eq!(tickets.place(&ticket, is_member), place, "{ticket}");
    }
}

/// Returns the settings of a repeatable run.
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
    fn a_ticket_is_read_as_written(life in any::<u128>(), at in any::<u128>()) {
        let ticket = Ticket {
            node: node("teifi:1/a.b"),
            incarnation: Incarnation(number(life)),
            number: number(at),
        };
        prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
    }

    #[test]
    fn arbitrary_text_is_refused_as_not_run(text in ".{0,80}") {
        if let Err(error) = text.parse::<Ticket>() {
            prop_assert_eq!(error.verdict(), Verdict::NotRun);
        }
    }

    #[test]
    fn no_ticket_runs_twice(steps in collection::vec((0_u128..4, 0_u8..4, 0_u64..4_000), 1..80)) {
        let (mut tickets, lena) = (tickets(), account("lena"));
        let mut now = Moment::START;
        let mut runs = [0; 4];
        for (at, step, millis) in steps {
            now = now + Duration::from_millis(millis);
            let ticket = Ticket { node: node("n1"), incarnation: LIFE, number: number(at) };
            match step {
                // Numbers are random in use: one is never drawn twice.
                0 if runs[at as usize] == 0 => { let _ = tickets.issue(&lena, ticket.number, now); }
                1 => tickets.finish(ticket.number, &Ok(Answer::ran(200, "a/b", b"12345")), now),
                _ => if tickets.start(&lena, &ticket, body("a"), now) == Ok(Start::Run) {
                    runs[at as usize] += 1;
                }
            }
            prop_assert!(runs.iter().all(|n| *n <= 1));
            prop_assert!(tickets.len() <= 3);
        }
    }
}
