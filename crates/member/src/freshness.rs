//! Freshness of this node's control state.
//!
//! The age of a reading starts before the read of the log's tail was sent.
//! Nodes pass readings to each other in replies only, and the receiver adds the
//! whole time since before it sent its call. The reply was built within that
//! time, so the sum is never less than the real age, regardless of message
//! delays and clock offsets. A reading inside a call is not used: the receiver
//! cannot bound how long the call was in transit.

use crate::TailReading;
use clock::Moment;
use name::Offset;
use std::time::Duration;

/// The maximum number of stored readings; exceeds the changes of any two
/// seconds.
const MAX_READINGS: usize = 64;

/// The reachability of the nodes that this node watches.
#[common::key]
#[derive(Default)]
pub struct Reachability {
    /// The watched nodes that belong to the epoch, including dead ones.
    #[serde(rename = "known")]
    pub watched: usize,
    /// Watched nodes with a recent heartbeat.
    #[serde(rename = "heard")]
    pub reachable: usize,
    /// Watched nodes with a recent heartbeat that cannot read the log.
    pub without_log: usize,
}

impl Reachability {
    /// Returns whether a majority of the nodes, including this one, is
    /// reachable.
    pub fn has_majority(self) -> bool {
        2 * (self.reachable + 1) > self.watched + 1
    }

    /// Returns whether a majority of the nodes, including this one, cannot read
    /// the log.
    fn is_log_outage(self) -> bool {
        2 * (self.without_log + 1) > self.watched + 1
    }
}

/// Whether a node may act on its control state.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The state includes every record that the log held at a reading within
    /// the bound.
    Fresh,
    /// The log is unavailable to most nodes; the last state stays in force.
    Outage,
    /// The log holds records that this node has not folded yet.
    Behind,
    /// The node has no recent reading, and no majority reports a log outage.
    Isolated,
}

impl Status {
    /// Returns whether the node may accept new work.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Fresh | Self::Outage)
    }
}

/// A stored reading: its age at the time `at`.
#[derive(Debug, Clone, Copy)]
struct Reading {
    offset: Offset,
    age: Duration,
    at: Moment,
}

impl Reading {
    fn age(&self, now: Moment) -> Duration {
        self.age + now.since(self.at)
    }
}

/// The readings of the log's tail that a node holds.
#[derive(Debug)]
pub struct Freshness {
    bound: Duration,
    readings: Vec<Reading>,
    /// The highest offset that is known to exist.
    highest_offset: Offset,
    reads_log: bool,
}

impl Freshness {
    /// Returns an empty store; readings older than `bound` are not used.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            readings: Vec::new(),
            highest_offset: Offset::ZERO,
            reads_log: false,
        }
    }

    /// Records a successful read of the log's tail that was sent at `sent`.
    pub fn record_read(&mut self, offset: Offset, sent: Moment, now: Moment) {
        self.reads_log = true;
        self.insert(offset, Duration::ZERO, sent, now);
    }

    /// Records that a read of the log failed.
    pub fn record_failure(&mut self) {
        self.reads_log = false;
    }

    /// Adds the reading from a reply to a call that was sent at `sent`.
    pub fn add_reading(&mut self, reading: &TailReading, sent: Moment, now: Moment) {
        self.insert(reading.offset, reading.age, sent, now);
    }

    /// Records that a peer has folded the record at `offset`.
    ///
    /// A node that lacks the record is behind, even while the log is
    /// unavailable: it may be a take-out that was accepted while this node was
    /// paused or partitioned.
    pub fn record_peer_offset(&mut self, offset: Offset) {
        self.highest_offset = self.highest_offset.max(offset);
    }

    /// Returns whether the node's own last read of the log succeeded.
    pub fn reads_log(&self) -> bool {
        self.reads_log
    }

    /// Returns the youngest reading with its age at `now`, if within the bound.
    pub fn latest_reading(&self, now: Moment) -> Option<TailReading> {
        self.valid_readings(now)
            .min_by_key(|reading| (reading.age(now), std::cmp::Reverse(reading.offset)))
            .map(|reading| TailReading {
                offset: reading.offset,
                age: reading.age(now),
            })
    }

    /// Returns the status of a node that has folded the log up to `folded`.
    ///
    /// Evaluated at each use, since readings expire during a pause.
    pub fn status(&self, folded: Offset, reachability: Reachability, now: Moment) -> Status {
        if self
            .valid_readings(now)
            .any(|reading| reading.offset <= folded)
        {
            return Status::Fresh;
        }
        // The missing record may be a take-out, so even in an outage the node
        // must not act without it.
        if folded < self.highest_offset {
            Status::Behind
        } else if !self.reads_log && reachability.is_log_outage() {
            Status::Outage
        } else {
            Status::Isolated
        }
    }

    /// Returns the readings within the bound.
    fn valid_readings(&self, now: Moment) -> impl Iterator<Item = &Reading> {
        let bound = self.bound;
        self.readings
            .iter()
            .filter(move |reading| reading.age(now) <= bound)
    }

    /// Stores a reading; keeps only the youngest for each offset.
    fn insert(&mut self, offset: Offset, age: Duration, at: Moment, now: Moment) {
        let bound = self.bound;
        let new = Reading { offset, age, at };
        self.highest_offset = self.highest_offset.max(offset);
        self.readings.retain(|reading| reading.age(now) <= bound);
        match self
            .readings
            .iter_mut()
            .find(|reading| reading.offset == offset)
        {
            Some(reading) if reading.age(now) > new.age(now) => *reading = new,
            Some(_) => {}
            None => self.readings.push(new),
        }
        if self.readings.len() > MAX_READINGS {
            self.readings.remove(0);
        }
    }
}
