//! Limits of the rate of requests to a server, over all nodes.
//!
//! Cold servers and servers in need take few requests from all nodes together. No node
//! sees the others' requests in time, so each has a fixed share ([`node_share`]) of each
//! limit, and a target may get a request while all of its shares have room. The shares
//! of a limit are whole requests in a span, and add up to the limit for any number of
//! nodes.

use clock::Moment;
use name::Instance;
use std::{collections::HashMap, time::Duration};

/// The span in which a named limit is divided into whole requests.
///
/// A longer span divides low rates among more nodes.
pub const NAMED_SPAN: Duration = Duration::from_secs(4);

/// The span in which the limit of a cold server is divided into whole requests.
pub const COLD_SPAN: Duration = Duration::from_secs(1);

/// The time after which a limit that no answer has confirmed is forgotten.
///
/// An old limit does little harm: one request in [`NAMED_SPAN`] always goes to the
/// server, whose answer confirms or lifts it.
const MAX_AGE: Duration = Duration::from_secs(600);

/// The minimum time between two changes of a server's limit that other nodes are sent.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// The relative change from which a limit counts as changed.
const MIN_CHANGE: f64 = 0.1;

/// The number of requests that a node may send to a target in a span.
#[common::plain]
#[derive(Copy, Eq)]
pub struct Share {
    /// The number of requests.
    pub requests: usize,
    /// The span.
    pub span: Duration,
}

impl Share {
    /// Returns the requests per second that the share allows.
    pub fn rate(self) -> f64 {
        self.requests as f64 / self.span.as_secs_f64()
    }
}

/// A limit that a server named.
#[common::plain]
#[derive(Copy)]
pub struct Named {
    /// The incarnation of the server.
    pub incarnation: u64,
    /// The requests per second that it takes from all nodes together; `None` once it
    /// names no limit any more.
    pub per_s: Option<f64>,
    /// When it answered so.
    pub at: Moment,
}

/// A limit that a server named, with this node's share.
#[derive(Debug, Clone)]
struct Entry {
    named: Named,
    share: usize,
    /// What was named when a change was last reported.
    reported: Named,
}

/// The limits that servers named last.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    entries: HashMap<Instance, Entry>,
    own: String,
    /// The names of all nodes, this one included, sorted.
    nodes: Vec<String>,
}

impl Limits {
    /// Sets the nodes among which limits are divided, this one included.
    pub fn set_nodes(&mut self, own: &str, mut nodes: Vec<&str>) {
        nodes.sort_unstable();
        if self.own == own && self.nodes == nodes {
            return;
        }
        self.own = own.to_owned();
        self.nodes = nodes.into_iter().map(str::to_owned).collect();
        let mut entries = std::mem::take(&mut self.entries);
        for (server, entry) in &mut entries {
            entry.share = self.compute_share(server, entry.named);
        }
        self.entries = entries;
    }

    /// Records what a server named; returns whether other nodes should be sent it.
    ///
    /// An answer that is older than the known one is ignored. Other nodes are sent changes
    /// of more than a tenth, and at most one in [`ANNOUNCEMENT_INTERVAL`].
    pub fn record(&mut self, server: &Instance, named: Named) -> bool {
        let known = self.entries.get(server);
        if known.is_none() && named.per_s.is_none() {
            return false;
        }
        if known.is_some_and(|known| named.at < known.named.at) {
            return false;
        }
        let reported = known.map(|known| known.reported).filter(|reported| {
            let is_same = reported.incarnation == named.incarnation
                && !is_different(reported.per_s, named.per_s);
            is_same || named.at.since(reported.at) < ANNOUNCEMENT_INTERVAL
        });
        let entry = Entry {
            named,
            share: self.compute_share(server, named),
            reported: reported.unwrap_or(named),
        };
        self.entries.insert(server.clone(), entry);
        reported.is_none()
    }

    /// Returns the requests per second that an incarnation of a server takes; `None` if
    /// it names no limit.
    pub fn per_s(&self, server: &Instance, incarnation: u64) -> Option<f64> {
        let named = self.entries.get(server)?.named;
        named.per_s.filter(|_| named.incarnation == incarnation)
    }

    /// Returns this node's share of the limit of an incarnation of a server; `None` if
    /// it names no limit.
    pub fn share(&self, server: &Instance, incarnation: u64) -> Option<Share> {
        self.per_s(server, incarnation)?;
        let entry = self.entries.get(server)?;
        Some(Share {
            requests: entry.share,
            span: NAMED_SPAN,
        })
    }

    /// Returns what a server named last.
    pub fn named(&self, server: &Instance) -> Option<Named> {
        self.entries.get(server).map(|entry| entry.named)
    }

    /// Returns all servers that named a limit, those that answered last first.
    pub fn servers(&self) -> Vec<Instance> {
        let mut servers: Vec<(Moment, &Instance)> = self
            .entries
            .iter()
            .map(|(server, entry)| (entry.named.at, server))
            .collect();
        servers.sort_unstable_by(|a, b| b.cmp(a));
        let servers = servers.into_iter();
        servers.map(|(_, server)| server.clone()).collect()
    }

    /// Forgets limits that no answer has confirmed for long.
    pub fn expire(&mut self, now: Moment) {
        self.entries
            .retain(|_, entry| now.since(entry.named.at) < MAX_AGE);
    }

    /// Returns this node's share of a limit.
    ///
    /// One node may always send a request in a span, so that its answer confirms or
    /// lifts the limit.
    fn compute_share(&self, server: &Instance, named: Named) -> usize {
        let requests = named.per_s.unwrap_or(0.0) * NAMED_SPAN.as_secs_f64();
        let nodes = self.nodes.iter().map(String::as_str);
        node_share(requests.max(1.0), server, &self.own, nodes)
    }
}

/// Returns whether two limits differ by more than a tenth.
fn is_different(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => (before - after).abs() > MIN_CHANGE * before.max(after),
        (before, after) => before.is_some() != after.is_some(),
    }
}

/// Returns one node's share of the limit of a cold server.
pub fn cold_share<'a>(
    per_s: f64,
    server: &Instance,
    node: &str,
    nodes: impl ExactSizeIterator<Item = &'a str>,
) -> Share {
    Share {
        requests: node_share(per_s, server, node, nodes),
        span: COLD_SPAN,
    }
}

/// Returns one node's share of a number of requests that all nodes together may send.
///
/// The number is divided into whole requests, so that the shares of all nodes add up to
/// it for any number of nodes. Each server begins the division with another node.
fn node_share<'a>(
    requests: f64,
    server: &Instance,
    node: &str,
    nodes: impl ExactSizeIterator<Item = &'a str>,
) -> usize {
    // A number beyond the range of the integer is cut off at its end.
    let limit = requests as usize;
    let count = nodes.len().max(1);
    let rank = name::rendezvous_rank(server.as_str(), node, nodes);
    limit / count + usize::from(rank < limit % count)
}
