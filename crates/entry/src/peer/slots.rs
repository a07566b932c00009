//! Free slots that peers reported in their observations.

use crate::serve::servers::Target;
use clock::Moment;
use name::{Model, Node, Service};
use rand::{Rng, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};
use wire::FreeSlots;

/// How long a peer's report of free slots is valid.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// The prefix that marks a service among the names of targets.
const SERVICE_PREFIX: &str = "service ";

/// The free slots that one peer reported, and when.
#[derive(Debug)]
struct FreeSlotReport {
    address: SocketAddr,
    received_at: Moment,
    free: BTreeMap<Target, u32>,
}

/// The free slots of all peers.
#[derive(Debug, Default)]
pub(super) struct PeerSlots {
    peers: HashMap<Node, FreeSlotReport>,
}

impl PeerSlots {
    /// Replaces the free slots of `node`.
    pub(super) fn replace(
        &mut self,
        node: Node,
        address: SocketAddr,
        free: &[FreeSlots],
        now: Moment,
    ) {
        let free = free
            .iter()
            .filter_map(|slots| Some((parse_target(&slots.target)?, slots.count)));
        self.peers.insert(
            node,
            FreeSlotReport {
                address,
                received_at: now,
                free: free.collect(),
            },
        );
    }

    /// Reserves a slot of a peer: of two chosen at random, the one with more free.
    pub(super) fn reserve(
        &mut self,
        target: &Target,
        tried: &[Node],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<Node> {
        let candidates: Vec<(&Node, u32)> = self
            .peers
            .iter()
            .filter(|(node, peer)| {
                now.since(peer.received_at) < REPORT_TTL && !tried.contains(node)
            })
            .filter_map(|(node, peer)| Some((node, *peer.free.get(target)?)))
            .filter(|(_, count)| *count > 0)
            .collect();
        let pair = [candidates.choose(rng)?, candidates.choose(rng)?];
        let (node, _) = pair.into_iter().max_by_key(|(_, count)| *count)?;
        let node = (*node).clone();
        let count = self.peers.get_mut(&node)?.free.get_mut(target)?;
        *count -= 1;
        Some(node)
    }

    /// Returns the address of `node`, if it has reported free slots.
    pub(super) fn address(&self, node: &Node) -> Option<SocketAddr> {
        self.peers.get(node).map(|peer| peer.address)
    }
}

/// Returns the name of a target in a message.
pub(crate) fn target_name(target: &Target) -> String {
    match target {
        Target::Model(model) => model.to_string(),
        Target::Service(service) => format!("{SERVICE_PREFIX}{service}"),
    }
}

/// Parses the name of a target; none if it is not valid.
fn parse_target(text: &str) -> Option<Target> {
    match text.strip_prefix(SERVICE_PREFIX) {
        Some(service) => Service::try_from(service).ok().map(Target::Service),
        None => Model::try_from(text).ok().map(Target::Model),
    }
}
