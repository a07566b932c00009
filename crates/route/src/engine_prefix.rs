//! Which route prefixes an engine's cache events speak of.
//!
//! An engine names a cached prefix by a hash of its own, over the first bytes
//! of the prompt whatever the model. The index here uses [`crate::prefix::hashes`],
//! which are per model and per block. Neither can be computed from the other, so
//! a node remembers which hashes it sent under which name of the engine. Events
//! on prompts that only other nodes sent mean nothing to it and are skipped.

use std::collections::HashMap;

/// The first blocks remembered for one name: those of a model and its adapters.
const MAX_FIRST: usize = 8;

/// The longer prefixes remembered for one name.
const MAX_LONGER: usize = 64;

/// The route prefixes behind one of the engines' names, latest last.
#[common::plain]
#[derive(Default)]
pub struct Meaning {
    /// Hashes of the first block, which is what a store event speaks of.
    pub first: Vec<u64>,
    /// Hashes of longer prefixes, which end with the first block's eviction.
    pub longer: Vec<u64>,
}

/// Which route prefixes the engines' names of prefixes stand for.
///
/// Memory is bounded: when half of the names are young, they replace the old ones.
#[derive(Debug, Clone)]
pub struct Naming {
    max_names: usize,
    young: HashMap<u64, Meaning>,
    old: HashMap<u64, Meaning>,
}

impl Naming {
    /// Returns an empty table of at most `max_names` names.
    pub fn new(max_names: usize) -> Self {
        Self {
            max_names,
            young: HashMap::new(),
            old: HashMap::new(),
        }
    }

    /// Notes that a prompt with `hashes`, shortest first, has the engine's `name`.
    pub fn note(&mut self, name: u64, hashes: &[u64]) {
        let Some((first, longer)) = hashes.split_first() else {
            return;
        };
        if self.young.len() >= (self.max_names / 2).max(1) && !self.young.contains_key(&name) {
            self.old = std::mem::take(&mut self.young);
        }
        let known = self.old.remove(&name).unwrap_or_default();
        let meaning = self.young.entry(name).or_insert(known);
        push(&mut meaning.first, *first, MAX_FIRST);
        for hash in longer {
            push(&mut meaning.longer, *hash, MAX_LONGER);
        }
    }

    /// Returns what `name` stands for, if this node sent such a prompt.
    pub fn meaning(&self, name: u64) -> Option<&Meaning> {
        self.young.get(&name).or_else(|| self.old.get(&name))
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
fn push(hashes: &mut Vec<u64>, hash: u64, most: usize) {
    hashes.retain(|held| *held != hash);
    if hashes.len() == most {
        hashes.remove(0);
    }
    hashes.push(hash);
}
