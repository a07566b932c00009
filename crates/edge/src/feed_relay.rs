//! What the planner has read, told to the other nodes, so that they need not
//! read it themselves.
//!
//! The planner tells how far it has read both feeds and what it read of the
//! servers' lately. With it goes, for each node, the number of the last datagram
//! that the planner had heard from it when the read *began*. The node knows when
//! it sent that one, by its own clock: what it knows is confirmed as of then.

use crate::{follow, state::Tables};
use clock::Moment;
use serde::{Deserialize, Serialize};
use site::server::Change;
use slog::Logger;

/// How many datagrams tell of a change of an entry.
///
/// A node that missed all of them reads the feed itself. A planner tells some
/// twenty changes of about a hundred bytes in a second to each node; more would
/// fill the link of a small machine.
const MAX_SENDS_PER_CHANGE: u32 = 2;

/// The most changes in one datagram over a slow link.
pub(crate) const MAX_CHANGES_SLOW_LINK: usize = 16;

/// The same over a fast one: some seven kilobytes.
pub(crate) const MAX_CHANGES: usize = 64;

/// What the planner says that it has read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FeedUpdate {
    /// How far it has read the operators' feed.
    pub(crate) operators: u64,
    /// The offset of the servers' feed from which on `changes` is complete.
    pub(crate) from: u64,
    /// How far it has read the servers' feed.
    pub(crate) to: u64,
    /// The newest change of each entry, with the offset behind the read that
    /// brought it.
    pub(crate) changes: Vec<(u64, Change)>,
}

/// Which datagrams of a node the planner had heard when it began to read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ack {
    /// The node's life.
    pub(crate) incarnation: u64,
    /// The last datagram before the read of the operators' feed.
    pub(crate) operators: u64,
    /// The last datagram before the read of the servers' feed.
    pub(crate) servers: u64,
    /// The last datagram that told of the node's load.
    pub(crate) load: u64,
}

impl Ack {
    /// Forgets what was heard of an earlier life.
    pub(crate) fn set_incarnation(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
    }
}

/// Changes of servers' entries, kept for as long as other nodes may lack them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backlog {
    from: u64,
    to: u64,
    changes: Vec<PendingChange>,
}

/// One change to be told.
#[derive(Debug, Clone)]
struct PendingChange {
    /// The offset behind the read that brought it.
    offset: u64,
    change: Change,
    /// How many datagrams have told of it.
    sends: u32,
}

impl Backlog {
    /// Returns news that begin at an offset of the feed.
    pub(crate) fn starting_at(offset: u64) -> Self {
        Self {
            from: offset,
            to: offset,
            changes: Vec::new(),
        }
    }

    /// Adds a change that was read before an offset of the feed.
    pub(crate) fn add(&mut self, offset: u64, change: Change) {
        self.changes
            .retain(|pending| pending.change.id() != change.id());
        self.changes.push(PendingChange {
            offset,
            change,
            sends: 0,
        });
    }

    /// Notes how far the feed has been read.
    pub(crate) fn set_end(&mut self, offset: u64) {
        self.to = offset;
    }

    /// Returns what the next datagram tells, and forgets what has been told
    /// often enough.
    pub(crate) fn next_update(&mut self, operators: u64, max_changes: usize) -> FeedUpdate {
        let excess = self.changes.len().saturating_sub(max_changes);
        let mut from = self.from;
        let mut index = 0;
        self.changes.retain_mut(|pending| {
            index += 1;
            pending.sends += 1;
            let is_sent = index > excess && pending.sends <= MAX_SENDS_PER_CHANGE;
            if !is_sent {
                from = from.max(pending.offset);
            }
            is_sent
        });
        self.from = from;
        let changes = self.changes.iter();
        FeedUpdate {
            operators,
            from,
            to: self.to,
            changes: changes.map(|i| (i.offset, i.change.clone())).collect(),
        }
    }
}

/// Takes over what the planner has read; returns whether a server's entry
/// changed by it.
pub(crate) fn apply_update(
    log: &Logger,
    tables: &mut Tables,
    update: FeedUpdate,
    ack: Option<Ack>,
    now: Moment,
) -> bool {
    let mut is_changed = false;
    let Some(known) = tables.servers_offset else {
        // Without a first listing, changes say nothing of the rest.
        return false;
    };
    for (offset, change) in update.changes {
        is_changed |= follow::apply_relayed_change(log, tables, offset, change);
    }
    let servers = ack.and_then(|ack| tables.peers.sent_at(ack.servers));
    let operators = ack.and_then(|ack| tables.peers.sent_at(ack.operators));
    let is_complete = update.from <= known;
    if is_complete {
        let read = known.max(update.to);
        tables.servers_offset = Some(read);
        tables.relayed_offsets.retain(|_, relayed| *relayed > read);
        tables.servers_confirmed = tables.servers_confirmed.max(servers);
    }
    tables.is_behind.servers = !is_complete;
    let is_behind = tables
        .operators_offset
        .is_none_or(|read| read < update.operators);
    if !is_behind {
        tables.config_confirmed = tables.config_confirmed.max(operators);
    }
    tables.is_behind.operators = is_behind;
    tables.peers.last_update = Some(now);
    is_changed
}

/// Makes the planner's word to the other nodes, if this node plans.
pub(crate) fn next_update(tables: &mut Tables, has_slow_link: bool) -> Option<FeedUpdate> {
    tables.peers.own_token?;
    let operators = tables.operators_offset?;
    let max_changes = if has_slow_link {
        MAX_CHANGES_SLOW_LINK
    } else {
        MAX_CHANGES
    };
    Some(tables.peers.backlog.next_update(operators, max_changes))
}

#[cfg(test)]
mod tests;
