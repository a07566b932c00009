//! The planner's state queries to engines, and its detection of dead engines.

use clock::Moment;
use name::Instance;
use site::{
    Server,
    feed::Error,
    server::{Membership, Phase, Report},
};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// The time between two queries to a member of a replica.
///
/// It limits how long a dead member stays undetected; each query has a cost.
const MEMBER_INTERVAL: Duration = Duration::from_millis(600);

/// The time between two queries to an engine that is a member of no replica.
const IDLE_INTERVAL: Duration = Duration::from_millis(2_000);

/// The time between two queries to an engine in transition or in a stalled replica.
const URGENT_INTERVAL: Duration = Duration::from_millis(150);

/// The maximum number of queries in one step of a planner.
///
/// It keeps the planner from opening a thousand connections at once and from spending its
/// processor time on them. With more engines than can be queried in time, all of a class are
/// queried later, none of them never.
pub(crate) const MAX_QUERIES: usize = 120;

/// The maximum number of queries in one step over a slow link, whose machines are slow too.
pub(crate) const MAX_QUERIES_SLOW_LINK: usize = 60;

/// How soon an engine's state must be known, the most urgent class first.
///
/// Each class has an equal share of the queries of a step, and the first classes use what
/// the others leave: no class can use up the queries of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Its entry contradicts its report, or its replica is stalled.
    Unclear,
    /// It is in transition.
    Watched,
    /// Nothing is expected of it.
    Steady,
}

impl Class {
    /// The number of classes.
    const COUNT: usize = 3;
}

/// The delay before an unanswered query is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The number of consecutive unanswered queries after which an engine counts as dead.
///
/// The network can lose one query; it loses two in a row once in thousands of times.
const MAX_UNANSWERED: u32 = 2;

/// How long an engine must have been silent to count as lost if requests that run at
/// most once may run there.
///
/// A working engine may be silent for about a second and go on. Taking its replica apart
/// cuts off such requests, while repeatable ones go on elsewhere.
const MAX_SILENCE: Duration = Duration::from_millis(2_000);

/// How long a dead engine is still reported after its entry was removed, since
/// other nodes read the feed less often.
const DEAD_RETENTION: Duration = Duration::from_secs(4);

/// The fraction of engines with unanswered queries above which the planner counts as isolated.
const MAX_UNANSWERED_FRACTION: f64 = 0.5;

/// The query state of one engine.
#[derive(Debug, Clone)]
struct Probe {
    incarnation: u64,
    next: Moment,
    is_pending: bool,
    unanswered: u32,
    /// When the first of the unanswered queries was sent.
    silent_since: Option<Moment>,
    report: Option<(Moment, Report)>,
    /// When its entry last changed, and the entry.
    entry: (Moment, Server),
}

impl Probe {
    /// Returns whether the entry changed after the last report was requested, and
    /// denies the membership that was reported.
    ///
    /// The store may take an entry seconds late, so neither is known to be newer until
    /// the engine has reported again.
    fn is_contradicted(&self) -> bool {
        let Some((requested_at, report)) = &self.report else {
            return false;
        };
        let (changed_at, entry) = &self.entry;
        if requested_at >= changed_at {
            return false;
        }
        match (&report.engine.membership, &entry.engine.membership) {
            (None, None) => false,
            (Some(reported), Some(listed)) => {
                let is_same =
                    reported.replica == listed.replica && reported.generation == listed.generation;
                !is_same || (is_serving(reported) && reported.phase != listed.phase)
            }
            _ => true,
        }
    }
}

/// Returns whether a membership is that of a head with requests.
fn is_serving(member: &Membership) -> bool {
    matches!(member.phase, Phase::Open | Phase::Closing)
}

/// The query state of all engines.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    probes: HashMap<Instance, Probe>,
    /// Engines that were dead when their entries were removed, with their
    /// incarnations and the time of removal.
    removed_dead: Vec<(Instance, u64, Moment)>,
}

/// A query to send now.
#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) server: Server,
    pub(crate) sent_at: Moment,
    /// Whether the engine's replica is stalled for all nodes, so that one unanswered
    /// query is enough.
    pub(crate) is_suspect: bool,
}

impl Probes {
    /// Updates the probes to the current entries, and returns the queries to send now.
    pub(crate) fn due_queries(
        &mut self,
        servers: &HashMap<Instance, Server>,
        is_watched: impl Fn(&Instance) -> bool,
        suspects: &HashSet<Instance>,
        max_queries: usize,
        now: Moment,
    ) -> Vec<Query> {
        let removed_dead = &mut self.removed_dead;
        removed_dead.retain(|(_, _, at)| now.since(*at) < DEAD_RETENTION);
        self.probes.retain(|id, probe| {
            let server = servers.get(id);
            let is_kept = server.is_some_and(|server| server.incarnation == probe.incarnation);
            if !is_kept && probe.unanswered >= MAX_UNANSWERED {
                removed_dead.push((id.clone(), probe.incarnation, now));
            }
            is_kept
        });
        let mut due_now = Vec::new();
        for (id, server) in servers {
            let probe = self.probes.entry(id.clone()).or_insert_with(|| Probe {
                incarnation: server.incarnation,
                next: now,
                is_pending: false,
                unanswered: 0,
                silent_since: None,
                report: None,
                entry: (now, server.clone()),
            });
            if !probe.entry.1.is_same_state(server) {
                probe.entry = (now, server.clone());
            }
            let is_suspect = suspects.contains(id);
            let is_contradicted = probe.is_contradicted();
            let class = if is_suspect || is_contradicted {
                Class::Unclear
            } else if is_watched(id) {
                Class::Watched
            } else {
                Class::Steady
            };
            let interval = if class < Class::Steady {
                URGENT_INTERVAL
            } else if server.engine.membership.is_some() {
                MEMBER_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            let due = match &probe.report {
                // A due time that moved on with the clock would put it behind all others.
                Some(_) if is_contradicted && probe.unanswered == 0 => probe.entry.0,
                Some((requested_at, _)) if probe.unanswered == 0 => *requested_at + interval,
                _ => probe.next,
            };
            if now >= due && !probe.is_pending {
                due_now.push((class, due, id));
            }
        }
        let due_now = share_queries(due_now, max_queries);
        let query = |id: Instance| {
            let server = servers.get(&id)?.clone();
            self.probes.get_mut(&id)?.is_pending = true;
            Some(Query {
                server,
                sent_at: now,
                is_suspect: suspects.contains(&id),
            })
        };
        due_now.into_iter().filter_map(query).collect()
    }

    /// Records the result of a query.
    ///
    /// Returns `Some(true)` if the engine is now found dead, and `Some(false)` if it is
    /// found alive again.
    pub(crate) fn record_answer(
        &mut self,
        query: &Query,
        answer: Result<Report, Error>,
        now: Moment,
    ) -> Option<bool> {
        let probe = self.probes.get_mut(&query.server.id)?;
        if probe.incarnation != query.server.incarnation {
            return None;
        }
        probe.is_pending = false;
        let was_dead = probe.unanswered >= MAX_UNANSWERED;
        let is_own = |report: &Report| {
            report
                .incarnation
                .is_none_or(|incarnation| incarnation == probe.incarnation)
        };
        match answer {
            Ok(report) if is_own(&report) => {
                probe.unanswered = 0;
                probe.silent_since = None;
                probe.report = Some((query.sent_at, report));
            }
            _ => {
                let before = if query.is_suspect {
                    probe.unanswered.max(MAX_UNANSWERED - 1)
                } else {
                    probe.unanswered
                };
                probe.unanswered = before + 1;
                probe.silent_since.get_or_insert(query.sent_at);
                probe.next = now + RETRY_DELAY;
            }
        }
        let is_dead = probe.unanswered >= MAX_UNANSWERED;
        (was_dead != is_dead).then_some(is_dead)
    }

    /// Returns whether so many engines do not answer that this node is likely isolated.
    pub(crate) fn is_isolated(&self) -> bool {
        let unanswered = self.probes.values().filter(|p| p.unanswered > 0).count();
        unanswered > 2 && unanswered as f64 > self.probes.len() as f64 * MAX_UNANSWERED_FRACTION
    }

    /// Returns the dead engines, with their incarnations.
    pub(crate) fn dead_engines(&self) -> Vec<(Instance, u64)> {
        let is_dead = |probe: &Probe| probe.unanswered >= MAX_UNANSWERED;
        let dead = self.probes.iter().filter(|(_, probe)| is_dead(probe));
        let removed_dead = self
            .removed_dead
            .iter()
            .map(|(id, incarnation, _)| (id.clone(), *incarnation));
        dead.map(|(id, probe)| (id.clone(), probe.incarnation))
            .chain(removed_dead)
            .collect()
    }

    /// Returns whether an engine reports the same replica membership as its last entry.
    ///
    /// An engine that was not queried yet counts as a member.
    pub(crate) fn is_member(&self, server: &Server) -> bool {
        let probe = self.probes.get(&server.id);
        let Some(probe) = probe.filter(|p| p.incarnation == server.incarnation) else {
            return true;
        };
        let Some((_, report)) = &probe.report else {
            return probe.unanswered < MAX_UNANSWERED;
        };
        let key = |engine: &site::server::EngineState| {
            let member = engine.membership.as_ref();
            member.map(|m| (m.replica.clone(), m.generation))
        };
        probe.unanswered < MAX_UNANSWERED && key(&report.engine) == key(&server.engine)
    }

    /// Returns the planner's view of an engine: its entry, or its report where that is
    /// newer or names a replica that the entry denies.
    ///
    /// With `has_unrepeatable` work at its service, a silent engine counts as alive until it
    /// has been silent for [`MAX_SILENCE`]; it gets no new requests meanwhile.
    pub(crate) fn engine(
        &self,
        server: &Server,
        is_in_service: bool,
        has_unrepeatable: bool,
        now: Moment,
    ) -> Option<form::Engine> {
        let probe = self.probes.get(&server.id)?;
        let is_confirmed = !probe.is_contradicted();
        let is_silent = probe.unanswered >= MAX_UNANSWERED;
        let silence = probe.silent_since.map(|since| now.since(since));
        let is_lost = is_silent
            && (!has_unrepeatable || silence.is_some_and(|silence| silence >= MAX_SILENCE));
        let mut engine = form::Engine {
            server: server.clone(),
            is_alive: !is_lost,
            has_entry: true,
            is_in_service,
            is_busy: false,
            sequence: None,
            slowdown: 1.0,
            report_requested_at: probe.entry.0,
            is_confirmed,
            staging: None,
        };
        let Some((requested_at, report)) = &probe.report else {
            return Some(engine);
        };
        engine.slowdown = report.slowdown;
        engine.is_busy = report.is_busy;
        engine.sequence = Some(report.sequence);
        if *requested_at >= probe.entry.0 {
            engine.report_requested_at = *requested_at;
            let fabric = engine.server.engine.fabric.clone();
            engine.server.engine = report.engine.clone();
            if engine.server.engine.fabric.is_none() {
                engine.server.engine.fabric = fabric;
            }
        } else if !is_confirmed {
            engine.report_requested_at = *requested_at;
            let state = &mut engine.server.engine;
            let reported = &report.engine.membership;
            if state.membership.is_none() || reported.as_ref().is_some_and(is_serving) {
                state.membership.clone_from(reported);
                state.loaded_models.clone_from(&report.engine.loaded_models);
            }
        }
        Some(engine)
    }
}

/// Picks the engines to query: of each class the most overdue ones, in equal shares.
fn share_queries(mut due: Vec<(Class, Moment, &Instance)>, max_queries: usize) -> Vec<Instance> {
    due.sort();
    let share = max_queries / Class::COUNT;
    let mut taken = [0; Class::COUNT];
    let (granted, rest): (Vec<_>, Vec<_>) = due.into_iter().partition(|(class, _, _)| {
        let count = &mut taken[*class as usize];
        *count += 1;
        *count <= share
    });
    let left = max_queries - granted.len();
    let chosen = granted.into_iter().chain(rest.into_iter().take(left));
    chosen.map(|(_, _, id)| id.clone()).collect()
}

#[cfg(test)]
mod tests;
