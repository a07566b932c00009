//! The messages of the platform's log service, as JSON over HTTP.
//!
//! | call | route | request body | response |
//! |---|---|---|---|
//! | append | `POST /streams/{stream}/append` | [`Append`] | [`Appended`] |
//! | read | `GET /streams/{stream}/records?from=&max=&wait_ms=` | none | [`Records`] |
//!
//! Offsets start at 1. A read at or beyond the tail waits up to `wait_ms`
//! milliseconds for a record and then returns none. A read from an offset
//! before the earliest retained one returns the retained records;
//! [`Records::first`] shows that earlier records have expired.
//!
//! An append of a batch is atomic. Any 4xx status and 503 mean that a call had
//! no effect; after other failures the effect is unknown.

use clock::WallTime;
use name::Offset;
use state::Page;
use std::sync::Arc;

/// The maximum number of records in one append.
pub const MAX_BATCH_RECORDS: usize = 256;

/// The maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// The maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// The request body of an append.
#[common::value]
pub struct Append {
    /// The records, which get consecutive offsets.
    pub records: Vec<Arc<str>>,
}

/// The response to an append.
#[common::value]
pub struct Appended {
    /// The offset of the first record of the batch.
    pub first: Offset,
}

/// The query parameters of a read.
#[common::value]
pub struct Query {
    /// The first offset to return.
    pub from: Offset,
    /// The maximum number of records to return.
    pub max: usize,
    /// The maximum wait for the first record, in milliseconds.
    pub wait_ms: u64,
}

/// The response to a read.
#[common::value]
pub struct Records {
    /// The earliest retained offset; equal to the tail if no record is retained.
    pub first: Offset,
    /// The offset of the next record to be appended.
    pub tail: Offset,
    /// The records in the order of their offsets, without gaps.
    pub records: Vec<Entry>,
}

/// A record with its offset in the stream.
#[common::value]
pub struct Entry {
    /// The offset of the record.
    pub offset: Offset,
    /// The time at which the service appended it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The appended data.
    pub data: Arc<str>,
}

/// Returns the path of an append to `stream`.
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
