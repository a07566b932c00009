//! Whether this node's state is young enough to act on.
//!
//! A voucher's age starts before the reading of the log's tail was asked for.
//! A node passes vouchers on in replies alone, and the receiver adds all the
//! time since before it sent its call. The reply was made within that time, so
//! the sum is never less than the real age, however long either message took
//! and whatever the clocks show. A voucher inside a call is not used: nothing
//! tells how long the call was under way.

use crate::TailReading;
use clock::Moment;
use name::Offset;
use std::time::Duration;

/// The number of vouchers held; more than the changes of any two seconds.
const MAX_READINGS: usize = 64;

/// What a node sees of the nodes that it watches.
#[common::key]
#[derive(Default)]
pub struct Reachability {
    /// The nodes that it watches, among those of the epoch, dead ones included.
    #[serde(rename = "known")]
    pub watched: usize,
    /// Those heard lately.
    #[serde(rename = "heard")]
    pub reachable: usize,
    /// Those heard lately that cannot read the log.
    pub without_log: usize,
}

impl Reachability {
    /// Returns whether most of the nodes, this one included, are heard.
    pub fn has_majority(self) -> bool {
        2 * (self.reachable + 1) > self.watched + 1
    }

    /// Returns whether most of the nodes, this one included, miss the log.
    fn is_log_outage(self) -> bool {
        2 * (self.without_log + 1) > self.watched + 1
    }
}

/// Whether a node may act on its state.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The state includes all that was on the log a moment ago.
    Fresh,
    /// The log is down for most nodes; the last state stays in force.
    Outage,
    /// The log holds records that this node could not fold yet.
    Behind,
    /// The node reaches neither the log nor most nodes.
    Isolated,
}

impl Status {
    /// Returns whether the node may take new work.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Fresh | Self::Outage)
    }
}

/// A voucher and when its age was taken.
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

/// The vouchers that a node holds.
#[derive(Debug)]
pub struct Freshness {
    bound: Duration,
    readings: Vec<Reading>,
    /// The highest offset that was ever vouched for.
    highest_offset: Offset,
    reads_log: bool,
}

impl Freshness {
    /// Returns a node without vouchers; one older than `bound` does not count.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            readings: Vec::new(),
            highest_offset: Offset::ZERO,
            reads_log: false,
        }
    }

    /// Takes a reading of the log's tail that was asked for at `sent`.
    pub fn record_read(&mut self, offset: Offset, sent: Moment, now: Moment) {
        self.reads_log = true;
        self.insert(offset, Duration::ZERO, sent, now);
    }

    /// Takes note that a reading of the log failed.
    pub fn record_failure(&mut self) {
        self.reads_log = false;
    }

    /// Takes the voucher in the reply to a call that was sent at `sent`.
    pub fn add_reading(&mut self, reading: &TailReading, sent: Moment, now: Moment) {
        self.insert(reading.offset, reading.age, sent, now);
    }

    /// Takes note that a peer has folded the record at `offset`.
    ///
    /// A node that lacks it is behind, also in an outage of the log: it may be
    /// a take-out that was accepted while this node was paused or cut off.
    pub fn record_peer_offset(&mut self, offset: Offset) {
        self.highest_offset = self.highest_offset.max(offset);
    }

    /// Returns whether the node's own last reading of the log succeeded.
    pub fn reads_log(&self) -> bool {
        self.reads_log
    }

    /// Returns the youngest voucher with its age at `now`, if it still counts.
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
    /// Asked at each use: after a pause the same vouchers are too old.
    pub fn status(&self, folded: Offset, reachability: Reachability, now: Moment) -> Status {
        if self
            .valid_readings(now)
            .any(|reading| reading.offset <= folded)
        {
            return Status::Fresh;
        }
        // A record known to exist may be a take-out: an outage does not excuse
        // acting without it.
        if folded < self.highest_offset {
            Status::Behind
        } else if !self.reads_log && reachability.is_log_outage() {
            Status::Outage
        } else {
            Status::Isolated
        }
    }

    /// Returns the vouchers that are not too old.
    fn valid_readings(&self, now: Moment) -> impl Iterator<Item = &Reading> {
        let bound = self.bound;
        self.readings
            .iter()
            .filter(move |reading| reading.age(now) <= bound)
    }

    /// Holds a voucher; of one offset only the youngest.
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
