//! The settings of an entry node.

use crate::{
    Secret,
    read::{Document, Problem},
    section::{Key, default_section, required_section},
};
use name::{Domain, Node, Region};
use std::{io, net::SocketAddr, path::PathBuf};

/// A document with all required keys, which stand in for faulty ones.
const SAMPLE: &str = r#"
node = "entry-1"
region = "region"
domain = "domain"
listen = { caller = "127.0.0.1:1", peer = "127.0.0.1:2", admin = "127.0.0.1:3" }
outside = { log = "127.0.0.1:4", instances = "127.0.0.1:5", weights = "127.0.0.1:6" }
"#;

/// The settings of an entry node.
#[common::value]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The name of this node, unique among all entry nodes.
    pub node: Node,
    /// The region of this node.
    pub region: Region,
    /// The failure domain of this node.
    pub domain: Domain,
    /// Where this node listens.
    pub listen: Listen,
    /// Where others reach this node.
    #[serde(default)]
    pub advertise: Advertise,
    /// The systems outside.
    pub outside: Outside,
    /// The names of the streams.
    #[serde(default)]
    pub streams: Streams,
    /// The other entry nodes.
    #[serde(default)]
    pub peers: Peers,
    /// Log events.
    #[serde(default)]
    pub logging: Logging,
    /// Metrics.
    #[serde(default)]
    pub metrics: Metrics,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// Times.
    #[serde(default)]
    pub timings: Timings,
    /// Policies.
    #[serde(default)]
    pub policies: Policies,
    /// Requests that may not be repeated.
    #[serde(default)]
    pub idempotency: Idempotency,
}

required_section! {
    /// Where this node listens: IP address and port; port 0 lets the system choose.
    Listen {
        /// The address for callers.
        caller: SocketAddr,
        /// The address for other entry nodes.
        peer: SocketAddr,
        /// The address for operators.
        admin: SocketAddr,
    }
}

default_section! {
    /// Where others reach this node, if not where it listens.
    Advertise {
        /// The address for callers; the listening address by default.
        caller: Option<SocketAddr> = None,
        /// The address for other entry nodes; the listening address by default.
        peer: Option<SocketAddr> = None,
        /// The address for operators; the listening address by default.
        admin: Option<SocketAddr> = None,
    }
}

required_section! {
    /// The systems outside.
    Outside {
        /// The address of the log service.
        log: SocketAddr,
        /// The address of the instance list.
        instances: SocketAddr,
        /// The address of the weight store.
        weights: SocketAddr,
    }
}

default_section! {
    /// The names of the log service's streams.
    Streams {
        /// The stream of configuration, assignments and entry lists.
        control: String = "control".into(),
        /// The stream of claims on requests that may not be repeated.
        claims: String = "claims".into(),
    }
}

default_section! {
    /// The other entry nodes.
    Peers {
        /// The peer addresses to try first; this node's own is skipped.
        seeds: Vec<SocketAddr> = Vec::new(),
        /// The file with the secret that entry nodes share, as hexadecimal digits.
        secret_file: Option<PathBuf> = None,
        /// The secret itself; not together with `secret_file`.
        secret_hex: Option<Secret> = None,
    }
}

impl Peers {
    /// Reads the secret that entry nodes share, from the file if one is named.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or holds no secret.
    pub fn secret(&self) -> Result<Option<Secret>, io::Error> {
        let Some(file) = &self.secret_file else {
            return Ok(self.secret_hex.clone());
        };
        let text = std::fs::read_to_string(file)?;
        let invalid_data = |problem| io::Error::new(io::ErrorKind::InvalidData, problem);
        Secret::try_from(text).map(Some).map_err(invalid_data)
    }
}

/// The least urgent level of log events to be written.
#[common::key]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures of this system.
    Error,
    /// Failures of others that this system bears.
    Warning,
    /// Changes that an operator follows.
    Info,
    /// Single requests and messages.
    Debug,
    /// Everything.
    Trace,
}

/// The form of log events.
#[common::key]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Text on a terminal, otherwise JSON.
    Auto,
    /// Text.
    Text,
    /// One JSON object a line.
    Json,
}

default_section! {
    /// Log events.
    Logging {
        /// The least urgent level: `error`, `warning`, `info`, `debug` or `trace`.
        level: Level = Level::Info,
        /// The form: `auto` (text on a terminal, otherwise JSON), `text` or `json`.
        format: Format = Format::Auto,
    }
}

default_section! {
    /// Metrics, sent by UDP in the StatsD format.
    Metrics {
        /// The address to send to; none are sent by default.
        address: Option<SocketAddr> = None,
        /// The prefix of every metric's name.
        prefix: String = "arbutusford".into(),
    }
}

default_section! {
    /// Bounds on what this node holds and how long callers may take.
    Limits {
        /// The largest body of a request.
        max_body_bytes: u64 = 1 << 20,
        /// The time for a request's head to arrive.
        header_timeout_ms: u64 = 5_000,
        /// The time for a request's body to arrive.
        body_timeout_ms: u64 = 10_000,
        /// The time after which a request without a deadline of its own ends.
        request_timeout_ms: u64 = 60_000,
        /// The largest number of connections from callers.
        max_connections: u32 = 4_096,
        /// The largest number of requests that wait, over all client accounts.
        queue_requests: u32 = 1_024,
        /// The largest number of requests that wait, for one client account.
        queue_requests_per_account: u32 = 256,
    }
}

default_section! {
    /// Times of the control work.
    Timings {
        /// The time between two heartbeats to a peer.
        heartbeat_ms: u64 = 500,
        /// The time without a heartbeat after which a peer is suspected.
        peer_suspicion_ms: u64 = 2_500,
        /// The time between two reports asked of a backend server.
        report_poll_ms: u64 = 250,
        /// The age after which a report says nothing any more.
        report_freshness_ms: u64 = 1_500,
        /// The age after which a reading of the log's tail vouches for nothing.
        voucher_bound_ms: u64 = 2_000,
        /// The time that callers may keep the list of entries.
        entries_ttl_ms: u64 = 5_000,
        /// The longest time between the decision on an order and its effect.
        order_lifetime_ms: u64 = 2_000,
        /// The time for which the log keeps a record.
        log_retention_s: u64 = 86_400,
        /// The longest single wait for new records of the log.
        log_wait_ms: u64 = 500,
        /// The longest time for a call to a system outside to answer.
        outside_timeout_ms: u64 = 2_000,
        /// The longest time for a connection to be made.
        connect_timeout_ms: u64 = 500,
        /// The time between two readings of the instance list.
        instances_poll_ms: u64 = 500,
        /// The longest wait for requests in progress when this node stops.
        stop_ms: u64 = 60_000,
    }
}

default_section! {
    /// Policies by name.
    Policies {
        /// The policy that decides which replicas are formed.
        replica: String = "default".into(),
        /// The policy that decides which replica serves a request.
        route: String = "default".into(),
    }
}

default_section! {
    /// Requests that may not be repeated.
    Idempotency {
        /// The age above which a key is refused.
        window_s: u64 = 3_600,
        /// The largest lead of a key's time over this node's clock.
        future_ms: u64 = 5_000,
        /// The largest number of keys that are remembered.
        max_keys: u32 = 200_000,
    }
}

impl Entry {
    /// Returns the address at which callers reach this node.
    pub fn caller_address(&self) -> SocketAddr {
        self.advertise.caller.unwrap_or(self.listen.caller)
    }

    /// Returns the address at which other entry nodes reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise.peer.unwrap_or(self.listen.peer)
    }

    /// Returns the address at which operators reach this node.
    pub fn admin_address(&self) -> SocketAddr {
        self.advertise.admin.unwrap_or(self.listen.admin)
    }

    /// Adds the problems of times and of the secret.
    fn check_values(&self, problems: &mut Vec<Problem>) {
        let timings = &self.timings;
        let mut require_min = |key: &str, value: u64, min: u64, reason: &str| {
            if value < min {
                let text = format!("{value} is too small: expected at least {min}, {reason}");
                problems.push(Problem::new(key, text));
            }
        };
        require_min("timings.heartbeat_ms", timings.heartbeat_ms, 1, "a time");
        require_min(
            "timings.report_poll_ms",
            timings.report_poll_ms,
            1,
            "a time",
        );
        let reason = "twice timings.report_poll_ms";
        let two_polls = timings.report_poll_ms.saturating_mul(2);
        require_min(
            "timings.report_freshness_ms",
            timings.report_freshness_ms,
            two_polls,
            reason,
        );
        let reason = "twice timings.heartbeat_ms";
        let two_heartbeats = timings.heartbeat_ms.saturating_mul(2);
        require_min(
            "timings.peer_suspicion_ms",
            timings.peer_suspicion_ms,
            two_heartbeats,
            reason,
        );
        let reason = "more than idempotency.window_s";
        let min_retention_s = self.idempotency.window_s.saturating_add(1);
        require_min(
            "timings.log_retention_s",
            timings.log_retention_s,
            min_retention_s,
            reason,
        );
        require_min("limits.max_body_bytes", self.limits.max_body_bytes, 1, "");
        if self.peers.secret_file.is_some() && self.peers.secret_hex.is_some() {
            let text = "two secrets: expected only one of secret_file and secret_hex";
            problems.push(Problem::new("peers.secret_hex", text.into()));
        }
    }
}

impl Document for Entry {
    const SAMPLE: &'static str = SAMPLE;

    fn validate(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let addresses = [
            ("listen.caller", self.listen.caller),
            ("listen.peer", self.listen.peer),
            ("listen.admin", self.listen.admin),
            ("outside.log", self.outside.log),
            ("outside.instances", self.outside.instances),
            ("outside.weights", self.outside.weights),
        ];
        crate::read::check_distinct(&addresses, &mut problems);
        self.check_values(&mut problems);
        problems
    }

    fn sections() -> Vec<(&'static str, Vec<Key>)> {
        let top_level_key = |name, effect| Key {
            name,
            effect,
            default: String::new(),
        };
        let top_level_keys = vec![
            top_level_key("node", &[" The name of this node, unique among all."]),
            top_level_key("region", &[" The region of this node."]),
            top_level_key("domain", &[" The failure domain of this node."]),
        ];
        vec![
            ("", top_level_keys),
            ("listen", Listen::keys()),
            ("advertise", Advertise::keys()),
            ("outside", Outside::keys()),
            ("streams", Streams::keys()),
            ("peers", Peers::keys()),
            ("logging", Logging::keys()),
            ("metrics", Metrics::keys()),
            ("limits", Limits::keys()),
            ("timings", Timings::keys()),
            ("policies", Policies::keys()),
            ("idempotency", Idempotency::keys()),
        ]
    }
}
