//! The crashes that coincided with requests on one part.

use crate::{Part, Server};
use clock::Moment;
use std::{collections::HashSet, time::Duration};

/// A time in milliseconds since the process started.
///
/// It is negative for crashes before the start, which other nodes report.
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

    /// Returns the time that is `duration` earlier.
    fn minus(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(millis(duration)))
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

/// The maximum number of crashes that are kept for one part.
///
/// The trial interval no longer grows beyond this number.
pub const MAX_SERVERS: usize = 16;

/// The time within which several crashes count as one.
///
/// Servers that share a cause, such as the loss of a failure domain, crash together.
const EPISODE_TIME: Duration = Duration::from_millis(200);

/// The number of servers that count as many.
const MANY_SERVERS: usize = 4;

/// The crash of a server while it ran a request with a part.
#[common::plain]
#[derive(Copy)]
pub(crate) struct Crash {
    /// The server.
    pub(crate) server: Server,
    /// When it crashed.
    pub(crate) at: Time,
    /// How long it had worked on the request.
    pub(crate) run: Duration,
    /// Whether an answer on the part has gone on past its beginning since.
    pub(crate) is_cleared: bool,
}

/// The crashes that coincided with requests on one part.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct History {
    crashes: Vec<Crash>,
}

impl History {
    /// Returns all crashes, cleared ones included.
    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Adds a crash; returns whether the history changed.
    ///
    /// If the history is full, the oldest crash is dropped.
    pub(crate) fn add(&mut self, added: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|e| e.server == added.server) {
            let is_changed = added.is_cleared && !known.is_cleared;
            known.is_cleared |= added.is_cleared;
            return is_changed;
        }
        if self.crashes.len() == MAX_SERVERS {
            let oldest = self.crashes.iter().enumerate().min_by_key(|(_, e)| e.at);
            let Some((index, oldest)) = oldest else {
                return false;
            };
            if oldest.at >= added.at {
                return false;
            }
            self.crashes.swap_remove(index);
        }
        self.crashes.push(added);
        true
    }

    /// Clears all crashes after an answer that went on past its beginning; returns whether
    /// the history changed.
    pub(crate) fn record_success(&mut self) -> bool {
        let mut is_changed = false;
        for crash in &mut self.crashes {
            is_changed |= !crash.is_cleared;
            crash.is_cleared = true;
        }
        is_changed
    }

    /// Clears the crash of a server that has not ended; returns whether the history changed.
    pub(crate) fn refute(&mut self, server: Server) -> bool {
        let mut crashes = self.crashes.iter_mut();
        let known = crashes.find(|crash| crash.server == server && !crash.is_cleared);
        known.is_some_and(|crash| {
            crash.is_cleared = true;
            true
        })
    }

    /// Returns whether all of `other` is known here.
    pub(crate) fn contains(&self, other: &[Crash]) -> bool {
        other.iter().all(|crash| {
            let known = self.crashes.iter().find(|e| e.server == crash.server);
            known.is_some_and(|known| known.is_cleared || !crash.is_cleared)
        })
    }

    /// Returns the crashes that are not cleared.
    pub(crate) fn open(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|e| !e.is_cleared)
    }

    /// Returns the number of separate crashes below requests with `part`, without cleared
    /// ones and those in `explained`.
    ///
    /// Many servers that crashed at two separate times count as three crashes. If the part
    /// is a whole request, a crash is also separate if the server began to work on the
    /// request after the crash before.
    pub(crate) fn separate_crashes(&self, part: Part, explained: &HashSet<Server>) -> u32 {
        let open = self.open().filter(|e| !explained.contains(&e.server));
        let mut crashes: Vec<(Time, Duration)> = open.map(|e| (e.at, e.run)).collect();
        crashes.sort_unstable();
        let servers = crashes.len();
        let mut count = 0;
        let mut counted_at: Option<Time> = None;
        for (at, run) in crashes {
            let is_separate = counted_at.is_none_or(|counted_at| {
                at.since(counted_at) >= EPISODE_TIME
                    || part.is_request() && at.minus(run) >= counted_at
            });
            if is_separate {
                count += 1;
                counted_at = Some(at);
            }
        }
        if count == 2 && servers >= MANY_SERVERS {
            return 3;
        }
        count
    }

    /// Returns the last crash that is not cleared.
    pub(crate) fn last_open(&self) -> Option<&Crash> {
        self.open().max_by_key(|crash| (crash.at, crash.server))
    }

    /// Returns when the last server crashed.
    pub(crate) fn last_at(&self) -> Option<Time> {
        self.crashes.iter().map(|e| e.at).max()
    }
}
