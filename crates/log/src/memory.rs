//! A log in memory with fault switches, for tests.

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

/// The faults of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    /// Whether calls are refused without effect.
    pub is_down: bool,
    /// Whether calls get no answer until this ends; appends have no effect before.
    pub is_stalled: bool,
    /// The number of coming appends whose answer is lost after the effect.
    pub lost_responses: u32,
    /// The number of coming appends that are lost before the effect, unknown to the caller.
    pub lost_appends: u32,
}

#[derive(Debug, Default)]
struct Inner {
    entries: VecDeque<Entry>,
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

/// A log in memory; clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    clock: Clock,
}

impl Memory {
    /// Returns an empty log that dates its records with `clock`.
    pub fn new(clock: Clock) -> Self {
        Self {
            inner: Arc::default(),
            changed: Arc::default(),
            clock,
        }
    }

    /// Returns the log's calls.
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

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Removes records before `first`.
    pub fn expire(&self, first: Offset) {
        let mut inner = self.lock();
        while inner.first() < first && inner.entries.pop_front().is_some() {
            inner.expired_count += 1;
        }
    }

    /// Returns the offset that the next record takes.
    pub fn tail(&self) -> Offset {
        self.lock().tail()
    }

    /// Returns the records that are kept.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().entries.iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the log answers calls.
    async fn wait_until_available(&self) -> Result<(), Error> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let faults = self.lock().faults.clone();
            if faults.is_down {
                return Err(Error::not_appended("down"));
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
            return Err(Error::effect_unknown("append lost"));
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
            return Err(Error::effect_unknown("answer lost"));
        }
        Ok(first)
    }

    async fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Page, Error> {
        self.wait_until_available().await?;
        let changed = self.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if self.tail() <= from {
            // Whether a record came or the time is up, the page says.
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
