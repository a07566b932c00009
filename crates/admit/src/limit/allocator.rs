//! The division of an account's limit at its home node.

use super::{
    delayed::DelayedLimit,
    node::{Demand, Grant, Lease, Limit},
};
use crate::slot::Ownership;
use clock::Moment;
use name::{Account, Incarnation, Node, Offset};
use std::{collections::BTreeMap, time::Duration};

/// Grants of one node that are remembered singly; older ones are merged.
const MAX_TRACKED_GRANTS: usize = 4;

/// Returns the entry node that divides the limit of `account`.
pub fn home_node<'a>(account: &Account, ownership: &'a Ownership) -> Option<&'a Node> {
    ownership.owner(&format!("account/{account}"), 0)
}

/// What one node asked for and was granted.
#[common::plain]
struct Grantee {
    wanted: Limit,
    /// When the demand arrived, by the home's clock.
    demanded_at: Moment,
    /// Grants that may still be in use, with the moment at which each lapses.
    grants: Vec<(Moment, Limit)>,
}

impl Grantee {
    /// Returns the most that the node may be using.
    fn max_in_use(&self, now: Moment) -> Limit {
        let unexpired = self.grants.iter().filter(|(until, _)| now < *until);
        unexpired.fold(Limit::ZERO, |most, (_, share)| most.max(*share))
    }

    /// Remembers a grant.
    fn add_grant(&mut self, share: Limit, until: Moment, now: Moment) {
        self.grants.retain(|(until, _)| now < *until);
        self.grants.push((until, share));
        if self.grants.len() > MAX_TRACKED_GRANTS {
            let (_, old) = self.grants.remove(0);
            self.grants[0].1 = self.grants[0].1.max(old);
        }
    }
}

/// The division of one account's limit by demand, kept at its home node.
///
/// Invariant: the sum over nodes of what each may be using never exceeds the
/// pool, since a portion that was taken back counts until its lease lapses.
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
    /// Returns a division that grants nothing until an epoch makes `node` the home.
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

    /// Takes in an epoch and the one that it replaced, as [`crate::slot::Gate::apply_epoch`] does.
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
        // A node that left the list may use its grants until they lapse, so
        // its holder stays until then.
        let rest = if is_first {
            Duration::ZERO
        } else {
            self.lease.rest
        };
        self.pool.set(self.leasable(), now, rest);
    }

    /// Changes the account's limit; a raise waits, a cut holds at once.
    pub fn set_limit(&mut self, limit: Limit, now: Moment) {
        self.limit = limit;
        self.pool.set(self.leasable(), now, self.lease.rest);
    }

    /// Notes that this node's view of the log is vouched for until `until`.
    pub fn confirm_log_view(&mut self, until: Moment) {
        self.log_view_confirmed_until = self.log_view_confirmed_until.max(until);
    }

    /// Answers a demand; `None` if this node is not the home, or not now.
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

    /// Returns what one node may have now.
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

    /// Drops nodes that no longer ask and whose grants have lapsed.
    fn remove_expired(&mut self, now: Moment) {
        let lease = self.lease.grant;
        let is_live = |h: &Grantee| {
            now < h.demanded_at + lease || h.grants.iter().any(|(until, _)| now < *until)
        };
        self.grantees.retain(|_, grantee| is_live(grantee));
    }

    /// Returns what may be leased in the present epoch.
    fn leasable(&self) -> Limit {
        if self.is_home {
            self.limit.leasable_pool(self.peer_count)
        } else {
            Limit::ZERO
        }
    }
}

/// Returns the part of `pool` for a wish of `wanted` among wishes of `total`.
fn proportional_share(pool: u32, wanted: u32, total: u64) -> u32 {
    let (whole, demand) = (u64::from(pool), u64::from(wanted));
    if total <= whole {
        return wanted;
    }
    u32::try_from(whole * demand / total.max(1)).unwrap_or(pool)
}
