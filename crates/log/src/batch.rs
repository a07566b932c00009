//! The decisions of a writer: what to append, when, and again.
//!
//! The fold drops a record whose sequence is not above the writer's last one.
//! Records must therefore land in the order of their sequences, so that only
//! one append is in progress at a time, and a batch of unknown outcome is
//! appended again, with the same sequences, before any later record. A record
//! stays in the queue until it was read back.

use crate::{Backoff, Error};
use clock::Moment;
use name::{Offset, Sequence};
use std::{collections::VecDeque, fmt, sync::Arc};

/// Bounds of a writer.
#[common::value]
pub struct Limits {
    /// The most records that are not yet decided.
    pub queue_records: usize,
    /// The most bytes of records that are not yet decided.
    pub queue_bytes: usize,
    /// The most records of one append.
    pub batch_records: usize,
    /// The most bytes of one append, unless a single record has more.
    pub batch_bytes: usize,
}

impl Default for Limits {
    /// Returns 4,096 records of 8 MiB, in batches of 256 records or 1 MiB.
    fn default() -> Self {
        Self {
            queue_records: 4_096,
            queue_bytes: 8 << 20,
            batch_records: crate::proto::MAX_BATCH_RECORDS,
            batch_bytes: 1 << 20,
        }
    }
}

/// The queue is full; the record was not taken and is not on the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the queue of records to append is full")
    }
}

impl std::error::Error for QueueFull {}

/// How far a record has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It has certainly not been appended.
    Waiting,
    /// It may have been appended.
    Sent,
    /// The log acknowledged it.
    Acknowledged,
}

/// A record that is not yet decided.
#[derive(Debug, Clone)]
struct Pending {
    sequence: Sequence,
    data: Arc<str>,
    stage: Stage,
    /// The stage before the append in progress.
    previous_stage: Stage,
}

/// The records of one process that are not yet decided.
#[derive(Debug, Clone)]
pub struct Writer {
    limits: Limits,
    backoff: Backoff,
    last_sequence: Sequence,
    queue: VecDeque<Pending>,
    queued_bytes: usize,
    /// The last sequence of the append in progress.
    in_flight: Option<Sequence>,
    /// No append starts before this moment.
    next_attempt_at: Moment,
}

impl Writer {
    /// Returns a writer that has appended nothing.
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

    /// Queues the record that `encode` makes for its sequence.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] or the error of `encode`; then nothing was queued and
    /// the sequence is used for the next record.
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

    /// Returns the batch to append now, if it is time for one.
    ///
    /// The caller appends it and calls [`Writer::finish_append`] with the result;
    /// until then no other batch is given.
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

    /// Takes the result of the append in progress.
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

    /// Takes note that a record was read back; returns whether it was awaited.
    pub fn remove(&mut self, sequence: Sequence) -> bool {
        let at = self.queue.iter().position(|i| i.sequence == sequence);
        let item = at.and_then(|at| self.queue.remove(at));
        self.queued_bytes -= item.as_ref().map_or(0, |item| item.data.len());
        item.is_some()
    }

    /// Takes note that the state includes every record up to `through`.
    ///
    /// Returns the awaited ones, whose outcomes stay unknown.
    pub fn remove_through(&mut self, through: Sequence) -> Vec<Sequence> {
        let pending = self.queue.iter().map(|item| item.sequence);
        let removed: Vec<Sequence> = pending.filter(|s| *s <= through).collect();
        for sequence in &removed {
            self.remove(*sequence);
        }
        removed
    }

    /// Withdraws a record that has certainly not been appended.
    ///
    /// Returns whether it was withdrawn; one that may have been appended stays
    /// and is decided later.
    pub fn withdraw(&mut self, sequence: Sequence) -> bool {
        let is_unsent = |item: &Pending| item.sequence == sequence && item.stage == Stage::Waiting;
        self.queue.iter().any(is_unsent) && self.remove(sequence)
    }

    /// Returns when [`Writer::next_batch`] should be asked next, if at all.
    pub fn next_wakeup(&self) -> Option<Moment> {
        let has_work = self.queue.iter().any(|i| i.stage != Stage::Acknowledged);
        (has_work && self.in_flight.is_none()).then_some(self.next_attempt_at)
    }

    /// Returns the number of records that are not yet decided.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether every record is decided.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
