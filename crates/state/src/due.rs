//! Scheduling of snapshots.
//!
//! Records expire, so a new snapshot must be on the log well before the first
//! record that no snapshot covers expires. All nodes can compute that time; a
//! delay by rank makes one node publish first.

use clock::WallTime;
use name::Offset;
use std::{collections::VecDeque, time::Duration};

/// The fraction of the retention (one part in 4) after which a snapshot is due.
const DUE_AGE_DIVISOR: u32 = 4;

/// The fraction of the retention (one part in 64) by which each rank waits
/// longer.
const RANK_AGE_DIVISOR: u32 = 64;

/// The highest rank that adds a delay.
///
/// With the divisors above, every node has tried before three eighths of the
/// retention have passed.
const MAX_DELAY_RANK: u32 = 8;

/// The number of uncovered records at which a snapshot is due, regardless of
/// their age.
const DUE_RECORDS: u64 = 8_192;

/// The number of uncovered records by which each rank waits longer.
const RANK_DELAY_RECORDS: u64 = 256;

/// The minimum interval between recorded times.
const TIME_RESOLUTION: Duration = Duration::from_secs(1);

/// The records that no snapshot on the log covers.
#[common::value]
pub struct Uncovered {
    /// The number of records.
    pub records: u64,
    /// A time at or before the append of the oldest record; none if unknown.
    pub oldest: Option<WallTime>,
}

/// Returns whether the node with this rank should publish a snapshot.
///
/// `retention` is how long the log keeps a record. `rank` is the node's
/// rendezvous rank, from 0, among the nodes that could publish.
pub fn is_snapshot_due(
    uncovered: &Uncovered,
    retention: Duration,
    rank: usize,
    now: WallTime,
) -> bool {
    if uncovered.records == 0 {
        return false;
    }
    let rank = u32::try_from(rank)
        .unwrap_or(MAX_DELAY_RANK)
        .min(MAX_DELAY_RANK);
    let age = uncovered.oldest.map_or(Duration::ZERO, |at| now.since(at));
    let due_age = retention / DUE_AGE_DIVISOR + retention / RANK_AGE_DIVISOR * rank;
    let due_records = DUE_RECORDS + RANK_DELAY_RECORDS * u64::from(rank);
    age >= due_age || uncovered.records >= due_records
}

/// Append times of the records since the last snapshot, at a coarse resolution.
#[derive(Debug, Clone, Default)]
pub(crate) struct AppendTimes {
    times: VecDeque<(Offset, WallTime)>,
}

impl AppendTimes {
    /// Records when the record at `offset` was appended to the log.
    pub(crate) fn record(&mut self, offset: Offset, at: WallTime) {
        let last = self.times.back().map(|(_, at)| *at);
        if last.is_none_or(|last| at.since(last) >= TIME_RESOLUTION) {
            self.times.push_back((offset, at));
        }
    }

    /// Discards times that apply only to records up to `covered`.
    ///
    /// An entry applies to all records before the next entry, so it is
    /// discarded only if the next entry is at or before the first uncovered
    /// record.
    pub(crate) fn discard_covered(&mut self, covered: Offset) {
        while self
            .times
            .get(1)
            .is_some_and(|(offset, _)| *offset <= covered.next())
        {
            self.times.pop_front();
        }
    }

    /// Returns the oldest recorded time.
    pub(crate) fn oldest(&self) -> Option<WallTime> {
        self.times.front().map(|(_, at)| *at)
    }
}
