//! Tests of the state machine of one call.

use clock::{Moment, WallTime};
use name::{Incarnation, Offset};
use once::{
    Action, AppendResult, Bounds, Call, ClaimId, Digest, Event, Key, KeyState, Limits, Record,
    Request, Response, Table, Window,
};
use std::time::Duration;
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

const NOW: WallTime = WallTime(10_000_000);

/// The kind of an action, without its details.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    Claim,
    Void,
    Outcome(Verdict),
    Dispatch,
    Respond,
    Error(Kind, Verdict),
}

fn effect(action: Action) -> Effect {
    match action {
        Action::Append(Record::Claim { .. }) => Effect::Claim,
        Action::Append(Record::Void { .. }) => Effect::Void,
        Action::Append(Record::Outcome { response, .. }) => Effect::Outcome(response.verdict),
        Action::Dispatch { before } => {
            assert_eq!(before, Moment::from_millis(1_000));
            Effect::Dispatch
        }
        Action::Respond(Ok(_)) => Effect::Respond,
        Action::Respond(Err(error)) => Effect::Error(error.kind(), error.verdict()),
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
        digest: Digest::new("POST /b", b"body"),
        incarnation: Incarnation(Uuid::from_u128(1)),
        claim: ClaimId(Uuid::from_u128(1)),
        deadline: Moment::from_millis(2_000),
    }
}

fn claimed(claim: u128, body: &[u8]) -> KeyState {
    KeyState::Claimed {
        digest: Digest::new("POST /b", body),
        incarnation: Incarnation(Uuid::from_u128(claim)),
        claim: ClaimId(Uuid::from_u128(claim)),
    }
}

fn done(body: &[u8], response: Response) -> KeyState {
    KeyState::Done {
        digest: Digest::new("POST /b", body),
        response,
    }
}

fn ran_response() -> Response {
    Response::ran(200, "text/plain", b"booked")
}

fn limits() -> Limits {
    Limits {
        dispatch_timeout: Duration::from_secs(1),
    }
}

/// Returns a table that covers the window and has folded `records`.
fn table(records: &[Record], keys: usize) -> Table {
    let bounds = Bounds {
        keys,
        ..Bounds::default()
    };
    let mut table = Table::new(Window::default(), bounds);
    table.set_target(Offset(records.len() as u64));
    for (index, record) in records.iter().enumerate() {
        table.fold(Offset(index as u64 + 1), Some(record), NOW);
    }
    table
}

#[test]
fn call_takes_expected_actions_for_events() {
    struct Case {
        name: &'static str,
        /// Events with their times, in milliseconds.
        events: Vec<(u64, Event)>,
        effects: Vec<Effect>,
    }
    let own_claim = || Event::Read(claimed(1, b"body"));
    let other_claim = || Event::Read(claimed(2, b"body"));
    let (not_run, may_have_run) = (Verdict::NotRun, Verdict::MayHaveRun);
    let connection_lost = || Err(Error::may_have_run(Kind::Upstream, "lost"));
    let refused = || Err(Error::not_run(Kind::Overloaded, "refused"));
    let claim_timed_out = Effect::Error(Kind::Unavailable, not_run);
    let unavailable = Effect::Error(Kind::Unavailable, may_have_run);
    let cases = [
        Case {
            name: "acknowledged append without a read-back",
            events: vec![
                (1, Event::Appended(AppendResult::Acknowledged)),
                (2, Event::Tick),
            ],
            effects: vec![],
        },
        Case {
            name: "own claim read back several times",
            events: vec![
                (5, own_claim()),
                (6, own_claim()),
                (9, Event::Dispatched(Ok(ran_response()))),
                (10, own_claim()),
            ],
            effects: vec![
                Effect::Dispatch,
                Effect::Outcome(Verdict::Ran),
                Effect::Respond,
            ],
        },
        Case {
            name: "append result unknown, own claim read back",
            events: vec![
                (1, Event::Appended(AppendResult::Unknown)),
                (5, own_claim()),
            ],
            effects: vec![Effect::Dispatch],
        },
        Case {
            name: "dispatch rejected with not-run",
            events: vec![
                (5, own_claim()),
                (9, Event::Dispatched(refused())),
                (10, own_claim()),
            ],
            effects: vec![
                Effect::Dispatch,
                Effect::Outcome(not_run),
                Effect::Error(Kind::Overloaded, not_run),
            ],
        },
        Case {
            name: "connection lost after dispatch",
            events: vec![(5, own_claim()), (9, Event::Dispatched(connection_lost()))],
            effects: vec![
                Effect::Dispatch,
                Effect::Outcome(may_have_run),
                Effect::Error(Kind::Upstream, may_have_run),
            ],
        },
        Case {
            name: "deadline passes while running, outcome still recorded",
            events: vec![
                (5, own_claim()),
                (2_000, Event::Tick),
                (2_500, Event::Dispatched(Ok(ran_response()))),
            ],
            effects: vec![
                Effect::Dispatch,
                Effect::Error(Kind::Deadline, may_have_run),
                Effect::Outcome(Verdict::Ran),
            ],
        },
        Case {
            name: "own claim read back after the dispatch timeout",
            events: vec![(1_000, own_claim()), (1_001, own_claim())],
            effects: vec![Effect::Outcome(not_run), claim_timed_out],
        },
        Case {
            name: "voided by another call after the dispatch timeout",
            events: vec![(1_500, Event::Read(KeyState::Voided)), (1_501, own_claim())],
            effects: vec![Effect::Error(Kind::Conflict, not_run)],
        },
        Case {
            name: "claim not read back in time, void won",
            events: vec![(1_000, Event::Tick), (1_100, Event::Read(KeyState::Voided))],
            effects: vec![Effect::Void, claim_timed_out],
        },
        Case {
            name: "claim not read back in time, own claim won",
            events: vec![(1_000, Event::Tick), (1_100, own_claim())],
            effects: vec![Effect::Void, Effect::Outcome(not_run), claim_timed_out],
        },
        Case {
            name: "claim not read back until after the deadline",
            events: vec![
                (1_000, Event::Tick),
                (2_000, Event::Tick),
                (2_100, own_claim()),
            ],
            effects: vec![Effect::Void, unavailable, Effect::Outcome(not_run)],
        },
        Case {
            name: "another claim won and has an outcome",
            events: vec![
                (5, other_claim()),
                (9, Event::Read(done(b"body", ran_response()))),
            ],
            effects: vec![Effect::Respond],
        },
        Case {
            name: "another claim won and was not run",
            events: vec![
                (5, other_claim()),
                (
                    9,
                    Event::Read(done(b"body", Response::without_body(not_run))),
                ),
            ],
            effects: vec![Effect::Error(Kind::Conflict, not_run)],
        },
        Case {
            name: "another claim won, claimant gone",
            events: vec![(5, other_claim()), (9, Event::ClaimantGone)],
            effects: vec![unavailable],
        },
        Case {
            name: "another claim won, no outcome before the deadline",
            events: vec![(5, other_claim()), (2_000, Event::Tick)],
            effects: vec![unavailable],
        },
        Case {
            name: "another claim with a different digest won",
            events: vec![(5, Event::Read(claimed(2, b"else")))],
            effects: vec![Effect::Error(Kind::Unprocessable, may_have_run)],
        },
        Case {
            name: "claim append refused",
            events: vec![
                (5, Event::Appended(AppendResult::Refused)),
                (9, own_claim()),
            ],
            effects: vec![unavailable],
        },
        Case {
            name: "log unavailable",
            events: vec![(5, Event::LogUnavailable), (9, own_claim())],
            effects: vec![unavailable],
        },
        Case {
            name: "key state becomes unknown",
            events: vec![(5, Event::Read(KeyState::Unknown)), (9, own_claim())],
            effects: vec![unavailable],
        },
    ];
    for case in cases {
        let table = table(&[], 8);
        let now = Moment::START;
        let (mut call, actions) = Call::begin(request(key(NOW.0)), &limits(), &table, now, NOW);
        let mut effects: Vec<Effect> = actions.into_iter().map(effect).collect();
        assert_eq!(effects, [Effect::Claim], "{}", case.name);
        effects.clear();
        for (millis, event) in case.events {
            let actions = call.handle(event, Moment::from_millis(millis));
            effects.extend(actions.into_iter().map(effect));
        }
        assert_eq!(effects, case.effects, "{}", case.name);
    }
}

#[test]
fn first_actions_depend_on_key_state() {
    struct Case {
        name: &'static str,
        key: Key,
        records: Vec<Record>,
        keys: usize,
        begin: Vec<Effect>,
        refuse: Vec<Effect>,
    }
    let inside = key(NOW.0);
    let claim = |body: &[u8]| Record::Claim {
        key: key(NOW.0),
        digest: Digest::new("POST /b", body),
        incarnation: Incarnation(Uuid::from_u128(2)),
        claim: ClaimId(Uuid::from_u128(2)),
    };
    let outcome = |response| Record::Outcome {
        key: key(NOW.0),
        claim: ClaimId(Uuid::from_u128(2)),
        response,
    };
    let void = Record::Void {
        key: key(NOW.0),
        incarnation: Incarnation(Uuid::from_u128(2)),
    };
    let error = |kind, verdict| vec![Effect::Error(kind, verdict)];
    let may_have_run = || error(Kind::Unavailable, Verdict::MayHaveRun);
    let case = |name, records, effects: Vec<Effect>| Case {
        name,
        key: key(NOW.0),
        records,
        keys: 8,
        begin: effects.clone(),
        refuse: effects,
    };
    let cases = [
        Case {
            name: "free key",
            key: inside.clone(),
            records: vec![],
            keys: 8,
            begin: vec![Effect::Claim],
            refuse: vec![Effect::Void],
        },
        Case {
            name: "timestamp too old",
            key: key(NOW.0 - 700_000),
            records: vec![],
            keys: 8,
            begin: may_have_run(),
            refuse: may_have_run(),
        },
        Case {
            name: "timestamp ahead of the clock",
            key: key(NOW.0 + 60_000),
            records: vec![],
            keys: 8,
            begin: vec![Effect::Void],
            refuse: vec![Effect::Void],
        },
        Case {
            name: "timestamp far ahead of the clock",
            key: key(NOW.0 + 6_000_000),
            records: vec![],
            keys: 8,
            begin: error(Kind::Malformed, Verdict::MayHaveRun),
            refuse: may_have_run(),
        },
        Case {
            name: "table full",
            key: key(NOW.0 - 1),
            records: vec![claim(b"body")],
            keys: 1,
            begin: may_have_run(),
            refuse: vec![Effect::Void],
        },
        case("claimed by another call", vec![claim(b"body")], vec![]),
        case(
            "claimed with a different digest",
            vec![claim(b"else")],
            error(Kind::Unprocessable, Verdict::MayHaveRun),
        ),
        case(
            "has run",
            vec![claim(b"body"), outcome(ran_response())],
            vec![Effect::Respond],
        ),
        case(
            "has run with a different digest",
            vec![claim(b"else"), outcome(ran_response())],
            error(Kind::Unprocessable, Verdict::Ran),
        ),
        case("voided", vec![void], error(Kind::Conflict, Verdict::NotRun)),
    ];
    for case in cases {
        let table = table(&case.records, case.keys);
        let request = || request(case.key.clone());
        let (_, begin) = Call::begin(request(), &limits(), &table, Moment::START, NOW);
        let begin: Vec<Effect> = begin.into_iter().map(effect).collect();
        assert_eq!(begin, case.begin, "{}", case.name);
        let (_, refuse) = Call::refuse(request(), &limits(), &table, NOW);
        let refuse: Vec<Effect> = refuse.into_iter().map(effect).collect();
        assert_eq!(refuse, case.refuse, "{}", case.name);
    }
}

#[test]
fn call_before_table_is_ready_may_have_run() {
    let mut table = Table::new(Window::default(), Bounds::default());
    table.set_target(Offset(3));
    let (call, actions) = Call::begin(request(key(NOW.0)), &limits(), &table, Moment::START, NOW);
    let effects: Vec<Effect> = actions.into_iter().map(effect).collect();
    assert_eq!(
        effects,
        [Effect::Error(Kind::Unavailable, Verdict::MayHaveRun)]
    );
    assert!(call.is_settled());
}
