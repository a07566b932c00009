//! The rate at which a queue with a backlog drains.

use clock::Moment;
use std::time::Duration;

/// The span over which one rate is sampled.
const SAMPLE_WINDOW: Duration = Duration::from_millis(250);

/// The part of a new sample in the rate.
const SMOOTHING_FACTOR: f64 = 0.3;

/// The observed drain rate.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainRate {
    /// When the present window began; `None` without a backlog.
    window_start: Option<Moment>,
    tokens: u64,
    /// Tokens per second.
    rate: Option<f64>,
}

impl DrainRate {
    /// Notes that an entry left, and whether others still wait.
    pub(super) fn record_pop(&mut self, tokens: u64, is_backlogged: bool, now: Moment) {
        if !is_backlogged {
            self.window_start = None;
            return;
        }
        let Some(window_start) = self.window_start else {
            self.window_start = Some(now);
            self.tokens = 0;
            return;
        };
        self.tokens += tokens;
        let elapsed = now.since(window_start);
        if elapsed < SAMPLE_WINDOW {
            return;
        }
        let sample = self.tokens as f64 / elapsed.as_secs_f64();
        let previous = self.rate.unwrap_or(sample);
        self.rate = Some(previous + SMOOTHING_FACTOR * (sample - previous));
        self.window_start = Some(now);
        self.tokens = 0;
    }

    /// Returns tokens per second, if observed.
    pub(super) fn rate(&self, now: Moment) -> Option<f64> {
        let rate = self.rate?;
        let Some(window_start) = self.window_start else {
            return Some(rate.max(1.0));
        };
        // A stall shows before its window is complete.
        let elapsed = now.since(window_start);
        if elapsed < SAMPLE_WINDOW * 2 {
            return Some(rate.max(1.0));
        }
        let current = (self.tokens as f64 + 1.0) / elapsed.as_secs_f64();
        Some(rate.min(current).max(1.0))
    }
}
