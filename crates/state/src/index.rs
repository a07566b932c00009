//! What a state implies, kept beside it for fast reading.

use crate::{Assignment, Rejection};
use name::{Instance, Replica};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// The parsed lists and the holder of each instance.
///
/// A state's other fields define both, so that all indexes are equal in
/// comparisons and none is stored or sent.
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
    /// Returns the replica that holds `instance`.
    pub(crate) fn holder(&self, instance: &Instance) -> Option<&Replica> {
        self.holders.get(instance)
    }

    /// Gives `members` to `replica`.
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

    /// Returns the index of a state with these lists and assignments.
    ///
    /// # Errors
    ///
    /// Returns why no fold can have led there: lists with faults, or an
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

/// Returns the parsed lists.
pub(crate) fn parse(text: &str) -> Result<Arc<plan::Lists>, Rejection> {
    plan::parse(text).map(Arc::new).map_err(|faults| {
        let faults = faults.faults.iter().map(ToString::to_string).collect();
        Rejection::Invalid { faults }
    })
}
