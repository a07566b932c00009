//! Divides an account's limit among nodes, at the account's home node.

use super::{
    delayed::DelayedLimit,
    node::{Demand, Grant, Lease, Limit},
};
use crate::slot::Ownership;
use clock::Moment;
use name::{Account, Incarnation, Node, Offset};
use std::{collections::BTreeMap, time::Duration};

/// Grants tracked separately for one node; older ones are merged.
const MAX_TRACKED_GRANTS: usize = 4;

/// Returns the entry node that divides the limit of `account`.
pub fn home_node<'a>(account: &Account, ownership: &'a Ownership) -> Option<&'a Node> {
    ownership.owner(&format!("account/{account}"), 0)
}

/// The demand and the grants of one node.
#[common::plain]
struct Grantee {
    wanted: Limit,
    /// When the last demand arrived, by the home node's clock.
    demanded_at: Moment,
    /// Grants that may still be in use, each with its expiry time.
    grants: Vec<(Moment, Limit)>,
}

impl Grantee {
    /// Returns the maximum that the node may be using.
    fn max_in_use(&self, now: Moment) -> Limit {
        let unexpired = self.grants.iter().filter(|(until, _)| now < *until);
        unexpired.fold(Limit::ZERO, |most, (_, share)| most.max(*share))
    }

    /// Adds a grant, and merges the oldest ones beyond the bound.
    fn add_grant(&mut self, share: Limit, until: Moment, now: Moment) {
        self.grants.retain(|(until, _)| now < *until);
        self.grants.push((until, share));
        if self.grants.len() > MAX_TRACKED_GRANTS {
            let (_, old) = self.grants.remove(0);
            self.grants[0].1 = self.grants[0].1.max(old);
        }
    }
}

/// Divides one account's limit by demand, at its home node.
///
/// Invariant: the sum of what the nodes may be using never exceeds the pool, since
/// a reclaimed share counts as in use until its lease expires.
#[common::plain]
pub struct Allocator {
    account: Account,
    node: Node,
    incarnation: Incarnation,
    limit: Limit,
    lease: Lease,
    revision: Option<Offset>,
    peer_count: usize,
    is_home: bool,
    pool: DelayedLimit,
    grantees: BTreeMap<(Node, Incarnation), Grantee>,
    log_view_confirmed_until: Moment,
}

impl Allocator {
    /// Returns an allocator that grants nothing until an epoch makes `node` the home node.
    pub fn new(
        account: Account,
        (node, incarnation): (Node, Incarnation),
        limit: Limit,
        lease: Lease,
    ) -> Self {
        Self {
            account,
            node,
            incarnation,
            limit,
            lease,
            revision: None,
            peer_count: 0,
            is_home: false,
            pool: DelayedLimit::default(),
            grantees: BTreeMap::new(),
            log_view_confirmed_until: Moment::START,
        }
    }

    /// Applies an epoch; `base` is as in [`crate::slot::Gate::apply_epoch`].
    pub fn apply_epoch(&mut self, ownership: &Ownership, base: Option<Offset>, now: Moment) {
        let revision = ownership.revision();
        if self.revision.is_some_and(|current| revision <= current) {
            return;
        }
        let is_first = base == Some(Offset::ZERO);
        let is_successor = self.revision.is_some() && base == self.revision;
        if !is_successor && !is_first {
            self.pool.set(Limit::ZERO, now, self.lease.rest);
        }
        self.revision = Some(revision);
        self.peer_count = ownership.peer_count();
        self.is_home = ownership.includes(&self.node, self.incarnation)
            && home_node(&self.account, ownership) == Some(&self.node);
        // A node that left the epoch may use its grants until they expire, so
        // its entry in `grantees` stays until then.
        let rest = if is_first {
            Duration::ZERO
        } else {
            self.lease.rest
        };
        self.pool.set(self.leasable(), now, rest);
    }

    /// Changes the account's limit; an increase is delayed, a decrease takes effect at once.
    pub fn set_limit(&mut self, limit: Limit, now: Moment) {
        self.limit = limit;
        self.pool.set(self.leasable(), now, self.lease.rest);
    }

    /// Extends to `until` the time for which this node's view of the log is confirmed.
    pub fn confirm_log_view(&mut self, until: Moment) {
        self.log_view_confirmed_until = self.log_view_confirmed_until.max(until);
    }

    /// Returns a grant for a demand; `None` if this node cannot act as the home node.
    ///
    /// It cannot if another node is the home node in the last epoch applied, or if
    /// its view of the log is no longer confirmed.
    ///
    /// Takes time linear in the number of nodes that use the account.
    pub fn grant(&mut self, demand: &Demand, now: Moment) -> Option<Grant> {
        if !self.is_home || now >= self.log_view_confirmed_until || demand.account != self.account {
            return None;
        }
        self.remove_expired(now);
        let key = (demand.node.clone(), demand.incarnation);
        let grantee = self.grantees.entry(key.clone()).or_insert_with(|| Grantee {
            wanted: Limit::ZERO,
            demanded_at: now,
            grants: Vec::new(),
        });
        grantee.wanted = demand.wanted;
        grantee.demanded_at = now;
        let share = self.share_for(&key, now);
        let until = now + self.lease.grant;
        self.grantees.get_mut(&key)?.add_grant(share, until, now);
        Some(Grant {
            account: demand.account.clone(),
            node: demand.node.clone(),
            incarnation: demand.incarnation,
            share,
            sent: demand.sent,
            lease: self.lease.grant,
        })
    }

    /// Returns the share that one node may be granted at `now`.
    fn share_for(&self, key: &(Node, Incarnation), now: Moment) -> Limit {
        let pool = self.pool.at(now);
        let others = self.grantees.iter().filter(|(other, _)| *other != key);
        let in_use = others.fold(Limit::ZERO, |sum, (_, h)| sum.plus(h.max_in_use(now)));
        let wanted = self.grantees.get(key).map_or(Limit::ZERO, |h| h.wanted);
        let sums = self.grantees.values().map(|h| h.wanted);
        let total = sums.fold([0; 3], |[t, r, c], w| {
            [
                t + u64::from(w.tokens_per_s),
                r + u64::from(w.requests_per_s),
                c + u64::from(w.concurrency),
            ]
        });
        let target = Limit {
            tokens_per_s: proportional_share(pool.tokens_per_s, wanted.tokens_per_s, total[0]),
            requests_per_s: proportional_share(
                pool.requests_per_s,
                wanted.requests_per_s,
                total[1],
            ),
            concurrency: proportional_share(pool.concurrency, wanted.concurrency, total[2]),
        };
        target.min(pool.minus(in_use))
    }

    /// Removes nodes that no longer send demands and whose grants have expired.
    fn remove_expired(&mut self, now: Moment) {
        let lease = self.lease.grant;
        let is_live = |h: &Grantee| {
            now < h.demanded_at + lease || h.grants.iter().any(|(until, _)| now < *until)
        };
        self.grantees.retain(|_, grantee| is_live(grantee));
    }

    /// Returns the limit that may be leased in the current epoch.
    fn leasable(&self) -> Limit {
        if self.is_home {
            self.limit.leasable_pool(self.peer_count)
        } else {
            Limit::ZERO
        }
    }
}

/// Returns the part of `pool` for a demand of `wanted` when all demands sum to `total`.
fn proportional_share(pool: u32, wanted: u32, total: u64) -> u32 {
    let (whole, demand) = (u64::from(pool), u64::from(wanted));
    if total <= whole {
        return wanted;
    }
    u32::try_from(whole * demand / total.max(1)).unwrap_or(pool)
}
