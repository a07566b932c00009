//! The choice of a target for one request.

use crate::{CostModel, LoadTracker, Target};
use clock::Moment;
use name::{Domain, Instance, Model, Service};
use rand::{Rng, seq::IndexedRandom};
use std::time::Duration;

/// What a request in another failure domain costs, in seconds of waiting.
///
/// It covers the way there and back, and makes equal targets go by domain.
const CROSS_DOMAIN_COST_S: f64 = 0.010;

/// The targets drawn at random of which the best is taken.
///
/// Nodes choose from shares that are some hundred milliseconds old. If all took
/// the best of all targets, they would take the same one.
const SAMPLE_SIZE: usize = 3;

/// A request that looks for a target.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model, for model engines.
    pub model: Option<&'a Model>,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The servers that were tried before.
    pub excluded: &'a [Instance],
    /// The failure domain of this node.
    pub domain: &'a Domain,
    /// The nodes that choose at the same time.
    pub contention: Contention<'a>,
}

/// The nodes that choose among the same targets, and how late each learns what
/// the others chose.
///
/// Answers the load of many nodes with requests that wait: each sees the same
/// free places, and all would take them at once. While requests wait here, or
/// right after a target came, this node takes only its part of the places that
/// are free, beside those that it gave back itself.
#[derive(Debug, Clone, Copy)]
pub struct Contention<'a> {
    /// This node.
    pub node: &'a str,
    /// How many there are, this one included.
    pub node_count: usize,
    /// The time between two datagrams of a node.
    pub report_interval: Duration,
    /// Whether requests wait at this node.
    pub has_queued: bool,
}

impl Contention<'_> {
    /// Returns whether this node may take one more of the free places of a target.
    fn may_take_slot(&self, target: &Target, load: &LoadTracker, now: Moment) -> bool {
        let server = &target.server;
        // A change reaches all nodes within about a round, and what they then
        // choose within another.
        let is_limited = self.has_queued || load.is_new(server, self.report_interval * 2, now);
        if !is_limited || self.node_count <= 1 {
            return true;
        }
        let growth = load.local_growth(server, self.report_interval, now);
        let free = target.slots.saturating_sub(load.work(server, now).requests) as usize;
        // What grew here within the round was free at its beginning.
        let share = (free + growth) as f64 / self.node_count as f64;
        growth < (share + self.rounding_offset(server, now)) as usize
    }

    /// Returns a number from 0 to 1 that stays the same for a round, so that on
    /// average as many places are taken as are free.
    fn rounding_offset(&self, server: &Instance, now: Moment) -> f64 {
        let interval_ms = self.report_interval.as_millis().max(1);
        let interval_index = now.since(Moment::START).as_millis() / interval_ms;
        let score = name::score(server.as_str(), &format!("{}/{interval_index}", self.node));
        score as f64 / u64::MAX as f64
    }
}

/// A target for a request.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The target.
    pub target: Target,
    /// When its first token should come.
    pub time_to_first_token: Duration,
    /// The requests in progress there, at all nodes.
    pub in_progress: u32,
    /// The targets that could have taken the request.
    pub candidates: usize,
}

/// Whether a request can be placed.
#[derive(Debug, Clone)]
pub enum Decision {
    /// It can be sent.
    Place(Box<Placement>),
    /// All targets are full.
    Full,
    /// No target serves what it asks for.
    NoTarget,
}

/// Picks a target for a request.
///
/// `cold_per_s` tells the most requests that this node may send to a cold target
/// in a second.
pub fn choose_target(
    query: &Query<'_>,
    targets: &[Target],
    cost: Option<&CostModel>,
    load: &LoadTracker,
    cold_per_s: impl Fn(&Target) -> usize,
    now: Moment,
    rng: &mut impl Rng,
) -> Decision {
    let serving: Vec<&Target> = targets
        .iter()
        .filter(|t| t.service == *query.service && t.model.as_ref() == query.model)
        .collect();
    if serving.is_empty() {
        return Decision::NoTarget;
    }
    let free: Vec<&Target> = serving
        .iter()
        .copied()
        .filter(|t| !query.excluded.contains(&t.server))
        .filter(|t| load.work(&t.server, now).requests < t.slots)
        .filter(|t| query.contention.may_take_slot(t, load, now))
        .filter(|t| !t.is_cold || load.sent_last_second(&t.server, now) < cold_per_s(t))
        .collect();
    // A replica that lost a member takes requests and does not answer them.
    let is_silent = |t: &&Target| t.model.is_some() && load.work(&t.server, now).is_stalled;
    let (silent, answering): (Vec<&Target>, Vec<&Target>) =
        free.iter().copied().partition(is_silent);
    let pool = if answering.is_empty() {
        silent
    } else {
        answering
    };
    let sample = pool.choose_multiple(rng, SAMPLE_SIZE);
    let predicted = sample.map(|target| {
        let (first, penalty) = predict_first_token(query, target, cost, load, now);
        (*target, first, first * penalty)
    });
    let best = predicted.min_by(|a, b| a.2.total_cmp(&b.2));
    best.map_or(Decision::Full, |(target, first, _)| {
        Decision::Place(Box::new(Placement {
            target: target.clone(),
            time_to_first_token: Duration::from_secs_f64(first),
            in_progress: load.work(&target.server, now).requests,
            candidates: pool.len(),
        }))
    })
}

/// Returns the predicted time to the first token in seconds, and how much
/// worse the target has been than predicted.
fn predict_first_token(
    query: &Query<'_>,
    target: &Target,
    cost: Option<&CostModel>,
    load: &LoadTracker,
    now: Moment,
) -> (f64, f64) {
    /// The time of a request to a plain service, of which no costs are known.
    const PLAIN_SERVICE_TIME_S: f64 = 0.050;
    let work = load.work(&target.server, now);
    let running = f64::from(work.requests);
    let cross_domain_cost = if target.domain == *query.domain {
        0.0
    } else {
        CROSS_DOMAIN_COST_S
    };
    let first = match cost {
        Some(cost) => cost.time_to_first_token(
            running,
            f64::from(work.prefill_tokens),
            f64::from(query.prompt_tokens),
        ),
        None => PLAIN_SERVICE_TIME_S * (1.0 + running / f64::from(target.slots)),
    };
    (first + cross_domain_cost, load.penalty(&target.server, now))
}

/// Returns the part of a cold server's bound that one node may use.
///
/// Whole requests are dealt out, so that the parts of all nodes add up to the
/// bound however many nodes there are. Each server begins with another node.
pub fn cold_rate_share<'a>(
    cold_per_s: f64,
    server: &Instance,
    node: &str,
    nodes: impl ExactSizeIterator<Item = &'a str>,
) -> usize {
    let limit = cold_per_s as usize;
    let count = nodes.len().max(1);
    let rank = name::rank(server.as_str(), node, nodes);
    limit / count + usize::from(rank < limit % count)
}
