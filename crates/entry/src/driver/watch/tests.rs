//! Tests of the cache of watched instances.

use super::{WATCHERS_PER_INSTANCE, WatcherCache};
use name::{Domain, Incarnation, Instance, Node, Offset};
use replica::watchers;
use state::{Epoch, Peer};
use uuid::Uuid;

/// Returns an epoch of `nodes` nodes in three failure domains.
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

// A result cached in another epoch or failure domain would leave instances
// without their watchers.
#[test]
fn cache_follows_epoch_and_domain() {
    struct Case {
        name: &'static str,
        epoch: Epoch,
        domain: u128,
    }
    let cases = [
        Case {
            name: "before the first epoch",
            epoch: Epoch::default(),
            domain: 0,
        },
        Case {
            name: "the first epoch",
            epoch: epoch(1, 9),
            domain: 0,
        },
        Case {
            name: "the instances moved to another domain",
            epoch: epoch(1, 9),
            domain: 1,
        },
        Case {
            name: "a later epoch with fewer nodes",
            epoch: epoch(2, 6),
            domain: 1,
        },
    ];
    let own: Node = "entry-0".try_into().expect("a name");
    let mut cache = WatcherCache::default();
    let mut watched_instances = 0;
    for case in cases {
        cache.set_epoch(&case.epoch);
        for number in 0..48 {
            let instance: Instance = format!("engine-{number}").try_into().expect("a name");
            let domain = domain(case.domain);
            let expected_watchers =
                watchers(&instance, &domain, &case.epoch, WATCHERS_PER_INSTANCE);
            let expected = case.epoch.peers.is_empty() || expected_watchers.contains(&own);
            for is_repeated in [false, true] {
                let is_watcher = cache.is_watcher(&own, &instance, &domain, &case.epoch);
                assert_eq!(
                    is_watcher, expected,
                    "{}, {instance}, {is_repeated}",
                    case.name
                );
            }
            watched_instances += usize::from(expected);
        }
    }
    assert!(
        (49..192).contains(&watched_instances),
        "{watched_instances} of 192 are watched"
    );
}
