//! A limit that is cut at once and raised after a rest.

use super::node::Limit;
use clock::Moment;
use std::time::Duration;

/// Replaced values that are remembered; older ones are merged.
const MAX_PREVIOUS_LIMITS: usize = 8;

/// A limit that is cut at once and raised after a rest.
///
/// While nodes see a change at different times, each uses the lowest of the
/// values in question, so that the sum over nodes stays within either split.
#[common::plain]
#[derive(Default)]
pub(super) struct DelayedLimit {
    current: Limit,
    /// Replaced values, each with the moment until which it still bounds.
    previous: Vec<(Moment, Limit)>,
}

impl DelayedLimit {
    /// Replaces the value; the old one bounds for another `rest`.
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
