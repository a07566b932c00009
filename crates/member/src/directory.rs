//! The entry nodes that callers should use.

use crate::{Health, Member, Role, Status, Table};
use name::{Domain, Instance, Node};
use state::State;
use std::{net::SocketAddr, time::Duration};

/// The weight of an entry node in the caller's failure domain.
const NEAREST_WEIGHT: u32 = 100;

/// The weight of an entry node in another failure domain.
const OTHER_WEIGHT: u32 = 10;

/// An entry node that callers may use.
#[common::value]
pub struct Listing {
    /// The node.
    pub node: Node,
    /// The address on which the node serves callers.
    pub address: SocketAddr,
    /// The node's failure domain.
    pub domain: Domain,
    /// The node's share of calls, relative to the other weights.
    pub weight: u32,
    /// Whether the node is in the caller's failure domain.
    #[serde(rename = "nearest")]
    pub is_nearest: bool,
}

/// The entry nodes that a caller may use.
#[common::value]
pub struct Directory {
    /// How long callers may cache the list, in seconds.
    pub ttl_seconds: u64,
    /// The entry nodes, those in the caller's failure domain first.
    pub entries: Vec<Listing>,
}

impl Directory {
    /// Returns the entry nodes for a caller in `caller_domain`.
    ///
    /// Nodes that are leaving, isolated or dead are left out, as are those that
    /// operators have taken out. This node leaves itself out if its `status`
    /// accepts no work. Suspected nodes are listed only if no node is alive.
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

/// Returns whether operators have taken out the node or its failure domain.
fn is_taken_out(state: &State, member: &Member) -> bool {
    let instance = Instance::try_from(member.peer.node.as_str());
    let instance = instance.expect("a node name is a valid instance name");
    state.is_taken_out(&instance, &member.peer.domain)
}

/// Returns the listing of one node.
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
