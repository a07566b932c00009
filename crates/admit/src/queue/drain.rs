//! The rate at which a queue with a backlog drains.

use clock::Moment;
use std::time::Duration;

/// The span over which one rate is sampled.
const WINDOW: Duration = Duration::from_millis(250);

/// The part of a new sample in the rate.
const SAMPLE_PART: f64 = 0.3;

/// The observed drain rate.
#[derive(Debug, Clone, Default)]
pub(super) struct Drain {
    /// When the present window began; `None` without a backlog.
    since: Option<Moment>,
    tokens: u64,
    /// Tokens per second.
    rate: Option<f64>,
}

impl Drain {
    /// Notes that an entry left, and whether others still wait.
    pub(super) fn popped(&mut self, tokens: u64, is_backlogged: bool, now: Moment) {
        if !is_backlogged {
            self.since = None;
            return;
        }
        let Some(since) = self.since else {
            self.since = Some(now);
            self.tokens = 0;
            return;
        };
        self.tokens += tokens;
        let elapsed = now.since(since);
        if elapsed < WINDOW {
            return;
        }
        let sample = self.tokens as f64 / elapsed.as_secs_f64();
        let old = self.rate.unwrap_or(sample);
        self.rate = Some(old + SAMPLE_PART * (sample - old));
        self.since = Some(now);
        self.tokens = 0;
    }

    /// Returns tokens per second, if observed.
    pub(super) fn rate(&self, now: Moment) -> Option<f64> {
        let rate = self.rate?;
        let Some(since) = self.since else {
            return Some(rate.max(1.0));
        };
        // A stall shows before its window is complete.
        let elapsed = now.since(since);
        if elapsed < WINDOW * 2 {
            return Some(rate.max(1.0));
        }
        let present = (self.tokens as f64 + 1.0) / elapsed.as_secs_f64();
        Some(rate.min(present).max(1.0))
    }
}
