//! Starts the command line.
fn main() {}
