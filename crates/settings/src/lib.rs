//! Settings of the processes, read from TOML and checked whole.
//!
//! [`parse`] and [`load`] turn a document into [`Entry`] or [`Standin`], or
//! return all [`Errors`] that they find, each with file, line, key and what was
//! expected. Units are part of the keys' names (`_ms`, `_s`, `_bytes`, `_mib`).

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
