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
const TIMES_TOLD: u32 = 2;

/// The most changes in one datagram over a slow link.
pub(crate) const MAX_NEWS_SLOW: usize = 16;

/// The same over a fast one: some seven kilobytes.
pub(crate) const MAX_NEWS: usize = 64;

/// What the planner says that it has read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Told {
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
pub(crate) struct Echo {
    /// The node's life.
    pub(crate) life: u64,
    /// The last datagram before the read of the operators' feed.
    pub(crate) operators: u64,
    /// The last datagram before the read of the servers' feed.
    pub(crate) servers: u64,
    /// The last datagram that told of the node's load.
    pub(crate) told: u64,
}

impl Echo {
    /// Forgets what was heard of an earlier life.
    pub(crate) fn note_life(&mut self, life: u64) {
        if self.life != life {
            *self = Self {
                life,
                ..Self::default()
            };
        }
    }
}

/// Changes of servers' entries, kept for as long as other nodes may lack them.
#[derive(Debug, Clone, Default)]
pub(crate) struct News {
    from: u64,
    to: u64,
    changes: Vec<Item>,
}

/// One change to be told.
#[derive(Debug, Clone)]
struct Item {
    /// The offset behind the read that brought it.
    offset: u64,
    change: Change,
    /// How many datagrams have told of it.
    times: u32,
}

impl News {
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
        self.changes.retain(|item| item.change.id() != change.id());
        self.changes.push(Item {
            offset,
            change,
            times: 0,
        });
    }

    /// Notes how far the feed has been read.
    pub(crate) fn read(&mut self, offset: u64) {
        self.to = offset;
    }

    /// Returns what the next datagram tells, and forgets what has been told
    /// often enough.
    pub(crate) fn tell(&mut self, operators: u64, most: usize) -> Told {
        let excess = self.changes.len().saturating_sub(most);
        let mut from = self.from;
        let mut index = 0;
        self.changes.retain_mut(|item| {
            index += 1;
            item.times += 1;
            let is_told = index > excess && item.times <= TIMES_TOLD;
            if !is_told {
                from = from.max(item.offset);
            }
            is_told
        });
        self.from = from;
        let changes = self.changes.iter();
        Told {
            operators,
            from,
            to: self.to,
            changes: changes.map(|i| (i.offset, i.change.clone())).collect(),
        }
    }
}

/// Takes over what the planner has read; returns whether a server's entry
/// changed by it.
pub(crate) fn take_over(
    log: &Logger,
    tables: &mut Tables,
    told: Told,
    echo: Option<Echo>,
    now: Moment,
) -> bool {
    let mut is_changed = false;
    let Some(known) = tables.servers_read else {
        // Without a first listing, changes say nothing of the rest.
        return false;
    };
    for (offset, change) in told.changes {
        is_changed |= follow::hear(log, tables, offset, change);
    }
    let servers = echo.and_then(|echo| tables.peers.sent_at(echo.servers));
    let operators = echo.and_then(|echo| tables.peers.sent_at(echo.operators));
    let is_complete = told.from <= known;
    if is_complete {
        let read = known.max(told.to);
        tables.servers_read = Some(read);
        tables.servers_heard.retain(|_, heard| *heard > read);
        tables.servers_confirmed = tables.servers_confirmed.max(servers);
    }
    tables.is_behind.servers = !is_complete;
    let is_behind = tables
        .operators_read
        .is_none_or(|read| read < told.operators);
    if !is_behind {
        tables.confirmed = tables.confirmed.max(operators);
    }
    tables.is_behind.operators = is_behind;
    tables.peers.vouched = Some(now);
    is_changed
}

/// Makes the planner's word to the other nodes, if this node plans.
pub(crate) fn tell(tables: &mut Tables, has_slow_link: bool) -> Option<Told> {
    tables.peers.own_token?;
    let operators = tables.operators_read?;
    let most = if has_slow_link {
        MAX_NEWS_SLOW
    } else {
        MAX_NEWS
    };
    Some(tables.peers.own_news.tell(operators, most))
}

#[cfg(test)]
mod tests;
