//! The records by which nodes find each other, in the platform's store.

use crate::{
    feed_reader::{FaultLog, RETRY_DELAY},
    state::Shared,
};
use site::feed::Cursor;
use slog::{info, warn};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The time between two reads of the other nodes' records.
///
/// Starting nodes send heartbeats to all others. Later reads only find nodes that
/// were isolated for so long that the others removed them, unless they were requested.
const NODE_RECORD_READ_INTERVAL: Duration = Duration::from_secs(60);

/// The time between two such reads by the planner, whose heartbeats all nodes must get.
const PLANNER_READ_INTERVAL: Duration = Duration::from_secs(2);

/// The minimum time between two reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);

/// The longest random delay before a node writes its record again in a new era.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(2);

/// Writes this node's record, and reads the other nodes' records periodically
/// for as long as the node runs.
///
/// The record is written before the first read, so that of two nodes that start
/// together at least one finds the other. In a new era of the store, both are repeated
/// after a random delay, since all nodes see it at about the same time.
pub(crate) async fn run(shared: Arc<Shared>, record: site::node::NodeRecord) {
    let own = record.node.clone();
    let mut eras = shared.era_changes.subscribe();
    publish_node_record(&shared, record.clone()).await;
    let mut faults = FaultLog::default();
    loop {
        match (shared.platform.read_nodes)(Cursor::Start, Duration::ZERO).await {
            Ok(batch) => {
                faults.log(&shared, "cards", &batch.invalid_records);
                let now = shared.now();
                let mut tables = shared.tables();
                for record in batch.records.into_iter().filter(|c| c.node != own) {
                    tables.peers.add_record(record, now);
                }
            }
            Err(error) => {
                warn!(shared.log, "reading node records failed"; "error" => %error);
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        sleep(MIN_READ_INTERVAL).await;
        let is_planning = shared.tables().peers.own_token.is_some();
        let interval = if is_planning {
            PLANNER_READ_INTERVAL
        } else {
            NODE_RECORD_READ_INTERVAL
        };
        let is_new_era = tokio::select! {
            // The sender lives as long as the node.
            _ = eras.changed() => true,
            () = shared.node_records_requested.notified() => false,
            () = sleep(interval) => false,
        };
        if is_new_era {
            sleep(MAX_REWRITE_DELAY.mul_f64(rand::random())).await;
            shared.metrics.count("eras", "node records rewritten");
            publish_node_record(&shared, record.clone()).await;
        }
    }
}

/// Writes this node's record to the store, retrying until it succeeds.
async fn publish_node_record(shared: &Shared, record: site::node::NodeRecord) {
    while let Err(error) = (shared.platform.write_node_record)(record.clone()).await {
        warn!(shared.log, "writing node record failed"; "error" => %error);
        sleep(RETRY_DELAY).await;
    }
    info!(shared.log, "node record written"; "node" => %record.node);
}
