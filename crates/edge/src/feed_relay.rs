//! The planner's feed reads, relayed to the other nodes so that they need not
//! poll the store.
//!
//! A planner's heartbeat carries the offsets up to which it has read both feeds, and
//! its recent changes of servers' entries. Each recipient also gets the sequence
//! number of the last heartbeat that the planner had received from it when the read
//! *began*. The recipient sent that heartbeat at a known time of its own clock, so
//! its view is confirmed as of that time, and no clocks are compared.

use crate::{era, follow, state::Tables};
use clock::Moment;
use serde::{Deserialize, Serialize};
use site::{feed, server::Change};
use slog::Logger;

/// The number of heartbeats that carry a change of an entry.
///
/// A node that missed all of them reads the feed itself. A planner sends some
/// twenty changes of about a hundred bytes per second to each node; more would
/// saturate the link of a small machine.
const MAX_SENDS_PER_CHANGE: u32 = 2;

/// The maximum number of changes in one heartbeat over a slow link.
pub(crate) const MAX_CHANGES_SLOW_LINK: usize = 16;

/// The maximum number of changes in one heartbeat over a fast link, some seven
/// kilobytes.
pub(crate) const MAX_CHANGES: usize = 64;

/// The planner's progress in both feeds, with recent changes of servers' entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FeedUpdate {
    /// The position up to which the planner has read the operators' feed.
    pub(crate) operators: u64,
    /// The position of the servers' feed from which `changes` is complete.
    pub(crate) from: u64,
    /// The position up to which the planner has read the servers' feed.
    pub(crate) to: u64,
    /// The newest change of each entry, with the end offset of the read that
    /// returned it.
    pub(crate) changes: Vec<(u64, Change)>,
}

impl FeedUpdate {
    /// Returns the number of the entry in each change.
    ///
    /// They are sent apart, where earlier versions of the program read nothing.
    pub(crate) fn sequences(&self) -> Vec<Option<u64>> {
        let entries = self.changes.iter().map(|(_, change)| change.entry());
        entries.map(|entry| entry?.sequence).collect()
    }

    /// Sets the numbers of the entries, in the order of the changes.
    pub(crate) fn set_sequences(&mut self, sequences: Vec<Option<u64>>) {
        for ((_, change), sequence) in self.changes.iter_mut().zip(sequences) {
            if let Change::Updated(server) = change {
                server.sequence = sequence;
            }
        }
    }
}

/// The heartbeats of one node that the planner had received when its reads began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ack {
    /// The incarnation of the node that sent them.
    pub(crate) incarnation: u64,
    /// The sequence number of the last one before the read of the operators' feed.
    pub(crate) operators: u64,
    /// The sequence number of the last one before the read of the servers' feed.
    pub(crate) servers: u64,
    /// The sequence number of the last one that reported the node's load.
    pub(crate) load: u64,
}

impl Ack {
    /// Resets the acknowledgment if the node's incarnation has changed.
    pub(crate) fn set_incarnation(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
    }
}

/// Changes of servers' entries that still have to be sent to other nodes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backlog {
    from: u64,
    to: u64,
    changes: Vec<PendingChange>,
}

/// A change that is still to be sent.
#[derive(Debug, Clone)]
struct PendingChange {
    /// The end offset of the read that returned it.
    offset: u64,
    change: Change,
    /// The number of heartbeats that have carried it.
    sends: u32,
}

impl Backlog {
    /// Returns an empty backlog that starts at an offset of the feed.
    pub(crate) fn starting_at(offset: u64) -> Self {
        Self {
            from: offset,
            to: offset,
            changes: Vec::new(),
        }
    }

    /// Adds a change, with the end offset of its read.
    ///
    /// It replaces an earlier change of the same entry.
    pub(crate) fn add(&mut self, offset: u64, change: Change) {
        self.changes
            .retain(|pending| pending.change.id() != change.id());
        self.changes.push(PendingChange {
            offset,
            change,
            sends: 0,
        });
    }

    /// Sets the offset up to which the feed has been read.
    pub(crate) fn set_end(&mut self, offset: u64) {
        self.to = offset;
    }

    /// Returns the content of the next heartbeat, and drops changes that have been
    /// sent often enough.
    pub(crate) fn next_update(&mut self, operators: u64, max_changes: usize) -> FeedUpdate {
        let excess = self.changes.len().saturating_sub(max_changes);
        let mut from = self.from;
        let mut index = 0;
        self.changes.retain_mut(|pending| {
            index += 1;
            pending.sends += 1;
            let is_kept = index > excess && pending.sends <= MAX_SENDS_PER_CHANGE;
            if !is_kept {
                from = from.max(pending.offset);
            }
            is_kept
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

/// Applies the planner's update to the tables.
///
/// Returns whether a server's entry changed.
pub(crate) fn apply_update(
    log: &Logger,
    tables: &mut Tables,
    update: FeedUpdate,
    ack: Option<Ack>,
    now: Moment,
) -> bool {
    let mut is_changed = false;
    // A planner that has not seen the present era confirms nothing.
    let is_earlier = |position| tables.era.compare(position) == era::Order::Earlier;
    if is_earlier(update.operators) || is_earlier(update.to) {
        return false;
    }
    let Some(known) = tables.servers_offset else {
        // Changes can only be applied on top of a complete listing.
        return false;
    };
    for (offset, change) in update.changes {
        is_changed |= follow::apply_relayed_change(log, tables, offset, change, now);
    }
    let servers = ack.and_then(|ack| tables.peers.sent_at(ack.servers));
    let operators = ack.and_then(|ack| tables.peers.sent_at(ack.operators));
    // A view of an earlier era has to be read anew.
    let is_complete = update.from <= known && feed::era(update.to) == feed::era(known);
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
    if !is_behind && tables.era.confirms_config(now) {
        tables.config_confirmed = tables.config_confirmed.max(operators);
    }
    tables.is_behind.operators = is_behind;
    tables.peers.last_update = Some(now);
    is_changed
}

/// Returns the update for the other nodes, if this node is the planner.
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
