//! Tests of the fold, record by record.

use crate::fixture::{
    assign, epoch, instance, lists, lists_text, members, operation, record, release, replica,
    take_out, writer,
};
use name::{Generation, Offset, Sequence};
use state::{
    Change, MAX_RECORD_BYTES, MAX_SCOPES, MAX_WRITERS, Operation, Outcome, RETRY_HORIZON_OFFSETS,
    Snapshot, State, WriterPosition, decode, encode,
};

/// Changes in log order, each from a different writer, with their outcomes.
struct Case {
    name: &'static str,
    changes: Vec<(Change, &'static str)>,
}

#[test]
fn first_record_on_a_base_is_accepted() {
    let good = lists_text(1);
    let cases = [
        Case {
            name: "lists",
            changes: vec![
                (lists(0, &good), "accepted"),
                (lists(0, &good), "rejected: revision 1 came first"),
                (lists(1, &lists_text(2)), "accepted"),
                (lists(1, ""), "rejected: revision 3 came first"),
                (lists(2, &good), "rejected: revision 3 came first"),
            ],
        },
        Case {
            name: "invalid lists",
            changes: vec![
                (
                    lists(0, "x = 1\ny = 2"),
                    "rejected: invalid: line 1: x: expected one of account, operator, plan, model, service; the key is unknown; line 2: y: expected one of account, operator, plan, model, service; the key is unknown",
                ),
                (lists(0, &good), "accepted"),
            ],
        },
        Case {
            name: "operations",
            changes: vec![
                (take_out(0, "teifi"), "accepted"),
                (take_out(0, "teifi"), "rejected: revision 1 came first"),
                (take_out(0, "tywi"), "accepted"),
                (operation(1, "teifi", Operation::BringBack), "accepted"),
                (
                    operation(1, "teifi", Operation::BringBack),
                    "rejected: revision 4 came first",
                ),
            ],
        },
        Case {
            name: "assignments",
            changes: vec![
                (assign(0, "r", &["a", "b"]), "accepted"),
                (
                    assign(0, "r", &["a", "b"]),
                    "rejected: revision 1 came first",
                ),
                (
                    assign(0, "s", &["b", "c"]),
                    "rejected: instance b belongs to replica r",
                ),
                (assign(1, "r", &["b", "c"]), "accepted"),
                (assign(0, "s", &["a"]), "accepted"),
                (release(1, "r"), "rejected: revision 4 came first"),
                (release(4, "r"), "accepted"),
                (release(0, "r"), "rejected: invalid: there is no replica r"),
                (assign(5, "s", &["a", "b", "c"]), "accepted"),
                (
                    assign(0, "t", &[]),
                    "rejected: invalid: a replica has 1 to 64 members, not 0",
                ),
                (
                    assign(0, "t", &["x", "x"]),
                    "rejected: invalid: instance x is a member twice",
                ),
            ],
        },
        Case {
            name: "epochs",
            changes: vec![
                (
                    epoch(0, &[]),
                    "rejected: invalid: an epoch has 1 to 1024 nodes, not 0",
                ),
                (
                    epoch(0, &["n", "n"]),
                    "rejected: invalid: node n is listed twice",
                ),
                (epoch(0, &["n"]), "accepted"),
                (epoch(0, &["n", "o"]), "rejected: revision 3 came first"),
                (epoch(3, &["n", "o"]), "accepted"),
            ],
        },
    ];
    for case in cases {
        let mut state = State::default();
        for (at, (change, expected)) in case.changes.into_iter().enumerate() {
            let offset = Offset(at as u64 + 1);
            let by = u8::try_from(at).expect("the index fits in u8");
            let outcome = state.apply(offset, &record(by, 1, change));
            assert_eq!(outcome.to_string(), expected, "{} {offset}", case.name);
            assert_eq!(state.offset, offset);
        }
    }
}

/// Guards against invalid lists replacing those in force.
#[test]
fn invalid_lists_keep_previous_lists() {
    let mut state = State::default();
    state.apply(Offset(1), &record(1, 1, lists(0, &lists_text(1))));
    let before = state.clone();
    state.apply(Offset(2), &record(1, 2, lists(1, "[[plan]]")));
    assert_eq!(
        (&state.lists_text, state.lists_revision),
        (&before.lists_text, Offset(1))
    );
    assert_eq!(state.lists(), before.lists());
    assert_eq!(state.lists().models.len(), 1);
}

#[test]
fn index_matches_assignments() {
    let mut state = State::default();
    state.apply(Offset(1), &record(1, 1, assign(0, "r", &["a", "b"])));
    state.apply(Offset(2), &record(1, 2, assign(1, "r", &["b", "c"])));
    assert_eq!(state.replica_of(&instance("a")), None);
    assert_eq!(state.replica_of(&instance("c")), Some(&replica("r")));
    assert_eq!(
        members(&state.assignments[&replica("r")]),
        ["b".into(), "c".into()]
    );
    state.apply(Offset(3), &record(1, 3, release(2, "r")));
    assert_eq!(state.replica_of(&instance("c")), None);
    assert_eq!(state.generation_of(&replica("r")), Generation(0));
}

#[test]
fn repeated_records_are_ignored() {
    let mut state = State::default();
    let first = record(1, 1, take_out(0, "teifi"));
    assert_eq!(state.apply(Offset(1), &first), Outcome::Accepted);
    assert_eq!(state.apply(Offset(1), &first), Outcome::Repeated);
    assert_eq!(state.apply(Offset(2), &first), Outcome::Repeated);
    let later = record(1, 5, take_out(0, "tywi"));
    assert_eq!(state.apply(Offset(3), &later), Outcome::Accepted);
    let abandoned = record(1, 4, take_out(0, "dyfi"));
    assert_eq!(state.apply(Offset(4), &abandoned), Outcome::Repeated);
    assert_eq!(state.operations.len(), 2);
}

#[test]
fn writers_are_pruned_beyond_retry_horizon() {
    let mut state = State::default();
    state.apply(Offset(1), &record(1, 1, assign(0, "r", &["a"])));
    state.apply(Offset(2), &record(2, 1, release(1, "r")));
    let invalid = decode(b"x").expect_err("not a record");
    for offset in 3..=1 + RETRY_HORIZON_OFFSETS {
        state.skip(Offset(offset), &invalid);
    }
    let mut inside = state.clone();
    let repeat = record(1, 1, assign(0, "r", &["a"]));
    assert_eq!(
        inside.apply(Offset(2 + RETRY_HORIZON_OFFSETS), &repeat),
        Outcome::Repeated
    );
    for offset in 2 + RETRY_HORIZON_OFFSETS..2 * RETRY_HORIZON_OFFSETS {
        state.skip(Offset(offset), &invalid);
    }
    assert!(state.writers.is_empty(), "{:?}", state.writers);
}

#[test]
fn writers_and_scopes_are_bounded() {
    let mut state = State::default();
    for number in 1..=MAX_WRITERS as u128 + 10 {
        let mut from = record(0, 1, take_out(0, "teifi"));
        from.writer = state::Writer(name::Incarnation(uuid::Uuid::from_u128(number)));
        state.apply(Offset(number as u64), &from);
    }
    assert_eq!(state.writers.len(), MAX_WRITERS);
    assert_eq!(
        state.writers.values().map(|position| position.offset).min(),
        Some(Offset(11))
    );

    let mut state = State::default();
    let mut offset = Offset::ZERO;
    for number in 0..MAX_SCOPES {
        offset = offset.next();
        state.apply(
            offset,
            &record(1, offset.0, take_out(0, &format!("d{number}"))),
        );
    }
    let mut apply = |change| {
        offset = offset.next();
        state.apply(offset, &record(1, offset.0, change))
    };
    assert!(matches!(apply(take_out(0, "more")), Outcome::Rejected(_)));
    assert_eq!(
        apply(operation(1, "d0", Operation::BringBack)),
        Outcome::Accepted
    );
    assert_eq!(apply(take_out(0, "more")), Outcome::Accepted);
    assert_eq!(state.operations.len(), MAX_SCOPES);
    assert!(state.is_taken_out(&instance("i"), &"more".try_into().expect("a valid name")));
    assert!(state.is_taken_out(&instance("i"), &"d1".try_into().expect("a valid name")));
}

#[test]
fn records_and_snapshots_round_trip() {
    let mut state = State::default();
    let changes = [
        lists(0, &lists_text(1)),
        take_out(0, "teifi"),
        assign(0, "r", &["a", "b"]),
        epoch(0, &["n"]),
    ];
    for (at, change) in changes.into_iter().enumerate() {
        let offset = Offset(at as u64 + 1);
        let record = record(1, offset.0, change);
        let text = encode(&record).expect("the record fits the size limit");
        assert_eq!(decode(text.as_bytes()).as_ref(), Ok(&record));
        assert_eq!(state.apply(offset, &record), Outcome::Accepted);
    }
    let snapshot = Snapshot {
        covers: state.offset,
        state: state.clone(),
    };
    let snapshot = record(
        1,
        5,
        Change::Snapshot {
            snapshot: Box::new(snapshot),
        },
    );
    let text = encode(&snapshot).expect("the record fits the size limit");
    let Ok(Change::Snapshot { snapshot }) = decode(text.as_bytes()).map(|r| r.change) else {
        panic!("not a snapshot: {text}");
    };
    assert_eq!(snapshot.state, state);
    assert_eq!(snapshot.state.lists(), state.lists());
    assert_eq!(
        snapshot.state.replica_of(&instance("b")),
        Some(&replica("r"))
    );
    let position = WriterPosition {
        offset: Offset(4),
        sequence: Sequence(4),
    };
    assert_eq!(snapshot.state.writers[&writer(1)], position);
}

#[test]
fn malformed_data_fails_to_decode() {
    let whole =
        encode(&record(1, 1, take_out(0, "teifi"))).expect("the record fits the size limit");
    let mut state = State::default();
    state.apply(Offset(1), &record(1, 1, assign(0, "r", &["a"])));
    let snapshot = Snapshot {
        covers: Offset(1),
        state,
    };
    let change = Change::Snapshot {
        snapshot: Box::new(snapshot),
    };
    let snapshot = encode(&record(1, 2, change)).expect("the record fits the size limit");
    let cases = [
        String::new(),
        "{}".into(),
        "[".repeat(100_000),
        whole.replace("take_out", "explode"),
        whole.replace("\"operation\"", "\"unheard-of\""),
        whole.replace("teifi", "a b"),
        whole[..whole.len() - 1].into(),
        format!("{whole}{whole}"),
        format!("{whole}{}", " ".repeat(MAX_RECORD_BYTES)),
        snapshot.replace("\"lists_text\":\"\"", "\"lists_text\":\"x = 1\""),
        snapshot.replace("\"generation\":1", "\"generation\":9"),
        snapshot.replace("[\"a\"]", "[\"a\",\"a\"]"),
    ];
    for data in cases {
        let head: String = data.chars().take(80).collect();
        assert_ne!(data.as_str(), &*snapshot);
        assert!(decode(data.as_bytes()).is_err(), "{head}");
    }
    let big = record(1, 1, lists(0, &"x".repeat(MAX_RECORD_BYTES)));
    assert!(encode(&big).is_err());
}

/// Guards against snapshots that claim offsets at or after their own record.
#[test]
fn snapshot_must_precede_its_record() {
    let state = State {
        offset: Offset(3),
        ..State::default()
    };
    let cases = [
        (3, 5, true),
        (3, 4, true),
        (3, 3, false),
        (2, 5, false),
        (4, 5, false),
    ];
    for (covers, at, accepted) in cases {
        let snapshot = Snapshot {
            covers: Offset(covers),
            state: state.clone(),
        };
        let change = Change::Snapshot {
            snapshot: Box::new(snapshot),
        };
        let mut into = State {
            offset: Offset(at - 1),
            ..State::default()
        };
        let outcome = into.apply(Offset(at), &record(1, 1, change));
        assert_eq!(
            outcome == Outcome::Accepted,
            accepted,
            "{covers} at {at}: {outcome}"
        );
    }
}

/// Returns a state of the largest supported size, with every entry node as a
/// writer.
fn design_size() -> State {
    let mut state = State::default();
    let mut apply = |by: u32, change| {
        let offset = state.offset.next();
        let mut new_record = record(0, 1, change);
        new_record.writer = state::Writer(name::Incarnation(uuid::Uuid::from_u128(by.into())));
        new_record.sequence = Sequence(offset.0);
        assert_eq!(state.apply(offset, &new_record), Outcome::Accepted);
    };
    let text = include_str!("../../../../examples/lists/lena.toml");
    apply(0, lists(0, text));
    for replica in 0..400_u32 {
        let members = (0..4).map(|n| format!("instance-{}", replica * 4 + n));
        let members: Vec<String> = members.collect();
        let members: Vec<&str> = members.iter().map(String::as_str).collect();
        apply(
            replica % 340,
            assign(0, &format!("replica-{replica}"), &members),
        );
        apply(replica % 340, take_out(0, &format!("domain-{replica}")));
    }
    let nodes: Vec<String> = (0..340).map(|n| format!("node-{n}")).collect();
    let nodes: Vec<&str> = nodes.iter().map(String::as_str).collect();
    apply(0, epoch(0, &nodes));
    state
}

#[test]
fn snapshot_of_design_size_fits_in_a_record() {
    let state = design_size();
    let covers = state.offset;
    let snapshot = Box::new(Snapshot { covers, state });
    let snapshot_record = record(1, 1, Change::Snapshot { snapshot });
    let text = encode(&snapshot_record).expect("the snapshot fits in a record");
    println!("snapshot at the design size: {} bytes", text.len());
    assert!(text.len() < MAX_RECORD_BYTES / 2, "{} bytes", text.len());
    assert_eq!(decode(text.as_bytes()), Ok(snapshot_record));
}
