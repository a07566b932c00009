//! Planned stop: drains requests in progress before the process exits.

use clock::Moment;
use std::time::Duration;

/// The stage of a planned stop.
#[common::key]
pub enum Stage {
    /// Listed in the directory; accepts requests.
    Serving,
    /// No longer listed; accepts requests from callers with a cached directory.
    Leaving {
        /// When the last cached directory expires.
        until: Moment,
    },
    /// Accepts no requests; completes those in progress.
    Draining,
    /// No requests are in progress; the process may exit.
    Stopped,
}

/// The planned stop of this node.
#[derive(Debug)]
pub struct Drain {
    stage: Stage,
    in_progress: usize,
}

impl Default for Drain {
    fn default() -> Self {
        Self::new()
    }
}

impl Drain {
    /// Returns the drain of a node that serves.
    pub fn new() -> Self {
        Self {
            stage: Stage::Serving,
            in_progress: 0,
        }
    }

    /// Starts the stop; directories issued until now expire after `ttl`.
    ///
    /// Repeated calls have no effect. This node and its peers list the node
    /// until they have received its new role, so `ttl` must include that delay.
    pub fn start(&mut self, ttl: Duration, now: Moment) {
        if self.stage == Stage::Serving {
            self.stage = Stage::Leaving { until: now + ttl };
        }
    }

    /// Registers a new request; returns whether it is accepted.
    ///
    /// The caller answers a rejected request as not-run.
    pub fn begin_request(&mut self, now: Moment) -> bool {
        let is_accepted = matches!(self.update(now), Stage::Serving | Stage::Leaving { .. });
        self.in_progress += usize::from(is_accepted);
        is_accepted
    }

    /// Removes a request whose response was sent completely or whose caller
    /// disconnected.
    pub fn end_request(&mut self, now: Moment) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.update(now);
    }

    /// Advances to the stage at `now` and returns it.
    pub fn update(&mut self, now: Moment) -> Stage {
        match self.stage {
            Stage::Leaving { until } if now >= until => self.stage = Stage::Draining,
            _ => {}
        }
        if self.stage == Stage::Draining && self.in_progress == 0 {
            self.stage = Stage::Stopped;
        }
        self.stage
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }
}
