//! Token buckets that limit the use of one account on one node.

use super::node::Limit;
use clock::Moment;
use std::time::Duration;
use verdict::{Error, Kind};

/// The time for which the rate may accrue and then be used at once.
///
/// A node's share of a rate is small compared with a single draft request: with a
/// shorter window, requests far below the account's limit would wait for the bucket
/// to refill.
const BURST_WINDOW: Duration = Duration::from_secs(4);

/// The retry time returned when the concurrency limit is reached.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest retry time returned.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A token bucket.
#[common::plain]
pub struct Bucket {
    /// Units per second.
    rate: f64,
    /// Negative after an answer that was longer than estimated, until refilled.
    balance: f64,
    /// When the bucket was last refilled.
    refilled_at: Moment,
}

impl Bucket {
    /// Returns a bucket of `rate` units per second that starts full.
    pub fn new(rate: u32, now: Moment) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            balance: rate * BURST_WINDOW.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Changes the rate; the balance is kept up to the new burst.
    pub fn set_rate(&mut self, rate: u32, now: Moment) {
        self.refill(now);
        self.rate = f64::from(rate);
        self.balance = self.balance.min(self.burst());
    }

    /// Returns the time until `units` may be taken, zero if available now.
    ///
    /// More than the burst may be taken from a full bucket, whose balance then is negative.
    pub fn time_until_available(&mut self, units: f64, now: Moment) -> Duration {
        self.refill(now);
        let missing = units.min(self.burst()) - self.balance;
        if self.rate <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        // Tolerates floating-point rounding errors.
        if missing <= 1e-9 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((missing / self.rate).min(MAX_RETRY_AFTER.as_secs_f64()))
    }

    /// Takes `units`, or returns them if negative.
    pub fn take(&mut self, units: f64) {
        self.balance = (self.balance - units).min(self.burst());
    }

    /// Returns the maximum balance.
    fn burst(&self) -> f64 {
        self.rate * BURST_WINDOW.as_secs_f64()
    }

    /// Adds the units accrued since the last refill.
    fn refill(&mut self, now: Moment) {
        let accrued = self.rate * now.since(self.refilled_at).as_secs_f64();
        self.balance = (self.balance + accrued).min(self.burst());
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// The limit that refused a request.
#[common::key]
pub enum Refusal {
    /// Tokens per second.
    Tokens,
    /// Requests per second.
    Requests,
    /// Requests in progress.
    Concurrency,
}

/// The use of one account on one node, checked against the node's limit.
#[common::plain]
pub struct Usage {
    tokens: Bucket,
    requests: Bucket,
    concurrency: u32,
    in_progress: u32,
}

impl Usage {
    /// Returns the usage of an idle account under `limit`, the node's share.
    pub fn new(limit: Limit, now: Moment) -> Self {
        Self {
            tokens: Bucket::new(limit.tokens_per_s, now),
            requests: Bucket::new(limit.requests_per_s, now),
            concurrency: limit.concurrency,
            in_progress: 0,
        }
    }

    /// Changes the node's limit.
    pub fn set_limit(&mut self, limit: Limit, now: Moment) {
        self.tokens.set_rate(limit.tokens_per_s, now);
        self.requests.set_rate(limit.requests_per_s, now);
        self.concurrency = limit.concurrency;
    }

    /// Starts a request of `estimated` tokens.
    ///
    /// # Errors
    ///
    /// Returns an error with verdict not-run if a limit is reached.
    pub fn start(&mut self, estimated: u64, now: Moment) -> Result<(), Error> {
        if let Some((refusal, wait)) = self.find_refusal(estimated, now) {
            let message = match refusal {
                Refusal::Tokens => "the account's tokens per second are used up",
                Refusal::Requests => "the account's requests per second are used up",
                Refusal::Concurrency => "the account has too many requests in progress",
            };
            return Err(Error::not_run(Kind::Limited, message).with_retry_after(wait));
        }
        self.requests.take(1.0);
        self.tokens.take(estimated as f64);
        self.in_progress += 1;
        Ok(())
    }

    /// Ends a request, and corrects its estimated tokens to `actual`.
    pub fn finish(&mut self, estimated: u64, actual: u64) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.tokens.take(actual as f64 - estimated as f64);
    }

    /// Returns the requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns the limit that would refuse a request now, and the time to wait.
    fn find_refusal(&mut self, estimated: u64, now: Moment) -> Option<(Refusal, Duration)> {
        if self.in_progress >= self.concurrency {
            return Some((Refusal::Concurrency, CONCURRENCY_RETRY_AFTER));
        }
        let waits = [
            (
                Refusal::Requests,
                self.requests.time_until_available(1.0, now),
            ),
            (
                Refusal::Tokens,
                self.tokens.time_until_available(estimated as f64, now),
            ),
        ];
        let longest = waits.into_iter().max_by_key(|(_, wait)| *wait)?;
        (longest.1 > Duration::ZERO).then_some(longest)
    }
}
