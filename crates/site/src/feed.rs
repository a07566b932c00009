//! Feeds of records in the platform's store.
//!
//! The store may return from an older copy of itself, and then gives offsets out again.
//! Each return begins a new era. A *position* combines an era with an offset in it, so that
//! positions of a later era are above all of an earlier one. All positions, and the fencing
//! tokens that follow from them, are compared as such.

use std::fmt;

/// The position of a reader in a feed.
#[common::key]
pub enum Cursor {
    /// The start: the next read returns the newest record of each key.
    Start,
    /// This position, before the record with its offset.
    At(u64),
}

/// The number of bits of a position that hold the offset.
///
/// With 36 bits, a thousand records a second last for two years, and positions of 100,000
/// eras are integers that JSON readers keep exactly.
const OFFSET_BITS: u32 = 36;

/// Returns the position of an offset in an era.
///
/// Eras and offsets that are too large are replaced by the largest that fit.
pub fn position(era: u64, offset: u64) -> u64 {
    let era = era.min(u64::MAX >> OFFSET_BITS);
    (era << OFFSET_BITS) | offset.min((1 << OFFSET_BITS) - 1)
}

/// Returns the era of a position.
pub fn era(position: u64) -> u64 {
    position >> OFFSET_BITS
}

/// Returns the offset of a position in its era.
pub fn offset(position: u64) -> u64 {
    position & ((1 << OFFSET_BITS) - 1)
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
    /// Whether the store rejected the call because there were too many.
    pub is_rejected: bool,
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
    /// The record was appended at this position.
    Appended(u64),
    /// Another record is at the expected position, or the era has ended; the feed ends at
    /// this position.
    Conflict(u64),
}
