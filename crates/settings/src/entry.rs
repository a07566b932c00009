//! The settings of an entry node.

use crate::{
    Secret,
    read::{Document, Problem},
    section::{Key, default_section, required_section},
};
use name::{Domain, Node, Region};
use std::{io, net::SocketAddr, path::PathBuf};

/// A valid document with the required keys only, whose values replace invalid ones.
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
    /// The addresses on which this node listens.
    pub listen: Listen,
    /// The addresses at which others reach this node.
    #[serde(default)]
    pub advertise: Advertise,
    /// The external systems.
    pub outside: Outside,
    /// The names of the streams.
    #[serde(default)]
    pub streams: Streams,
    /// The other entry nodes.
    #[serde(default)]
    pub peers: Peers,
    /// Log output.
    #[serde(default)]
    pub logging: Logging,
    /// Metrics output.
    #[serde(default)]
    pub metrics: Metrics,
    /// Limits on resources and on callers.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals, timeouts and lifetimes.
    #[serde(default)]
    pub timings: Timings,
    /// The policies in use.
    #[serde(default)]
    pub policies: Policies,
    /// Requests that must run at most once.
    #[serde(default)]
    pub idempotency: Idempotency,
}

required_section! {
    /// The addresses on which this node listens: IP address and port.
    ///
    /// With port 0 the operating system chooses a port.
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
    /// The addresses at which others reach this node, if they differ from `listen`.
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
    /// The external systems.
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
        /// The stream of claims on requests that must run at most once.
        claims: String = "claims".into(),
    }
}

default_section! {
    /// The other entry nodes.
    Peers {
        /// The peer addresses to contact first; this node's own is skipped.
        seeds: Vec<SocketAddr> = Vec::new(),
        /// The file with the secret shared by the entry nodes, as hexadecimal digits.
        secret_file: Option<PathBuf> = None,
        /// The secret itself, as an alternative to `secret_file`.
        secret_hex: Option<Secret> = None,
    }
}

impl Peers {
    /// Returns the secret shared by the entry nodes, read from the file if one is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or its content is not a valid secret.
    pub fn secret(&self) -> Result<Option<Secret>, io::Error> {
        let Some(file) = &self.secret_file else {
            return Ok(self.secret_hex.clone());
        };
        let text = std::fs::read_to_string(file)?;
        let invalid_data = |problem| io::Error::new(io::ErrorKind::InvalidData, problem);
        Secret::try_from(text).map(Some).map_err(invalid_data)
    }
}

/// The least severe level of the log events that are written.
#[common::key]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Failures of this system.
    Error,
    /// Failures of other systems that this system tolerates.
    Warning,
    /// Changes of interest to operators.
    Info,
    /// Individual requests and messages.
    Debug,
    /// Everything.
    Trace,
}

/// The output format of log events.
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
    /// Log output.
    Logging {
        /// The least severe level that is written: `error`, `warning`, `info`, `debug` or `trace`.
        level: Level = Level::Info,
        /// The output format: `auto` (text on a terminal, otherwise JSON), `text` or `json`.
        format: Format = Format::Auto,
    }
}

default_section! {
    /// Metrics, sent over UDP in the StatsD format.
    Metrics {
        /// The destination address; no metrics are sent by default.
        address: Option<SocketAddr> = None,
        /// The prefix of all metric names.
        prefix: String = "arbutusford".into(),
    }
}

default_section! {
    /// Limits on the resources of this node and on the time that callers may take.
    Limits {
        /// The maximum size of a request body.
        max_body_bytes: u64 = 1 << 20,
        /// The timeout for receiving the head of a request, from its first byte.
        header_timeout_ms: u64 = 5_000,
        /// The timeout between two requests of a connection.
        idle_timeout_ms: u64 = 60_000,
        /// The timeout for receiving the body of a request.
        body_timeout_ms: u64 = 10_000,
        /// The timeout of a request that has no deadline of its own.
        request_timeout_ms: u64 = 60_000,
        /// The maximum number of connections from callers.
        max_connections: u32 = 4_096,
        /// The memory that the process may use, socket buffers included, in MiB.
        memory_mib: u64 = 1_024,
        /// The number of file descriptors that the process may open; at most its own limit,
        /// which is the default.
        max_descriptors: Option<u32> = None,
        /// The maximum number of queued requests of all client accounts.
        queue_requests: u32 = 1_024,
        /// The maximum number of queued requests of one client account.
        queue_requests_per_account: u32 = 256,
    }
}

default_section! {
    /// Intervals, timeouts and lifetimes of the control plane.
    Timings {
        /// The interval between heartbeats to a peer.
        heartbeat_ms: u64 = 500,
        /// The time without a heartbeat after which a peer is suspected.
        peer_suspicion_ms: u64 = 2_500,
        /// The interval between report requests to a backend server.
        report_poll_ms: u64 = 250,
        /// The age after which the report of a backend server is stale.
        report_freshness_ms: u64 = 1_500,
        /// The age after which a read of the log's tail no longer confirms
        /// that the state is current.
        voucher_bound_ms: u64 = 2_000,
        /// The time for which callers may cache the list of entry nodes.
        entries_ttl_ms: u64 = 5_000,
        /// The maximum time between the decision on an order and its effect.
        order_lifetime_ms: u64 = 2_000,
        /// The time for which the log retains a record.
        log_retention_s: u64 = 86_400,
        /// The maximum wait of one read for new log records.
        log_wait_ms: u64 = 500,
        /// The timeout of a call to an external system.
        outside_timeout_ms: u64 = 2_000,
        /// The timeout for establishing a connection.
        connect_timeout_ms: u64 = 500,
        /// The interval between reads of the instance list.
        instances_poll_ms: u64 = 500,
        /// The maximum wait for requests in progress when this node stops.
        stop_ms: u64 = 60_000,
    }
}

default_section! {
    /// The names of the policies in use.
    Policies {
        /// The policy that selects the replicas to form.
        replica: String = "default".into(),
        /// The policy that selects the replica for a request.
        route: String = "default".into(),
    }
}

default_section! {
    /// Requests that must run at most once.
    Idempotency {
        /// The age above which an idempotency key is rejected.
        window_s: u64 = 3_600,
        /// The maximum time by which a key's timestamp may be ahead of this node's clock.
        future_ms: u64 = 5_000,
        /// The maximum number of keys that are stored.
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

    /// Adds the problems of the timings, the limits and the secret.
    fn check_values(&self, problems: &mut Vec<Problem>) {
        let timings = &self.timings;
        let mut require_min = |key: &str, value: u64, min: u64, reason: &str| {
            if value < min {
                let text = format!("{value} is too small: expected at least {min}, {reason}");
                problems.push(Problem::new(key, text));
            }
        };
        require_min(
            "timings.heartbeat_ms",
            timings.heartbeat_ms,
            1,
            "a positive time",
        );
        require_min(
            "timings.report_poll_ms",
            timings.report_poll_ms,
            1,
            "a positive time",
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
        require_min(
            "limits.max_body_bytes",
            self.limits.max_body_bytes,
            1,
            "a positive size",
        );
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
            top_level_key(
                "node",
                &[" The name of this node, unique among all entry nodes."],
            ),
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
