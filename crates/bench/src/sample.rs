//! Samples of the engines' state and of this process, and quantiles.

use standin::World;
use std::{fs, sync::Arc, time::Duration};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// The interval between two samples of the engines.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The kernel's clock ticks per second of processor time.
const TICKS_PER_S: f64 = 100.0;

/// The size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Integrals over the time of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Integrals {
    /// Serving replicas missing compared with the start, in replica-seconds.
    pub(crate) downtime_s: f64,
    /// Engines that are up but in no serving replica, in engine-seconds.
    pub(crate) stranded_s: f64,
}

/// Samples the engines until `end` and integrates over time.
pub(crate) async fn integrate(world: Arc<World>, end: Instant) -> Integrals {
    let initial = world.survey().serving.len();
    let mut integrals = Integrals::default();
    let mut ticks = interval(SAMPLE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    while last < end {
        ticks.tick().await;
        let survey = world.survey();
        let now = Instant::now();
        let elapsed = (now - last).as_secs_f64();
        let missing = initial.saturating_sub(survey.serving.len());
        integrals.downtime_s += missing as f64 * elapsed;
        integrals.stranded_s += survey.stranded.len() as f64 * elapsed;
        last = now;
    }
    integrals
}

/// Returns the processor time that this process has used.
pub(crate) fn processor_time() -> Option<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The process name may contain spaces, so fields are counted from its closing parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS_PER_S))
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> Option<u64> {
    let statm = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Returns the value below which `percent` percent of the values lie.
pub(crate) fn quantile(values: &mut [Duration], percent: usize) -> Option<Duration> {
    values.sort_unstable();
    let index = (values.len() * percent / 100).min(values.len().checked_sub(1)?);
    values.get(index).copied()
}
