//! The serialized form of a state, validated on load.

use crate::{Assignment, Epoch, Index, Operation, Rejection, Scope, State, Writer, WriterPosition};
use name::{Offset, Replica};
use std::{collections::BTreeMap, sync::Arc};

/// A serialized state, without its index.
#[derive(serde::Deserialize)]
pub(crate) struct Stored {
    offset: Offset,
    lists_revision: Offset,
    lists_text: Arc<str>,
    #[serde(with = "crate::pairs")]
    operations: BTreeMap<Scope, (Offset, Operation)>,
    assignments: BTreeMap<Replica, Assignment>,
    epoch: Epoch,
    #[serde(with = "crate::pairs")]
    writers: BTreeMap<Writer, WriterPosition>,
    covered: Offset,
}

impl TryFrom<Stored> for State {
    type Error = Rejection;

    fn try_from(stored: Stored) -> Result<Self, Rejection> {
        let index = Index::build(&stored.lists_text, &stored.assignments)?;
        let latest = [stored.lists_revision, stored.epoch.revision, stored.covered]
            .into_iter()
            .chain(stored.operations.values().map(|(at, _)| *at))
            .chain(stored.assignments.values().map(|a| Offset(a.generation.0)))
            .chain(stored.writers.values().map(|position| position.offset))
            .max();
        if latest > Some(stored.offset) {
            return Err(crate::check::invalid("a revision lies beyond the offset"));
        }
        Ok(Self {
            offset: stored.offset,
            lists_revision: stored.lists_revision,
            lists_text: stored.lists_text,
            operations: stored.operations,
            assignments: stored.assignments,
            epoch: stored.epoch,
            writers: stored.writers,
            covered: stored.covered,
            index,
        })
    }
}
