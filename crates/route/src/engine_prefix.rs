//! Maps the prefix hashes in engine cache events to the hashes used for routing.
//!
//! An engine identifies a cached prefix by its own hash, over the first bytes of
//! the prompt regardless of the model. The index of this crate uses
//! [`crate::prefix::hashes`], which are per model and per block. Neither can be
//! computed from the other, so a node stores which routing hashes belong to the
//! engine hash of each prompt it sent. Events for prompts that only other nodes
//! sent cannot be mapped and are skipped.

use std::collections::HashMap;

/// The first-block hashes kept for one engine hash: one for each model and adapter.
const MAX_FIRST_BLOCK_HASHES: usize = 8;

/// The hashes of longer prefixes kept for one engine hash.
const MAX_LONGER_HASHES: usize = 64;

/// The routing hashes for one engine hash, latest last.
#[common::plain]
#[derive(Default)]
pub struct RoutePrefixes {
    /// Hashes of the first block, to which a store event refers.
    pub first_block: Vec<u64>,
    /// Hashes of longer prefixes, which the eviction of the first block also evicts.
    pub longer: Vec<u64>,
}

/// A bounded map from engine hashes to routing hashes.
///
/// When the young entries reach half of the bound, they replace the old ones.
#[derive(Debug, Clone)]
pub struct EnginePrefixMap {
    max_entries: usize,
    young: HashMap<u64, RoutePrefixes>,
    old: HashMap<u64, RoutePrefixes>,
}

impl EnginePrefixMap {
    /// Returns an empty map of at most `max_entries` engine hashes.
    pub fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            young: HashMap::new(),
            old: HashMap::new(),
        }
    }

    /// Adds the routing `hashes` of a prompt, shortest prefix first, under `engine_hash`.
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

    /// Returns the routing hashes for `engine_hash`, if this node sent such a prompt.
    pub fn get(&self, engine_hash: u64) -> Option<&RoutePrefixes> {
        self.young
            .get(&engine_hash)
            .or_else(|| self.old.get(&engine_hash))
    }

    /// Returns the number of engine hashes in the map.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Moves or adds `hash` to the end, and drops the first beyond `max_len`.
fn push_latest(hashes: &mut Vec<u64>, hash: u64, max_len: usize) {
    hashes.retain(|held| *held != hash);
    if hashes.len() == max_len {
        hashes.remove(0);
    }
    hashes.push(hash);
}
