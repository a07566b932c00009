//! The return of the store from an older copy of itself.
//!
//! Each return begins a new era. What this system wrote since the copy is gone, and what
//! operators and servers wrote there is written again within some time. Until then a node
//! keeps what it has applied: the newest configuration, failure domains that are out of
//! service, servers that are leaving or whose entries were removed, and servers whose
//! entries are missing. It confirms no view to itself or to other nodes meanwhile.
//!
//! Positions and fencing tokens contain their era, so that those of a later era are higher.
//! The planner steps down, since its claim may be lost, and the next claim has a higher
//! token than any planner of an earlier era.

use crate::state::{Shared, Tables};
use clock::Moment;
use name::{Domain, Instance};
use site::{feed, server::Change};
use slog::info;
use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

/// The time within which operators and servers write again what the store has lost.
///
/// It is the time within which entries are back after an outage. A view that is not
/// confirmed for so long is still fresh enough to accept secrets.
const SETTLING_TIME: Duration = Duration::from_millis(2_000);

/// How long the removal of an entry is remembered, so that an older copy does not bring
/// it back. Copies are some seconds old.
const REMOVAL_MEMORY: Duration = Duration::from_secs(30);

/// The maximum number of removals that are remembered.
const MAX_REMOVALS: usize = 4_096;

/// The era that a node has seen, and what it keeps from before.
#[derive(Debug, Default)]
pub(crate) struct Era {
    /// The latest era; `None` before the first read.
    latest: Option<u64>,
    /// Until when operators and servers may write lost records again.
    settled_at: Option<Moment>,
    /// The failure domains that the store no longer lists as out of service.
    unconfirmed_take_outs: HashSet<Domain>,
    /// Whether the store's configuration is older than the one that this node has applied.
    has_older_config: bool,
    /// The incarnations whose entries were removed, and when.
    removed: HashMap<Instance, (u64, Moment)>,
}

/// How the era of a read compares with the one that the node has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// The read is of an earlier era.
    Earlier,
    /// The read is of the era that the node has seen, or its first read.
    Same,
    /// The read begins a new era for the node.
    New,
}

impl Era {
    /// Compares the era of a position with the one that the node has seen.
    pub(crate) fn compare(&self, position: u64) -> Order {
        match self.latest {
            Some(latest) if feed::era(position) < latest => Order::Earlier,
            Some(latest) if feed::era(position) > latest => Order::New,
            _ => Order::Same,
        }
    }

    /// Returns the era that the node has seen.
    pub(crate) fn latest(&self) -> u64 {
        self.latest.unwrap_or(0)
    }

    /// Returns whether lost records may still be written again.
    pub(crate) fn is_settling(&self, now: Moment) -> bool {
        self.settled_at.is_some_and(|at| now < at)
    }

    /// Returns whether a read of the store confirms the configuration in force.
    pub(crate) fn confirms_config(&self, now: Moment) -> bool {
        !self.is_settling(now) && !self.has_older_config
    }

    /// Records whether the store has returned with a configuration of a lower version than
    /// the node's.
    pub(crate) fn record_version(&mut self, stored: u64, known: u64) {
        self.has_older_config = self.settled_at.is_some() && stored < known;
    }

    /// Records the removal of an entry.
    fn record_removal(&mut self, id: &Instance, incarnation: u64, now: Moment) {
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMOVAL_MEMORY);
        if self.removed.len() < MAX_REMOVALS {
            self.removed.insert(id.clone(), (incarnation, now));
        }
    }

    /// Returns whether a change from an older copy would bring back a removed entry.
    pub(crate) fn is_outdated(&self, change: &Change, now: Moment) -> bool {
        let Change::Updated(server) = change else {
            return false;
        };
        let removed = self.removed.get(&server.id);
        removed.is_some_and(|(incarnation, at)| {
            *incarnation == server.incarnation && now.since(*at) < REMOVAL_MEMORY
        })
    }
}

impl Shared {
    /// Enters the era of a position, if it is new to this node.
    pub(crate) fn enter_era(&self, tables: &mut Tables, position: u64, now: Moment) -> Order {
        let order = tables.era.compare(position);
        let era = feed::era(position);
        if order == Order::Earlier {
            self.metrics.count("eras", "earlier reads");
            return order;
        }
        let before = tables.era.latest.replace(era);
        if order == Order::New {
            let settled_at = now + SETTLING_TIME;
            tables.era.settled_at = Some(settled_at);
            tables.defer_removals_until = tables.defer_removals_until.max(Some(settled_at));
            tables.fleet.begin_era();
            self.era_changes.send_replace(era);
            self.metrics.count("eras", "entered");
            info!(self.log, "store returned from an older copy"; "era" => era, "before" => before,
                "operators_position" => tables.operators_offset, "servers_position" => tables.servers_offset,
                "config_version" => tables.config.as_ref().map(|c| c.version));
        }
        order
    }

    /// Brings failure domains back that the store has not listed again in time.
    ///
    /// Returns whether there were any.
    pub(crate) fn end_settling(&self, tables: &mut Tables, now: Moment) -> bool {
        if tables.era.unconfirmed_take_outs.is_empty() || tables.era.is_settling(now) {
            return false;
        }
        for domain in std::mem::take(&mut tables.era.unconfirmed_take_outs) {
            info!(self.log, "failure domain restored"; "domain" => %domain, "was_held_back" => true);
            tables.fleet.set_taken_out(domain, false);
        }
        true
    }
}

impl Tables {
    /// Prepares for a listing of what operators wrote, before its records are applied.
    ///
    /// Domains that it does not list are brought back, at once or when the era settles.
    pub(crate) fn begin_operators_listing(&mut self, now: Moment) {
        if self.era.is_settling(now) {
            let taken_out = self.fleet.taken_out().cloned();
            self.era.unconfirmed_take_outs = taken_out.collect();
        } else {
            self.era.unconfirmed_take_outs.clear();
            self.fleet.bring_all_back();
        }
    }

    /// Takes a failure domain out of service or brings it back, as operators wrote.
    pub(crate) fn set_taken_out(&mut self, domain: Domain, is_out: bool) {
        self.era.unconfirmed_take_outs.remove(&domain);
        self.fleet.set_taken_out(domain, is_out);
    }

    /// Applies a change of a server's entry, and remembers removals.
    pub(crate) fn apply_server(&mut self, change: Change, now: Moment) {
        if let Change::Removed(id) = &change
            && let Some(server) = self.fleet.server(id)
        {
            self.era.record_removal(id, server.incarnation, now);
        }
        self.fleet.apply(change, now);
    }
}

#[cfg(test)]
mod tests;
