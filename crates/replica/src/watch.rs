//! Watchers and their suspicions.

use crate::Settings;
use clock::Moment;
use name::{Domain, Instance, Node};
use state::{Epoch, Peer};
use std::collections::{BTreeMap, BTreeSet};

/// The number of votes in the time for which one counts.
const RENEWALS: u32 = 3;

/// A watcher's judgement on one instance, as gossip carries it.
#[common::value]
pub struct Vote {
    /// The watcher.
    pub watcher: Node,
    /// The instance.
    pub instance: Instance,
    /// Whether the watcher suspects it; otherwise it withdraws its suspicion.
    pub suspected: bool,
}

/// Returns the `k` entry nodes that watch `instance`, which is in `domain`.
///
/// Where the epoch allows it, two of them are in different failure domains
/// apart from the instance's own, so that they can agree on an instance whose
/// whole failure domain is cut off. The rest follow by rendezvous score. The
/// cost is one hash for each entry node; callers keep the answer until the
/// epoch changes.
pub fn watchers(instance: &Instance, domain: &Domain, epoch: &Epoch, k: usize) -> Vec<Node> {
    let score = |peer: &Peer| name::score(instance.as_str(), peer.node.as_str());
    let mut ranked: Vec<(u64, &Peer)> = epoch.peers.iter().map(|p| (score(p), p)).collect();
    ranked.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.node.cmp(&y.node)));
    let mut chosen: Vec<&Peer> = Vec::with_capacity(k);
    let apart = |own: bool, chosen: &[&Peer]| {
        ranked
            .iter()
            .map(|(_, p)| *p)
            .filter(|p| own || p.domain != *domain)
            .find(|p| chosen.iter().all(|c| c.domain != p.domain))
    };
    for own in [false, false, true] {
        if chosen.len() < k.min(2)
            && let Some(peer) = apart(own, &chosen)
        {
            chosen.push(peer);
        }
    }
    for (_, peer) in &ranked {
        if chosen.len() < k && chosen.iter().all(|c| c.node != peer.node) {
            chosen.push(peer);
        }
    }
    chosen.into_iter().map(|p| p.node.clone()).collect()
}

/// What a watcher concludes.
#[common::plain]
pub enum Judgement {
    /// It lost sight of most of what it watches, and votes nothing.
    Blind,
    /// It votes on the instances whose standing changed or must be renewed.
    Votes(Vec<Vote>),
}

/// The instances that one entry node watches.
#[derive(Debug, Clone)]
pub struct Watch {
    own: Node,
    settings: Settings,
    judged: Moment,
    seen: BTreeMap<Instance, Moment>,
    /// The suspects, with the moments of the last votes on them.
    suspects: BTreeMap<Instance, Moment>,
}

impl Watch {
    /// Returns the watch of the node `own`, which watches nothing yet.
    pub fn new(own: Node, settings: Settings, now: Moment) -> Self {
        Self {
            own,
            settings,
            judged: now,
            seen: BTreeMap::new(),
            suspects: BTreeMap::new(),
        }
    }

    /// Replaces the set of watched instances; new ones start as seen at `now`.
    pub fn assign(&mut self, instances: impl IntoIterator<Item = Instance>, now: Moment) {
        let before = std::mem::take(&mut self.seen);
        self.seen = instances
            .into_iter()
            .map(|i| {
                let at = before.get(&i).copied().unwrap_or(now);
                (i, at)
            })
            .collect();
        let seen = &self.seen;
        self.suspects.retain(|i, _| seen.contains_key(i));
    }

    /// Returns the watched instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.seen.keys()
    }

    /// Notes that `instance` answered a poll that was sent at `sent`.
    pub fn answered(&mut self, instance: &Instance, sent: Moment) {
        if let Some(at) = self.seen.get_mut(instance) {
            *at = sent.max(*at);
        }
    }

    /// Judges the watched instances; called at each poll.
    ///
    /// After a pause of this node the silences count from the pause's end.
    pub fn judge(&mut self, now: Moment) -> Judgement {
        if now.since(self.judged) > self.settings.pause {
            self.seen.values_mut().for_each(|at| *at = now);
        }
        self.judged = now;
        let silent = |at: &Moment| now.since(*at) > self.settings.suspect_after;
        let lost: BTreeSet<_> = self
            .seen
            .iter()
            .filter(|(_, at)| silent(at))
            .map(|(i, _)| i.clone())
            .collect();
        if lost.len() * 2 > self.seen.len() {
            return Judgement::Blind;
        }
        let mut votes = Vec::new();
        self.suspects.retain(|i, _| {
            let stays = lost.contains(i);
            if !stays {
                votes.push((i.clone(), false));
            }
            stays
        });
        let renewal = self.settings.vote_life / RENEWALS;
        for instance in lost {
            let last = self.suspects.get(&instance);
            if last.is_none_or(|at| now.since(*at) >= renewal) {
                self.suspects.insert(instance.clone(), now);
                votes.push((instance, true));
            }
        }
        let watcher = &self.own;
        let vote = |(instance, suspected)| Vote {
            watcher: watcher.clone(),
            instance,
            suspected,
        };
        Judgement::Votes(votes.into_iter().map(vote).collect())
    }
}
