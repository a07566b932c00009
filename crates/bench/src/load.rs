//! Seeded arrivals of calls, which do not wait for each other.

use crate::Kind;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use uuid::Uuid;

/// The weight of a draft against that of any other call.
const DRAFT_WEIGHT: u32 = 4;

/// The calls a second of all client accounts together, as nine of the target's
/// 340 nodes take them.
pub(crate) const CALLS_PER_S: f64 = 30.0;

/// The weight of a large client account in the arrivals; a small one has 1.
const LARGE_WEIGHT: f64 = 4.0;

/// The number of large client accounts, which are the first of each list.
const LARGE: usize = 2;

/// The factor by which the large client account exceeds its part.
const FLOOD: f64 = 20.0;

/// The texts that many prompts begin with.
const TEMPLATES: u32 = 24;

/// The filling that makes a template as long as the prefix that engines cache.
const FILLING: &str = "the text that every request of this template begins with; ";

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// A streamed draft of at most so many tokens.
    Draft(u32),
    /// A short classification, answered in one piece.
    Classification,
    /// An enquiry, which may be repeated.
    Enquiry,
    /// An entry or booking with this idempotency key, which may not.
    Entry(Uuid),
}

impl Work {
    /// Returns the weight in the service.
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
    /// When, since the load began.
    pub(crate) at: Duration,
    /// The client account's place in [`accounts`].
    pub(crate) account: usize,
    /// What it asks for.
    pub(crate) work: Work,
    /// The seed of the answer.
    pub(crate) seed: u64,
    /// The prompt.
    pub(crate) prompt: String,
    /// Whether it counts for the service: false for calls beyond a flooding
    /// account's part.
    pub(crate) counts: bool,
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

/// Returns the arrivals of `length`, in order.
///
/// With a flood, the first client account calls [`FLOOD`] times as often from
/// a fifth of the time to four fifths.
pub(crate) fn arrivals(
    seed: u64,
    accounts: usize,
    length: Duration,
    is_flood: bool,
) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let weight = |account: usize| if account < LARGE { LARGE_WEIGHT } else { 1.0 };
    let total: f64 = (0..accounts).map(weight).sum();
    let mut all = Vec::new();
    for account in 0..accounts {
        let rate = CALLS_PER_S * weight(account) / total;
        let own = stream(&mut random, account, rate, Duration::ZERO, length, true);
        all.extend(own);
    }
    if is_flood {
        let rate = CALLS_PER_S * weight(0) / total * (FLOOD - 1.0);
        let own = stream(&mut random, 0, rate, length / 5, length * 4 / 5, false);
        all.extend(own);
        // The whole account is left out, since its own part is not told apart.
        all.iter_mut()
            .for_each(|arrival| arrival.counts &= arrival.account != 0);
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

/// Returns the arrivals of one client account at `rate` a second.
fn stream(
    random: &mut ChaCha8Rng,
    account: usize,
    rate: f64,
    from: Duration,
    to: Duration,
    counts: bool,
) -> Vec<Arrival> {
    let mut at = from;
    let mut all = Vec::new();
    loop {
        let uniform: f64 = random.random();
        at += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        if at >= to {
            return all;
        }
        all.push(arrival(random, at, account, counts));
    }
}

/// Returns one arrival with a random kind of work.
fn arrival(random: &mut ChaCha8Rng, at: Duration, account: usize, counts: bool) -> Arrival {
    let work = match random.random_range(0..10) {
        0..5 => Work::Draft(random.random_range(32..=160)),
        5..7 => Work::Classification,
        7..9 => Work::Enquiry,
        _ => Work::Entry(Uuid::nil()),
    };
    let template = random.random_range(0..TEMPLATES);
    let number: u64 = random.random();
    Arrival {
        at,
        account,
        work,
        seed: random.random(),
        prompt: prompt(template, number),
        counts,
    }
}

/// Returns a prompt that shares its first bytes with all of its template.
fn prompt(template: u32, number: u64) -> String {
    let filling = FILLING.repeat(5);
    format!("Template {template}: {filling}Request {number:x}.")
}

/// Returns a prompt that shares its beginning with no other.
pub(crate) fn fresh_prompt(number: u64) -> String {
    format!("Probe {number:x}: a prompt of its own.")
}

#[cfg(test)]
mod tests;
