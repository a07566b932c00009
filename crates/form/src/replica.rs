//! The replicas that engines report.

use crate::{Engine, planner::FreeEngines};
use name::{Instance, Model, Replica};
use site::{config, order::Command, server::Phase};
use std::collections::{BTreeMap, HashMap};

/// A replica as reported by its members.
#[derive(Debug, Clone)]
pub(crate) struct ReportedReplica {
    pub(crate) replica: Replica,
    pub(crate) generation: u64,
    /// The members that report the replica, by rank.
    pub(crate) members: BTreeMap<usize, Instance>,
    /// The model of the head, or of any member if the head reports none.
    pub(crate) model: Option<Model>,
    /// The phase of the head, if it responds.
    pub(crate) head_phase: Option<Phase>,
    /// Whether all reporting members are past the joining phase.
    pub(crate) is_ready: bool,
    /// Whether all members are healthy.
    pub(crate) is_healthy: bool,
    /// Whether the failure domains of all members are in service.
    pub(crate) is_in_service: bool,
    /// Whether a member is dead.
    pub(crate) has_dead: bool,
    /// Whether the only fault is that members other than the head have no entry.
    pub(crate) lacks_entries_only: bool,
}

impl ReportedReplica {
    /// Returns the name and generation, which identify the replica.
    pub(crate) fn key(&self) -> (Replica, u64) {
        (self.replica.clone(), self.generation)
    }

    /// Returns the command that opens the replica.
    pub(crate) fn open_command(&self) -> Command {
        let (replica, generation) = self.key();
        Command::Open {
            replica,
            generation,
        }
    }

    /// Returns the command that closes the replica.
    pub(crate) fn close_command(&self, is_abrupt: bool) -> Command {
        let (replica, generation) = self.key();
        Command::Close {
            replica,
            generation,
            is_abrupt,
        }
    }

    /// Returns the command for a member to leave the replica.
    pub(crate) fn leave_command(&self) -> Command {
        let (replica, generation) = self.key();
        Command::Leave {
            replica,
            generation,
        }
    }

    /// Returns the free engines in the replica's fabric domain.
    pub(crate) fn free_in_domain<'a>(
        &self,
        engines: &HashMap<Instance, Engine>,
        free: &'a FreeEngines,
    ) -> &'a [Instance] {
        let member = self.members.values().next();
        let fabric = member.and_then(|id| engines[id].fabric().cloned());
        free.get(&fabric).map_or(&[], Vec::as_slice)
    }

    /// Returns whether the replica has all members that its model needs.
    pub(crate) fn is_complete(&self, engine_spec: &config::EngineSpec) -> bool {
        let spec = self.model.as_ref().and_then(|m| engine_spec.model(m));
        spec.is_some_and(|w| {
            self.members.len() == w.replica_size
                && self.members.keys().copied().eq(0..w.replica_size)
        })
    }
}

/// Returns the replicas that `engines` report.
pub(crate) fn reported_replicas(engines: &HashMap<Instance, Engine>) -> Vec<ReportedReplica> {
    let mut replicas: BTreeMap<(Replica, u64), ReportedReplica> = BTreeMap::new();
    let mut ids: Vec<&Instance> = engines.keys().collect();
    ids.sort();
    for engine in ids.into_iter().map(|id| &engines[id]) {
        let Some(member) = engine.membership() else {
            continue;
        };
        let key = (member.replica.clone(), member.generation);
        let replica = replicas.entry(key).or_insert_with(|| ReportedReplica {
            replica: member.replica.clone(),
            generation: member.generation,
            members: BTreeMap::new(),
            model: None,
            head_phase: None,
            is_ready: true,
            is_healthy: true,
            is_in_service: true,
            has_dead: false,
            lacks_entries_only: true,
        });
        replica.members.insert(member.rank, engine.id().clone());
        replica.is_ready &= member.phase != Phase::Joining;
        replica.is_healthy &= engine.is_healthy();
        replica.is_in_service &= engine.is_in_service;
        replica.has_dead |= !engine.is_alive;
        let is_whole = engine.is_healthy()
            || (engine.is_alive && !engine.server.is_leaving && member.rank != 0);
        replica.lacks_entries_only &= is_whole;
        let model = engine.server.engine.loaded_models.first().cloned();
        if member.rank == 0 {
            replica.head_phase = engine.is_alive.then_some(member.phase);
            replica.model = model;
        } else if replica.model.is_none() {
            replica.model = model;
        }
    }
    for replica in replicas.values_mut() {
        replica.lacks_entries_only &= !replica.is_healthy;
    }
    replicas.into_values().collect()
}
