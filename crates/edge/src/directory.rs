//! The directory of nodes for callers.

use crate::{peers::Standing, state::Shared};
use rand::seq::SliceRandom;
use site::{call::DirectoryQuery, node::NodeRecord};
use std::{net::SocketAddr, time::Duration};

/// How long callers may cache an answer.
///
/// Some cache it three times as long, and a stopping node must stay reachable for
/// that time within its grace period.
const ANSWER_TTL: Duration = Duration::from_secs(2);

/// How long some callers cache an answer, as a multiple of its lifetime.
const MAX_OVERCACHE_FACTOR: u32 = 3;

/// The time from a node's last heartbeat to its receipt, and from the look at the table of
/// nodes until an answer is sent.
const ANSWER_DELAY: Duration = Duration::from_millis(500);

/// Returns the lifetime of an answer, which is sent to callers.
pub(crate) fn answer_ttl(shared: &Shared) -> Duration {
    ANSWER_TTL.min(shared.settings.bounds.directory_max_age)
}

/// Returns the longest time for which callers cache an answer.
pub(crate) fn max_cache_time(shared: &Shared) -> Duration {
    answer_ttl(shared) * MAX_OVERCACHE_FACTOR
}

/// Returns the addresses for a caller, nodes of its own failure domain first.
///
/// Nodes that only pass requests on are left out while others serve. If no node reports
/// that it is ready, all running nodes are returned: some of them may still serve, and
/// callers have no alternative.
pub(crate) fn addresses(
    shared: &Shared,
    own: &NodeRecord,
    query: &DirectoryQuery,
) -> Vec<SocketAddr> {
    let standing = Standing::new(shared.is_ready(), shared.is_isolated());
    let now = shared.now();
    let max_delay = shared.settings.bounds.max_directory_delay;
    let max_silence = max_delay.saturating_sub(ANSWER_DELAY);
    let mut nodes = shared.tables().peers.available_nodes(max_silence, now);
    if !shared.is_stopping() {
        nodes.push((own.clone(), standing));
    }
    let best = nodes.iter().map(|(_, standing)| *standing).max();
    nodes.retain(|(_, standing)| Some(*standing) == best);
    nodes.shuffle(&mut rand::rng());
    nodes.sort_by_key(|(record, _)| Some(record.domain.as_str()) != query.domain.as_deref());
    nodes
        .into_iter()
        .map(|(record, _)| record.caller_address)
        .collect()
}
