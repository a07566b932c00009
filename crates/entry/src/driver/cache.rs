//! Reads the events of the engines' prefix caches.
//!
//! Only replicas to which this node sent drafts lately are asked, and only about
//! prefixes that this node sent do the events say anything to it. A round asks
//! at most [`MAX_READS`] replicas, one short request each over a pooled
//! connection: at 340 nodes that is at most 2,720 requests per second over all
//! replicas, about two for each of 1,600 engines. Events are hints; a read that
//! fails is repeated in a later round.

use crate::{
    node::Node,
    serve::{job::Draft, servers::Lease},
};
use backend::{engine, proto};
use futures_util::future::join_all;
use route::prefix;
use slog::debug;
use std::{sync::Arc, time::Duration};

/// The time between two rounds.
pub(crate) const EACH: Duration = Duration::from_secs(1);

/// The replicas that are asked in one round.
const MAX_READS: usize = 8;

/// Notes that `draft` goes to the server of `lease`.
pub(crate) fn note(node: &Node, draft: &Draft, lease: &Lease) {
    let hashes = prefix::hashes(draft.model.as_str(), &draft.prompt);
    let name = proto::prefix_hash(&draft.prompt);
    let now = node.clock.now();
    node.servers().sent(lease, name, &hashes, now);
}

/// Reads new events once, of all replicas concerned at the same time.
pub(crate) async fn run(node: Arc<Node>) {
    let due = {
        let now = node.clock.now();
        node.servers().caches_due(MAX_READS, now)
    };
    let reads = due.into_iter().map(|read| async {
        let events = engine::cache_events(&node.pool, read.address, read.from).await;
        (read, events)
    });
    for (read, events) in join_all(reads).await {
        let now = node.clock.now();
        match events {
            Ok(events) => node.servers().take_cache(&read, &events, now),
            Err(failure) => {
                debug!(node.log, "no cache events"; "instance" => %read.instance, "error" => %failure);
            }
        }
    }
}
