//! The crash histories of all parts, and the decisions on requests.

use crate::{
    Part, Server,
    history::{Crash, History, Time},
    pace::{self, FORMERLY_SOUND_FROM, Level, QUARANTINED_FROM, trial_interval},
    sound::Sound,
};
use clock::Moment;
use rand::Rng;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// The maximum number of parts with a history.
pub const MAX_PARTS: usize = 256;

/// The maximum number of parts of one request whose histories are changed.
const MAX_PARTS_PER_REQUEST: usize = 64;

/// How long a history is kept after its last crash.
const MAX_AGE: Duration = Duration::from_secs(24 * 3_600);

/// How long a cleared history is kept after its last crash.
///
/// Other nodes may still send the history as it was before.
const MAX_CLEARED_AGE: Duration = Duration::from_secs(300);

/// The history of one part, as nodes send it to each other.
#[common::value]
pub struct Record {
    /// The part.
    pub part: Part,
    /// The servers that crashed, the milliseconds since, and whether the crash is cleared.
    pub servers: Vec<(Server, u64, bool)>,
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
    /// The mean time between two such requests of all nodes.
    pub interval: Duration,
}

/// The treatment of a part with a history.
#[derive(Debug, Clone)]
struct Treatment {
    history: History,
    level: Level,
    crashes: u32,
    /// The mean time between two requests that all nodes together send.
    interval: Option<Duration>,
    /// When this node may next send a request with the part.
    trial_at: Moment,
}

impl Treatment {
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
    /// Records the crash of a server while the answer of a request with these parts had
    /// just begun.
    ///
    /// Returns the parts whose history changed. A quarantined part explains the crash, so
    /// it is not added to other parts.
    pub fn record_crash(&mut self, parts: &[Part], server: Server, now: Moment) -> Vec<Part> {
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
            at: Time::before(now, Duration::ZERO),
            is_cleared: false,
        };
        let affected = affected.iter().take(MAX_PARTS_PER_REQUEST).copied();
        affected
            .filter(|part| self.add(*part, crash, now))
            .collect()
    }

    /// Clears the parts of a request whose answer went on past its beginning.
    ///
    /// Returns the parts whose history changed.
    pub fn record_success(&mut self, parts: &[Part], now: Moment) -> Vec<Part> {
        let mut cleared = Vec::new();
        for part in parts.iter().take(MAX_PARTS_PER_REQUEST) {
            self.sound.record(*part, now);
            let treatment = self.treatments.get_mut(part);
            if treatment.is_some_and(|t| t.history.record_success()) {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Adds the history that another node sent; returns whether any of it is new.
    pub fn merge(&mut self, record: &Record, now: Moment) -> bool {
        let mut is_changed = false;
        for (server, age_ms, is_cleared) in &record.servers {
            let crash = Crash {
                server: *server,
                at: Time::before(now, Duration::from_millis(*age_ms)),
                is_cleared: *is_cleared,
            };
            let max_age = if *is_cleared {
                MAX_CLEARED_AGE
            } else {
                MAX_AGE
            };
            let is_expired = crash.at.age(now) >= max_age;
            if !is_expired {
                is_changed |= self.add(record.part, crash, now);
            }
        }
        is_changed
    }

    /// Returns whether another node's record contains all that this node knows of its part.
    pub fn is_covered_by(&self, record: &Record, now: Moment) -> bool {
        let mut theirs = History::default();
        for (server, age_ms, is_cleared) in &record.servers {
            theirs.add(Crash {
                server: *server,
                at: Time::before(now, Duration::from_millis(*age_ms)),
                is_cleared: *is_cleared,
            });
        }
        let own = self.treatments.get(&record.part);
        own.is_none_or(|own| theirs.contains(own.history.crashes()))
    }

    /// Returns the history of a part, to send it to other nodes.
    pub fn record(&self, part: Part, now: Moment) -> Option<Record> {
        let treatment = self.treatments.get(&part)?;
        let servers = treatment.history.crashes().iter().map(|crash| {
            let age_ms = u64::try_from(crash.at.age(now).as_millis()).unwrap_or(u64::MAX);
            (crash.server, age_ms, crash.is_cleared)
        });
        Some(Record {
            part,
            servers: servers.collect(),
        })
    }

    /// Returns the parts with a history, by their last crash, the newest first.
    pub fn parts(&self) -> Vec<Part> {
        let mut parts: Vec<(Option<Time>, Part)> = self
            .treatments
            .iter()
            .map(|(part, treatment)| (treatment.history.last_at(), *part))
            .collect();
        parts.sort_unstable_by(|a, b| b.cmp(a));
        parts.into_iter().map(|(_, part)| part).collect()
    }

    /// Decides again how parts are treated, and returns those whose level changed.
    ///
    /// The part that explains the most crashes is quarantined, and they no longer count for
    /// other parts. Each of `node_count` nodes has an equal share of the trials; the time
    /// of its first one is random, so that nodes do not send requests together.
    pub fn assess(&mut self, node_count: usize, now: Moment, rng: &mut impl Rng) -> Vec<Change> {
        self.expire(now);
        let crashes = self.explained_crashes();
        let mut changes = Vec::new();
        for (part, treatment) in &mut self.treatments {
            let was_sound = self.sound.contains(*part);
            let crashes = crashes.get(part).copied().unwrap_or(0);
            let level = pace::level(crashes, was_sound);
            let interval = trial_interval(crashes, was_sound);
            if treatment.interval != interval {
                treatment.interval = interval;
                let share = interval.unwrap_or_default() * node_count_u32(node_count);
                treatment.trial_at = now + share.mul_f64(rng.random_range(0.0..1.0));
            }
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
        if let Some(refusal) = self.refusal(parts, now) {
            return Err(refusal);
        }
        for part in parts {
            if let Some(treatment) = self.treatments.get_mut(part)
                && let Some(interval) = treatment.interval
            {
                treatment.trial_at = now + interval * node_count_u32(node_count);
            }
        }
        Ok(())
    }

    /// Returns why a request with these parts is withheld; `None` if it is not.
    pub fn refusal(&self, parts: &[Part], now: Moment) -> Option<Refusal> {
        let refusals = parts.iter().filter_map(|part| {
            let treatment = self.treatments.get(part)?;
            let interval = treatment.interval?;
            let wait = now.until(treatment.trial_at);
            (!wait.is_zero()).then_some(Refusal {
                part: *part,
                level: treatment.level,
                crashes: treatment.crashes,
                wait,
                interval,
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
    fn add(&mut self, part: Part, crash: Crash, now: Moment) -> bool {
        if !self.treatments.contains_key(&part) && self.treatments.len() >= MAX_PARTS {
            self.evict();
        }
        let treatment = self.treatments.entry(part).or_insert_with(|| Treatment {
            history: History::default(),
            level: Level::Allowed,
            crashes: 0,
            interval: None,
            trial_at: now,
        });
        treatment.history.add(crash)
    }

    /// Removes the part that explains the fewest crashes, and of several the oldest.
    fn evict(&mut self) {
        let least = self
            .treatments
            .iter()
            .min_by_key(|(_, t)| (t.crashes, t.history.last_at()));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.treatments.remove(&part);
        }
    }

    /// Removes histories that are too old.
    fn expire(&mut self, now: Moment) {
        self.treatments.retain(|_, treatment| {
            let is_open = treatment.history.open().next().is_some();
            let max_age = if is_open { MAX_AGE } else { MAX_CLEARED_AGE };
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
                let count = treatment.history.separate_crashes(&explained);
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
                .or_insert_with(|| treatment.history.separate_crashes(&explained));
        }
        crashes
    }
}

/// Returns a number of nodes as a factor of times.
fn node_count_u32(node_count: usize) -> u32 {
    u32::try_from(node_count).unwrap_or(u32::MAX)
}
