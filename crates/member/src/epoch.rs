//! When to propose another list of the nodes that own slots.

use crate::{Health, Table};
use clock::Moment;
use name::{Incarnation, Node};
use state::{Change, Epoch, Peer};
use std::time::Duration;

/// How fast epochs follow each other.
#[common::value]
pub struct Pace {
    /// How long the members must stay the same before a proposal.
    pub settle: Duration,
    /// The same, for a node that sees half of the epoch's nodes or fewer.
    pub settle_minority: Duration,
    /// How much longer each next node in rank waits.
    pub step: Duration,
    /// The time from one epoch to the next.
    pub gap: Duration,
    /// The longest wait for members that never stay the same.
    pub longest: Duration,
}

impl Default for Pace {
    /// Returns 3 s to settle, or a minute, 300 ms a rank, 15 s between epochs.
    fn default() -> Self {
        Self {
            settle: Duration::from_secs(3),
            settle_minority: Duration::from_secs(60),
            step: Duration::from_millis(300),
            gap: Duration::from_secs(15),
            longest: Duration::from_secs(30),
        }
    }
}

/// Decides when this node proposes an epoch.
///
/// All nodes wait for the members to settle, then for their rank among them,
/// so that mostly one proposes; the fold of the log takes the first.
#[derive(Debug)]
pub struct Proposer {
    pace: Pace,
    /// The lives of the members as seen last, and since when.
    seen: Vec<(Node, Incarnation)>,
    settled: Moment,
    /// Since when the members have differed from the epoch.
    differs: Option<Moment>,
    /// The epoch in force, and since when this node knows it.
    revision: name::Offset,
    known: Option<Moment>,
    /// When this node proposed on that epoch.
    proposed: Option<Moment>,
}

impl Proposer {
    /// Returns a node that has proposed nothing.
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            seen: Vec::new(),
            settled: Moment::START,
            differs: None,
            revision: name::Offset::ZERO,
            known: None,
            proposed: None,
        }
    }

    /// Returns the epoch to propose now, if any; to be asked for often.
    ///
    /// To be used with a fresh state only. A member in its next life differs
    /// from the epoch too, since slots belong to lives.
    pub fn poll(&mut self, table: &Table, epoch: &Epoch, now: Moment) -> Option<Change> {
        let members = wanted(table);
        let lives: Vec<_> = members
            .iter()
            .map(|peer| (peer.node.clone(), peer.incarnation))
            .collect();
        self.note(&lives, epoch, now);
        if is_same(&lives, epoch) {
            self.differs = None;
            return None;
        }
        let differs = *self.differs.get_or_insert(now);
        if now < self.due(table, &lives, epoch, differs) {
            return None;
        }
        self.proposed = Some(now);
        Some(Change::Epoch {
            base: epoch.revision,
            peers: members,
        })
    }

    /// Notes what has changed since the last time.
    fn note(&mut self, lives: &[(Node, Incarnation)], epoch: &Epoch, now: Moment) {
        if self.seen != lives {
            self.seen = lives.to_vec();
            self.settled = now;
        }
        if self.revision != epoch.revision {
            self.revision = epoch.revision;
            self.known = Some(now);
            self.proposed = None;
            self.differs = None;
        }
    }

    /// Returns when this node may propose.
    fn due(
        &self,
        table: &Table,
        lives: &[(Node, Incarnation)],
        epoch: &Epoch,
        differs: Moment,
    ) -> Moment {
        let topic = format!("epoch-{}", epoch.revision);
        let own = table.own().peer.node.as_str();
        let rank = name::rank(&topic, own, lives.iter().map(|(node, _)| node.as_str()));
        let settle = match sees_most(lives, epoch) {
            true => self.pace.settle,
            false => self.pace.settle_minority,
        };
        // Members that come and go all the time must not hold epochs up.
        let settled = (self.settled + settle).min(differs + self.pace.longest.max(settle));
        let gap = self.known.map_or(Moment::START, |at| at + self.pace.gap);
        let again = self.proposed.map_or(Moment::START, |at| at + self.pace.gap);
        let turn = self.pace.step * u32::try_from(rank).unwrap_or(u32::MAX);
        settled.max(gap)
            + turn.min(self.pace.longest).max(Duration::ZERO)
            + again.since(settled.max(gap))
    }
}

/// Returns the members that should own slots, by name.
///
/// A leaving member keeps its slots until it has stopped.
fn wanted(table: &Table) -> Vec<Peer> {
    table
        .words()
        .filter(|word| word.health != Health::Dead)
        .map(|word| word.peer.clone())
        .collect()
}

/// Returns whether the epoch lists just these lives.
fn is_same(lives: &[(Node, Incarnation)], epoch: &Epoch) -> bool {
    lives.len() == epoch.peers.len()
        && epoch
            .peers
            .iter()
            .zip(lives)
            .all(|(peer, (node, life))| peer.node == *node && peer.incarnation == *life)
}

/// Returns whether more than half of the epoch's nodes are members.
fn sees_most(lives: &[(Node, Incarnation)], epoch: &Epoch) -> bool {
    let is_member = |node: &Node| lives.binary_search_by(|(other, _)| other.cmp(node)).is_ok();
    let seen = epoch.peers.iter().filter(|p| is_member(&p.node)).count();
    epoch.peers.is_empty() || 2 * seen > epoch.peers.len()
}
