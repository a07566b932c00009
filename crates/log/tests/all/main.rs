//! Tests of the writer's decisions, the client and the tail.

mod client;
mod outbox;
mod tail;
mod writer;
