//! A bounded history of the latest records, for peers that lag.

use clock::WallTime;
use name::Offset;
use std::{collections::VecDeque, sync::Arc};

/// A record on the log.
#[common::value]
pub struct Entry {
    /// The record's offset.
    pub offset: Offset,
    /// When the record was appended.
    pub at: WallTime,
    /// The encoded record.
    pub data: Arc<str>,
}

/// The memory overhead of an entry beside its data, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Entry {
    /// Returns the memory used by the entry, in bytes.
    ///
    /// Includes a fixed overhead, so that empty records are bounded too.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.data.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// The latest records, contiguous and limited by their size.
#[derive(Debug, Clone)]
pub(crate) struct History {
    entries: VecDeque<Entry>,
    bytes: usize,
    max_bytes: usize,
}

impl History {
    /// Returns an empty history of at most `max_bytes` bytes.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Appends the next record.
    pub(crate) fn push(&mut self, entry: Entry) {
        self.bytes += entry.memory_bytes();
        self.entries.push_back(entry);
        while self.bytes > self.max_bytes {
            let Some(old) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= old.memory_bytes();
        }
    }

    /// Removes all records.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Returns the records from `from` on, up to `max_bytes` but at least one.
    ///
    /// Returns `None` if the history does not contain `from`.
    pub(crate) fn entries_from(&self, from: Offset, max_bytes: usize) -> Option<Vec<Entry>> {
        let first = self.entries.front()?.offset;
        let skip = usize::try_from(from.0.checked_sub(first.0)?).ok()?;
        let mut out: Vec<Entry> = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().skip(skip) {
            bytes += entry.memory_bytes();
            if !out.is_empty() && bytes > max_bytes {
                break;
            }
            out.push(entry.clone());
        }
        (!out.is_empty()).then_some(out)
    }
}
