//! Reads latency histograms.

use super::{Phase, Stats};
use name::{Account, Class};
use std::time::Duration;

/// The percentiles of one series.
#[common::value]
pub struct Row {
    /// The client account.
    pub account: Account,
    /// The class of work.
    pub class: Class,
    /// The part of a request that was measured.
    pub phase: Phase,
    /// The number of latencies recorded.
    pub count: u64,
    /// The median.
    pub p50: Duration,
    /// The 95th percentile.
    pub p95: Duration,
    /// The 99th percentile.
    pub p99: Duration,
    /// The maximum.
    pub max: Duration,
}

/// Returns a row for each series, in order of account, class and phase.
pub fn rows(stats: &Stats) -> Vec<Row> {
    let series = stats.series.iter();
    series
        .map(|((account, class, phase), histogram)| {
            let quantile = |q| Duration::from_micros(histogram.value_at_quantile(q));
            Row {
                account: account.clone(),
                class: class.clone(),
                phase: *phase,
                count: histogram.len(),
                p50: quantile(0.5),
                p95: quantile(0.95),
                p99: quantile(0.99),
                max: Duration::from_micros(histogram.max()),
            }
        })
        .collect()
}

/// Returns the 95th percentile of one series with at least `min_count` latencies.
///
/// Reads one histogram, regardless of the number of series.
pub fn series_p95(
    stats: &Stats,
    account: &Account,
    class: &Class,
    phase: Phase,
    min_count: u64,
) -> Option<Duration> {
    let histogram = stats.series.get(&(account.clone(), class.clone(), phase))?;
    let has_enough = histogram.len() >= min_count;
    has_enough.then(|| Duration::from_micros(histogram.value_at_quantile(0.95)))
}

/// Returns the 95th percentile of one phase over all classes of an account, if recorded.
pub fn p95(stats: &Stats, account: &Account, phase: Phase) -> Option<Duration> {
    let series = stats.series.iter();
    let mut matching = series.filter(|((a, _, p), _)| a == account && *p == phase);
    let mut merged = matching.next()?.1.clone();
    for (_, histogram) in matching {
        merged += histogram;
    }
    Some(Duration::from_micros(merged.value_at_quantile(0.95)))
}
