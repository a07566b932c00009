//! The processing of a request at an entry node.

use crate::{
    Invariant,
    backend::{Grant, Run},
    node::{PEER_TIMEOUT, REQUEST_TIMEOUT},
    simulation::{
        ENGINES, Endpoint, LogMessage, Message, NodeMessage, ServerMessage, Simulation,
        frame_count, incarnation_id,
    },
    step::{Mutation, Step, Work},
    trace::Outcome,
};
use admit::slot::{Completion, Ending, Permit};
use clock::Moment;
use name::{Attempt, Generation, Replica};
use once::{
    Action, AppendResult, Call, ClaimId, Digest, Event, Key, KeyState, Limits, Record, Request,
    Response,
};
use rand::{Rng, seq::IndexedRandom};
use replica::{Cause, ListingState, dispatch_check};
use route::{
    answer::{Frame, Progress, Step as FrameAction},
    retry::{Context, Decision, decide},
};
use std::time::Duration;
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

/// The time between two steps of a request.
const STEP_INTERVAL: Duration = Duration::from_micros(200);

/// The time between two checks for a free slot.
const SLOT_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// The maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum wait for a slot.
const SLOT_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum time without a frame of a response.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The expected duration of another attempt.
const EXPECTED_ATTEMPT_TIME: Duration = Duration::from_millis(500);

/// The backend server chosen for an attempt, with the permit to send.
#[derive(Debug)]
pub(crate) struct Placement {
    server: usize,
    replica: Option<Replica>,
    generation: Generation,
    attempt: Attempt,
    permit: Option<Permit>,
    connected: Option<Uuid>,
    is_sent: bool,
    /// When the server last sent a frame, or was last sent a message.
    last_activity: Moment,
}

/// A request in progress at its entry node.
#[derive(Debug)]
pub(crate) struct Job {
    work: Work,
    deadline: Moment,
    /// The end of the wait for a slot.
    slot_deadline: Moment,
    placement: Option<Placement>,
    progress: Progress,
    attempts: u32,
    verdict: Verdict,
    call: Option<Call>,
    /// The standing that the claim will have once it is read back.
    claimed: Option<KeyState>,
    /// The time from which a call with a key must not be sent.
    dispatch_deadline: Moment,
    reply: Option<Outcome>,
    is_answered: bool,
    is_ending: bool,
}

impl Job {
    /// Returns whether the current attempt was sent to a server.
    pub(crate) fn is_sent(&self) -> bool {
        self.placement.as_ref().is_some_and(|p| p.is_sent)
    }

    /// Returns the current attempt.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        self.placement.as_ref().map(|p| p.attempt)
    }

    fn is_current(&self, attempt: Attempt) -> bool {
        self.placement
            .as_ref()
            .is_some_and(|p| p.attempt == attempt)
    }
}

impl Simulation {
    /// Delivers a caller's request to its entry node.
    pub(crate) fn arrive(&mut self, request: usize) {
        let node = self.trace.requests[request].node;
        if !self.nodes[node].is_up {
            return self.finish_request(request, Outcome::Disconnected);
        }
        let incarnation = self.nodes[node].incarnation;
        let body = NodeMessage::Proceed {
            request,
            step: Step::Accept,
        };
        self.send(
            Endpoint::Caller,
            Endpoint::Caller,
            Message::ToNode {
                node,
                incarnation,
                body,
            },
        );
    }

    /// Records the result that the caller receives, unless it already has one.
    pub(crate) fn finish_request(&mut self, request: usize, outcome: Outcome) {
        let now = self.now;
        self.trace.requests[request]
            .outcome
            .get_or_insert((outcome, now));
    }

    fn schedule_step(&mut self, node: usize, request: usize, step: Step) {
        self.push_node(STEP_INTERVAL, node, NodeMessage::Proceed { request, step });
    }

    /// Executes one step of a request.
    pub(crate) fn proceed(&mut self, node: usize, request: usize, step: Step) {
        let work = self.trace.requests[request].work;
        let job = self.nodes[node].jobs.get(&request);
        if job.is_none() && step != Step::Accept {
            return;
        }
        let server = job.and_then(|j| j.placement.as_ref()).map(|p| p.server);
        if !self.reach_step(work, step, node, server, Some(request)) {
            if !self.nodes[node].is_up {
                return self.finish_request(request, Outcome::Disconnected);
            }
            // The node is paused; the step is executed after the pause.
            return self.schedule_step(node, request, step);
        }
        match step {
            Step::Accept => self.accept(node, request, work),
            Step::Authenticate => self.authenticate(node, request),
            Step::ReadConfiguration => self.read_configuration(node, request, work),
            Step::Claim => self.claim(node, request),
            Step::ReadClaim => self.read_claim(node, request),
            Step::Choose => self.choose(node, request, work),
            Step::Admit => self.admit(node, request),
            Step::Connect => self.connect(node, request),
            Step::SendHead => self.send_head(node, request),
            Step::SendBody => self.send_body(node, request),
            Step::RecordOutcome => self.record_outcome(node, request),
            Step::Answer => self.answer(node, request),
            _ => {}
        }
    }

    fn accept(&mut self, node: usize, request: usize, work: Work) {
        let now = self.now;
        if !self.nodes[node].drain.begin_request(now) {
            let verdict = self.refusal_verdict(work);
            return self.finish_request(request, Outcome::Failed(verdict));
        }
        self.nodes[node].retry_budget.record_request();
        let job = Job {
            work,
            deadline: now + REQUEST_TIMEOUT,
            slot_deadline: now + SLOT_TIMEOUT,
            placement: None,
            progress: Progress::default(),
            attempts: 0,
            verdict: Verdict::NotRun,
            call: None,
            claimed: None,
            dispatch_deadline: now + REQUEST_TIMEOUT,
            reply: None,
            is_answered: false,
            is_ending: false,
        };
        self.nodes[node].jobs.insert(request, job);
        self.schedule_step(node, request, Step::Authenticate);
    }

    fn authenticate(&mut self, node: usize, request: usize) {
        let state = self.nodes[node].state();
        let verdict = self.refusal_verdict(self.trace.requests[request].work);
        match state.lists().accounts.is_empty() {
            true => self.reply(node, request, Outcome::Failed(verdict)),
            false => self.schedule_step(node, request, Step::ReadConfiguration),
        }
    }

    /// Returns the verdict for a request that is refused before its key is looked up.
    ///
    /// Another call with the same key may have run.
    fn refusal_verdict(&self, work: Work) -> Verdict {
        match work {
            Work::Booking if !self.has_mutation(Mutation::RefuseBeforeLookup) => {
                Verdict::MayHaveRun
            }
            _ => Verdict::NotRun,
        }
    }

    fn read_configuration(&mut self, node: usize, request: usize, work: Work) {
        let is_ready = self.nodes[node].is_ready(self.now, self.plan.mutation);
        match (is_ready, work) {
            (true, Work::Booking) => self.schedule_step(node, request, Step::Claim),
            (true, _) => self.schedule_step(node, request, Step::Choose),
            (false, Work::Booking) => {
                self.reply(node, request, Outcome::Failed(Verdict::MayHaveRun));
            }
            (false, _) => self.reply(node, request, Outcome::Failed(Verdict::NotRun)),
        }
    }

    fn claim(&mut self, node: usize, request: usize) {
        let (now, wall) = (self.now, self.wall());
        let key = self.trace.requests[request].key;
        // The timestamp in the UUIDv7 key is the wall-clock time of the run's start.
        let id = 1_000_000_000u128 << 80 | 7 << 76 | 2 << 62 | key as u128;
        let entry_node = &mut self.nodes[node];
        let Some(job) = entry_node.jobs.get_mut(&request) else {
            return;
        };
        let claim_request = Request {
            key: Key {
                account: "caller".try_into().expect("a valid name"),
                id: Uuid::from_u128(id),
            },
            digest: Digest::new("service/call", b"{}"),
            incarnation: incarnation_id(node, entry_node.incarnation),
            claim: ClaimId(Uuid::from_u128(self.rng.random())),
            deadline: job.deadline,
        };
        job.claimed = Some(KeyState::Claimed {
            digest: claim_request.digest,
            incarnation: claim_request.incarnation,
            claim: claim_request.claim,
        });
        let (call, actions) = Call::begin(
            claim_request,
            &Limits::default(),
            &entry_node.claims,
            now,
            wall,
        );
        job.call = Some(call);
        self.execute_actions(node, request, actions);
    }

    /// Executes the actions of a call with a key.
    fn execute_actions(&mut self, node: usize, request: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(Record::Void { .. }) if self.has_mutation(Mutation::SkipVoid) => {
                    self.reply(node, request, Outcome::Failed(Verdict::NotRun));
                }
                Action::Append(record) => {
                    self.send_log(node, LogMessage::Claim { request, record });
                }
                Action::Dispatch { before } => self.dispatch(node, request, before),
                Action::Respond(Ok(answer)) => {
                    let body = answer.body.as_deref().unwrap_or_default();
                    let text = String::from_utf8_lossy(body).into_owned();
                    self.reply(node, request, Outcome::Complete(text));
                }
                Action::Respond(Err(error)) => {
                    self.reply(node, request, Outcome::Failed(error.verdict()));
                }
            }
        }
        self.remove_settled(node, request);
    }

    fn dispatch(&mut self, node: usize, request: usize, before: Moment) {
        let now = self.now;
        let is_unbounded = self.has_mutation(Mutation::LateDispatch);
        if let Some(job) = self.nodes[node].jobs.get_mut(&request) {
            job.dispatch_deadline = before;
            job.slot_deadline = match is_unbounded {
                true => now + REQUEST_TIMEOUT,
                false => before.min(now + SLOT_TIMEOUT),
            };
            self.schedule_step(node, request, Step::Choose);
        }
    }

    /// Passes an event to a call with a key, and executes its actions.
    fn handle_call_event(&mut self, node: usize, request: usize, event: Event) {
        let now = self.now;
        let job = self.nodes[node].jobs.get_mut(&request);
        if let Some(call) = job.and_then(|j| j.call.as_mut()) {
            let actions = call.handle(event, now);
            self.execute_actions(node, request, actions);
        }
    }

    /// Handles the log's response to the append of a claim record.
    pub(crate) fn on_appended(&mut self, node: usize, request: usize, append: AppendResult) {
        self.handle_call_event(node, request, Event::Appended(append));
        if append == AppendResult::Acknowledged && self.has_mutation(Mutation::SkipReadBack) {
            let job = self.nodes[node].jobs.get(&request);
            let Some(standing) = job.and_then(|j| j.claimed.clone()) else {
                return;
            };
            self.handle_call_event(node, request, Event::Read(standing));
        }
    }

    /// Executes the step that reads the claim, for all calls whose key is not free.
    pub(crate) fn check_claims(&mut self, node: usize) {
        let entry_node = &self.nodes[node];
        let is_read = |call: &Call| entry_node.claims.key_state(call.key()) != KeyState::Free;
        let due: Vec<usize> = entry_node
            .jobs
            .iter()
            .filter(|(_, job)| job.call.as_ref().is_some_and(is_read))
            .map(|(id, _)| *id)
            .collect();
        for request in due {
            self.proceed(node, request, Step::ReadClaim);
        }
    }

    fn read_claim(&mut self, node: usize, request: usize) {
        let entry_node = &self.nodes[node];
        let call = entry_node.jobs.get(&request).and_then(|j| j.call.as_ref());
        if let Some(standing) = call.map(|c| entry_node.claims.key_state(c.key())) {
            self.handle_call_event(node, request, Event::Read(standing));
        }
    }

    /// Chooses a server with a free slot.
    fn choose(&mut self, node: usize, request: usize, work: Work) {
        let now = self.now;
        let Some(job) = self.nodes[node].jobs.get(&request) else {
            return;
        };
        if job.placement.is_some() || job.is_answered && work != Work::Booking {
            return;
        }
        if now >= job.slot_deadline {
            let error = Error::not_run(Kind::Overloaded, "no slot became free in time");
            return self.fail_unplaced(node, request, error);
        }
        let found = self.candidates(node, work);
        let Some((server, replica, generation)) = found.choose(&mut self.rng).cloned() else {
            let body = NodeMessage::Proceed {
                request,
                step: Step::Choose,
            };
            return self.push_node(SLOT_RETRY_INTERVAL, node, body);
        };
        let placement = Placement {
            server,
            replica,
            generation,
            attempt: Attempt(Uuid::from_u128(self.rng.random())),
            permit: None,
            connected: None,
            is_sent: false,
            last_activity: now,
        };
        if let Some(job) = self.nodes[node].jobs.get_mut(&request) {
            job.placement = Some(placement);
        }
        self.schedule_step(node, request, Step::Admit);
    }

    /// Returns the servers that can accept a request now.
    fn candidates(&self, node: usize, work: Work) -> Vec<(usize, Option<Replica>, Generation)> {
        let now = self.now;
        let entry_node = &self.nodes[node];
        let state = entry_node.state();
        let has_slot = |server: &usize| {
            entry_node
                .gates
                .get(server)
                .is_some_and(|g| g.available(now) > 0)
        };
        if work == Work::Draft {
            let found = self.servable(node).into_iter();
            return found
                .filter_map(|(replica, servable)| {
                    let lead = self.members(&state, &replica).first().copied()?;
                    Some((lead, Some(replica), servable.generation))
                })
                .filter(|(lead, _, _)| has_slot(lead))
                .collect();
        }
        (ENGINES..self.servers.len())
            .filter(|server| self.is_offered(node, *server) && has_slot(server))
            .map(|server| (server, None, Generation::default()))
            .collect()
    }

    /// Returns whether a plain service can accept requests.
    fn is_offered(&self, node: usize, server: usize) -> bool {
        let entry_node = &self.nodes[node];
        let name = &self.servers[server].name;
        let Some(seen) = entry_node.services.get(name) else {
            return false;
        };
        let is_leaving =
            seen.listing == ListingState::Leaving && !self.has_mutation(Mutation::IgnoreLeaving);
        entry_node.services.fresh_report(name, self.now).is_some()
            && !entry_node.state().is_taken_out(name, &seen.domain)
            && !is_leaving
            && !seen.is_suspected(self.now)
    }

    fn admit(&mut self, node: usize, request: usize) {
        let now = self.now;
        let entry_node = &mut self.nodes[node];
        let Some(job) = entry_node.jobs.get_mut(&request) else {
            return;
        };
        let Some(placement) = &mut job.placement else {
            return;
        };
        let permit = entry_node
            .gates
            .get_mut(&placement.server)
            .and_then(|g| g.try_acquire(now));
        if permit.is_none() {
            job.placement = None;
            return self.schedule_step(node, request, Step::Choose);
        }
        placement.permit = permit;
        job.attempts += 1;
        self.schedule_step(node, request, Step::Connect);
    }

    fn connect(&mut self, node: usize, request: usize) {
        let now = self.now;
        let job = self.nodes[node].jobs.get_mut(&request);
        let Some(placement) = job.and_then(|j| j.placement.as_mut()) else {
            return;
        };
        placement.last_activity = now;
        let (server, attempt) = (placement.server, placement.attempt);
        self.send_server(node, server, ServerMessage::Connect { request, attempt });
    }

    /// Handles the result of opening a connection.
    pub(crate) fn on_connected(
        &mut self,
        node: usize,
        request: usize,
        attempt: Attempt,
        boot: Option<Uuid>,
    ) {
        let job = self.nodes[node].jobs.get_mut(&request);
        let Some(job) = job.filter(|j| j.is_current(attempt) && !j.is_sent()) else {
            return;
        };
        let placement = job
            .placement
            .as_mut()
            .expect("a current attempt has a placement");
        if placement.connected.is_some() {
            return;
        }
        placement.connected = boot;
        match boot {
            Some(_) => self.schedule_step(node, request, Step::SendHead),
            None => self.fail_attempt(
                node,
                request,
                unavailable("the connection was refused"),
                Ending::Reset,
            ),
        }
    }

    fn send_head(&mut self, node: usize, request: usize) {
        self.schedule_step(node, request, Step::SendBody);
    }

    fn send_body(&mut self, node: usize, request: usize) {
        let now = self.now;
        let incarnation = self.nodes[node].incarnation;
        if !self.may_send(node, request) {
            return self.fail_attempt(
                node,
                request,
                unavailable("the time to send has passed"),
                Ending::Failed,
            );
        }
        let entry_node = &mut self.nodes[node];
        let Some(job) = entry_node.jobs.get_mut(&request) else {
            return;
        };
        let Some(placement) = job.placement.as_mut() else {
            return;
        };
        placement.is_sent = true;
        placement.last_activity = now;
        job.progress
            .begin_attempt(placement.attempt, placement.generation);
        let key = self.trace.requests[request].key;
        let run = Run {
            request,
            answer_owner: if job.work == Work::Booking {
                key
            } else {
                request
            },
            attempt: placement.attempt,
            node: (node, incarnation),
            generation: placement.generation,
            index: job.progress.resume_point().tokens,
            total: frame_count(job.work, request),
            connected_boot: placement.connected.unwrap_or_default(),
            grant: placement.permit.as_ref().map(Grant::from),
        };
        let (server, replica) = (placement.server, placement.replica.clone());
        let is_late = job.work == Work::Booking && now >= job.dispatch_deadline;
        if is_late {
            let text = format!("request {request} was sent after its dispatch deadline");
            self.record_finding(Invariant::AtMostOnce, text);
        }
        self.inspect_send(node, server, replica.as_ref(), run.generation);
        self.send_server(node, server, ServerMessage::Work(Box::new(run)));
    }

    /// Returns whether the request may be sent now.
    fn may_send(&self, node: usize, request: usize) -> bool {
        let now = self.now;
        let entry_node = &self.nodes[node];
        let Some(job) = entry_node.jobs.get(&request) else {
            return false;
        };
        let Some(placement) = &job.placement else {
            return false;
        };
        let Some(permit) = &placement.permit else {
            return false;
        };
        let is_permitted = match self.plan.mutation {
            Some(Mutation::IgnoreBoot) => now < permit.send_by(),
            Some(Mutation::LateDispatch) => {
                permit.is_cold() || placement.connected == Some(permit.boot())
            }
            _ => permit.may_send(placement.connected, now),
        };
        let is_in_time = job.work != Work::Booking
            || now < job.dispatch_deadline
            || self.has_mutation(Mutation::LateDispatch);
        let takes_work = entry_node.status(now, self.plan.mutation).accepts_work();
        is_permitted && is_in_time && takes_work && self.is_servable(node, placement)
    }

    fn is_servable(&self, node: usize, placement: &Placement) -> bool {
        let entry_node = &self.nodes[node];
        let state = entry_node.state();
        let server = &self.servers[placement.server];
        match &placement.replica {
            Some(_) if self.has_mutation(Mutation::IgnoreGeneration) => true,
            Some(replica) => dispatch_check(
                &state,
                &entry_node.engines,
                replica,
                placement.generation,
                self.now,
            )
            .is_ok(),
            None => !state.is_taken_out(&server.name, &server.domain),
        }
    }

    /// Handles a response frame.
    pub(crate) fn on_frame(&mut self, node: usize, request: usize, frame: &Frame) {
        let now = self.now;
        let Some(job) = self.nodes[node].jobs.get_mut(&request) else {
            return;
        };
        let work = job.work;
        let Some(placement) = job.placement.as_mut().filter(|p| p.is_sent) else {
            return;
        };
        placement.last_activity = now;
        let server = placement.server;
        let step = match (frame.index, frame.end) {
            (_, Some(_)) => Step::End,
            (0, None) => Step::FirstToken,
            _ => Step::Middle,
        };
        if !self.reach_step(work, step, node, Some(server), Some(request)) {
            let frame = frame.clone();
            return self.push_node(STEP_INTERVAL, node, NodeMessage::Frame { request, frame });
        }
        let is_unchecked = self.has_mutation(Mutation::AcceptStaleFrames);
        let Some(job) = self.nodes[node].jobs.get_mut(&request) else {
            return;
        };
        let frame_action = match (is_unchecked, frame.end) {
            (true, Some(_)) => FrameAction::Finish,
            (true, None) => FrameAction::Deliver,
            (false, _) => job.progress.accept(frame),
        };
        let is_delivered = matches!(frame_action, FrameAction::Deliver | FrameAction::Finish);
        if work == Work::Draft && is_delivered {
            self.trace.requests[request].text.push_str(&frame.text);
        }
        match frame_action {
            FrameAction::Deliver => {}
            FrameAction::Finish => {
                job.is_ending = true;
                self.schedule_step(node, request, Step::RecordOutcome);
            }
            FrameAction::Fail => self.fail_attempt(
                node,
                request,
                upstream_failure("the server reported a failure"),
                Ending::Reset,
            ),
            FrameAction::Discard(_) => {
                let error = upstream_failure("a frame of another response arrived");
                self.fail_attempt(node, request, error, Ending::Reset);
            }
        }
    }

    /// Handles a server's refusal, or a broken connection.
    pub(crate) fn on_refused(
        &mut self,
        node: usize,
        request: usize,
        attempt: Attempt,
        has_begun: bool,
    ) {
        let job = self.nodes[node].jobs.get(&request);
        let Some(job) = job.filter(|j| j.is_current(attempt) && !j.is_ending) else {
            return;
        };
        let error = match has_begun && job.is_sent() {
            true => upstream_failure("the stream ended early"),
            false => unavailable("the server has no replica"),
        };
        self.fail_attempt(node, request, error, Ending::Reset);
    }

    fn record_outcome(&mut self, node: usize, request: usize) {
        let ending = Completion {
            ending: Ending::Whole,
            first_token: None,
        };
        self.release(node, request, ending);
        let Some(job) = self.nodes[node].jobs.get(&request) else {
            return;
        };
        let text = job.progress.text().to_owned();
        match job.work {
            Work::Booking => {
                let answer = Response::ran(200, "text/plain", text.as_bytes());
                self.handle_call_event(node, request, Event::Dispatched(Ok(answer)));
            }
            _ => self.reply(node, request, Outcome::Complete(text)),
        }
    }

    fn release(&mut self, node: usize, request: usize, completion: Completion) {
        let now = self.now;
        let entry_node = &mut self.nodes[node];
        let placement = entry_node
            .jobs
            .get_mut(&request)
            .and_then(|j| j.placement.take());
        let Some(Placement { server, permit, .. }) = placement else {
            return;
        };
        if let (Some(permit), Some(gate)) = (permit, entry_node.gates.get_mut(&server)) {
            gate.release(permit, completion, now);
        }
    }

    /// Closes the connection of the current attempt, which ends its run at the server.
    fn close_connection(&mut self, node: usize, request: usize) {
        let job = self.nodes[node].jobs.get(&request);
        let placement = job.and_then(|j| j.placement.as_ref()).filter(|p| p.is_sent);
        if let Some((server, attempt)) = placement.map(|p| (p.server, p.attempt)) {
            self.send_server(node, server, ServerMessage::Close(attempt));
        }
    }

    /// Ends a failed attempt, and decides whether to retry.
    fn fail_attempt(&mut self, node: usize, request: usize, error: Error, ending: Ending) {
        let now = self.now;
        let error = match self.plan.mutation {
            Some(Mutation::WrongVerdict) => Error::not_run(error.kind(), error.message()),
            _ => error,
        };
        let completion = Completion {
            ending,
            first_token: None,
        };
        self.close_connection(node, request);
        self.release(node, request, completion);
        let mutation = self.plan.mutation;
        let entry_node = &mut self.nodes[node];
        let Some(job) = entry_node.jobs.get_mut(&request) else {
            return;
        };
        job.progress.end_attempt();
        job.verdict = job.verdict.combine(error.verdict());
        if job.work == Work::Booking {
            let may_repeat =
                error.is_safe_to_retry() || mutation == Some(Mutation::RetryAfterBytes);
            return match may_repeat && now < job.dispatch_deadline {
                true => self.schedule_step(node, request, Step::Choose),
                false => self.handle_call_event(node, request, Event::Dispatched(Err(error))),
            };
        }
        let retry_context = Context {
            attempts: job.attempts.max(1),
            is_forwarded: false,
            is_idempotent: true,
            deadline: job.deadline,
            expected: EXPECTED_ATTEMPT_TIME,
        };
        match decide(
            &retry_context,
            &error,
            &mut entry_node.retry_budget,
            now,
            &mut self.rng,
        ) {
            Decision::After(wait) => {
                job.slot_deadline = now + wait + SLOT_TIMEOUT;
                let step = Step::Choose;
                self.push_node(wait, node, NodeMessage::Proceed { request, step });
            }
            Decision::Stop(_) => {
                let verdict = job.verdict;
                self.reply(node, request, Outcome::Failed(verdict));
            }
        }
    }

    /// Fails a request for which no server had a free slot in time.
    fn fail_unplaced(&mut self, node: usize, request: usize, error: Error) {
        let Some(job) = self.nodes[node].jobs.get(&request) else {
            return;
        };
        let verdict = job.verdict.combine(error.verdict());
        match job.work {
            Work::Booking => self.handle_call_event(node, request, Event::Dispatched(Err(error))),
            _ => self.reply(node, request, Outcome::Failed(verdict)),
        }
    }

    fn reply(&mut self, node: usize, request: usize, outcome: Outcome) {
        if let Some(job) = self.nodes[node].jobs.get_mut(&request)
            && job.reply.is_none()
        {
            job.reply = Some(outcome);
            self.schedule_step(node, request, Step::Answer);
        }
    }

    fn answer(&mut self, node: usize, request: usize) {
        let now = self.now;
        let entry_node = &mut self.nodes[node];
        let Some(job) = entry_node.jobs.get_mut(&request).filter(|j| !j.is_answered) else {
            return;
        };
        job.is_answered = true;
        let outcome = job.reply.clone();
        entry_node.drain.end_request(now);
        if let Some(outcome) = outcome {
            self.finish_request(request, outcome);
        }
        self.remove_settled(node, request);
    }

    /// Removes a request that was answered and has no work left.
    fn remove_settled(&mut self, node: usize, request: usize) {
        let jobs = &mut self.nodes[node].jobs;
        let is_settled = jobs.get(&request).is_some_and(|job| {
            job.is_answered
                && job.placement.is_none()
                && job.call.as_ref().is_none_or(Call::is_settled)
        });
        if is_settled {
            jobs.remove(&request);
        }
    }

    /// Fails attempts that timed out or lost their replica, and updates calls with keys.
    pub(crate) fn check_jobs(&mut self, node: usize) {
        let ids: Vec<usize> = self.nodes[node].jobs.keys().copied().collect();
        for request in ids {
            if let Some((error, ending)) = self.attempt_failure(node, request) {
                self.fail_attempt(node, request, error, ending);
            }
            let entry_node = &self.nodes[node];
            let call = entry_node.jobs.get(&request).and_then(|j| j.call.as_ref());
            if let Some(call) = call.filter(|call| !call.is_settled()) {
                let event = match entry_node.claims.key_state(call.key()) {
                    KeyState::Claimed { incarnation, .. }
                        if self.is_claimant_gone(node, incarnation) =>
                    {
                        Event::ClaimantGone
                    }
                    _ => Event::Tick,
                };
                self.handle_call_event(node, request, event);
            }
        }
    }

    /// Returns whether another incarnation is not reachable, so that its claims are abandoned.
    fn is_claimant_gone(&self, node: usize, incarnation: name::Incarnation) -> bool {
        let entry_node = &self.nodes[node];
        let mut alive = entry_node
            .links
            .iter()
            .filter(|(_, link)| self.now.since(link.last_contact) <= PEER_TIMEOUT)
            .map(|(peer, link)| incarnation_id(*peer, link.incarnation));
        incarnation != incarnation_id(node, entry_node.incarnation)
            && !alive.any(|other| other == incarnation)
    }

    /// Returns the error with which the current attempt must end, if any.
    fn attempt_failure(&self, node: usize, request: usize) -> Option<(Error, Ending)> {
        let now = self.now;
        let entry_node = &self.nodes[node];
        let job = entry_node.jobs.get(&request)?;
        let placement = job.placement.as_ref().filter(|_| !job.is_ending)?;
        let silence = now.since(placement.last_activity);
        if !placement.is_sent {
            let is_late = placement.permit.is_some() && silence > CONNECT_TIMEOUT;
            return is_late.then(|| (unavailable("no connection in time"), Ending::Reset));
        }
        if now >= job.deadline || silence > IDLE_TIMEOUT {
            let error = Error::may_have_run(Kind::Deadline, "the answer did not come in time");
            return Some((error, Ending::Reset));
        }
        let replica = placement.replica.as_ref()?;
        let state = entry_node.state();
        let blocked = dispatch_check(
            &state,
            &entry_node.engines,
            replica,
            placement.generation,
            now,
        )
        .err()?;
        let is_lost = matches!(
            blocked.cause,
            Cause::Unassigned
                | Cause::Superseded { .. }
                | Cause::Suspected
                | Cause::Elsewhere { .. }
        );
        is_lost.then(|| (upstream_failure("the replica was lost"), Ending::Reset))
    }
}

fn unavailable(message: &str) -> Error {
    Error::not_run(Kind::Unavailable, message)
}

fn upstream_failure(message: &str) -> Error {
    Error::may_have_run(Kind::Upstream, message)
}
