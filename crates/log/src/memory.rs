//! An in-memory log with fault injection, for tests.

use crate::{Error, Store};
use clock::Clock;
use name::Offset;
use state::{Entry, Page};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::sync::Notify;

/// The faults that the log injects.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether calls fail without effect.
    pub is_down: bool,
    /// Whether calls block until this is cleared; a blocked append has no effect yet.
    pub is_stalled: bool,
    /// The number of next appends that take effect but return an unknown outcome.
    pub lost_responses: u32,
    /// The number of next appends that have no effect and return an unknown outcome.
    pub lost_appends: u32,
}

#[derive(Debug, Default)]
struct Inner {
    entries: VecDeque<Entry>,
    /// The number of records removed from the start of the log.
    expired_count: u64,
    faults: Faults,
}

impl Inner {
    fn first(&self) -> Offset {
        Offset(self.expired_count + 1)
    }

    fn tail(&self) -> Offset {
        Offset(self.expired_count + 1 + self.entries.len() as u64)
    }
}

/// An in-memory log; clones share the records.
#[derive(Debug, Clone)]
pub struct Memory {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    clock: Clock,
}

impl Memory {
    /// Returns an empty log that timestamps its records with `clock`.
    pub fn new(clock: Clock) -> Self {
        Self {
            inner: Arc::default(),
            changed: Arc::default(),
            clock,
        }
    }

    /// Returns a store that calls this log.
    pub fn store(&self) -> Store {
        let (appender, reader) = (self.clone(), self.clone());
        Store::new(
            move |records: Arc<[Arc<str>]>| {
                let log = appender.clone();
                async move { log.append(&records).await }
            },
            move |from, max, wait| {
                let log = reader.clone();
                async move { log.read(from, max, wait).await }
            },
        )
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Removes the records before offset `first`.
    pub fn expire(&self, first: Offset) {
        let mut inner = self.lock();
        while inner.first() < first && inner.entries.pop_front().is_some() {
            inner.expired_count += 1;
        }
    }

    /// Returns the offset of the next record to be appended.
    pub fn tail(&self) -> Offset {
        self.lock().tail()
    }

    /// Returns the records that are not expired.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().entries.iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the log is stalled.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is down.
    async fn wait_until_available(&self) -> Result<(), Error> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let faults = self.lock().faults.clone();
            if faults.is_down {
                return Err(Error::not_appended("the in-memory log is down"));
            }
            if !faults.is_stalled {
                return Ok(());
            }
            changed.await;
        }
    }

    async fn append(&self, records: &[Arc<str>]) -> Result<Offset, Error> {
        self.wait_until_available().await?;
        let mut inner = self.lock();
        if inner.faults.lost_appends > 0 {
            inner.faults.lost_appends -= 1;
            return Err(Error::effect_unknown("append lost before its effect"));
        }
        let first = inner.tail();
        for data in records {
            let entry = Entry {
                offset: inner.tail(),
                at: self.clock.wall(),
                data: Arc::clone(data),
            };
            inner.entries.push_back(entry);
        }
        self.changed.notify_waiters();
        if inner.faults.lost_responses > 0 {
            inner.faults.lost_responses -= 1;
            return Err(Error::effect_unknown("response lost after the append"));
        }
        Ok(first)
    }

    async fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Page, Error> {
        self.wait_until_available().await?;
        let changed = self.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if self.tail() <= from {
            // The page is the same whether a record arrived or the wait timed out.
            let _ = tokio::time::timeout(wait, changed).await;
            self.wait_until_available().await?;
        }
        let inner = self.lock();
        let skip = from.0.saturating_sub(inner.first().0);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        Ok(Page {
            first: inner.first(),
            tail: inner.tail(),
            entries: inner.entries.iter().skip(skip).take(max).cloned().collect(),
        })
    }
}
