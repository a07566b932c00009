//! Runs calls of plain services.
//!
//! An idempotent call is retried at another server within the account's retry
//! budget; other calls go through [`super::keyed`]. If an attempt takes longer
//! than the 95th percentile of the account's calls, a hedged attempt is sent to
//! another server within the same budget, and the first complete answer is used.

use crate::{
    node::Node,
    serve::{
        accounts,
        attempt::still_allowed,
        forward,
        job::Call,
        queue::Wish,
        servers::Target,
        slot::{Hold, Waiting},
    },
};
use admit::{
    slot::Ending,
    stats::{Phase, query},
};
use backend::service;
use clock::Moment;
use name::{Account, Attempt, Class, Node as NodeName};
use route::retry;
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;
use verdict::{Error, Kind, Verdict};

/// The estimated cost of a call, in tokens.
pub(crate) const CALL_TOKENS: u64 = 64;

/// The class of work under which service calls are counted.
const CLASS: &str = "service";

/// The wait for a local slot before the search for a peer with a free one.
const PEER_AFTER: Duration = Duration::from_millis(2);

/// The interval between searches for a peer with a free slot.
const PEER_AGAIN: Duration = Duration::from_millis(25);

/// The time limit for a call from a caller to get a slot.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// The time limit for a forwarded call to get a slot.
const FORWARDED_WAIT: Duration = Duration::from_millis(250);

/// The retry delay sent to callers whose call got no slot.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The minimum time that another attempt takes.
const EXPECTED: Duration = Duration::from_millis(50);

/// The minimum number of an account's calls for a meaningful 95th percentile.
const LEAST_CALLS: u64 = 20;

/// The time beyond the 95th percentile after which an attempt counts as slow.
const HEDGE_MARGIN: Duration = Duration::from_millis(1);

/// The time limit for a hedged attempt to get a slot; a late one has no benefit.
const HEDGE_WAIT: Duration = Duration::from_millis(5);

/// Returns the class of work under which service calls are counted.
pub(crate) fn class() -> Class {
    Class::try_from(CLASS).expect("a constant name is a name")
}

/// Checks that this node accepts work and that the account is within its limits.
///
/// # Errors
///
/// Returns an error with verdict not-run if either check fails.
pub(crate) async fn admit(node: &Arc<Node>, call: &Call) -> Result<Admitted, Error> {
    let now = node.clock.now();
    if !node.is_ready(now) {
        let error = Error::not_run(Kind::Unavailable, "this entry node may take no work now");
        return Err(error.with_retry_after(RETRY_AFTER));
    }
    if !call.forwarded {
        node.metrics.request(&call.account, &class());
        accounts::start(node, &call.account, CALL_TOKENS, call.deadline).await?;
    }
    Ok(Admitted {
        node: Arc::clone(node),
        account: (!call.forwarded).then(|| call.account.clone()),
    })
}

/// Counts a call against its account's limits until it is dropped.
///
/// This is a guard because a disconnect of the caller drops the call's future at
/// any await point.
#[derive(Debug)]
pub(crate) struct Admitted {
    node: Arc<Node>,
    /// None for a forwarded call, which the forwarding peer counts.
    account: Option<Account>,
}

impl Admitted {
    /// Ends the call and records the time since `arrived`.
    pub(crate) fn settle(self, arrived: Moment) {
        if let Some(account) = &self.account {
            let total = self.node.clock.now().since(arrived);
            self.node
                .stats()
                .record(account, &class(), Phase::Total, total);
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(account) = &self.account {
            self.node
                .accounts()
                .finish(account, CALL_TOKENS, CALL_TOKENS);
        }
    }
}

/// Runs an idempotent call.
///
/// # Errors
///
/// Returns the error of the last attempt, with the combined verdict of all.
pub(crate) async fn run(node: &Arc<Node>, mut call: Call) -> Result<Vec<u8>, Error> {
    let admitted = admit(node, &call).await?;
    let arrived = node.clock.now();
    let result = attempts(node, &mut call).await;
    admitted.settle(arrived);
    result
}

/// Makes attempts until one succeeds or no further attempt is allowed.
async fn attempts(node: &Arc<Node>, call: &mut Call) -> Result<Vec<u8>, Error> {
    let mut avoid = Vec::new();
    let mut tried = Vec::new();
    let mut verdict = Verdict::NotRun;
    loop {
        let result = match find_place(node, call, &avoid, &mut tried).await {
            Err(error) => return Err(error.with_earlier_verdict(verdict)),
            Ok(Place::Here(hold)) => {
                avoid.push(hold.lease().key);
                call.attempts += 1;
                node.metrics.attempt(&call.account);
                hedged(node, call, hold, &mut avoid).await
            }
            Ok(Place::Peer(peer)) => {
                tried.push(peer.clone());
                forward::call(node, &peer, call, None).await
            }
        };
        let Err(error) = result else { return result };
        verdict = verdict.combine(error.verdict());
        match decide(node, call, &error) {
            retry::Decision::Stop(_) => return Err(error.with_earlier_verdict(verdict)),
            retry::Decision::After(wait) => sleep(wait).await,
        }
    }
}

/// Makes an attempt on `hold`, and a hedged one at another server if it is slow.
///
/// The first complete answer is used; the other attempt is cancelled by a drop.
async fn hedged(
    node: &Arc<Node>,
    call: &mut Call,
    hold: Hold,
    avoid: &mut Vec<u64>,
) -> Result<Vec<u8>, Error> {
    // A cancelled request may still run for a short time, and only a warm server
    // has the capacity for that.
    let patience = match hold.lease().offer.evidence.warm {
        true => usual(node, call).map(|usual| usual + HEDGE_MARGIN),
        false => None,
    };
    let request = call.clone();
    let sent = node.clock.now();
    let first = attempt(node, &request, None, hold);
    tokio::pin!(first);
    let Some(patience) = patience else {
        return first.await;
    };
    tokio::select! {
        biased;
        result = &mut first => return result,
        () = sleep(patience) => {}
    }
    if !may_hedge(node, call, sent) {
        return first.await;
    }
    let other = tokio::select! {
        biased;
        result = &mut first => {
            give_back(node, call);
            return result;
        }
        other = other_server(node, &request, avoid) => other,
    };
    let Some(other) = other else {
        give_back(node, call);
        return first.await;
    };
    avoid.push(other.lease().key);
    call.attempts += 1;
    node.metrics.attempt(&call.account);
    let second = attempt(node, &request, None, other);
    tokio::pin!(second);
    tokio::select! {
        result = &mut first => either(result, second).await,
        result = &mut second => either(result, first).await,
    }
}

/// Returns the first result if it is a success, or else that of `rest`.
///
/// If both fail, the error has the combined verdict.
async fn either(
    result: Result<Vec<u8>, Error>,
    rest: impl Future<Output = Result<Vec<u8>, Error>>,
) -> Result<Vec<u8>, Error> {
    let Err(error) = result else { return result };
    rest.await
        .map_err(|last| last.with_earlier_verdict(error.verdict()))
}

/// Returns the 95th percentile of the duration of the account's calls.
fn usual(node: &Node, call: &Call) -> Option<Duration> {
    let stats = node.stats();
    query::series_p95(&stats, &call.account, &class(), Phase::Total, LEAST_CALLS)
}

/// Charges the retry budget for a hedged attempt; returns whether it is allowed.
fn may_hedge(node: &Node, call: &Call, sent: Moment) -> bool {
    let usual = usual(node, call);
    let now = node.clock.now();
    let mut accounts = node.accounts();
    let budget = accounts.budget(&call.account);
    budget.is_some_and(|budget| {
        retry::try_hedge(&situation(call), now.since(sent), usual, budget, now)
    })
}

/// Refunds the retry budget for a hedged attempt that was not made.
fn give_back(node: &Node, call: &Call) {
    if let Some(budget) = node.accounts().budget(&call.account) {
        budget.refund();
    }
}

/// Returns a free slot of a warm server that was not yet tried, if there is one.
async fn other_server(node: &Arc<Node>, call: &Call, avoid: &[u64]) -> Option<Hold> {
    let until = node.clock.now() + HEDGE_WAIT;
    let hold = own_slot(node, call, avoid, until).await.ok()?;
    let lease = hold.lease();
    if avoid.contains(&lease.key) || !lease.offer.evidence.warm {
        hold.finish(Ending::Failed, None, 0);
        return None;
    }
    Some(hold)
}

/// Returns the context for the decision on another attempt.
fn situation(call: &Call) -> retry::Context {
    retry::Context {
        attempts: call.attempts.max(1),
        is_forwarded: call.forwarded,
        is_idempotent: true,
        deadline: call.deadline,
        expected: EXPECTED,
    }
}

/// Decides whether to make another attempt, and after which delay.
fn decide(node: &Node, call: &Call, error: &Error) -> retry::Decision {
    let situation = situation(call);
    let now = node.clock.now();
    let mut accounts = node.accounts();
    match accounts.budget(&call.account) {
        Some(budget) => retry::decide(&situation, error, budget, now, &mut rand::rng()),
        None => retry::Decision::Stop(retry::Refusal::Budget),
    }
}

/// Where the next attempt runs: on this node or at a peer.
enum Place {
    /// On a slot of this node.
    Here(Hold),
    /// On a slot of a peer.
    Peer(NodeName),
}

/// Waits for a local slot and meanwhile searches for a peer with a free one.
async fn find_place(
    node: &Arc<Node>,
    call: &Call,
    avoid: &[u64],
    tried: &mut Vec<NodeName>,
) -> Result<Place, Error> {
    let target = Target::Service(call.service.clone());
    let longest = if call.forwarded {
        FORWARDED_WAIT
    } else {
        LONGEST_WAIT
    };
    let until = call.deadline.min(node.clock.now() + longest);
    let mut waiting = Waiting::new(node, wish(node, call, avoid, until))?;
    let mut look = PEER_AFTER;
    loop {
        tokio::select! {
            biased;
            hold = &mut waiting => return hold.map(Place::Here).map_err(|e| no_place(&e)),
            () = sleep(look) => {}
        }
        let now = node.clock.now();
        if now >= until {
            let error = Error::not_run(Kind::Overloaded, "no slot became free in time");
            return Err(no_place(&error));
        }
        if !call.forwarded
            && let Some(peer) = node.peers.with_room(&target, tried, now)
        {
            return Ok(Place::Peer(peer));
        }
        tried.clear();
        look = PEER_AGAIN;
    }
}

/// Waits for a slot of this node until `until`.
///
/// # Errors
///
/// Returns an error with verdict not-run if none became free.
pub(crate) async fn own_slot(
    node: &Arc<Node>,
    call: &Call,
    avoid: &[u64],
    until: Moment,
) -> Result<Hold, Error> {
    let waiting = Waiting::new(node, wish(node, call, avoid, until))?;
    let left = node.clock.now().until(until);
    let late = || Error::not_run(Kind::Overloaded, "no slot became free in time");
    let granted = tokio::time::timeout(left, waiting)
        .await
        .map_err(|_| late())?;
    granted.map_err(|error| no_place(&error))
}

/// Returns the slot request of a call.
fn wish(node: &Node, call: &Call, avoid: &[u64], until: Moment) -> Wish {
    let plan = node.control().plan_of(&call.account);
    Wish {
        account: call.account.clone(),
        weight: plan.map_or(1, |plan| plan.weight),
        class: 0,
        tokens: CALL_TOKENS,
        deadline: until,
        target: Target::Service(call.service.clone()),
        prefix: Vec::new(),
        avoid: avoid.to_vec(),
    }
}

/// Returns the error for a call that got no slot.
fn no_place(error: &Error) -> Error {
    Error::not_run(Kind::Overloaded, error.message()).with_retry_after(RETRY_AFTER)
}

/// Makes one attempt on the slot that `hold` guards.
///
/// `key` is the idempotency key of a call that must not run twice.
///
/// # Errors
///
/// Returns the backend server's error with its verdict.
pub(crate) async fn attempt(
    node: &Arc<Node>,
    call: &Call,
    key: Option<String>,
    mut hold: Hold,
) -> Result<Vec<u8>, Error> {
    let request = service::Call {
        attempt: Attempt::random(),
        name: call.call.as_ref().into(),
        key,
        body: call.body.to_vec().into(),
    };
    let sent = node.clock.now();
    let allowed = still_allowed(node, hold.lease());
    let left = sent.until(call.deadline);
    let target = hold.lease().target();
    hold.send();
    match service::call(&node.pool, target, &request, allowed, left).await {
        Ok(answer) => {
            hold.finish(Ending::Whole, None, CALL_TOKENS);
            Ok(serde_json::to_vec(&answer.result).unwrap_or_default())
        }
        Err(failure) => {
            let error = Error::from(failure);
            let ending = match error.kind() {
                Kind::Overloaded => Ending::Failed,
                _ => Ending::Reset,
            };
            match error.verdict() {
                Verdict::NotRun => hold.finish(ending, None, 0),
                _ => hold.cut(ending, 0),
            }
            Err(error)
        }
    }
}
