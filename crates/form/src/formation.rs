//! Replicas whose formation the planner has ordered and that are not yet reported
//! open.

use crate::Engine;
use clock::Moment;
use name::{Instance, Model, Replica};
use site::{
    order::Command,
    server::{Membership, Phase},
};
use std::{collections::HashMap, time::Duration};

/// The time that a formation may take beyond its slowest join.
///
/// Orders whose responses are lost are sent again within a second each.
const FORMATION_GRACE: Duration = Duration::from_secs(4);

/// A replica that is being formed.
#[derive(Debug, Clone)]
pub(crate) struct Formation {
    pub(crate) replica: Replica,
    pub(crate) generation: u64,
    pub(crate) model: Model,
    /// The members by rank.
    pub(crate) members: Vec<Instance>,
    /// When the formation is abandoned.
    pub(crate) deadline: Moment,
    /// The number of members that load weights from the weight store.
    pub(crate) load_count: usize,
}

/// The next step of a formation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Send these orders to members; the list may be empty.
    Orders(Vec<(Instance, Command)>),
    /// The head is open, so the formation is complete.
    Done,
    /// The formation cannot be completed.
    Failed,
}

/// Whether the responding heads serve or may be about to, by replica and generation.
pub(crate) type Heads<'a> = HashMap<(&'a Replica, u64), bool>;

/// Returns whether each responding head serves, or may be opened by an order that is
/// not reported yet.
pub(crate) fn heads(
    engines: &HashMap<Instance, Engine>,
    may_open: impl Fn(&Engine) -> bool,
) -> Heads<'_> {
    let alive = engines.values().filter(|e| e.is_alive);
    let heads = alive.filter_map(|e| e.membership().filter(|m| m.rank == 0).map(|m| (e, m)));
    heads
        .map(|(engine, member)| {
            let is_serving = match member.phase {
                Phase::Open | Phase::Closing => true,
                Phase::Joining | Phase::Ready => may_open(engine),
                Phase::Broken => false,
            };
            ((&member.replica, member.generation), is_serving)
        })
        .collect()
}

/// Returns whether an engine must not yet leave its present replica, because the head
/// of that replica may serve, or does not respond.
fn is_held_by_head(engine: &Engine, heads: &Heads<'_>) -> bool {
    let Some(member) = engine.membership() else {
        return false;
    };
    let is_serving = heads.get(&(&member.replica, member.generation));
    is_serving.copied().unwrap_or(true)
}

impl Formation {
    /// Returns a new formation whose slowest join takes `longest`.
    pub(crate) fn new(
        replica: Replica,
        generation: u64,
        model: Model,
        members: Vec<Instance>,
        longest_join: Duration,
        load_count: usize,
        now: Moment,
    ) -> Self {
        Self {
            replica,
            generation,
            model,
            members,
            deadline: now + longest_join + FORMATION_GRACE,
            load_count,
        }
    }

    /// Returns the next step of the formation.
    ///
    /// The head is ordered to open only after every member has reported itself ready
    /// in this generation, since no engine checks the others.
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
                None if !engine.is_confirmed || is_held_by_head(engine, heads) => {}
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

    /// Returns the number of members that still load weights.
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

    /// Returns whether a membership belongs to this formation.
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
