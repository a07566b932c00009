//! Builders of records for tests.

use name::{Generation, Incarnation, Instance, Offset, Replica, Sequence};
use state::{Assignment, Change, Operation, Peer, Record, Scope, Writer};
use std::{net::SocketAddr, sync::Arc};

pub fn writer(number: u8) -> Writer {
    Writer(Incarnation(uuid::Uuid::from_u128(number.into())))
}

pub fn record(by: u8, sequence: u64, change: Change) -> Record {
    Record {
        writer: writer(by),
        sequence: Sequence(sequence),
        change,
    }
}

pub fn instance(name: &str) -> Instance {
    name.try_into().expect("a valid name")
}

pub fn replica(name: &str) -> Replica {
    name.try_into().expect("a valid name")
}

pub fn assign(base: u64, of: &str, members: &[&str]) -> Change {
    Change::Assign {
        base: Generation(base),
        replica: replica(of),
        model: "m".try_into().expect("a valid name"),
        version: "1".into(),
        members: members.iter().map(|name| instance(name)).collect(),
    }
}

pub fn release(base: u64, of: &str) -> Change {
    Change::Release {
        base: Generation(base),
        replica: replica(of),
    }
}

pub fn lists(base: u64, text: &str) -> Change {
    Change::Lists {
        base: Offset(base),
        text: text.into(),
        by: "eira".into(),
    }
}

/// Returns complete lists that differ by `number`.
pub fn lists_text(number: usize) -> String {
    format!("[[model]]\nname = \"m{number}\"\nversion = \"1\"\nmembers = 2\n")
}

pub fn take_out(base: u64, domain: &str) -> Change {
    operation(base, domain, Operation::TakeOut)
}

pub fn operation(base: u64, domain: &str, operation: Operation) -> Change {
    Change::Operation {
        base: Offset(base),
        scope: Scope::Domain(domain.try_into().expect("a valid name")),
        operation,
        by: "eira".into(),
    }
}

pub fn epoch(base: u64, nodes: &[&str]) -> Change {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let peer = |node: &&str| Peer {
        node: (*node).try_into().expect("a valid name"),
        incarnation: Incarnation(uuid::Uuid::nil()),
        domain: "d".try_into().expect("a valid name"),
        peer_address: address,
        caller_address: address,
    };
    Change::Epoch {
        base: Offset(base),
        peers: nodes.iter().map(peer).collect(),
    }
}

/// Returns the names of an assignment's members.
pub fn members(assignment: &Assignment) -> Vec<Arc<str>> {
    let names = assignment.members.iter();
    names.map(|member| member.as_str().into()).collect()
}
