//! How many slots the evidence about a server opens.

use clock::Moment;
use std::time::Duration;
use uuid::Uuid;

/// The factor between typical and observed first-token time that closes a gate.
const LATENCY_SPIKE_FACTOR: u32 = 4;

/// The first-token time below which no jump is seen.
const MIN_LATENCY_SPIKE: Duration = Duration::from_millis(50);

/// The divisor with which an observation moves the typical first-token time.
const SMOOTHING_DIVISOR: u32 = 8;

/// What a server's report says about the load that it bears.
#[common::value]
pub struct CapacityReport {
    /// The life of the server.
    pub boot: Uuid,
    /// Whether it bears the full load.
    pub warm: bool,
    /// Requests in progress that it bears when warm.
    pub warm_limit: u32,
    /// Requests in progress that it bears when cold.
    pub cold_limit: u32,
    /// Whether it shows no request running or waiting.
    pub idle: bool,
    /// When this node asked for the report; the report is not older than that.
    pub at: Moment,
}

/// What one node believes about the warmth of one server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) struct Warmth {
    report: Option<CapacityReport>,
    /// The lowest cold limit seen, so that a cold slot is safe at any life.
    cold_limit: u32,
    /// Reports asked for before this moment do not open the gate.
    cold_since: Option<Moment>,
    open: u32,
    average_first_token: Option<Duration>,
}

impl Warmth {
    /// Takes in a report; late ones are dropped.
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
        // The first warm report opens nothing yet: each later one doubles.
        self.open = match is_consecutive {
            true => self.open.max(1).saturating_mul(2).max(self.cold_limit),
            false => self.cold_limit,
        };
        self.open = self.open.min(new.warm_limit.max(self.cold_limit));
        self.report = Some(new);
    }

    /// Closes to cold until a report asked for after `now`.
    pub(super) fn reset_to_cold(&mut self, now: Moment) {
        self.cold_since = Some(now);
        self.open = self.cold_limit;
        self.average_first_token = None;
        if let Some(report) = &mut self.report {
            report.warm = false;
        }
    }

    /// Takes in a whole answer and its first-token time.
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

    /// Returns the number of slots that are open to a cold server.
    pub(super) fn cold_limit(&self) -> u32 {
        self.cold_limit
    }

    /// Returns the life of the server that the last report names.
    pub(super) fn boot(&self) -> Option<Uuid> {
        self.report.as_ref().map(|report| report.boot)
    }

    /// Returns whether `time` is far above the typical first-token time.
    fn is_latency_spike(&self, time: Duration) -> bool {
        let average_first_token = self
            .average_first_token
            .unwrap_or(Duration::MAX / LATENCY_SPIKE_FACTOR);
        time > MIN_LATENCY_SPIKE && time > average_first_token * LATENCY_SPIKE_FACTOR
    }
}
