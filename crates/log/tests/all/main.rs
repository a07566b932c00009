//! Tests of the writer's decisions, the client and the tail.

mod client;
mod tail;
mod writer;
