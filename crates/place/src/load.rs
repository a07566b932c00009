//! What is in progress at each target, here and at other nodes.

use clock::Moment;
use name::{Instance, Node};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// How long another node's share counts after it was last heard.
///
/// Nodes tell their shares several times in this time.
const SHARE_AGE: Duration = Duration::from_secs(3);

/// The weight of the newest observation in a running mean.
const NEWEST: f64 = 0.2;

/// The slowest and fastest a target is thought to be, against prediction.
const MIN_SLOWNESS: f64 = 0.7;
const MAX_SLOWNESS: f64 = 12.0;

/// The time after which half of an observation is forgotten.
const FORGETTING: Duration = Duration::from_secs(3);

/// The silence of a replica with requests in progress, beyond the time of reading
/// their prompts, after which it is thought to stand still. Passes of a full
/// replica take up to 0.3 s.
const SILENCE: Duration = Duration::from_millis(450);

/// How long the times of requests are remembered: the window in which those to
/// a cold target are counted, and the longest round of datagrams that is made up for.
const WINDOW: Duration = Duration::from_secs(1);

/// A part of the work in progress at a target.
#[common::plain]
#[derive(Default, Copy)]
pub struct Work {
    /// The requests in progress.
    pub requests: u32,
    /// The prompt tokens of those without a first token yet.
    pub unread: u32,
    /// Whether nothing has come from the target for longer than it ever pauses.
    pub is_silent: bool,
}

/// One node's work at one target, as nodes tell each other.
#[common::plain]
pub struct Share {
    /// The target.
    pub server: Instance,
    /// The work.
    pub work: Work,
    /// When something last came from the target, if lately.
    pub heard: Option<Moment>,
}

/// What one node has in progress and has observed at one target.
#[derive(Debug, Clone)]
struct Own {
    work: Work,
    slowness: f64,
    failures: f64,
    observed: Moment,
    /// When something last came.
    heard: Option<Moment>,
    /// Since when requests have been in progress.
    since: Moment,
    /// How long the prompts that are unread may keep the target from answering.
    reading: Duration,
    sent: VecDeque<Moment>,
    ended: VecDeque<Moment>,
}

impl Default for Own {
    fn default() -> Self {
        Self {
            work: Work::default(),
            slowness: 1.0,
            failures: 0.0,
            observed: Moment::START,
            heard: None,
            since: Moment::START,
            reading: Duration::ZERO,
            sent: VecDeque::new(),
            ended: VecDeque::new(),
        }
    }
}

/// Adds a moment, and forgets those before the window.
fn remember(times: &mut VecDeque<Moment>, now: Moment) {
    let is_old = |at: &Moment| now.since(*at) >= WINDOW;
    while times.front().is_some_and(is_old) {
        times.pop_front();
    }
    times.push_back(now);
}

/// Counts the moments within a span before now.
fn lately(times: &VecDeque<Moment>, span: Duration, now: Moment) -> usize {
    let newest = times.iter().rev();
    newest.take_while(|at| now.since(**at) < span).count()
}

/// Returns a moment at which something came, if that was lately.
fn if_lately(heard: Option<Moment>, now: Moment) -> Option<Moment> {
    heard.filter(|heard| now.since(*heard) <= SILENCE)
}

impl Own {
    /// Returns the work with what the target's silence says of it.
    fn work(&self, now: Moment) -> Work {
        let last = self.heard.map_or(self.since, |heard| heard.max(self.since));
        Work {
            is_silent: self.work.requests > 0 && now.since(last) > SILENCE + self.reading,
            ..self.work
        }
    }
}

/// What other nodes say of one target, added up.
#[derive(Debug, Clone, Default, PartialEq)]
struct Total {
    requests: u64,
    unread: u64,
    /// The nodes to which it is silent.
    silent: u64,
}

impl Share {
    /// Returns the share without the part of one node.
    #[must_use]
    pub fn without(mut self, part: Work) -> Self {
        self.work.requests = self.work.requests.saturating_sub(part.requests);
        self.work.unread = self.work.unread.saturating_sub(part.unread);
        self
    }
}

impl Total {
    /// Adds one node's work.
    fn add(&mut self, work: Work) {
        self.requests += u64::from(work.requests);
        self.unread += u64::from(work.unread);
        self.silent += u64::from(work.is_silent);
    }

    /// Takes back what was added.
    fn take_back(&mut self, work: Work) {
        self.requests -= u64::from(work.requests);
        self.unread -= u64::from(work.unread);
        self.silent -= u64::from(work.is_silent);
    }
}

/// The work in progress at all targets.
///
/// What other nodes say is added up when they say it: a choice looks at every
/// target, and would otherwise look at every node for each of them.
#[derive(Debug, Clone, Default)]
pub struct Load {
    own: HashMap<Instance, Own>,
    others: HashMap<Node, (Moment, Vec<Share>)>,
    /// The node that tells the sum of all others, if one does.
    summed_by: Option<Node>,
    totals: HashMap<Instance, Total>,
    /// When other nodes last heard something from a target.
    heard: HashMap<Instance, Moment>,
    /// The present targets, and since when each has been one.
    seen: HashMap<Instance, Moment>,
}

impl Load {
    /// Notes that a request with `prompt` tokens is sent to a target, whose first
    /// token is expected after the time `first`.
    pub fn start(&mut self, server: &Instance, prompt: u32, first: Duration, now: Moment) {
        let own = self.own.entry(server.clone()).or_default();
        if own.work.requests == 0 {
            own.since = now;
            own.reading = Duration::ZERO;
        }
        own.reading = own.reading.max(first);
        own.work.requests += 1;
        own.work.unread = own.work.unread.saturating_add(prompt);
        remember(&mut own.sent, now);
    }

    /// Notes that the first token of a request has come.
    pub fn read(&mut self, server: &Instance, prompt: u32) {
        if let Some(own) = self.own.get_mut(server) {
            own.work.unread = own.work.unread.saturating_sub(prompt);
        }
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, server: &Instance, now: Moment) {
        if let Some(own) = self.own.get_mut(server) {
            own.work.requests = own.work.requests.saturating_sub(1);
            remember(&mut own.ended, now);
        }
    }

    /// Notes that something came from a target.
    pub fn heard(&mut self, server: &Instance, now: Moment) {
        if let Some(own) = self.own.get_mut(server) {
            own.heard = Some(now);
            if own.work.unread == 0 {
                own.reading = Duration::ZERO;
            }
        }
    }

    /// Notes how long a target took for something, against the prediction.
    pub fn observe(&mut self, server: &Instance, took: Duration, predicted: Duration, now: Moment) {
        let own = self.own.entry(server.clone()).or_default();
        let ratio = took.as_secs_f64() / predicted.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        own.slowness += NEWEST * (ratio - own.slowness);
        own.failures *= 1.0 - NEWEST;
        own.observed = now;
    }

    /// Notes that a target failed a request.
    pub fn fail(&mut self, server: &Instance, now: Moment) {
        let own = self.own.entry(server.clone()).or_default();
        own.failures += NEWEST * (1.0 - own.failures);
        own.observed = now;
    }

    /// Takes over what another node says that it has in progress.
    ///
    /// A sum that was told before ends, since it held this node's share as well.
    pub fn share(&mut self, node: Node, shares: impl IntoIterator<Item = Share>, now: Moment) {
        if let Some(summed_by) = self.summed_by.take() {
            self.forget(&summed_by);
        }
        self.replace(node, shares, now);
    }

    /// Takes over what one node says that all nodes but this one have in progress,
    /// in the place of what each says.
    pub fn share_sum(&mut self, node: Node, shares: impl IntoIterator<Item = Share>, now: Moment) {
        if self.summed_by.as_ref() != Some(&node) {
            let others: Vec<Node> = self.others.keys().cloned().collect();
            others.iter().for_each(|other| self.forget(other));
            self.summed_by = Some(node.clone());
        }
        self.replace(node, shares, now);
    }

    /// Forgets what a node said.
    fn forget(&mut self, node: &Node) {
        if let Some((_, shares)) = self.others.remove(node) {
            self.take_back(&shares);
        }
    }

    /// Replaces what a node said.
    fn replace(&mut self, node: Node, shares: impl IntoIterator<Item = Share>, now: Moment) {
        let shares: Vec<Share> = shares.into_iter().collect();
        for share in &shares {
            self.totals
                .entry(share.server.clone())
                .or_default()
                .add(share.work);
            if let Some(heard) = share.heard {
                let last = self.heard.entry(share.server.clone()).or_insert(heard);
                *last = heard.max(*last);
            }
        }
        if let Some((_, before)) = self.others.insert(node, (now, shares)) {
            self.take_back(&before);
        }
        self.expire(now);
    }

    /// Forgets what nodes said that have not been heard for a while.
    pub fn expire(&mut self, now: Moment) {
        let is_old = |(heard, _): &(Moment, Vec<Share>)| now.since(*heard) > SHARE_AGE;
        let old: Vec<Vec<Share>> = self
            .others
            .extract_if(|_, said| is_old(said))
            .map(|(_, (_, shares))| shares)
            .collect();
        for shares in &old {
            self.take_back(shares);
        }
    }

    /// Takes what a node said out of the totals.
    fn take_back(&mut self, shares: &[Share]) {
        for share in shares {
            if let Some(total) = self.totals.get_mut(&share.server) {
                total.take_back(share.work);
                if *total == Total::default() {
                    self.totals.remove(&share.server);
                }
            }
        }
    }

    /// Returns this node's work, for other nodes.
    pub fn shares(&self, now: Moment) -> impl Iterator<Item = Share> {
        let shares = self.own.iter().map(move |(server, own)| Share {
            server: server.clone(),
            work: own.work(now),
            heard: if_lately(own.heard, now),
        });
        shares.filter(|share| share.work.requests > 0 || share.heard.is_some())
    }

    /// Returns the work of all nodes, this one included.
    pub fn sum(&self, now: Moment) -> Vec<Share> {
        let others = self.totals.keys().filter(|id| !self.own.contains_key(*id));
        let share = |server: &Instance| Share {
            server: server.clone(),
            work: self.work(server, now),
            heard: if_lately(self.last_heard(server), now),
        };
        let all = self.own.keys().chain(others).map(share);
        all.filter(|share| share.work != Work::default() || share.heard.is_some())
            .collect()
    }

    /// Returns whether this node has requests in progress anywhere.
    pub fn is_busy(&self) -> bool {
        self.own.values().any(|own| own.work.requests > 0)
    }

    /// Returns the work of all nodes at a target.
    ///
    /// A target is silent if it is to one node and no node has heard from it
    /// lately. With many nodes each has one or two requests at a target, which
    /// may wait there while it answers those of others.
    pub fn work(&self, server: &Instance, now: Moment) -> Work {
        let own = self.own.get(server);
        let mut work = own.map(|own| own.work(now)).unwrap_or_default();
        if let Some(total) = self.totals.get(server) {
            let sum =
                |own: u32, others: u64| u32::try_from(u64::from(own) + others).unwrap_or(u32::MAX);
            work.requests = sum(work.requests, total.requests);
            work.unread = sum(work.unread, total.unread);
            work.is_silent |= total.silent > 0;
        }
        if work.is_silent {
            work.is_silent = if_lately(self.last_heard(server), now).is_none();
        }
        work
    }

    /// Returns when any node last heard something from a target.
    fn last_heard(&self, server: &Instance) -> Option<Moment> {
        let own = self.own.get(server).and_then(|own| own.heard);
        own.max(self.heard.get(server).copied())
    }

    /// Returns how much worse than predicted a target is: 1 is as predicted.
    ///
    /// Observations fade, so that a target that was slow is tried again.
    pub fn penalty(&self, server: &Instance, now: Moment) -> f64 {
        /// A target that fails all requests counts as this much slower.
        const FAILURE_WEIGHT: f64 = 20.0;
        let Some(own) = self.own.get(server) else {
            return 1.0;
        };
        let age = now.since(own.observed).as_secs_f64() / FORGETTING.as_secs_f64();
        let fading = 0.5_f64.powf(age);
        1.0 + fading * (own.slowness - 1.0 + FAILURE_WEIGHT * own.failures)
    }

    /// Returns how many requests this node sent to a target in the last second.
    pub fn sent_lately(&self, server: &Instance, now: Moment) -> usize {
        let own = self.own.get(server);
        own.map_or(0, |own| lately(&own.sent, WINDOW, now))
    }

    /// Returns by how much this node's requests at a target grew within a span,
    /// of which it remembers one second at most.
    pub fn growth(&self, server: &Instance, span: Duration, now: Moment) -> usize {
        self.own.get(server).map_or(0, |own| {
            lately(&own.sent, span, now).saturating_sub(lately(&own.ended, span, now))
        })
    }

    /// Returns whether a target came within a span.
    pub fn is_new(&self, server: &Instance, span: Duration, now: Moment) -> bool {
        let seen = self.seen.get(server);
        seen.is_some_and(|seen| now.since(*seen) < span)
    }

    /// Notes the present targets, and forgets others that are idle.
    pub fn list<'a>(&mut self, targets: impl Iterator<Item = &'a Instance>, now: Moment) {
        let before = std::mem::take(&mut self.seen);
        self.seen = targets
            .map(|id| (id.clone(), before.get(id).copied().unwrap_or(now)))
            .collect();
        let seen = &self.seen;
        self.own
            .retain(|server, own| own.work.requests > 0 || seen.contains_key(server));
        self.heard.retain(|server, _| seen.contains_key(server));
    }
}
