//! Group commit: several records in one append.

use clock::Moment;
use std::time::Duration;

/// Items that wait to be appended together.
///
/// A full batch is taken at once; one that is not full is taken when its
/// oldest item has waited for the longest delay.
#[derive(Debug)]
pub struct Batch<T> {
    max_items: usize,
    max_delay: Duration,
    items: Vec<T>,
    oldest_at: Moment,
}

impl<T> Batch<T> {
    /// Returns an empty batch of up to `max` items that wait up to `delay`.
    pub fn new(max_items: usize, max_delay: Duration) -> Self {
        Self {
            max_items: max_items.max(1),
            max_delay,
            items: Vec::new(),
            oldest_at: Moment::START,
        }
    }

    /// Adds an item; returns the batch to append now if it is full or due.
    pub fn push(&mut self, item: T, now: Moment) -> Option<Vec<T>> {
        if self.items.is_empty() {
            self.oldest_at = now;
        }
        self.items.push(item);
        if self.items.len() >= self.max_items {
            return Some(std::mem::take(&mut self.items));
        }
        self.take_due(now)
    }

    /// Returns the batch to append now if its oldest item has waited enough.
    pub fn take_due(&mut self, now: Moment) -> Option<Vec<T>> {
        let is_due = self.deadline().is_some_and(|deadline| now >= deadline);
        is_due.then(|| std::mem::take(&mut self.items))
    }

    /// Returns when the batch is due; none if it is empty.
    pub fn deadline(&self) -> Option<Moment> {
        (!self.items.is_empty()).then(|| self.oldest_at + self.max_delay)
    }

    /// Returns the number of items that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
