//! Retries stay within the budget, the verdict and the deadline.

use clock::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::retry::{
    Budget, Context, Decision, MAX_ATTEMPTS, Refusal, decide, remaining_timeout, try_hedge,
};
use std::time::Duration;
use verdict::{Error, Kind};

fn context() -> Context {
    Context {
        attempts: 1,
        is_forwarded: false,
        is_idempotent: false,
        deadline: Moment::from_millis(10_000),
        expected: Duration::from_millis(100),
    }
}

fn budget(requests: u32) -> Budget {
    let mut budget = Budget::default();
    (0..requests).for_each(|_| budget.record_request());
    budget
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(3)
}

#[test]
fn retry_needs_safe_verdict_time_and_budget() {
    let refused = Error::not_run(Kind::Overloaded, "full");
    let unsent = Error::not_run(Kind::Unavailable, "no connection").unsent();
    let broken = Error::may_have_run(Kind::Upstream, "cut");
    let limited = Error::not_run(Kind::Limited, "limit");
    let with = |change: fn(&mut Context)| {
        let mut changed = context();
        change(&mut changed);
        changed
    };
    let idempotent = with(|s| s.is_idempotent = true);
    let cases = [
        (context(), &refused, 6, None),
        (idempotent.clone(), &broken, 6, None),
        (context(), &broken, 6, Some(Refusal::Verdict)),
        (idempotent, &limited, 6, Some(Refusal::Verdict)),
        (
            with(|s| s.is_forwarded = true),
            &refused,
            6,
            Some(Refusal::Forwarded),
        ),
        (
            with(|s| s.attempts = MAX_ATTEMPTS),
            &refused,
            6,
            Some(Refusal::Attempts),
        ),
        (
            with(|s| s.deadline = Moment::from_millis(100)),
            &refused,
            6,
            Some(Refusal::Deadline),
        ),
        (context(), &refused, 5, Some(Refusal::Budget)),
        // Nothing was sent, so that a small account's first request needs no credit.
        (context(), &unsent, 0, None),
    ];
    for (context, error, requests, refusal) in cases {
        let mut budget = budget(requests);
        let decision = decide(&context, error, &mut budget, Moment::START, &mut rng());
        let stopped = match decision {
            Decision::Stop(refusal) => Some(refusal),
            Decision::After(_) => None,
        };
        assert_eq!(stopped, refusal, "{context:?} {error}");
    }
}

#[test]
fn backoff_is_jittered_and_adds_retry_after() {
    let error = Error::not_run(Kind::Overloaded, "full").with_retry_after(Duration::from_secs(1));
    let mut rng = rng();
    let waits: Vec<Duration> = (0..1_000)
        .map(
            |_| match decide(&context(), &error, &mut budget(6), Moment::START, &mut rng) {
                Decision::After(wait) => wait - Duration::from_secs(1),
                Decision::Stop(refusal) => panic!("{refusal:?}"),
            },
        )
        .collect();
    let early = waits
        .iter()
        .filter(|w| **w < Duration::from_millis(10))
        .count();
    let late = waits
        .iter()
        .filter(|w| **w > Duration::from_millis(40))
        .count();
    assert!((150..250).contains(&early), "{early}");
    assert!((150..250).contains(&late), "{late}");
    assert!(waits.iter().all(|w| *w <= Duration::from_millis(50)));
}

#[test]
fn only_slow_idempotent_request_is_hedged() {
    let ms = Duration::from_millis;
    let cases = [
        (true, 1, Some(ms(90)), 6, true),
        (false, 1, Some(ms(90)), 6, false),
        (true, 2, Some(ms(90)), 6, false),
        (true, 1, Some(ms(100)), 6, false),
        (true, 1, None, 6, false),
        (true, 1, Some(ms(90)), 5, false),
    ];
    for (is_idempotent, attempts, p95, requests, is_sent) in cases {
        let context = Context {
            attempts,
            is_idempotent,
            ..context()
        };
        let hedged = try_hedge(&context, ms(100), p95, &mut budget(requests), Moment::START);
        assert_eq!(hedged, is_sent, "{context:?} {p95:?} {requests}");
    }
    let deadline = Moment::from_millis(100);
    assert_eq!(
        remaining_timeout(deadline, ms(30), Moment::START),
        Some(ms(70))
    );
    assert_eq!(
        remaining_timeout(deadline, ms(30), Moment::from_millis(70)),
        None
    );
}

// Guards against a retry storm that multiplies load when many servers fail.
#[test]
fn attempts_stay_below_budget_when_half_fail() {
    const REQUESTS: u32 = 10_000;
    let error = Error::not_run(Kind::Unavailable, "down");
    let (mut budget, mut rng) = (Budget::default(), rng());
    let (mut attempts, mut unbudgeted, mut served) = (0_u32, 0_u32, 0_u32);
    for requests in 1..=REQUESTS {
        budget.record_request();
        for attempt in 1.. {
            attempts += 1;
            if rng.random_bool(0.5) {
                served += 1;
                break;
            }
            unbudgeted += u32::from(attempt < MAX_ATTEMPTS);
            let context = Context {
                attempts: attempt,
                ..context()
            };
            let next = decide(&context, &error, &mut budget, Moment::START, &mut rng);
            if let Decision::Stop(_) = next {
                break;
            }
        }
        assert!(
            attempts * 5 < requests * 6,
            "{attempts} attempts, {requests} requests"
        );
    }
    println!("{attempts} attempts for {REQUESTS} requests, {served} served");
    assert!(
        unbudgeted > REQUESTS / 5,
        "without a budget, retries would exceed the bound"
    );
    assert!(attempts > REQUESTS * 11 / 10, "too few retries: {attempts}");
}
