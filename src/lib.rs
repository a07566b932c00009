//! The `arbutusford` command line.
