//! Reads the claim stream, and appends claims in groups.

use crate::{driver::millis, node::Node, serve::claims::QueuedRecord};
use log::{Backoff, Read, Store, Tail, follow};
use name::Offset;
use once::{Append, Event};
use slog::{debug, warn};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// The most records of one read.
const PAGE_RECORDS: usize = 256;

/// The most claims of one append.
const GROUP: usize = 128;

/// The failed reads in a row after which the log counts as down.
const DOWN_AFTER: u32 = 3;

/// The shortest and longest pause after a failed read.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Follows the claim stream until the node ends.
pub(crate) async fn run(node: Arc<Node>, store: Store) {
    let tail = Tail {
        max_records: PAGE_RECORDS,
        wait: millis(node.settings.timings.log_wait_ms),
        backoff: Backoff::new(
            PAUSES.0,
            PAUSES.1,
            node.identity.incarnation.0.as_u64_pair().1,
        ),
    };
    let mut failures = 0;
    let sink = |result| take(&node, result, &mut failures);
    tokio::select! {
        () = follow(&store, tail, &node.clock, Offset(1), sink) => {}
        () = node.ended.cancelled() => {}
    }
}

/// Takes the result of one read; returns the offset to read next.
///
/// After several failures in a row the calls that wait learn that the log is
/// down, so that each is answered at once.
fn take(node: &Node, result: Result<Read, log::Error>, failures: &mut u32) -> Offset {
    let wall = node.clock.wall();
    let mut claims = node.claims();
    match result {
        Ok(read) => {
            *failures = 0;
            claims
                .table
                .must_reach(Offset(read.page.tail.0.saturating_sub(1)));
            for entry in read.page.entries {
                claims.fold(entry.offset, &entry.data, entry.at);
            }
            // Expired records lie outside the window, which is shorter.
            if claims.table.position() < Offset(read.page.first.0.saturating_sub(1)) {
                let last = Offset(read.page.first.0.saturating_sub(1));
                claims.table.fold(last, None, wall);
            }
            claims.table.expire(wall);
        }
        Err(error) => {
            debug!(node.log, "the claim stream could not be read"; "error" => %error);
            *failures += 1;
            if *failures >= DOWN_AFTER {
                claims.notify_log_down();
            }
        }
    }
    claims.table.position().next()
}

/// Appends claims in groups until the node ends.
pub(crate) async fn append(node: Arc<Node>, store: Store) {
    loop {
        let group = node.claims().take_batch(GROUP);
        if group.is_empty() {
            tokio::select! {
                () = node.claims_waiting.notified() => continue,
                () = node.ended.cancelled() => return,
            }
        }
        let records: Vec<Arc<str>> = group
            .iter()
            .map(|queued| Arc::clone(&queued.data))
            .collect();
        let result = store.append(&records).await;
        let outcome = match &result {
            Ok(_) => Append::Acknowledged,
            Err(error) if error.is_not_appended() => Append::Refused,
            Err(_) => Append::Unknown,
        };
        if let Err(error) = &result {
            warn!(node.log, "claims were not appended"; "records" => records.len(), "error" => %error);
        }
        settle(&node, group, outcome);
        if result.is_err() {
            sleep(PAUSES.1).await;
        }
    }
}

/// Tells the waiting calls what came of a group.
///
/// Outcomes, for which nobody waits, are appended until the log takes them: a
/// repeated one changes nothing, and a lost one would leave repeated calls
/// without the answer.
fn settle(node: &Node, group: Vec<QueuedRecord>, outcome: Append) {
    for queued in group {
        match &queued.result_sender {
            Some(answer) => {
                let _ = answer.send(Event::Appended(outcome));
            }
            None if outcome != Append::Acknowledged => node.claims().requeue(queued),
            None => {}
        }
    }
}
