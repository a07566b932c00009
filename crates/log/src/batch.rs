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
pub struct Full;

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the queue of records to append is full")
    }
}

impl std::error::Error for Full {}

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
struct Item {
    sequence: Sequence,
    data: Arc<str>,
    stage: Stage,
    /// The stage before the append in progress.
    before: Stage,
}

/// The records of one process that are not yet decided.
#[derive(Debug, Clone)]
pub struct Writer {
    limits: Limits,
    backoff: Backoff,
    last: Sequence,
    queue: VecDeque<Item>,
    bytes: usize,
    /// The last sequence of the append in progress.
    in_flight: Option<Sequence>,
    /// No append starts before this moment.
    not_before: Moment,
}

impl Writer {
    /// Returns a writer that has appended nothing.
    pub fn new(limits: Limits, backoff: Backoff) -> Self {
        Self {
            limits,
            backoff,
            last: Sequence::default(),
            queue: VecDeque::new(),
            bytes: 0,
            in_flight: None,
            not_before: Moment::START,
        }
    }

    /// Queues the record that `encode` makes for its sequence.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] or the error of `encode`; then nothing was queued and
    /// the sequence is used for the next record.
    pub fn submit<E: From<Full>>(
        &mut self,
        encode: impl FnOnce(Sequence) -> Result<Arc<str>, E>,
    ) -> Result<Sequence, E> {
        if self.queue.len() >= self.limits.queue_records {
            return Err(Full.into());
        }
        let sequence = Sequence(self.last.0 + 1);
        let data = encode(sequence)?;
        let bytes = self.bytes + data.len();
        if bytes > self.limits.queue_bytes && !self.queue.is_empty() {
            return Err(Full.into());
        }
        self.bytes = bytes;
        self.last = sequence;
        self.queue.push_back(Item {
            sequence,
            data,
            stage: Stage::Waiting,
            before: Stage::Waiting,
        });
        Ok(sequence)
    }

    /// Returns the batch to append now, if it is time for one.
    ///
    /// The caller appends it and calls [`Writer::answered`] with the result;
    /// until then no other batch is given.
    pub fn batch(&mut self, now: Moment) -> Option<Vec<Arc<str>>> {
        if self.in_flight.is_some() || now < self.not_before {
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
            item.before = item.stage;
            item.stage = Stage::Sent;
            self.in_flight = Some(item.sequence);
            records.push(Arc::clone(&item.data));
        }
        (!records.is_empty()).then_some(records)
    }

    /// Takes the result of the append in progress.
    pub fn answered(&mut self, result: &Result<Offset, Error>, now: Moment) {
        let Some(through) = self.in_flight.take() else {
            return;
        };
        let is_not_appended = result.as_ref().is_err_and(Error::is_not_appended);
        let batch = self.queue.iter_mut().filter(|i| i.sequence <= through);
        for item in batch.filter(|item| item.stage == Stage::Sent) {
            if result.is_ok() {
                item.stage = Stage::Acknowledged;
            } else if is_not_appended {
                item.stage = item.before;
            }
        }
        if result.is_ok() {
            self.backoff.succeed();
        } else {
            self.not_before = now + self.backoff.fail();
        }
    }

    /// Takes note that a record was read back; returns whether it was awaited.
    pub fn decided(&mut self, sequence: Sequence) -> bool {
        let at = self.queue.iter().position(|i| i.sequence == sequence);
        let item = at.and_then(|at| self.queue.remove(at));
        self.bytes -= item.as_ref().map_or(0, |item| item.data.len());
        item.is_some()
    }

    /// Takes note that the state includes every record up to `through`.
    ///
    /// Returns the awaited ones, whose outcomes stay unknown.
    pub fn passed(&mut self, through: Sequence) -> Vec<Sequence> {
        let awaited = self.queue.iter().map(|item| item.sequence);
        let passed: Vec<Sequence> = awaited.filter(|s| *s <= through).collect();
        for sequence in &passed {
            self.decided(*sequence);
        }
        passed
    }

    /// Withdraws a record that has certainly not been appended.
    ///
    /// Returns whether it was withdrawn; one that may have been appended stays
    /// and is decided later.
    pub fn withdraw(&mut self, sequence: Sequence) -> bool {
        let is_unsent = |item: &Item| item.sequence == sequence && item.stage == Stage::Waiting;
        self.queue.iter().any(is_unsent) && self.decided(sequence)
    }

    /// Returns when [`Writer::batch`] should be asked next, if at all.
    pub fn wake(&self) -> Option<Moment> {
        let has_work = self.queue.iter().any(|i| i.stage != Stage::Acknowledged);
        (has_work && self.in_flight.is_none()).then_some(self.not_before)
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
