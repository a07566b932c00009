//! What one node may use of an account's limit.

use super::delayed::DelayedLimit;
use crate::slot::Ownership;
use clock::Moment;
use name::{Account, Incarnation, Node, Offset};
use std::time::Duration;

/// The part of a limit, one in so many, that is split evenly without a lease.
const EVEN_SPLIT_DIVISOR: u32 = 2;

/// An account's limit, or a part of it.
#[common::key]
#[derive(Default)]
pub struct Limit {
    /// Tokens, prompt and answer, in a second.
    pub tokens_per_s: u32,
    /// Requests started in a second.
    pub requests_per_s: u32,
    /// Requests in progress at once.
    pub concurrency: u32,
}

impl From<&plan::Plan> for Limit {
    fn from(plan: &plan::Plan) -> Self {
        Self {
            tokens_per_s: plan.tokens_per_s,
            requests_per_s: plan.requests_per_s,
            concurrency: plan.concurrency,
        }
    }
}

impl Limit {
    /// Nothing.
    pub const ZERO: Self = Self {
        tokens_per_s: 0,
        requests_per_s: 0,
        concurrency: 0,
    };

    /// Returns the limit that `combine` makes of each pair of parts.
    pub(super) fn zip(self, other: Self, combine: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            tokens_per_s: combine(self.tokens_per_s, other.tokens_per_s),
            requests_per_s: combine(self.requests_per_s, other.requests_per_s),
            concurrency: combine(self.concurrency, other.concurrency),
        }
    }

    /// Returns the smaller of each part.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u32::min)
    }

    /// Returns the larger of each part.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Returns the sum of each part.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// Returns the difference of each part, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// Returns what each of `peers` nodes has without a lease.
    #[must_use]
    pub fn even_share(self, peers: usize) -> Self {
        let peers = u32::try_from(peers.max(1)).unwrap_or(u32::MAX);
        self.zip(self, |whole, _| whole / EVEN_SPLIT_DIVISOR / peers)
    }

    /// Returns what the home of `peers` nodes may lease.
    #[must_use]
    pub fn leasable_pool(self, peers: usize) -> Self {
        let even_share = self.even_share(peers);
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.zip(even_share, |whole, each| {
            whole.saturating_sub(each.saturating_mul(peers))
        })
    }
}

/// The durations that bound the use of portions.
#[common::value]
pub struct Lease {
    /// How long a grant holds, from the sending of its demand.
    pub grant: Duration,
    /// How long a raise waits after a change of epoch: at least the lifetime
    /// of a voucher plus `grant`.
    pub rest: Duration,
}

impl Default for Lease {
    /// Returns a grant of 3 s and a rest of 6 s.
    fn default() -> Self {
        Self {
            grant: Duration::from_secs(3),
            rest: Duration::from_secs(6),
        }
    }
}

/// A node's wish for a part of an account's limit, sent to the home node.
#[common::value]
pub struct Demand {
    /// The client account.
    pub account: Account,
    /// The node that asks.
    pub node: Node,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it could use beyond its even split.
    pub wanted: Limit,
    /// When it was sent, by the asking node's clock.
    pub sent: Moment,
}

/// A leased part of an account's limit, in answer to a [`Demand`].
#[common::value]
pub struct Grant {
    /// The client account.
    pub account: Account,
    /// The node that asked.
    pub node: Node,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it may use beyond its even split.
    pub share: Limit,
    /// When the demand was sent, by the asking node's clock.
    pub sent: Moment,
    /// How long the grant holds from `sent` on.
    pub lease: Duration,
}

/// What one node may use of one account's limit.
#[common::plain]
pub struct NodeLimit {
    account: Account,
    node: Node,
    incarnation: Incarnation,
    limit: Limit,
    lease: Lease,
    revision: Option<Offset>,
    peer_count: usize,
    is_included: bool,
    even_share: DelayedLimit,
    grant: Option<Grant>,
}

impl NodeLimit {
    /// Returns a portion of nothing, until an epoch is adopted.
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
            is_included: false,
            even_share: DelayedLimit::default(),
            grant: None,
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
            self.even_share.set(Limit::ZERO, now, self.lease.rest);
        }
        self.revision = Some(revision);
        self.peer_count = ownership.peer_count();
        self.is_included = ownership.includes(&self.node, self.incarnation);
        let rest = if is_first {
            Duration::ZERO
        } else {
            self.lease.rest
        };
        self.even_share.set(self.even_target(), now, rest);
    }

    /// Changes the account's limit; a raise waits, a cut holds at once.
    pub fn set_limit(&mut self, limit: Limit, now: Moment) {
        self.limit = limit;
        self.even_share
            .set(self.even_target(), now, self.lease.rest);
    }

    /// Returns the demand to send to the home node.
    pub fn demand(&self, wanted: Limit, now: Moment) -> Demand {
        Demand {
            account: self.account.clone(),
            node: self.node.clone(),
            incarnation: self.incarnation,
            wanted,
            sent: now,
        }
    }

    /// Takes in a grant; one for an older demand or another life is dropped.
    pub fn accept(&mut self, grant: Grant) {
        let is_own = grant.node == self.node
            && grant.incarnation == self.incarnation
            && grant.account == self.account;
        let is_newer = self.grant.as_ref().is_none_or(|g| g.sent < grant.sent);
        if is_own && is_newer {
            self.grant = Some(grant);
        }
    }

    /// Returns what the node may use at `now`.
    ///
    /// Holds only while the node's view of the log is vouched for; without a
    /// voucher, the node takes no work at all.
    pub fn current(&self, now: Moment) -> Limit {
        let even_share = self.even_share.at(now);
        match &self.grant {
            Some(grant) if now < grant.sent + grant.lease => even_share.plus(grant.share),
            _ => even_share,
        }
    }

    /// Returns the even split of the present epoch.
    fn even_target(&self) -> Limit {
        if self.is_included {
            self.limit.even_share(self.peer_count)
        } else {
            Limit::ZERO
        }
    }
}
