//! Orders that got no response and that engines may still carry out.
//!
//! An order that gets no response may be carried out many seconds later, after newer ones.
//! What excludes it is the sequence number that it expects: once the engine has accepted
//! another order, it refuses it. So the orders to a known engine do not expire, and they are
//! recorded when they are sent: a slow node learns an outcome long after the call has ended.
//! The planner forgets those to an engine whose state has not been known for a minute.

use crate::Engine;
use clock::Moment;
use name::Replica;
use site::{
    order::Command,
    server::{Membership, Phase},
};

/// The orders to an engine that expect the same sequence number.
#[derive(Debug, Clone)]
pub(crate) struct SentOrders {
    sequence: Option<u64>,
    commands: Vec<Command>,
    /// When the last of them was sent.
    pub(crate) sent_at: Moment,
}

impl SentOrders {
    /// Returns no orders, which expect a sequence number.
    pub(crate) fn new(sequence: Option<u64>, now: Moment) -> Self {
        Self {
            sequence,
            commands: Vec::new(),
            sent_at: now,
        }
    }

    /// Adds an order; those that expect another number are refused from now on.
    pub(crate) fn add(&mut self, command: &Command, sequence: Option<u64>, now: Moment) {
        if self.sequence != sequence {
            self.commands.clear();
            self.sequence = sequence;
        }
        if !self.commands.contains(command) {
            self.commands.push(command.clone());
        }
        self.sent_at = now;
    }

    /// Returns whether the engine may still carry out the orders.
    pub(crate) fn may_take_effect(&self, engine: &Engine) -> bool {
        engine.sequence == self.sequence
    }

    /// Returns whether an order takes a member out of a replica.
    pub(crate) fn takes_from(&self, replica: &Replica) -> bool {
        self.commands.iter().any(|command| match command {
            Command::Join { replica: other, .. } => other != replica,
            Command::Leave { replica: left, .. } => left == replica,
            Command::Open { .. } | Command::Close { .. } | Command::Stage { .. } => false,
        })
    }
}

/// The orders to a head to open a replica, in which it may serve from then on.
#[derive(Debug, Clone)]
pub(crate) struct SentOpen {
    replica: Replica,
    generation: u64,
    /// The sequence number that the first order expects.
    first: Option<u64>,
    /// The lowest sequence number at which a ready head has been closed again.
    closed_from: Option<u64>,
    /// When the last order was sent.
    pub(crate) sent_at: Moment,
    /// When the engine was first known to have accepted an order after `first`.
    accepted_at: Option<Moment>,
}

impl SentOpen {
    /// Returns an order to open, after an earlier one to the same engine if there was any.
    pub(crate) fn again(
        earlier: Option<Self>,
        replica: &Replica,
        generation: u64,
        sequence: Option<u64>,
        now: Moment,
    ) -> Self {
        let earlier =
            earlier.filter(|open| open.replica == *replica && open.generation == generation);
        let (first, accepted_at) = match earlier {
            Some(open) => (open.first, open.accepted_at),
            None => (sequence, None),
        };
        Self {
            replica: replica.clone(),
            generation,
            first,
            closed_from: sequence.map(|sequence| sequence + 2),
            sent_at: now,
            accepted_at,
        }
    }

    /// Returns whether a membership is the one that the orders name.
    pub(crate) fn is_for(&self, member: &Membership) -> bool {
        member.replica == self.replica && member.generation == self.generation
    }

    /// Records that the head answered the last order that it was open or opening already.
    pub(crate) fn record_already_open(
        &mut self,
        replica: &Replica,
        generation: u64,
        sequence: Option<u64>,
    ) {
        let is_last = self.closed_from == sequence.map(|sequence| sequence + 2);
        if self.replica == *replica && self.generation == generation && is_last {
            self.closed_from = sequence.map(|sequence| sequence + 1);
        }
    }

    /// Returns when the head can have accepted an order at the latest, as far as known.
    pub(crate) fn last_possible_at(&self) -> Moment {
        self.accepted_at
            .map_or(self.sent_at, |at| at.max(self.sent_at))
    }

    /// Updates what is known of the orders by an engine's state; returns whether the head
    /// may serve now or later because of them.
    ///
    /// One that got no response may be carried out while the engine has accepted no other
    /// order, and a head that has accepted it reports for a while that it is ready. Once it
    /// has accepted another one after that, it has been closed.
    pub(crate) fn update(&mut self, engine: &Engine, now: Moment) -> bool {
        if engine.sequence > self.first {
            self.accepted_at.get_or_insert(now);
        }
        match engine.membership().filter(|member| self.is_for(member)) {
            Some(member) => {
                let is_before_open = matches!(member.phase, Phase::Joining | Phase::Ready);
                let accepted = engine.sequence.zip(self.closed_from);
                let is_closed = accepted.is_some_and(|(now, closed)| now >= closed);
                !is_before_open || !is_closed
            }
            None => !engine.is_confirmed || engine.report_requested_at <= self.sent_at,
        }
    }
}
