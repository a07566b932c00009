//! Metrics in the StatsD format over UDP.

use budget::{Port, Reason};
use cadence::{
    BufferedUdpMetricSink, Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};
use name::{Account, Class};
use std::{io, net::UdpSocket, time::Duration};

/// The maximum number of metrics that wait to be sent.
const MAX_QUEUED_METRICS: usize = 4_096;

/// The client that sends metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Returns a client for the configured address; without one, sends no metrics.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no socket can be opened.
    pub(crate) fn new(settings: &settings::Metrics) -> io::Result<Self> {
        let Some(address) = settings.address else {
            let client = StatsdClient::from_sink(&settings.prefix, NopMetricSink);
            return Ok(Self { client });
        };
        let local = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
        Ok(Self {
            client: StatsdClient::from_sink(&settings.prefix, queue),
        })
    }

    /// Counts a request of a caller.
    pub(crate) fn request(&self, account: &Account, class: &Class) {
        let metric = self.client.count_with_tags("requests", 1);
        metric
            .with_tag("account", account.as_str())
            .with_tag("class", class.as_str())
            .send();
    }

    /// Counts an attempt at a backend server.
    pub(crate) fn attempt(&self, account: &Account) {
        self.client
            .count_with_tags("attempts", 1)
            .with_tag("account", account.as_str())
            .send();
    }

    /// Counts connections that were closed or not accepted.
    pub(crate) fn connections_closed(&self, port: Port, reason: Reason, count: u64) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.client
            .count_with_tags("connections_closed", count)
            .with_tag("port", port.as_str())
            .with_tag("reason", reason.as_str())
            .send();
    }

    /// Reports one percentile of a histogram.
    pub(crate) fn percentile(&self, name: &str, account: &Account, class: &Class, time: Duration) {
        let metric = self.client.time_with_tags(name, time);
        metric
            .with_tag("account", account.as_str())
            .with_tag("class", class.as_str())
            .send();
    }
}
