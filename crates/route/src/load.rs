//! Estimates replica load from lagging reports and this node's own requests.

use clock::Moment;
use std::{collections::VecDeque, time::Duration};

/// The maximum number of own starts and ends kept; older ones count as reported.
const MAX_EVENTS: usize = 512;

/// The age at which a report expires, and only own requests count.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// The estimated load of one replica.
#[common::plain]
#[derive(Default)]
pub struct Load {
    reported: u32,
    reported_at: Option<Moment>,
    in_progress: u32,
    /// Own starts (true) and ends since the report was made, oldest first.
    events: VecDeque<(Moment, bool)>,
}

impl Load {
    /// Records a request that this node sent.
    pub fn start(&mut self, now: Moment) {
        self.in_progress += 1;
        self.record_event(now, true);
    }

    /// Records the end of a request that this node sent.
    pub fn end(&mut self, now: Moment) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.record_event(now, false);
    }

    /// Applies a report of requests running and waiting that was made at `at`.
    ///
    /// A driver passes the time of its request for the report, less the server's
    /// lag if known.
    pub fn report(&mut self, running_and_waiting: u32, at: Moment) {
        if self.reported_at.is_some_and(|previous| at < previous) {
            return;
        }
        self.reported_at = Some(at);
        self.reported = running_and_waiting;
        while self.events.front().is_some_and(|(event, _)| *event <= at) {
            self.events.pop_front();
        }
    }

    /// Returns the estimated number of requests in progress.
    pub fn estimate(&self, now: Moment) -> u32 {
        let is_fresh = self
            .reported_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        if !is_fresh {
            return self.in_progress;
        }
        let starts = self.events.iter().filter(|(_, is_start)| *is_start).count();
        let ends = self.events.len() - starts;
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let corrected = self.reported.saturating_add(count(starts));
        corrected.saturating_sub(count(ends)).max(self.in_progress)
    }

    /// Returns the number of requests of this node in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Adds a start or end, and drops the oldest beyond the bound.
    fn record_event(&mut self, now: Moment, is_start: bool) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, is_start));
    }
}
