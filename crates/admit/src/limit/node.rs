//! One node's share of an account's limit, and the messages that change it.

use super::delayed::DelayedLimit;
use crate::slot::Ownership;
use clock::Moment;
use name::{Account, Incarnation, Node, Offset};
use std::time::Duration;

/// The limit divided by this is split evenly among nodes without a lease.
const EVEN_SPLIT_DIVISOR: u32 = 2;

/// An account's limit, or a part of it.
#[common::key]
#[derive(Default)]
pub struct Limit {
    /// Tokens of prompts and answers per second.
    pub tokens_per_s: u32,
    /// Requests started per second.
    pub requests_per_s: u32,
    /// Requests in progress.
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
    /// The limit that allows nothing.
    pub const ZERO: Self = Self {
        tokens_per_s: 0,
        requests_per_s: 0,
        concurrency: 0,
    };

    /// Returns the limit whose fields are `combine` of the fields of both.
    pub(super) fn zip(self, other: Self, combine: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            tokens_per_s: combine(self.tokens_per_s, other.tokens_per_s),
            requests_per_s: combine(self.requests_per_s, other.requests_per_s),
            concurrency: combine(self.concurrency, other.concurrency),
        }
    }

    /// Returns the minimum of each field.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u32::min)
    }

    /// Returns the maximum of each field.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Returns the sum of each field.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// Returns the difference of each field, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// Returns the share of each of `peers` nodes without a lease.
    #[must_use]
    pub fn even_share(self, peers: usize) -> Self {
        let peers = u32::try_from(peers.max(1)).unwrap_or(u32::MAX);
        self.zip(self, |whole, _| whole / EVEN_SPLIT_DIVISOR / peers)
    }

    /// Returns the part that the home node may lease to `peers` nodes.
    #[must_use]
    pub fn leasable_pool(self, peers: usize) -> Self {
        let even_share = self.even_share(peers);
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.zip(even_share, |whole, each| {
            whole.saturating_sub(each.saturating_mul(peers))
        })
    }
}

/// The durations that bound the use of grants.
#[common::value]
pub struct Lease {
    /// How long a grant is valid, from the sending of its demand.
    pub grant: Duration,
    /// How long an increase is delayed after a change of epoch: at least the
    /// lifetime of a voucher (the confirmation that a node's view of the log is
    /// current) plus `grant`.
    pub rest: Duration,
}

impl Default for Lease {
    /// Returns a grant of 3 s and a rest period of 6 s.
    fn default() -> Self {
        Self {
            grant: Duration::from_secs(3),
            rest: Duration::from_secs(6),
        }
    }
}

/// A node's request for a share of an account's limit, sent to the home node.
#[common::value]
pub struct Demand {
    /// The client account.
    pub account: Account,
    /// The requesting node.
    pub node: Node,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// What it could use in addition to its even share.
    pub wanted: Limit,
    /// When it was sent, by the requesting node's clock.
    pub sent: Moment,
}

/// A leased share of an account's limit, in reply to a [`Demand`].
#[common::value]
pub struct Grant {
    /// The client account.
    pub account: Account,
    /// The node that sent the demand.
    pub node: Node,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// What it may use in addition to its even share.
    pub share: Limit,
    /// When the demand was sent, by the requesting node's clock.
    pub sent: Moment,
    /// How long the grant is valid from `sent` on.
    pub lease: Duration,
}

/// One node's share of one account's limit.
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
    /// Returns a share that allows nothing until an epoch is applied.
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

    /// Applies an epoch; `base` is as in [`crate::slot::Gate::apply_epoch`].
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

    /// Changes the account's limit; an increase is delayed, a decrease takes effect at once.
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

    /// Applies a grant; one for an older demand or another incarnation is ignored.
    pub fn accept(&mut self, grant: Grant) {
        let is_own = grant.node == self.node
            && grant.incarnation == self.incarnation
            && grant.account == self.account;
        let is_newer = self.grant.as_ref().is_none_or(|g| g.sent < grant.sent);
        if is_own && is_newer {
            self.grant = Some(grant);
        }
    }

    /// Returns the limit of this node at `now`.
    ///
    /// Valid only while the node's view of the log is confirmed by a voucher;
    /// without a voucher, the node accepts no requests.
    pub fn current(&self, now: Moment) -> Limit {
        let even_share = self.even_share.at(now);
        match &self.grant {
            Some(grant) if now < grant.sent + grant.lease => even_share.plus(grant.share),
            _ => even_share,
        }
    }

    /// Returns the even share in the current epoch.
    fn even_target(&self) -> Limit {
        if self.is_included {
            self.limit.even_share(self.peer_count)
        } else {
            Limit::ZERO
        }
    }
}
