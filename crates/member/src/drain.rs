//! A planned stop that cuts nothing off.

use clock::Moment;
use std::time::Duration;

/// How far a planned stop has come.
#[common::key]
pub enum Stage {
    /// Listed, and takes requests.
    Serving,
    /// No longer listed; takes requests of callers that keep an older answer.
    Leaving {
        /// When the last such answer runs out.
        until: Moment,
    },
    /// Listens no more; finishes the requests in progress.
    Draining,
    /// Nothing is in progress: the process may end.
    Stopped,
}

/// A planned stop of this node.
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
    /// Returns a node that serves.
    pub fn new() -> Self {
        Self {
            stage: Stage::Serving,
            in_progress: 0,
        }
    }

    /// Starts the stop; listings given out until now last for `ttl`.
    ///
    /// A repeated order changes nothing. The node's own and its peers' answers
    /// name it until they learn of the stop, so `ttl` includes that time.
    pub fn start(&mut self, ttl: Duration, now: Moment) {
        if self.stage == Stage::Serving {
            self.stage = Stage::Leaving { until: now + ttl };
        }
    }

    /// Counts a new request in; returns whether it is taken.
    ///
    /// One that is not taken is answered as not-run.
    pub fn begin_request(&mut self, now: Moment) -> bool {
        let is_accepted = matches!(self.update(now), Stage::Serving | Stage::Leaving { .. });
        self.in_progress += usize::from(is_accepted);
        is_accepted
    }

    /// Counts a request out whose answer was sent whole, or whose caller left.
    pub fn end_request(&mut self, now: Moment) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.update(now);
    }

    /// Returns the stage at `now`.
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
