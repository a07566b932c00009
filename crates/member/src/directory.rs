//! The entries that callers should use.

use crate::{Health, Role, Status, Table, Word};
use name::{Domain, Instance, Node};
use state::State;
use std::{net::SocketAddr, time::Duration};

/// The weight of an entry in the caller's failure domain.
const NEAREST_WEIGHT: u32 = 100;

/// The weight of an entry in another failure domain.
const OTHER_WEIGHT: u32 = 10;

/// One entry that callers may use.
#[common::value]
pub struct Listing {
    /// The node.
    pub node: Node,
    /// The address on which it serves callers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// The share of calls that it should get, against the others' weights.
    pub weight: u32,
    /// Whether it is in the caller's failure domain.
    pub nearest: bool,
}

/// The answer to a caller that asks which entries to use.
#[common::value]
pub struct Directory {
    /// How long the answer may be kept, in seconds.
    pub ttl_seconds: u64,
    /// The entries, nearest first.
    pub entries: Vec<Listing>,
}

impl Directory {
    /// Returns the entries for a caller in `near`.
    ///
    /// Leaves out nodes that leave, are isolated, suspected or dead, and those
    /// that operators have taken out. A node that may take no work itself, by
    /// its `status`, does not list itself. Suspected nodes are listed if there
    /// are no others.
    pub fn new(
        table: &Table,
        state: &State,
        status: Status,
        near: Option<&Domain>,
        ttl: Duration,
    ) -> Self {
        let own = &table.own().peer.node;
        let usable: Vec<&Word> = table
            .words()
            .filter(|word| word.role == Role::Open && word.health != Health::Dead)
            .filter(|word| status.takes_work() || word.peer.node != *own)
            .filter(|word| !is_out(state, word))
            .collect();
        let any_alive = usable.iter().any(|word| word.health == Health::Alive);
        let mut entries: Vec<Listing> = usable
            .into_iter()
            .filter(|word| !any_alive || word.health == Health::Alive)
            .map(|word| listing(word, near))
            .collect();
        entries.sort_by_key(|entry| !entry.nearest);
        Self {
            ttl_seconds: ttl.as_secs(),
            entries,
        }
    }
}

/// Returns whether operators have taken the node or its failure domain out.
fn is_out(state: &State, word: &Word) -> bool {
    let instance = Instance::try_from(word.peer.node.as_str());
    let instance = instance.expect("a node's name is a name");
    state.is_out(&instance, &word.peer.domain)
}

/// Returns the entry for one node.
fn listing(word: &Word, near: Option<&Domain>) -> Listing {
    let nearest = near == Some(&word.peer.domain);
    Listing {
        node: word.peer.node.clone(),
        address: word.peer.caller_address,
        domain: word.peer.domain.clone(),
        weight: if nearest {
            NEAREST_WEIGHT
        } else {
            OTHER_WEIGHT
        },
        nearest,
    }
}
