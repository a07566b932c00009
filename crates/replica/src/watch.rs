//! The watchers of an instance, and the failure detector that each of them runs.

use crate::Settings;
use clock::Moment;
use name::{Domain, Instance, Node};
use state::{Epoch, Peer};
use std::collections::{BTreeMap, BTreeSet};

/// How many times a suspicion is sent within the lifetime of a vote.
const VOTES_PER_LIFETIME: u32 = 3;

/// A watcher's vote on one instance, as gossip carries it.
#[common::value]
pub struct Vote {
    /// The watcher.
    pub watcher: Node,
    /// The instance.
    pub instance: Instance,
    /// Whether the watcher suspects the instance; `false` withdraws an earlier suspicion.
    pub suspected: bool,
}

/// Returns the `k` entry nodes that watch `instance`, which is in `domain`.
///
/// If the epoch has such nodes, the first two are in two different failure
/// domains, neither of them `domain`, so that they can still agree when the whole
/// failure domain of the instance is cut off. The others follow by rendezvous
/// score. A call hashes the name of each entry node once; callers cache the
/// result until the epoch changes.
pub fn watchers(instance: &Instance, domain: &Domain, epoch: &Epoch, k: usize) -> Vec<Node> {
    let score = |peer: &Peer| name::rendezvous_score(instance.as_str(), peer.node.as_str());
    let mut ranked: Vec<(u64, &Peer)> = epoch.peers.iter().map(|p| (score(p), p)).collect();
    ranked.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.node.cmp(&y.node)));
    let mut chosen: Vec<&Peer> = Vec::with_capacity(k);
    let in_other_domain = |allows_own_domain: bool, chosen: &[&Peer]| {
        ranked
            .iter()
            .map(|(_, p)| *p)
            .filter(|p| allows_own_domain || p.domain != *domain)
            .find(|p| chosen.iter().all(|c| c.domain != p.domain))
    };
    for allows_own_domain in [false, false, true] {
        if chosen.len() < k.min(2)
            && let Some(peer) = in_other_domain(allows_own_domain, &chosen)
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

/// The result of one evaluation of the watched instances.
#[common::plain]
pub enum Evaluation {
    /// Most watched instances are silent, so that this node casts no votes.
    ///
    /// It is more likely that this node is cut off than that they all failed.
    Isolated,
    /// The votes on instances whose suspicion begins, ends or must be renewed.
    Votes(Vec<Vote>),
}

/// Detects failures of the instances that one entry node watches, by their silence.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    own: Node,
    settings: Settings,
    last_evaluation: Moment,
    /// The send time of the latest poll that each watched instance answered.
    last_answers: BTreeMap<Instance, Moment>,
    /// The suspected instances, with the moment of the last vote on each.
    last_votes: BTreeMap<Instance, Moment>,
}

impl FailureDetector {
    /// Returns a detector for the node `own` that watches no instance yet.
    pub fn new(own: Node, settings: Settings, now: Moment) -> Self {
        Self {
            own,
            settings,
            last_evaluation: now,
            last_answers: BTreeMap::new(),
            last_votes: BTreeMap::new(),
        }
    }

    /// Replaces the set of watched instances.
    ///
    /// New instances count as having answered at `now`.
    pub fn set_instances(&mut self, instances: impl IntoIterator<Item = Instance>, now: Moment) {
        let before = std::mem::take(&mut self.last_answers);
        self.last_answers = instances
            .into_iter()
            .map(|i| {
                let at = before.get(&i).copied().unwrap_or(now);
                (i, at)
            })
            .collect();
        let last_answers = &self.last_answers;
        self.last_votes.retain(|i, _| last_answers.contains_key(i));
    }

    /// Returns the watched instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.last_answers.keys()
    }

    /// Records that `instance` answered a poll that was sent at `sent`.
    pub fn record_answer(&mut self, instance: &Instance, sent: Moment) {
        if let Some(at) = self.last_answers.get_mut(instance) {
            *at = sent.max(*at);
        }
    }

    /// Returns the votes that are due; called at each poll.
    ///
    /// If this node itself was paused, silence counts from the end of the pause.
    pub fn evaluate(&mut self, now: Moment) -> Evaluation {
        if now.since(self.last_evaluation) > self.settings.pause_threshold {
            self.last_answers.values_mut().for_each(|at| *at = now);
        }
        self.last_evaluation = now;
        let is_silent = |at: &Moment| now.since(*at) > self.settings.suspect_after;
        let silent: BTreeSet<_> = self
            .last_answers
            .iter()
            .filter(|(_, at)| is_silent(at))
            .map(|(i, _)| i.clone())
            .collect();
        if silent.len() * 2 > self.last_answers.len() {
            return Evaluation::Isolated;
        }
        let mut votes = Vec::new();
        self.last_votes.retain(|i, _| {
            let is_suspected = silent.contains(i);
            if !is_suspected {
                votes.push((i.clone(), false));
            }
            is_suspected
        });
        let renewal = self.settings.vote_lifetime / VOTES_PER_LIFETIME;
        for instance in silent {
            let last = self.last_votes.get(&instance);
            if last.is_none_or(|at| now.since(*at) >= renewal) {
                self.last_votes.insert(instance.clone(), now);
                votes.push((instance, true));
            }
        }
        let watcher = &self.own;
        let vote = |(instance, suspected)| Vote {
            watcher: watcher.clone(),
            instance,
            suspected,
        };
        Evaluation::Votes(votes.into_iter().map(vote).collect())
    }
}
