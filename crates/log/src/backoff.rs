//! Delays between retries.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// The maximum number of doublings, which prevents an overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff with seeded jitter.
///
/// Each delay is random between half of an upper bound and the bound itself,
/// which doubles from `min` to `max`. The jitter keeps nodes that failed at the
/// same time from retrying at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
    rng: StdRng,
}

impl Backoff {
    /// Returns a backoff whose delays grow from `min` to `max`.
    pub fn new(min: Duration, max: Duration, seed: u64) -> Self {
        Self {
            min,
            max,
            failures: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn record_failure(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let span = self.min.saturating_mul(1 << doublings).min(self.max);
        span.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Records a success, so that the next delay starts from `min` again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
