//! The append and read calls of a log, as closures.

use crate::Error;
use name::Offset;
use state::Page;
use std::{fmt, pin::Pin, sync::Arc, time::Duration};

/// The future of a call.
type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send>>;

/// The closure that appends records.
type AppendFn = dyn Fn(Arc<[Arc<str>]>) -> CallFuture<Offset> + Send + Sync;

/// The closure that reads records: first offset, maximum count, maximum wait.
type ReadFn = dyn Fn(Offset, usize, Duration) -> CallFuture<Page> + Send + Sync;

/// One stream of an append-only log.
#[derive(Clone)]
pub struct Store {
    append: Arc<AppendFn>,
    read: Arc<ReadFn>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}

impl Store {
    /// Returns a store that calls `append` and `read`.
    pub fn new<A, R>(
        append: impl Fn(Arc<[Arc<str>]>) -> A + Send + Sync + 'static,
        read: impl Fn(Offset, usize, Duration) -> R + Send + Sync + 'static,
    ) -> Self
    where
        A: Future<Output = Result<Offset, Error>> + Send + 'static,
        R: Future<Output = Result<Page, Error>> + Send + 'static,
    {
        Self {
            append: Arc::new(move |records| Box::pin(append(records))),
            read: Arc::new(move |from, max, wait| Box::pin(read(from, max, wait))),
        }
    }

    /// Appends records and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the records may have been appended.
    pub async fn append(&self, records: &[Arc<str>]) -> Result<Offset, Error> {
        (self.append)(records.into()).await
    }

    /// Reads up to `max` records starting at `from`; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error if the log could not be read.
    pub async fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Page, Error> {
        (self.read)(from, max, wait).await
    }
}
