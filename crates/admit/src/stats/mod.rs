//! Latency histograms for each client account and class.
//!
//! This module records; [`query`] reads. The number of series is bounded: once the
//! bound is reached, further accounts share one series named [`OVERFLOW_LABEL`].

pub mod query;

use hdrhistogram::Histogram;
use name::{Account, Class};
use std::{collections::BTreeMap, time::Duration};

/// The account and class name of the series shared by accounts beyond the bound.
pub const OVERFLOW_LABEL: &str = "other";

/// The longest latency that a histogram resolves, in microseconds: 10 minutes.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// The significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The part of a request whose latency is recorded.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// From arrival until a slot was granted.
    Queueing,
    /// From arrival until the first token was sent to the caller.
    FirstToken,
    /// Between two consecutive tokens of one answer.
    BetweenTokens,
    /// From arrival until the answer was complete.
    Total,
}

/// The key of one series.
pub(crate) type Key = (Account, Class, Phase);

/// Latency histograms for each client account and class.
#[derive(Debug, Clone)]
pub struct Stats {
    max_series: usize,
    series: BTreeMap<Key, Histogram<u64>>,
}

impl Stats {
    /// Returns empty statistics of at most `max_series` series, plus those of [`OVERFLOW_LABEL`].
    pub fn new(max_series: usize) -> Self {
        Self {
            max_series,
            series: BTreeMap::new(),
        }
    }

    /// Records one latency.
    pub fn record(&mut self, account: &Account, class: &Class, phase: Phase, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let key = self.series_key(account, class, phase);
        let histogram = self.series.entry(key).or_insert_with(new_histogram);
        histogram.saturating_record(micros.max(1));
    }

    /// Discards all recorded latencies.
    pub fn clear(&mut self) {
        self.series.clear();
    }

    /// Returns the key of the series in which a latency is recorded.
    fn series_key(&self, account: &Account, class: &Class, phase: Phase) -> Key {
        let key = (account.clone(), class.clone(), phase);
        if self.series.contains_key(&key) || self.series.len() < self.max_series {
            return key;
        }
        let overflow_account =
            Account::try_from(OVERFLOW_LABEL).expect("the constant is a valid name");
        let overflow_class = Class::try_from(OVERFLOW_LABEL).expect("the constant is a valid name");
        (overflow_account, overflow_class, phase)
    }
}

/// Returns an empty histogram that covers latencies up to the maximum.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("the constants are valid bounds")
}
