//! Member records, which heartbeats spread.

use state::Peer;

/// Which work a node accepts; set by the node itself.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts new work.
    Open,
    /// Accepts no new work, because its state may be stale.
    Isolated,
    /// Is about to stop; completes the requests in progress.
    Leaving,
}

/// The liveness of a member; any node may report it, and the member may refute
/// it.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// No partner suspects the member.
    Alive,
    /// A partner has received no heartbeat from the member within the timeout.
    Suspect,
    /// The member did not refute the suspicion in time, or announced its stop.
    Dead,
}

/// The record of one member, replicated to all nodes.
#[common::value]
pub struct Member {
    /// The node's identity and addresses.
    pub peer: Peer,
    /// Orders the incarnations of a node: the wall time of the start in
    /// milliseconds, or a higher number if an earlier incarnation had that or a
    /// later one.
    #[serde(rename = "life")]
    pub incarnation_number: u64,
    /// Orders the records of one incarnation; only the member itself raises it.
    pub version: u64,
    /// Which work the member accepts.
    pub role: Role,
    /// The member's liveness.
    pub health: Health,
}

impl Member {
    /// Returns whether this record replaces `other` about the same node.
    ///
    /// The later incarnation takes precedence, then the higher version, then
    /// the worse health. A member refutes a suspicion by raising its version.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns whether both records are about the same incarnation of a node.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.peer.node == other.peer.node && self.peer.incarnation == other.peer.incarnation
    }

    /// Returns whether both records have the same incarnation, version and
    /// health.
    pub(crate) fn has_same_precedence(&self, other: &Self) -> bool {
        self.precedence() == other.precedence()
    }

    fn precedence(&self) -> (u64, name::Incarnation, u64, Health) {
        (
            self.incarnation_number,
            self.peer.incarnation,
            self.version,
            self.health,
        )
    }

    /// Returns a digest of the record; zero if the member is dead.
    ///
    /// Nodes remove dead members at different times, so dead members are left
    /// out of the digest.
    pub(crate) fn digest(&self) -> u64 {
        if self.health == Health::Dead {
            return 0;
        }
        let (incarnation_number, incarnation, version, health) = self.precedence();
        let topic = format!("{incarnation_number}/{incarnation}/{version}/{health:?}");
        name::rendezvous_score(&topic, self.peer.node.as_str())
    }

    /// Returns the estimated encoded length in bytes.
    ///
    /// Assumes a Protocol Buffers message: names and addresses as text, the
    /// incarnation as 16 bytes, and two bytes for each field's tag and length.
    pub fn estimated_bytes(&self) -> usize {
        const TAGS: usize = 2 * 8;
        const NUMBERS: usize = 16 + 6 + 2 + 1 + 1;
        let peer = &self.peer;
        let addresses = peer.peer_address.to_string().len() + peer.caller_address.to_string().len();
        TAGS + NUMBERS + addresses + peer.node.as_str().len() + peer.domain.as_str().len()
    }
}
