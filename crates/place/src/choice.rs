//! The choice of a target for one request.

use crate::{CostModel, LoadTracker, Share, Target};
use clock::Moment;
use name::{Domain, Instance, Model, Service};
use rand::{Rng, seq::IndexedRandom};
use std::time::Duration;

/// The cost of a target in another failure domain, in seconds of latency.
///
/// It covers the round trip, and makes targets in the own domain win among equals.
const CROSS_DOMAIN_COST_S: f64 = 0.010;

/// The number of servers of a plain service drawn at random, of which the best is used.
///
/// Nodes choose from load reports that are some hundred milliseconds old. If all used
/// the best of all targets, they would use the same one.
const SAMPLE_SIZE: usize = 3;

/// The requests as which a replica in another failure domain counts.
const CROSS_DOMAIN_LOAD: f64 = 2.0;

/// The requests to which a slowdown is applied besides those in progress, so that a slow
/// replica is avoided when it is idle as well.
const SLOW_TARGET_LOAD: f64 = 4.0;

/// The properties of a request that needs a target.
#[derive(Debug, Clone)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model, for model engines.
    pub model: Option<&'a Model>,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The servers that already failed this request.
    pub excluded: &'a [Instance],
    /// The failure domain of this node.
    pub domain: &'a Domain,
    /// The other nodes that choose at the same time.
    pub contention: Contention<'a>,
    /// When the response should start.
    pub objective: Objective,
}

/// When a response should start, and what is known of the time until it does.
#[derive(Debug, Clone, Copy, Default)]
pub struct Objective {
    /// The time until the response should start; `None` if nothing is known of that.
    pub time_left: Option<Duration>,
    /// The delay beyond the latency model's prediction of the first token.
    pub delay: Duration,
}

impl Objective {
    /// Returns whether a response that starts after `first_token_s` seconds is in time.
    fn is_in_time(&self, first_token_s: f64) -> bool {
        let left = self.time_left.map(|left| left.as_secs_f64());
        left.is_none_or(|left| first_token_s <= left)
    }
}

/// The nodes that choose among the same targets at the same time.
///
/// All nodes see the same free slots, as of the last load reports, so nodes with
/// queued requests would all claim them at once. While requests are queued here, or
/// right after a target was added, this node claims only its share of the free slots,
/// besides the slots that its own requests freed.
#[derive(Debug, Clone, Copy)]
pub struct Contention<'a> {
    /// The name of this node.
    pub node: &'a str,
    /// The number of nodes, this one included.
    pub node_count: usize,
    /// The time between two load reports of a node.
    pub report_interval: Duration,
    /// Whether requests are queued at this node.
    pub has_queued: bool,
}

/// The span in which this node's requests are counted to estimate those of all nodes.
const ARRIVAL_SPAN: Duration = Duration::from_secs(2);

impl Contention<'_> {
    /// Returns the number of requests that all nodes place at some targets before this node
    /// receives a report of them.
    fn expected_arrivals(&self, targets: &[&Target], load: &LoadTracker, now: Moment) -> f64 {
        let sent = targets
            .iter()
            .map(|target| load.sent_within(&target.server, ARRIVAL_SPAN, now));
        let own_rate = sent.sum::<usize>() as f64 / ARRIVAL_SPAN.as_secs_f64();
        own_rate * self.node_count as f64 * self.report_interval.as_secs_f64()
    }

    /// Returns whether this node may claim one more free slot of a target.
    fn may_take_slot(&self, target: &Target, load: &LoadTracker, now: Moment) -> bool {
        let server = &target.server;
        // A change reaches all nodes within about one report interval, and the
        // requests that they then place are reported within another.
        let is_limited =
            self.has_queued || load.is_new_target(server, self.report_interval * 2, now);
        if !is_limited || self.node_count <= 1 {
            return true;
        }
        let growth = load.local_growth(server, self.report_interval, now);
        let free = target.slots.saturating_sub(load.work(server, now).requests) as usize;
        // Slots claimed here within the interval were free at its start.
        let share = (free + growth) as f64 / self.node_count as f64;
        growth < (share + self.rounding_offset(server, now)) as usize
    }

    /// Returns a pseudorandom number from 0 to 1 that is constant for a report
    /// interval.
    ///
    /// Added before rounding down, it makes the number of claimed slots equal the
    /// number of free slots on average.
    fn rounding_offset(&self, server: &Instance, now: Moment) -> f64 {
        let interval_ms = self.report_interval.as_millis().max(1);
        let interval_index = now.since(Moment::START).as_millis() / interval_ms;
        let score =
            name::rendezvous_score(server.as_str(), &format!("{}/{interval_index}", self.node));
        score as f64 / u64::MAX as f64
    }
}

/// The target chosen for a request.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The target.
    pub target: Target,
    /// The predicted time to the first token.
    pub time_to_first_token: Duration,
    /// The part of it that the latency model predicts, without learned delays.
    pub modelled_time: Duration,
    /// Whether the response was expected to start in time.
    pub is_in_time: bool,
    /// The requests in progress at the target, from all nodes.
    pub in_progress: u32,
    /// The number of targets that could have accepted the request.
    pub candidates: usize,
}

/// The result of a search for a target.
#[derive(Debug, Clone)]
pub enum Decision {
    /// The request can be sent to this target.
    Place(Box<Placement>),
    /// No target can accept the request now: all are full, excluded or rate-limited.
    Full,
    /// No target serves the requested service and model.
    NoTarget,
}

/// Picks a target for a request.
///
/// `shares` returns this node's shares of the limits of a target.
pub fn choose_target(
    query: &Query<'_>,
    targets: &[Target],
    cost: Option<&CostModel>,
    load: &LoadTracker,
    shares: impl Fn(&Target) -> [Option<Share>; 2],
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
        .filter(|t| load.declined_until(&t.server, now).is_none())
        .filter(|t| load.work(&t.server, now).requests < t.slots)
        .filter(|t| query.contention.may_take_slot(t, load, now))
        .filter(|t| {
            let mut shares = shares(t).into_iter().flatten();
            shares.all(|share| load.sent_within(&t.server, share.span, now) < share.requests)
        })
        .collect();
    // A replica that lost a member accepts requests without answering them.
    let is_stalled = |t: &&Target| {
        let is_silent = load.work(&t.server, now).is_stalled || load.is_avoided(&t.server, now);
        t.model.is_some() && is_silent
    };
    let (stalled, responsive): (Vec<&Target>, Vec<&Target>) =
        free.iter().copied().partition(is_stalled);
    let pool = if responsive.is_empty() {
        stalled
    } else {
        responsive
    };
    let predict = |target: &Target| predict_first_token(query, target, cost, load, now);
    let chosen = if query.model.is_some() {
        let arrivals = query.contention.expected_arrivals(&serving, load, now);
        let loads = pool.iter().map(|t| effective_load(query, t, load, now));
        let loads: Vec<f64> = loads.collect();
        pick_below_level(&loads, arrivals, rng).map(|index| (pool[index], predict(pool[index]).0))
    } else {
        let sample = pool.choose_multiple(rng, SAMPLE_SIZE);
        let predicted = sample.map(|target| (*target, predict(target)));
        let best = predicted.min_by(|(_, a), (_, b)| (a.0 * a.1).total_cmp(&(b.0 * b.1)));
        best.map(|(target, (first_token_s, _))| (target, first_token_s))
    };
    chosen.map_or(Decision::Full, |(target, first_token_s)| {
        let time_to_first_token = Duration::from_secs_f64(first_token_s);
        Decision::Place(Box::new(Placement {
            target: target.clone(),
            time_to_first_token,
            modelled_time: time_to_first_token.saturating_sub(query.objective.delay),
            is_in_time: query.objective.is_in_time(first_token_s),
            in_progress: load.work(&target.server, now).requests,
            candidates: pool.len(),
        }))
    })
}

/// Returns the requests at a replica, with its slowdown and its distance counted as further
/// requests.
fn effective_load(query: &Query<'_>, target: &Target, load: &LoadTracker, now: Moment) -> f64 {
    let requests = f64::from(load.work(&target.server, now).requests);
    let distance = if target.domain == *query.domain {
        0.0
    } else {
        CROSS_DOMAIN_LOAD
    };
    let slowdown = load.penalty(&target.server, now).max(1.0);
    (requests + SLOW_TARGET_LOAD) * slowdown - SLOW_TARGET_LOAD + distance
}

/// Picks an index at random, so that all nodes together level the loads.
///
/// `arrivals` requests are placed by all nodes before a node sees their effect. They fill
/// the loads up to one level if each target gets requests in proportion to what it is below
/// that level. If all nodes used the least loaded target of their views instead, it would
/// get all of these requests. (M. Dahlin, "Interpreting Stale Load Information", 1999.)
fn pick_below_level(loads: &[f64], arrivals: f64, rng: &mut impl Rng) -> Option<usize> {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut level = *sorted.first()?;
    let mut left = arrivals.max(1.0);
    for (below, next) in sorted.iter().skip(1).chain([&f64::INFINITY]).enumerate() {
        let count = (below + 1) as f64;
        let needed = (next - level) * count;
        if needed >= left {
            level += left / count;
            break;
        }
        left -= needed;
        level = *next;
    }
    let room = |load: &f64| (level - load).max(0.0);
    let total: f64 = loads.iter().map(room).sum();
    let mut drawn = rng.random_range(0.0..total.max(f64::MIN_POSITIVE));
    let index = loads.iter().position(|load| {
        let room = room(load);
        let is_drawn = drawn < room;
        drawn -= room;
        is_drawn
    });
    index.or_else(|| loads.iter().position(|load| *load < level))
}

/// Returns the predicted time to the first token in seconds, and the target's
/// slowdown against predictions.
fn predict_first_token(
    query: &Query<'_>,
    target: &Target,
    cost: Option<&CostModel>,
    load: &LoadTracker,
    now: Moment,
) -> (f64, f64) {
    /// The assumed time of a request to an idle plain service, which has no latency
    /// model.
    const PLAIN_SERVICE_TIME_S: f64 = 0.050;
    let work = load.work(&target.server, now);
    let running = f64::from(work.requests);
    let cross_domain_cost = if target.domain == *query.domain {
        0.0
    } else {
        CROSS_DOMAIN_COST_S
    };
    let first_token_s = match cost {
        Some(cost) => {
            query.objective.delay.as_secs_f64()
                + cost.time_to_first_token(
                    running,
                    f64::from(work.prefill_tokens),
                    f64::from(query.prompt_tokens),
                )
        }
        None => PLAIN_SERVICE_TIME_S * (1.0 + running / f64::from(target.slots)),
    };
    (
        first_token_s + cross_domain_cost,
        load.penalty(&target.server, now),
    )
}
