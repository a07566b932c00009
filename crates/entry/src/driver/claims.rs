//! Follows the claim stream and appends claims in batches.

use crate::{driver::millis, node::Node, serve::claims::QueuedRecord};
use log::{Backoff, Store, TailOptions, TimedPage, follow};
use name::Offset;
use once::{AppendResult, Event};
use slog::{debug, warn};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The maximum number of records in one read.
const MAX_READ_RECORDS: usize = 256;

/// The maximum number of claims in one append.
const MAX_APPEND_CLAIMS: usize = 128;

/// The number of consecutive failed reads after which the log counts as down.
const MAX_READ_FAILURES: u32 = 3;

/// The minimum and maximum delay before a failed read or append is retried.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Follows the claim stream until the node shuts down.
pub(crate) async fn run(node: Arc<Node>, store: Store) {
    let tail = TailOptions {
        max_records: MAX_READ_RECORDS,
        wait: millis(node.settings.timings.log_wait_ms),
        backoff: Backoff::new(
            RETRY_DELAYS.0,
            RETRY_DELAYS.1,
            node.identity.incarnation.0.as_u64_pair().1,
        ),
    };
    let mut failures = 0;
    let sink = |result| handle_read(&node, result, &mut failures);
    tokio::select! {
        () = follow(&store, tail, &node.clock, Offset(1), sink) => {}
        () = node.shutdown.cancelled() => {}
    }
}

/// Applies the result of one read and returns the next offset to read.
///
/// After [`MAX_READ_FAILURES`] consecutive failures, the waiting calls are
/// notified that the log is down, so that each is answered at once.
fn handle_read(node: &Node, result: Result<TimedPage, log::Error>, failures: &mut u32) -> Offset {
    let wall = node.clock.wall();
    let mut claims = node.claims();
    match result {
        Ok(read) => {
            *failures = 0;
            claims
                .table
                .set_target(Offset(read.page.tail.0.saturating_sub(1)));
            for entry in read.page.entries {
                claims.fold(entry.offset, &entry.data, entry.at);
            }
            // The log's retention is longer than the window, so records that the log
            // has expired lie outside the window and can be skipped.
            if claims.table.position() < Offset(read.page.first.0.saturating_sub(1)) {
                let last = Offset(read.page.first.0.saturating_sub(1));
                claims.table.fold(last, None, wall);
            }
            claims.table.expire(wall);
        }
        Err(error) => {
            debug!(node.log, "reading the claim stream failed"; "error" => %error);
            *failures += 1;
            if *failures >= MAX_READ_FAILURES {
                claims.notify_log_down();
            }
        }
    }
    claims.table.position().next()
}

/// Appends queued claims in batches until the node shuts down.
pub(crate) async fn append_batches(node: Arc<Node>, store: Store) {
    loop {
        let batch = node.claims().take_batch(MAX_APPEND_CLAIMS);
        if batch.is_empty() {
            tokio::select! {
                () = node.claims_waiting.notified() => continue,
                () = node.shutdown.cancelled() => return,
            }
        }
        let records: Vec<Arc<str>> = batch
            .iter()
            .map(|queued| Arc::clone(&queued.data))
            .collect();
        let result = store.append(&records).await;
        let outcome = match &result {
            Ok(_) => AppendResult::Acknowledged,
            Err(error) if error.is_not_appended() => AppendResult::Refused,
            Err(_) => AppendResult::Unknown,
        };
        if let Err(error) = &result {
            warn!(node.log, "appending claims failed"; "records" => records.len(), "error" => %error);
        }
        report_outcome(&node, batch, outcome);
        if result.is_err() {
            sleep(RETRY_DELAYS.1).await;
        }
    }
}

/// Reports the outcome of an appended batch to the calls that wait for it.
///
/// Records of outcomes have no waiting call. They are appended again until the
/// log confirms them: a duplicate has no effect, but a lost one would leave
/// repeated calls without the answer.
fn report_outcome(node: &Node, batch: Vec<QueuedRecord>, outcome: AppendResult) {
    for queued in batch {
        match &queued.result_sender {
            Some(answer) => {
                let _ = answer.send(Event::Appended(outcome));
            }
            None if outcome != AppendResult::Acknowledged => node.claims().requeue(queued),
            None => {}
        }
    }
}
