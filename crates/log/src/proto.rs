//! The messages of the platform's log service, as JSON over HTTP.
//!
//! | call | route | body | answer |
//! |---|---|---|---|
//! | append | `POST /streams/{stream}/append` | [`Append`] | [`Appended`] |
//! | read | `GET /streams/{stream}/records?from=&max=&wait_ms=` | none | [`Records`] |
//!
//! Offsets start at 1. A read from beyond the tail waits up to `wait_ms`
//! milliseconds for a record and then answers without any. A read from before
//! the earliest kept offset answers with the records that are kept, and
//! [`Records::first`] tells that some are gone.
//!
//! A batch is appended whole or not at all. Any 4xx status and 503 mean that a
//! call had no effect; other failures leave that open.

use clock::WallTime;
use name::Offset;
use state::Page;
use std::sync::Arc;

/// The most records of one append.
pub const MAX_BATCH_RECORDS: usize = 256;

/// The largest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// The largest body of an append or of an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// The body of an append.
#[common::value]
pub struct Append {
    /// The records, which take successive offsets.
    pub records: Vec<Arc<str>>,
}

/// The answer to an append.
#[common::value]
pub struct Appended {
    /// The offset of the first record of the batch.
    pub first: Offset,
}

/// The query of a read.
#[common::value]
pub struct Query {
    /// The first offset wanted.
    pub from: Offset,
    /// The most records wanted.
    pub max: usize,
    /// How long to wait for a first record, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a read.
#[common::value]
pub struct Records {
    /// The earliest offset that is kept; equal to the tail if none is.
    pub first: Offset,
    /// The offset that the next appended record takes.
    pub tail: Offset,
    /// The records, by offset, without gaps among them.
    pub records: Vec<Entry>,
}

/// A record with its place in the stream.
#[common::value]
pub struct Entry {
    /// The record's offset.
    pub offset: Offset,
    /// When the service took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The record as it was appended.
    pub data: Arc<str>,
}

/// Returns the path of appends to `stream`.
pub fn append_path(stream: &str) -> String {
    format!("/streams/{stream}/append")
}

/// Returns the path and query of a read from `stream`.
pub fn records_path(stream: &str, query: &Query) -> String {
    let Query { from, max, wait_ms } = query;
    format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}")
}

impl From<Records> for Page {
    fn from(records: Records) -> Self {
        Self {
            first: records.first,
            tail: records.tail,
            entries: records.records.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Entry> for state::Entry {
    fn from(entry: Entry) -> Self {
        Self {
            offset: entry.offset,
            at: WallTime(entry.at_ms),
            data: entry.data,
        }
    }
}
