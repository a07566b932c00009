//! The crash histories of all parts, and the decisions on requests.

use crate::{
    Part, Server,
    history::{Crash, History, Time},
    pace::{
        self, FORMERLY_SOUND_FROM, Level, QUARANTINED_FROM, SECOND_TRIAL_DELAY, first_trial_delay,
        trial_interval,
    },
    sound::Sound,
};
use clock::Moment;
use rand::Rng;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// The maximum number of prompt parts with a history, and of whole requests.
pub const MAX_PARTS: usize = 256;

/// The maximum number of parts of one request whose histories are changed.
const MAX_PARTS_PER_REQUEST: usize = 64;

/// How long a history is kept after its last crash.
const MAX_AGE: Duration = Duration::from_secs(24 * 3_600);

/// How long the history of a whole request that is not quarantined is kept after its last
/// crash.
const MAX_SUSPECT_AGE: Duration = Duration::from_secs(3_600);

/// How long a cleared history is kept after its last crash.
///
/// Other nodes may still send the history as it was before.
const MAX_CLEARED_AGE: Duration = Duration::from_secs(300);

/// A crash, as nodes send it to each other.
#[common::value]
#[derive(Copy)]
pub struct CrashRecord {
    /// The server that crashed.
    pub server: Server,
    /// The milliseconds since the crash.
    pub age_ms: u64,
    /// The milliseconds for which the server had worked on the request.
    pub run_ms: u64,
    /// Whether the crash is cleared.
    pub is_cleared: bool,
}

impl CrashRecord {
    /// Returns the record of a crash as of `now`.
    fn new(crash: &Crash, now: Moment) -> Self {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            server: crash.server,
            age_ms: millis(crash.at.age(now)),
            run_ms: millis(crash.run),
            is_cleared: crash.is_cleared,
        }
    }

    /// Returns the recorded crash, given that the record is as of `now`.
    fn crash(&self, now: Moment) -> Crash {
        Crash {
            server: self.server,
            at: Time::before(now, Duration::from_millis(self.age_ms)),
            run: Duration::from_millis(self.run_ms),
            is_cleared: self.is_cleared,
        }
    }
}

/// The history of one part, as nodes send it to each other.
#[common::value]
pub struct Record {
    /// The part.
    pub part: Part,
    /// The crashes below requests with it.
    pub crashes: Vec<CrashRecord>,
}

/// A part with a history, and how requests with it are treated.
#[common::plain]
#[derive(Copy)]
pub struct Treated {
    /// The part.
    pub part: Part,
    /// Its level.
    pub level: Level,
    /// The number of crashes that it explains.
    pub crashes: u32,
    /// The time since the last crash.
    pub last_crash_age: Duration,
}

/// A part whose level changed.
#[common::plain]
#[derive(Copy)]
pub struct Change {
    /// The part.
    pub part: Part,
    /// Its level now.
    pub level: Level,
    /// The number of crashes that it explains.
    pub crashes: u32,
    /// The time since the last crash.
    pub last_crash_age: Duration,
}

/// Why a request is withheld.
#[common::plain]
#[derive(Copy)]
pub struct Refusal {
    /// The part for which it is withheld.
    pub part: Part,
    /// The level of the part.
    pub level: Level,
    /// The number of crashes that the part explains.
    pub crashes: u32,
    /// The time until this node sends a request with the part.
    pub wait: Duration,
    /// The mean time between two such requests of all nodes, at least the wait.
    pub interval: Duration,
}

impl Refusal {
    /// Returns the message for the caller of the withheld request.
    pub fn message(&self) -> &'static str {
        if self.part.is_request() {
            "the request is quarantined because servers crashed while they ran it"
        } else {
            "a part of the prompt is quarantined because servers crashed on it"
        }
    }
}

/// When this node may next send a request with a part.
#[derive(Debug, Clone, Copy)]
enum Trial {
    /// At any time.
    Any,
    /// From a time on that is the same at all nodes.
    From(Moment),
    /// After a fraction of the node's share of the trials has passed since a time.
    ///
    /// The share is the trial interval times the number of nodes at the time of the query,
    /// which a node that has just started does not know yet.
    After { since: Moment, fraction: f64 },
}

/// The treatment of a part with a history.
#[derive(Debug, Clone)]
struct Treatment {
    history: History,
    level: Level,
    crashes: u32,
    /// The mean time between two requests that all nodes together send.
    interval: Option<Duration>,
    /// The last crash that is not cleared.
    last: Option<Crash>,
    trial: Trial,
}

impl Treatment {
    /// Returns the time until this node may send a request with the part.
    fn wait(&self, node_count: usize, now: Moment) -> Duration {
        let trial_at = match self.trial {
            Trial::Any => return Duration::ZERO,
            Trial::From(at) => at,
            Trial::After { since, fraction } => {
                let share = self.interval.unwrap_or_default() * node_count_u32(node_count);
                since + share.mul_f64(fraction)
            }
        };
        now.until(trial_at)
    }

    /// Returns the time since the last crash.
    fn last_crash_age(&self, now: Moment) -> Duration {
        let last_at = self.history.last_at();
        last_at.map_or(Duration::ZERO, |at| at.age(now))
    }
}

/// The crash histories of prompt parts that a node knows.
#[derive(Debug, Clone, Default)]
pub struct Table {
    treatments: BTreeMap<Part, Treatment>,
    sound: Sound,
}

impl Table {
    /// Records the crash of a server at `at`, after it had worked for `run` on a request
    /// with these parts.
    ///
    /// Returns the parts whose history changed. A quarantined part explains the crash, so
    /// it is not added to other parts.
    pub fn record_crash(
        &mut self,
        parts: &[Part],
        server: Server,
        run: Duration,
        at: Moment,
    ) -> Vec<Part> {
        let is_quarantined = |part: &&Part| {
            let treatment = self.treatments.get(*part);
            treatment.is_some_and(|t| t.level == Level::Quarantined)
        };
        let quarantined: Vec<Part> = parts.iter().filter(is_quarantined).copied().collect();
        let affected = if quarantined.is_empty() {
            parts
        } else {
            &quarantined
        };
        let crash = Crash {
            server,
            at: Time::before(at, Duration::ZERO),
            run,
            is_cleared: false,
        };
        let affected = affected.iter().take(MAX_PARTS_PER_REQUEST).copied();
        affected.filter(|part| self.add(*part, crash)).collect()
    }

    /// Clears the parts of a request: prompt parts after an answer that went on past its
    /// beginning, whole requests after a complete one.
    ///
    /// Returns the parts whose history changed.
    pub fn record_success(&mut self, parts: &[Part], now: Moment) -> Vec<Part> {
        let mut cleared = Vec::new();
        for part in parts.iter().take(MAX_PARTS_PER_REQUEST) {
            if !part.is_request() {
                self.sound.record(*part, now);
            }
            let treatment = self.treatments.get_mut(part);
            if treatment.is_some_and(|t| t.history.record_success()) {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Clears all crashes of a server that has not ended; returns the parts whose history
    /// changed.
    pub fn refute(&mut self, server: Server) -> Vec<Part> {
        let treatments = self.treatments.iter_mut();
        let changed = treatments.filter_map(|(part, t)| t.history.refute(server).then_some(*part));
        changed.collect()
    }

    /// Adds the history that another node sent; returns whether any of it is new.
    pub fn merge(&mut self, record: &Record, now: Moment) -> bool {
        let mut is_changed = false;
        for record_of_crash in &record.crashes {
            let crash = record_of_crash.crash(now);
            let max_age = if crash.is_cleared {
                MAX_CLEARED_AGE
            } else {
                MAX_AGE
            };
            let is_expired = crash.at.age(now) >= max_age;
            if !is_expired {
                is_changed |= self.add(record.part, crash);
            }
        }
        is_changed
    }

    /// Returns whether another node's record contains all that this node knows of its part.
    pub fn is_covered_by(&self, record: &Record, now: Moment) -> bool {
        let mut theirs = History::default();
        for crash in &record.crashes {
            theirs.add(crash.crash(now));
        }
        let own = self.treatments.get(&record.part);
        own.is_none_or(|own| theirs.contains(own.history.crashes()))
    }

    /// Returns the history of a part, to send it to other nodes.
    pub fn record(&self, part: Part, now: Moment) -> Option<Record> {
        let treatment = self.treatments.get(&part)?;
        let crashes = treatment.history.crashes().iter();
        Some(Record {
            part,
            crashes: crashes.map(|crash| CrashRecord::new(crash, now)).collect(),
        })
    }

    /// Returns the parts with a history: the quarantined ones first, then by their last
    /// crash, the newest first.
    pub fn parts(&self) -> Vec<Part> {
        let mut parts: Vec<(bool, Option<Time>, Part)> = self
            .treatments
            .iter()
            .map(|(part, treatment)| {
                let is_quarantined = treatment.level == Level::Quarantined;
                (is_quarantined, treatment.history.last_at(), *part)
            })
            .collect();
        parts.sort_unstable_by(|a, b| b.cmp(a));
        parts.into_iter().map(|(_, _, part)| part).collect()
    }

    /// Returns the parts whose requests may be withheld, in the order of [`Table::parts`].
    pub fn treated(&self, now: Moment) -> Vec<Treated> {
        let parts = self.parts().into_iter();
        let treated = parts.filter_map(|part| {
            let treatment = self.treatments.get(&part)?;
            Some(Treated {
                part,
                level: treatment.level,
                crashes: treatment.crashes,
                last_crash_age: treatment.last_crash_age(now),
            })
        });
        treated.filter(|t| t.level != Level::Allowed).collect()
    }

    /// Returns whether whole requests have a history, so that digests of requests are needed.
    pub fn has_requests(&self) -> bool {
        // Whole requests follow all prompt parts.
        let last = self.treatments.last_key_value();
        last.is_some_and(|(part, _)| part.is_request())
    }

    /// Returns whether a part may crash servers, by the crashes that it explains.
    pub fn is_suspected(&self, part: Part) -> bool {
        let treatment = self.treatments.get(&part);
        treatment.is_some_and(|t| t.level != Level::Allowed)
    }

    /// Decides again how parts are treated, and returns those whose level changed.
    ///
    /// The part that explains the most crashes is quarantined, and they no longer count for
    /// other parts. Each node has an equal share of the trials; the time of its first one is
    /// random, so that nodes do not send requests together.
    pub fn assess(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Change> {
        let crashes = self.explained_crashes();
        let mut changes = Vec::new();
        for (part, treatment) in &mut self.treatments {
            let was_sound = self.sound.contains(*part);
            let mut crashes = crashes.get(part).copied().unwrap_or(0);
            // Two requests that crash the same servers would free each other in turn.
            if part.is_request() && treatment.level == Level::Quarantined {
                let own = treatment.history.separate_crashes(*part, &HashSet::new());
                crashes = crashes.max(own);
            }
            let level = pace::level(crashes, was_sound);
            let interval = trial_interval(crashes, was_sound);
            let last = treatment.history.last_open().copied();
            let is_delayed = part.is_request() && level == Level::Suspected;
            if treatment.interval != interval || is_delayed && treatment.last != last {
                treatment.trial = trial(*part, crashes, interval, last, now, rng);
            }
            treatment.last = last;
            treatment.interval = interval;
            treatment.crashes = crashes;
            if treatment.level != level {
                treatment.level = level;
                changes.push(Change {
                    part: *part,
                    level,
                    crashes,
                    last_crash_age: treatment.last_crash_age(now),
                });
            }
        }
        // Levels are set before, since quarantined parts are kept for longer.
        self.expire(now);
        changes
    }

    /// Records that a request with these parts is sent, or withholds it.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the part with the longest wait.
    pub fn admit(&mut self, parts: &[Part], node_count: usize, now: Moment) -> Result<(), Refusal> {
        if self.treatments.is_empty() {
            return Ok(());
        }
        if let Some(refusal) = self.refusal(parts, node_count, now) {
            return Err(refusal);
        }
        for part in parts {
            if let Some(treatment) = self.treatments.get_mut(part)
                && let Trial::After { .. } = treatment.trial
            {
                treatment.trial = Trial::After {
                    since: now,
                    fraction: 1.0,
                };
            }
        }
        Ok(())
    }

    /// Returns why a request with these parts is withheld; `None` if it is not.
    pub fn refusal(&self, parts: &[Part], node_count: usize, now: Moment) -> Option<Refusal> {
        let refusals = parts.iter().filter_map(|part| {
            let treatment = self.treatments.get(part)?;
            let interval = treatment.interval?;
            let wait = treatment.wait(node_count, now);
            (!wait.is_zero()).then_some(Refusal {
                part: *part,
                level: treatment.level,
                crashes: treatment.crashes,
                wait,
                interval: interval.max(wait),
            })
        });
        refusals.max_by_key(|refusal| refusal.wait)
    }

    /// Returns whether one of these parts is quarantined.
    pub fn is_quarantined(&self, parts: &[Part]) -> bool {
        parts.iter().any(|part| {
            let treatment = self.treatments.get(part);
            treatment.is_some_and(|t| t.level == Level::Quarantined)
        })
    }

    /// Adds a crash to the history of a part; returns whether it is new.
    fn add(&mut self, part: Part, crash: Crash) -> bool {
        if !self.treatments.contains_key(&part) {
            self.make_room(part.is_request());
        }
        let treatment = self.treatments.entry(part).or_insert_with(|| Treatment {
            history: History::default(),
            level: Level::Allowed,
            crashes: 0,
            interval: None,
            last: None,
            trial: Trial::Any,
        });
        treatment.history.add(crash)
    }

    /// Removes a prompt part or a whole request if there are too many: the one that
    /// explains the fewest crashes, and of several the oldest.
    fn make_room(&mut self, is_request: bool) {
        let of_kind = || {
            let treatments = self.treatments.iter();
            treatments.filter(move |(part, _)| part.is_request() == is_request)
        };
        if of_kind().count() < MAX_PARTS {
            return;
        }
        let least = of_kind().min_by_key(|(_, t)| (t.crashes, t.history.last_at()));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.treatments.remove(&part);
        }
    }

    /// Removes histories that are too old.
    fn expire(&mut self, now: Moment) {
        self.treatments.retain(|part, treatment| {
            let is_open = treatment.history.open().next().is_some();
            let max_age = if !is_open {
                MAX_CLEARED_AGE
            } else if part.is_request() && treatment.level != Level::Quarantined {
                MAX_SUSPECT_AGE
            } else {
                MAX_AGE
            };
            treatment.last_crash_age(now) < max_age
        });
    }

    /// Returns the number of crashes that each part explains.
    fn explained_crashes(&self) -> HashMap<Part, u32> {
        let mut explained: HashSet<Server> = HashSet::new();
        let mut crashes = HashMap::new();
        loop {
            let rest = self
                .treatments
                .iter()
                .filter(|(p, _)| !crashes.contains_key(*p));
            let weights = rest.map(|(part, treatment)| {
                let count = treatment.history.separate_crashes(*part, &explained);
                let was_sound = self.sound.contains(*part);
                (!was_sound, count, *part)
            });
            // A part without sound answers is the more likely cause.
            let heaviest = weights
                .filter(|(is_new, count, _)| {
                    *count
                        >= if *is_new {
                            QUARANTINED_FROM
                        } else {
                            FORMERLY_SOUND_FROM
                        }
                })
                .max();
            let Some((_, count, part)) = heaviest else {
                break;
            };
            crashes.insert(part, count);
            explained.extend(self.treatments[&part].history.open().map(|e| e.server));
        }
        for (part, treatment) in &self.treatments {
            crashes
                .entry(*part)
                .or_insert_with(|| treatment.history.separate_crashes(*part, &explained));
        }
        crashes
    }
}

/// Returns when this node may next send a request with a part, after its history changed.
fn trial(
    part: Part,
    crashes: u32,
    interval: Option<Duration>,
    last: Option<Crash>,
    now: Moment,
    rng: &mut impl Rng,
) -> Trial {
    if interval.is_none() {
        return Trial::Any;
    }
    let until = |delay: Duration, last: Crash| now + delay.saturating_sub(last.at.age(now));
    let since = match (part, crashes, last) {
        (Part::Request(_), 1, Some(last)) => {
            let delay = first_trial_delay(part, last.server, last.run);
            return Trial::From(until(delay, last));
        }
        (Part::Request(_), 2, Some(last)) => until(SECOND_TRIAL_DELAY, last),
        _ => now,
    };
    Trial::After {
        since,
        fraction: rng.random_range(0.0..1.0),
    }
}

/// Returns a number of nodes as a factor of times.
fn node_count_u32(node_count: usize) -> u32 {
    u32::try_from(node_count).unwrap_or(u32::MAX)
}
