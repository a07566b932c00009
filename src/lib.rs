//! The `arbutusford` command line.
//!
//! Each subcommand is a file in [`commands`]; the binary only starts
//! [`commands::run`]. The daemons are thin: the library crates do the work, and
//! embedders use the same crates.

pub mod commands;
mod exit;
mod logs;

pub use exit::{Exit, Failure};
