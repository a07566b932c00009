//! Usage of client accounts on this node, against the node's share of their limits.
//!
//! Limits hold for all nodes together: half of each limit is divided evenly among
//! the nodes, and each node requests more from the account's home node according
//! to its recent usage. Demands are sent in requests for observations, and grants
//! in the replies.

use crate::node::Node as EntryNode;
use admit::{
    limit::{Allocator, Demand, Grant, Lease, Limit, NodeLimit, Usage},
    slot::Ownership,
};
use clock::Moment;
use name::{Account, Incarnation, Node, Offset};
use plan::Lists;
use route::retry::Budget;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::sleep;
use verdict::{Error, Kind};

/// The time window over which recent usage is averaged.
const USE_WINDOW: Duration = Duration::from_secs(2);

/// The factor by which a node's demand exceeds its recent usage.
const HEADROOM: u32 = 2;

/// The requests in progress that a node demands beyond its recent usage.
const SPARE_REQUESTS: u32 = 4;

/// The time by which the first demand of a node has been granted.
const GRANT_AFTER: Duration = Duration::from_millis(300);

/// Returns whether a request can be started under a limit.
fn is_usable(limit: Limit) -> bool {
    limit.tokens_per_s > 0 && limit.requests_per_s > 0 && limit.concurrency > 0
}

/// Usage counted in one time window.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    tokens: u64,
    requests: u32,
    most_in_progress: u32,
}

/// The state of one account on this node.
#[derive(Debug)]
struct Held {
    limit: Limit,
    usage: Usage,
    portion: NodeLimit,
    home: Allocator,
    budget: Budget,
    window: Moment,
    current: Count,
    last: Count,
}

impl Held {
    /// Counts a request as demand, whether it is admitted or not.
    fn note(&mut self, tokens: u64, now: Moment) {
        if now.since(self.window) >= USE_WINDOW {
            self.last = std::mem::take(&mut self.current);
            self.window = now;
        }
        self.current.tokens += tokens;
        self.current.requests += 1;
        let in_progress = self.usage.in_progress() + 1;
        self.current.most_in_progress = self.current.most_in_progress.max(in_progress);
    }

    /// Returns the limit that the node demands, from its recent usage.
    fn wanted(&self, now: Moment) -> Limit {
        let is_idle = now.since(self.window) >= 2 * USE_WINDOW;
        if is_idle && self.usage.in_progress() == 0 {
            return Limit::ZERO;
        }
        let seconds = u32::try_from(USE_WINDOW.as_secs()).unwrap_or(1).max(1);
        let tokens = self.last.tokens.max(self.current.tokens);
        let requests = self.last.requests.max(self.current.requests);
        let most = self
            .last
            .most_in_progress
            .max(self.current.most_in_progress);
        Limit {
            tokens_per_s: u32::try_from(tokens).unwrap_or(u32::MAX) / seconds * HEADROOM,
            requests_per_s: (requests / seconds + 1) * HEADROOM,
            concurrency: most * HEADROOM + SPARE_REQUESTS,
        }
    }
}

/// The accounts of one node.
#[derive(Debug)]
pub(crate) struct Accounts {
    owner: (Node, Incarnation),
    division: Option<(Ownership, Option<Offset>, Moment)>,
    accounts: BTreeMap<Account, Held>,
}

impl Accounts {
    /// Returns a node's accounts before any lists are in force.
    pub(crate) fn new(owner: (Node, Incarnation)) -> Self {
        Self {
            owner,
            division: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Applies the limits of the lists in force.
    pub(crate) fn set_lists(&mut self, lists: &Lists, now: Moment) {
        self.accounts
            .retain(|account, _| lists.accounts.contains_key(account));
        for (account, entry) in &lists.accounts {
            let Some(plan) = lists.plans.get(&entry.plan) else {
                continue;
            };
            self.set_limit(account, Limit::from(plan), now);
        }
    }

    /// Sets the limit of one account, and adds the account if it is new.
    fn set_limit(&mut self, account: &Account, limit: Limit, now: Moment) {
        if let Some(held) = self.accounts.get_mut(account) {
            if held.limit != limit {
                held.limit = limit;
                held.portion.set_limit(limit, now);
                held.home.set_limit(limit, now);
            }
            return;
        }
        let lease = Lease::default();
        let mut portion = NodeLimit::new(account.clone(), self.owner.clone(), limit, lease.clone());
        let mut home = Allocator::new(account.clone(), self.owner.clone(), limit, lease);
        if let Some((ownership, base, adopted)) = &self.division {
            portion.apply_epoch(ownership, *base, *adopted);
            home.apply_epoch(ownership, *base, *adopted);
        }
        let held = Held {
            limit,
            usage: Usage::new(portion.current(now), now),
            portion,
            home,
            budget: Budget::default(),
            window: now,
            current: Count::default(),
            last: Count::default(),
        };
        self.accounts.insert(account.clone(), held);
    }

    /// Applies an epoch; `base` is the one that it replaced.
    pub(crate) fn adopt(&mut self, ownership: &Ownership, base: Option<Offset>, now: Moment) {
        for held in self.accounts.values_mut() {
            held.portion.apply_epoch(ownership, base, now);
            held.home.apply_epoch(ownership, base, now);
        }
        self.division = Some((ownership.clone(), base, now));
    }

    /// Extends to `until` the time for which this node's view of the log is confirmed.
    pub(crate) fn vouch(&mut self, until: Moment) {
        for held in self.accounts.values_mut() {
            held.home.confirm_log_view(until);
        }
    }

    /// Returns the demands to send, each with the home node that grants it.
    ///
    /// Also applies the node's current limits to the token buckets. Otherwise a
    /// limit that has grown would accrue only from the account's next request, and
    /// the account's first request on a node would wait for one full unit.
    pub(crate) fn demands(&mut self, now: Moment) -> Vec<(Node, Demand)> {
        for held in self.accounts.values_mut() {
            held.usage.set_limit(held.portion.current(now), now);
        }
        let Some((ownership, ..)) = &self.division else {
            return Vec::new();
        };
        let wanting = self.accounts.iter().filter_map(|(account, held)| {
            let wanted = held.wanted(now);
            let home = admit::limit::home_node(account, ownership)?;
            (wanted != Limit::ZERO).then(|| (home.clone(), held.portion.demand(wanted, now)))
        });
        wanting.collect()
    }

    /// Grants a demand, if this node is the account's home.
    pub(crate) fn answer(&mut self, demand: &Demand, now: Moment) -> Option<Grant> {
        self.accounts
            .get_mut(&demand.account)?
            .home
            .grant(demand, now)
    }

    /// Applies a grant from the account's home node.
    pub(crate) fn accept(&mut self, grant: Grant) {
        if let Some(held) = self.accounts.get_mut(&grant.account) {
            held.portion.accept(grant);
        }
    }

    /// Starts a request from a caller with `estimated` tokens.
    ///
    /// # Errors
    ///
    /// Returns an error with verdict not-run if the account is above its limit.
    pub(crate) fn start(
        &mut self,
        account: &Account,
        estimated: u64,
        now: Moment,
    ) -> Result<(), Error> {
        let held = self
            .accounts
            .get_mut(account)
            .ok_or_else(|| Error::not_run(Kind::Forbidden, "the client account has no plan"))?;
        held.note(estimated, now);
        let part = held.portion.current(now);
        held.usage.set_limit(part, now);
        if !is_usable(part) {
            let error = Error::not_run(Kind::Limited, "this node has no part of the limit yet");
            return Err(error.with_retry_after(GRANT_AFTER));
        }
        held.usage.start(estimated, now)?;
        held.budget.record_request();
        Ok(())
    }

    /// Ends a request and corrects its token count to `actual`.
    pub(crate) fn finish(&mut self, account: &Account, estimated: u64, actual: u64) {
        if let Some(held) = self.accounts.get_mut(account) {
            held.usage.finish(estimated, actual);
        }
    }

    /// Returns whether this node may start requests of any account.
    ///
    /// A node that has just joined waits until the other nodes' limits have shrunk.
    pub(crate) fn has_parts(&self, now: Moment) -> bool {
        let mut accounts = self.accounts.values();
        self.accounts.is_empty() || accounts.any(|held| is_usable(held.portion.current(now)))
    }

    /// Returns the retry budget of an account.
    pub(crate) fn budget(&mut self, account: &Account) -> Option<&mut Budget> {
        self.accounts.get_mut(account).map(|held| &mut held.budget)
    }

    /// Returns each account with its limit, this node's limit and its requests in
    /// progress.
    pub(crate) fn describe(&self, now: Moment) -> Vec<(Account, Limit, Limit, u32)> {
        let accounts = self.accounts.iter();
        accounts
            .map(|(account, held)| {
                let part = held.portion.current(now);
                (account.clone(), held.limit, part, held.usage.in_progress())
            })
            .collect()
    }
}

/// The maximum time for which a request waits for its account's limits.
///
/// A node's limit grows within a heartbeat of the first demand, so that a short
/// burst at one node need not be refused.
const LONGEST_WAIT: Duration = Duration::from_millis(1_500);

/// Starts a request of `estimated` tokens, after a short delay if necessary.
///
/// # Errors
///
/// Returns an error with verdict not-run, at once if the delay would exceed the
/// deadline or [`LONGEST_WAIT`].
pub(crate) async fn start(
    node: &EntryNode,
    account: &Account,
    estimated: u64,
    deadline: Moment,
) -> Result<(), Error> {
    let until = deadline.min(node.clock.now() + LONGEST_WAIT);
    loop {
        let now = node.clock.now();
        let Err(error) = node.accounts().start(account, estimated, now) else {
            return Ok(());
        };
        let wait = error.retry_after().unwrap_or(LONGEST_WAIT);
        if error.kind() != Kind::Limited || now + wait >= until {
            return Err(error);
        }
        sleep(wait.max(SHORTEST_WAIT)).await;
    }
}

/// The minimum delay between two tries to start a request.
const SHORTEST_WAIT: Duration = Duration::from_millis(5);

#[cfg(test)]
mod tests;
