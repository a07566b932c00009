//! Attempts to run a request on backend servers until one of them answers.

use crate::{
    admit::{Job, RETRY_ELSEWHERE},
    evidence::{Progress, format_digest, withheld_error},
    slot::{NoSlot, ServersView, Slot, SlotRequest},
    state::Shared,
};
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use name::{Instance, Node};
use net::{Connection, Framing};
use place::Urgency;
use quarantine::Refusal;
use rand::Rng;
use site::call::{RequestContext, ResponseHead};
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use verdict::{Error, Kind, Verdict};

/// How long a connection to a server may take to open.
///
/// A round trip across a region and the handshake take a few milliseconds; a lost
/// packet is retransmitted after 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a pooled connection may have been idle for a request that runs at most
/// once.
///
/// If the server has just closed the connection, it is unknown whether the request
/// ran.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(1_500);

/// How long a pooled connection may have been idle for a repeatable request.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// The fraction of a request's remaining time that it may wait for a slot.
const MAX_WAIT_FRACTION: f64 = 0.35;

/// The fraction of its remaining time that a request may wait for a slot after a
/// server has run it.
const MAX_RESUME_WAIT_FRACTION: f64 = 0.8;

/// The time without a response head after which another server is tried.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The time without a response head after which another node is tried, if this one
/// reaches no servers.
const MIN_HEAD_WAIT: Duration = Duration::from_millis(500);

/// How often a request without a response checks whether its server is stalled for all
/// other requests as well.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum time to the first token, as a multiple of the prediction.
const FIRST_TOKEN_TIMEOUT_FACTOR: u32 = 4;

/// The retry delay for callers if no target serves the model.
const RETRY_WITHOUT_TARGET: Duration = Duration::from_millis(1_000);

/// The retry delay for callers if servers refused the request and the service has no
/// retry credit.
const RETRY_WITHOUT_CREDIT: Duration = Duration::from_millis(300);

/// Returns a time with random jitter of 25 %.
///
/// Callers that were refused together should not retry together.
pub(crate) fn jitter(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// Returns a time that is later by up to 25 %, at random.
fn delay(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(1.0..1.25))
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempts {
    /// The servers that refused the request or failed.
    pub(crate) excluded: Vec<Instance>,
    /// The number of servers that may have run the request.
    pub(crate) executions: u32,
    /// How many times the request was sent.
    pub(crate) sent: u32,
    /// The number of servers that could not be reached.
    pub(crate) unreachable: u32,
    /// The nodes that refused the request or failed.
    pub(crate) excluded_nodes: Vec<Node>,
    /// The retry delay of the last node that refused the request.
    pub(crate) refused_for: Option<Duration>,
    /// The last sending of the request to a server.
    pub(crate) last_sent: Option<Sending>,
}

/// On what basis a request was sent to a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sending {
    /// The incarnation of the server.
    pub(crate) incarnation: u64,
    /// The view of the servers from which it was chosen.
    pub(crate) view: ServersView,
    /// The time between the choice and the sending.
    pub(crate) since_choice: Duration,
}

impl Attempts {
    /// Returns the attempts of a request that `runs` servers may have run already.
    pub(crate) fn after(runs: u32) -> Self {
        Self {
            executions: runs,
            sent: runs,
            ..Self::default()
        }
    }

    /// Excludes the server or the node of a slot from further attempts.
    fn exclude_slot(&mut self, server: &Instance, node: Option<Node>) {
        match node {
            Some(node) => self.excluded_nodes.push(node),
            None => self.exclude(server.clone()),
        }
    }

    /// Excludes a server from further attempts.
    pub(crate) fn exclude(&mut self, server: Instance) {
        if !self.excluded.contains(&server) {
            self.excluded.push(server);
        }
    }

    /// Returns whether another server may run the request, by the route's limit.
    ///
    /// Servers that have stopped since count as well: this node cannot distinguish a
    /// stopped server from one that only fails to reach the store.
    pub(crate) fn has_executions_left(&self, job: &Job) -> bool {
        self.executions < job.route.attempts
    }

    /// Returns the error for a request that is not retried because credit ran out.
    ///
    /// If no server has run the request, the error carries a retry delay.
    fn credit_exhausted(&self) -> Error {
        let message = "no credit for a further attempt";
        match self.verdict() {
            Verdict::NotRun => Error::not_run(Kind::Unavailable, message)
                .with_retry_after(jitter(RETRY_WITHOUT_CREDIT)),
            verdict => Error::new(Kind::Upstream, verdict, message),
        }
    }

    /// Returns whether the request may have run.
    fn verdict(&self) -> Verdict {
        if self.executions == 0 {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }
}

/// A server's response, with its body unread.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) slot: Slot,
}

impl Answer {
    /// Returns whether the response claims success without a server's proof of it.
    fn is_unsigned_success(&self) -> bool {
        self.status.is_success() && !self.head.is_signed
    }
}

/// Why an attempt gave no response for the caller.
enum AttemptError {
    /// The server did not run the request.
    Refused(Option<Instance>),
    /// The attempt failed for the given reason; the request may have run.
    Failed(&'static str),
    /// A part of the request was quarantined meanwhile.
    Withheld,
    /// The request's secret was revoked meanwhile, or the configuration is too old to tell.
    Unauthorized,
    /// The server was withdrawn before the request was sent.
    Withdrawn,
    /// The request's deadline passed.
    DeadlineExceeded,
}

/// Sends a request to servers until one answers.
///
/// A non-repeatable request is sent to another server only while it is certain that
/// no server has run it. Each further attempt takes credit from the retry budget.
pub(crate) async fn attempt(
    shared: &Arc<Shared>,
    job: &Job,
    attempts: &mut Attempts,
) -> Result<Answer, Error> {
    let mut is_demand_recorded = false;
    let mut has_credit = false;
    loop {
        if let Err(refusal) = job.wait_for_trial(shared).await {
            return Err(job.withheld(shared, attempts, &refusal));
        }
        let slot = match job.slot_at_node(shared, attempts)? {
            // The other node records the demand and takes the credit.
            Some(slot) => slot,
            None => {
                if !std::mem::replace(&mut is_demand_recorded, true) {
                    record_demand(shared, job, attempts);
                }
                has_credit = has_credit || attempts.sent == 0 || job.take_retry_credit(shared);
                if !has_credit {
                    shared.metrics.count("retries_refused", "budget");
                    return Err(attempts.credit_exhausted());
                }
                let slot = job.acquire_slot(shared, attempts).await?;
                if job.begin_trial(shared).is_err() {
                    // Another request of this node took the trial, or the part is quarantined
                    // now.
                    drop(slot);
                    continue;
                }
                slot
            }
        };
        let server = slot.choice.target.server.clone();
        let node = slot.node.clone();
        let sent = attempts.sent;
        let failure = match job.send(shared, slot, attempts).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        // Credit is spent by requests that are sent.
        has_credit = has_credit && attempts.sent == sent;
        match failure {
            AttemptError::Refused(culprit) => {
                shared.metrics.count("attempts", "refused");
                attempts.exclude_slot(&server, node);
                info!(shared.log, "attempt refused"; "id" => &*job.call.attempt_id, "server" => %server,
                    "culprit" => culprit.map(|c| c.to_string()));
            }
            AttemptError::Failed(reason) => {
                shared.metrics.count("attempts", reason);
                if node.is_none() {
                    let now = shared.now();
                    shared.tables().load.record_failure(&server, now);
                }
                attempts.exclude_slot(&server, node);
                info!(shared.log, "attempt failed"; "id" => &*job.call.attempt_id, "server" => %server,
                    "reason" => reason, "runs" => attempts.executions, "request" => format_digest(job.whole().digest()));
                let is_retry_allowed = job.is_repeatable() && attempts.has_executions_left(job);
                if attempts.executions > 0 && !is_retry_allowed {
                    return Err(job.error(attempts, Kind::Upstream, "the server gave no answer"));
                }
            }
            AttemptError::Withheld => {
                shared.metrics.count("attempts", "withheld");
                return Err(job.error(
                    attempts,
                    Kind::Upstream,
                    "the request was withdrawn from its server",
                ));
            }
            AttemptError::Unauthorized => {
                shared.metrics.count("attempts", "unauthorized");
                return Err(job
                    .error(attempts, Kind::Unavailable, "the secret was not confirmed")
                    .with_retry_after(RETRY_ELSEWHERE));
            }
            AttemptError::Withdrawn => {
                shared.metrics.count("attempts", "withdrawn");
                info!(shared.log, "server withdrawn before the request was sent";
                    "id" => &*job.call.attempt_id, "server" => %server);
            }
            AttemptError::DeadlineExceeded => {
                shared.metrics.count("attempts", "late");
                return Err(job.error(attempts, Kind::Deadline, "the deadline passed"));
            }
        }
        if attempts.unreachable > 0 {
            shared.wait_for_check().await;
        }
        if shared.now() >= job.deadline {
            return Err(job.error(attempts, Kind::Deadline, "the deadline passed"));
        }
    }
}

/// Adds a new request to the demand and to the retry budget.
fn record_demand(shared: &Shared, job: &Job, attempts: &Attempts) {
    if attempts.sent > 0 {
        return;
    }
    let now = shared.now();
    let mut tables = shared.tables();
    tables
        .budget(&job.service, &shared.settings.bounds, now)
        .record_request();
    let cost = tables.cost(&job.service, job.call.model.as_ref());
    if let (Some(cost), Some(model)) = (cost, &job.call.model) {
        /// The usual number of requests in a replica's batch.
        const USUAL_BATCH: f64 = 20.0;
        let prompt = f64::from(job.call.prompt_tokens);
        let answer = f64::from(job.call.answer_tokens());
        let seconds = cost.service_time(prompt, answer, USUAL_BATCH);
        tables.demand.add(model, seconds, now);
    }
}

impl Job {
    /// Returns whether a second server may run the request.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// Takes the credit for one further attempt; returns false if there is not enough.
    fn take_retry_credit(&self, shared: &Shared) -> bool {
        let bounds = &shared.settings.bounds;
        let now = shared.now();
        let mut tables = shared.tables();
        tables.budget(&self.service, bounds, now).try_take()
    }

    /// Waits for a slot at a server.
    async fn acquire_slot(&self, shared: &Arc<Shared>, attempts: &Attempts) -> Result<Slot, Error> {
        let begin = shared.now();
        let left = begin.until(self.deadline);
        // A partly answered request is worth more than a new one: an interrupted
        // stream may wait longer, and has precedence over new requests.
        let (fraction, rank) = if attempts.executions == 0 {
            (MAX_WAIT_FRACTION, self.rank)
        } else {
            let due = begin + left.mul_f64(MAX_RESUME_WAIT_FRACTION);
            (MAX_RESUME_WAIT_FRACTION, Urgency { due, ..self.rank })
        };
        let request = SlotRequest {
            service: self.service.clone(),
            model: self.call.model.clone(),
            account: self.account.clone(),
            prompt: self.call.prompt_tokens,
            excluded: attempts.excluded.clone(),
            urgency: rank,
            is_admitted: attempts.sent > 0,
            trial: self.trial_digest(shared),
        };
        let max_wait = left.mul_f64(fraction);
        let max_wait = match shared.time_to_latest_start(&request) {
            // Waiting longer would make it late, and others after it.
            Some(latest) if !latest.is_zero() => max_wait.min(latest),
            _ => max_wait,
        };
        let slot = shared.acquire_slot(request, max_wait).await;
        let waited = shared.now().since(begin);
        shared.metrics.record_time("wait", &self.route.name, waited);
        slot.map_err(|no_slot| {
            let (kind, after, message) = match no_slot {
                NoSlot::NoTarget => (
                    Kind::Unavailable,
                    RETRY_WITHOUT_TARGET,
                    "no server serves this",
                ),
                NoSlot::Full(after) => {
                    self.record_refusal(shared);
                    (Kind::Overloaded, after, "all servers are full")
                }
                NoSlot::AboveLevel(after) => {
                    self.record_refusal(shared);
                    (Kind::Overloaded, after, "above the admission level")
                }
                NoSlot::Declined(after) => {
                    return self
                        .error(attempts, Kind::Overloaded, "all servers declined requests")
                        .with_retry_after(delay(after));
                }
            };
            self.error(attempts, kind, message)
                .with_retry_after(jitter(after))
        })
    }

    /// Returns the error for a request that is withheld for one of its parts.
    fn withheld(&self, shared: &Shared, attempts: &Attempts, refusal: &Refusal) -> Error {
        let (kind, message, after) = withheld_error(shared, self, refusal);
        self.error(attempts, kind, message)
            .with_retry_after(delay(after))
    }

    /// Returns an error with the verdict of the attempts so far.
    pub(crate) fn error(&self, attempts: &Attempts, kind: Kind, message: &str) -> Error {
        Error::new(kind, attempts.verdict(), message)
    }

    /// Sends the request to one server and waits for the response head.
    async fn send(
        &self,
        shared: &Arc<Shared>,
        slot: Slot,
        attempts: &mut Attempts,
    ) -> Result<Answer, AttemptError> {
        let target = slot.choice.target.clone();
        let max_idle = if self.is_repeatable() {
            MAX_IDLE
        } else {
            MAX_IDLE_NON_REPEATABLE
        };
        let connecting = shared.pool.take(target.address, max_idle, CONNECT_TIMEOUT);
        let mut connection = match timeout_at(self.deadline_instant, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                info!(shared.log, "connecting to backend server failed"; "id" => &*self.call.attempt_id,
                    "server" => %target.server, "error" => %error);
                if slot.node.is_none() {
                    attempts.unreachable += 1;
                    shared.record_unreachable(&target.server);
                }
                return Err(AttemptError::Failed("no connection"));
            }
            Err(_) => return Err(AttemptError::DeadlineExceeded),
        };
        if !connection.is_reused() {
            shared.metrics.count("connections", "opened");
        }
        let request = if slot.node.is_some() {
            self.forwarded_request(shared, attempts.executions)
        } else {
            let addition = RequestContext {
                server: target.server.clone(),
                account: self.account.clone(),
                time_left: shared.now().until(self.deadline),
                last_event: self.call.last_event,
            };
            (shared.platform.build_request)(&self.outgoing, &addition)
        };
        if !self.has_valid_secret(shared) {
            return Err(AttemptError::Unauthorized);
        }
        if !slot.is_current() {
            return Err(AttemptError::Withdrawn);
        }
        attempts.sent += 1;
        attempts.executions += 1;
        if slot.node.is_none() {
            attempts.last_sent = Some(Sending {
                incarnation: target.incarnation,
                view: slot.view,
                since_choice: shared.now().since(slot.acquired_at),
            });
        }
        let sending = connection.send(request);
        let answer = match self.await_head(shared, sending, &slot, attempts).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                if error.is_unsent {
                    attempts.executions -= 1;
                } else {
                    shared.record_loss(self, &slot, Progress::Begun).await;
                }
                return Err(AttemptError::Failed("no answer"));
            }
            Err(failure) => return Err(failure),
        };
        let framing = Framing::of(&answer);
        let (parts, body) = answer.into_parts();
        let head = (shared.platform.parse_response_head)(&parts.headers);
        let answer = Answer {
            status: parts.status,
            framing,
            headers: parts.headers,
            head,
            body,
            connection,
            slot,
        };
        // A faulty server may send an extra response where the next one is due. Nothing in it
        // concerns this request, which the server may be running.
        if !self.is_answered_by(&answer) {
            return Err(AttemptError::Failed("not an answer to this request"));
        }
        if answer.slot.node.is_some() {
            if self.follow_node(shared, &answer, attempts) {
                attempts.executions -= 1;
                return Err(AttemptError::Refused(None));
            }
            return if answer.is_unsigned_success() {
                Err(AttemptError::Failed("unsigned answer"))
            } else {
                Ok(answer)
            };
        }
        shared
            .tables()
            .reach
            .record_contact(&answer.slot.choice.target.server);
        self.follow_announcements(shared, &answer);
        self.check(answer, attempts)
    }

    /// Waits for a response head until it is unlikely to come.
    async fn await_head<T>(
        &self,
        shared: &Shared,
        sending: impl Future<Output = T>,
        slot: &Slot,
        attempts: &Attempts,
    ) -> Result<T, AttemptError> {
        let mut changes = shared.fleet_changes.subscribe();
        let mut treatments = shared.treatment_changes.subscribe();
        // A trial of a quarantined part goes on.
        let may_be_withdrawn = !self.is_quarantined(shared);
        let is_retry_allowed = self.is_repeatable() && attempts.has_executions_left(self);
        let predicted = slot.choice.time_to_first_token * FIRST_TOKEN_TIMEOUT_FACTOR;
        let begin = Instant::now();
        let head_deadline = begin + HEAD_TIMEOUT.max(predicted);
        let is_server = slot.node.is_none();
        let mut checks = shared.checks.subscribe();
        tokio::pin!(sending);
        loop {
            tokio::select! {
                result = sending.as_mut() => return Ok(result),
                () = sleep_until(self.deadline_instant) => return Err(AttemptError::DeadlineExceeded),
                () = sleep_until(head_deadline), if is_retry_allowed && is_server => {
                    shared.record_unreachable(&slot.choice.target.server);
                    slot.record_silence();
                    return Err(AttemptError::Failed("silence"));
                }
                () = sleep(SILENCE_CHECK_INTERVAL), if !is_server => {
                    if slot.node.as_ref().is_some_and(|node| !shared.is_node_available(node)) {
                        return Err(AttemptError::Failed("node unreachable"));
                    }
                }
                () = sleep(SILENCE_CHECK_INTERVAL), if is_retry_allowed && slot.choice.target.model.is_some() => {
                    let now = shared.now();
                    let server = &slot.choice.target.server;
                    if shared.tables().load.work(server, now).is_stalled {
                        slot.record_silence();
                        return Err(AttemptError::Failed("server silent"));
                    }
                }
                _ = checks.changed(), if is_retry_allowed && is_server => {
                    let has_waited = begin.elapsed() >= MIN_HEAD_WAIT;
                    if has_waited && shared.is_isolated() {
                        return Err(AttemptError::Failed("servers unreachable"));
                    }
                }
                _ = treatments.changed(), if may_be_withdrawn => {
                    if self.is_quarantined(shared) {
                        return Err(AttemptError::Withheld);
                    }
                }
                _ = changes.changed(), if is_retry_allowed => {
                    if slot.is_replica_lost() {
                        return Err(AttemptError::Failed("replica lost"));
                    }
                }
            }
        }
    }

    /// Returns whether a response is proved to belong to this request.
    ///
    /// Servers copy the identifier of the attempt to every response. Without one, a
    /// response may still be the first on its connection, where no earlier request can have
    /// another. Other nodes write none into their own errors, and send no extra responses.
    fn is_answered_by(&self, answer: &Answer) -> bool {
        match answer.head.attempt_id.as_deref() {
            Some(id) => id == &*self.call.attempt_id,
            None => answer.slot.node.is_some() || !answer.connection.is_reused(),
        }
    }

    /// Checks whether a response to this request is one for the caller.
    fn check(&self, answer: Answer, attempts: &mut Attempts) -> Result<Answer, AttemptError> {
        if !is_final_status(answer.status) {
            return Err(AttemptError::Failed("invalid status"));
        }
        let is_refused =
            answer.head.is_not_executed || answer.status == StatusCode::MISDIRECTED_REQUEST;
        if is_refused {
            attempts.executions -= 1;
            return Err(AttemptError::Refused(answer.head.faulty_server));
        }
        if answer.is_unsigned_success() {
            return Err(AttemptError::Failed("unsigned answer"));
        }
        let is_retry_allowed = self.is_repeatable() && attempts.has_executions_left(self);
        if answer.status.is_server_error() && is_retry_allowed {
            return Err(AttemptError::Failed("server error"));
        }
        Ok(answer)
    }
}

/// Returns whether a status may end a request.
///
/// The HTTP library also accepts 600 to 999, and 101 without an upgrade; a caller would take
/// such a response of a faulty server for an answer.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

#[cfg(test)]
mod tests;
