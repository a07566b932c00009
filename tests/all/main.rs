//! Tests of the whole path: real entry nodes before the stand-ins, on loopback.
//!
//! Each test is a table of faults. What a caller is told is held against what
//! the stand-ins counted; no test depends on how long anything takes, beyond the
//! bounds that the product promises.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod admin;
mod cli;
mod control;
mod drafts;
mod fixture;
mod keyed;
mod leaving;
mod matrix;
mod routing;
mod security;
mod soak;
mod stops;
