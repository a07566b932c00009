//! Which nodes callers should use.

use crate::state::Shared;
use rand::seq::SliceRandom;
use site::{call::DirectoryQuery, node::NodeRecord};
use std::{net::SocketAddr, time::Duration};

/// How long callers keep an answer.
///
/// Some keep it three times as long, and a node that stops must stay reachable
/// for that time within the grace that it has.
const KEEP: Duration = Duration::from_secs(2);

/// How many times longer than they are told some callers keep an answer.
const KEEP_FACTOR: u32 = 3;

/// Returns how long callers are told to keep an answer.
pub(crate) fn keep(shared: &Shared) -> Duration {
    KEEP.min(shared.settings.bounds.directory_max_age)
}

/// Returns how long callers may still have an answer.
pub(crate) fn longest_kept(shared: &Shared) -> Duration {
    keep(shared) * KEEP_FACTOR
}

/// Returns the addresses for a caller, nodes of its own failure domain first.
///
/// If no node says that it is ready, all that run are named: some of them may
/// still serve, and callers have no other way.
pub(crate) fn addresses(
    shared: &Shared,
    own: &NodeRecord,
    lookup: &DirectoryQuery,
) -> Vec<SocketAddr> {
    let is_ready = shared.is_ready();
    let now = shared.now();
    let mut nodes = shared.tables().peers.usable(now);
    if !shared.is_stopping() {
        nodes.push((own.clone(), is_ready));
    }
    let is_any_ready = nodes.iter().any(|(_, is_ready)| *is_ready);
    nodes.retain(|(_, is_ready)| *is_ready || !is_any_ready);
    nodes.shuffle(&mut rand::rng());
    nodes.sort_by_key(|(card, _)| Some(card.domain.as_str()) != lookup.domain.as_deref());
    nodes
        .into_iter()
        .map(|(card, _)| card.caller_address)
        .collect()
}
