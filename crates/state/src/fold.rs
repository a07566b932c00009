//! The fold of the control stream.

use crate::{Assignment, Change, Epoch, Operation, Record, Scope, Writer};
use name::{Domain, Generation, Instance, Offset, Replica, Sequence};
use std::{collections::BTreeMap, fmt, sync::Arc};

/// The state that the control stream defines at one offset.
#[common::value]
#[derive(Default)]
pub struct State {
    /// The last offset that was folded.
    pub offset: Offset,
    /// The revision of the lists; zero before the first.
    pub lists_revision: Offset,
    /// The TOML text of the lists.
    pub lists_text: Arc<str>,
    /// The last operation on each scope, with its offset.
    #[serde(with = "crate::pairs")]
    pub operations: BTreeMap<Scope, (Offset, Operation)>,
    /// The replicas.
    pub assignments: BTreeMap<Replica, Assignment>,
    /// The entry nodes that own slots.
    pub epoch: Epoch,
    /// The highest sequence folded from each writer.
    #[serde(with = "crate::pairs")]
    pub writers: BTreeMap<Writer, Sequence>,
}

/// What the fold made of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The record changed the state.
    Accepted,
    /// The record was folded before.
    Repeated,
    /// The record was refused; the state is as before.
    Rejected(Rejection),
}

/// Why the fold refused a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// Another record on the same base came first.
    Conflict {
        /// The revision in force.
        current: Offset,
    },
    /// An instance belongs to another replica.
    InstanceTaken {
        /// The instance.
        instance: Instance,
        /// The replica that has it.
        replica: Replica,
    },
    /// The record is wrong in itself.
    Invalid {
        /// Every fault found.
        faults: Vec<String>,
    },
}

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
    /// Offsets at or below the state's own are ignored as repeats.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Outcome {
        if offset <= self.offset {
            return Outcome::Repeated;
        }
        self.offset = offset;
        let last = self
            .writers
            .get(&record.writer)
            .copied()
            .unwrap_or_default();
        if record.sequence <= last {
            return Outcome::Repeated;
        }
        self.writers.insert(record.writer, record.sequence);
        match self.change(offset, &record.change) {
            Ok(()) => Outcome::Accepted,
            Err(rejection) => Outcome::Rejected(rejection),
        }
    }

    /// Makes a change, or says why not.
    fn change(&mut self, offset: Offset, change: &Change) -> Result<(), Rejection> {
        match change {
            Change::Lists { base, text, .. } => self.replace_lists(offset, *base, text),
            Change::Operation {
                base,
                scope,
                operation,
                ..
            } => self.operate(offset, *base, scope, *operation),
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
            Change::Epoch { base, peers } => {
                check_base(*base, self.epoch.revision)?;
                self.epoch = Epoch {
                    revision: offset,
                    peers: peers.clone(),
                };
                Ok(())
            }
            Change::Snapshot { .. } => Ok(()),
        }
    }

    fn replace_lists(
        &mut self,
        offset: Offset,
        base: Offset,
        text: &Arc<str>,
    ) -> Result<(), Rejection> {
        check_base(base, self.lists_revision)?;
        self.lists_revision = offset;
        self.lists_text = Arc::clone(text);
        Ok(())
    }

    fn operate(
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
        check_base(base, current)?;
        self.operations.insert(scope.clone(), (offset, operation));
        Ok(())
    }

    fn assign(
        &mut self,
        base: Generation,
        replica: &Replica,
        new: Assignment,
    ) -> Result<(), Rejection> {
        check_base(Offset(base.0), Offset(self.generation_of(replica).0))?;
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
        self.assignments.insert(replica.clone(), new);
        Ok(())
    }

    fn release(&mut self, base: Generation, replica: &Replica) -> Result<(), Rejection> {
        check_base(Offset(base.0), Offset(self.generation_of(replica).0))?;
        self.assignments.remove(replica);
        Ok(())
    }

    /// Returns the generation of `replica`; zero if there is none.
    pub fn generation_of(&self, replica: &Replica) -> Generation {
        self.assignments
            .get(replica)
            .map(|a| a.generation)
            .unwrap_or_default()
    }

    /// Returns the replica to which `instance` belongs.
    pub fn replica_of(&self, instance: &Instance) -> Option<&Replica> {
        self.assignments
            .iter()
            .find(|(_, a)| a.members.contains(instance))
            .map(|(replica, _)| replica)
    }

    /// Returns whether operators have taken out the instance or its failure domain.
    pub fn is_out(&self, instance: &Instance, domain: &Domain) -> bool {
        let out = |scope: Scope| {
            self.operations
                .get(&scope)
                .is_some_and(|(_, o)| *o == Operation::TakeOut)
        };
        out(Scope::Instance(instance.clone())) || out(Scope::Domain(domain.clone()))
    }
}

/// Refuses a base that is not the current revision.
fn check_base(base: Offset, current: Offset) -> Result<(), Rejection> {
    if base == current {
        Ok(())
    } else {
        Err(Rejection::Conflict { current })
    }
}
