//! Tests of the simulated systems, and of the backend clients against them.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;
mod drive;
mod platform;
