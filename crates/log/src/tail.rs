//! Reading the tail of a log for ever.

use crate::{Backoff, Error, Store};
use clock::{Clock, Moment};
use name::Offset;
use state::Page;
use std::time::Duration;

/// How the tail is read.
#[derive(Debug, Clone)]
pub struct TailOptions {
    /// The most records of one read.
    pub max_records: usize,
    /// How long the service waits for a record before it answers without one.
    pub wait: Duration,
    /// The pauses after failed reads.
    pub backoff: Backoff,
}

/// A page with the time of its reading.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedPage {
    /// The page.
    pub page: Page,
    /// When the service was asked; the tail was true at some later moment.
    pub requested_at: Moment,
    /// When the answer was there.
    pub received_at: Moment,
}

/// Reads the log from `from` on and hands each result to `sink`.
///
/// `sink` returns the offset to read next. Failed reads are handed over too
/// and repeated after a back-off. Runs until the future is dropped.
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
            // A log that always has another page must not starve other tasks.
            None => tokio::task::yield_now().await,
        }
    }
}
