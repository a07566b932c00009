//! The kept answers to which instances a node watches.

use super::{Duty, WATCHERS};
use name::{Domain, Incarnation, Instance, Node, Offset};
use replica::watchers;
use state::{Epoch, Peer};
use uuid::Uuid;

/// Returns an epoch of so many nodes.
fn epoch(revision: u64, nodes: u128) -> Epoch {
    let peer = |number: u128| Peer {
        node: format!("entry-{number}").try_into().expect("a name"),
        incarnation: Incarnation(Uuid::from_u128(number)),
        domain: domain(number % 3),
        peer_address: ([127, 0, 0, 1], 1).into(),
        caller_address: ([127, 0, 0, 1], 2).into(),
    };
    Epoch {
        revision: Offset(revision),
        peers: (0..nodes).map(peer).collect(),
    }
}

fn domain(number: u128) -> Domain {
    format!("d{number}").try_into().expect("a name")
}

#[test]
fn answers_are_those_of_the_epoch_and_domain() {
    struct Case {
        what: &'static str,
        epoch: Epoch,
        domain: u128,
    }
    let cases = [
        Case {
            what: "before the first epoch",
            epoch: Epoch::default(),
            domain: 0,
        },
        Case {
            what: "the first epoch",
            epoch: epoch(1, 9),
            domain: 0,
        },
        Case {
            what: "the instances moved to another domain",
            epoch: epoch(1, 9),
            domain: 1,
        },
        Case {
            what: "a later epoch with fewer nodes",
            epoch: epoch(2, 6),
            domain: 1,
        },
    ];
    let own: Node = "entry-0".try_into().expect("a name");
    let mut duty = Duty::default();
    let mut watched = 0;
    for case in cases {
        duty.turn_to(&case.epoch);
        for number in 0..48 {
            let instance: Instance = format!("engine-{number}").try_into().expect("a name");
            let domain = domain(case.domain);
            let chosen = watchers(&instance, &domain, &case.epoch, WATCHERS);
            let expected = case.epoch.peers.is_empty() || chosen.contains(&own);
            for again in [false, true] {
                let is_own = duty.is_own(&own, &instance, &domain, &case.epoch);
                assert_eq!(is_own, expected, "{}, {instance}, {again}", case.what);
            }
            watched += usize::from(expected);
        }
    }
    assert!((49..192).contains(&watched), "{watched} of 192 are watched");
}
