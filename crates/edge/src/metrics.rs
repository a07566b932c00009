//! Counters and latency histograms, served as text.

use hdrhistogram::Histogram;
use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// The highest time that a histogram records, in milliseconds.
const MAX_RECORDED_MS: u64 = 120_000;

/// The number of significant digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The quantiles that are exported.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// The counters and histograms of a node.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    series: Mutex<Series>,
}

/// Counters and histograms by name and label.
#[derive(Debug, Default)]
struct Series {
    counters: BTreeMap<(&'static str, String), u64>,
    times: BTreeMap<(&'static str, String), Histogram<u64>>,
}

impl Metrics {
    /// Adds one to a counter.
    pub(crate) fn count(&self, name: &'static str, label: &str) {
        self.add(name, label, 1);
    }

    /// Adds a number to a counter.
    pub(crate) fn add(&self, name: &'static str, label: &str, count: u64) {
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        *series.counters.entry((name, label.into())).or_default() += count;
    }

    /// Records a time.
    pub(crate) fn record_time(&self, name: &'static str, label: &str, time: Duration) {
        let ms = u64::try_from(time.as_millis()).unwrap_or(MAX_RECORDED_MS);
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        series
            .times
            .entry((name, label.into()))
            .or_insert_with(|| {
                Histogram::new_with_bounds(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
                    .expect("the bounds and digits are valid")
            })
            .saturating_record(ms.max(1));
    }

    /// Returns all series as text, one value per line.
    pub(crate) fn text(&self) -> String {
        let series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for ((name, label), count) in &series.counters {
            let _ = writeln!(text, "arbutusford_{name}_total{{of=\"{label}\"}} {count}");
        }
        for ((name, label), times) in &series.times {
            for quantile in QUANTILES {
                let ms = times.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "arbutusford_{name}_ms{{of=\"{label}\",quantile=\"{quantile}\"}} {ms}"
                );
            }
            let _ = writeln!(
                text,
                "arbutusford_{name}_ms_count{{of=\"{label}\"}} {}",
                times.len()
            );
        }
        text
    }
}
