//! Reads the events of the engines' prefix caches.
//!
//! Reads only replicas to which this node recently sent drafts, and uses only
//! events about prefixes that this node sent. A round reads at most
//! [`MAX_REPLICAS_PER_ROUND`] replicas, with one short request each over a pooled
//! connection: at 340 nodes that is at most 2,720 requests per second over all
//! replicas, about two for each of 1,600 engines. Events are hints, so a failed
//! read is only repeated in a later round.

use crate::{
    node::Node,
    serve::{job::Draft, servers::Lease},
};
use backend::{engine, proto};
use futures_util::future::join_all;
use route::prefix;
use slog::debug;
use std::{sync::Arc, time::Duration};

/// The interval between rounds of reads.
pub(crate) const INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of replicas that one round reads.
const MAX_REPLICAS_PER_ROUND: usize = 8;

/// Records that `draft` is sent to the server of `lease`.
pub(crate) fn record_dispatch(node: &Node, draft: &Draft, lease: &Lease) {
    let hashes = prefix::hashes(draft.model.as_str(), &draft.prompt);
    let name = proto::prefix_hash(&draft.prompt);
    let now = node.clock.now();
    node.servers().record_sent(lease, name, &hashes, now);
}

/// Reads new events of all due replicas concurrently.
pub(crate) async fn run(node: Arc<Node>) {
    let due = {
        let now = node.clock.now();
        node.servers().due_cache_reads(MAX_REPLICAS_PER_ROUND, now)
    };
    let reads = due.into_iter().map(|read| async {
        let events = engine::cache_events(&node.pool, read.address, read.from).await;
        (read, events)
    });
    for (read, events) in join_all(reads).await {
        let now = node.clock.now();
        match events {
            Ok(events) => node.servers().apply_cache_events(&read, &events, now),
            Err(failure) => {
                debug!(node.log, "cache events could not be read"; "instance" => %read.instance, "error" => %failure);
            }
        }
    }
}
