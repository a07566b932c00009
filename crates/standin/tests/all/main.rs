//! Tests of the stand-ins, and of the clients against them.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;
mod drive;
mod platform;
