//! Limits on connections and responses.

use std::{net::IpAddr, time::Duration};

/// Limits on connections to external systems and on their responses.
#[common::plain]
pub struct Limits {
    /// The local address to connect from; the operating system chooses if `None`.
    pub source_address: Option<IpAddr>,
    /// The max time to open a connection.
    pub connect_timeout: Duration,
    /// The max time for a response that is not a stream, such as a report, to arrive.
    pub response_timeout: Duration,
    /// The max time between two pieces of a stream.
    pub idle_timeout: Duration,
    /// The max size of a response that is not a stream, in bytes.
    pub max_response_bytes: usize,
    /// The max size of a frame of a stream, in bytes.
    pub max_frame_bytes: usize,
    /// The max idle connections to one backend server.
    pub max_idle_connections: usize,
}

impl Default for Limits {
    /// Returns the defaults: no source address, 500 ms to connect, 2 s for a response,
    /// 10 s between pieces, 8 MiB a response, 64 KiB a frame, 16 idle connections.
    fn default() -> Self {
        Self {
            source_address: None,
            connect_timeout: Duration::from_millis(500),
            response_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(10),
            max_response_bytes: 8 << 20,
            max_frame_bytes: 64 << 10,
            max_idle_connections: 16,
        }
    }
}
