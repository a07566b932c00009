//! Records as text, and text as records.

use crate::Record;
use std::{fmt, sync::Arc};

/// The longest encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// A record that is too long for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordTooLong {
    /// The length, in bytes.
    pub bytes: usize,
}

impl fmt::Display for RecordTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the record has {} bytes of at most {MAX_RECORD_BYTES}",
            self.bytes
        )
    }
}

impl std::error::Error for RecordTooLong {}

/// Data that is not a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError {
    reason: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a record: {}", self.reason)
    }
}

impl std::error::Error for DecodeError {}

/// Returns the record as one line of JSON.
///
/// # Errors
///
/// Returns the length if it exceeds [`MAX_RECORD_BYTES`].
///
/// # Panics
///
/// Never: every field of a record has a JSON form.
pub fn encode(record: &Record) -> Result<Arc<str>, RecordTooLong> {
    let text = serde_json::to_string(record).expect("every field of a record has a JSON form");
    if text.len() > MAX_RECORD_BYTES {
        return Err(RecordTooLong { bytes: text.len() });
    }
    Ok(text.into())
}

/// Returns the record that `data` encodes.
///
/// # Errors
///
/// Returns why `data` is not a record.
pub fn decode(data: &[u8]) -> Result<Record, DecodeError> {
    if data.len() > MAX_RECORD_BYTES {
        let reason = format!("{} bytes of at most {MAX_RECORD_BYTES}", data.len());
        return Err(DecodeError { reason });
    }
    serde_json::from_slice(data).map_err(|error| DecodeError {
        reason: error.to_string(),
    })
}
