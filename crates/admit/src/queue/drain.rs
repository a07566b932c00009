//! Measures the rate at which a queue with a backlog drains.

use clock::Moment;
use std::time::Duration;

/// The time over which one sample of the rate is taken.
const SAMPLE_WINDOW: Duration = Duration::from_millis(250);

/// The weight of a new sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.3;

/// An exponential moving average of the tokens removed per second.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainRate {
    /// The start of the current sample window; `None` without a backlog.
    window_start: Option<Moment>,
    /// Tokens removed in the current window.
    tokens: u64,
    /// Tokens per second.
    rate: Option<f64>,
}

impl DrainRate {
    /// Records the removal of an entry, and whether others still wait.
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

    /// Returns the tokens per second, if a sample was taken.
    pub(super) fn rate(&self, now: Moment) -> Option<f64> {
        let rate = self.rate?;
        let Some(window_start) = self.window_start else {
            return Some(rate.max(1.0));
        };
        // A stall of two windows lowers the rate before the next removal completes the sample.
        let elapsed = now.since(window_start);
        if elapsed < SAMPLE_WINDOW * 2 {
            return Some(rate.max(1.0));
        }
        let current = (self.tokens as f64 + 1.0) / elapsed.as_secs_f64();
        Some(rate.min(current).max(1.0))
    }
}
