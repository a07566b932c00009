//! What the planner asks engines, and which of them it finds dead.

use clock::Moment;
use name::Instance;
use site::{Server, feed::Error, server::Report};
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// The time between two questions to a member of a replica.
///
/// It bounds how long a lost member goes unnoticed, and each question is priced.
const STEP: Duration = Duration::from_millis(600);

/// The same for an engine that is a member of nothing.
const IDLE_STEP: Duration = Duration::from_millis(2_000);

/// The same for an engine that an order changes.
const WATCHED_STEP: Duration = Duration::from_millis(150);

/// The most questions of one step of the planner, so that it neither opens a
/// thousand connections at once nor spends its processor on them. With more
/// engines than can be asked in time, those that matter most go first, and lost
/// members are noticed by their replicas' silence.
const MAX_QUESTIONS: usize = 60;

/// The most of them for engines in transition and members of silent replicas.
const MAX_FIRST: usize = 40;

/// The pause before a question that had no answer is asked again.
const AGAIN: Duration = Duration::from_millis(100);

/// The questions in a row without an answer after which an engine counts as dead.
///
/// One can be lost on the way; two are lost once in thousands of times.
const MAX_UNANSWERED: u32 = 2;

/// How long a dead engine is still named after its entry went, since other
/// nodes read the feed less often.
const BURIED_FOR: Duration = Duration::from_secs(4);

/// The part of all engines that may be silent before the planner thinks that
/// it is itself cut off.
const CUT_OFF_PART: f64 = 0.5;

/// What is known of one engine from questions.
#[derive(Debug, Clone)]
struct Probe {
    born: u64,
    next: Moment,
    is_asking: bool,
    unanswered: u32,
    report: Option<(Moment, Report)>,
    /// When its entry last changed, and how it read.
    entry: (Moment, Server),
}

/// What is known of all engines from questions.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    probes: HashMap<Instance, Probe>,
    /// Engines that were dead when their entries went, and when those went.
    buried: Vec<(Instance, u64, Moment)>,
}

/// A question to ask now.
#[derive(Debug, Clone)]
pub(crate) struct Question {
    pub(crate) server: Server,
    pub(crate) asked: Moment,
    /// Whether the engine's replica answers nobody, so that one question without
    /// an answer is enough.
    pub(crate) is_suspect: bool,
}

impl Probes {
    /// Takes over the present entries, and returns what to ask now.
    pub(crate) fn due(
        &mut self,
        servers: &HashMap<Instance, Server>,
        is_watched: impl Fn(&Instance) -> bool,
        suspects: &HashSet<Instance>,
        now: Moment,
    ) -> Vec<Question> {
        let buried = &mut self.buried;
        buried.retain(|(_, _, at)| now.since(*at) < BURIED_FOR);
        self.probes.retain(|id, probe| {
            let server = servers.get(id);
            let is_kept = server.is_some_and(|server| server.incarnation == probe.born);
            if !is_kept && probe.unanswered >= MAX_UNANSWERED {
                buried.push((id.clone(), probe.born, now));
            }
            is_kept
        });
        let mut due_now = Vec::new();
        for (id, server) in servers {
            let probe = self.probes.entry(id.clone()).or_insert_with(|| Probe {
                born: server.incarnation,
                next: now,
                is_asking: false,
                unanswered: 0,
                report: None,
                entry: (now, server.clone()),
            });
            if probe.entry.1 != *server {
                probe.entry = (now, server.clone());
            }
            let is_suspect = suspects.contains(id);
            let is_first = is_suspect || is_watched(id);
            let step = if is_first {
                WATCHED_STEP
            } else if server.engine.membership.is_some() {
                STEP
            } else {
                IDLE_STEP
            };
            let due = match &probe.report {
                Some((asked, _)) if probe.unanswered == 0 => *asked + step,
                _ => probe.next,
            };
            if now >= due && !probe.is_asking {
                due_now.push((!is_first, due, id));
            }
        }
        // Those that are overdue most go first; without a part of their own, engines
        // in transition, which are asked more often, would leave none for others.
        due_now.sort();
        let (first, others): (Vec<_>, Vec<_>) =
            due_now.into_iter().partition(|(is_other, _, _)| !is_other);
        let first = first.into_iter().take(MAX_FIRST);
        let due_now: Vec<Instance> = first
            .chain(others)
            .take(MAX_QUESTIONS)
            .map(|(_, _, id)| id.clone())
            .collect();
        let question = |id: Instance| {
            let server = servers.get(&id)?.clone();
            self.probes.get_mut(&id)?.is_asking = true;
            Some(Question {
                server,
                asked: now,
                is_suspect: suspects.contains(&id),
            })
        };
        due_now.into_iter().filter_map(question).collect()
    }

    /// Takes an answer in; returns whether the engine was found dead or alive by it.
    pub(crate) fn answered(
        &mut self,
        question: &Question,
        answer: Result<Report, Error>,
        now: Moment,
    ) -> Option<bool> {
        let probe = self.probes.get_mut(&question.server.id)?;
        if probe.born != question.server.incarnation {
            return None;
        }
        probe.is_asking = false;
        let was_dead = probe.unanswered >= MAX_UNANSWERED;
        let is_own = |report: &Report| report.incarnation.is_none_or(|born| born == probe.born);
        match answer {
            Ok(report) if is_own(&report) => {
                probe.unanswered = 0;
                probe.report = Some((question.asked, report));
            }
            _ if question.is_suspect => {
                probe.unanswered = probe.unanswered.max(MAX_UNANSWERED - 1) + 1;
                probe.next = now + AGAIN;
            }
            _ => {
                probe.unanswered += 1;
                probe.next = now + AGAIN;
            }
        }
        let is_dead = probe.unanswered >= MAX_UNANSWERED;
        (was_dead != is_dead).then_some(is_dead)
    }

    /// Returns whether so many engines are silent that the fault is here.
    pub(crate) fn is_cut_off(&self) -> bool {
        let silent = self.probes.values().filter(|p| p.unanswered > 0).count();
        silent > 2 && silent as f64 > self.probes.len() as f64 * CUT_OFF_PART
    }

    /// Returns the engines that are dead, each in one life.
    pub(crate) fn dead(&self) -> Vec<(Instance, u64)> {
        let is_dead = |probe: &Probe| probe.unanswered >= MAX_UNANSWERED;
        let dead = self.probes.iter().filter(|(_, probe)| is_dead(probe));
        let buried = self.buried.iter().map(|(id, born, _)| (id.clone(), *born));
        dead.map(|(id, probe)| (id.clone(), probe.born))
            .chain(buried)
            .collect()
    }

    /// Returns whether an engine answers and says that it is a member of the replica
    /// of which its last entry said so; before it was asked, it is thought to be.
    pub(crate) fn is_member(&self, server: &Server) -> bool {
        let probe = self.probes.get(&server.id);
        let Some(probe) = probe.filter(|p| p.born == server.incarnation) else {
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

    /// Returns an engine as the planner sees it: its entry, and its report where
    /// that is newer.
    pub(crate) fn engine(&self, server: &Server, is_allowed: bool) -> Option<form::Engine> {
        let probe = self.probes.get(&server.id)?;
        let mut engine = form::Engine {
            server: server.clone(),
            is_alive: probe.unanswered < MAX_UNANSWERED,
            has_entry: true,
            is_in_service: is_allowed,
            is_busy: false,
            sequence: None,
            slowdown: 1.0,
            report_requested_at: probe.entry.0,
            staging: None,
        };
        if let Some((asked, report)) = &probe.report {
            engine.slowdown = report.slowdown;
            engine.is_busy = report.is_busy;
            engine.sequence = Some(report.sequence);
            engine.report_requested_at = engine.report_requested_at.max(*asked);
            if *asked >= probe.entry.0 {
                let fabric = engine.server.engine.fabric.clone();
                engine.server.engine = report.engine.clone();
                if engine.server.engine.fabric.is_none() {
                    engine.server.engine.fabric = fabric;
                }
            }
        }
        Some(engine)
    }
}

#[cfg(test)]
mod tests;
