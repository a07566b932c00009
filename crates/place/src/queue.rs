//! Requests that wait for a target.

use clock::Moment;
use std::{cmp::Ordering, time::Duration};

/// The order of requests that wait.
#[common::plain]
#[derive(Copy, Eq)]
pub struct Rank {
    /// The account's or route's priority; zero goes first.
    pub priority: u32,
    /// When the answer should have begun.
    pub due: Moment,
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.priority, self.due).cmp(&(other.priority, other.due))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// One request that waits.
#[derive(Debug)]
struct Waiting<T> {
    rank: Rank,
    what: T,
}

/// The requests that wait at one node, most urgent first.
///
/// Those that are past due go after those that can still be on time: serving
/// a late one first would make the next one late too.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: Vec<Waiting<T>>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request.
    pub fn push(&mut self, rank: Rank, what: T) {
        self.waiting.push(Waiting { rank, what });
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Offers the requests, most urgent first, to `place`, and removes those
    /// that it takes.
    pub fn offer(&mut self, now: Moment, mut place: impl FnMut(&mut T) -> bool) {
        self.waiting
            .sort_by_key(|w| (w.rank.due < now, w.rank.priority, w.rank.due));
        self.waiting.retain_mut(|w| !place(&mut w.what));
    }

    /// Returns how many wait that go before `rank`.
    pub fn ahead(&self, rank: Rank) -> usize {
        self.waiting.iter().filter(|w| w.rank < rank).count()
    }
}

/// Returns how long a request with `ahead` others before it waits, if `rate`
/// requests get a place in a second; `None` if none does.
pub fn wait(ahead: usize, rate: f64) -> Option<Duration> {
    (rate > 0.0).then(|| Duration::from_secs_f64((ahead + 1) as f64 / rate))
}
