//! First-in, first-out queue, the baseline that fair queueing is compared with.

use clock::Moment;
use std::collections::VecDeque;

/// A bounded queue in order of arrival, shared by all client accounts.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    capacity: usize,
    entries: VecDeque<(Moment, T)>,
}

impl<T> Queue<T> {
    /// Returns an empty queue of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// Adds an entry with its deadline.
    ///
    /// # Errors
    ///
    /// Returns the item if the queue is full.
    pub fn push(&mut self, item: T, deadline: Moment) -> Result<(), T> {
        if self.entries.len() >= self.capacity {
            return Err(item);
        }
        self.entries.push_back((deadline, item));
        Ok(())
    }

    /// Removes the oldest entry whose deadline has not passed.
    pub fn pop(&mut self, now: Moment) -> Option<T> {
        while let Some((deadline, item)) = self.entries.pop_front() {
            if now < deadline {
                return Some(item);
            }
        }
        None
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
