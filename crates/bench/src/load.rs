//! Seeded open-loop load: calls arrive regardless of earlier responses.

use crate::Kind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use uuid::Uuid;

/// The weight of a draft in the service ratio; any other call has 1.
const DRAFT_WEIGHT: u32 = 4;

/// The calls per second of all client accounts together: the share of nine of
/// the target's 340 nodes.
pub(crate) const CALLS_PER_S: f64 = 30.0;

/// The relative call rate of a large client account; a small one has 1.
const LARGE_ACCOUNT_WEIGHT: f64 = 4.0;

/// The number of large client accounts, which are the first of each list.
const LARGE_ACCOUNT_COUNT: usize = 2;

/// The factor by which the flooding client account exceeds its normal rate.
const FLOOD_FACTOR: f64 = 20.0;

/// The number of prompt templates; prompts of one template share a prefix.
const TEMPLATE_COUNT: u32 = 24;

/// The text repeated to make a template as long as the prefix that engines cache.
const TEMPLATE_FILLER: &str = "the text that every request of this template begins with; ";

/// The kind of work that a call requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// A streamed draft, with its maximum number of tokens.
    Draft(u32),
    /// A short classification whose response is not streamed.
    Classification,
    /// An enquiry, which is safe to repeat.
    Enquiry,
    /// An entry or booking with its idempotency key, which must run at most once.
    Entry(Uuid),
}

impl Work {
    /// Returns the weight in the service ratio.
    pub(crate) fn weight(self) -> u32 {
        match self {
            Self::Draft(_) => DRAFT_WEIGHT,
            _ => 1,
        }
    }
}

/// A call that arrives.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    /// The arrival time, measured from the start of the load.
    pub(crate) at: Duration,
    /// The client account's index in [`accounts`].
    pub(crate) account: usize,
    /// The kind of work.
    pub(crate) work: Work,
    /// The seed of the response.
    pub(crate) seed: u64,
    /// The prompt.
    pub(crate) prompt: String,
    /// Whether the call counts in the service ratio; false for all calls of a
    /// flooding account.
    pub(crate) is_counted: bool,
}

/// Returns the client accounts of a deployment's lists, the large ones first.
pub(crate) fn accounts(kind: Kind) -> Vec<String> {
    let lines = kind.lists().lines();
    let mut accounts = Vec::new();
    let mut is_account = false;
    for line in lines {
        if line.starts_with("[[") {
            is_account = line == "[[account]]";
        }
        if let Some(name) = line.strip_prefix("name = ")
            && is_account
        {
            accounts.push(name.trim_matches('"').to_owned());
        }
    }
    accounts
}

/// Returns the arrivals within `length`, ordered by time.
///
/// With a flood, the first client account calls [`FLOOD_FACTOR`] times as often
/// between one fifth and four fifths of `length`.
pub(crate) fn arrivals(
    seed: u64,
    accounts: usize,
    length: Duration,
    is_flood: bool,
) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let weight = |account: usize| {
        if account < LARGE_ACCOUNT_COUNT {
            LARGE_ACCOUNT_WEIGHT
        } else {
            1.0
        }
    };
    let total: f64 = (0..accounts).map(weight).sum();
    let mut all = Vec::new();
    for account in 0..accounts {
        let rate = CALLS_PER_S * weight(account) / total;
        let own = account_arrivals(&mut random, account, rate, Duration::ZERO, length, true);
        all.extend(own);
    }
    if is_flood {
        let rate = CALLS_PER_S * weight(0) / total * (FLOOD_FACTOR - 1.0);
        let own = account_arrivals(&mut random, 0, rate, length / 5, length * 4 / 5, false);
        all.extend(own);
        // None of the account's calls count, since its normal share cannot be
        // distinguished from the excess.
        all.iter_mut()
            .for_each(|arrival| arrival.is_counted &= arrival.account != 0);
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Returns the Poisson arrivals of one client account at `rate` per second.
fn account_arrivals(
    random: &mut ChaCha8Rng,
    account: usize,
    rate: f64,
    from: Duration,
    to: Duration,
    is_counted: bool,
) -> Vec<Arrival> {
    let mut at = from;
    let mut all = Vec::new();
    loop {
        let uniform: f64 = random.random();
        at += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        if at >= to {
            return all;
        }
        all.push(arrival(random, at, account, is_counted));
    }
}

/// Returns one arrival with a random kind of work.
fn arrival(random: &mut ChaCha8Rng, at: Duration, account: usize, is_counted: bool) -> Arrival {
    let work = match random.random_range(0..10) {
        0..5 => Work::Draft(random.random_range(32..=160)),
        5..7 => Work::Classification,
        7..9 => Work::Enquiry,
        _ => Work::Entry(Uuid::nil()),
    };
    let template = random.random_range(0..TEMPLATE_COUNT);
    let number: u64 = random.random();
    Arrival {
        at,
        account,
        work,
        seed: random.random(),
        prompt: prompt(template, number),
        is_counted,
    }
}

/// Returns a prompt that shares its prefix with all prompts of its template.
fn prompt(template: u32, number: u64) -> String {
    let filler = TEMPLATE_FILLER.repeat(5);
    format!("Template {template}: {filler}Request {number:x}.")
}

/// Returns a prompt that shares no cacheable prefix with any other.
pub(crate) fn unique_prompt(number: u64) -> String {
    format!("Probe {number:x}: a prompt of its own.")
}

#[cfg(test)]
mod tests;
