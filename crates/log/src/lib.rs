//! Client of the platform's append-only log service.
//!
//! [`Client`] makes the service's HTTP calls, whose messages [`proto`] defines.
//! [`Store`] holds the two calls as closures, so that tests can substitute
//! another log. [`Writer`] is the queue of records to append: it sends them in
//! batches, one batch at a time, and retries a batch until its append is
//! acknowledged or its records are read back. [`Outbox`] runs the appends of a
//! writer and completes each record for its caller. [`follow`] reads the tail
//! of the log in a loop and passes each page to a callback.
//!
//! An append whose response was lost may have taken effect. [`Error`] reports
//! which failed appends certainly had no effect; whether any other append took
//! effect is known only once its records are read back.

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
