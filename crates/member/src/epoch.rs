//! Proposals of new epochs: lists of the nodes that own slots.

use crate::{Health, Table};
use clock::Moment;
use name::{Incarnation, Node};
use state::{Change, Epoch, Peer};
use std::time::Duration;

/// The delays between a change of the members and a new epoch.
#[common::value]
pub struct Timing {
    /// How long the members must stay unchanged before a proposal.
    pub settle: Duration,
    /// The same, for a node that sees half of the epoch's nodes or fewer.
    pub settle_minority: Duration,
    /// The additional delay of each following rank.
    #[serde(rename = "step")]
    pub rank_delay: Duration,
    /// The minimum time between two epochs.
    #[serde(rename = "gap")]
    pub min_interval: Duration,
    /// The maximum wait while the members keep changing.
    #[serde(rename = "longest")]
    pub max_wait: Duration,
}

impl Default for Timing {
    /// Returns 3 s to settle (60 s in a minority), 300 ms per rank, 15 s
    /// between epochs and a maximum wait of 30 s.
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
/// Each node waits until the members have settled, plus a delay by its rank, so
/// that usually only one node proposes. If several do, the fold of the log
/// accepts the first proposal.
#[derive(Debug)]
pub struct Proposer {
    timing: Timing,
    /// The members' incarnations at the last poll, and since when they are
    /// unchanged.
    incarnations: Vec<(Node, Incarnation)>,
    stable_since: Moment,
    /// Since when the members have differed from the epoch.
    differs_since: Option<Moment>,
    /// The current epoch's revision, and when this node first saw it.
    revision: name::Offset,
    revision_since: Option<Moment>,
    /// When this node proposed a successor of that epoch.
    proposed_at: Option<Moment>,
}

impl Proposer {
    /// Returns a proposer without proposals.
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

    /// Returns the epoch to propose now, if any; called periodically.
    ///
    /// Requires a fresh state. A restarted member also differs from the epoch,
    /// since slots belong to incarnations.
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

    /// Updates the timestamps after changes of the members or the epoch.
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

    /// Returns the earliest time at which this node may propose.
    fn due_at(
        &self,
        table: &Table,
        incarnations: &[(Node, Incarnation)],
        epoch: &Epoch,
        differs_since: Moment,
    ) -> Moment {
        let topic = format!("epoch-{}", epoch.revision);
        let own = table.own().peer.node.as_str();
        let rank = name::rendezvous_rank(
            &topic,
            own,
            incarnations.iter().map(|(node, _)| node.as_str()),
        );
        let settle = if has_majority(incarnations, epoch) {
            self.timing.settle
        } else {
            self.timing.settle_minority
        };
        // Limits the wait, so that frequent restarts cannot block epochs
        // forever.
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

/// Returns the members that should own slots, ordered by name.
///
/// A leaving member keeps its slots until it has stopped.
fn slot_owners(table: &Table) -> Vec<Peer> {
    table
        .members()
        .filter(|word| word.health != Health::Dead)
        .map(|word| word.peer.clone())
        .collect()
}

/// Returns whether the epoch lists exactly these incarnations.
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
