//! What waits of one client account.

use clock::Moment;
use std::collections::BTreeMap;

/// Every so many entries, the one that waited longest leaves whatever its class.
const AGED_TURN: u64 = 8;

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) tokens: u64,
    pub(super) deadline: Moment,
    pub(super) since: Moment,
    pub(super) item: T,
}

/// What waits of one client account, by class and arrival.
#[derive(Debug)]
pub(super) struct Lane<T> {
    pub(super) weight: u32,
    pub(super) tag: u64,
    /// Entries that left and whose actual tokens are not known yet.
    pub(super) unsettled: usize,
    classes: BTreeMap<usize, BTreeMap<u64, Waiting<T>>>,
    len: usize,
    tokens: u64,
    turns: u64,
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Self {
            weight: 1,
            tag: 0,
            unsettled: 0,
            classes: BTreeMap::new(),
            len: 0,
            tokens: 0,
            turns: 0,
        }
    }
}

impl<T> Lane<T> {
    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the sum of estimated tokens.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Adds an entry.
    pub(super) fn push(&mut self, class: usize, sequence: u64, waiting: Waiting<T>) {
        self.len += 1;
        self.tokens += waiting.tokens;
        self.classes
            .entry(class)
            .or_default()
            .insert(sequence, waiting);
    }

    /// Returns the class whose head is to leave next.
    pub(super) fn choose(&self, eligible: impl Fn(&T) -> bool) -> Option<usize> {
        let mut heads = self.classes.iter().filter_map(|(class, entries)| {
            let (sequence, head) = entries.first_key_value()?;
            eligible(&head.item).then_some((*class, *sequence))
        });
        let is_aged = self.turns % AGED_TURN == AGED_TURN - 1;
        let head = match is_aged {
            true => heads.min_by_key(|(_, sequence)| *sequence),
            false => heads.next(),
        };
        head.map(|(class, _)| class)
    }

    /// Removes the oldest entry of `class`.
    pub(super) fn take(&mut self, class: usize) -> Option<(u64, Waiting<T>)> {
        let (sequence, _) = self.classes.get(&class)?.first_key_value()?;
        let sequence = *sequence;
        self.turns += 1;
        Some((sequence, self.remove(class, sequence)?))
    }

    /// Removes one entry.
    pub(super) fn remove(&mut self, class: usize, sequence: u64) -> Option<Waiting<T>> {
        let entries = self.classes.get_mut(&class)?;
        let waiting = entries.remove(&sequence)?;
        if entries.is_empty() {
            self.classes.remove(&class);
        }
        self.len -= 1;
        self.tokens -= waiting.tokens;
        Some(waiting)
    }
}
