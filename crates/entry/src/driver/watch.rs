//! Polls the reports of the backend servers that this node watches.
//!
//! A few entry nodes watch each instance; the others learn of its reports and
//! of suspicions by asking their peers.

use crate::{
    known::Borne,
    node::Node,
    peer::{AgedReport, Capacity},
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

/// The number of entry nodes that watch an instance.
const WATCHERS: usize = 3;

/// Polls in progress at once.
const POLLS: usize = 32;

/// What this node watches, and what it concluded last.
#[derive(Debug)]
pub(crate) struct Watched {
    engines: FailureDetector,
    services: FailureDetector,
    votes: Vec<Vote>,
    duty: Duty,
}

/// Which instances this node watches in one epoch.
///
/// Finding an instance's watchers takes a hash for each entry node, so that the
/// answers are kept until the epoch changes.
#[derive(Debug, Default)]
struct Duty {
    epoch: Offset,
    own: HashMap<Instance, (Domain, bool)>,
}

impl Duty {
    /// Forgets the answers for another epoch.
    fn turn_to(&mut self, epoch: &Epoch) {
        if self.epoch != epoch.revision {
            self.epoch = epoch.revision;
            self.own.clear();
        }
    }

    /// Returns whether `node` watches the instance.
    ///
    /// Before the first epoch every node watches all, since nobody else is known to.
    fn is_own(&mut self, node: &Name, instance: &Instance, domain: &Domain, epoch: &Epoch) -> bool {
        if epoch.peers.is_empty() {
            return true;
        }
        if let Some((known, is_own)) = self.own.get(instance)
            && known == domain
        {
            return *is_own;
        }
        let is_own = watchers(instance, domain, epoch, WATCHERS).contains(node);
        self.own.insert(instance.clone(), (domain.clone(), is_own));
        is_own
    }

    /// Forgets the instances that are no longer listed.
    fn retain(&mut self, is_listed: impl Fn(&Instance) -> bool) {
        self.own.retain(|instance, _| is_listed(instance));
    }
}

impl Watched {
    /// Returns a node that watches nothing yet.
    pub(crate) fn new(engines: FailureDetector, services: FailureDetector) -> Self {
        Self {
            engines,
            services,
            votes: Vec::new(),
            duty: Duty::default(),
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

    /// Returns this node's votes.
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

/// A report with the moment at which it was asked for.
struct Answer {
    poll: Poll,
    asked: Moment,
    report: proto::Report,
}

/// Polls each watched instance once, and judges.
pub(crate) async fn poll(node: Arc<Node>) {
    let polls = assign(&node);
    let answers = stream::iter(polls)
        .map(|poll| ask(&node, poll))
        .buffer_unordered(POLLS);
    answers.for_each(async |answer| take(&node, answer)).await;
    judge(&node);
}

/// Works out what this node watches, and returns what to poll.
fn assign(node: &Node) -> Vec<Poll> {
    let now = node.clock.now();
    let epoch = &node.control().state.epoch;
    let (engines, services) = (node.engines(), node.services());
    let mut watched = node.watched();
    let duty = &mut watched.duty;
    duty.turn_to(epoch);
    if duty.own.len() > engines.iter().count() + services.iter().count() {
        duty.retain(|instance| engines.get(instance).is_some() || services.get(instance).is_some());
    }
    let mut polls = own_part(node, &engines, epoch, duty, false);
    let service_polls = own_part(node, &services, epoch, duty, true);
    drop((engines, services));
    let names = |polls: &[Poll]| polls.iter().map(|poll| poll.instance.clone()).collect();
    let (engines, services): (Vec<Instance>, Vec<Instance>) =
        (names(&polls), names(&service_polls));
    polls.extend(service_polls);
    watched.engines.set_instances(engines, now);
    watched.services.set_instances(services, now);
    polls
}

/// Returns the instances of a view that this node watches.
fn own_part(
    node: &Node,
    view: &View,
    epoch: &Epoch,
    duty: &mut Duty,
    is_service: bool,
) -> Vec<Poll> {
    let own = &node.identity.node;
    view.iter()
        .filter(|(instance, seen)| duty.is_own(own, instance, &seen.domain, epoch))
        .map(|(instance, seen)| Poll {
            instance: instance.clone(),
            address: seen.address,
            is_service,
        })
        .collect()
}

/// Asks one backend server for its report.
async fn ask(node: &Node, poll: Poll) -> Option<Answer> {
    let asked = node.clock.now();
    let report = engine::report(&node.pool, poll.address).await.ok()?;
    // An address may have been given to another instance.
    (report.instance == poll.instance).then_some(Answer {
        poll,
        asked,
        report,
    })
}

/// Takes an answer into the view and the watch.
fn take(node: &Node, answer: Option<Answer>) {
    let Some(Answer {
        poll,
        asked,
        report,
    }) = answer
    else {
        return;
    };
    {
        let mut watched = node.watched();
        let watch = if poll.is_service {
            &mut watched.services
        } else {
            &mut watched.engines
        };
        watch.record_answer(&poll.instance, asked);
    }
    enter(node, sighted(report), asked);
}

/// Enters a report into the tables; `taken` is the earliest moment to which it refers.
pub(crate) fn enter(node: &Node, sighted: AgedReport, taken: Moment) {
    let now = node.clock.now();
    let AgedReport {
        report,
        capacity: bearing,
        is_service,
        ..
    } = sighted;
    let borne = Borne {
        boot: report.boot,
        taken,
        bearing,
    };
    node.known.bear(&report.instance, borne);
    let mut view = if is_service {
        node.services()
    } else {
        node.engines()
    };
    view.record_report(report, taken, now);
}

/// Votes on what stays silent.
fn judge(node: &Node) {
    let now = node.clock.now();
    let mut votes = Vec::new();
    {
        let mut watched = node.watched();
        for judgement in [
            watched.engines.evaluate(now),
            watched.services.evaluate(now),
        ] {
            if let Evaluation::Votes(new) = judgement {
                votes.extend(new);
            }
        }
        watched.votes.clone_from(&votes);
    }
    count(node, &votes);
}

/// Counts votes in both views.
pub(crate) fn count(node: &Node, votes: &[Vote]) {
    let now = node.clock.now();
    let epoch = &node.control().state.epoch;
    for vote in votes {
        node.engines().record_vote(vote, epoch, now);
        node.services().record_vote(vote, epoch, now);
    }
}

/// Converts a report of a backend server.
fn sighted(report: proto::Report) -> AgedReport {
    let bearing = Capacity {
        warm: report.warm,
        warm_limit: report.warm_limit,
        cold_limit: report.cold_limit,
    };
    AgedReport {
        capacity: bearing,
        age: Duration::ZERO,
        is_service: report.role == proto::Role::Service,
        report: Report {
            instance: report.instance,
            boot: report.boot,
            phase: phase_of(report.phase),
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
fn phase_of(phase: proto::Phase) -> Phase {
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
