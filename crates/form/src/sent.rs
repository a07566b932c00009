//! Orders that got no response and that engines may still carry out.
//!
//! An order that gets no response may be carried out many seconds later, after newer ones.
//! What excludes it is the sequence number that it expects: once the engine has accepted
//! another order, it refuses it. So nothing here ends after a time, and nothing depends on
//! when an outcome becomes known, which the planner's node may be too slow to handle.

use crate::Engine;
use clock::Moment;
use name::Replica;
use site::order::Command;

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
