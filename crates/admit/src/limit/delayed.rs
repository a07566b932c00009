//! A limit whose decreases take effect at once and whose increases are delayed.

use super::node::Limit;
use clock::Moment;
use std::time::Duration;

/// Replaced values tracked separately; older ones are merged.
const MAX_PREVIOUS_LIMITS: usize = 8;

/// A limit whose decreases take effect at once and whose increases are delayed.
///
/// Nodes apply a change of epoch at different times. Meanwhile each uses the lowest
/// of the old and new values, so that the sum over nodes stays within the split of
/// either epoch.
#[common::plain]
#[derive(Default)]
pub(super) struct DelayedLimit {
    current: Limit,
    /// Replaced values, each with the time until which it still applies.
    previous: Vec<(Moment, Limit)>,
}

impl DelayedLimit {
    /// Replaces the value; the old one remains an upper bound for another `rest`.
    pub(super) fn set(&mut self, value: Limit, now: Moment, rest: Duration) {
        if value == self.current {
            return;
        }
        self.previous.retain(|(until, _)| now < *until);
        if rest > Duration::ZERO {
            self.previous.push((now + rest, self.current));
        }
        if self.previous.len() > MAX_PREVIOUS_LIMITS {
            let (_, old) = self.previous.remove(0);
            self.previous[0].1 = self.previous[0].1.min(old);
        }
        self.current = value;
    }

    /// Returns the value in force at `now`.
    pub(super) fn at(&self, now: Moment) -> Limit {
        let bounds = self.previous.iter().filter(|(until, _)| now < *until);
        bounds.fold(self.current, |least, (_, limit)| least.min(*limit))
    }
}
