//! Whether this node reaches the backend servers.

use clock::Moment;
use name::Instance;
use std::{collections::HashMap, time::Duration};

/// The number of servers out of reach at about the same time from which the node checks
/// its links.
const MIN_FAILING: usize = 2;

/// The time within which servers out of reach count together.
const FAILURE_SPAN: Duration = Duration::from_secs(1);

/// The time between two checks of an isolated node.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The time between two checks of a node that is not isolated.
pub const CONNECTED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The number of servers that one check connects to.
pub const CHECKED_SERVERS: usize = 6;

/// The share of checked servers that may accept connections while the node is isolated.
const MAX_ACCEPTED_ISOLATED: f64 = 0.25;

/// The share of checked servers that must accept connections for the node to be no longer
/// isolated.
const MIN_ACCEPTED_CONNECTED: f64 = 0.5;

/// The number of such checks in a row.
///
/// Hysteresis keeps the node from switching while its links come and go.
const CONNECTED_CHECKS: u32 = 2;

/// Whether this node reaches the backend servers.
///
/// Servers that fail requests are only a reason to check: the node connects to some servers
/// at random, and is isolated if nearly none accepts. So a server that is silent for a
/// moment, or a failure domain that is lost, isolates no node.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// The servers that were out of reach, and when.
    failing: HashMap<Instance, Moment>,
    is_checking: bool,
    next_check: Option<Moment>,
    isolated_since: Option<Moment>,
    connected_checks: u32,
}

impl Reach {
    /// Records that a server could not be reached; returns whether a check must begin.
    pub fn record_failure(&mut self, server: &Instance, now: Moment) -> bool {
        self.failing.retain(|_, at| now.since(*at) < FAILURE_SPAN);
        self.failing.insert(server.clone(), now);
        let is_due = self.next_check.is_none_or(|at| now >= at);
        let is_needed = self.failing.len() >= MIN_FAILING && self.isolated_since.is_none();
        if !is_needed || !is_due || self.is_checking {
            return false;
        }
        self.is_checking = true;
        true
    }

    /// Records a response of a server.
    pub fn record_contact(&mut self, server: &Instance) {
        if !self.failing.is_empty() {
            self.failing.remove(server);
        }
    }

    /// Records that `accepted` of `checked` servers accepted a connection; returns whether
    /// the node has become isolated or connected.
    pub fn record_check(&mut self, accepted: usize, checked: usize, now: Moment) -> bool {
        self.is_checking = false;
        self.next_check = Some(now + CONNECTED_CHECK_INTERVAL);
        // Without servers there is nothing to be cut off from.
        let share = if checked == 0 {
            1.0
        } else {
            accepted as f64 / checked as f64
        };
        if self.isolated_since.is_none() {
            let is_isolated = checked >= MIN_FAILING && share <= MAX_ACCEPTED_ISOLATED;
            self.isolated_since = is_isolated.then_some(now);
            self.connected_checks = 0;
            return is_isolated;
        }
        self.connected_checks = if share >= MIN_ACCEPTED_CONNECTED {
            self.connected_checks + 1
        } else {
            0
        };
        let is_connected = self.connected_checks >= CONNECTED_CHECKS;
        if is_connected {
            self.isolated_since = None;
            self.failing.clear();
        }
        is_connected
    }

    /// Returns since when the node is isolated, if it is.
    pub fn isolated_since(&self) -> Option<Moment> {
        self.isolated_since
    }

    /// Returns whether the node checks whether it is isolated.
    pub fn is_checking(&self) -> bool {
        self.is_checking
    }

    /// Returns whether the node is isolated, or checks whether it is.
    pub fn is_in_doubt(&self) -> bool {
        self.is_checking || self.isolated_since.is_some()
    }

    /// Returns the number of servers that were out of reach lately.
    pub fn failing_count(&self) -> usize {
        self.failing.len()
    }
}
