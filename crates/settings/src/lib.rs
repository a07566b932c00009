//! Settings of the processes, read from TOML and checked whole.
//!
//! [`parse`] and [`load`] turn a document into [`Entry`] or [`Standin`], or
//! return all [`Faults`] that they find, each with file, line, key and what was
//! expected. Units are part of the keys' names (`_ms`, `_s`, `_bytes`, `_mib`).

mod entry;
mod error;
mod page;
mod read;
mod secret;
mod section;
mod standin;

pub use entry::{
    Advertise, Entry, Idempotency, Level, Limits, Listen, Logging, Metrics, Outside, Peers,
    Policies, Streams, Style, Timings,
};
pub use error::{Fault, Faults};
pub use page::{keys, page};
pub use read::{Document, load, parse};
pub use secret::Secret;
pub use section::Key;
pub use standin::{Domain, Ports, Speed, Standin};
