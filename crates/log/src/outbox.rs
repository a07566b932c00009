//! Appends records and reports their outcomes to the callers.
//!
//! [`Outbox::run`] appends the batches of a [`Writer`]. The task that folds the
//! log calls [`Outbox::complete`] for each record of this process that it reads
//! back. Callers wait for this completion, not for the response to the append.

use crate::{QueueFull, Store, Writer};
use clock::Clock;
use name::Sequence;
use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::{Notify, oneshot};

/// The completion of a submitted record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion<T> {
    /// The record was read back and folded with this outcome.
    Confirmed(T),
    /// The record is part of an installed snapshot of the state, which does not include outcomes.
    OutcomeUnknown,
}

/// A queued record.
#[derive(Debug)]
pub struct Submitted<T> {
    /// The sequence number of the record.
    pub sequence: Sequence,
    /// The completion of the record; closed without a value if the record is withdrawn.
    pub completion: oneshot::Receiver<Completion<T>>,
}

/// The queue, and the callers that wait for each record.
struct Inner<T> {
    writer: Writer,
    waiters: BTreeMap<Sequence, oneshot::Sender<Completion<T>>>,
}

/// The queue of one process's records, with a completion for each record.
///
/// Has a single lock, which is never held across an await.
pub struct Outbox<T> {
    inner: Mutex<Inner<T>>,
    submission: Notify,
}

impl<T> fmt::Debug for Outbox<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outbox")
            .field("pending", &self.len())
            .finish_non_exhaustive()
    }
}

impl<T> Outbox<T> {
    /// Returns an outbox that appends the batches of `writer`.
    pub fn new(writer: Writer) -> Self {
        Self {
            inner: Mutex::new(Inner {
                writer,
                waiters: BTreeMap::new(),
            }),
            submission: Notify::new(),
        }
    }

    /// Queues the record that `encode` returns for the next sequence number.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] or the error of `encode`; in both cases nothing is queued.
    pub fn submit<E: From<QueueFull>>(
        &self,
        encode: impl FnOnce(Sequence) -> Result<Arc<str>, E>,
    ) -> Result<Submitted<T>, E> {
        let (sender, completion) = oneshot::channel();
        let mut inner = self.lock();
        let sequence = inner.writer.submit(encode)?;
        inner.waiters.insert(sequence, sender);
        drop(inner);
        self.submission.notify_one();
        Ok(Submitted {
            sequence,
            completion,
        })
    }

    /// Completes the record that was read back, with its outcome.
    pub fn complete(&self, sequence: Sequence, outcome: T) {
        let mut inner = self.lock();
        inner.writer.remove(sequence);
        if let Some(sender) = inner.waiters.remove(&sequence) {
            // Fails only if the caller stopped waiting.
            let _ = sender.send(Completion::Confirmed(outcome));
        }
    }

    /// Completes the records up to `through`, which an installed snapshot includes.
    pub fn complete_through(&self, through: Sequence) {
        let mut inner = self.lock();
        for sequence in inner.writer.remove_through(through) {
            if let Some(sender) = inner.waiters.remove(&sequence) {
                // Fails only if the caller stopped waiting.
                let _ = sender.send(Completion::OutcomeUnknown);
            }
        }
    }

    /// Removes a record that was certainly not appended.
    ///
    /// Returns whether it was removed, in which case it never takes effect.
    pub fn withdraw(&self, sequence: Sequence) -> bool {
        let mut inner = self.lock();
        let is_withdrawn = inner.writer.withdraw(sequence);
        if is_withdrawn {
            inner.waiters.remove(&sequence);
        }
        is_withdrawn
    }

    /// Returns the number of pending records.
    pub fn len(&self) -> usize {
        self.lock().writer.len()
    }

    /// Returns whether no record is pending.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends queued records until the future is dropped.
    ///
    /// At most one call may run at a time. Dropping the future during an append
    /// leaves the outcome of that append unknown, and later calls append
    /// nothing.
    pub async fn run(&self, store: &Store, clock: &Clock) {
        loop {
            let batch = self.lock().writer.next_batch(clock.now());
            if let Some(records) = batch {
                let result = store.append(&records).await;
                self.lock().writer.finish_append(&result, clock.now());
            } else {
                self.wait_for_batch(clock).await;
            }
        }
    }

    /// Waits until a batch may be due.
    async fn wait_for_batch(&self, clock: &Clock) {
        let wakeup = self.lock().writer.next_wakeup();
        let submission = self.submission.notified();
        match wakeup {
            // `Notify` stores a permit, so a submission before this call is not missed.
            None => submission.await,
            Some(at) => tokio::time::sleep(clock.now().until(at)).await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
