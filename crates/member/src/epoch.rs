//! When to propose another list of the nodes that own slots.

use crate::{Health, Table};
use clock::Moment;
use name::{Incarnation, Node};
use state::{Change, Epoch, Peer};
use std::time::Duration;

/// How fast epochs follow each other.
#[common::value]
pub struct Timing {
    /// How long the members must stay the same before a proposal.
    pub settle: Duration,
    /// The same, for a node that sees half of the epoch's nodes or fewer.
    pub settle_minority: Duration,
    /// How much longer each next node in rank waits.
    #[serde(rename = "step")]
    pub rank_delay: Duration,
    /// The time from one epoch to the next.
    #[serde(rename = "gap")]
    pub min_interval: Duration,
    /// The longest wait for members that never stay the same.
    #[serde(rename = "longest")]
    pub max_wait: Duration,
}

impl Default for Timing {
    /// Returns 3 s to settle, or a minute, 300 ms a rank, 15 s between epochs.
    fn default() -> Self {
        Self {
            settle: Duration::from_secs(3),
            settle_minority: Duration::from_secs(60),
            rank_delay: Duration::from_millis(300),
            min_interval: Duration::from_secs(15),
            max_wait: Duration::from_secs(30),
        }
    }
}

/// Decides when this node proposes an epoch.
///
/// All nodes wait for the members to settle, then for their rank among them,
/// so that mostly one proposes; the fold of the log takes the first.
#[derive(Debug)]
pub struct Proposer {
    timing: Timing,
    /// The lives of the members as seen last, and since when.
    incarnations: Vec<(Node, Incarnation)>,
    stable_since: Moment,
    /// Since when the members have differed from the epoch.
    differs_since: Option<Moment>,
    /// The epoch in force, and since when this node knows it.
    revision: name::Offset,
    revision_since: Option<Moment>,
    /// When this node proposed on that epoch.
    proposed_at: Option<Moment>,
}

impl Proposer {
    /// Returns a node that has proposed nothing.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            incarnations: Vec::new(),
            stable_since: Moment::START,
            differs_since: None,
            revision: name::Offset::ZERO,
            revision_since: None,
            proposed_at: None,
        }
    }

    /// Returns the epoch to propose now, if any; to be asked for often.
    ///
    /// To be used with a fresh state only. A member in its next life differs
    /// from the epoch too, since slots belong to lives.
    pub fn poll(&mut self, table: &Table, epoch: &Epoch, now: Moment) -> Option<Change> {
        if table.own().health == Health::Dead {
            return None;
        }
        let members = slot_owners(table);
        let incarnations: Vec<_> = members
            .iter()
            .map(|peer| (peer.node.clone(), peer.incarnation))
            .collect();
        self.update(&incarnations, epoch, now);
        if matches_epoch(&incarnations, epoch) {
            self.differs_since = None;
            return None;
        }
        let differs_since = *self.differs_since.get_or_insert(now);
        if now < self.due_at(table, &incarnations, epoch, differs_since) {
            return None;
        }
        self.proposed_at = Some(now);
        Some(Change::Epoch {
            base: epoch.revision,
            peers: members,
        })
    }

    /// Notes what has changed since the last time.
    fn update(&mut self, incarnations: &[(Node, Incarnation)], epoch: &Epoch, now: Moment) {
        if self.incarnations != incarnations {
            self.incarnations = incarnations.to_vec();
            self.stable_since = now;
        }
        if self.revision != epoch.revision {
            self.revision = epoch.revision;
            self.revision_since = Some(now);
            self.proposed_at = None;
            self.differs_since = None;
        }
    }

    /// Returns when this node may propose.
    fn due_at(
        &self,
        table: &Table,
        incarnations: &[(Node, Incarnation)],
        epoch: &Epoch,
        differs_since: Moment,
    ) -> Moment {
        let topic = format!("epoch-{}", epoch.revision);
        let own = table.own().peer.node.as_str();
        let rank = name::rank(
            &topic,
            own,
            incarnations.iter().map(|(node, _)| node.as_str()),
        );
        let settle = if has_majority(incarnations, epoch) {
            self.timing.settle
        } else {
            self.timing.settle_minority
        };
        // Members that come and go all the time must not hold epochs up.
        let settled_at =
            (self.stable_since + settle).min(differs_since + self.timing.max_wait.max(settle));
        let earliest_at = self
            .revision_since
            .map_or(Moment::START, |at| at + self.timing.min_interval);
        let retry_at = self
            .proposed_at
            .map_or(Moment::START, |at| at + self.timing.min_interval);
        let rank_delay = self.timing.rank_delay * u32::try_from(rank).unwrap_or(u32::MAX);
        settled_at.max(earliest_at).max(retry_at) + rank_delay.min(self.timing.max_wait)
    }
}

/// Returns the members that should own slots, by name.
///
/// A leaving member keeps its slots until it has stopped.
fn slot_owners(table: &Table) -> Vec<Peer> {
    table
        .members()
        .filter(|word| word.health != Health::Dead)
        .map(|word| word.peer.clone())
        .collect()
}

/// Returns whether the epoch lists just these lives.
fn matches_epoch(incarnations: &[(Node, Incarnation)], epoch: &Epoch) -> bool {
    incarnations.len() == epoch.peers.len()
        && epoch
            .peers
            .iter()
            .zip(incarnations)
            .all(|(peer, (node, incarnation))| {
                peer.node == *node && peer.incarnation == *incarnation
            })
}

/// Returns whether more than half of the epoch's nodes are members.
fn has_majority(incarnations: &[(Node, Incarnation)], epoch: &Epoch) -> bool {
    let is_member = |node: &Node| {
        incarnations
            .binary_search_by(|(other, _)| other.cmp(node))
            .is_ok()
    };
    let present = epoch.peers.iter().filter(|p| is_member(&p.node)).count();
    epoch.peers.is_empty() || 2 * present > epoch.peers.len()
}
