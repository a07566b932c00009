//! When a snapshot is due.
//!
//! Records expire, so the state must stand on the log again well before the
//! first record that no snapshot covers does. All nodes know when that is; a
//! back-off by rank makes one of them go first.

use clock::Wall;
use name::Offset;
use std::{collections::VecDeque, time::Duration};

/// The part of the retention after which a snapshot is due.
const DUE_AGE_DIVISOR: u32 = 4;

/// The part of the retention by which each rank waits longer.
const RANK_AGE_DIVISOR: u32 = 64;

/// The highest rank that waits longer than the one before it.
///
/// With the fractions above, every node has tried before three eighths of the
/// retention are over.
const MAX_DELAY_RANK: u32 = 8;

/// The number of uncovered records at which a snapshot is due, whatever their age.
const DUE_RECORDS: u64 = 8_192;

/// The number of uncovered records by which each rank waits longer.
const RANK_RECORDS: u64 = 256;

/// The least distance between noted times.
const TIME_RESOLUTION: Duration = Duration::from_secs(1);

/// The records that no snapshot on the log covers.
#[common::value]
pub struct Uncovered {
    /// Their number.
    pub records: u64,
    /// A time at or before which the log took the oldest; none if unknown.
    pub oldest: Option<Wall>,
}

/// Returns whether the node with this rank should publish a snapshot.
///
/// `retention` is how long the log keeps a record; `rank` is the node's
/// rendezvous rank among those that could publish, from 0.
pub fn is_snapshot_due(uncovered: &Uncovered, retention: Duration, rank: usize, now: Wall) -> bool {
    if uncovered.records == 0 {
        return false;
    }
    let rank = u32::try_from(rank)
        .unwrap_or(MAX_DELAY_RANK)
        .min(MAX_DELAY_RANK);
    let age = uncovered.oldest.map_or(Duration::ZERO, |at| now.since(at));
    let due_age = retention / DUE_AGE_DIVISOR + retention / RANK_AGE_DIVISOR * rank;
    let due_records = DUE_RECORDS + RANK_RECORDS * u64::from(rank);
    age >= due_age || uncovered.records >= due_records
}

/// When the log took records since the last snapshot, at a coarse resolution.
#[derive(Debug, Clone, Default)]
pub(crate) struct AppendTimes {
    times: VecDeque<(Offset, Wall)>,
}

impl AppendTimes {
    /// Notes when the log took the record at `offset`.
    pub(crate) fn record(&mut self, offset: Offset, at: Wall) {
        let last = self.times.back().map(|(_, at)| *at);
        if last.is_none_or(|last| at.since(last) >= TIME_RESOLUTION) {
            self.times.push_back((offset, at));
        }
    }

    /// Forgets times that only records up to `covered` have.
    ///
    /// An entry stands for the records up to the next entry, so it goes only
    /// when the next one is at or before the first uncovered record.
    pub(crate) fn discard_covered(&mut self, covered: Offset) {
        while self
            .times
            .get(1)
            .is_some_and(|(offset, _)| *offset <= covered.next())
        {
            self.times.pop_front();
        }
    }

    /// Returns the oldest noted time.
    pub(crate) fn oldest(&self) -> Option<Wall> {
        self.times.front().map(|(_, at)| *at)
    }
}
