//! The background tasks of a node.
//!
//! Each reads its inputs, calls a decision function without side effects, and
//! carries out the result.

pub(crate) mod cache;
pub(crate) mod claims;
pub(crate) mod control;
pub(crate) mod heartbeats;
pub(crate) mod listing;
pub(crate) mod observe;
pub(crate) mod replicas;
pub(crate) mod survey;
pub(crate) mod watch;
pub(crate) mod writer;

use crate::node::Node;
use admit::stats::{self, Phase};
use std::{
    future::{Ready, ready},
    sync::Arc,
    time::Duration,
};
use tokio::time::{MissedTickBehavior, interval};

/// Runs `step` once per `period` until the node shuts down.
///
/// Missed periods, such as those during a pause of the process, are skipped.
pub(crate) async fn run_periodically<F>(
    node: Arc<Node>,
    period: Duration,
    mut step: impl FnMut(Arc<Node>) -> F,
) where
    F: Future<Output = ()>,
{
    let shutdown = node.shutdown.clone();
    let mut ticker = interval(period);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            _ = ticker.tick() => step(Arc::clone(&node)).await,
            () = shutdown.cancelled() => return,
        }
    }
}

/// The interval between reports of percentiles.
pub(crate) const METRICS_INTERVAL: Duration = Duration::from_secs(10);

/// Sends the 95th percentiles of all histograms as metrics.
pub(crate) fn send_percentiles(node: Arc<Node>) -> Ready<()> {
    let rows = stats::query::rows(&node.stats());
    for row in rows {
        let name = match row.phase {
            Phase::Queueing => "queueing.p95",
            Phase::FirstToken => "first_token.p95",
            Phase::BetweenTokens => "between_tokens.p95",
            Phase::Total => "total.p95",
        };
        node.metrics
            .percentile(name, &row.account, &row.class, row.p95);
    }
    ready(())
}

/// Converts a setting in milliseconds.
pub(crate) fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}
