//! Calls that may not be repeated: by a claim on the log, or by a ticket.

use crate::{
    node::Node,
    serve::{call, claims::Waits, forward, job::Call},
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

/// The content type of answers.
const JSON: &str = "application/json";

/// The time between two looks whether the claimant is still a member.
const LOOK_EACH: Duration = Duration::from_millis(250);

/// The longest attempt at a call, a bound on what a slot is held for.
const TICKET_POLL: Duration = Duration::from_millis(20);

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
pub(crate) async fn by_key(node: &Arc<Node>, call: Call, text: Option<&str>) -> CallResult {
    let key = Key::parse(&call.account, text)?;
    let arrived = node.clock.now();
    // A node that may take no work cannot tell whether another call with the
    // key has run, and its view of the claims may be old.
    if !node.is_ready(arrived) {
        return Err(unsure("this entry node may take no work now"));
    }
    let admitted = call::admit(node, &call).await;
    let request = Request {
        key: key.clone(),
        digest: digest(&call),
        incarnation: node.identity.incarnation,
        claim: ClaimId(Uuid::new_v4()),
        deadline: call.deadline,
    };
    let reply = Run::start(node, call.clone(), request, admitted.is_ok()).await;
    match admitted {
        Ok(admitted) => admitted.settle(arrived),
        // The limit is the reason that the caller can act on.
        Err(limit) => {
            return reply.map_err(|error| match error.verdict() {
                Verdict::NotRun => limit,
                _ => error,
            });
        }
    }
    reply
}

/// Returns the error for a call that this node can say nothing about.
fn unsure(message: &str) -> Error {
    Error::may_have_run(
        Kind::Unavailable,
        format!("{message}; repeat with the same key"),
    )
    .with_retry_after(Duration::from_secs(1))
}

/// One call on its way.
struct Run {
    node: Arc<Node>,
    call: Call,
    state: once::Call,
    events: UnboundedReceiver<Event>,
    own_events: UnboundedSender<Event>,
    waits: Waits,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.node.claims().leave(&self.waits);
    }
}

impl Run {
    /// Starts a call; the answer comes once it is known, while the rest of the
    /// call goes on in a task of its own.
    async fn start(
        node: &Arc<Node>,
        call: Call,
        request: Request,
        is_admitted: bool,
    ) -> CallResult {
        let (answer, answered) = tokio::sync::oneshot::channel();
        let (own_events, events) = mpsc::unbounded_channel();
        let (state, actions, waits) = {
            let (now, wall) = (node.clock.now(), node.clock.wall());
            let mut claims = node.claims();
            let waits = claims.enter(&request.key, own_events.clone());
            let limits = Limits::default();
            let (state, actions) = match is_admitted {
                true => once::Call::begin(request, &limits, &claims.table, now, wall),
                false => once::Call::refuse(request, &limits, &claims.table, wall),
            };
            (state, actions, waits)
        };
        let run = Self {
            node: Arc::clone(node),
            call,
            state,
            events,
            own_events,
            waits,
        };
        tokio::spawn(run.drive(actions, answer));
        let lost = || Err(unsure("the call was lost in this entry node"));
        answered.await.unwrap_or_else(|_| lost())
    }

    /// Carries actions out and passes events on until the call is settled.
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

    /// Queues a record; nobody waits for outcomes, which are appended again.
    fn append(&self, record: &once::Record) {
        let is_outcome = matches!(record, once::Record::Outcome { .. });
        let answer = (!is_outcome).then(|| self.own_events.clone());
        self.node.claims().queue(record, answer);
        self.node.claims_waiting.notify_one();
    }

    /// Sends the request in a task of its own.
    fn dispatch(&self, before: Moment) {
        let (node, call) = (Arc::clone(&self.node), self.call.clone());
        let (events, key) = (self.own_events.clone(), self.state.key().id.to_string());
        tokio::spawn(async move {
            let result = dispatch(&node, &call, key, before).await;
            let _ = events.send(Event::Dispatched(result));
        });
    }

    /// Waits for the next event.
    async fn next_event(&mut self) -> Event {
        let now = self.node.clock.now();
        let due = self
            .state
            .next_deadline()
            .map_or(LOOK_EACH, |due| now.until(due));
        tokio::select! {
            event = self.events.recv() => event.unwrap_or(Event::Tick),
            () = sleep(due.min(LOOK_EACH).max(Duration::from_millis(1))) => self.look(),
        }
    }

    /// Looks whether another call's claimant is gone.
    fn look(&self) -> Event {
        let standing = self.node.claims().table.key_state(self.state.key());
        let once::KeyState::Claimed { incarnation, .. } = standing else {
            return Event::Tick;
        };
        match is_gone(&self.node, incarnation) {
            true => Event::ClaimantGone,
            false => Event::Tick,
        }
    }
}

/// Returns whether no member has that life.
fn is_gone(node: &Node, life: Incarnation) -> bool {
    let members = node.members();
    let is_alive = members
        .members()
        .any(|word| word.peer.incarnation == life && word.health != member::Health::Dead);
    !is_alive
}

/// Sends a claimed request, once.
///
/// Another backend server is tried only after a refusal that says not-run.
async fn dispatch(
    node: &Arc<Node>,
    call: &Call,
    key: String,
    before: Moment,
) -> Result<Response, Error> {
    let mut avoid = Vec::new();
    loop {
        let hold = call::own_slot(node, call, &avoid, before).await?;
        if node.clock.now() >= before {
            return Err(Error::not_run(
                Kind::Deadline,
                "no slot became free in time",
            ));
        }
        avoid.push(hold.lease().key);
        node.metrics.attempt(&call.account);
        match call::attempt(node, call, Some(key.clone()), hold).await {
            Ok(body) => return Ok(Response::ran(200, JSON, &body)),
            Err(error) if error.is_safe_to_retry() && node.clock.now() < before => {}
            Err(error) => return Err(error),
        }
    }
}

/// Runs a call under a ticket; at the issuer, or through it.
///
/// # Errors
///
/// Returns an error with the verdict about the ticket.
pub(crate) async fn by_ticket(node: &Arc<Node>, call: Call, text: &str) -> CallResult {
    let ticket: Ticket = text.parse()?;
    let place = {
        let members = node.members();
        let is_member = |name: &name::Node, life| members.is_member(name, life);
        node.tickets().destination(&ticket, is_member)
    };
    match place {
        Destination::Local => issued_here(node, call, &ticket).await,
        Destination::Remote(peer, _) if !call.forwarded => {
            let body = forward::call(node, &peer, &call, Some(text)).await?;
            Ok(Response::ran(200, JSON, &body))
        }
        Destination::Remote(..) | Destination::Gone => Err(Error::may_have_run(
            Kind::Unavailable,
            "the entry node that issued the ticket is gone",
        )),
    }
}

/// Runs a call under a ticket of this process.
async fn issued_here(node: &Arc<Node>, call: Call, ticket: &Ticket) -> CallResult {
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
            Start::Wait => sleep(TICKET_POLL).await,
        }
    }
    // The run goes on if the caller goes away, so that a repeat finds its end.
    let (node, number) = (Arc::clone(node), ticket.number);
    let run = tokio::spawn(async move {
        let before = call.deadline;
        let admitted = call::admit(&node, &call).await;
        let result = match admitted {
            Ok(admitted) => {
                let arrived = node.clock.now();
                let result = dispatch(&node, &call, number.to_string(), before).await;
                admitted.settle(arrived);
                result
            }
            Err(error) => Err(error),
        };
        node.tickets().finish(number, &result, node.clock.now());
        result
    });
    run.await
        .unwrap_or_else(|_| Err(unsure("the call was lost in this entry node")))
}
