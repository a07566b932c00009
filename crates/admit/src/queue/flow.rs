//! The waiting requests of one client account.

use clock::Moment;
use std::collections::BTreeMap;

/// Of this many removals, one takes the oldest entry regardless of its class, to prevent starvation.
const OLDEST_FIRST_INTERVAL: u64 = 8;

/// A waiting request.
#[derive(Debug)]
pub(super) struct QueuedRequest<T> {
    pub(super) tokens: u64,
    pub(super) deadline: Moment,
    pub(super) queued_at: Moment,
    pub(super) item: T,
}

/// The waiting requests of one client account, by class and arrival.
#[derive(Debug)]
pub(super) struct Flow<T> {
    pub(super) weight: u32,
    /// Virtual time at which the next entry starts service.
    pub(super) start_tag: u64,
    /// Removed entries whose actual tokens have not been reported yet.
    pub(super) unreconciled: usize,
    classes: BTreeMap<usize, BTreeMap<u64, QueuedRequest<T>>>,
    len: usize,
    tokens: u64,
    pops: u64,
}

impl<T> Default for Flow<T> {
    fn default() -> Self {
        Self {
            weight: 1,
            start_tag: 0,
            unreconciled: 0,
            classes: BTreeMap::new(),
            len: 0,
            tokens: 0,
            pops: 0,
        }
    }
}

impl<T> Flow<T> {
    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the sum of the estimated tokens of all entries.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Adds an entry.
    pub(super) fn push(&mut self, class: usize, sequence: u64, request: QueuedRequest<T>) {
        self.len += 1;
        self.tokens += request.tokens;
        self.classes
            .entry(class)
            .or_default()
            .insert(sequence, request);
    }

    /// Returns the class whose oldest entry is to be removed next.
    pub(super) fn next_class(&self, is_eligible: impl Fn(&T) -> bool) -> Option<usize> {
        let mut heads = self.classes.iter().filter_map(|(class, entries)| {
            let (sequence, head) = entries.first_key_value()?;
            is_eligible(&head.item).then_some((*class, *sequence))
        });
        let is_oldest_first = self.pops % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1;
        let head = match is_oldest_first {
            true => heads.min_by_key(|(_, sequence)| *sequence),
            false => heads.next(),
        };
        head.map(|(class, _)| class)
    }

    /// Removes the oldest entry of `class`.
    pub(super) fn pop(&mut self, class: usize) -> Option<(u64, QueuedRequest<T>)> {
        let (sequence, _) = self.classes.get(&class)?.first_key_value()?;
        let sequence = *sequence;
        self.pops += 1;
        Some((sequence, self.remove(class, sequence)?))
    }

    /// Removes one entry.
    pub(super) fn remove(&mut self, class: usize, sequence: u64) -> Option<QueuedRequest<T>> {
        let entries = self.classes.get_mut(&class)?;
        let request = entries.remove(&sequence)?;
        if entries.is_empty() {
            self.classes.remove(&class);
        }
        self.len -= 1;
        self.tokens -= request.tokens;
        Some(request)
    }
}
