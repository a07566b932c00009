//! Pauses between retries.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// The most doublings, which keeps the arithmetic within range.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential back-off with jitter from a seed.
///
/// Each pause lies between half and all of a span that doubles from `min` up
/// to `max`, so that nodes that failed together do not retry together.
#[derive(Debug, Clone)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
    rng: StdRng,
}

impl Backoff {
    /// Returns a back-off whose pauses grow from `min` to `max`.
    pub fn new(min: Duration, max: Duration, seed: u64) -> Self {
        Self {
            min,
            max,
            failures: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Notes a failure and returns the pause before the next try.
    pub fn record_failure(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let span = self.min.saturating_mul(1 << doublings).min(self.max);
        span.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Notes a success; the next pause is short again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
