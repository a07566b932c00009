//! Whether and when to try a request again.
//!
//! A retry needs four things: a verdict that allows it, or a request that may
//! be repeated; that this node is where the caller came in, so that retries are
//! not retried; time before the deadline; and credit in the account's
//! [`Budget`], which keeps attempts below 1.2 times the requests.

use clock::Moment;
use rand::Rng;
use std::time::Duration;
use verdict::{Error, Kind};

/// Requests that earn one further attempt.
const REQUESTS_PER_RETRY: u32 = 5;

/// The further attempts that may be saved up.
const MAX_SAVED_RETRIES: u32 = 100;

/// The attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

/// The longest backoff before the second attempt; it doubles for each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The credit of one account for further attempts.
///
/// It starts empty and each request adds a fifth, so that at every moment
/// attempts are fewer than 1.2 times the requests.
#[common::plain]
#[derive(Default)]
pub struct Budget {
    /// In fifths of an attempt.
    credit: u32,
}

impl Budget {
    /// Notes a request that came from a caller.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes the credit for one attempt, if there is enough.
    pub fn try_spend(&mut self) -> bool {
        // A fifth stays, so that attempts are fewer than 1.2 times the requests.
        let has_credit = self.credit > REQUESTS_PER_RETRY;
        if has_credit {
            self.credit -= REQUESTS_PER_RETRY;
        }
        has_credit
    }

    /// Gives back the credit of an attempt that was not made.
    pub fn refund(&mut self) {
        self.credit =
            (self.credit + REQUESTS_PER_RETRY).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }
}

/// What is known of a request that might be tried again.
#[common::value]
pub struct Context {
    /// The attempts made so far, the first included.
    pub attempts: u32,
    /// Whether another node sent the request here; then that node retries.
    pub is_forwarded: bool,
    /// Whether the request may be repeated without effect.
    pub is_idempotent: bool,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// The time that another attempt is expected to take.
    pub expected: Duration,
}

/// Why a request is not tried again.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The request may have run, or another attempt cannot succeed.
    Verdict,
    /// The node that forwarded the request decides.
    Forwarded,
    /// Enough attempts were made.
    Attempts,
    /// The answer would come too late.
    Deadline,
    /// The account's budget is used up.
    Budget,
}

/// What to do after a failed attempt.
#[common::key]
pub enum Decision {
    /// Try again after the time.
    After(Duration),
    /// Report the error.
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
    if !budget.try_spend() {
        return Decision::Stop(Refusal::Budget);
    }
    Decision::After(wait)
}

/// Returns whether to send a second attempt beside one that is slow.
///
/// `waited` is the time since the first was sent, `p95` the 95th percentile of
/// the first-token or answer time. Takes the attempt from the budget.
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

/// Returns the time to name to the next server, `margin` kept for the way back.
///
/// `None` if nothing would be left.
pub fn remaining_timeout(deadline: Moment, margin: Duration, now: Moment) -> Option<Duration> {
    let left = now.until(deadline).checked_sub(margin)?;
    (left > Duration::ZERO).then_some(left)
}

/// Returns a random time up to the exponential backoff after `attempts`.
fn backoff(attempts: u32, rng: &mut impl Rng) -> Duration {
    let exponential = INITIAL_BACKOFF.saturating_mul(1 << attempts.saturating_sub(1).min(16));
    let micros = exponential.min(MAX_BACKOFF).as_micros();
    let max_micros = u64::try_from(micros).unwrap_or(u64::MAX);
    Duration::from_micros(rng.random_range(0..=max_micros))
}

/// Returns whether the error allows another attempt at all.
fn is_retryable(context: &Context, error: &Error) -> bool {
    let is_transient = matches!(
        error.kind(),
        Kind::Overloaded | Kind::Unavailable | Kind::Upstream
    );
    error.is_safe_to_retry() || (context.is_idempotent && is_transient)
}
