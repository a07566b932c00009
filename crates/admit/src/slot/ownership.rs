//! Assigns slots to the entry nodes of one epoch.

use name::{Incarnation, Node, Offset};
use state::Epoch;
use std::collections::BTreeMap;

/// The entry nodes of one epoch, among which slots are divided.
///
/// The owner of a slot is found by rendezvous hashing, so adding or removing one
/// peer reassigns only that peer's slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ownership {
    revision: Offset,
    peers: Vec<(Node, Incarnation)>,
}

impl From<&Epoch> for Ownership {
    fn from(epoch: &Epoch) -> Self {
        let peers = epoch.peers.iter().map(|p| (p.node.clone(), p.incarnation));
        // Two incarnations of one node would both own its slots: the last one counts.
        let peers: BTreeMap<Node, Incarnation> = peers.collect();
        Self {
            revision: epoch.revision,
            peers: peers.into_iter().collect(),
        }
    }
}

impl Ownership {
    /// Returns the log offset of the epoch's record.
    pub fn revision(&self) -> Offset {
        self.revision
    }

    /// Returns the number of entry nodes.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether this incarnation of `node` belongs to the epoch.
    pub fn includes(&self, node: &Node, incarnation: Incarnation) -> bool {
        self.peers
            .iter()
            .any(|(n, i)| n == node && *i == incarnation)
    }

    /// Returns the node that owns `slot` of the server `key`.
    ///
    /// Takes time linear in the number of peers.
    pub fn owner(&self, key: &str, slot: u32) -> Option<&Node> {
        self.highest_scoring(&format!("{key}/{slot}"))
    }

    /// Returns the slots below `slots` of the server `key` that this incarnation of `node` owns.
    ///
    /// Takes time linear in `slots` and in the number of peers; a [`super::Gate`]
    /// calls it once for each epoch.
    pub fn owned_slots(
        &self,
        key: &str,
        node: &Node,
        incarnation: Incarnation,
        slots: u32,
    ) -> Vec<u32> {
        if !self.includes(node, incarnation) {
            return Vec::new();
        }
        let is_owned = |slot: &u32| self.owner(key, *slot) == Some(node);
        (0..slots).filter(is_owned).collect()
    }

    /// Returns the node with the highest rendezvous score for `hash_key`.
    fn highest_scoring(&self, hash_key: &str) -> Option<&Node> {
        let nodes = self.peers.iter().map(|(node, _)| node);
        nodes.max_by_key(|node| (name::rendezvous_score(hash_key, node.as_str()), *node))
    }
}
