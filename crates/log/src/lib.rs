//! Client of the platform's append-only log service.
//!
//! [`Client`] speaks the service's HTTP calls, whose messages [`proto`]
//! defines; [`Store`] holds the two calls as closures, so that tests put
//! another log in their place. [`Writer`] decides what to append and when:
//! records are appended in batches, one batch at a time, and again if an
//! answer was lost, until each was read back. [`Outbox`] carries that out and
//! tells callers what became of their records. [`follow`] reads the log's tail
//! for ever and hands over each page.
//!
//! An append whose answer was lost may have taken effect. [`Error`] says which
//! failures cannot have; every other outcome is settled by reading back.

mod backoff;
mod batch;
mod client;
mod error;
#[cfg(feature = "test-util")]
mod memory;
mod outbox;
pub mod proto;
mod store;
mod tail;

pub use backoff::Backoff;
pub use batch::{Limits, QueueFull, Writer};
pub use client::{Client, Timeouts};
pub use error::Error;
#[cfg(feature = "test-util")]
pub use memory::{Faults, Memory};
pub use outbox::{Completion, Outbox, Submitted};
pub use state::{Entry, Page};
pub use store::Store;
pub use tail::{TailOptions, TimedPage, follow};
