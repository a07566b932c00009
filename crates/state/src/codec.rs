//! Records as text, and text as records.

use crate::Record;
use std::{fmt, sync::Arc};

/// The longest encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// A record that is too long for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TooLong {
    /// The length, in bytes.
    pub bytes: usize,
}

impl fmt::Display for TooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the record has {} bytes of at most {MAX_RECORD_BYTES}",
            self.bytes
        )
    }
}

impl std::error::Error for TooLong {}

/// Data that is not a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Undecodable {
    reason: String,
}

impl fmt::Display for Undecodable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a record: {}", self.reason)
    }
}

impl std::error::Error for Undecodable {}

/// Returns the record as one line of JSON.
///
/// # Errors
///
/// Returns the length if it exceeds [`MAX_RECORD_BYTES`].
///
/// # Panics
///
/// Never: every field of a record has a JSON form.
pub fn encode(record: &Record) -> Result<Arc<str>, TooLong> {
    let text = serde_json::to_string(record).expect("every field of a record has a JSON form");
    if text.len() > MAX_RECORD_BYTES {
        return Err(TooLong { bytes: text.len() });
    }
    Ok(text.into())
}

/// Returns the record that `data` encodes.
///
/// # Errors
///
/// Returns why `data` is not a record.
pub fn decode(data: &[u8]) -> Result<Record, Undecodable> {
    if data.len() > MAX_RECORD_BYTES {
        let reason = format!("{} bytes of at most {MAX_RECORD_BYTES}", data.len());
        return Err(Undecodable { reason });
    }
    serde_json::from_slice(data).map_err(|error| Undecodable {
        reason: error.to_string(),
    })
}
