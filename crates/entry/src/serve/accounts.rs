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
const USAGE_WINDOW: Duration = Duration::from_secs(2);

/// The factor by which a node's demand exceeds its recent usage.
const DEMAND_FACTOR: u32 = 2;

/// The requests in progress that a node demands beyond its recent usage.
const SPARE_REQUESTS: u32 = 4;

/// The time by which the first demand of a node has been granted.
const FIRST_GRANT_DELAY: Duration = Duration::from_millis(300);

/// Returns whether a request can be started under a limit.
fn is_usable(limit: Limit) -> bool {
    limit.tokens_per_s > 0 && limit.requests_per_s > 0 && limit.concurrency > 0
}

/// Usage counted in one time window.
#[derive(Debug, Default, Clone, Copy)]
struct WindowUsage {
    tokens: u64,
    requests: u32,
    max_in_progress: u32,
}

/// The state of one account on this node.
#[derive(Debug)]
struct AccountState {
    limit: Limit,
    usage: Usage,
    node_limit: NodeLimit,
    allocator: Allocator,
    budget: Budget,
    window_start: Moment,
    current_window: WindowUsage,
    last_window: WindowUsage,
}

impl AccountState {
    /// Counts a request as demand, whether it is admitted or not.
    fn record_demand(&mut self, tokens: u64, now: Moment) {
        if now.since(self.window_start) >= USAGE_WINDOW {
            self.last_window = std::mem::take(&mut self.current_window);
            self.window_start = now;
        }
        self.current_window.tokens += tokens;
        self.current_window.requests += 1;
        let in_progress = self.usage.in_progress() + 1;
        self.current_window.max_in_progress = self.current_window.max_in_progress.max(in_progress);
    }

    /// Returns the limit that the node demands, from its recent usage.
    fn demanded_limit(&self, now: Moment) -> Limit {
        let is_idle = now.since(self.window_start) >= 2 * USAGE_WINDOW;
        if is_idle && self.usage.in_progress() == 0 {
            return Limit::ZERO;
        }
        let seconds = u32::try_from(USAGE_WINDOW.as_secs()).unwrap_or(1).max(1);
        let tokens = self.last_window.tokens.max(self.current_window.tokens);
        let requests = self.last_window.requests.max(self.current_window.requests);
        let max_in_progress = self
            .last_window
            .max_in_progress
            .max(self.current_window.max_in_progress);
        Limit {
            tokens_per_s: u32::try_from(tokens).unwrap_or(u32::MAX) / seconds * DEMAND_FACTOR,
            requests_per_s: (requests / seconds + 1) * DEMAND_FACTOR,
            concurrency: max_in_progress * DEMAND_FACTOR + SPARE_REQUESTS,
        }
    }
}

/// The accounts of one node.
#[derive(Debug)]
pub(crate) struct Accounts {
    owner: (Node, Incarnation),
    epoch: Option<(Ownership, Option<Offset>, Moment)>,
    accounts: BTreeMap<Account, AccountState>,
}

impl Accounts {
    /// Returns a node's accounts before any lists are in force.
    pub(crate) fn new(owner: (Node, Incarnation)) -> Self {
        Self {
            owner,
            epoch: None,
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
        if let Some(state) = self.accounts.get_mut(account) {
            if state.limit != limit {
                state.limit = limit;
                state.node_limit.set_limit(limit, now);
                state.allocator.set_limit(limit, now);
            }
            return;
        }
        let lease = Lease::default();
        let mut node_limit =
            NodeLimit::new(account.clone(), self.owner.clone(), limit, lease.clone());
        let mut allocator = Allocator::new(account.clone(), self.owner.clone(), limit, lease);
        if let Some((ownership, base, applied_at)) = &self.epoch {
            node_limit.apply_epoch(ownership, *base, *applied_at);
            allocator.apply_epoch(ownership, *base, *applied_at);
        }
        let state = AccountState {
            limit,
            usage: Usage::new(node_limit.current(now), now),
            node_limit,
            allocator,
            budget: Budget::default(),
            window_start: now,
            current_window: WindowUsage::default(),
            last_window: WindowUsage::default(),
        };
        self.accounts.insert(account.clone(), state);
    }

    /// Applies an epoch; `base` is the one that it replaced.
    pub(crate) fn apply_epoch(&mut self, ownership: &Ownership, base: Option<Offset>, now: Moment) {
        for state in self.accounts.values_mut() {
            state.node_limit.apply_epoch(ownership, base, now);
            state.allocator.apply_epoch(ownership, base, now);
        }
        self.epoch = Some((ownership.clone(), base, now));
    }

    /// Extends to `until` the time for which this node's view of the log is confirmed.
    pub(crate) fn confirm_log_view(&mut self, until: Moment) {
        for state in self.accounts.values_mut() {
            state.allocator.confirm_log_view(until);
        }
    }

    /// Returns the demands to send, each with the home node that grants it.
    ///
    /// Also applies the node's current limits to the token buckets. Otherwise a
    /// limit that has grown would accrue only from the account's next request, and
    /// the account's first request on a node would wait for one full unit.
    pub(crate) fn demands(&mut self, now: Moment) -> Vec<(Node, Demand)> {
        for state in self.accounts.values_mut() {
            state.usage.set_limit(state.node_limit.current(now), now);
        }
        let Some((ownership, ..)) = &self.epoch else {
            return Vec::new();
        };
        let demands = self.accounts.iter().filter_map(|(account, state)| {
            let wanted = state.demanded_limit(now);
            let home = admit::limit::home_node(account, ownership)?;
            (wanted != Limit::ZERO).then(|| (home.clone(), state.node_limit.demand(wanted, now)))
        });
        demands.collect()
    }

    /// Grants a demand, if this node is the account's home.
    pub(crate) fn grant(&mut self, demand: &Demand, now: Moment) -> Option<Grant> {
        self.accounts
            .get_mut(&demand.account)?
            .allocator
            .grant(demand, now)
    }

    /// Applies a grant from the account's home node.
    pub(crate) fn accept(&mut self, grant: Grant) {
        if let Some(state) = self.accounts.get_mut(&grant.account) {
            state.node_limit.accept(grant);
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
        let state = self
            .accounts
            .get_mut(account)
            .ok_or_else(|| Error::not_run(Kind::Forbidden, "the client account has no plan"))?;
        state.record_demand(estimated, now);
        let node_limit = state.node_limit.current(now);
        state.usage.set_limit(node_limit, now);
        if !is_usable(node_limit) {
            let error = Error::not_run(Kind::Limited, "this node has no part of the limit yet");
            return Err(error.with_retry_after(FIRST_GRANT_DELAY));
        }
        state.usage.start(estimated, now)?;
        state.budget.record_request();
        Ok(())
    }

    /// Ends a request and corrects its token count to `actual`.
    pub(crate) fn finish(&mut self, account: &Account, estimated: u64, actual: u64) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.usage.finish(estimated, actual);
        }
    }

    /// Returns whether this node may start requests of any account.
    ///
    /// A node that has just joined waits until the other nodes' limits have shrunk.
    pub(crate) fn has_usable_limit(&self, now: Moment) -> bool {
        let mut accounts = self.accounts.values();
        self.accounts.is_empty() || accounts.any(|state| is_usable(state.node_limit.current(now)))
    }

    /// Returns the retry budget of an account.
    pub(crate) fn budget(&mut self, account: &Account) -> Option<&mut Budget> {
        self.accounts
            .get_mut(account)
            .map(|state| &mut state.budget)
    }

    /// Returns each account with its limit, this node's limit and its requests in
    /// progress.
    pub(crate) fn describe(&self, now: Moment) -> Vec<(Account, Limit, Limit, u32)> {
        let accounts = self.accounts.iter();
        accounts
            .map(|(account, state)| {
                let node_limit = state.node_limit.current(now);
                (
                    account.clone(),
                    state.limit,
                    node_limit,
                    state.usage.in_progress(),
                )
            })
            .collect()
    }
}

/// The maximum time for which a request waits for its account's limits.
///
/// A node's limit grows within a heartbeat of the first demand, so that a short
/// burst at one node need not be refused.
const MAX_LIMIT_DELAY: Duration = Duration::from_millis(1_500);

/// Starts a request of `estimated` tokens, after a short delay if necessary.
///
/// # Errors
///
/// Returns an error with verdict not-run, at once if the delay would exceed the
/// deadline or [`MAX_LIMIT_DELAY`].
pub(crate) async fn start(
    node: &EntryNode,
    account: &Account,
    estimated: u64,
    deadline: Moment,
) -> Result<(), Error> {
    let until = deadline.min(node.clock.now() + MAX_LIMIT_DELAY);
    loop {
        let now = node.clock.now();
        let Err(error) = node.accounts().start(account, estimated, now) else {
            return Ok(());
        };
        let wait = error.retry_after().unwrap_or(MAX_LIMIT_DELAY);
        if error.kind() != Kind::Limited || now + wait >= until {
            return Err(error);
        }
        sleep(wait.max(MIN_RETRY_DELAY)).await;
    }
}

/// The minimum delay between two tries to start a request.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);

#[cfg(test)]
mod tests;
