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
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// The weight of the newest observation in a running mean.
const EWMA_WEIGHT: f64 = 0.2;

/// The slowest and fastest a target is thought to be, against prediction.
const MIN_SLOWNESS: f64 = 0.7;
const MAX_SLOWNESS: f64 = 12.0;

/// The time after which half of an observation is forgotten.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(3);

/// The silence of a replica with requests in progress, beyond the time of reading
/// their prompts, after which it is thought to stand still. Passes of a full
/// replica take up to 0.3 s.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// How long the times of requests are remembered: the window in which those to
/// a cold target are counted, and the longest round of datagrams that is made up for.
const HISTORY_WINDOW: Duration = Duration::from_secs(1);

/// A part of the work in progress at a target.
#[common::plain]
#[derive(Default, Copy)]
pub struct Work {
    /// The requests in progress.
    pub requests: u32,
    /// The prompt tokens of those without a first token yet.
    pub prefill_tokens: u32,
    /// Whether nothing has come from the target for longer than it ever pauses.
    pub is_stalled: bool,
}

/// One node's work at one target, as nodes tell each other.
#[common::plain]
pub struct TargetLoad {
    /// The target.
    pub server: Instance,
    /// The work.
    pub work: Work,
    /// When something last came from the target, if lately.
    pub last_received: Option<Moment>,
}

/// What one node has in progress and has observed at one target.
#[derive(Debug, Clone)]
struct LocalLoad {
    work: Work,
    slowness: f64,
    failure_rate: f64,
    observed_at: Moment,
    /// When something last came.
    last_received: Option<Moment>,
    /// Since when requests have been in progress.
    busy_since: Moment,
    /// How long the prompts that are unread may keep the target from answering.
    prefill_allowance: Duration,
    sent_at: VecDeque<Moment>,
    ended_at: VecDeque<Moment>,
}

impl Default for LocalLoad {
    fn default() -> Self {
        Self {
            work: Work::default(),
            slowness: 1.0,
            failure_rate: 0.0,
            observed_at: Moment::START,
            last_received: None,
            busy_since: Moment::START,
            prefill_allowance: Duration::ZERO,
            sent_at: VecDeque::new(),
            ended_at: VecDeque::new(),
        }
    }
}

/// Adds a moment, and forgets those before the window.
fn push_recent(times: &mut VecDeque<Moment>, now: Moment) {
    let is_old = |at: &Moment| now.since(*at) >= HISTORY_WINDOW;
    while times.front().is_some_and(is_old) {
        times.pop_front();
    }
    times.push_back(now);
}

/// Counts the moments within a span before now.
fn count_within(times: &VecDeque<Moment>, span: Duration, now: Moment) -> usize {
    let newest = times.iter().rev();
    newest.take_while(|at| now.since(**at) < span).count()
}

/// Returns a moment at which something came, if that was lately.
fn if_recent(received_at: Option<Moment>, now: Moment) -> Option<Moment> {
    received_at.filter(|received_at| now.since(*received_at) <= STALL_TIMEOUT)
}

impl LocalLoad {
    /// Returns the work with what the target's silence says of it.
    fn work(&self, now: Moment) -> Work {
        let last = self.last_received.map_or(self.busy_since, |received_at| {
            received_at.max(self.busy_since)
        });
        Work {
            is_stalled: self.work.requests > 0
                && now.since(last) > STALL_TIMEOUT + self.prefill_allowance,
            ..self.work
        }
    }
}

/// What other nodes say of one target, added up.
#[derive(Debug, Clone, Default, PartialEq)]
struct RemoteTotal {
    requests: u64,
    prefill_tokens: u64,
    /// The nodes to which it is silent.
    stalled_nodes: u64,
}

impl TargetLoad {
    /// Returns the share without the part of one node.
    #[must_use]
    pub fn without(mut self, part: Work) -> Self {
        self.work.requests = self.work.requests.saturating_sub(part.requests);
        self.work.prefill_tokens = self.work.prefill_tokens.saturating_sub(part.prefill_tokens);
        self
    }
}

impl RemoteTotal {
    /// Adds one node's work.
    fn add(&mut self, work: Work) {
        self.requests += u64::from(work.requests);
        self.prefill_tokens += u64::from(work.prefill_tokens);
        self.stalled_nodes += u64::from(work.is_stalled);
    }

    /// Takes back what was added.
    fn subtract(&mut self, work: Work) {
        self.requests -= u64::from(work.requests);
        self.prefill_tokens -= u64::from(work.prefill_tokens);
        self.stalled_nodes -= u64::from(work.is_stalled);
    }
}

/// The work in progress at all targets.
///
/// What other nodes say is added up when they say it: a choice looks at every
/// target, and would otherwise look at every node for each of them.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    local: HashMap<Instance, LocalLoad>,
    remote: HashMap<Node, (Moment, Vec<TargetLoad>)>,
    /// The node that tells the sum of all others, if one does.
    aggregated_by: Option<Node>,
    remote_totals: HashMap<Instance, RemoteTotal>,
    /// When other nodes last heard something from a target.
    remote_last_received: HashMap<Instance, Moment>,
    /// The present targets, and since when each has been one.
    target_since: HashMap<Instance, Moment>,
}

impl LoadTracker {
    /// Notes that a request with `prompt` tokens is sent to a target, whose first
    /// token is expected after the time `first`.
    pub fn record_start(&mut self, server: &Instance, prompt: u32, first: Duration, now: Moment) {
        let local = self.local.entry(server.clone()).or_default();
        if local.work.requests == 0 {
            local.busy_since = now;
            local.prefill_allowance = Duration::ZERO;
        }
        local.prefill_allowance = local.prefill_allowance.max(first);
        local.work.requests += 1;
        local.work.prefill_tokens = local.work.prefill_tokens.saturating_add(prompt);
        push_recent(&mut local.sent_at, now);
    }

    /// Notes that the first token of a request has come.
    pub fn record_first_token(&mut self, server: &Instance, prompt: u32) {
        if let Some(local) = self.local.get_mut(server) {
            local.work.prefill_tokens = local.work.prefill_tokens.saturating_sub(prompt);
        }
    }

    /// Notes that a request has ended.
    pub fn record_end(&mut self, server: &Instance, now: Moment) {
        if let Some(local) = self.local.get_mut(server) {
            local.work.requests = local.work.requests.saturating_sub(1);
            push_recent(&mut local.ended_at, now);
        }
    }

    /// Notes that something came from a target.
    pub fn record_received(&mut self, server: &Instance, now: Moment) {
        if let Some(local) = self.local.get_mut(server) {
            local.last_received = Some(now);
            if local.work.prefill_tokens == 0 {
                local.prefill_allowance = Duration::ZERO;
            }
        }
    }

    /// Notes how long a target took for something, against the prediction.
    pub fn record_latency(
        &mut self,
        server: &Instance,
        took: Duration,
        predicted: Duration,
        now: Moment,
    ) {
        let local = self.local.entry(server.clone()).or_default();
        let ratio = took.as_secs_f64() / predicted.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        local.slowness += EWMA_WEIGHT * (ratio - local.slowness);
        local.failure_rate *= 1.0 - EWMA_WEIGHT;
        local.observed_at = now;
    }

    /// Notes that a target failed a request.
    pub fn record_failure(&mut self, server: &Instance, now: Moment) {
        let local = self.local.entry(server.clone()).or_default();
        local.failure_rate += EWMA_WEIGHT * (1.0 - local.failure_rate);
        local.observed_at = now;
    }

    /// Takes over what another node says that it has in progress.
    ///
    /// A sum that was told before ends, since it held this node's share as well.
    pub fn set_node_load(
        &mut self,
        node: Node,
        loads: impl IntoIterator<Item = TargetLoad>,
        now: Moment,
    ) {
        if let Some(aggregated_by) = self.aggregated_by.take() {
            self.remove_node(&aggregated_by);
        }
        self.replace_node(node, loads, now);
    }

    /// Takes over what one node says that all nodes but this one have in progress,
    /// in the place of what each says.
    pub fn set_aggregate_load(
        &mut self,
        node: Node,
        loads: impl IntoIterator<Item = TargetLoad>,
        now: Moment,
    ) {
        if self.aggregated_by.as_ref() != Some(&node) {
            let others: Vec<Node> = self.remote.keys().cloned().collect();
            others.iter().for_each(|other| self.remove_node(other));
            self.aggregated_by = Some(node.clone());
        }
        self.replace_node(node, loads, now);
    }

    /// Forgets what a node said.
    fn remove_node(&mut self, node: &Node) {
        if let Some((_, loads)) = self.remote.remove(node) {
            self.subtract(&loads);
        }
    }

    /// Replaces what a node said.
    fn replace_node(
        &mut self,
        node: Node,
        loads: impl IntoIterator<Item = TargetLoad>,
        now: Moment,
    ) {
        let loads: Vec<TargetLoad> = loads.into_iter().collect();
        for load in &loads {
            self.remote_totals
                .entry(load.server.clone())
                .or_default()
                .add(load.work);
            if let Some(received_at) = load.last_received {
                let last = self
                    .remote_last_received
                    .entry(load.server.clone())
                    .or_insert(received_at);
                *last = received_at.max(*last);
            }
        }
        if let Some((_, previous)) = self.remote.insert(node, (now, loads)) {
            self.subtract(&previous);
        }
        self.expire(now);
    }

    /// Forgets what nodes said that have not been heard for a while.
    pub fn expire(&mut self, now: Moment) {
        let is_old =
            |(received_at, _): &(Moment, Vec<TargetLoad>)| now.since(*received_at) > MAX_REPORT_AGE;
        let old: Vec<Vec<TargetLoad>> = self
            .remote
            .extract_if(|_, report| is_old(report))
            .map(|(_, (_, loads))| loads)
            .collect();
        for loads in &old {
            self.subtract(loads);
        }
    }

    /// Takes what a node said out of the totals.
    fn subtract(&mut self, loads: &[TargetLoad]) {
        for load in loads {
            if let Some(total) = self.remote_totals.get_mut(&load.server) {
                total.subtract(load.work);
                if *total == RemoteTotal::default() {
                    self.remote_totals.remove(&load.server);
                }
            }
        }
    }

    /// Returns this node's work, for other nodes.
    pub fn local_load(&self, now: Moment) -> impl Iterator<Item = TargetLoad> {
        let loads = self.local.iter().map(move |(server, local)| TargetLoad {
            server: server.clone(),
            work: local.work(now),
            last_received: if_recent(local.last_received, now),
        });
        loads.filter(|load| load.work.requests > 0 || load.last_received.is_some())
    }

    /// Returns the work of all nodes, this one included.
    pub fn aggregate_load(&self, now: Moment) -> Vec<TargetLoad> {
        let others = self
            .remote_totals
            .keys()
            .filter(|id| !self.local.contains_key(*id));
        let load = |server: &Instance| TargetLoad {
            server: server.clone(),
            work: self.work(server, now),
            last_received: if_recent(self.last_received(server), now),
        };
        let all = self.local.keys().chain(others).map(load);
        all.filter(|load| load.work != Work::default() || load.last_received.is_some())
            .collect()
    }

    /// Returns whether this node has requests in progress anywhere.
    pub fn has_local_requests(&self) -> bool {
        self.local.values().any(|local| local.work.requests > 0)
    }

    /// Returns the work of all nodes at a target.
    ///
    /// A target is silent if it is to one node and no node has heard from it
    /// lately. With many nodes each has one or two requests at a target, which
    /// may wait there while it answers those of others.
    pub fn work(&self, server: &Instance, now: Moment) -> Work {
        let local = self.local.get(server);
        let mut work = local.map(|local| local.work(now)).unwrap_or_default();
        if let Some(total) = self.remote_totals.get(server) {
            let add = |local: u32, others: u64| {
                u32::try_from(u64::from(local) + others).unwrap_or(u32::MAX)
            };
            work.requests = add(work.requests, total.requests);
            work.prefill_tokens = add(work.prefill_tokens, total.prefill_tokens);
            work.is_stalled |= total.stalled_nodes > 0;
        }
        if work.is_stalled {
            work.is_stalled = if_recent(self.last_received(server), now).is_none();
        }
        work
    }

    /// Returns when any node last heard something from a target.
    fn last_received(&self, server: &Instance) -> Option<Moment> {
        let local = self.local.get(server).and_then(|local| local.last_received);
        local.max(self.remote_last_received.get(server).copied())
    }

    /// Returns how much worse than predicted a target is: 1 is as predicted.
    ///
    /// Observations fade, so that a target that was slow is tried again.
    pub fn penalty(&self, server: &Instance, now: Moment) -> f64 {
        /// A target that fails all requests counts as this much slower.
        const FAILURE_WEIGHT: f64 = 20.0;
        let Some(local) = self.local.get(server) else {
            return 1.0;
        };
        let age = now.since(local.observed_at).as_secs_f64() / PENALTY_HALF_LIFE.as_secs_f64();
        let decay = 0.5_f64.powf(age);
        1.0 + decay * (local.slowness - 1.0 + FAILURE_WEIGHT * local.failure_rate)
    }

    /// Returns how many requests this node sent to a target in the last second.
    pub fn sent_last_second(&self, server: &Instance, now: Moment) -> usize {
        let local = self.local.get(server);
        local.map_or(0, |local| count_within(&local.sent_at, HISTORY_WINDOW, now))
    }

    /// Returns by how much this node's requests at a target grew within a span,
    /// of which it remembers one second at most.
    pub fn local_growth(&self, server: &Instance, span: Duration, now: Moment) -> usize {
        self.local.get(server).map_or(0, |local| {
            count_within(&local.sent_at, span, now).saturating_sub(count_within(
                &local.ended_at,
                span,
                now,
            ))
        })
    }

    /// Returns whether a target came within a span.
    pub fn is_new(&self, server: &Instance, span: Duration, now: Moment) -> bool {
        let since = self.target_since.get(server);
        since.is_some_and(|since| now.since(*since) < span)
    }

    /// Notes the present targets, and forgets others that are idle.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Instance>, now: Moment) {
        let previous = std::mem::take(&mut self.target_since);
        self.target_since = targets
            .map(|id| (id.clone(), previous.get(id).copied().unwrap_or(now)))
            .collect();
        let targets = &self.target_since;
        self.local
            .retain(|server, local| local.work.requests > 0 || targets.contains_key(server));
        self.remote_last_received
            .retain(|server, _| targets.contains_key(server));
    }
}
