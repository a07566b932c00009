//! Group commit: several records in one append.

use clock::Moment;
use std::time::Duration;

/// Items that are collected to be appended together.
///
/// A full batch is returned at once; one that is not full is returned when its
/// oldest item has waited for the maximum delay.
#[derive(Debug)]
pub struct Batch<T> {
    max_items: usize,
    max_delay: Duration,
    items: Vec<T>,
    oldest_at: Moment,
}

impl<T> Batch<T> {
    /// Returns an empty batch of up to `max_items` that wait up to `max_delay`.
    pub fn new(max_items: usize, max_delay: Duration) -> Self {
        Self {
            max_items: max_items.max(1),
            max_delay,
            items: Vec::new(),
            oldest_at: Moment::START,
        }
    }

    /// Adds an item and returns the batch if it is full or due.
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

    /// Returns the batch if its oldest item has waited for the maximum delay.
    pub fn take_due(&mut self, now: Moment) -> Option<Vec<T>> {
        let is_due = self.deadline().is_some_and(|deadline| now >= deadline);
        is_due.then(|| std::mem::take(&mut self.items))
    }

    /// Returns when the batch is due; `None` if it is empty.
    pub fn deadline(&self) -> Option<Moment> {
        (!self.items.is_empty()).then(|| self.oldest_at + self.max_delay)
    }

    /// Returns the number of pending items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no item is pending.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
