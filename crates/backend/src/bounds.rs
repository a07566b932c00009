//! Limits on connections and responses.

use std::{net::IpAddr, time::Duration};

/// Limits on connections to external systems and on their responses.
#[common::plain]
pub struct Bounds {
    /// The local address to connect from; the operating system chooses if `None`.
    pub source: Option<IpAddr>,
    /// The max time to open a connection.
    pub connect: Duration,
    /// The max time for a response that is not a stream, such as a report, to arrive.
    pub answer: Duration,
    /// The max time between two pieces of a stream.
    pub idle: Duration,
    /// The max size of a response that is not a stream, in bytes.
    pub answer_bytes: usize,
    /// The max size of a frame of a stream, in bytes.
    pub frame_bytes: usize,
    /// The max idle connections to one backend server.
    pub idle_connections: usize,
}

impl Default for Bounds {
    /// Returns the defaults: no source address, 500 ms to connect, 2 s for a response,
    /// 10 s between pieces, 8 MiB a response, 64 KiB a frame, 16 idle connections.
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
