//! The budget for retries.

use site::settings::Bounds;

/// The fraction of the deployment's retry allowance that is divided among nodes.
///
/// The rest covers windows that begin between a request and its retries, and nodes
/// that start with a full share while others still use theirs.
const GRANTED_FRACTION: f64 = 0.85;

/// A node's budget for retrying the requests of one service at another server.
///
/// The credit is limited to this node's share of the allowance, and each request adds
/// a fraction of one retry. In any window, all nodes together thus make at most the
/// allowance plus that fraction of their requests.
///
/// A node that was started again has only the credit that its requests earn, until it has run
/// for a window. It may not know the other nodes yet, and its earlier incarnation may have used
/// its share in this window.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    credit: f64,
    capacity: f64,
    per_request: f64,
    /// Whether the node had its share once.
    is_granted: bool,
}

impl RetryBudget {
    /// Returns the budget of one of `nodes` nodes, with its share if `is_entitled`.
    pub fn new(bounds: &Bounds, nodes: usize, is_entitled: bool) -> Self {
        let mut budget = Self {
            credit: 0.0,
            capacity: 0.0,
            per_request: bounds.retry_ratio * GRANTED_FRACTION,
            is_granted: false,
        };
        budget.update(bounds, nodes, is_entitled);
        budget
    }

    /// Returns one node's share of the allowance, in retries.
    fn node_share(bounds: &Bounds, nodes: usize) -> f64 {
        bounds.retry_slack * GRANTED_FRACTION / nodes.max(1) as f64
    }

    /// Divides the allowance among `nodes` nodes, limiting the present credit, and grants
    /// this node its share once it is entitled to it.
    pub fn update(&mut self, bounds: &Bounds, nodes: usize, is_entitled: bool) {
        self.capacity = Self::node_share(bounds, nodes);
        if is_entitled && !self.is_granted {
            self.is_granted = true;
            self.credit = self.capacity;
        }
        self.credit = self.credit.min(self.capacity);
    }

    /// Adds the credit that a caller's request earns.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + self.per_request).min(self.capacity);
    }

    /// Takes the credit for one retry; returns whether there was enough.
    pub fn try_take(&mut self) -> bool {
        let has_credit = self.credit >= 1.0;
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }
}
