//! Reading the tail of a log for ever.

use crate::{Backoff, Error, Store};
use clock::{Clock, Moment};
use name::Offset;
use state::Page;
use std::time::Duration;

/// How the tail is read.
#[derive(Debug, Clone)]
pub struct Tail {
    /// The most records of one read.
    pub max_records: usize,
    /// How long the service waits for a record before it answers without one.
    pub wait: Duration,
    /// The pauses after failed reads.
    pub backoff: Backoff,
}

/// A page with the time of its reading.
#[derive(Debug, Clone, PartialEq)]
pub struct Read {
    /// The page.
    pub page: Page,
    /// When the service was asked; the tail was true at some later moment.
    pub asked: Moment,
    /// When the answer was there.
    pub answered: Moment,
}

/// Reads the log from `from` on and hands each result to `sink`.
///
/// `sink` returns the offset to read next. Failed reads are handed over too
/// and repeated after a back-off. Runs until the future is dropped.
pub async fn follow(
    store: &Store,
    mut tail: Tail,
    clock: &Clock,
    mut from: Offset,
    mut sink: impl FnMut(Result<Read, Error>) -> Offset,
) {
    loop {
        let asked = clock.now();
        let result = store.read(from, tail.max_records, tail.wait).await;
        let answered = clock.now();
        let pause = match &result {
            Ok(_) => {
                tail.backoff.succeed();
                None
            }
            Err(_) => Some(tail.backoff.fail()),
        };
        from = sink(result.map(|page| Read {
            page,
            asked,
            answered,
        }));
        match pause {
            Some(pause) => tokio::time::sleep(pause).await,
            // A log that always has another page must not starve other tasks.
            None => tokio::task::yield_now().await,
        }
    }
}
