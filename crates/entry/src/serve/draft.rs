//! Runs a draft: admission, slot search, attempts and retries.
//!
//! A draft waits for a slot on this node, or is forwarded to a peer that has a
//! free one. After a failed attempt, another server resumes generation after the
//! text already delivered, within the account's retry budget, so that the caller
//! receives one stream.

use crate::{
    driver::cache,
    node::Node,
    serve::{
        accounts,
        attempt::{self, Outcome},
        delivery::Delivery,
        evidence, forward,
        job::{self, Draft, Event, prompt_tokens},
        queue::SlotRequest,
        servers::Target,
        slot::{SlotGuard, SlotWait},
    },
};
use admit::stats::Phase;
use clock::Moment;
use name::Node as NodeName;
use route::{prefix, retry};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::{self, Receiver},
    time::sleep,
};
use verdict::{Error, Kind, Verdict};

/// The wait for a local slot before the search for a peer with a free one.
const PEER_SEARCH_DELAY: Duration = Duration::from_millis(2);

/// The interval between searches for a peer with a free slot.
const PEER_SEARCH_INTERVAL: Duration = Duration::from_millis(25);

/// The time limit for a forwarded draft to get a slot.
///
/// It is short because the forwarding peer can try another node.
const FORWARDED_SLOT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time limit for a draft from a caller to get a slot.
const SLOT_TIMEOUT: Duration = Duration::from_secs(15);

/// The retry delay sent to callers whose request got no slot.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The minimum time that another attempt at a draft takes.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(200);

/// Starts a draft and returns the events of its answer.
///
/// The last event is [`Event::End`] or [`Event::Failed`]. Dropping the receiver
/// cancels the draft.
pub(crate) fn start(node: &Arc<Node>, draft: Draft) -> Receiver<Event> {
    let (events, receiver) = job::channel();
    let node = Arc::clone(node);
    tokio::spawn(async move { run(node, draft, events).await });
    receiver
}

/// Runs a draft to its end.
async fn run(node: Arc<Node>, mut draft: Draft, events: mpsc::Sender<Event>) {
    if let Err(error) = admit(&node, &draft).await {
        let _ = events.send(Event::Failed(error)).await;
        return;
    }
    let mut delivery = Delivery::new(&node, &draft, events);
    let outcome = run_attempts(&node, &mut draft, &mut delivery).await;
    reconcile_usage(&node, &draft, &delivery);
    // The result is ignored: sending fails only if the caller has disconnected.
    let _ = match outcome {
        Outcome::Complete { by_length } => delivery.send(Event::End { by_length }).await,
        Outcome::Failed(error) => delivery.send(Event::Failed(error)).await,
        Outcome::Disconnected => Ok(()),
    };
}

/// Checks that this node accepts work and that the account is within its limits.
async fn admit(node: &Node, draft: &Draft) -> Result<(), Error> {
    let now = node.clock.now();
    if !node.is_ready(now) {
        let error = Error::not_run(Kind::Unavailable, "this entry node may take no work now");
        return Err(error.with_retry_after(RETRY_AFTER));
    }
    if draft.forwarded {
        return Ok(());
    }
    node.metrics.request(&draft.account, &draft.class);
    accounts::start(
        node,
        &draft.account,
        draft.estimated_tokens(),
        draft.deadline,
    )
    .await
}

/// Corrects the account's usage to the actual number of tokens.
fn reconcile_usage(node: &Node, draft: &Draft, delivery: &Delivery) {
    let generated = delivery
        .progress()
        .tokens()
        .saturating_sub(draft.resume.tokens);
    let actual = prompt_tokens(&draft.prompt) + u64::from(generated);
    let now = node.clock.now();
    let total = now.since(delivery.started_at());
    if !draft.forwarded {
        node.accounts()
            .finish(&draft.account, draft.estimated_tokens(), actual);
        node.stats()
            .record(&draft.account, &draft.class, Phase::Total, total);
    }
}

/// Makes attempts until the answer is complete or no further attempt is allowed.
async fn run_attempts(node: &Arc<Node>, draft: &mut Draft, delivery: &mut Delivery) -> Outcome {
    let mut search = Search::default();
    let mut verdict = Verdict::NotRun;
    let parts = evidence::parts(draft);
    loop {
        let trial = tokio::select! {
            trial = evidence::wait_for_trial(node, &parts) => trial,
            () = delivery.disconnected() => return Outcome::Disconnected,
        };
        if let Err(error) = trial {
            return Outcome::Failed(error.with_earlier_verdict(verdict));
        }
        let placement = tokio::select! {
            placement = find_slot(node, draft, &mut search) => placement,
            () = delivery.disconnected() => return Outcome::Disconnected,
        };
        let outcome = match placement {
            Err(error) => return Outcome::Failed(error.with_earlier_verdict(verdict)),
            Ok(Placement::Local(guard)) => {
                if let Err(error) = evidence::begin_trial(node, &parts) {
                    return Outcome::Failed(error.with_earlier_verdict(verdict));
                }
                search.avoid.push(guard.lease().key);
                draft.attempts += 1;
                node.metrics.attempt(&draft.account);
                cache::record_dispatch(node, draft, guard.lease());
                attempt::run(node, draft, &parts, guard, delivery).await
            }
            Ok(Placement::Peer(peer)) => {
                search.tried.push(peer.clone());
                forward::draft(node, &peer, draft, delivery).await
            }
        };
        let Outcome::Failed(error) = outcome else {
            return outcome;
        };
        let is_refused_forward =
            error.verdict() == Verdict::NotRun && error.kind() == Kind::Overloaded;
        verdict = verdict.combine(error.verdict());
        search.prefers_peer |= error.is_unsent();
        if is_refused_forward && !draft.forwarded && draft.attempts < retry::MAX_ATTEMPTS {
            continue;
        }
        match decide(node, draft, &error) {
            retry::Decision::Stop(_) => {
                return Outcome::Failed(error.with_earlier_verdict(verdict));
            }
            retry::Decision::After(wait) => sleep(wait).await,
        }
    }
}

/// Decides whether to make another attempt, and after which delay.
fn decide(node: &Node, draft: &Draft, error: &Error) -> retry::Decision {
    let context = retry::Context {
        attempts: draft.attempts.max(1),
        is_forwarded: draft.forwarded,
        is_idempotent: true,
        deadline: draft.deadline,
        expected: MIN_ATTEMPT_TIME,
    };
    let now = node.clock.now();
    let mut accounts = node.accounts();
    let Some(budget) = accounts.budget(&draft.account) else {
        return retry::Decision::Stop(retry::Refusal::Budget);
    };
    retry::decide(&context, error, budget, now, &mut rand::rng())
}

/// The state of the slot search, kept between attempts.
#[derive(Debug, Default)]
struct Search {
    /// Keys of the servers that were already tried for this draft.
    avoid: Vec<u64>,
    /// Peers already tried; cleared when a search finds no other peer.
    tried: Vec<NodeName>,
    /// Whether a server could not be sent the request from this node; a peer may reach it.
    prefers_peer: bool,
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
    draft: &Draft,
    search: &mut Search,
) -> Result<Placement, Error> {
    let arrived_at = node.clock.now();
    let target = Target::Model(draft.model.clone());
    let until = slot_deadline(draft, arrived_at);
    let mut slot_wait = SlotWait::new(node, slot_request(node, draft, &target, search, until))?;
    let mut search_delay = PEER_SEARCH_DELAY;
    if search.prefers_peer
        && !draft.forwarded
        && let Some(peer) = node.peers.reserve_slot(&target, &search.tried, arrived_at)
    {
        return Ok(Placement::Peer(peer));
    }
    loop {
        tokio::select! {
            biased;
            guard = &mut slot_wait => {
                record_queueing(node, draft, arrived_at);
                return guard.map(Placement::Local).map_err(|error| no_slot_error(node, &target, &error));
            }
            () = sleep(search_delay) => {}
        }
        let now = node.clock.now();
        if now >= until {
            let error = Error::not_run(Kind::Overloaded, "no slot became free in time");
            return Err(no_slot_error(node, &target, &error));
        }
        if !draft.forwarded
            && let Some(peer) = node.peers.reserve_slot(&target, &search.tried, now)
        {
            record_queueing(node, draft, arrived_at);
            return Ok(Placement::Peer(peer));
        }
        search.tried.clear();
        search_delay = PEER_SEARCH_INTERVAL;
    }
}

/// Returns until when the draft may wait for a slot.
fn slot_deadline(draft: &Draft, now: Moment) -> Moment {
    let max_wait = if draft.forwarded {
        FORWARDED_SLOT_TIMEOUT
    } else {
        SLOT_TIMEOUT
    };
    draft.deadline.min(now + max_wait)
}

/// Returns the slot request of a draft.
fn slot_request(
    node: &Node,
    draft: &Draft,
    target: &Target,
    search: &Search,
    until: Moment,
) -> SlotRequest {
    let plan = node.control().plan_of(&draft.account);
    let classes = plan
        .as_ref()
        .map(|plan| plan.classes.as_slice())
        .unwrap_or_default();
    let class = classes.iter().position(|class| *class == draft.class);
    SlotRequest {
        account: draft.account.clone(),
        weight: plan.as_ref().map_or(1, |plan| plan.weight),
        class: class.unwrap_or(classes.len()),
        tokens: draft.estimated_tokens(),
        deadline: until,
        target: target.clone(),
        prefix: prefix::hashes(draft.model.as_str(), &draft.prompt),
        avoid: search.avoid.clone(),
    }
}

/// Records how long the draft waited for a slot.
fn record_queueing(node: &Node, draft: &Draft, arrived_at: Moment) {
    let waited = node.clock.now().since(arrived_at);
    node.stats()
        .record(&draft.account, &draft.class, Phase::Queueing, waited);
}

/// Returns the error for a draft that got no slot.
fn no_slot_error(node: &Node, target: &Target, error: &Error) -> Error {
    let is_served = node.servers().is_served(target);
    let answer = match is_served {
        true => Error::not_run(Kind::Overloaded, error.message()),
        false => Error::not_run(Kind::Unavailable, "no replica serves the model now"),
    };
    answer.with_retry_after(RETRY_AFTER)
}
