//! Requests that wait for a target.

use clock::Moment;
use std::{cmp::Ordering, time::Duration};

/// The order of requests that wait.
#[common::plain]
#[derive(Copy, Eq)]
pub struct Urgency {
    /// The account's or route's priority; zero goes first.
    pub priority: u32,
    /// When the answer should have begun.
    pub due: Moment,
}

impl Ord for Urgency {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.priority, self.due).cmp(&(other.priority, other.due))
    }
}

impl PartialOrd for Urgency {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// One request that waits.
#[derive(Debug)]
struct Entry<T> {
    urgency: Urgency,
    item: T,
}

/// The requests that wait at one node, most urgent first.
///
/// Those that are past due go after those that can still be on time: serving
/// a late one first would make the next one late too.
#[derive(Debug)]
pub struct Queue<T> {
    entries: Vec<Entry<T>>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request.
    pub fn push(&mut self, urgency: Urgency, item: T) {
        self.entries.push(Entry { urgency, item });
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Offers the requests, most urgent first, to `place`, and removes those
    /// that it takes.
    pub fn dispatch(&mut self, now: Moment, mut try_place: impl FnMut(&mut T) -> bool) {
        self.entries
            .sort_by_key(|w| (w.urgency.due < now, w.urgency.priority, w.urgency.due));
        self.entries.retain_mut(|w| !try_place(&mut w.item));
    }

    /// Returns how many wait that go before `rank`.
    pub fn count_ahead(&self, urgency: Urgency) -> usize {
        self.entries.iter().filter(|w| w.urgency < urgency).count()
    }
}

/// Returns how long a request with `ahead` others before it waits, if `rate`
/// requests get a place in a second; `None` if none does.
pub fn estimated_wait(ahead: usize, rate: f64) -> Option<Duration> {
    (rate > 0.0).then(|| Duration::from_secs_f64((ahead + 1) as f64 / rate))
}
