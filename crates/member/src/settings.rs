//! Settings of the membership protocol.

use std::time::Duration;

/// Timeouts and sizes of the membership protocol.
#[common::value]
pub struct Settings {
    /// The time between two calls to the same partner.
    pub interval: Duration,
    /// The time without heartbeats after which a partner is suspected.
    pub suspect_after: Duration,
    /// How long a suspected member may refute before it is declared dead.
    pub dead_after: Duration,
    /// How long a dead member's record is kept.
    #[serde(rename = "forget_after")]
    pub remove_after: Duration,
    /// The number of nodes up to which each pair exchanges heartbeats.
    #[serde(rename = "full")]
    pub full_mesh_nodes: usize,
    /// The number of rings above that limit; a node has two partners per ring.
    #[serde(rename = "circles")]
    pub rings: usize,
    /// The maximum number of member records in a page, and in a heartbeat with
    /// delta exchange.
    #[serde(rename = "max_words")]
    pub max_beat_members: usize,
    /// How the member records of a heartbeat are chosen.
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

/// How the member records of a heartbeat are chosen.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Exchange {
    /// All records each time.
    Full,
    /// The records that changed since the receiver's last acknowledgement.
    Delta,
    /// The records in buckets whose digests differed in the last exchange.
    Digest,
}
