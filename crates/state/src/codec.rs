//! Encoding and decoding of records.

use crate::Record;
use std::{fmt, sync::Arc};

/// The maximum length of an encoded record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Error: the encoded record exceeds [`MAX_RECORD_BYTES`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordTooLong {
    /// The encoded length, in bytes.
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

/// Error: the data is not a valid record.
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

/// Encodes a record as one line of JSON.
pub fn encode(record: &Record) -> Result<Arc<str>, RecordTooLong> {
    let text = serde_json::to_string(record).expect("every field of a record has a JSON form");
    if text.len() > MAX_RECORD_BYTES {
        return Err(RecordTooLong { bytes: text.len() });
    }
    Ok(text.into())
}

/// Decodes a record.
///
/// # Errors
///
/// Returns the reason if `data` is not a valid record.
pub fn decode(data: &[u8]) -> Result<Record, DecodeError> {
    if data.len() > MAX_RECORD_BYTES {
        let reason = format!("{} bytes of at most {MAX_RECORD_BYTES}", data.len());
        return Err(DecodeError { reason });
    }
    serde_json::from_slice(data).map_err(|error| DecodeError {
        reason: error.to_string(),
    })
}
