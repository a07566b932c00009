//! Tests of the detection of a replaced epoch.

use name::{Domain, Incarnation, Node, Offset, Sequence};
use state::{Change, Event, Outcome, Peer, Record, Rejection, Writer, replaced_epoch};
use uuid::Uuid;

/// Returns the event of folding an epoch record with this base.
fn epoch(base: u64, outcome: Outcome) -> Event {
    let address = "127.0.0.1:1".parse().expect("a valid address");
    let peer = Peer {
        node: Node::try_from("node").expect("a valid name"),
        incarnation: Incarnation(Uuid::nil()),
        domain: Domain::try_from("domain").expect("a valid name"),
        peer_address: address,
        caller_address: address,
    };
    let record = Record {
        writer: Writer(Incarnation(Uuid::nil())),
        sequence: Sequence(1),
        change: Change::Epoch {
            base: Offset(base),
            peers: vec![peer],
        },
    };
    Event::Folded {
        offset: Offset(base + 1),
        record: Some(Box::new(record)),
        is_own: false,
        outcome,
    }
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    current: u64,
    replaced: Option<u64>,
}

#[test]
fn base_is_known_for_single_direct_successor() {
    let conflict = || Outcome::Rejected(Rejection::Conflict { current: Offset(5) });
    let installed = Event::SnapshotInstalled {
        offset: Offset(9),
        own_sequence: None,
    };
    let cases = [
        Case {
            name: "no epoch",
            events: vec![],
            current: 4,
            replaced: None,
        },
        Case {
            name: "the first epoch",
            events: vec![epoch(0, Outcome::Accepted)],
            current: 0,
            replaced: Some(0),
        },
        Case {
            name: "the successor",
            events: vec![epoch(4, Outcome::Accepted)],
            current: 4,
            replaced: Some(4),
        },
        Case {
            name: "the successor and a rejected proposal",
            events: vec![epoch(4, Outcome::Accepted), epoch(4, conflict())],
            current: 4,
            replaced: Some(4),
        },
        Case {
            name: "two epochs at once",
            events: vec![epoch(4, Outcome::Accepted), epoch(5, Outcome::Accepted)],
            current: 4,
            replaced: None,
        },
        Case {
            name: "the successor of another epoch",
            events: vec![epoch(5, Outcome::Accepted)],
            current: 4,
            replaced: None,
        },
        Case {
            name: "a snapshot",
            events: vec![installed],
            current: 4,
            replaced: None,
        },
    ];
    for case in cases {
        let replaced = replaced_epoch(&case.events, Offset(case.current));
        assert_eq!(replaced, case.replaced.map(Offset), "{}", case.name);
    }
}
