//! The evidence for and against one part.

use crate::Server;
use clock::Moment;
use std::{collections::HashSet, time::Duration};

/// A time in milliseconds since the process started.
///
/// It is negative for ends before the start, which other nodes have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Time(i64);

impl Time {
    /// Returns the time that is `age` before `now`.
    pub(crate) fn before(now: Moment, age: Duration) -> Self {
        Self(millis(now.since(Moment::START)).saturating_sub(millis(age)))
    }

    /// Returns the time from here until `now`; zero if this is later.
    pub(crate) fn age(self, now: Moment) -> Duration {
        Self::before(now, Duration::ZERO).since(self)
    }

    /// Returns the time since `earlier`; zero if that is later.
    fn since(self, earlier: Self) -> Duration {
        let millis = self.0.saturating_sub(earlier.0);
        Duration::from_millis(u64::try_from(millis).unwrap_or(0))
    }
}

/// Returns a duration in milliseconds.
fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}

/// The maximum number of servers of which one part is accused.
///
/// The trial interval no longer grows beyond this number.
pub const MAX_SERVERS: usize = 16;

/// The time within which several ends count as one.
///
/// Servers that share a cause, such as the loss of a failure domain, end together and
/// say nothing about a part.
const EPISODE_TIME: Duration = Duration::from_millis(200);

/// The number of servers that count as many.
const MANY_SERVERS: usize = 4;

/// One end of a server of which a part is accused.
#[common::plain]
#[derive(Copy)]
pub(crate) struct Evidence {
    /// The server that ended.
    pub(crate) server: Server,
    /// When it ended.
    pub(crate) at: Time,
    /// Whether the part was cleared of this end.
    pub(crate) is_cleared: bool,
}

/// The evidence for and against one part.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Case {
    /// The ends of which the part is accused, cleared ones included.
    evidence: Vec<Evidence>,
}

impl Case {
    /// Returns the evidence.
    pub(crate) fn evidence(&self) -> &[Evidence] {
        &self.evidence
    }

    /// Adds evidence; returns whether the case changed.
    ///
    /// If the case is full, the oldest evidence is dropped.
    pub(crate) fn add(&mut self, added: Evidence) -> bool {
        if let Some(known) = self.evidence.iter_mut().find(|e| e.server == added.server) {
            let is_changed = added.is_cleared && !known.is_cleared;
            known.is_cleared |= added.is_cleared;
            return is_changed;
        }
        if self.evidence.len() == MAX_SERVERS {
            let oldest = self.evidence.iter().enumerate().min_by_key(|(_, e)| e.at);
            let Some((index, oldest)) = oldest else {
                return false;
            };
            if oldest.at >= added.at {
                return false;
            }
            self.evidence.swap_remove(index);
        }
        self.evidence.push(added);
        true
    }

    /// Clears the part of all ends; returns whether the case changed.
    pub(crate) fn clear(&mut self) -> bool {
        let mut is_changed = false;
        for evidence in &mut self.evidence {
            is_changed |= !evidence.is_cleared;
            evidence.is_cleared = true;
        }
        is_changed
    }

    /// Returns whether all of `other` is known here.
    pub(crate) fn contains(&self, other: &[Evidence]) -> bool {
        other.iter().all(|evidence| {
            let known = self.evidence.iter().find(|e| e.server == evidence.server);
            known.is_some_and(|known| known.is_cleared || !evidence.is_cleared)
        })
    }

    /// Returns the servers of whose ends the part is not cleared.
    pub(crate) fn open(&self) -> impl Iterator<Item = &Evidence> {
        self.evidence.iter().filter(|e| !e.is_cleared)
    }

    /// Returns the number of separate ends, without those that the part is cleared of and
    /// those in `explained`.
    ///
    /// Many servers that ended at two separate times count as three ends.
    pub(crate) fn separate_ends(&self, explained: &HashSet<Server>) -> u32 {
        let open = self.open().filter(|e| !explained.contains(&e.server));
        let mut times: Vec<Time> = open.map(|e| e.at).collect();
        times.sort_unstable();
        let servers = times.len();
        let mut count = 0;
        let mut counted_at: Option<Time> = None;
        for at in times {
            if counted_at.is_none_or(|counted_at| at.since(counted_at) >= EPISODE_TIME) {
                count += 1;
                counted_at = Some(at);
            }
        }
        if count == 2 && servers >= MANY_SERVERS {
            return 3;
        }
        count
    }

    /// Returns when the last server ended.
    pub(crate) fn last_at(&self) -> Option<Time> {
        self.evidence.iter().map(|e| e.at).max()
    }
}
