//! Derives the number of open slots from a server's reports and latencies.

use clock::Moment;
use std::time::Duration;
use uuid::Uuid;

/// The ratio of observed to average first-token time above which the server counts as cold.
const LATENCY_SPIKE_FACTOR: u32 = 4;

/// First-token times up to this never count as a spike.
const MIN_LATENCY_SPIKE: Duration = Duration::from_millis(50);

/// The divisor of a new observation in the average first-token time.
const SMOOTHING_DIVISOR: u32 = 8;

/// A server's report of the load that it can handle.
#[common::value]
pub struct CapacityReport {
    /// The boot id of the server, new after each restart.
    pub boot: Uuid,
    /// Whether it can handle the full load.
    pub warm: bool,
    /// The maximum requests in progress when warm.
    pub warm_limit: u32,
    /// The maximum requests in progress when cold.
    pub cold_limit: u32,
    /// Whether no request is running or waiting.
    pub idle: bool,
    /// When this node requested the report, which is not older than that.
    pub at: Moment,
}

/// One node's estimate of the warmth of one server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct Warmth {
    report: Option<CapacityReport>,
    /// The lowest cold limit reported, so that a cold slot is safe after any restart.
    cold_limit: u32,
    /// Reports requested up to this time are ignored.
    cold_since: Option<Moment>,
    /// Open slots over all nodes while the server is warm.
    open: u32,
    average_first_token: Option<Duration>,
}

impl Warmth {
    /// Applies a report; one older than the last is ignored.
    pub(super) fn observe(&mut self, new: CapacityReport, lease: Duration) {
        let last = self.report.as_ref();
        if last.is_some_and(|previous| new.at < previous.at) {
            return;
        }
        if last.is_some() && self.cold_since.is_some_and(|closed| new.at <= closed) {
            return;
        }
        self.cold_limit = match last {
            Some(_) => self.cold_limit.min(new.cold_limit),
            None => new.cold_limit,
        };
        let is_consecutive = last.is_some_and(|previous| {
            previous.warm && new.warm && previous.boot == new.boot && new.at < previous.at + lease
        });
        if last.is_some_and(|previous| previous.boot != new.boot) {
            self.average_first_token = None;
        }
        // The first warm report opens no slot; each consecutive one doubles the number.
        self.open = match is_consecutive {
            true => self.open.max(1).saturating_mul(2).max(self.cold_limit),
            false => self.cold_limit,
        };
        self.open = self.open.min(new.warm_limit.max(self.cold_limit));
        self.report = Some(new);
    }

    /// Reduces the open slots to the cold limit until a report requested after `now`.
    pub(super) fn reset_to_cold(&mut self, now: Moment) {
        self.cold_since = Some(now);
        self.open = self.cold_limit;
        self.average_first_token = None;
        if let Some(report) = &mut self.report {
            report.warm = false;
        }
    }

    /// Applies a complete answer and its first-token time.
    pub(super) fn record_completion(
        &mut self,
        boot: Uuid,
        first_token: Option<Duration>,
        now: Moment,
    ) {
        let Some(report) = &self.report else {
            return;
        };
        if report.boot != boot || !report.warm {
            return;
        }
        if first_token.is_some_and(|time| self.is_latency_spike(time)) {
            self.reset_to_cold(now);
            return;
        }
        if let Some(time) = first_token {
            let previous = self.average_first_token.unwrap_or(time);
            self.average_first_token =
                Some((previous * (SMOOTHING_DIVISOR - 1) + time) / SMOOTHING_DIVISOR);
        }
        let max_open = report.warm_limit.max(self.cold_limit);
        self.open = self.open.saturating_add(1).min(max_open);
    }

    /// Returns the number of slots, over all nodes, that are open at `now`.
    pub(super) fn open_slots(&self, now: Moment, lease: Duration) -> u32 {
        match &self.report {
            Some(report) if report.warm && now < report.at + lease => self.open,
            _ => self.cold_limit,
        }
    }

    /// Returns the number of slots that are open at a cold server.
    pub(super) fn cold_limit(&self) -> u32 {
        self.cold_limit
    }

    /// Returns the boot id in the last report.
    pub(super) fn boot(&self) -> Option<Uuid> {
        self.report.as_ref().map(|report| report.boot)
    }

    /// Returns whether `time` is far above the average first-token time.
    fn is_latency_spike(&self, time: Duration) -> bool {
        let average_first_token = self
            .average_first_token
            .unwrap_or(Duration::MAX / LATENCY_SPIKE_FACTOR);
        time > MIN_LATENCY_SPIKE && time > average_first_token * LATENCY_SPIKE_FACTOR
    }
}
