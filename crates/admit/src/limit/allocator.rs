//! The division of an account's limit at its home node.

use super::{
    delayed::Rising,
    node::{Demand, Grant, Lease, Limit},
};
use crate::slot::Ownership;
use clock::Moment;
use name::{Account, Incarnation, Node, Offset};
use std::{collections::BTreeMap, time::Duration};

/// Grants of one node that are remembered singly; older ones are merged.
const MAX_GRANTS: usize = 4;

/// Returns the entry node that divides the limit of `account`.
pub fn home<'a>(account: &Account, ownership: &'a Ownership) -> Option<&'a Node> {
    ownership.owner(&format!("account/{account}"), 0)
}

/// What one node asked for and was granted.
#[common::plain]
struct Holder {
    wanted: Limit,
    /// When the demand arrived, by the home's clock.
    at: Moment,
    /// Grants that may still be in use, with the moment at which each lapses.
    grants: Vec<(Moment, Limit)>,
}

impl Holder {
    /// Returns the most that the node may be using.
    fn held(&self, now: Moment) -> Limit {
        let unlapsed = self.grants.iter().filter(|(until, _)| now < *until);
        unlapsed.fold(Limit::ZERO, |most, (_, share)| most.max(*share))
    }

    /// Remembers a grant.
    fn add(&mut self, share: Limit, until: Moment, now: Moment) {
        self.grants.retain(|(until, _)| now < *until);
        self.grants.push((until, share));
        if self.grants.len() > MAX_GRANTS {
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
pub struct Portions {
    account: Account,
    node: Node,
    incarnation: Incarnation,
    limit: Limit,
    lease: Lease,
    revision: Option<Offset>,
    peers: usize,
    is_home: bool,
    pool: Rising,
    holders: BTreeMap<(Node, Incarnation), Holder>,
    vouched_until: Moment,
}

impl Portions {
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
            peers: 0,
            is_home: false,
            pool: Rising::default(),
            holders: BTreeMap::new(),
            vouched_until: Moment::START,
        }
    }

    /// Takes in an epoch and the one that it replaced, as [`crate::slot::Gate::adopt`] does.
    pub fn adopt(&mut self, ownership: &Ownership, base: Option<Offset>, now: Moment) {
        let revision = ownership.revision();
        if self.revision.is_some_and(|held| revision <= held) {
            return;
        }
        let is_first = base == Some(Offset::ZERO);
        let is_successor = self.revision.is_some() && base == self.revision;
        if !is_successor && !is_first {
            self.pool.set(Limit::ZERO, now, self.lease.rest);
        }
        self.revision = Some(revision);
        self.peers = ownership.peers();
        self.is_home = ownership.includes(&self.node, self.incarnation)
            && home(&self.account, ownership) == Some(&self.node);
        // A node that left the list may use its grants until they lapse, so
        // its holder stays until then.
        let rest = if is_first {
            Duration::ZERO
        } else {
            self.lease.rest
        };
        self.pool.set(self.target(), now, rest);
    }

    /// Changes the account's limit; a raise waits, a cut holds at once.
    pub fn set_limit(&mut self, limit: Limit, now: Moment) {
        self.limit = limit;
        self.pool.set(self.target(), now, self.lease.rest);
    }

    /// Notes that this node's view of the log is vouched for until `until`.
    pub fn vouch(&mut self, until: Moment) {
        self.vouched_until = self.vouched_until.max(until);
    }

    /// Answers a demand; `None` if this node is not the home, or not now.
    ///
    /// Takes time linear in the number of nodes that use the account.
    pub fn demand(&mut self, demand: &Demand, now: Moment) -> Option<Grant> {
        if !self.is_home || now >= self.vouched_until || demand.account != self.account {
            return None;
        }
        self.forget(now);
        let key = (demand.node.clone(), demand.incarnation);
        let holder = self.holders.entry(key.clone()).or_insert_with(|| Holder {
            wanted: Limit::ZERO,
            at: now,
            grants: Vec::new(),
        });
        holder.wanted = demand.wanted;
        holder.at = now;
        let share = self.share(&key, now);
        let until = now + self.lease.grant;
        self.holders.get_mut(&key)?.add(share, until, now);
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
    fn share(&self, key: &(Node, Incarnation), now: Moment) -> Limit {
        let pool = self.pool.at(now);
        let others = self.holders.iter().filter(|(other, _)| *other != key);
        let held = others.fold(Limit::ZERO, |sum, (_, h)| sum.plus(h.held(now)));
        let wanted = self.holders.get(key).map_or(Limit::ZERO, |h| h.wanted);
        let sums = self.holders.values().map(|h| h.wanted);
        let total = sums.fold([0; 3], |[t, r, c], w| {
            [
                t + u64::from(w.tokens_per_s),
                r + u64::from(w.requests_per_s),
                c + u64::from(w.concurrency),
            ]
        });
        let target = Limit {
            tokens_per_s: part(pool.tokens_per_s, wanted.tokens_per_s, total[0]),
            requests_per_s: part(pool.requests_per_s, wanted.requests_per_s, total[1]),
            concurrency: part(pool.concurrency, wanted.concurrency, total[2]),
        };
        target.min(pool.minus(held))
    }

    /// Drops nodes that no longer ask and whose grants have lapsed.
    fn forget(&mut self, now: Moment) {
        let lease = self.lease.grant;
        let is_live =
            |h: &Holder| now < h.at + lease || h.grants.iter().any(|(until, _)| now < *until);
        self.holders.retain(|_, holder| is_live(holder));
    }

    /// Returns what may be leased in the present epoch.
    fn target(&self) -> Limit {
        if self.is_home {
            self.limit.pool(self.peers)
        } else {
            Limit::ZERO
        }
    }
}

/// Returns the part of `pool` for a wish of `wanted` among wishes of `total`.
fn part(pool: u32, wanted: u32, total: u64) -> u32 {
    let (whole, wish) = (u64::from(pool), u64::from(wanted));
    if total <= whole {
        return wanted;
    }
    u32::try_from(whole * wish / total.max(1)).unwrap_or(pool)
}
