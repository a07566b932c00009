//! Decides whether and when to retry a request.
//!
//! A retry requires a verdict that allows it, or an idempotent request; that this
//! node received the request from the caller, so that retries are not multiplied by
//! forwarding; time before the deadline; and credit in the account's [`Budget`],
//! which keeps attempts below 1.2 times the requests. Attempts of which no byte was sent
//! need none.

use clock::Moment;
use rand::Rng;
use std::time::Duration;
use verdict::{Error, Kind};

/// The number of requests that earn one retry.
const REQUESTS_PER_RETRY: u32 = 5;

/// The maximum number of retries saved in a budget.
const MAX_SAVED_RETRIES: u32 = 100;

/// The maximum attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// The maximum backoff before the second attempt; it doubles for each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// The upper bound of the exponential backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The retry budget of one account.
///
/// It starts empty and each request adds a fifth of a retry, so that attempts are
/// always fewer than 1.2 times the requests.
#[common::plain]
#[derive(Default)]
pub struct Budget {
    /// In fifths of a retry.
    credit: u32,
}

impl Budget {
    /// Records a request from a caller, which earns a fifth of a retry.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Spends the credit for one retry; returns false if there is not enough.
    pub fn try_spend(&mut self) -> bool {
        // Always keeps a fifth, so that attempts are fewer than 1.2 times the requests.
        let has_credit = self.credit > REQUESTS_PER_RETRY;
        if has_credit {
            self.credit -= REQUESTS_PER_RETRY;
        }
        has_credit
    }

    /// Returns the credit of a retry that was not made.
    pub fn refund(&mut self) {
        self.credit =
            (self.credit + REQUESTS_PER_RETRY).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }
}

/// The state of a request that may be retried.
#[common::value]
pub struct Context {
    /// The attempts made so far, including the first.
    pub attempts: u32,
    /// Whether another node forwarded the request here; if so, that node retries.
    pub is_forwarded: bool,
    /// Whether a repetition of the request has no further effect.
    pub is_idempotent: bool,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// The expected duration of another attempt.
    pub expected: Duration,
}

/// Why a request is not retried.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The request may have run, or a retry cannot succeed.
    Verdict,
    /// The node that forwarded the request decides on retries.
    Forwarded,
    /// The maximum number of attempts was made.
    Attempts,
    /// The answer would arrive after the deadline.
    Deadline,
    /// The account's retry budget is exhausted.
    Budget,
}

/// What to do after a failed attempt.
#[common::key]
pub enum Decision {
    /// Retry after this time.
    After(Duration),
    /// Return the error to the caller.
    Stop(Refusal),
}

/// Decides what to do after an attempt failed with `error`.
pub fn decide(
    context: &Context,
    error: &Error,
    budget: &mut Budget,
    now: Moment,
    rng: &mut impl Rng,
) -> Decision {
    if !is_retryable(context, error) {
        return Decision::Stop(Refusal::Verdict);
    }
    if context.is_forwarded {
        return Decision::Stop(Refusal::Forwarded);
    }
    if context.attempts >= MAX_ATTEMPTS {
        return Decision::Stop(Refusal::Attempts);
    }
    let wait = error.retry_after().unwrap_or_default() + backoff(context.attempts, rng);
    if now + wait + context.expected >= context.deadline {
        return Decision::Stop(Refusal::Deadline);
    }
    // The budget limits what reaches servers.
    if !error.is_unsent() && !budget.try_spend() {
        return Decision::Stop(Refusal::Budget);
    }
    Decision::After(wait)
}

/// Returns whether to hedge a slow attempt with a second one.
///
/// `waited` is the time since the first was sent, `p95` the 95th percentile of
/// the first-token or answer time. Spends a retry of the budget if true.
pub fn try_hedge(
    context: &Context,
    waited: Duration,
    p95: Option<Duration>,
    budget: &mut Budget,
    now: Moment,
) -> bool {
    let is_slow = p95.is_some_and(|p95| waited > p95);
    let is_allowed = context.is_idempotent && !context.is_forwarded && context.attempts == 1;
    let is_in_time = now + context.expected < context.deadline;
    is_slow && is_allowed && is_in_time && budget.try_spend()
}

/// Returns the timeout to send to the next server, less `margin` for the reply.
///
/// `None` if no time would be left.
pub fn remaining_timeout(deadline: Moment, margin: Duration, now: Moment) -> Option<Duration> {
    let left = now.until(deadline).checked_sub(margin)?;
    (left > Duration::ZERO).then_some(left)
}

/// Returns a random time up to the exponential backoff (full jitter) after `attempts`.
fn backoff(attempts: u32, rng: &mut impl Rng) -> Duration {
    let exponential = INITIAL_BACKOFF.saturating_mul(1 << attempts.saturating_sub(1).min(16));
    let micros = exponential.min(MAX_BACKOFF).as_micros();
    let max_micros = u64::try_from(micros).unwrap_or(u64::MAX);
    Duration::from_micros(rng.random_range(0..=max_micros))
}

/// Returns whether the error allows another attempt.
fn is_retryable(context: &Context, error: &Error) -> bool {
    let is_transient = matches!(
        error.kind(),
        Kind::Overloaded | Kind::Unavailable | Kind::Upstream
    );
    error.is_safe_to_retry() || (context.is_idempotent && is_transient)
}
