//! Settings of the processes, read from TOML and checked whole.
