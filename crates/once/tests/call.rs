//! One call: what each turn of events makes of it.

use clock::{Moment, Wall};
use name::{Incarnation, Offset};
use once::{
    Action, Answer, Append, Bounds, Call, Claim, Digest, Event, Key, Limits, Record, Request,
    Standing, Table, Window,
};
use std::time::Duration;
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

const NOW: Wall = Wall(10_000_000);

/// What one action was, without its details.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Did {
    Claim,
    Void,
    Outcome(Verdict),
    Dispatch,
    Answer,
    Error(Kind, Verdict),
}

fn did(action: Action) -> Did {
    match action {
        Action::Append(Record::Claim { .. }) => Did::Claim,
        Action::Append(Record::Void { .. }) => Did::Void,
        Action::Append(Record::Outcome { answer, .. }) => Did::Outcome(answer.verdict),
        Action::Dispatch { before } => {
            assert_eq!(before, Moment::from_millis(1_000));
            Did::Dispatch
        }
        Action::Answer(Ok(_)) => Did::Answer,
        Action::Answer(Err(error)) => Did::Error(error.kind(), error.verdict()),
    }
}

fn key(wall: u64) -> Key {
    let id = Uuid::from_u128((u128::from(wall) << 80) | (7 << 76) | (2 << 62) | 1);
    let account = "lena".try_into().expect("a name");
    Key::parse(&account, Some(&id.to_string())).expect("a UUIDv7")
}

fn request(key: Key) -> Request {
    Request {
        key,
        body: Digest::new("POST /b", b"body"),
        own: Incarnation(Uuid::from_u128(1)),
        claim: Claim(Uuid::from_u128(1)),
        deadline: Moment::from_millis(2_000),
    }
}

fn claimed(claim: u128, body: &[u8]) -> Standing {
    Standing::Claimed {
        body: Digest::new("POST /b", body),
        by: Incarnation(Uuid::from_u128(claim)),
        claim: Claim(Uuid::from_u128(claim)),
    }
}

fn done(body: &[u8], answer: Answer) -> Standing {
    Standing::Done {
        body: Digest::new("POST /b", body),
        answer,
    }
}

fn ran() -> Answer {
    Answer::ran(200, "text/plain", b"booked")
}

fn limits() -> Limits {
    Limits {
        dispatch: Duration::from_secs(1),
    }
}

/// Returns a table that covers the window and has folded `records`.
fn table(records: &[Record], keys: usize) -> Table {
    let bounds = Bounds {
        keys,
        ..Bounds::default()
    };
    let mut table = Table::new(Window::default(), bounds);
    table.must_reach(Offset(records.len() as u64));
    for (at, record) in records.iter().enumerate() {
        table.fold(Offset(at as u64 + 1), Some(record), NOW);
    }
    table
}

#[test]
fn a_call_acts_on_each_turn_of_events() {
    struct Case {
        name: &'static str,
        /// Events with their time, in milliseconds.
        events: Vec<(u64, Event)>,
        did: Vec<Did>,
    }
    let own = || Event::Read(claimed(1, b"body"));
    let other = || Event::Read(claimed(2, b"body"));
    let (not_run, unsure) = (Verdict::NotRun, Verdict::MayHaveRun);
    let lost = || Err(Error::may_have_run(Kind::Upstream, "lost"));
    let refused = || Err(Error::not_run(Kind::Overloaded, "refused"));
    let slow = Did::Error(Kind::Unavailable, not_run);
    let late = Did::Error(Kind::Unavailable, unsure);
    let cases = [
        Case {
            name: "an acknowledgement dispatches nothing",
            events: vec![(1, Event::Appended(Append::Acknowledged)), (2, Event::Tick)],
            did: vec![],
        },
        Case {
            name: "runs once, however often it is read back",
            events: vec![
                (5, own()),
                (6, own()),
                (9, Event::Dispatched(Ok(ran()))),
                (10, own()),
            ],
            did: vec![Did::Dispatch, Did::Outcome(Verdict::Ran), Did::Answer],
        },
        Case {
            name: "the append's answer is lost, the claim is read back",
            events: vec![(1, Event::Appended(Append::Unknown)), (5, own())],
            did: vec![Did::Dispatch],
        },
        Case {
            name: "the backend server refuses by definition",
            events: vec![(5, own()), (9, Event::Dispatched(refused())), (10, own())],
            did: vec![
                Did::Dispatch,
                Did::Outcome(not_run),
                Did::Error(Kind::Overloaded, not_run),
            ],
        },
        Case {
            name: "the connection breaks",
            events: vec![(5, own()), (9, Event::Dispatched(lost()))],
            did: vec![
                Did::Dispatch,
                Did::Outcome(unsure),
                Did::Error(Kind::Upstream, unsure),
            ],
        },
        Case {
            name: "the deadline passes while it runs; the outcome is kept",
            events: vec![
                (5, own()),
                (2_000, Event::Tick),
                (2_500, Event::Dispatched(Ok(ran()))),
            ],
            did: vec![
                Did::Dispatch,
                Did::Error(Kind::Deadline, unsure),
                Did::Outcome(Verdict::Ran),
            ],
        },
        Case {
            name: "paused until after the dispatch limit, then read back",
            events: vec![(1_000, own()), (1_001, own())],
            did: vec![Did::Outcome(not_run), slow],
        },
        Case {
            name: "paused, and voided meanwhile",
            events: vec![(1_500, Event::Read(Standing::Voided)), (1_501, own())],
            did: vec![Did::Error(Kind::Conflict, not_run)],
        },
        Case {
            name: "not read back in time, then voided",
            events: vec![(1_000, Event::Tick), (1_100, Event::Read(Standing::Voided))],
            did: vec![Did::Void, slow],
        },
        Case {
            name: "not read back in time, then it had won after all",
            events: vec![(1_000, Event::Tick), (1_100, own())],
            did: vec![Did::Void, Did::Outcome(not_run), slow],
        },
        Case {
            name: "not read back until the deadline; the claim appears later",
            events: vec![(1_000, Event::Tick), (2_000, Event::Tick), (2_100, own())],
            did: vec![Did::Void, late, Did::Outcome(not_run)],
        },
        Case {
            name: "another claim won and ends",
            events: vec![(5, other()), (9, Event::Read(done(b"body", ran())))],
            did: vec![Did::Answer],
        },
        Case {
            name: "another claim won and is given up",
            events: vec![
                (5, other()),
                (9, Event::Read(done(b"body", Answer::without_body(not_run)))),
            ],
            did: vec![Did::Error(Kind::Conflict, not_run)],
        },
        Case {
            name: "another claim won and its node is gone",
            events: vec![(5, other()), (9, Event::ClaimantGone)],
            did: vec![late],
        },
        Case {
            name: "another claim won and does not end",
            events: vec![(5, other()), (2_000, Event::Tick)],
            did: vec![late],
        },
        Case {
            name: "another claim with another body won",
            events: vec![(5, Event::Read(claimed(2, b"else")))],
            did: vec![Did::Error(Kind::Unprocessable, unsure)],
        },
        Case {
            name: "the log refuses the claim",
            events: vec![(5, Event::Appended(Append::Refused)), (9, own())],
            did: vec![late],
        },
        Case {
            name: "the log goes down",
            events: vec![(5, Event::LogDown), (9, own())],
            did: vec![late],
        },
        Case {
            name: "the table loses its cover",
            events: vec![(5, Event::Read(Standing::Unsure)), (9, own())],
            did: vec![late],
        },
    ];
    for case in cases {
        let table = table(&[], 8);
        let now = Moment::START;
        let (mut call, actions) = Call::begin(request(key(NOW.0)), &limits(), &table, now, NOW);
        let mut seen: Vec<Did> = actions.into_iter().map(did).collect();
        assert_eq!(seen, [Did::Claim], "{}", case.name);
        seen.clear();
        for (millis, event) in case.events {
            let actions = call.on(event, Moment::from_millis(millis));
            seen.extend(actions.into_iter().map(did));
        }
        assert_eq!(seen, case.did, "{}", case.name);
    }
}

#[test]
fn a_call_starts_by_what_is_known_of_its_key() {
    struct Case {
        name: &'static str,
        key: Key,
        records: Vec<Record>,
        keys: usize,
        begin: Vec<Did>,
        refuse: Vec<Did>,
    }
    let inside = key(NOW.0);
    let claim = |body: &[u8]| Record::Claim {
        key: key(NOW.0),
        body: Digest::new("POST /b", body),
        by: Incarnation(Uuid::from_u128(2)),
        claim: Claim(Uuid::from_u128(2)),
    };
    let ended = |answer| Record::Outcome {
        key: key(NOW.0),
        claim: Claim(Uuid::from_u128(2)),
        answer,
    };
    let void = Record::Void {
        key: key(NOW.0),
        by: Incarnation(Uuid::from_u128(2)),
    };
    let error = |kind, verdict| vec![Did::Error(kind, verdict)];
    let unsure = || error(Kind::Unavailable, Verdict::MayHaveRun);
    let case = |name, records, did: Vec<Did>| Case {
        name,
        key: key(NOW.0),
        records,
        keys: 8,
        begin: did.clone(),
        refuse: did,
    };
    let cases = [
        Case {
            name: "free",
            key: inside.clone(),
            records: vec![],
            keys: 8,
            begin: vec![Did::Claim],
            refuse: vec![Did::Void],
        },
        Case {
            name: "too old",
            key: key(NOW.0 - 700_000),
            records: vec![],
            keys: 8,
            begin: unsure(),
            refuse: unsure(),
        },
        Case {
            name: "ahead",
            key: key(NOW.0 + 60_000),
            records: vec![],
            keys: 8,
            begin: vec![Did::Void],
            refuse: vec![Did::Void],
        },
        Case {
            name: "far ahead",
            key: key(NOW.0 + 6_000_000),
            records: vec![],
            keys: 8,
            begin: error(Kind::Malformed, Verdict::MayHaveRun),
            refuse: unsure(),
        },
        Case {
            name: "no room for another key",
            key: key(NOW.0 - 1),
            records: vec![claim(b"body")],
            keys: 1,
            begin: unsure(),
            refuse: vec![Did::Void],
        },
        case("claimed elsewhere", vec![claim(b"body")], vec![]),
        case(
            "claimed with another body",
            vec![claim(b"else")],
            error(Kind::Unprocessable, Verdict::MayHaveRun),
        ),
        case("ran", vec![claim(b"body"), ended(ran())], vec![Did::Answer]),
        case(
            "ran with another body",
            vec![claim(b"else"), ended(ran())],
            error(Kind::Unprocessable, Verdict::Ran),
        ),
        case("voided", vec![void], error(Kind::Conflict, Verdict::NotRun)),
    ];
    for case in cases {
        let table = table(&case.records, case.keys);
        let request = || request(case.key.clone());
        let (_, begin) = Call::begin(request(), &limits(), &table, Moment::START, NOW);
        let begin: Vec<Did> = begin.into_iter().map(did).collect();
        assert_eq!(begin, case.begin, "{}", case.name);
        let (_, refuse) = Call::refuse(request(), &limits(), &table, NOW);
        let refuse: Vec<Did> = refuse.into_iter().map(did).collect();
        assert_eq!(refuse, case.refuse, "{}", case.name);
    }
}

#[test]
fn a_call_before_the_table_covers_the_window_is_unsure() {
    let mut table = Table::new(Window::default(), Bounds::default());
    table.must_reach(Offset(3));
    let (call, actions) = Call::begin(request(key(NOW.0)), &limits(), &table, Moment::START, NOW);
    let did: Vec<Did> = actions.into_iter().map(did).collect();
    assert_eq!(did, [Did::Error(Kind::Unavailable, Verdict::MayHaveRun)]);
    assert!(call.is_settled());
}
