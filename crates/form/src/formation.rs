//! Replicas that the planner has asked for and not yet seen open.

use crate::Engine;
use clock::Moment;
use name::{Instance, Model, Replica};
use site::{
    order::Command,
    server::{Membership, Phase},
};
use std::{collections::HashMap, time::Duration};

/// How long a formation may take beyond its slowest join.
///
/// Orders whose answers are lost are sent again within a second each.
const FORMATION_GRACE: Duration = Duration::from_secs(4);

/// A replica that is being formed.
#[derive(Debug, Clone)]
pub(crate) struct Formation {
    pub(crate) replica: Replica,
    pub(crate) generation: u64,
    pub(crate) model: Model,
    /// The members by rank.
    pub(crate) members: Vec<Instance>,
    /// When it is given up.
    pub(crate) deadline: Moment,
    /// Whether any member loads weights from the weight store.
    pub(crate) load_count: usize,
}

/// What a formation needs next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Orders to members, possibly none for now.
    Orders(Vec<(Instance, Command)>),
    /// The head is open.
    Done,
    /// It cannot be finished.
    Failed,
}

/// How far the heads are that answer, by replica and generation.
pub(crate) type Heads<'a> = HashMap<(&'a Replica, u64), Phase>;

/// Returns the heads that answer.
pub(crate) fn heads(engines: &HashMap<Instance, Engine>) -> Heads<'_> {
    let alive = engines.values().filter(|e| e.is_alive);
    let heads = alive.filter_map(Engine::membership).filter(|m| m.rank == 0);
    heads
        .map(|m| ((&m.replica, m.generation), m.phase))
        .collect()
}

/// Returns whether an engine is a member of another replica that it must not be
/// taken from yet: its head serves, or is gone, so that nothing says whether it does.
fn is_held_by_head(engine: &Engine, heads: &Heads<'_>) -> bool {
    let Some(member) = engine.membership() else {
        return false;
    };
    let head = heads.get(&(&member.replica, member.generation));
    head.is_none_or(|phase| matches!(phase, Phase::Open | Phase::Closing))
}

impl Formation {
    /// Returns a formation that begins.
    pub(crate) fn new(
        replica: Replica,
        generation: u64,
        model: Model,
        members: Vec<Instance>,
        longest: Duration,
        loads: usize,
        now: Moment,
    ) -> Self {
        Self {
            replica,
            generation,
            model,
            members,
            deadline: now + longest + FORMATION_GRACE,
            load_count: loads,
        }
    }

    /// Returns what it needs next.
    ///
    /// The head is told to open only after every member has reported itself
    /// ready in this generation, since no engine checks the others.
    pub(crate) fn next_step(
        &self,
        engines: &HashMap<Instance, Engine>,
        heads: &Heads<'_>,
        now: Moment,
    ) -> NextStep {
        if now > self.deadline {
            return NextStep::Failed;
        }
        let mut orders = Vec::new();
        let mut ready = 0;
        for (rank, id) in self.members.iter().enumerate() {
            let Some(engine) = engines.get(id).filter(|e| e.is_healthy()) else {
                return NextStep::Failed;
            };
            match engine.membership().filter(|m| self.has_membership(m)) {
                None if is_held_by_head(engine, heads) => {}
                None => orders.push((id.clone(), self.join_command())),
                Some(member) if member.rank != rank => return NextStep::Failed,
                Some(member) => match member.phase {
                    Phase::Joining => {}
                    Phase::Open => return NextStep::Done,
                    Phase::Ready => ready += 1,
                    Phase::Closing | Phase::Broken => return NextStep::Failed,
                },
            }
        }
        if ready == self.members.len() {
            orders.push((self.members[0].clone(), self.open_command()));
        }
        NextStep::Orders(orders)
    }

    /// Returns how many members still load weights.
    pub(crate) fn loading_members(&self, engines: &HashMap<Instance, Engine>) -> usize {
        if self.load_count == 0 {
            return 0;
        }
        let is_ready = |id: &&Instance| {
            let member = engines.get(*id).and_then(Engine::membership);
            member.is_some_and(|m| self.has_membership(m) && m.phase != Phase::Joining)
        };
        let joining = self.members.len() - self.members.iter().filter(is_ready).count();
        joining.min(self.load_count)
    }

    /// Returns whether a membership is one in this formation.
    pub(crate) fn has_membership(&self, member: &Membership) -> bool {
        member.replica == self.replica && member.generation == self.generation
    }

    fn join_command(&self) -> Command {
        Command::Join {
            replica: self.replica.clone(),
            generation: self.generation,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }

    fn open_command(&self) -> Command {
        Command::Open {
            replica: self.replica.clone(),
            generation: self.generation,
        }
    }
}
