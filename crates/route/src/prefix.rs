//! Indexes which replicas cache which prompt prefixes, from late and incomplete events.
//!
//! A prompt is split into blocks; the hash of a block covers all blocks before it,
//! so the longest prefix whose hash is in the index is the longest cached prefix.
//! Entries are kept in two maps, young and old: when the young map is full or its
//! entries are old, it replaces the old map, so memory is bounded and entries
//! expire without a scan.

use clock::Moment;
use std::{collections::HashMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 256;

/// The maximum blocks of a prompt that are hashed; later blocks do not affect routing.
pub const MAX_BLOCKS: usize = 64;

/// The replicas kept for one prefix.
const MAX_HOLDERS: usize = 4;

/// Returns the hashes of the whole blocks of `prompt` for `model`, shortest prefix first.
pub fn hashes(model: &str, prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let start = xxh3_64_with_seed(model.as_bytes(), 0);
    let chained = blocks.scan(start, |before, block| {
        *before = xxh3_64_with_seed(block, *before);
        Some(*before)
    });
    chained.collect()
}

/// Returns the hash of a whole prompt.
pub fn prompt_hash(prompt: &str) -> u64 {
    /// Keeps the hash of a prompt apart from those of its prefixes.
    const SEED: u64 = 1;
    xxh3_64_with_seed(prompt.as_bytes(), SEED)
}

/// The replicas that cache a prefix of one prompt, with its length in blocks.
#[common::plain]
#[derive(Default)]
pub struct Match {
    /// Sorted by replica key.
    holders: Vec<(u64, u32)>,
}

impl Match {
    /// Returns the number of blocks cached by the replica with `key`.
    pub fn blocks(&self, key: u64) -> u32 {
        let found = self.holders.binary_search_by_key(&key, |(held, _)| *held);
        found.map_or(0, |at| self.holders[at].1)
    }

    /// Returns whether no replica caches a prefix.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}

/// A replica's cache between two resets.
#[common::key]
pub struct Holder {
    /// The replica, by [`crate::replica_key`].
    pub key: u64,
    /// A number that increases with each reset of the cache; entries of earlier ones are ignored.
    pub life: u64,
}

/// An index from prompt prefixes to the replicas that cache them.
#[derive(Debug, Clone)]
pub struct Index {
    max_entries: usize,
    max_age: Duration,
    young: HashMap<u64, Vec<Holder>>,
    old: HashMap<u64, Vec<Holder>>,
    rotated_at: Moment,
    /// The current life of each replica's cache.
    lives: HashMap<u64, u64>,
}

impl Index {
    /// Returns an empty index of at most `max_entries` prefixes.
    ///
    /// An entry that is not stored again expires after `max_age` at the latest.
    pub fn new(max_entries: usize, max_age: Duration) -> Self {
        Self {
            max_entries,
            max_age,
            young: HashMap::new(),
            old: HashMap::new(),
            rotated_at: Moment::START,
            lives: HashMap::new(),
        }
    }

    /// Records the reset of a replica's cache, which is empty afterwards.
    ///
    /// Entries of earlier lives are ignored, and so are late events of them.
    pub fn begin_life(&mut self, holder: Holder) {
        let life = self.lives.entry(holder.key).or_insert(holder.life);
        *life = holder.life.max(*life);
    }

    /// Records that a replica caches a prefix, after an event or a request sent to it.
    pub fn store(&mut self, prefix: u64, holder: Holder, now: Moment) {
        self.rotate_if_due(now);
        let life = self.lives.entry(holder.key).or_insert(holder.life);
        if holder.life < *life {
            return;
        }
        *life = holder.life;
        if self.young.len() >= self.max_entries / 2 && !self.young.contains_key(&prefix) {
            self.rotate(now);
        }
        let old = self.old.remove(&prefix).unwrap_or_default();
        let holders = self.young.entry(prefix).or_insert(old);
        holders.retain(|held| held.key != holder.key);
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(holder);
    }

    /// Records that a replica evicted a prefix.
    pub fn evict(&mut self, prefix: u64, holder: Holder) {
        for entries in [&mut self.young, &mut self.old] {
            let Some(holders) = entries.get_mut(&prefix) else {
                continue;
            };
            // A late event of an earlier life does not apply to the current one.
            holders.retain(|held| held.key != holder.key || held.life > holder.life);
            if holders.is_empty() {
                entries.remove(&prefix);
            }
        }
    }

    /// Removes the replicas whose key does not match `keep`.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.lives.retain(|key, _| keep(*key));
    }

    /// Returns the replicas that cache a prefix, with the longest prefix of each.
    pub fn find(&self, hashes: &[u64], now: Moment) -> Match {
        let mut holders: Vec<(u64, u32)> = Vec::new();
        if now.since(self.rotated_at) >= self.max_age {
            return Match::default();
        }
        for (at, prefix) in hashes.iter().enumerate().rev() {
            let blocks = u32::try_from(at + 1).unwrap_or(u32::MAX);
            for holder in self.holders(*prefix) {
                let is_new = !holders.iter().any(|(key, _)| *key == holder.key);
                if is_new && self.lives.get(&holder.key) == Some(&holder.life) {
                    holders.push((holder.key, blocks));
                }
            }
        }
        holders.sort_unstable();
        Match { holders }
    }

    /// Returns the number of prefixes in the index.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the holders of a prefix in the young and the old map.
    fn holders(&self, prefix: u64) -> impl Iterator<Item = &Holder> {
        let young = self.young.get(&prefix).into_iter().flatten();
        young.chain(self.old.get(&prefix).into_iter().flatten())
    }

    /// Rotates at half of the maximum age, and clears the index at the full age.
    fn rotate_if_due(&mut self, now: Moment) {
        let span = now.since(self.rotated_at);
        if span >= self.max_age {
            self.old.clear();
            self.young.clear();
            self.rotated_at = now;
        } else if span >= self.max_age / 2 {
            self.rotate(now);
        }
    }

    /// Replaces the old map by the young one.
    fn rotate(&mut self, now: Moment) {
        self.old = std::mem::take(&mut self.young);
        self.rotated_at = now;
    }
}
