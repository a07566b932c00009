//! The queue of records to append, with batching and retries.
//!
//! The state machine that folds the log drops a record whose sequence number
//! is not above the writer's previous one. Records must therefore reach the
//! log in the order of their sequence numbers. For this reason only one append
//! is in progress at a time, and a batch whose outcome is unknown is appended
//! again, with the same sequence numbers, before any later record. A record
//! stays in the queue until it is read back from the log.
//!
//! The code does no I/O; [`crate::Outbox`] runs the appends.

use crate::{Backoff, Error};
use clock::Moment;
use name::{Offset, Sequence};
use std::{collections::VecDeque, fmt, sync::Arc};

/// Limits of a [`Writer`].
#[common::value]
pub struct Limits {
    /// The maximum number of pending records.
    pub queue_records: usize,
    /// The maximum total size of pending records, in bytes.
    pub queue_bytes: usize,
    /// The maximum number of records in one append.
    pub batch_records: usize,
    /// The maximum size of one append, in bytes, unless a single record is larger.
    pub batch_bytes: usize,
}

impl Default for Limits {
    /// Returns a queue of 4,096 records or 8 MiB, with batches of 256 records or 1 MiB.
    fn default() -> Self {
        Self {
            queue_records: 4_096,
            queue_bytes: 8 << 20,
            batch_records: crate::proto::MAX_BATCH_RECORDS,
            batch_bytes: 1 << 20,
        }
    }
}

/// The queue is full; the record was not queued and will not be appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the queue of records to append is full")
    }
}

impl std::error::Error for QueueFull {}

/// The progress of a pending record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Certainly not appended.
    Waiting,
    /// Possibly appended.
    Sent,
    /// Acknowledged by the log.
    Acknowledged,
}

/// A record that was not read back yet.
#[derive(Debug, Clone)]
struct Pending {
    sequence: Sequence,
    data: Arc<str>,
    stage: Stage,
    /// The stage before the append in progress, restored if that append had no effect.
    previous_stage: Stage,
}

/// The pending records of one process: those not read back from the log yet.
#[derive(Debug, Clone)]
pub struct Writer {
    limits: Limits,
    backoff: Backoff,
    last_sequence: Sequence,
    queue: VecDeque<Pending>,
    queued_bytes: usize,
    /// The last sequence number of the append in progress.
    in_flight: Option<Sequence>,
    /// The earliest time of the next append.
    next_attempt_at: Moment,
}

impl Writer {
    /// Returns a writer with an empty queue.
    pub fn new(limits: Limits, backoff: Backoff) -> Self {
        Self {
            limits,
            backoff,
            last_sequence: Sequence::default(),
            queue: VecDeque::new(),
            queued_bytes: 0,
            in_flight: None,
            next_attempt_at: Moment::START,
        }
    }

    /// Queues the record that `encode` returns for the next sequence number.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] or the error of `encode`. In both cases nothing is
    /// queued and the next record gets the same sequence number.
    pub fn submit<E: From<QueueFull>>(
        &mut self,
        encode: impl FnOnce(Sequence) -> Result<Arc<str>, E>,
    ) -> Result<Sequence, E> {
        if self.queue.len() >= self.limits.queue_records {
            return Err(QueueFull.into());
        }
        let sequence = Sequence(self.last_sequence.0 + 1);
        let data = encode(sequence)?;
        let bytes = self.queued_bytes + data.len();
        if bytes > self.limits.queue_bytes && !self.queue.is_empty() {
            return Err(QueueFull.into());
        }
        self.queued_bytes = bytes;
        self.last_sequence = sequence;
        self.queue.push_back(Pending {
            sequence,
            data,
            stage: Stage::Waiting,
            previous_stage: Stage::Waiting,
        });
        Ok(sequence)
    }

    /// Returns the batch to append now, if an append is due.
    ///
    /// The caller appends it and calls [`Writer::finish_append`] with the
    /// result. Until then this returns `None`.
    pub fn next_batch(&mut self, now: Moment) -> Option<Vec<Arc<str>>> {
        if self.in_flight.is_some() || now < self.next_attempt_at {
            return None;
        }
        let mut records = Vec::new();
        let mut bytes = 0;
        for item in &mut self.queue {
            if item.stage == Stage::Acknowledged {
                continue;
            }
            bytes += item.data.len();
            let is_full = records.len() >= self.limits.batch_records;
            if is_full || (bytes > self.limits.batch_bytes && !records.is_empty()) {
                break;
            }
            item.previous_stage = item.stage;
            item.stage = Stage::Sent;
            self.in_flight = Some(item.sequence);
            records.push(Arc::clone(&item.data));
        }
        (!records.is_empty()).then_some(records)
    }

    /// Applies the result of the append in progress.
    pub fn finish_append(&mut self, result: &Result<Offset, Error>, now: Moment) {
        let Some(through) = self.in_flight.take() else {
            return;
        };
        let is_not_appended = result.as_ref().is_err_and(Error::is_not_appended);
        let sent = self.queue.iter_mut().filter(|i| i.sequence <= through);
        for item in sent.filter(|item| item.stage == Stage::Sent) {
            if result.is_ok() {
                item.stage = Stage::Acknowledged;
            } else if is_not_appended {
                item.stage = item.previous_stage;
            }
        }
        if result.is_ok() {
            self.backoff.reset();
        } else {
            self.next_attempt_at = now + self.backoff.record_failure();
        }
    }

    /// Removes a record that was read back; returns whether it was pending.
    pub fn remove(&mut self, sequence: Sequence) -> bool {
        let at = self.queue.iter().position(|i| i.sequence == sequence);
        let item = at.and_then(|at| self.queue.remove(at));
        self.queued_bytes -= item.as_ref().map_or(0, |item| item.data.len());
        item.is_some()
    }

    /// Removes the pending records with sequence numbers up to `through`.
    ///
    /// Called when a snapshot of the state that includes these records was
    /// installed. Returns the removed ones, whose outcomes remain unknown.
    pub fn remove_through(&mut self, through: Sequence) -> Vec<Sequence> {
        let pending = self.queue.iter().map(|item| item.sequence);
        let removed: Vec<Sequence> = pending.filter(|s| *s <= through).collect();
        for sequence in &removed {
            self.remove(*sequence);
        }
        removed
    }

    /// Removes a record that was certainly not appended.
    ///
    /// Returns whether it was removed. A record that may have been appended
    /// stays pending until it is read back.
    pub fn withdraw(&mut self, sequence: Sequence) -> bool {
        let is_unsent = |item: &Pending| item.sequence == sequence && item.stage == Stage::Waiting;
        self.queue.iter().any(is_unsent) && self.remove(sequence)
    }

    /// Returns when to call [`Writer::next_batch`] again, or `None` if nothing is due.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let has_work = self.queue.iter().any(|i| i.stage != Stage::Acknowledged);
        (has_work && self.in_flight.is_none()).then_some(self.next_attempt_at)
    }

    /// Returns the number of pending records.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no record is pending.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
