//! The choice of a target for one request.

use crate::{Cost, Load, Target};
use clock::Moment;
use name::{Domain, Instance, Model, Service};
use rand::{Rng, seq::IndexedRandom};
use std::time::Duration;

/// What a request in another failure domain costs, in seconds of waiting.
///
/// It covers the way there and back, and makes equal targets go by domain.
const ACROSS_DOMAINS: f64 = 0.010;

/// The targets drawn at random of which the best is taken.
///
/// Nodes choose from shares that are some hundred milliseconds old. If all took
/// the best of all targets, they would take the same one.
const DRAWN: usize = 3;

/// A request that looks for a target.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model, for model engines.
    pub model: Option<&'a Model>,
    /// The tokens of the prompt.
    pub prompt: u32,
    /// The servers that were tried before.
    pub excluded: &'a [Instance],
    /// The failure domain of this node.
    pub domain: &'a Domain,
    /// The nodes that choose at the same time.
    pub crowd: Crowd<'a>,
}

/// The nodes that choose among the same targets, and how late each learns what
/// the others chose.
///
/// Answers the load of many nodes with requests that wait: each sees the same
/// free places, and all would take them at once. While requests wait here, or
/// right after a target came, this node takes only its part of the places that
/// are free, beside those that it gave back itself.
#[derive(Debug, Clone, Copy)]
pub struct Crowd<'a> {
    /// This node.
    pub own: &'a str,
    /// How many there are, this one included.
    pub nodes: usize,
    /// The time between two datagrams of a node.
    pub round: Duration,
    /// Whether requests wait at this node.
    pub has_waiting: bool,
}

impl Crowd<'_> {
    /// Returns whether this node may take one more of the free places of a target.
    fn may_take(&self, target: &Target, load: &Load, now: Moment) -> bool {
        let server = &target.server;
        // A change reaches all nodes within about a round, and what they then
        // choose within another.
        let is_dealt = self.has_waiting || load.is_new(server, self.round * 2, now);
        if !is_dealt || self.nodes <= 1 {
            return true;
        }
        let growth = load.growth(server, self.round, now);
        let free = target.slots.saturating_sub(load.work(server, now).requests) as usize;
        // What grew here within the round was free at its beginning.
        let part = (free + growth) as f64 / self.nodes as f64;
        growth < (part + self.draw(server, now)) as usize
    }

    /// Returns a number from 0 to 1 that stays the same for a round, so that on
    /// average as many places are taken as are free.
    fn draw(&self, server: &Instance, now: Moment) -> f64 {
        let round = self.round.as_millis().max(1);
        let number = now.since(Moment::START).as_millis() / round;
        let score = name::rendezvous_score(server.as_str(), &format!("{}/{number}", self.own));
        score as f64 / u64::MAX as f64
    }
}

/// A target for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// When its first token should come.
    pub first_token: Duration,
    /// The requests in progress there, at all nodes.
    pub in_progress: u32,
    /// The targets that could have taken the request.
    pub candidates: usize,
}

/// Whether a request can be placed.
#[derive(Debug, Clone)]
pub enum Outlook {
    /// It can be sent.
    Place(Box<Choice>),
    /// All targets are full.
    Full,
    /// No target serves what it asks for.
    Nowhere,
}

/// Picks a target for a request.
///
/// `cold_per_s` tells the most requests that this node may send to a cold target
/// in a second.
pub fn choose(
    ask: &Ask<'_>,
    targets: &[Target],
    cost: Option<&Cost>,
    load: &Load,
    cold_per_s: impl Fn(&Target) -> usize,
    now: Moment,
    rng: &mut impl Rng,
) -> Outlook {
    let serving: Vec<&Target> = targets
        .iter()
        .filter(|t| t.service == *ask.service && t.model.as_ref() == ask.model)
        .collect();
    if serving.is_empty() {
        return Outlook::Nowhere;
    }
    let free: Vec<&Target> = serving
        .iter()
        .copied()
        .filter(|t| !ask.excluded.contains(&t.server))
        .filter(|t| load.work(&t.server, now).requests < t.slots)
        .filter(|t| ask.crowd.may_take(t, load, now))
        .filter(|t| !t.is_cold || load.sent_lately(&t.server, now) < cold_per_s(t))
        .collect();
    // A replica that lost a member takes requests and does not answer them.
    let is_silent = |t: &&Target| t.model.is_some() && load.work(&t.server, now).is_silent;
    let (silent, answering): (Vec<&Target>, Vec<&Target>) =
        free.iter().copied().partition(is_silent);
    let pool = if answering.is_empty() {
        silent
    } else {
        answering
    };
    let drawn = pool.choose_multiple(rng, DRAWN);
    let predicted = drawn.map(|target| {
        let (first, penalty) = predict(ask, target, cost, load, now);
        (*target, first, first * penalty)
    });
    let best = predicted.min_by(|a, b| a.2.total_cmp(&b.2));
    best.map_or(Outlook::Full, |(target, first, _)| {
        Outlook::Place(Box::new(Choice {
            target: target.clone(),
            first_token: Duration::from_secs_f64(first),
            in_progress: load.work(&target.server, now).requests,
            candidates: pool.len(),
        }))
    })
}

/// Returns the predicted time to the first token in seconds, and how much
/// worse the target has been than predicted.
fn predict(
    ask: &Ask<'_>,
    target: &Target,
    cost: Option<&Cost>,
    load: &Load,
    now: Moment,
) -> (f64, f64) {
    /// The time of a request to a plain service, of which no costs are known.
    const PLAIN: f64 = 0.050;
    let work = load.work(&target.server, now);
    let running = f64::from(work.requests);
    let way = if target.domain == *ask.domain {
        0.0
    } else {
        ACROSS_DOMAINS
    };
    let first = match cost {
        Some(cost) => cost.first_token(running, f64::from(work.unread), f64::from(ask.prompt)),
        None => PLAIN * (1.0 + running / f64::from(target.slots)),
    };
    (first + way, load.penalty(&target.server, now))
}

/// Returns the part of a cold server's bound that one node may use.
///
/// Whole requests are dealt out, so that the parts of all nodes add up to the
/// bound however many nodes there are. Each server begins with another node.
pub fn cold_part<'a>(
    cold_per_s: f64,
    server: &Instance,
    own: &str,
    nodes: impl ExactSizeIterator<Item = &'a str>,
) -> usize {
    let bound = cold_per_s as usize;
    let count = nodes.len().max(1);
    let rank = name::rendezvous_rank(server.as_str(), own, nodes);
    bound / count + usize::from(rank < bound % count)
}
