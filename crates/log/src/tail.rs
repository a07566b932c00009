//! Continuous reading of the tail of a log.

use crate::{Backoff, Error, Store};
use clock::{Clock, Moment};
use name::Offset;
use state::Page;
use std::time::Duration;

/// Options of [`follow`].
#[derive(Debug, Clone)]
pub struct TailOptions {
    /// The maximum number of records in one read.
    pub max_records: usize,
    /// How long the service waits for a record before it returns an empty page.
    pub wait: Duration,
    /// The delays after failed reads.
    pub backoff: Backoff,
}

/// A page with the times of its request and response.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedPage {
    /// The page that was read.
    pub page: Page,
    /// When the request was sent, before the service determined the tail.
    pub requested_at: Moment,
    /// When the response was received.
    pub received_at: Moment,
}

/// Reads the log from offset `from` and passes each result to `sink`.
///
/// `sink` returns the next offset to read. A failed read is passed to `sink`
/// too and is retried after a backoff. Runs until the future is dropped.
pub async fn follow(
    store: &Store,
    mut options: TailOptions,
    clock: &Clock,
    mut from: Offset,
    mut sink: impl FnMut(Result<TimedPage, Error>) -> Offset,
) {
    loop {
        let requested_at = clock.now();
        let result = store.read(from, options.max_records, options.wait).await;
        let received_at = clock.now();
        let delay = match &result {
            Ok(_) => {
                options.backoff.reset();
                None
            }
            Err(_) => Some(options.backoff.record_failure()),
        };
        from = sink(result.map(|page| TimedPage {
            page,
            requested_at,
            received_at,
        }));
        match delay {
            Some(delay) => tokio::time::sleep(delay).await,
            // Keeps a log that always has another page from starving other tasks.
            None => tokio::task::yield_now().await,
        }
    }
}
