//! Integration tests of the decisions on replicas.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod drain;
mod fixture;
mod orders;
mod policy;
mod propose;
mod scale;
mod servable;
mod simulation;
