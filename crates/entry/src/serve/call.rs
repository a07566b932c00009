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
        attempt::{is_lost_connection, pre_send_check},
        evidence, forward,
        job::Call,
        queue::SlotRequest,
        servers::Target,
        slot::{SlotGuard, SlotWait},
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
const SERVICE_CLASS: &str = "service";

/// The wait for a local slot before the search for a peer with a free one.
const PEER_SEARCH_DELAY: Duration = Duration::from_millis(2);

/// The interval between searches for a peer with a free slot.
const PEER_SEARCH_INTERVAL: Duration = Duration::from_millis(25);

/// The time limit for a call from a caller to get a slot.
const SLOT_TIMEOUT: Duration = Duration::from_secs(5);

/// The time limit for a forwarded call to get a slot.
const FORWARDED_SLOT_TIMEOUT: Duration = Duration::from_millis(250);

/// The retry delay sent to callers whose call got no slot.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The minimum time that another attempt takes.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// The minimum number of an account's calls for a meaningful 95th percentile.
const MIN_P95_CALLS: u64 = 20;

/// The time beyond the 95th percentile after which an attempt counts as slow.
const HEDGE_MARGIN: Duration = Duration::from_millis(1);

/// The time limit for a hedged attempt to get a slot; a late one has no benefit.
const HEDGE_SLOT_TIMEOUT: Duration = Duration::from_millis(5);

/// Returns the class of work under which service calls are counted.
pub(crate) fn service_class() -> Class {
    Class::try_from(SERVICE_CLASS).expect("the class of service calls is a valid name")
}

/// Checks that this node accepts work and that the account is within its limits.
///
/// # Errors
///
/// Returns an error with verdict not-run if either check fails.
pub(crate) async fn admit(node: &Arc<Node>, call: &Call) -> Result<AdmissionGuard, Error> {
    let now = node.clock.now();
    if !node.is_ready(now) {
        let error = Error::not_run(Kind::Unavailable, "this entry node may take no work now");
        return Err(error.with_retry_after(RETRY_AFTER));
    }
    if !call.forwarded {
        node.metrics.request(&call.account, &service_class());
        accounts::start(node, &call.account, CALL_TOKENS, call.deadline).await?;
    }
    Ok(AdmissionGuard {
        node: Arc::clone(node),
        account: (!call.forwarded).then(|| call.account.clone()),
    })
}

/// Counts a call against its account's limits until it is dropped.
///
/// This is a guard because a disconnect of the caller drops the call's future at
/// any await point.
#[derive(Debug)]
pub(crate) struct AdmissionGuard {
    node: Arc<Node>,
    /// None for a forwarded call, which the forwarding peer counts.
    account: Option<Account>,
}

impl AdmissionGuard {
    /// Ends the call and records the time since `arrived_at`.
    pub(crate) fn complete(self, arrived_at: Moment) {
        if let Some(account) = &self.account {
            let total = self.node.clock.now().since(arrived_at);
            self.node
                .stats()
                .record(account, &service_class(), Phase::Total, total);
        }
    }
}

impl Drop for AdmissionGuard {
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
    let arrived_at = node.clock.now();
    let result = run_attempts(node, &mut call).await;
    admitted.complete(arrived_at);
    result
}

/// Makes attempts until one succeeds or no further attempt is allowed.
async fn run_attempts(node: &Arc<Node>, call: &mut Call) -> Result<Vec<u8>, Error> {
    let mut avoid = Vec::new();
    let mut tried = Vec::new();
    let mut verdict = Verdict::NotRun;
    // Whether a server could not be sent the call from this node; a peer may reach it.
    let mut prefers_peer = false;
    let parts = [evidence::whole(call)];
    loop {
        let trial = evidence::wait_for_trial(node, &parts).await;
        trial.map_err(|error| error.with_earlier_verdict(verdict))?;
        let result = match find_slot(node, call, &avoid, &mut tried, prefers_peer).await {
            Err(error) => return Err(error.with_earlier_verdict(verdict)),
            Ok(Placement::Local(guard)) => {
                avoid.push(guard.lease().key);
                call.attempts += 1;
                node.metrics.attempt(&call.account);
                run_hedged(node, call, guard, &mut avoid).await
            }
            Ok(Placement::Peer(peer)) => {
                tried.push(peer.clone());
                forward::call(node, &peer, call, None).await
            }
        };
        let Err(error) = result else { return result };
        verdict = verdict.combine(error.verdict());
        prefers_peer |= error.is_unsent();
        match decide(node, call, &error) {
            retry::Decision::Stop(_) => return Err(error.with_earlier_verdict(verdict)),
            retry::Decision::After(wait) => sleep(wait).await,
        }
    }
}

/// Makes an attempt on `guard`, and a hedged one at another server if it is slow.
///
/// The first complete answer is used; the other attempt is cancelled by a drop.
async fn run_hedged(
    node: &Arc<Node>,
    call: &mut Call,
    guard: SlotGuard,
    avoid: &mut Vec<u64>,
) -> Result<Vec<u8>, Error> {
    // A cancelled request may still run for a short time, and only a warm server
    // has the capacity for that.
    let hedge_delay = match guard.lease().offer.capacity.warm {
        true => p95_duration(node, call).map(|p95_duration| p95_duration + HEDGE_MARGIN),
        false => None,
    };
    let request = call.clone();
    let sent_at = node.clock.now();
    let first = attempt(node, &request, None, guard);
    tokio::pin!(first);
    let Some(hedge_delay) = hedge_delay else {
        return first.await;
    };
    tokio::select! {
        biased;
        result = &mut first => return result,
        () = sleep(hedge_delay) => {}
    }
    if !try_charge_hedge(node, call, sent_at) {
        return first.await;
    }
    let second_guard = tokio::select! {
        biased;
        result = &mut first => {
            refund_hedge(node, call);
            return result;
        }
        second_guard = hedge_slot(node, &request, avoid) => second_guard,
    };
    let Some(second_guard) = second_guard else {
        refund_hedge(node, call);
        return first.await;
    };
    avoid.push(second_guard.lease().key);
    call.attempts += 1;
    node.metrics.attempt(&call.account);
    let second = attempt(node, &request, None, second_guard);
    tokio::pin!(second);
    tokio::select! {
        result = &mut first => first_success(result, second).await,
        result = &mut second => first_success(result, first).await,
    }
}

/// Returns the first result if it is a success, or else that of `rest`.
///
/// If both fail, the error has the combined verdict.
async fn first_success(
    result: Result<Vec<u8>, Error>,
    rest: impl Future<Output = Result<Vec<u8>, Error>>,
) -> Result<Vec<u8>, Error> {
    let Err(error) = result else { return result };
    rest.await
        .map_err(|last| last.with_earlier_verdict(error.verdict()))
}

/// Returns the 95th percentile of the duration of the account's calls.
fn p95_duration(node: &Node, call: &Call) -> Option<Duration> {
    let stats = node.stats();
    query::series_p95(
        &stats,
        &call.account,
        &service_class(),
        Phase::Total,
        MIN_P95_CALLS,
    )
}

/// Charges the retry budget for a hedged attempt; returns whether it is allowed.
fn try_charge_hedge(node: &Node, call: &Call, sent_at: Moment) -> bool {
    let p95_duration = p95_duration(node, call);
    let now = node.clock.now();
    let mut accounts = node.accounts();
    let budget = accounts.budget(&call.account);
    budget.is_some_and(|budget| {
        retry::try_hedge(
            &retry_context(call),
            now.since(sent_at),
            p95_duration,
            budget,
            now,
        )
    })
}

/// Refunds the retry budget for a hedged attempt that was not made.
fn refund_hedge(node: &Node, call: &Call) {
    if let Some(budget) = node.accounts().budget(&call.account) {
        budget.refund();
    }
}

/// Returns a free slot of a warm server that was not yet tried, if there is one.
async fn hedge_slot(node: &Arc<Node>, call: &Call, avoid: &[u64]) -> Option<SlotGuard> {
    let until = node.clock.now() + HEDGE_SLOT_TIMEOUT;
    let guard = local_slot(node, call, avoid, until).await.ok()?;
    let lease = guard.lease();
    if avoid.contains(&lease.key) || !lease.offer.capacity.warm {
        guard.release(Ending::Failed, None, 0);
        return None;
    }
    Some(guard)
}

/// Returns the context for the decision on another attempt.
fn retry_context(call: &Call) -> retry::Context {
    retry::Context {
        attempts: call.attempts.max(1),
        is_forwarded: call.forwarded,
        is_idempotent: true,
        deadline: call.deadline,
        expected: MIN_ATTEMPT_TIME,
    }
}

/// Decides whether to make another attempt, and after which delay.
fn decide(node: &Node, call: &Call, error: &Error) -> retry::Decision {
    let retry_context = retry_context(call);
    let now = node.clock.now();
    let mut accounts = node.accounts();
    match accounts.budget(&call.account) {
        Some(budget) => retry::decide(&retry_context, error, budget, now, &mut rand::rng()),
        None => retry::Decision::Stop(retry::Refusal::Budget),
    }
}

/// Where the next attempt runs: on this node or at a peer.
enum Placement {
    /// On a slot of this node.
    Local(SlotGuard),
    /// On a slot of a peer.
    Peer(NodeName),
}

/// Waits for a local slot and meanwhile searches for a peer with a free one.
async fn find_slot(
    node: &Arc<Node>,
    call: &Call,
    avoid: &[u64],
    tried: &mut Vec<NodeName>,
    prefers_peer: bool,
) -> Result<Placement, Error> {
    let target = Target::Service(call.service.clone());
    let max_wait = if call.forwarded {
        FORWARDED_SLOT_TIMEOUT
    } else {
        SLOT_TIMEOUT
    };
    let until = call.deadline.min(node.clock.now() + max_wait);
    let mut slot_wait = SlotWait::new(node, slot_request(node, call, avoid, until))?;
    let mut search_delay = PEER_SEARCH_DELAY;
    if prefers_peer
        && !call.forwarded
        && let Some(peer) = node.peers.reserve_slot(&target, tried, node.clock.now())
    {
        return Ok(Placement::Peer(peer));
    }
    loop {
        tokio::select! {
            biased;
            guard = &mut slot_wait => return guard.map(Placement::Local).map_err(|e| no_slot_error(&e)),
            () = sleep(search_delay) => {}
        }
        let now = node.clock.now();
        if now >= until {
            let error = Error::not_run(Kind::Overloaded, "no slot became free in time");
            return Err(no_slot_error(&error));
        }
        if !call.forwarded
            && let Some(peer) = node.peers.reserve_slot(&target, tried, now)
        {
            return Ok(Placement::Peer(peer));
        }
        tried.clear();
        search_delay = PEER_SEARCH_INTERVAL;
    }
}

/// Waits for a slot of this node until `until`.
///
/// # Errors
///
/// Returns an error with verdict not-run if none became free.
pub(crate) async fn local_slot(
    node: &Arc<Node>,
    call: &Call,
    avoid: &[u64],
    until: Moment,
) -> Result<SlotGuard, Error> {
    let slot_wait = SlotWait::new(node, slot_request(node, call, avoid, until))?;
    let remaining = node.clock.now().until(until);
    let late = || Error::not_run(Kind::Overloaded, "no slot became free in time");
    let granted = tokio::time::timeout(remaining, slot_wait)
        .await
        .map_err(|_| late())?;
    granted.map_err(|error| no_slot_error(&error))
}

/// Returns the slot request of a call.
fn slot_request(node: &Node, call: &Call, avoid: &[u64], until: Moment) -> SlotRequest {
    let plan = node.control().plan_of(&call.account);
    SlotRequest {
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
fn no_slot_error(error: &Error) -> Error {
    Error::not_run(Kind::Overloaded, error.message()).with_retry_after(RETRY_AFTER)
}

/// Makes one attempt on the slot of `guard`.
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
    mut guard: SlotGuard,
) -> Result<Vec<u8>, Error> {
    let request = service::Call {
        attempt: Attempt::random(),
        name: call.call.as_ref().into(),
        key,
        body: call.body.to_vec().into(),
    };
    let parts = [evidence::whole(call)];
    if let Err(error) = evidence::begin_trial(node, &parts) {
        guard.release(Ending::Failed, None, 0);
        return Err(error);
    }
    let sent_at = node.clock.now();
    let may_send = pre_send_check(node, guard.lease());
    let remaining = sent_at.until(call.deadline);
    let target = guard.lease().target();
    let offer = Arc::clone(&guard.lease().offer);
    guard.mark_sent();
    match service::call(&node.pool, target, &request, may_send, remaining).await {
        Ok(answer) => {
            guard.release(Ending::Whole, None, CALL_TOKENS);
            evidence::record_success(node, &parts);
            Ok(serde_json::to_vec(&answer.result).unwrap_or_default())
        }
        Err(failure) => {
            let error = Error::from(failure);
            let ending = match error.kind() {
                Kind::Overloaded => Ending::Failed,
                _ => Ending::Reset,
            };
            match error.verdict() {
                Verdict::NotRun => guard.release(ending, None, 0),
                _ => guard.release_after_abort(ending, 0),
            }
            if is_lost_connection(&error) {
                let run = node.clock.now().since(sent_at);
                evidence::record_loss(node, &parts, &offer, run).await;
            }
            Err(error)
        }
    }
}
