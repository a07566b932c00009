//! The replicas that engines report.

use crate::{Engine, planner::Free};
use name::{Instance, Model, Replica};
use site::{config, order::Command, server::Phase};
use std::collections::{BTreeMap, HashMap};

/// A replica, as its members report it.
#[derive(Debug, Clone)]
pub(crate) struct Reported {
    pub(crate) replica: Replica,
    pub(crate) generation: u64,
    /// The members that report it, by rank.
    pub(crate) members: BTreeMap<usize, Instance>,
    /// The model of the head, or else of any member.
    pub(crate) model: Option<Model>,
    /// How far the head is, if it answers.
    pub(crate) head: Option<Phase>,
    /// Whether all members that report it are ready or further.
    pub(crate) is_ready: bool,
    /// Whether all members are sound.
    pub(crate) is_sound: bool,
    /// Whether requests may be sent to it, as far as failure domains go.
    pub(crate) is_allowed: bool,
    /// Whether a member died.
    pub(crate) has_dead: bool,
    /// Whether all that is wrong is that members other than the head have no entry.
    pub(crate) is_unlisted: bool,
}

impl Reported {
    /// Returns its name and generation, which tell it from all others.
    pub(crate) fn key(&self) -> (Replica, u64) {
        (self.replica.clone(), self.generation)
    }

    /// Returns the command that opens it.
    pub(crate) fn open(&self) -> Command {
        let (replica, generation) = self.key();
        Command::Open {
            replica,
            generation,
        }
    }

    /// Returns the command that closes it.
    pub(crate) fn close(&self, is_abrupt: bool) -> Command {
        let (replica, generation) = self.key();
        Command::Close {
            replica,
            generation,
            is_abrupt,
        }
    }

    /// Returns the command by which a member leaves it.
    pub(crate) fn leave(&self) -> Command {
        let (replica, generation) = self.key();
        Command::Leave {
            replica,
            generation,
        }
    }

    /// Returns the free engines of its fabric domain.
    pub(crate) fn free_beside<'a>(
        &self,
        engines: &HashMap<Instance, Engine>,
        free: &'a Free,
    ) -> &'a [Instance] {
        let member = self.members.values().next();
        let fabric = member.and_then(|id| engines[id].fabric().cloned());
        free.get(&fabric).map_or(&[], Vec::as_slice)
    }

    /// Returns whether it has all members that its model needs.
    pub(crate) fn is_complete(&self, engine: &config::Engine) -> bool {
        let weights = self.model.as_ref().and_then(|m| engine.weights(m));
        weights.is_some_and(|w| {
            self.members.len() == w.size && self.members.keys().copied().eq(0..w.size)
        })
    }
}

/// Returns the replicas that `engines` report.
pub(crate) fn reported(engines: &HashMap<Instance, Engine>) -> Vec<Reported> {
    let mut replicas: BTreeMap<(Replica, u64), Reported> = BTreeMap::new();
    let mut ids: Vec<&Instance> = engines.keys().collect();
    ids.sort();
    for engine in ids.into_iter().map(|id| &engines[id]) {
        let Some(member) = engine.member() else {
            continue;
        };
        let key = (member.replica.clone(), member.generation);
        let seen = replicas.entry(key).or_insert_with(|| Reported {
            replica: member.replica.clone(),
            generation: member.generation,
            members: BTreeMap::new(),
            model: None,
            head: None,
            is_ready: true,
            is_sound: true,
            is_allowed: true,
            has_dead: false,
            is_unlisted: true,
        });
        seen.members.insert(member.rank, engine.id().clone());
        seen.is_ready &= member.phase != Phase::Joining;
        seen.is_sound &= engine.is_sound();
        seen.is_allowed &= engine.is_allowed;
        seen.has_dead |= !engine.is_alive;
        let is_whole =
            engine.is_sound() || (engine.is_alive && !engine.server.is_leaving && member.rank != 0);
        seen.is_unlisted &= is_whole;
        let model = engine.server.engine.models.first().cloned();
        if member.rank == 0 {
            seen.head = engine.is_alive.then_some(member.phase);
            seen.model = model;
        } else if seen.model.is_none() {
            seen.model = model;
        }
    }
    for replica in replicas.values_mut() {
        replica.is_unlisted &= !replica.is_sound;
    }
    replicas.into_values().collect()
}
