//! The fold of the control stream into the control state.

use crate::{
    Assignment, Change, DecodeError, Epoch, Index, Operation, Peer, Record, Scope, Snapshot,
    Writer, WriterPosition, check, index, writers,
};
use name::{Domain, Generation, Instance, Offset, Replica};
use std::{collections::BTreeMap, fmt, sync::Arc};

/// The control state at one offset of the control stream.
#[common::value]
#[derive(Default)]
#[serde(try_from = "crate::stored::Stored")]
pub struct State {
    /// The last folded offset.
    pub offset: Offset,
    /// The revision of the lists; zero before the first.
    pub lists_revision: Offset,
    /// The lists as TOML.
    pub lists_text: Arc<str>,
    /// The last operation on each scope, with its offset.
    #[serde(with = "crate::pairs")]
    pub operations: BTreeMap<Scope, (Offset, Operation)>,
    /// The assignments by replica.
    pub assignments: BTreeMap<Replica, Assignment>,
    /// The entry nodes that own slots.
    pub epoch: Epoch,
    /// Each writer's last folded record within the retry horizon.
    #[serde(with = "crate::pairs")]
    pub writers: BTreeMap<Writer, WriterPosition>,
    /// The highest offset that a snapshot on the log covers.
    pub covered: Offset,
    /// Data derived from the fields above; [`State::reindex`] rebuilds it.
    #[serde(skip)]
    pub index: Index,
}

/// The outcome of folding a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The record changed the state.
    Accepted,
    /// The record was folded before and is ignored.
    Repeated,
    /// The record was rejected and its change is not applied.
    Rejected(Rejection),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted => f.write_str("accepted"),
            Self::Repeated => f.write_str("repeated"),
            Self::Rejected(rejection) => write!(f, "rejected: {rejection}"),
        }
    }
}

/// The reason for which a record was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// Another record on the same base was accepted first.
    Conflict {
        /// The revision in force.
        current: Offset,
    },
    /// An instance belongs to another replica.
    InstanceTaken {
        /// The instance.
        instance: Instance,
        /// The replica to which it belongs.
        replica: Replica,
    },
    /// The record is invalid regardless of the current revision.
    Invalid {
        /// Every fault found.
        faults: Vec<String>,
    },
}

impl std::error::Error for Rejection {}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current } => write!(f, "revision {current} came first"),
            Self::InstanceTaken { instance, replica } => {
                write!(f, "instance {instance} belongs to replica {replica}")
            }
            Self::Invalid { faults } => write!(f, "invalid: {}", faults.join("; ")),
        }
    }
}

impl State {
    /// Folds the record at `offset` into the state.
    ///
    /// Offsets at or below the state's own offset are ignored as repeats.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Outcome {
        if offset <= self.offset {
            return Outcome::Repeated;
        }
        self.advance(offset);
        if !writers::record(&mut self.writers, record.writer, record.sequence, offset) {
            return Outcome::Repeated;
        }
        match self.apply_change(offset, &record.change) {
            Ok(()) => Outcome::Accepted,
            Err(rejection) => Outcome::Rejected(rejection),
        }
    }

    /// Skips data at `offset` that is not a valid record.
    pub fn skip(&mut self, offset: Offset, reason: &DecodeError) -> Outcome {
        if offset <= self.offset {
            return Outcome::Repeated;
        }
        self.advance(offset);
        Outcome::Rejected(check::invalid(reason.to_string()))
    }

    /// Sets the offset and prunes expired writers.
    fn advance(&mut self, offset: Offset) {
        self.offset = offset;
        writers::prune(&mut self.writers, offset);
    }

    /// Applies a change or returns why it is rejected.
    fn apply_change(&mut self, offset: Offset, change: &Change) -> Result<(), Rejection> {
        match change {
            Change::Lists { base, text, by } => self.replace_lists(offset, *base, text, by),
            Change::Operation {
                base,
                scope,
                operation,
                by,
            } => {
                check::label("the operator", by)?;
                self.apply_operation(offset, *base, scope, *operation)
            }
            Change::Assign {
                base,
                replica,
                model,
                version,
                members,
            } => {
                let assignment = Assignment {
                    generation: offset.into(),
                    model: model.clone(),
                    version: Arc::clone(version),
                    members: members.clone(),
                };
                self.assign(*base, replica, assignment)
            }
            Change::Release { base, replica } => self.release(*base, replica),
            Change::Epoch { base, peers } => self.replace_epoch(offset, *base, peers),
            Change::Snapshot { snapshot } => self.record_snapshot(offset, snapshot),
        }
    }

    fn replace_lists(
        &mut self,
        offset: Offset,
        base: Offset,
        text: &Arc<str>,
        by: &str,
    ) -> Result<(), Rejection> {
        check::base(base, self.lists_revision)?;
        check::label("the operator", by)?;
        self.index.lists = index::parse(text)?;
        self.lists_revision = offset;
        self.lists_text = Arc::clone(text);
        Ok(())
    }

    fn apply_operation(
        &mut self,
        offset: Offset,
        base: Offset,
        scope: &Scope,
        operation: Operation,
    ) -> Result<(), Rejection> {
        let current = self
            .operations
            .get(scope)
            .map_or(Offset::ZERO, |(at, _)| *at);
        check::base(base, current)?;
        if current == Offset::ZERO && self.operations.len() >= check::MAX_SCOPES {
            self.evict_scope()?;
        }
        self.operations.insert(scope.clone(), (offset, operation));
        Ok(())
    }

    /// Removes the scope that was brought back the longest ago.
    ///
    /// A scope that is taken out is never removed.
    fn evict_scope(&mut self) -> Result<(), Rejection> {
        let oldest = self
            .operations
            .iter()
            .filter(|(_, (_, operation))| *operation == Operation::BringBack)
            .min_by_key(|(_, (at, _))| *at)
            .map(|(scope, _)| scope.clone());
        let max = check::MAX_SCOPES;
        let oldest = oldest.ok_or_else(|| check::invalid(format!("{max} scopes are out")))?;
        self.operations.remove(&oldest);
        Ok(())
    }

    fn assign(
        &mut self,
        base: Generation,
        replica: &Replica,
        new: Assignment,
    ) -> Result<(), Rejection> {
        let current = self.generation_of(replica);
        check::base(Offset(base.0), Offset(current.0))?;
        check::assignment(&new)?;
        if current == Generation::default() && self.assignments.len() >= check::MAX_REPLICAS {
            let max = check::MAX_REPLICAS;
            return Err(check::invalid(format!("there are {max} replicas")));
        }
        for instance in &new.members {
            match self.replica_of(instance) {
                Some(holder) if holder != replica => {
                    return Err(Rejection::InstanceTaken {
                        instance: instance.clone(),
                        replica: holder.clone(),
                    });
                }
                _ => {}
            }
        }
        if let Some(old) = self.assignments.get(replica) {
            self.index.release(&old.members);
        }
        self.index.assign(replica, &new.members);
        self.assignments.insert(replica.clone(), new);
        Ok(())
    }

    fn release(&mut self, base: Generation, replica: &Replica) -> Result<(), Rejection> {
        check::base(Offset(base.0), Offset(self.generation_of(replica).0))?;
        match self.assignments.remove(replica) {
            Some(old) => self.index.release(&old.members),
            None => return Err(check::invalid(format!("there is no replica {replica}"))),
        }
        Ok(())
    }

    fn replace_epoch(
        &mut self,
        offset: Offset,
        base: Offset,
        peers: &[Peer],
    ) -> Result<(), Rejection> {
        check::base(base, self.epoch.revision)?;
        check::peers(peers)?;
        self.epoch = Epoch {
            revision: offset,
            peers: peers.to_vec(),
        };
        Ok(())
    }

    /// Records the offset that a snapshot covers; its state is already folded.
    fn record_snapshot(&mut self, offset: Offset, snapshot: &Snapshot) -> Result<(), Rejection> {
        snapshot.check(offset)?;
        if snapshot.covers <= self.covered {
            let current = self.covered;
            return Err(Rejection::Conflict { current });
        }
        self.covered = snapshot.covers;
        Ok(())
    }

    /// Rebuilds the index after fields were set directly.
    ///
    /// # Errors
    ///
    /// Returns why folding can never produce these fields.
    pub fn reindex(&mut self) -> Result<(), Rejection> {
        self.index = Index::build(&self.lists_text, &self.assignments)?;
        Ok(())
    }

    /// Returns the lists in force.
    pub fn lists(&self) -> &Arc<plan::Lists> {
        &self.index.lists
    }

    /// Returns the generation of `replica`; zero if it does not exist.
    pub fn generation_of(&self, replica: &Replica) -> Generation {
        self.assignments
            .get(replica)
            .map(|a| a.generation)
            .unwrap_or_default()
    }

    /// Returns the replica to which `instance` belongs.
    pub fn replica_of(&self, instance: &Instance) -> Option<&Replica> {
        self.index.holder(instance)
    }

    /// Returns whether operators have taken out the instance or its failure
    /// domain.
    pub fn is_taken_out(&self, instance: &Instance, domain: &Domain) -> bool {
        let out = |scope: Scope| {
            self.operations
                .get(&scope)
                .is_some_and(|(_, o)| *o == Operation::TakeOut)
        };
        out(Scope::Instance(instance.clone())) || out(Scope::Domain(domain.clone()))
    }
}
