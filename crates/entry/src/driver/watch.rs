//! Polls the reports of the backend servers that this node watches.
//!
//! [`WATCHERS_PER_INSTANCE`] entry nodes watch each instance; the others get its
//! reports and the votes on its failure from their peers.

use crate::{
    node::Node,
    peer::{AgedReport, Capacity},
    reports::ReportedCapacity,
};
use backend::{engine, proto};
use clock::Moment;
use futures_util::{StreamExt, stream};
use name::{Domain, Instance, Node as Name, Offset};
use replica::{Evaluation, FailureDetector, Phase, Report, View, Vote, watchers};
use state::Epoch;
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// The number of entry nodes that watch each instance.
const WATCHERS_PER_INSTANCE: usize = 3;

/// The maximum number of polls in progress at once.
const MAX_CONCURRENT_POLLS: usize = 32;

/// The failure detectors for the instances that this node watches, and its latest votes.
#[derive(Debug)]
pub(crate) struct Monitor {
    engines: FailureDetector,
    services: FailureDetector,
    votes: Vec<Vote>,
    watcher_cache: WatcherCache,
}

/// A cache of whether this node watches each instance in one epoch.
///
/// Finding an instance's watchers takes a hash for each entry node, so the
/// results are cached until the epoch changes.
#[derive(Debug, Default)]
struct WatcherCache {
    epoch: Offset,
    by_instance: HashMap<Instance, (Domain, bool)>,
}

impl WatcherCache {
    /// Discards the results of another epoch.
    fn set_epoch(&mut self, epoch: &Epoch) {
        if self.epoch != epoch.revision {
            self.epoch = epoch.revision;
            self.by_instance.clear();
        }
    }

    /// Returns whether `node` watches the instance.
    ///
    /// Before the first epoch, every node watches all instances, since no other
    /// watchers are assigned.
    fn is_watcher(
        &mut self,
        node: &Name,
        instance: &Instance,
        domain: &Domain,
        epoch: &Epoch,
    ) -> bool {
        if epoch.peers.is_empty() {
            return true;
        }
        if let Some((cached_domain, is_watcher)) = self.by_instance.get(instance)
            && cached_domain == domain
        {
            return *is_watcher;
        }
        let is_watcher = watchers(instance, domain, epoch, WATCHERS_PER_INSTANCE).contains(node);
        self.by_instance
            .insert(instance.clone(), (domain.clone(), is_watcher));
        is_watcher
    }

    /// Discards the instances that are no longer listed.
    fn retain(&mut self, is_listed: impl Fn(&Instance) -> bool) {
        self.by_instance.retain(|instance, _| is_listed(instance));
    }
}

impl Monitor {
    /// Returns a monitor without votes.
    pub(crate) fn new(engines: FailureDetector, services: FailureDetector) -> Self {
        Self {
            engines,
            services,
            votes: Vec::new(),
            watcher_cache: WatcherCache::default(),
        }
    }

    /// Returns the instances that this node watches.
    pub(crate) fn instances(&self) -> BTreeSet<Instance> {
        self.engines
            .instances()
            .chain(self.services.instances())
            .cloned()
            .collect()
    }

    /// Returns this node's latest votes.
    pub(crate) fn votes(&self) -> &[Vote] {
        &self.votes
    }
}

/// An instance to poll.
struct Poll {
    instance: Instance,
    address: SocketAddr,
    is_service: bool,
}

/// A report with the moment at which it was requested.
struct Answer {
    poll: Poll,
    requested_at: Moment,
    report: proto::Report,
}

/// Polls each watched instance once, and evaluates the failure detectors.
pub(crate) async fn poll(node: Arc<Node>) {
    let polls = select_polls(&node);
    let answers = stream::iter(polls)
        .map(|poll| request_report(&node, poll))
        .buffer_unordered(MAX_CONCURRENT_POLLS);
    answers
        .for_each(async |answer| record_answer(&node, answer))
        .await;
    evaluate_failures(&node);
}

/// Updates the set of watched instances, and returns the polls to send.
fn select_polls(node: &Node) -> Vec<Poll> {
    let now = node.clock.now();
    let epoch = &node.control().state.epoch;
    let (engines, services) = (node.engines(), node.services());
    let mut monitor = node.monitor();
    let cache = &mut monitor.watcher_cache;
    cache.set_epoch(epoch);
    if cache.by_instance.len() > engines.iter().count() + services.iter().count() {
        cache
            .retain(|instance| engines.get(instance).is_some() || services.get(instance).is_some());
    }
    let mut polls = polls_in_view(node, &engines, epoch, cache, false);
    let service_polls = polls_in_view(node, &services, epoch, cache, true);
    drop((engines, services));
    let names = |polls: &[Poll]| polls.iter().map(|poll| poll.instance.clone()).collect();
    let (engines, services): (Vec<Instance>, Vec<Instance>) =
        (names(&polls), names(&service_polls));
    polls.extend(service_polls);
    monitor.engines.set_instances(engines, now);
    monitor.services.set_instances(services, now);
    polls
}

/// Returns the polls of the instances in a view that this node watches.
fn polls_in_view(
    node: &Node,
    view: &View,
    epoch: &Epoch,
    cache: &mut WatcherCache,
    is_service: bool,
) -> Vec<Poll> {
    let own = &node.identity.node;
    view.iter()
        .filter(|(instance, status)| cache.is_watcher(own, instance, &status.domain, epoch))
        .map(|(instance, status)| Poll {
            instance: instance.clone(),
            address: status.address,
            is_service,
        })
        .collect()
}

/// Requests the report of one backend server.
async fn request_report(node: &Node, poll: Poll) -> Option<Answer> {
    let requested_at = node.clock.now();
    let report = engine::report(&node.pool, poll.address).await.ok()?;
    // The address may meanwhile belong to another instance.
    (report.instance == poll.instance).then_some(Answer {
        poll,
        requested_at,
        report,
    })
}

/// Records an answer in the failure detector and the view.
fn record_answer(node: &Node, answer: Option<Answer>) {
    let Some(Answer {
        poll,
        requested_at,
        report,
    }) = answer
    else {
        return;
    };
    {
        let mut monitor = node.monitor();
        let detector = if poll.is_service {
            &mut monitor.services
        } else {
            &mut monitor.engines
        };
        detector.record_answer(&poll.instance, requested_at);
    }
    record_report(node, convert_report(report), requested_at);
}

/// Records a report; `as_of` is the earliest moment to which it can refer.
pub(crate) fn record_report(node: &Node, aged_report: AgedReport, as_of: Moment) {
    let now = node.clock.now();
    let AgedReport {
        report,
        capacity,
        is_service,
        ..
    } = aged_report;
    let reported = ReportedCapacity {
        boot: report.boot,
        as_of,
        capacity,
    };
    node.reports.record_capacity(&report.instance, reported);
    let mut view = if is_service {
        node.services()
    } else {
        node.engines()
    };
    view.record_report(report, as_of, now);
}

/// Votes on the failure of watched instances that do not answer.
fn evaluate_failures(node: &Node) {
    let now = node.clock.now();
    let mut votes = Vec::new();
    {
        let mut monitor = node.monitor();
        for evaluation in [
            monitor.engines.evaluate(now),
            monitor.services.evaluate(now),
        ] {
            if let Evaluation::Votes(new) = evaluation {
                votes.extend(new);
            }
        }
        monitor.votes.clone_from(&votes);
    }
    record_votes(node, &votes);
}

/// Records votes in both views.
pub(crate) fn record_votes(node: &Node, votes: &[Vote]) {
    let now = node.clock.now();
    let epoch = &node.control().state.epoch;
    for vote in votes {
        node.engines().record_vote(vote, epoch, now);
        node.services().record_vote(vote, epoch, now);
    }
}

/// Converts a report of a backend server.
fn convert_report(report: proto::Report) -> AgedReport {
    let capacity = Capacity {
        warm: report.warm,
        warm_limit: report.warm_limit,
        cold_limit: report.cold_limit,
    };
    AgedReport {
        capacity,
        age: Duration::ZERO,
        is_service: report.role == proto::Role::Service,
        report: Report {
            instance: report.instance,
            boot: report.boot,
            phase: convert_phase(report.phase),
            replica: report.replica,
            generation: report.generation,
            member: report.member,
            loaded: report.loaded,
            running: report.running + report.waiting,
            fences: report.fences,
        },
    }
}

/// Converts the phase of an engine.
fn convert_phase(phase: proto::Phase) -> Phase {
    match phase {
        proto::Phase::Idle => Phase::Idle,
        proto::Phase::Loading => Phase::Loading,
        proto::Phase::Joining => Phase::Joining,
        proto::Phase::Ready => Phase::Ready,
        proto::Phase::Leaving => Phase::Leaving,
    }
}

#[cfg(test)]
mod tests;
