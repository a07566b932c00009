//! The entries that callers should use.

use crate::{Health, Member, Role, Status, Table};
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
    #[serde(rename = "nearest")]
    pub is_nearest: bool,
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
        caller_domain: Option<&Domain>,
        ttl: Duration,
    ) -> Self {
        let own = &table.own().peer.node;
        let usable: Vec<&Member> = table
            .members()
            .filter(|member| member.role == Role::Open && member.health != Health::Dead)
            .filter(|member| status.accepts_work() || member.peer.node != *own)
            .filter(|member| !is_taken_out(state, member))
            .collect();
        let any_alive = usable.iter().any(|member| member.health == Health::Alive);
        let mut entries: Vec<Listing> = usable
            .into_iter()
            .filter(|member| !any_alive || member.health == Health::Alive)
            .map(|member| listing(member, caller_domain))
            .collect();
        entries.sort_by_key(|entry| !entry.is_nearest);
        Self {
            ttl_seconds: ttl.as_secs(),
            entries,
        }
    }
}

/// Returns whether operators have taken the node or its failure domain out.
fn is_taken_out(state: &State, member: &Member) -> bool {
    let instance = Instance::try_from(member.peer.node.as_str());
    let instance = instance.expect("a node's name is a name");
    state.is_taken_out(&instance, &member.peer.domain)
}

/// Returns the entry for one node.
fn listing(member: &Member, caller_domain: Option<&Domain>) -> Listing {
    let is_nearest = caller_domain == Some(&member.peer.domain);
    Listing {
        node: member.peer.node.clone(),
        address: member.peer.caller_address,
        domain: member.peer.domain.clone(),
        weight: if is_nearest {
            NEAREST_WEIGHT
        } else {
            OTHER_WEIGHT
        },
        is_nearest,
    }
}
