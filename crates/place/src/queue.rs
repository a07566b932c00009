//! The queue of requests that wait for a target.

use clock::Moment;
use std::{cmp::Ordering, time::Duration};

/// The order of queued requests.
#[common::plain]
#[derive(Copy, Eq)]
pub struct Urgency {
    /// The account's or route's priority; zero is served first.
    pub priority: u32,
    /// The time by which the response should start.
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

/// A queued request.
#[derive(Debug)]
struct Entry<T> {
    urgency: Urgency,
    item: T,
}

/// The requests queued at one node, most urgent first.
///
/// Overdue requests go after those that can still start on time: serving an overdue
/// request first would make the next one overdue as well.
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

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Calls `try_place` for each request, most urgent first, and removes those for
    /// which it returns true.
    pub fn dispatch(&mut self, now: Moment, mut try_place: impl FnMut(&mut T) -> bool) {
        self.entries
            .sort_by_key(|w| (w.urgency.due < now, w.urgency.priority, w.urgency.due));
        self.entries.retain_mut(|w| !try_place(&mut w.item));
    }

    /// Returns the number of queued requests that are more urgent than `urgency`.
    pub fn count_ahead(&self, urgency: Urgency) -> usize {
        self.entries.iter().filter(|w| w.urgency < urgency).count()
    }
}

/// Returns the expected wait of a request with `ahead` requests before it, if `rate`
/// requests are placed per second; `None` if the rate is zero.
pub fn estimated_wait(ahead: usize, rate: f64) -> Option<Duration> {
    (rate > 0.0).then(|| Duration::from_secs_f64((ahead + 1) as f64 / rate))
}
