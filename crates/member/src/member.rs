//! What is said about a member.

use state::Peer;

/// What a node wants to be used for; it says so itself.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes new work.
    Open,
    /// Takes no new work, because its state may be old.
    Isolated,
    /// Is about to stop; finishes what it has.
    Leaving,
}

/// Whether a member lives; said by any node, and refuted by the member.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// No watcher misses it.
    Alive,
    /// A watcher has not heard from it.
    Suspect,
    /// It did not refute the suspicion in time, or it said goodbye.
    Dead,
}

/// What is said about a member.
#[common::value]
pub struct Member {
    /// The member.
    pub peer: Peer,
    /// Orders the lives of one node: its start in wall milliseconds, or later.
    #[serde(rename = "life")]
    pub incarnation_number: u64,
    /// Orders the words of one life; only the member raises it.
    pub version: u64,
    /// What the member wants to be used for.
    pub role: Role,
    /// Whether the member lives.
    pub health: Health,
}

impl Member {
    /// Returns whether this word replaces `other` about the same node.
    ///
    /// The later life wins, then the member's later version, then the worse
    /// health: a member refutes a suspicion by raising its version.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns whether both words are about the same life of the same node.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.peer.node == other.peer.node && self.peer.incarnation == other.peer.incarnation
    }

    /// Returns whether both say the same of the health of the same version.
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

    /// Returns a digest of the word; zero if the member is dead.
    ///
    /// The dead are forgotten at different times, so they do not count.
    pub(crate) fn digest(&self) -> u64 {
        if self.health == Health::Dead {
            return 0;
        }
        let (incarnation_number, incarnation, version, health) = self.precedence();
        let topic = format!("{incarnation_number}/{incarnation}/{version}/{health:?}");
        name::score(&topic, self.peer.node.as_str())
    }

    /// Returns the estimated length on the wire, in bytes.
    ///
    /// Counts a Protocol Buffers message: names as text, the incarnation as 16
    /// bytes, addresses as text, two bytes for each field's tag and length.
    pub fn estimated_bytes(&self) -> usize {
        const TAGS: usize = 2 * 8;
        const NUMBERS: usize = 16 + 6 + 2 + 1 + 1;
        let peer = &self.peer;
        let addresses = peer.peer_address.to_string().len() + peer.caller_address.to_string().len();
        TAGS + NUMBERS + addresses + peer.node.as_str().len() + peer.domain.as_str().len()
    }
}
