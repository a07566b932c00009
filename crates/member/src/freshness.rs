//! Whether this node's state is young enough to act on.
//!
//! A voucher's age starts before the reading of the log's tail was asked for.
//! A node passes vouchers on in replies alone, and the receiver adds all the
//! time since before it sent its call. The reply was made within that time, so
//! the sum is never less than the real age, however long either message took
//! and whatever the clocks show. A voucher inside a call is not used: nothing
//! tells how long the call was under way.

use crate::Voucher;
use clock::Moment;
use name::Offset;
use std::time::Duration;

/// The number of vouchers held; more than the changes of any two seconds.
const MAX_VOUCHERS: usize = 64;

/// What a node sees of the nodes that it watches.
#[common::key]
#[derive(Default)]
pub struct Sight {
    /// The nodes that it watches, among those of the epoch, dead ones included.
    pub known: usize,
    /// Those heard lately.
    pub heard: usize,
    /// Those heard lately that cannot read the log.
    pub without_log: usize,
}

impl Sight {
    /// Returns whether most of the nodes, this one included, are heard.
    pub fn is_most(self) -> bool {
        2 * (self.heard + 1) > self.known + 1
    }

    /// Returns whether most of the nodes, this one included, miss the log.
    fn is_outage(self) -> bool {
        2 * (self.without_log + 1) > self.known + 1
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
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Fresh | Self::Outage)
    }
}

/// A voucher and when its age was taken.
#[derive(Debug, Clone, Copy)]
struct Held {
    offset: Offset,
    age: Duration,
    at: Moment,
}

impl Held {
    fn age(&self, now: Moment) -> Duration {
        self.age + now.since(self.at)
    }
}

/// The vouchers that a node holds.
#[derive(Debug)]
pub struct Freshness {
    bound: Duration,
    held: Vec<Held>,
    /// The highest offset that was ever vouched for.
    highest: Offset,
    reads_log: bool,
}

impl Freshness {
    /// Returns a node without vouchers; one older than `bound` does not count.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            held: Vec::new(),
            highest: Offset::ZERO,
            reads_log: false,
        }
    }

    /// Takes a reading of the log's tail that was asked for at `sent`.
    pub fn read(&mut self, offset: Offset, sent: Moment, now: Moment) {
        self.reads_log = true;
        self.hold(offset, Duration::ZERO, sent, now);
    }

    /// Takes note that a reading of the log failed.
    pub fn failed(&mut self) {
        self.reads_log = false;
    }

    /// Takes the voucher in the reply to a call that was sent at `sent`.
    pub fn learn(&mut self, voucher: &Voucher, sent: Moment, now: Moment) {
        self.hold(voucher.offset, voucher.age, sent, now);
    }

    /// Takes note that a peer has folded the record at `offset`.
    ///
    /// A node that lacks it is behind, also in an outage of the log: it may be
    /// a take-out that was accepted while this node was paused or cut off.
    pub fn exists(&mut self, offset: Offset) {
        self.highest = self.highest.max(offset);
    }

    /// Returns whether the node's own last reading of the log succeeded.
    pub fn reads_log(&self) -> bool {
        self.reads_log
    }

    /// Returns the youngest voucher with its age at `now`, if it still counts.
    pub fn voucher(&self, now: Moment) -> Option<Voucher> {
        self.fresh(now)
            .min_by_key(|held| (held.age(now), std::cmp::Reverse(held.offset)))
            .map(|held| Voucher {
                offset: held.offset,
                age: held.age(now),
            })
    }

    /// Returns the status of a node that has folded the log up to `folded`.
    ///
    /// Asked at each use: after a pause the same vouchers are too old.
    pub fn status(&self, folded: Offset, sight: Sight, now: Moment) -> Status {
        if self.fresh(now).any(|held| held.offset <= folded) {
            return Status::Fresh;
        }
        // A record known to exist may be a take-out: an outage does not excuse
        // acting without it.
        if folded < self.highest {
            Status::Behind
        } else if !self.reads_log && sight.is_outage() {
            Status::Outage
        } else {
            Status::Isolated
        }
    }

    /// Returns the vouchers that are not too old.
    fn fresh(&self, now: Moment) -> impl Iterator<Item = &Held> {
        let bound = self.bound;
        self.held.iter().filter(move |held| held.age(now) <= bound)
    }

    /// Holds a voucher; of one offset only the youngest.
    fn hold(&mut self, offset: Offset, age: Duration, at: Moment, now: Moment) {
        let bound = self.bound;
        let new = Held { offset, age, at };
        self.highest = self.highest.max(offset);
        self.held.retain(|held| held.age(now) <= bound);
        match self.held.iter_mut().find(|held| held.offset == offset) {
            Some(held) if held.age(now) > new.age(now) => *held = new,
            Some(_) => {}
            None => self.held.push(new),
        }
        if self.held.len() > MAX_VOUCHERS {
            self.held.remove(0);
        }
    }
}
