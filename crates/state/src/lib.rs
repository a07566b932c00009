//! The control state: records, their fold, snapshots.
//!
//! Every entry node reads the same control stream of the platform's log service
//! and folds it with [`State::apply`]. The fold is pure and deterministic, so
//! nodes at the same offset have the same state. A record names the revision on
//! which it is based. The first record for a base is accepted and later ones
//! are rejected, which provides compare-and-set without support from the log.

mod change;
mod check;
mod codec;
mod due;
mod fold;
mod follower;
mod history;
mod index;
mod stored;
mod succession;
mod writers;

pub use change::{Assignment, Change, Epoch, Operation, Peer, Record, Scope, Snapshot, Writer};
pub use check::{MAX_PEERS, MAX_REPLICAS, MAX_SCOPES};
pub use codec::{DecodeError, MAX_RECORD_BYTES, RecordTooLong, decode, encode};
pub use due::{Uncovered, is_snapshot_due};
pub use fold::{Outcome, Rejection, State};
pub use follower::{Event, Follower, Limits, Page, Relay};
pub use history::Entry;
pub use index::Index;
pub use succession::replaced_epoch;
pub use writers::{MAX_WRITERS, RETRY_HORIZON_OFFSETS, WriterPosition};

/// Serialization of maps with non-string keys as lists of pairs.
mod pairs {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    /// Serializes `map` as a list of pairs.
    pub(crate) fn serialize<K: Serialize, V: Serialize, S: Serializer>(
        map: &BTreeMap<K, V>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_seq(map)
    }

    /// Deserializes a map from a list of pairs.
    pub(crate) fn deserialize<'a, K, V, D>(from: D) -> Result<BTreeMap<K, V>, D::Error>
    where
        K: Deserialize<'a> + Ord,
        V: Deserialize<'a>,
        D: Deserializer<'a>,
    {
        Vec::<(K, V)>::deserialize(from).map(|pairs| pairs.into_iter().collect())
    }
}
