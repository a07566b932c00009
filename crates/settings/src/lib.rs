//! Settings of the processes: parsing from TOML and validation.
//!
//! [`parse`] and [`load`] convert a document to [`Entry`] or [`Standin`], or
//! return all [`Errors`] in it, each with file, line, key and the expected
//! value. The name of a key ends in its unit (`_ms`, `_s`, `_bytes`, `_mib`).

mod entry;
mod error;
mod page;
mod read;
mod secret;
mod section;
mod standin;

pub use entry::{
    Advertise, Entry, Format, Idempotency, Level, Limits, Listen, Logging, Metrics, Outside, Peers,
    Policies, Streams, Timings,
};
pub use error::{Error, Errors};
pub use page::{keys, reference_page};
pub use read::{Document, load, parse};
pub use secret::Secret;
pub use section::Key;
pub use standin::{Domain, Ports, Speed, Standin};
