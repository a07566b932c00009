//! Feeds of records from the platform's store.

use std::fmt;

/// Where a reader of a feed stands.
#[common::key]
pub enum Cursor {
    /// Nowhere yet: the next read returns the newest record of each key.
    Start,
    /// Before the record with this offset.
    At(u64),
}

/// What one read returned.
#[derive(Debug, Clone)]
pub struct Batch<T> {
    /// The records, oldest first.
    pub records: Vec<T>,
    /// Where the next read continues.
    pub next: Cursor,
    /// Whether the records are all that hold, so that anything else is gone.
    pub is_snapshot: bool,
    /// Whether the feed had no further record when it was read.
    pub is_at_end: bool,
    /// Records that could not be understood, each with the reason.
    pub invalid_records: Vec<InvalidRecord>,
}

/// A record that could not be understood.
#[common::value]
pub struct InvalidRecord {
    /// The record's key.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Why a call to the store gave no result.
#[common::value]
pub struct Error {
    /// What happened.
    pub reason: String,
    /// Whether the call certainly had no effect.
    pub is_without_effect: bool,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Error {}

/// What became of a conditional append.
#[common::key]
pub enum AppendOutcome {
    /// The record stands at this offset.
    Appended(u64),
    /// Another record stands there; the feed ends at this offset.
    Conflict(u64),
}
