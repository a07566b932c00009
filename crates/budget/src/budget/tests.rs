//! The parts of a budget, and what is closed for its age.

use super::{Budget, CONNECTION_BYTES, Limits, Port, Timeouts, lateness};
use crate::{
    connection::{Phase, Reason},
    table::Snapshot,
};
use std::{
    net::{IpAddr, Ipv4Addr},
    time::{Duration, Instant},
};

/// More connections than find room.
const MANY: usize = 5_000;

const PEER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Guards against closing callers that keep to the limits, and against heads that take the
/// time of idle connections.
#[test]
fn time_of_a_connection_depends_on_its_phase() {
    struct Case {
        port: Port,
        phase: Phase,
        /// The time since the phase began, in milliseconds.
        age: u64,
        reason: Option<Reason>,
    }
    let case = |port, phase, age, reason| Case {
        port,
        phase,
        age,
        reason,
    };
    let timeouts = Timeouts {
        first_byte: Duration::from_millis(6_000),
        head: Duration::from_millis(3_000),
        idle: Duration::from_millis(15_000),
    };
    let cases = [
        case(Port::Callers, Phase::New, 5_999, None),
        case(Port::Callers, Phase::New, 6_000, Some(Reason::Idle)),
        case(Port::Callers, Phase::Idle, 14_999, None),
        case(Port::Callers, Phase::Idle, 15_000, Some(Reason::Idle)),
        case(Port::Callers, Phase::Head, 3_999, None),
        case(Port::Callers, Phase::Head, 4_000, Some(Reason::SlowHead)),
        case(Port::Readiness, Phase::Head, 4_000, Some(Reason::SlowHead)),
        case(Port::Callers, Phase::Body, 60_000, None),
        case(Port::Callers, Phase::Waiting, 60_000, None),
        case(Port::Callers, Phase::Busy, 60_000, None),
        case(Port::Peers, Phase::New, 60_000, None),
    ];
    let now = Instant::now() + Duration::from_secs(100);
    for case in cases {
        let since = now - Duration::from_millis(case.age);
        let snapshot = Snapshot {
            peer: PEER,
            phase: case.phase,
            since,
            received_at: now,
            is_unsent: false,
        };
        let reason = lateness(case.port, &snapshot, timeouts, now);
        let what = format!("{:?}, {:?}, {} ms", case.port, case.phase, case.age);
        assert_eq!(reason, case.reason, "{what}");
    }
}

/// Guards against one port that takes the descriptors of all others, of the store and of
/// the servers.
#[test]
fn each_port_has_its_part_of_the_descriptors() {
    struct Case {
        descriptors: Option<usize>,
        caller_connections: Option<usize>,
        /// Connections that find room at the ports for callers, readiness, the directory,
        /// operators and peers.
        room: [usize; 5],
    }
    let cases = [
        Case {
            descriptors: Some(3_900),
            caller_connections: None,
            room: [1_462, 64, 121, 64, 487],
        },
        Case {
            descriptors: Some(300),
            caller_connections: None,
            room: [112, 9, 9, 9, 37],
        },
        Case {
            descriptors: Some(40),
            caller_connections: None,
            room: [15, 8, 8, 8, 8],
        },
        Case {
            descriptors: None,
            caller_connections: Some(100),
            room: [100, 64, MANY, 64, MANY],
        },
    ];
    let ports = [
        Port::Callers,
        Port::Readiness,
        Port::Directory,
        Port::Operators,
        Port::Peers,
    ];
    for case in cases {
        let budget = Budget::new(Limits {
            memory_bytes: Some(64 << 30),
            descriptors: case.descriptors,
            caller_connections: case.caller_connections,
        });
        for (port, room) in ports.into_iter().zip(case.room) {
            let tickets: Vec<_> = (0..MANY).map_while(|_| budget.open(port, PEER)).collect();
            let what = format!("{:?}, {port:?}", case.descriptors);
            assert_eq!(tickets.len(), room, "{what}");
            drop(tickets);
            assert!(budget.open(port, PEER).is_some(), "{what}: given back");
        }
    }
}

/// Guards against connections that are charged less than they may hold.
#[test]
fn connections_are_charged_for_what_they_may_hold() {
    const LIMIT: u64 = 160_000_000;
    let budget = Budget::new(Limits {
        memory_bytes: Some(LIMIT),
        ..Limits::default()
    });
    let open_all = || -> Vec<_> {
        let open = (0..MANY).map_while(|_| budget.open(Port::Callers, PEER));
        open.collect()
    };
    let mut tickets = open_all();
    let usual = tickets.len();
    assert!((usual * CONNECTION_BYTES) as u64 + (64 << 20) <= LIMIT);
    // Heads of four times the usual length take the place of other connections.
    tickets.truncate(usual / 2);
    for ticket in &mut tickets {
        ticket.charge_head(64 << 10);
    }
    let added = open_all().len();
    assert!(usual / 2 + added < usual, "{added} added to {}", usual / 2);
    drop(tickets);
    assert_eq!(open_all().len(), usual);
}

/// Guards against a crowd at one port that ends the connections of other nodes and of
/// operators.
#[test]
fn shortage_of_memory_closes_callers_only() {
    struct Case {
        port: Port,
        is_closed: bool,
    }
    let case = |port, is_closed| Case { port, is_closed };
    let cases = [
        case(Port::Callers, true),
        case(Port::Directory, true),
        case(Port::Readiness, false),
        case(Port::Operators, false),
        case(Port::Peers, false),
    ];
    for case in cases {
        let budget = Budget::new(Limits::default());
        let ticket = budget.open(case.port, PEER).expect("room");
        budget.close_for_memory(Instant::now());
        let is_closed = ticket.connection().snapshot().is_none();
        assert_eq!(is_closed, case.is_closed, "{:?}", case.port);
    }
}
