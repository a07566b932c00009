//! Tests of the writer, the outbox, the HTTP client and tail reads.

mod client;
mod outbox;
mod tail;
mod writer;
