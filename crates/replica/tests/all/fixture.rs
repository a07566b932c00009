//! Instances, entry nodes and lists for the tests.

use name::{Incarnation, Offset};
use plan::{Lists, Model};
use replica::ListedInstance;
use state::{Epoch, Peer};
use std::{collections::BTreeMap, net::SocketAddr};
use uuid::Uuid;

/// The number of members of a replica.
pub const MEMBERS: usize = 4;

/// Parses `text` as a name.
pub fn named<'a, T: TryFrom<&'a str, Error = name::Invalid>>(text: &'a str) -> T {
    T::try_from(text).unwrap()
}

/// Returns the instance `i` as listed, with eight instances to a fabric domain.
///
/// The first 48 fill two fabric domains in each of three failure domains; the
/// instances 48 and 49 are in the first fabric domain.
pub fn listed(i: usize) -> ListedInstance {
    let fabric = match i {
        48 | 49 => 0,
        _ => i / 8,
    };
    let domain = match fabric {
        0..6 => fabric / 2,
        _ => fabric % 3,
    };
    ListedInstance {
        instance: named(&format!("i{i:02}")),
        address: SocketAddr::from(([10, 0, (i / 256) as u8, (i % 256) as u8], 80)),
        domain: named(&format!("d{domain}")),
        fabric: named(&format!("f{fabric}")),
        leaving: false,
    }
}

/// Returns an epoch of `count` nodes, assigned to three failure domains in turn.
pub fn epoch(count: usize) -> Epoch {
    let peer = |i: usize| Peer {
        node: named(&format!("e{i}")),
        incarnation: Incarnation(Uuid::from_u128(i as u128)),
        domain: named(&format!("d{}", i % 3)),
        peer_address: "10.1.0.1:1".parse().unwrap(),
        caller_address: "10.1.0.1:2".parse().unwrap(),
    };
    Epoch {
        revision: Offset(1),
        peers: (0..count).map(peer).collect(),
    }
}

/// Returns lists with only the model `m`.
pub fn lists() -> Lists {
    let model = Model {
        version: "1".into(),
        members: MEMBERS as u32,
        weight: 1,
        adapters: Vec::new(),
    };
    Lists {
        models: BTreeMap::from([(named("m"), model)]),
        ..Lists::default()
    }
}
