//! The course of a request through an entry node.

use crate::{
    Promise,
    backend::{Grant, Run},
    node::{HEARD_FOR, PATIENCE},
    simulation::{
        ENGINES, End, LogMessage, Message, NodeMessage, ServerMessage, World, incarnation, length,
    },
    step::{Broken, Step, Work},
    trace::Told,
};
use admit::slot::{Completion, Ending, Permit};
use clock::Moment;
use name::{Attempt, Generation, Replica};
use once::{
    Action, Answer, Append, Call, Claim, Digest, Event, Key, Limits, Record, Request, Standing,
};
use rand::{Rng, seq::IndexedRandom};
use replica::{Cause, ListingState, dispatch_check};
use route::{
    answer::{Frame, Progress, Step as Passing},
    retry::{Context, Decision, decide},
};
use std::time::Duration;
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

/// The time between two steps of a request.
const STEP_TIME: Duration = Duration::from_micros(200);

/// The time between two looks for a free slot.
const LOOK_EACH: Duration = Duration::from_millis(40);

/// The longest time for a connection.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);

/// The longest wait for a slot.
const WAIT_AT_MOST: Duration = Duration::from_secs(2);

/// The longest silence of a stream.
const SILENCE: Duration = Duration::from_millis(1_500);

/// The time that another attempt is expected to take.
const EXPECTED: Duration = Duration::from_millis(500);

/// A backend server with the right to send it one request.
#[derive(Debug)]
pub(crate) struct Place {
    server: usize,
    replica: Option<Replica>,
    generation: Generation,
    attempt: Attempt,
    permit: Option<Permit>,
    connected: Option<Uuid>,
    is_sent: bool,
    /// When the server was last heard, or asked.
    heard: Moment,
}

/// A request at its entry node.
#[derive(Debug)]
pub(crate) struct Job {
    work: Work,
    deadline: Moment,
    /// The moment at which no slot is waited for any more.
    until: Moment,
    place: Option<Place>,
    progress: Progress,
    attempts: u32,
    verdict: Verdict,
    call: Option<Call>,
    /// The claim of the call, as it looks once it is read back.
    claimed: Option<Standing>,
    /// The moment from which on a call with a key is not sent.
    before: Moment,
    reply: Option<Told>,
    is_answered: bool,
    is_ending: bool,
}

impl Job {
    /// Returns whether the request was sent and not ended.
    pub(crate) fn is_sent(&self) -> bool {
        self.place.as_ref().is_some_and(|p| p.is_sent)
    }

    /// Returns the current attempt.
    pub(crate) fn attempt(&self) -> Option<Attempt> {
        self.place.as_ref().map(|p| p.attempt)
    }

    fn is_current(&self, attempt: Attempt) -> bool {
        self.place.as_ref().is_some_and(|p| p.attempt == attempt)
    }
}

impl World {
    /// Lets a caller's request arrive.
    pub(crate) fn arrive(&mut self, request: usize) {
        let node = self.trace.requests[request].node;
        if !self.nodes[node].is_up {
            return self.tell(request, Told::Cut);
        }
        let life = self.nodes[node].life;
        let body = NodeMessage::Proceed {
            request,
            step: Step::Accept,
        };
        self.send(
            End::Caller,
            End::Caller,
            Message::ToNode { node, life, body },
        );
    }

    /// Tells the caller.
    pub(crate) fn tell(&mut self, request: usize, told: Told) {
        let now = self.now;
        self.trace.requests[request].told.get_or_insert((told, now));
    }

    fn next(&mut self, node: usize, request: usize, step: Step) {
        self.push_node(STEP_TIME, node, NodeMessage::Proceed { request, step });
    }

    /// Takes one step.
    pub(crate) fn proceed(&mut self, node: usize, request: usize, step: Step) {
        let work = self.trace.requests[request].work;
        let job = self.nodes[node].jobs.get(&request);
        if job.is_none() && step != Step::Accept {
            return;
        }
        let server = job.and_then(|j| j.place.as_ref()).map(|p| p.server);
        if !self.hook(work, step, node, server, Some(request)) {
            if !self.nodes[node].is_up {
                return self.tell(request, Told::Cut);
            }
            // The node stands still; what is left comes later.
            return self.next(node, request, step);
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
            let verdict = self.refusal(work);
            return self.tell(request, Told::Failed(verdict));
        }
        self.nodes[node].budget.record_request();
        let job = Job {
            work,
            deadline: now + PATIENCE,
            until: now + WAIT_AT_MOST,
            place: None,
            progress: Progress::default(),
            attempts: 0,
            verdict: Verdict::NotRun,
            call: None,
            claimed: None,
            before: now + PATIENCE,
            reply: None,
            is_answered: false,
            is_ending: false,
        };
        self.nodes[node].jobs.insert(request, job);
        self.next(node, request, Step::Authenticate);
    }

    fn authenticate(&mut self, node: usize, request: usize) {
        let state = self.nodes[node].state();
        let verdict = self.refusal(self.trace.requests[request].work);
        match state.lists().accounts.is_empty() {
            true => self.reply(node, request, Told::Failed(verdict)),
            false => self.next(node, request, Step::ReadConfiguration),
        }
    }

    /// Returns what is said of a request that is refused unseen.
    ///
    /// Another call with the same key may have run.
    fn refusal(&self, work: Work) -> Verdict {
        match work {
            Work::Booking if !self.is_broken(Broken::KeyUnseen) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    fn read_configuration(&mut self, node: usize, request: usize, work: Work) {
        let is_ready = self.nodes[node].is_ready(self.now, self.plan.broken);
        match (is_ready, work) {
            (true, Work::Booking) => self.next(node, request, Step::Claim),
            (true, _) => self.next(node, request, Step::Choose),
            (false, Work::Booking) => self.reply(node, request, Told::Failed(Verdict::MayHaveRun)),
            (false, _) => self.reply(node, request, Told::Failed(Verdict::NotRun)),
        }
    }

    fn claim(&mut self, node: usize, request: usize) {
        let (now, wall) = (self.now, self.wall());
        let key = self.trace.requests[request].key;
        // The time in the key is that of the run's start.
        let id = 1_000_000_000u128 << 80 | 7 << 76 | 2 << 62 | key as u128;
        let held = &mut self.nodes[node];
        let Some(job) = held.jobs.get_mut(&request) else {
            return;
        };
        let wish = Request {
            key: Key {
                account: "caller".try_into().expect("a valid name"),
                id: Uuid::from_u128(id),
            },
            body: Digest::new("service/call", b"{}"),
            own: incarnation(node, held.life),
            claim: Claim(Uuid::from_u128(self.rng.random())),
            deadline: job.deadline,
        };
        job.claimed = Some(Standing::Claimed {
            body: wish.body,
            by: wish.own,
            claim: wish.claim,
        });
        let (call, actions) = Call::begin(wish, &Limits::default(), &held.claims, now, wall);
        job.call = Some(call);
        self.carry(node, request, actions);
    }

    /// Carries out the actions of a call with a key.
    fn carry(&mut self, node: usize, request: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(Record::Void { .. }) if self.is_broken(Broken::NoVoid) => {
                    self.reply(node, request, Told::Failed(Verdict::NotRun));
                }
                Action::Append(record) => {
                    self.send_log(node, LogMessage::Claim { request, record });
                }
                Action::Dispatch { before } => self.dispatch(node, request, before),
                Action::Answer(Ok(answer)) => {
                    let body = answer.body.as_deref().unwrap_or_default();
                    let text = String::from_utf8_lossy(body).into_owned();
                    self.reply(node, request, Told::Whole(text));
                }
                Action::Answer(Err(error)) => {
                    self.reply(node, request, Told::Failed(error.verdict()));
                }
            }
        }
        self.forget_settled(node, request);
    }

    fn dispatch(&mut self, node: usize, request: usize, before: Moment) {
        let now = self.now;
        let is_unbounded = self.is_broken(Broken::LateDispatch);
        if let Some(job) = self.nodes[node].jobs.get_mut(&request) {
            job.before = before;
            job.until = match is_unbounded {
                true => now + PATIENCE,
                false => before.min(now + WAIT_AT_MOST),
            };
            self.next(node, request, Step::Choose);
        }
    }

    /// Gives an event to a call with a key.
    fn inform(&mut self, node: usize, request: usize, event: Event) {
        let now = self.now;
        let job = self.nodes[node].jobs.get_mut(&request);
        if let Some(call) = job.and_then(|j| j.call.as_mut()) {
            let actions = call.on(event, now);
            self.carry(node, request, actions);
        }
    }

    /// Notes that the log answered an append.
    pub(crate) fn appended(&mut self, node: usize, request: usize, append: Append) {
        self.inform(node, request, Event::Appended(append));
        if append == Append::Acknowledged && self.is_broken(Broken::SkipReadBack) {
            let job = self.nodes[node].jobs.get(&request);
            let Some(standing) = job.and_then(|j| j.claimed.clone()) else {
                return;
            };
            self.inform(node, request, Event::Read(standing));
        }
    }

    /// Shows to all calls with keys what the claim stream holds.
    pub(crate) fn look_at_claims(&mut self, node: usize) {
        let held = &self.nodes[node];
        let is_read = |call: &Call| held.claims.standing(call.key()) != Standing::Free;
        let due: Vec<usize> = held
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
        let held = &self.nodes[node];
        let call = held.jobs.get(&request).and_then(|j| j.call.as_ref());
        if let Some(standing) = call.map(|c| held.claims.standing(c.key())) {
            self.inform(node, request, Event::Read(standing));
        }
    }

    /// Chooses a server with a free slot.
    fn choose(&mut self, node: usize, request: usize, work: Work) {
        let now = self.now;
        let Some(job) = self.nodes[node].jobs.get(&request) else {
            return;
        };
        if job.place.is_some() || job.is_answered && work != Work::Booking {
            return;
        }
        if now >= job.until {
            let error = Error::not_run(Kind::Overloaded, "no slot became free in time");
            return self.conclude(node, request, error);
        }
        let found = self.candidates(node, work);
        let Some((server, replica, generation)) = found.choose(&mut self.rng).cloned() else {
            let body = NodeMessage::Proceed {
                request,
                step: Step::Choose,
            };
            return self.push_node(LOOK_EACH, node, body);
        };
        let place = Place {
            server,
            replica,
            generation,
            attempt: Attempt(Uuid::from_u128(self.rng.random())),
            permit: None,
            connected: None,
            is_sent: false,
            heard: now,
        };
        if let Some(job) = self.nodes[node].jobs.get_mut(&request) {
            job.place = Some(place);
        }
        self.next(node, request, Step::Admit);
    }

    /// Returns the servers that may take a request now.
    fn candidates(&self, node: usize, work: Work) -> Vec<(usize, Option<Replica>, Generation)> {
        let now = self.now;
        let held = &self.nodes[node];
        let state = held.state();
        let has_slot =
            |server: &usize| held.gates.get(server).is_some_and(|g| g.available(now) > 0);
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

    /// Returns whether a plain service may take requests.
    fn is_offered(&self, node: usize, server: usize) -> bool {
        let held = &self.nodes[node];
        let name = &self.servers[server].name;
        let Some(seen) = held.services.get(name) else {
            return false;
        };
        let is_leaving =
            seen.listing == ListingState::Leaving && !self.is_broken(Broken::IgnoreLeaving);
        held.services.fresh_report(name, self.now).is_some()
            && !held.state().is_taken_out(name, &seen.domain)
            && !is_leaving
            && !seen.is_suspected(self.now)
    }

    fn admit(&mut self, node: usize, request: usize) {
        let now = self.now;
        let held = &mut self.nodes[node];
        let Some(job) = held.jobs.get_mut(&request) else {
            return;
        };
        let Some(place) = &mut job.place else {
            return;
        };
        let permit = held
            .gates
            .get_mut(&place.server)
            .and_then(|g| g.try_acquire(now));
        if permit.is_none() {
            job.place = None;
            return self.next(node, request, Step::Choose);
        }
        place.permit = permit;
        job.attempts += 1;
        self.next(node, request, Step::Connect);
    }

    fn connect(&mut self, node: usize, request: usize) {
        let now = self.now;
        let job = self.nodes[node].jobs.get_mut(&request);
        let Some(place) = job.and_then(|j| j.place.as_mut()) else {
            return;
        };
        place.heard = now;
        let (server, attempt) = (place.server, place.attempt);
        self.send_server(node, server, ServerMessage::Connect { request, attempt });
    }

    /// Takes the answer to a connection.
    pub(crate) fn connected(
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
        let place = job.place.as_mut().expect("a current attempt has a place");
        if place.connected.is_some() {
            return;
        }
        place.connected = boot;
        match boot {
            Some(_) => self.next(node, request, Step::SendHead),
            None => self.fail(
                node,
                request,
                unavailable("the connection was refused"),
                Ending::Reset,
            ),
        }
    }

    fn send_head(&mut self, node: usize, request: usize) {
        self.next(node, request, Step::SendBody);
    }

    fn send_body(&mut self, node: usize, request: usize) {
        let now = self.now;
        let life = self.nodes[node].life;
        if !self.may_send(node, request) {
            return self.fail(
                node,
                request,
                unavailable("the time to send has passed"),
                Ending::Failed,
            );
        }
        let held = &mut self.nodes[node];
        let Some(job) = held.jobs.get_mut(&request) else {
            return;
        };
        let Some(place) = job.place.as_mut() else {
            return;
        };
        place.is_sent = true;
        place.heard = now;
        job.progress.begin_attempt(place.attempt, place.generation);
        let key = self.trace.requests[request].key;
        let run = Run {
            request,
            own: if job.work == Work::Booking {
                key
            } else {
                request
            },
            attempt: place.attempt,
            node: (node, life),
            generation: place.generation,
            index: job.progress.resume_point().tokens,
            total: length(job.work, request),
            connected: place.connected.unwrap_or_default(),
            granted: place.permit.as_ref().map(Grant::from),
        };
        let (server, replica) = (place.server, place.replica.clone());
        let is_late = job.work == Work::Booking && now >= job.before;
        if is_late {
            let text = format!("request {request} was sent after its claim's time");
            self.note(Promise::AtMostOnce, text);
        }
        self.inspect_send(node, server, replica.as_ref(), run.generation);
        self.send_server(node, server, ServerMessage::Work(Box::new(run)));
    }

    /// Returns whether the request may be written now.
    fn may_send(&self, node: usize, request: usize) -> bool {
        let now = self.now;
        let held = &self.nodes[node];
        let Some(job) = held.jobs.get(&request) else {
            return false;
        };
        let Some(place) = &job.place else {
            return false;
        };
        let Some(permit) = &place.permit else {
            return false;
        };
        let is_permitted = match self.plan.broken {
            Some(Broken::IgnoreBoot) => now < permit.send_by(),
            Some(Broken::LateDispatch) => {
                permit.is_cold() || place.connected == Some(permit.boot())
            }
            _ => permit.may_send(place.connected, now),
        };
        let is_in_time =
            job.work != Work::Booking || now < job.before || self.is_broken(Broken::LateDispatch);
        let takes_work = held.status(now, self.plan.broken).accepts_work();
        is_permitted && is_in_time && takes_work && self.is_servable(node, place)
    }

    fn is_servable(&self, node: usize, place: &Place) -> bool {
        let held = &self.nodes[node];
        let state = held.state();
        let server = &self.servers[place.server];
        match &place.replica {
            Some(_) if self.is_broken(Broken::OtherGeneration) => true,
            Some(replica) => {
                dispatch_check(&state, &held.engines, replica, place.generation, self.now).is_ok()
            }
            None => !state.is_taken_out(&server.name, &server.domain),
        }
    }

    /// Takes a frame from a connection.
    pub(crate) fn frame(&mut self, node: usize, request: usize, frame: &Frame) {
        let now = self.now;
        let Some(job) = self.nodes[node].jobs.get_mut(&request) else {
            return;
        };
        let work = job.work;
        let Some(place) = job.place.as_mut().filter(|p| p.is_sent) else {
            return;
        };
        place.heard = now;
        let server = place.server;
        let step = match (frame.index, frame.end) {
            (_, Some(_)) => Step::End,
            (0, None) => Step::FirstToken,
            _ => Step::Middle,
        };
        if !self.hook(work, step, node, Some(server), Some(request)) {
            let frame = frame.clone();
            return self.push_node(STEP_TIME, node, NodeMessage::Frame { request, frame });
        }
        let is_unchecked = self.is_broken(Broken::OldGeneration);
        let Some(job) = self.nodes[node].jobs.get_mut(&request) else {
            return;
        };
        let passing = match (is_unchecked, frame.end) {
            (true, Some(_)) => Passing::Finish,
            (true, None) => Passing::Deliver,
            (false, _) => job.progress.accept(frame),
        };
        let is_delivered = matches!(passing, Passing::Deliver | Passing::Finish);
        if work == Work::Draft && is_delivered {
            self.trace.requests[request].text.push_str(&frame.text);
        }
        match passing {
            Passing::Deliver => {}
            Passing::Finish => {
                job.is_ending = true;
                self.next(node, request, Step::RecordOutcome);
            }
            Passing::Fail => self.fail(node, request, broken("the server gave up"), Ending::Reset),
            Passing::Discard(_) => {
                let error = broken("a frame of another answer arrived");
                self.fail(node, request, error, Ending::Reset);
            }
        }
    }

    /// Takes a server's refusal, or the break of its connection.
    pub(crate) fn refused(&mut self, node: usize, request: usize, attempt: Attempt, begun: bool) {
        let job = self.nodes[node].jobs.get(&request);
        let Some(job) = job.filter(|j| j.is_current(attempt) && !j.is_ending) else {
            return;
        };
        let error = match begun && job.is_sent() {
            true => broken("the stream ended early"),
            false => unavailable("the server has no replica"),
        };
        self.fail(node, request, error, Ending::Reset);
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
                let answer = Answer::ran(200, "text/plain", text.as_bytes());
                self.inform(node, request, Event::Dispatched(Ok(answer)));
            }
            _ => self.reply(node, request, Told::Whole(text)),
        }
    }

    fn release(&mut self, node: usize, request: usize, completion: Completion) {
        let now = self.now;
        let held = &mut self.nodes[node];
        let place = held.jobs.get_mut(&request).and_then(|j| j.place.take());
        let Some(Place { server, permit, .. }) = place else {
            return;
        };
        if let (Some(permit), Some(gate)) = (permit, held.gates.get_mut(&server)) {
            gate.release(permit, completion, now);
        }
    }

    /// Closes the connection of an attempt, which ends its run.
    fn close(&mut self, node: usize, request: usize) {
        let job = self.nodes[node].jobs.get(&request);
        let place = job.and_then(|j| j.place.as_ref()).filter(|p| p.is_sent);
        if let Some((server, attempt)) = place.map(|p| (p.server, p.attempt)) {
            self.send_server(node, server, ServerMessage::Close(attempt));
        }
    }

    /// Ends an attempt that failed, and decides on another.
    fn fail(&mut self, node: usize, request: usize, error: Error, ending: Ending) {
        let now = self.now;
        let error = match self.plan.broken {
            Some(Broken::WrongVerdict) => Error::not_run(error.kind(), error.message()),
            _ => error,
        };
        let completion = Completion {
            ending,
            first_token: None,
        };
        self.close(node, request);
        self.release(node, request, completion);
        let broken = self.plan.broken;
        let held = &mut self.nodes[node];
        let Some(job) = held.jobs.get_mut(&request) else {
            return;
        };
        job.progress.end_attempt();
        job.verdict = job.verdict.combine(error.verdict());
        if job.work == Work::Booking {
            let may_repeat = error.is_safe_to_retry() || broken == Some(Broken::RetryAfterBytes);
            return match may_repeat && now < job.before {
                true => self.next(node, request, Step::Choose),
                false => self.inform(node, request, Event::Dispatched(Err(error))),
            };
        }
        let situation = Context {
            attempts: job.attempts.max(1),
            is_forwarded: false,
            is_idempotent: true,
            deadline: job.deadline,
            expected: EXPECTED,
        };
        match decide(&situation, &error, &mut held.budget, now, &mut self.rng) {
            Decision::After(wait) => {
                job.until = now + wait + WAIT_AT_MOST;
                let step = Step::Choose;
                self.push_node(wait, node, NodeMessage::Proceed { request, step });
            }
            Decision::Stop(_) => {
                let verdict = job.verdict;
                self.reply(node, request, Told::Failed(verdict));
            }
        }
    }

    /// Ends a request for which no place was found.
    fn conclude(&mut self, node: usize, request: usize, error: Error) {
        let Some(job) = self.nodes[node].jobs.get(&request) else {
            return;
        };
        let verdict = job.verdict.combine(error.verdict());
        match job.work {
            Work::Booking => self.inform(node, request, Event::Dispatched(Err(error))),
            _ => self.reply(node, request, Told::Failed(verdict)),
        }
    }

    fn reply(&mut self, node: usize, request: usize, told: Told) {
        if let Some(job) = self.nodes[node].jobs.get_mut(&request)
            && job.reply.is_none()
        {
            job.reply = Some(told);
            self.next(node, request, Step::Answer);
        }
    }

    fn answer(&mut self, node: usize, request: usize) {
        let now = self.now;
        let held = &mut self.nodes[node];
        let Some(job) = held.jobs.get_mut(&request).filter(|j| !j.is_answered) else {
            return;
        };
        job.is_answered = true;
        let told = job.reply.clone();
        held.drain.end_request(now);
        if let Some(told) = told {
            self.tell(request, told);
        }
        self.forget_settled(node, request);
    }

    /// Forgets a request that was answered and has nothing left to do.
    fn forget_settled(&mut self, node: usize, request: usize) {
        let jobs = &mut self.nodes[node].jobs;
        let is_settled = jobs.get(&request).is_some_and(|job| {
            job.is_answered && job.place.is_none() && job.call.as_ref().is_none_or(Call::is_settled)
        });
        if is_settled {
            jobs.remove(&request);
        }
    }

    /// Looks for requests whose time has passed or whose replica was lost.
    pub(crate) fn look_at_jobs(&mut self, node: usize) {
        let ids: Vec<usize> = self.nodes[node].jobs.keys().copied().collect();
        for request in ids {
            if let Some((error, ending)) = self.overdue(node, request) {
                self.fail(node, request, error, ending);
            }
            let held = &self.nodes[node];
            let call = held.jobs.get(&request).and_then(|j| j.call.as_ref());
            if let Some(call) = call.filter(|call| !call.is_settled()) {
                let event = match held.claims.standing(call.key()) {
                    Standing::Claimed { by, .. } if self.is_gone(node, by) => Event::ClaimantGone,
                    _ => Event::Tick,
                };
                self.inform(node, request, event);
            }
        }
    }

    /// Returns whether a life of a node is known to be over.
    fn is_gone(&self, node: usize, life: name::Incarnation) -> bool {
        let held = &self.nodes[node];
        let mut alive = held
            .links
            .iter()
            .filter(|(_, link)| self.now.since(link.heard) <= HEARD_FOR)
            .map(|(peer, link)| incarnation(*peer, link.life));
        life != incarnation(node, held.life) && !alive.any(|other| other == life)
    }

    /// Returns why an attempt must end, if so.
    fn overdue(&self, node: usize, request: usize) -> Option<(Error, Ending)> {
        let now = self.now;
        let held = &self.nodes[node];
        let job = held.jobs.get(&request)?;
        let place = job.place.as_ref().filter(|_| !job.is_ending)?;
        let silence = now.since(place.heard);
        if !place.is_sent {
            let is_late = place.permit.is_some() && silence > CONNECT_WITHIN;
            return is_late.then(|| (unavailable("no connection in time"), Ending::Reset));
        }
        if now >= job.deadline || silence > SILENCE {
            let error = Error::may_have_run(Kind::Deadline, "the answer did not come in time");
            return Some((error, Ending::Reset));
        }
        let replica = place.replica.as_ref()?;
        let state = held.state();
        let blocked =
            dispatch_check(&state, &held.engines, replica, place.generation, now).err()?;
        let is_lost = matches!(
            blocked.cause,
            Cause::Unassigned
                | Cause::Superseded { .. }
                | Cause::Suspected
                | Cause::Elsewhere { .. }
        );
        is_lost.then(|| (broken("the replica was lost"), Ending::Reset))
    }
}

fn unavailable(message: &str) -> Error {
    Error::not_run(Kind::Unavailable, message)
}

fn broken(message: &str) -> Error {
    Error::may_have_run(Kind::Upstream, message)
}
