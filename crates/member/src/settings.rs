//! The settings of membership.

use std::time::Duration;

/// The time scales and sizes of membership.
#[common::value]
pub struct Settings {
    /// The time between two calls to the same partner.
    pub interval: Duration,
    /// The silence after which a partner is suspected.
    pub suspect_after: Duration,
    /// The time in which a suspected member may refute.
    pub dead_after: Duration,
    /// How long a dead member is remembered.
    #[serde(rename = "forget_after")]
    pub remove_after: Duration,
    /// The number of nodes up to which all exchange beats with all.
    #[serde(rename = "full")]
    pub full_mesh_nodes: usize,
    /// Half the number of partners above that.
    #[serde(rename = "circles")]
    pub rings: usize,
    /// The number of words in one beat.
    #[serde(rename = "max_words")]
    pub max_beat_members: usize,
    /// How the words of a beat are chosen.
    pub exchange: Exchange,
}

impl Default for Settings {
    /// Returns a call each second, suspicion after 3 s, death 4 s later.
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            suspect_after: Duration::from_secs(3),
            dead_after: Duration::from_secs(4),
            remove_after: Duration::from_secs(600),
            full_mesh_nodes: 16,
            rings: 6,
            max_beat_members: 32,
            exchange: Exchange::Delta,
        }
    }
}

/// How the words of a beat are chosen.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Exchange {
    /// All words each time.
    Full,
    /// The words that changed since the receiver's last acknowledgement.
    Delta,
    /// The words of the buckets whose digests differed last.
    Digest,
}
