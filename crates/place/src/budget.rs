//! The credit for further attempts.

use site::settings::Bounds;

/// The part of the allowance that is given out.
///
/// The rest covers windows that begin between a request and its attempts, and
/// nodes that start with a full part while others still use theirs.
const GRANTED_FRACTION: f64 = 0.85;

/// A node's credit for sending requests for one service to a further server.
///
/// The credit holds at most this node's part of the allowance, and each request
/// adds a fraction of one. In any window all nodes together thus make at most
/// the allowance plus that fraction of their requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    credit: f64,
    capacity: f64,
    per_request: f64,
}

impl RetryBudget {
    /// Returns the full credit of one of `nodes` nodes.
    pub fn new(bounds: &Bounds, nodes: usize) -> Self {
        let capacity = Self::node_share(bounds, nodes);
        Self {
            credit: capacity,
            capacity,
            per_request: bounds.retry_ratio * GRANTED_FRACTION,
        }
    }

    /// Returns one node's part of the allowance, in attempts.
    fn node_share(bounds: &Bounds, nodes: usize) -> f64 {
        bounds.retry_slack * GRANTED_FRACTION / nodes.max(1) as f64
    }

    /// Divides the allowance anew, among `nodes` nodes.
    pub fn set_node_count(&mut self, bounds: &Bounds, nodes: usize) {
        self.capacity = Self::node_share(bounds, nodes);
        self.credit = self.credit.min(self.capacity);
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + self.per_request).min(self.capacity);
    }

    /// Takes the credit for one further attempt, if there is enough.
    pub fn try_take(&mut self) -> bool {
        let has_credit = self.credit >= 1.0;
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }
}
