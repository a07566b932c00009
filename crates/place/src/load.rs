//! The requests in progress at each target, from this node and from other nodes.

use crate::NAMED_SPAN;
use clock::Moment;
use name::{Instance, Node};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// The time after which another node's load report is discarded.
///
/// Nodes send several load reports in this time.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// The weight of the newest observation in an exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.2;

/// The limits of the ratio of a target's measured to its predicted latency.
const MIN_SLOWNESS: f64 = 0.7;
const MAX_SLOWNESS: f64 = 12.0;

/// The half-life of a target's penalty after its last observation.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(3);

/// The time without any output of a replica with requests in progress, beyond the
/// prefill time of their prompts, after which it counts as stalled. Passes of a full
/// replica take up to 0.3 s.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// How long a replica that left a request without output is avoided, unless any node
/// receives output from it.
///
/// It covers the time until the planner has found the lost member.
const SILENCE_MEMORY: Duration = Duration::from_secs(2);

/// How long the start and end times of requests are kept.
///
/// It covers the spans of limits and the longest report interval.
const HISTORY_WINDOW: Duration = NAMED_SPAN;

/// The requests in progress at a target.
#[common::plain]
#[derive(Default, Copy)]
pub struct Work {
    /// The number of requests in progress.
    pub requests: u32,
    /// The prompt tokens of the requests that have no first token yet.
    pub prefill_tokens: u32,
    /// Whether the target has sent no output for longer than its longest pause.
    pub is_stalled: bool,
}

/// The load of one target, as nodes report it to each other.
#[common::plain]
pub struct TargetLoad {
    /// The target.
    pub server: Instance,
    /// The requests in progress.
    pub work: Work,
    /// When the target last sent any output; `None` if that is not recent.
    pub last_received: Option<Moment>,
}

/// This node's requests and observations at one target.
#[derive(Debug, Clone)]
struct LocalLoad {
    work: Work,
    slowness: f64,
    failure_rate: f64,
    observed_at: Moment,
    /// When the target last sent any output.
    last_received: Option<Moment>,
    /// When a request was last withdrawn since the target sent no output.
    silent_at: Option<Moment>,
    /// The time since which requests have been in progress without interruption.
    busy_since: Moment,
    /// The longest predicted prefill time, during which the target may send no
    /// output.
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
            silent_at: None,
            busy_since: Moment::START,
            prefill_allowance: Duration::ZERO,
            sent_at: VecDeque::new(),
            ended_at: VecDeque::new(),
        }
    }
}

/// Adds a time, and removes those before the history window.
fn push_recent(times: &mut VecDeque<Moment>, now: Moment) {
    let is_old = |at: &Moment| now.since(*at) >= HISTORY_WINDOW;
    while times.front().is_some_and(is_old) {
        times.pop_front();
    }
    times.push_back(now);
}

/// Counts the times within a span before now.
fn count_within(times: &VecDeque<Moment>, span: Duration, now: Moment) -> usize {
    let newest = times.iter().rev();
    newest.take_while(|at| now.since(**at) < span).count()
}

/// Returns the time of the last output, if it is within the stall timeout.
fn if_recent(received_at: Option<Moment>, now: Moment) -> Option<Moment> {
    received_at.filter(|received_at| now.since(*received_at) <= STALL_TIMEOUT)
}

impl LocalLoad {
    /// Returns the requests in progress, with the stall detection applied.
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

/// The sum of the loads that other nodes report for one target.
#[derive(Debug, Clone, Default, PartialEq)]
struct RemoteTotal {
    requests: u64,
    prefill_tokens: u64,
    /// The number of nodes that report the target as stalled.
    stalled_nodes: u64,
}

impl TargetLoad {
    /// Returns the load without the requests of one node.
    #[must_use]
    pub fn without(mut self, part: Work) -> Self {
        self.work.requests = self.work.requests.saturating_sub(part.requests);
        self.work.prefill_tokens = self.work.prefill_tokens.saturating_sub(part.prefill_tokens);
        self
    }
}

impl RemoteTotal {
    /// Adds one node's requests.
    fn add(&mut self, work: Work) {
        self.requests += u64::from(work.requests);
        self.prefill_tokens += u64::from(work.prefill_tokens);
        self.stalled_nodes += u64::from(work.is_stalled);
    }

    /// Subtracts one node's requests.
    fn subtract(&mut self, work: Work) {
        self.requests -= u64::from(work.requests);
        self.prefill_tokens -= u64::from(work.prefill_tokens);
        self.stalled_nodes -= u64::from(work.is_stalled);
    }
}

/// The requests in progress at all targets.
///
/// Reports of other nodes are summed on arrival: a choice inspects every target, and
/// would otherwise have to inspect every node for each target.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    local: HashMap<Instance, LocalLoad>,
    remote: HashMap<Node, (Moment, Vec<TargetLoad>)>,
    /// The node whose report sums all other nodes' loads, if one sends such a report.
    aggregated_by: Option<Node>,
    remote_totals: HashMap<Instance, RemoteTotal>,
    /// When other nodes last received output from a target.
    remote_last_received: HashMap<Instance, Moment>,
    /// The present targets, and when each was added.
    target_since: HashMap<Instance, Moment>,
    /// Until when each target wants no request from this node.
    declined_until: HashMap<Instance, Moment>,
}

impl LoadTracker {
    /// Records that a target wants no request from this node until a time.
    ///
    /// Of several answers of the target, the one that ends last holds.
    pub fn record_decline(&mut self, server: &Instance, until: Moment, now: Moment) {
        self.declined_until.retain(|_, until| *until > now);
        let latest = self.declined_until.entry(server.clone()).or_insert(until);
        *latest = until.max(*latest);
    }

    /// Returns until when a target wants no request from this node; `None` if it
    /// accepts requests.
    pub fn declined_until(&self, server: &Instance, now: Moment) -> Option<Moment> {
        self.declined_until
            .get(server)
            .copied()
            .filter(|until| *until > now)
    }

    /// Records that a request with `prompt` tokens was sent to a target, whose first
    /// token is expected after `time_to_first_token`.
    pub fn record_start(
        &mut self,
        server: &Instance,
        prompt: u32,
        time_to_first_token: Duration,
        now: Moment,
    ) {
        let local = self.local.entry(server.clone()).or_default();
        if local.work.requests == 0 {
            local.busy_since = now;
            local.prefill_allowance = Duration::ZERO;
        }
        local.prefill_allowance = local.prefill_allowance.max(time_to_first_token);
        local.work.requests += 1;
        local.work.prefill_tokens = local.work.prefill_tokens.saturating_add(prompt);
        push_recent(&mut local.sent_at, now);
    }

    /// Records the first token of a request with `prompt` tokens.
    pub fn record_first_token(&mut self, server: &Instance, prompt: u32) {
        if let Some(local) = self.local.get_mut(server) {
            local.work.prefill_tokens = local.work.prefill_tokens.saturating_sub(prompt);
        }
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, server: &Instance, now: Moment) {
        if let Some(local) = self.local.get_mut(server) {
            local.work.requests = local.work.requests.saturating_sub(1);
            push_recent(&mut local.ended_at, now);
        }
    }

    /// Records output from a target.
    pub fn record_received(&mut self, server: &Instance, now: Moment) {
        if let Some(local) = self.local.get_mut(server) {
            local.last_received = Some(now);
            if local.work.prefill_tokens == 0 {
                local.prefill_allowance = Duration::ZERO;
            }
        }
    }

    /// Records a measured latency of a target and its prediction.
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

    /// Records a request that failed at a target.
    pub fn record_failure(&mut self, server: &Instance, now: Moment) {
        let local = self.local.entry(server.clone()).or_default();
        local.failure_rate += EWMA_WEIGHT * (1.0 - local.failure_rate);
        local.observed_at = now;
    }

    /// Records that a request was withdrawn from a target that sent no output.
    pub fn record_silence(&mut self, server: &Instance, now: Moment) {
        let local = self.local.entry(server.clone()).or_default();
        local.silent_at = Some(now);
    }

    /// Returns whether a request of this node got no output from a target lately, and no node
    /// has got any since.
    ///
    /// Without requests in progress there, nothing else shows that it has stalled.
    pub fn is_avoided(&self, server: &Instance, now: Moment) -> bool {
        let silent_at = self.local.get(server).and_then(|local| local.silent_at);
        silent_at.is_some_and(|at| {
            let has_output = self.last_received(server).is_some_and(|last| last > at);
            now.since(at) < SILENCE_MEMORY && !has_output
        })
    }

    /// Replaces the load that another node reports for itself.
    ///
    /// An aggregate report is discarded first, since it includes this node's load as
    /// well.
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

    /// Replaces the reports of all other nodes by an aggregate report, sent by
    /// `node`, that excludes this node's own load.
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

    /// Removes the report of a node.
    fn remove_node(&mut self, node: &Node) {
        if let Some((_, loads)) = self.remote.remove(node) {
            self.subtract(&loads);
        }
    }

    /// Replaces the report of a node.
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

    /// Discards the reports of nodes that have sent none for a while.
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

    /// Subtracts a node's report from the totals.
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

    /// Returns this node's own load, for reports to other nodes.
    pub fn local_load(&self, now: Moment) -> impl Iterator<Item = TargetLoad> {
        let loads = self.local.iter().map(move |(server, local)| TargetLoad {
            server: server.clone(),
            work: local.work(now),
            last_received: if_recent(local.last_received, now),
        });
        loads.filter(|load| load.work.requests > 0 || load.last_received.is_some())
    }

    /// Returns the load of all nodes, this one included.
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

    /// Returns the requests of all nodes at a target.
    ///
    /// A target is stalled if it is so for any node and no node received output from
    /// it recently. With many nodes, each has one or two requests at a target, which
    /// may wait there while the target answers those of other nodes.
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

    /// Returns when any node last received output from a target.
    fn last_received(&self, server: &Instance) -> Option<Moment> {
        let local = self.local.get(server).and_then(|local| local.last_received);
        local.max(self.remote_last_received.get(server).copied())
    }

    /// Returns the factor by which a target is worse than predicted; 1 is as
    /// predicted.
    ///
    /// Observations decay, so that a target that was slow is tried again.
    pub fn penalty(&self, server: &Instance, now: Moment) -> f64 {
        /// The slowdown added for a target that fails all requests.
        const FAILURE_WEIGHT: f64 = 20.0;
        let Some(local) = self.local.get(server) else {
            return 1.0;
        };
        let age = now.since(local.observed_at).as_secs_f64() / PENALTY_HALF_LIFE.as_secs_f64();
        let decay = 0.5_f64.powf(age);
        1.0 + decay * (local.slowness - 1.0 + FAILURE_WEIGHT * local.failure_rate)
    }

    /// Returns the number of requests that this node sent to a target within a span of
    /// at most [`NAMED_SPAN`].
    pub fn sent_within(&self, server: &Instance, span: Duration, now: Moment) -> usize {
        let local = self.local.get(server);
        local.map_or(0, |local| count_within(&local.sent_at, span, now))
    }

    /// Returns the growth of this node's requests at a target within a span of at
    /// most [`NAMED_SPAN`].
    pub fn local_growth(&self, server: &Instance, span: Duration, now: Moment) -> usize {
        self.local.get(server).map_or(0, |local| {
            count_within(&local.sent_at, span, now).saturating_sub(count_within(
                &local.ended_at,
                span,
                now,
            ))
        })
    }

    /// Returns whether a target was added within a span before now.
    pub fn is_new_target(&self, server: &Instance, span: Duration, now: Moment) -> bool {
        let since = self.target_since.get(server);
        since.is_some_and(|since| now.since(*since) < span)
    }

    /// Sets the present targets, and discards the state of others that are idle.
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
