//! Bounds on the time and size of answers.

use std::{net::IpAddr, time::Duration};

/// Bounds on the time and size of answers.
#[common::plain]
pub struct Bounds {
    /// The address to connect from; the system chooses without one.
    pub source: Option<IpAddr>,
    /// The longest time for a connection to be made.
    pub connect: Duration,
    /// The longest time for a short answer, as a report, to arrive whole.
    pub answer: Duration,
    /// The longest time between two pieces of a stream.
    pub idle: Duration,
    /// The largest size of a short answer, in bytes.
    pub answer_bytes: usize,
    /// The largest size of a frame of a stream, in bytes.
    pub frame_bytes: usize,
    /// The most idle connections kept to one backend server.
    pub idle_connections: usize,
}

impl Default for Bounds {
    /// Returns any source, 500 ms, 2 s, 10 s, 8 MiB, 64 KiB and 16 connections.
    fn default() -> Self {
        Self {
            source: None,
            connect: Duration::from_millis(500),
            answer: Duration::from_secs(2),
            idle: Duration::from_secs(10),
            answer_bytes: 8 << 20,
            frame_bytes: 64 << 10,
            idle_connections: 16,
        }
    }
}
