//! A limit that is cut at once and raised after a rest.

use super::node::Limit;
use clock::Moment;
use std::time::Duration;

/// Replaced values that are remembered; older ones are merged.
const MAX_PAST: usize = 8;

/// A limit that is cut at once and raised after a rest.
///
/// While nodes see a change at different times, each uses the lowest of the
/// values in question, so that the sum over nodes stays within either split.
#[common::plain]
#[derive(Default)]
pub(super) struct Rising {
    present: Limit,
    /// Replaced values, each with the moment until which it still bounds.
    past: Vec<(Moment, Limit)>,
}

impl Rising {
    /// Replaces the value; the old one bounds for another `rest`.
    pub(super) fn set(&mut self, value: Limit, now: Moment, rest: Duration) {
        if value == self.present {
            return;
        }
        self.past.retain(|(until, _)| now < *until);
        if rest > Duration::ZERO {
            self.past.push((now + rest, self.present));
        }
        if self.past.len() > MAX_PAST {
            let (_, old) = self.past.remove(0);
            self.past[0].1 = self.past[0].1.min(old);
        }
        self.present = value;
    }

    /// Returns the value in force at `now`.
    pub(super) fn at(&self, now: Moment) -> Limit {
        let bounds = self.past.iter().filter(|(until, _)| now < *until);
        bounds.fold(self.present, |least, (_, limit)| least.min(*limit))
    }
}
