//! How many slots the evidence about a server opens.

use clock::Moment;
use std::time::Duration;
use uuid::Uuid;

/// The factor between typical and observed first-token time that closes a gate.
const JUMP_FACTOR: u32 = 4;

/// The first-token time below which no jump is seen.
const JUMP_FLOOR: Duration = Duration::from_millis(50);

/// The divisor with which an observation moves the typical first-token time.
const TYPICAL_DIVISOR: u32 = 8;

/// What a server's report says about the load that it bears.
#[common::value]
pub struct Evidence {
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
    evidence: Option<Evidence>,
    /// The lowest cold limit seen, so that a cold slot is safe at any life.
    cold_limit: u32,
    /// Reports asked for before this moment do not open the gate.
    closed_at: Option<Moment>,
    open: u32,
    typical: Option<Duration>,
}

impl Warmth {
    /// Takes in a report; late ones are dropped.
    pub(super) fn observe(&mut self, new: Evidence, lease: Duration) {
        let held = self.evidence.as_ref();
        if held.is_some_and(|old| new.at < old.at) {
            return;
        }
        if held.is_some() && self.closed_at.is_some_and(|closed| new.at <= closed) {
            return;
        }
        self.cold_limit = match held {
            Some(_) => self.cold_limit.min(new.cold_limit),
            None => new.cold_limit,
        };
        let continues = held.is_some_and(|old| {
            old.warm && new.warm && old.boot == new.boot && new.at < old.at + lease
        });
        if held.is_some_and(|old| old.boot != new.boot) {
            self.typical = None;
        }
        // The first warm report opens nothing yet: each later one doubles.
        self.open = match continues {
            true => self.open.max(1).saturating_mul(2).max(self.cold_limit),
            false => self.cold_limit,
        };
        self.open = self.open.min(new.warm_limit.max(self.cold_limit));
        self.evidence = Some(new);
    }

    /// Closes to cold until a report asked for after `now`.
    pub(super) fn close(&mut self, now: Moment) {
        self.closed_at = Some(now);
        self.open = self.cold_limit;
        self.typical = None;
        if let Some(evidence) = &mut self.evidence {
            evidence.warm = false;
        }
    }

    /// Takes in a whole answer and its first-token time.
    pub(super) fn complete(&mut self, boot: Uuid, first_token: Option<Duration>, now: Moment) {
        let Some(evidence) = &self.evidence else {
            return;
        };
        if evidence.boot != boot || !evidence.warm {
            return;
        }
        if first_token.is_some_and(|time| self.is_jump(time)) {
            self.close(now);
            return;
        }
        if let Some(time) = first_token {
            let old = self.typical.unwrap_or(time);
            self.typical = Some((old * (TYPICAL_DIVISOR - 1) + time) / TYPICAL_DIVISOR);
        }
        let top = evidence.warm_limit.max(self.cold_limit);
        self.open = self.open.saturating_add(1).min(top);
    }

    /// Returns the number of slots, over all nodes, that are open at `now`.
    pub(super) fn open(&self, now: Moment, lease: Duration) -> u32 {
        match &self.evidence {
            Some(e) if e.warm && now < e.at + lease => self.open,
            _ => self.cold_limit,
        }
    }

    /// Returns the number of slots that are open to a cold server.
    pub(super) fn cold_limit(&self) -> u32 {
        self.cold_limit
    }

    /// Returns the life of the server that the last report names.
    pub(super) fn boot(&self) -> Option<Uuid> {
        self.evidence.as_ref().map(|e| e.boot)
    }

    /// Returns whether `time` is far above the typical first-token time.
    fn is_jump(&self, time: Duration) -> bool {
        let typical = self.typical.unwrap_or(Duration::MAX / JUMP_FACTOR);
        time > JUMP_FLOOR && time > typical * JUMP_FACTOR
    }
}
