//! The credit for further attempts.

use site::settings::Bounds;

/// The part of the allowance that is given out.
///
/// The rest covers windows that begin between a request and its attempts, and
/// nodes that start with a full part while others still use theirs.
const USED_PART: f64 = 0.85;

/// A node's credit for sending requests for one service to a further server.
///
/// The credit holds at most this node's part of the allowance, and each request
/// adds a fraction of one. In any window all nodes together thus make at most
/// the allowance plus that fraction of their requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    credit: f64,
    most: f64,
    per_request: f64,
}

impl Budget {
    /// Returns the full credit of one of `nodes` nodes.
    pub fn new(bounds: &Bounds, nodes: usize) -> Self {
        let most = Self::part(bounds, nodes);
        Self {
            credit: most,
            most,
            per_request: bounds.retry_ratio * USED_PART,
        }
    }

    /// Returns one node's part of the allowance, in attempts.
    fn part(bounds: &Bounds, nodes: usize) -> f64 {
        bounds.retry_slack * USED_PART / nodes.max(1) as f64
    }

    /// Divides the allowance anew, among `nodes` nodes.
    pub fn divide(&mut self, bounds: &Bounds, nodes: usize) {
        self.most = Self::part(bounds, nodes);
        self.credit = self.credit.min(self.most);
    }

    /// Notes a request of a caller.
    pub fn request(&mut self) {
        self.credit = (self.credit + self.per_request).min(self.most);
    }

    /// Takes the credit for one further attempt, if there is enough.
    pub fn take(&mut self) -> bool {
        let has_credit = self.credit >= 1.0;
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }
}
