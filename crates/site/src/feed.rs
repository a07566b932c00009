//! Feeds of records in the platform's store.

use std::fmt;

/// The position of a reader in a feed.
#[common::key]
pub enum Cursor {
    /// The start: the next read returns the newest record of each key.
    Start,
    /// The position before the record with this offset.
    At(u64),
}

/// The result of one read.
#[derive(Debug, Clone)]
pub struct Batch<T> {
    /// The records, oldest first.
    pub records: Vec<T>,
    /// Where the next read continues.
    pub next: Cursor,
    /// Whether the records are the complete present state, so that all other keys are
    /// deleted.
    pub is_snapshot: bool,
    /// Whether the feed had no further record when it was read.
    pub is_at_end: bool,
    /// The records that could not be parsed, each with the reason.
    pub invalid_records: Vec<InvalidRecord>,
}

/// A record that could not be parsed.
#[common::value]
pub struct InvalidRecord {
    /// The record's key.
    pub key: String,
    /// The parse error.
    pub reason: String,
}

/// A failed call to the store.
#[common::value]
pub struct Error {
    /// The description of the failure.
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

/// The result of a conditional append.
#[common::key]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Appended(u64),
    /// Another record is at the expected offset; the feed ends at this offset.
    Conflict(u64),
}
