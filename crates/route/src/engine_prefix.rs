//! Which route prefixes an engine's cache events speak of.
//!
//! An engine names a cached prefix by a hash of its own, over the first bytes
//! of the prompt whatever the model. The index here uses [`crate::prefix::hashes`],
//! which are per model and per block. Neither can be computed from the other, so
//! a node remembers which hashes it sent under which name of the engine. Events
//! on prompts that only other nodes sent mean nothing to it and are skipped.

use std::collections::HashMap;

/// The first blocks remembered for one name: those of a model and its adapters.
const MAX_FIRST_BLOCK_HASHES: usize = 8;

/// The longer prefixes remembered for one name.
const MAX_LONGER_HASHES: usize = 64;

/// The route prefixes behind one of the engines' names, latest last.
#[common::plain]
#[derive(Default)]
pub struct RoutePrefixes {
    /// Hashes of the first block, which is what a store event speaks of.
    pub first_block: Vec<u64>,
    /// Hashes of longer prefixes, which end with the first block's eviction.
    pub longer: Vec<u64>,
}

/// Which route prefixes the engines' names of prefixes stand for.
///
/// Memory is bounded: when half of the names are young, they replace the old ones.
#[derive(Debug, Clone)]
pub struct EnginePrefixMap {
    max_entries: usize,
    young: HashMap<u64, RoutePrefixes>,
    old: HashMap<u64, RoutePrefixes>,
}

impl EnginePrefixMap {
    /// Returns an empty table of at most `max_names` names.
    pub fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            young: HashMap::new(),
            old: HashMap::new(),
        }
    }

    /// Notes that a prompt with `hashes`, shortest first, has the engine's `name`.
    pub fn insert(&mut self, engine_hash: u64, hashes: &[u64]) {
        let Some((first, longer)) = hashes.split_first() else {
            return;
        };
        if self.young.len() >= (self.max_entries / 2).max(1)
            && !self.young.contains_key(&engine_hash)
        {
            self.old = std::mem::take(&mut self.young);
        }
        let existing = self.old.remove(&engine_hash).unwrap_or_default();
        let prefixes = self.young.entry(engine_hash).or_insert(existing);
        push_latest(&mut prefixes.first_block, *first, MAX_FIRST_BLOCK_HASHES);
        for hash in longer {
            push_latest(&mut prefixes.longer, *hash, MAX_LONGER_HASHES);
        }
    }

    /// Returns what `name` stands for, if this node sent such a prompt.
    pub fn get(&self, engine_hash: u64) -> Option<&RoutePrefixes> {
        self.young
            .get(&engine_hash)
            .or_else(|| self.old.get(&engine_hash))
    }

    /// Returns the number of names remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no name is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Adds a hash as the latest, and drops the earliest beyond `most`.
fn push_latest(hashes: &mut Vec<u64>, hash: u64, max_len: usize) {
    hashes.retain(|held| *held != hash);
    if hashes.len() == max_len {
        hashes.remove(0);
    }
    hashes.push(hash);
}
