//! Runs calls that are not idempotent, under a claim in the log or a ticket.

use crate::{
    node::Node,
    serve::{call, claims::Subscription, evidence, forward, job::Call},
};
use clock::Moment;
use name::Incarnation;
use once::{
    Action, CallResult, ClaimId, Destination, Digest, Event, Key, Limits, Request, Response, Start,
    Ticket,
};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::sleep,
};
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

/// The content type of responses.
const CONTENT_TYPE: &str = "application/json";

/// The interval between checks whether the claimant is still a member.
const CLAIMANT_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between checks whether another run under the ticket has ended.
const TICKET_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the digest of a call's target and body.
fn digest(call: &Call) -> Digest {
    Digest::new(&format!("{}/{}", call.service, call.call), &call.body)
}

/// Runs a call under an idempotency key.
///
/// # Errors
///
/// Returns an error whose verdict is about the key: not-run only if the key has
/// not run and never will.
pub(crate) async fn run_with_key(node: &Arc<Node>, call: Call, text: Option<&str>) -> CallResult {
    let key = Key::parse(&call.account, text)?;
    let arrived_at = node.clock.now();
    // A node that accepts no work may have an old view of the claims, so that it
    // cannot determine whether another call with the key has run.
    if !node.is_ready(arrived_at) {
        return Err(unknown_outcome("this entry node may take no work now"));
    }
    let admitted = call::admit(node, &call).await;
    let request = Request {
        key: key.clone(),
        digest: digest(&call),
        incarnation: node.identity.incarnation,
        claim: ClaimId(Uuid::new_v4()),
        deadline: call.deadline,
    };
    let reply = KeyedCall::start(node, call.clone(), request, admitted.is_ok()).await;
    match admitted {
        Ok(admitted) => admitted.complete(arrived_at),
        // If the key has not run, return the limit error: the caller can act on it.
        Err(limit) => {
            return reply.map_err(|error| match error.verdict() {
                Verdict::NotRun => limit,
                _ => error,
            });
        }
    }
    reply
}

/// Returns the error for a call whose outcome this node cannot determine.
fn unknown_outcome(message: &str) -> Error {
    Error::may_have_run(
        Kind::Unavailable,
        format!("{message}; repeat with the same key"),
    )
    .with_retry_after(Duration::from_secs(1))
}

/// A call in progress under an idempotency key.
struct KeyedCall {
    node: Arc<Node>,
    call: Call,
    state: once::Call,
    events: UnboundedReceiver<Event>,
    event_sender: UnboundedSender<Event>,
    subscription: Subscription,
}

impl Drop for KeyedCall {
    fn drop(&mut self) {
        self.node.claims().unsubscribe(&self.subscription);
    }
}

impl KeyedCall {
    /// Starts a call in its own task and returns its answer as soon as it is known.
    ///
    /// The task may outlive the answer, to append the outcome to the log.
    async fn start(
        node: &Arc<Node>,
        call: Call,
        request: Request,
        is_admitted: bool,
    ) -> CallResult {
        let (answer, answered) = tokio::sync::oneshot::channel();
        let (event_sender, events) = mpsc::unbounded_channel();
        let (state, actions, subscription) = {
            let (now, wall) = (node.clock.now(), node.clock.wall());
            let mut claims = node.claims();
            let subscription = claims.subscribe(&request.key, event_sender.clone());
            let limits = Limits::default();
            let (state, actions) = match is_admitted {
                true => once::Call::begin(request, &limits, &claims.table, now, wall),
                false => once::Call::refuse(request, &limits, &claims.table, wall),
            };
            (state, actions, subscription)
        };
        let run = Self {
            node: Arc::clone(node),
            call,
            state,
            events,
            event_sender,
            subscription,
        };
        tokio::spawn(run.drive(actions, answer));
        let lost = || Err(unknown_outcome("the call was lost in this entry node"));
        answered.await.unwrap_or_else(|_| lost())
    }

    /// Executes actions and feeds events to the state machine until it is settled.
    async fn drive(
        mut self,
        mut actions: Vec<Action>,
        answer: tokio::sync::oneshot::Sender<CallResult>,
    ) {
        let mut answer = Some(answer);
        loop {
            for action in actions.drain(..) {
                match action {
                    Action::Append(record) => self.append(&record),
                    Action::Dispatch { before } => self.dispatch(before),
                    Action::Respond(reply) => {
                        if let Some(answer) = answer.take() {
                            let _ = answer.send(reply);
                        }
                    }
                }
            }
            if self.state.is_settled() {
                return;
            }
            let event = self.next_event().await;
            actions = self.state.handle(event, self.node.clock.now());
        }
    }

    /// Queues a record for appending.
    ///
    /// Outcome records have no reply channel; a failed append of one is retried.
    fn append(&self, record: &once::Record) {
        let is_outcome = matches!(record, once::Record::Outcome { .. });
        let answer = (!is_outcome).then(|| self.event_sender.clone());
        self.node.claims().enqueue(record, answer);
        self.node.claims_waiting.notify_one();
    }

    /// Sends the request to a backend server in its own task.
    fn dispatch(&self, before: Moment) {
        let (node, call) = (Arc::clone(&self.node), self.call.clone());
        let (events, key) = (self.event_sender.clone(), self.state.key().id.to_string());
        tokio::spawn(async move {
            let result = dispatch(&node, &call, key, before).await;
            let _ = events.send(Event::Dispatched(result));
        });
    }

    /// Waits for the next event, at most until the next claimant check.
    async fn next_event(&mut self) -> Event {
        let now = self.node.clock.now();
        let due = self
            .state
            .next_deadline()
            .map_or(CLAIMANT_POLL_INTERVAL, |due| now.until(due));
        tokio::select! {
            event = self.events.recv() => event.unwrap_or(Event::Tick),
            () = sleep(due.min(CLAIMANT_POLL_INTERVAL).max(Duration::from_millis(1))) => self.check_claimant(),
        }
    }

    /// Checks whether the node that holds the claim is no longer a live member.
    fn check_claimant(&self) -> Event {
        let standing = self.node.claims().table.key_state(self.state.key());
        let once::KeyState::Claimed { incarnation, .. } = standing else {
            return Event::Tick;
        };
        match is_dead(&self.node, incarnation) {
            true => Event::ClaimantGone,
            false => Event::Tick,
        }
    }
}

/// Returns whether no live member has the given incarnation.
fn is_dead(node: &Node, incarnation: Incarnation) -> bool {
    let members = node.members();
    let is_alive = members
        .members()
        .any(|entry| entry.peer.incarnation == incarnation && entry.health != member::Health::Dead);
    !is_alive
}

/// Sends a claimed request to a backend server, at most once.
///
/// Another backend server is tried only after an error with verdict not-run.
async fn dispatch(
    node: &Arc<Node>,
    call: &Call,
    key: String,
    before: Moment,
) -> Result<Response, Error> {
    let mut avoid = Vec::new();
    let parts = [evidence::whole(call)];
    loop {
        evidence::wait_for_trial(node, &parts).await?;
        let guard = call::local_slot(node, call, &avoid, before).await?;
        if node.clock.now() >= before {
            return Err(Error::not_run(
                Kind::Deadline,
                "no slot became free in time",
            ));
        }
        avoid.push(guard.lease().key);
        node.metrics.attempt(&call.account);
        match call::attempt(node, call, Some(key.clone()), guard).await {
            Ok(body) => return Ok(Response::ran(200, CONTENT_TYPE, &body)),
            Err(error) if error.is_safe_to_retry() && node.clock.now() < before => {}
            Err(error) => return Err(error),
        }
    }
}

/// Runs a call under a ticket, on this node or forwarded to the issuing node.
///
/// # Errors
///
/// Returns an error with the verdict about the ticket.
pub(crate) async fn run_with_ticket(node: &Arc<Node>, call: Call, text: &str) -> CallResult {
    let ticket: Ticket = text.parse()?;
    let place = {
        let members = node.members();
        let is_member = |name: &name::Node, incarnation| members.is_member(name, incarnation);
        node.tickets().destination(&ticket, is_member)
    };
    match place {
        Destination::Local => run_issued_ticket(node, call, &ticket).await,
        Destination::Remote(peer, _) if !call.forwarded => {
            let body = forward::call(node, &peer, &call, Some(text)).await?;
            Ok(Response::ran(200, CONTENT_TYPE, &body))
        }
        Destination::Remote(..) | Destination::Gone => Err(Error::may_have_run(
            Kind::Unavailable,
            "the entry node that issued the ticket is gone",
        )),
    }
}

/// Runs a call under a ticket that this process issued.
async fn run_issued_ticket(node: &Arc<Node>, call: Call, ticket: &Ticket) -> CallResult {
    loop {
        let now = node.clock.now();
        let start = node
            .tickets()
            .start(&call.account, ticket, digest(&call), now)?;
        match start {
            Start::Run => break,
            Start::Done(answer) => return answer.replay(),
            Start::Wait if now >= call.deadline => {
                return Err(Error::may_have_run(
                    Kind::Deadline,
                    "the deadline passed while it ran",
                ));
            }
            Start::Wait => sleep(TICKET_POLL_INTERVAL).await,
        }
    }
    // The run continues if the caller disconnects, so that a repeated call gets
    // its result.
    let (node, number) = (Arc::clone(node), ticket.number);
    let run = tokio::spawn(async move {
        let before = call.deadline;
        let admitted = call::admit(&node, &call).await;
        let result = match admitted {
            Ok(admitted) => {
                let arrived_at = node.clock.now();
                let result = dispatch(&node, &call, number.to_string(), before).await;
                admitted.complete(arrived_at);
                result
            }
            Err(error) => Err(error),
        };
        node.tickets().finish(number, &result, node.clock.now());
        result
    });
    run.await
        .unwrap_or_else(|_| Err(unknown_outcome("the call was lost in this entry node")))
}
