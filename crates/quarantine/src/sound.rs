//! The parts on which answers went on past their beginning.

use crate::Part;
use clock::Moment;
use std::{collections::HashSet, time::Duration};

/// The maximum number of parts in each of the two sets.
const MAX_PARTS: usize = 8_192;

/// The time after which the younger set replaces the older one.
const ROTATION_INTERVAL: Duration = Duration::from_secs(1_800);

/// The parts on which answers recently went on past their beginning.
///
/// Parts are kept in two sets, so that memory is bounded and entries expire without a
/// scan.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sound {
    young: HashSet<Part>,
    old: HashSet<Part>,
    rotated_at: Option<Moment>,
}

impl Sound {
    /// Records an answer on a part.
    pub(crate) fn record(&mut self, part: Part, now: Moment) {
        let rotated_at = *self.rotated_at.get_or_insert(now);
        let is_full = self.young.len() >= MAX_PARTS && !self.young.contains(&part);
        if is_full || now.since(rotated_at) >= ROTATION_INTERVAL {
            self.old = std::mem::take(&mut self.young);
            self.rotated_at = Some(now);
        }
        self.young.insert(part);
    }

    /// Returns whether an answer on a part was recorded.
    pub(crate) fn contains(&self, part: Part) -> bool {
        self.young.contains(&part) || self.old.contains(&part)
    }
}
