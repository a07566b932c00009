//! Data derived from a state, cached for fast lookup.

use crate::{Assignment, Rejection};
use name::{Instance, Replica};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// The parsed lists and the replica of each instance.
///
/// Both are derived from the state's other fields, so all indexes compare as
/// equal and none is stored or sent.
#[derive(Debug, Clone, Default)]
pub struct Index {
    pub(crate) lists: Arc<plan::Lists>,
    holders: HashMap<Instance, Replica>,
}

impl PartialEq for Index {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Index {}

impl Index {
    /// Returns the replica to which `instance` belongs.
    pub(crate) fn holder(&self, instance: &Instance) -> Option<&Replica> {
        self.holders.get(instance)
    }

    /// Assigns `members` to `replica`.
    pub(crate) fn assign(&mut self, replica: &Replica, members: &[Instance]) {
        for instance in members {
            self.holders.insert(instance.clone(), replica.clone());
        }
    }

    /// Frees `members`.
    pub(crate) fn release(&mut self, members: &[Instance]) {
        for instance in members {
            self.holders.remove(instance);
        }
    }

    /// Builds the index of a state with these lists and assignments.
    ///
    /// # Errors
    ///
    /// Returns why folding can never produce such a state: invalid lists, or an
    /// instance in two replicas.
    pub(crate) fn build(
        lists_text: &str,
        assignments: &BTreeMap<Replica, Assignment>,
    ) -> Result<Self, Rejection> {
        let mut index = Self {
            lists: parse(lists_text)?,
            holders: HashMap::new(),
        };
        for (replica, assignment) in assignments {
            for instance in &assignment.members {
                if let Some(holder) = index.holder(instance) {
                    return Err(Rejection::InstanceTaken {
                        instance: instance.clone(),
                        replica: holder.clone(),
                    });
                }
                index.assign(replica, std::slice::from_ref(instance));
            }
        }
        Ok(index)
    }
}

/// Parses the lists.
pub(crate) fn parse(text: &str) -> Result<Arc<plan::Lists>, Rejection> {
    plan::parse(text).map(Arc::new).map_err(|faults| {
        let faults = faults.faults.iter().map(ToString::to_string).collect();
        Rejection::Invalid { faults }
    })
}
