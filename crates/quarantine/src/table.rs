//! All evidence that a node has, and its decisions.

use crate::{
    Part, Server,
    case::{Case, Evidence, Time},
    pace::{self, BLAMED_FROM, FORMERLY_SOUND_FROM, Level, trial_interval},
    sound::Sound,
};
use clock::Moment;
use rand::Rng;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// The maximum number of parts with evidence.
pub const MAX_CASES: usize = 256;

/// The maximum number of parts of one request that are accused or cleared.
const MAX_PARTS_PER_REQUEST: usize = 64;

/// How long evidence is kept after its part was last accused.
const MAX_AGE: Duration = Duration::from_secs(24 * 3_600);

/// How long evidence is kept after its part was cleared.
///
/// It must outlive copies at other nodes that do not know yet.
const MAX_CLEARED_AGE: Duration = Duration::from_secs(300);

/// The evidence on one part, as nodes send it to each other.
#[common::value]
pub struct Record {
    /// The part.
    pub part: Part,
    /// The servers that ended, the milliseconds since, and whether the part is cleared.
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
    /// The number of ends that it explains.
    pub ends: u32,
    /// The time since the last end.
    pub last_end_age: Duration,
}

/// Why a request is withheld.
#[common::plain]
#[derive(Copy)]
pub struct Refusal {
    /// The part for which it is withheld.
    pub part: Part,
    /// The level of the part.
    pub level: Level,
    /// The number of ends that the part explains.
    pub ends: u32,
    /// The time until this node lets a request with the part through.
    pub wait: Duration,
    /// The time after which some node may have let one through.
    pub interval: Duration,
}

/// The treatment of a part with evidence.
#[derive(Debug, Clone)]
struct Treatment {
    case: Case,
    level: Level,
    ends: u32,
    /// The time between two requests that all nodes together let through.
    interval: Option<Duration>,
    /// When this node next lets a request with the part through.
    trial_at: Moment,
}

impl Treatment {
    /// Returns the time since the last end.
    fn last_end_age(&self, now: Moment) -> Duration {
        let last_at = self.case.last_at();
        last_at.map_or(Duration::ZERO, |at| at.age(now))
    }
}

/// The evidence that a node has on prompt parts.
#[derive(Debug, Clone, Default)]
pub struct Table {
    treatments: BTreeMap<Part, Treatment>,
    sound: Sound,
}

impl Table {
    /// Accuses the parts of a request whose answer had just begun when its server ended.
    ///
    /// Returns the parts with new evidence. A part that takes the blame already explains
    /// the end, and then no other part is accused.
    pub fn accuse(&mut self, parts: &[Part], server: Server, now: Moment) -> Vec<Part> {
        let is_blamed = |part: &&Part| {
            let treatment = self.treatments.get(*part);
            treatment.is_some_and(|t| t.level == Level::Blamed)
        };
        let blamed: Vec<Part> = parts.iter().filter(is_blamed).copied().collect();
        let accused = if blamed.is_empty() { parts } else { &blamed };
        let evidence = Evidence {
            server,
            at: Time::before(now, Duration::ZERO),
            is_cleared: false,
        };
        let accused = accused.iter().take(MAX_PARTS_PER_REQUEST).copied();
        accused
            .filter(|part| self.add(*part, evidence, now))
            .collect()
    }

    /// Clears the parts of a request whose answer went on past its beginning.
    ///
    /// Returns the parts that were cleared of an end.
    pub fn clear(&mut self, parts: &[Part], now: Moment) -> Vec<Part> {
        let mut cleared = Vec::new();
        for part in parts.iter().take(MAX_PARTS_PER_REQUEST) {
            self.sound.record(*part, now);
            let treatment = self.treatments.get_mut(part);
            if treatment.is_some_and(|t| t.case.clear()) {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Adds the evidence that another node sent; returns whether any of it is new.
    pub fn merge(&mut self, record: &Record, now: Moment) -> bool {
        let mut is_changed = false;
        for (server, age_ms, is_cleared) in &record.servers {
            let evidence = Evidence {
                server: *server,
                at: Time::before(now, Duration::from_millis(*age_ms)),
                is_cleared: *is_cleared,
            };
            let max_age = if *is_cleared {
                MAX_CLEARED_AGE
            } else {
                MAX_AGE
            };
            let is_expired = evidence.at.age(now) >= max_age;
            if !is_expired {
                is_changed |= self.add(record.part, evidence, now);
            }
        }
        is_changed
    }

    /// Returns whether another node's record contains all evidence on its part.
    pub fn is_covered_by(&self, record: &Record, now: Moment) -> bool {
        let mut theirs = Case::default();
        for (server, age_ms, is_cleared) in &record.servers {
            theirs.add(Evidence {
                server: *server,
                at: Time::before(now, Duration::from_millis(*age_ms)),
                is_cleared: *is_cleared,
            });
        }
        let own = self.treatments.get(&record.part);
        own.is_none_or(|own| theirs.contains(own.case.evidence()))
    }

    /// Returns the evidence on a part, to send it to other nodes.
    pub fn record(&self, part: Part, now: Moment) -> Option<Record> {
        let treatment = self.treatments.get(&part)?;
        let servers = treatment.case.evidence().iter().map(|evidence| {
            let age_ms = u64::try_from(evidence.at.age(now).as_millis()).unwrap_or(u64::MAX);
            (evidence.server, age_ms, evidence.is_cleared)
        });
        Some(Record {
            part,
            servers: servers.collect(),
        })
    }

    /// Returns the parts with evidence, those accused last first.
    pub fn parts(&self) -> Vec<Part> {
        let mut parts: Vec<(Option<Time>, Part)> = self
            .treatments
            .iter()
            .map(|(part, treatment)| (treatment.case.last_at(), *part))
            .collect();
        parts.sort_unstable_by(|a, b| b.cmp(a));
        parts.into_iter().map(|(_, part)| part).collect()
    }

    /// Decides again how parts are treated, and returns those whose level changed.
    ///
    /// The part that explains the most ends takes the blame for them, and they no longer
    /// count for other parts. Of `node_count` nodes each has an equal share of the
    /// trials; its first one falls at random within its share, so that nodes do not let
    /// requests through together.
    pub fn assess(&mut self, node_count: usize, now: Moment, rng: &mut impl Rng) -> Vec<Change> {
        self.expire(now);
        let ends = self.explained_ends();
        let mut changes = Vec::new();
        for (part, treatment) in &mut self.treatments {
            let was_sound = self.sound.contains(*part);
            let ends = ends.get(part).copied().unwrap_or(0);
            let level = pace::level(ends, was_sound);
            let interval = trial_interval(ends, was_sound);
            if treatment.interval != interval {
                treatment.interval = interval;
                let share = interval.unwrap_or_default() * node_count_u32(node_count);
                treatment.trial_at = now + share.mul_f64(rng.random_range(0.0..1.0));
            }
            treatment.ends = ends;
            if treatment.level != level {
                treatment.level = level;
                changes.push(Change {
                    part: *part,
                    level,
                    ends,
                    last_end_age: treatment.last_end_age(now),
                });
            }
        }
        changes
    }

    /// Lets a request with these parts through, or withholds it.
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
                ends: treatment.ends,
                wait,
                interval,
            })
        });
        refusals.max_by_key(|refusal| refusal.wait)
    }

    /// Returns whether one of these parts takes the blame for the ends of servers.
    pub fn is_blamed(&self, parts: &[Part]) -> bool {
        parts.iter().any(|part| {
            let treatment = self.treatments.get(part);
            treatment.is_some_and(|t| t.level == Level::Blamed)
        })
    }

    /// Adds evidence on a part; returns whether it is new.
    fn add(&mut self, part: Part, evidence: Evidence, now: Moment) -> bool {
        if !self.treatments.contains_key(&part) && self.treatments.len() >= MAX_CASES {
            self.evict();
        }
        let treatment = self.treatments.entry(part).or_insert_with(|| Treatment {
            case: Case::default(),
            level: Level::Free,
            ends: 0,
            interval: None,
            trial_at: now,
        });
        treatment.case.add(evidence)
    }

    /// Removes the part whose evidence weighs least, and of several the oldest.
    fn evict(&mut self) {
        let least = self
            .treatments
            .iter()
            .min_by_key(|(_, t)| (t.ends, t.case.last_at()));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.treatments.remove(&part);
        }
    }

    /// Removes evidence that is too old.
    fn expire(&mut self, now: Moment) {
        self.treatments.retain(|_, treatment| {
            let is_open = treatment.case.open().next().is_some();
            let max_age = if is_open { MAX_AGE } else { MAX_CLEARED_AGE };
            treatment.last_end_age(now) < max_age
        });
    }

    /// Returns the number of ends that each part explains.
    fn explained_ends(&self) -> HashMap<Part, u32> {
        let mut explained: HashSet<Server> = HashSet::new();
        let mut ends = HashMap::new();
        loop {
            let rest = self
                .treatments
                .iter()
                .filter(|(p, _)| !ends.contains_key(*p));
            let weights = rest.map(|(part, treatment)| {
                let count = treatment.case.separate_ends(&explained);
                let was_sound = self.sound.contains(*part);
                (!was_sound, count, *part)
            });
            // A part that was never sound explains an end better than one that was.
            let heaviest = weights
                .filter(|(is_new, count, _)| {
                    *count
                        >= if *is_new {
                            BLAMED_FROM
                        } else {
                            FORMERLY_SOUND_FROM
                        }
                })
                .max();
            let Some((_, count, part)) = heaviest else {
                break;
            };
            ends.insert(part, count);
            explained.extend(self.treatments[&part].case.open().map(|e| e.server));
        }
        for (part, treatment) in &self.treatments {
            ends.entry(*part)
                .or_insert_with(|| treatment.case.separate_ends(&explained));
        }
        ends
    }
}

/// Returns a number of nodes as a factor of times.
fn node_count_u32(node_count: usize) -> u32 {
    u32::try_from(node_count).unwrap_or(u32::MAX)
}
