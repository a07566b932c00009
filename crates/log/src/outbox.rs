//! Appends records and tells their callers what became of them.
//!
//! The outbox carries out a [`Writer`]'s decisions: [`Outbox::run`] appends its
//! batches, and whoever folds the log calls [`Outbox::complete`] for each record
//! that is read back. Callers wait for that, not for the append's answer.

use crate::{QueueFull, Store, Writer};
use clock::Clock;
use name::Sequence;
use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::{Notify, oneshot};

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion<T> {
    /// It was read back, with this outcome.
    Confirmed(T),
    /// It is part of a state that was adopted whole; its outcome is unknown.
    OutcomeUnknown,
}

/// A record that was queued.
#[derive(Debug)]
pub struct Submitted<T> {
    /// Its sequence.
    pub sequence: Sequence,
    /// Its decision; the sender is gone if the record was withdrawn.
    pub completion: oneshot::Receiver<Completion<T>>,
}

/// The queue, and who waits for which record.
struct Inner<T> {
    writer: Writer,
    waiters: BTreeMap<Sequence, oneshot::Sender<Completion<T>>>,
}

/// The records of one process on their way to the log.
///
/// Holds one lock, which is never held across an await.
pub struct Outbox<T> {
    inner: Mutex<Inner<T>>,
    submission: Notify,
}

impl<T> fmt::Debug for Outbox<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outbox")
            .field("undecided", &self.len())
            .finish_non_exhaustive()
    }
}

impl<T> Outbox<T> {
    /// Returns an outbox that follows the decisions of `writer`.
    pub fn new(writer: Writer) -> Self {
        Self {
            inner: Mutex::new(Inner {
                writer,
                waiters: BTreeMap::new(),
            }),
            submission: Notify::new(),
        }
    }

    /// Queues the record that `encode` makes for its sequence.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] or the error of `encode`; then nothing was queued.
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

    /// Tells what became of the record that was read back.
    pub fn complete(&self, sequence: Sequence, outcome: T) {
        let mut inner = self.lock();
        inner.writer.remove(sequence);
        if let Some(sender) = inner.waiters.remove(&sequence) {
            // A caller that no longer waits does not need the decision.
            let _ = sender.send(Completion::Confirmed(outcome));
        }
    }

    /// Tells that the state includes every record up to `through`.
    pub fn complete_through(&self, through: Sequence) {
        let mut inner = self.lock();
        for sequence in inner.writer.remove_through(through) {
            if let Some(sender) = inner.waiters.remove(&sequence) {
                // As above.
                let _ = sender.send(Completion::OutcomeUnknown);
            }
        }
    }

    /// Withdraws a record that has certainly not been appended.
    ///
    /// Returns whether it was withdrawn; then it never takes effect.
    pub fn withdraw(&self, sequence: Sequence) -> bool {
        let mut inner = self.lock();
        let is_withdrawn = inner.writer.withdraw(sequence);
        if is_withdrawn {
            inner.waiters.remove(&sequence);
        }
        is_withdrawn
    }

    /// Returns the number of records that are not yet decided.
    pub fn len(&self) -> usize {
        self.lock().writer.len()
    }

    /// Returns whether every record is decided.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends what is queued, for ever.
    ///
    /// One call at a time may run. Dropping the future during an append leaves
    /// that append's outcome unknown and ends the outbox's work for good.
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

    /// Waits until there may be a batch.
    async fn wait_for_batch(&self, clock: &Clock) {
        let wakeup = self.lock().writer.next_wakeup();
        let submission = self.submission.notified();
        match wakeup {
            // The stored permit of a submission before this call ends it too.
            None => submission.await,
            Some(at) => tokio::time::sleep(clock.now().until(at)).await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
