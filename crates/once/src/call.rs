//! The state machine of one call with an idempotency key on one node.
//!
//! A call claims its key, reads the claim back and dispatches once. It reports
//! the verdict not-run in three cases only: a void for the key won; its own
//! claim won and it was abandoned, so that nothing will ever dispatch the key;
//! or the backend server rejected the only dispatch with an error that defines
//! the request as not run. For a call that is abandoned before its claim is
//! read back, it is undetermined whether the claim wins, so it appends a void
//! and waits for whichever of the two comes first on the stream.
//!
//! The driver owns each call in one task and performs all actions in order.
//! Events may be late, duplicated or missing.

use crate::{ClaimId, Digest, Key, KeyState, Position, Record, Response, Table};
use clock::{Moment, WallTime};
use name::Incarnation;
use std::time::Duration;
use verdict::{Error, Kind, Verdict};

/// The error message while the log is unavailable.
const LOG_UNAVAILABLE_MESSAGE: &str =
    "the log cannot be reached; repeat with the same key, or use a ticket";

/// The error message if the deadline passes before the key's state is decided.
const DEADLINE_MESSAGE: &str = "the deadline passed; repeat with the same key";

/// The time limits of one call.
#[common::value]
pub struct Limits {
    /// The maximum time from before the append of the claim to the dispatch.
    ///
    /// A call whose claim takes longer to be read back is abandoned and its key
    /// voided.
    #[serde(rename = "dispatch")]
    pub dispatch_timeout: Duration,
}

impl Default for Limits {
    /// Returns 2 seconds.
    fn default() -> Self {
        Self {
            dispatch_timeout: Duration::from_secs(2),
        }
    }
}

/// The result of an append to the log.
#[common::key]
pub enum AppendResult {
    /// The record is on the log.
    Acknowledged,
    /// The record may or may not be on the log.
    Unknown,
    /// The record is not on the log and never will be.
    Refused,
}

/// An event that a call handles.
#[common::plain]
pub enum Event {
    /// The append of the claim or void returned a result.
    Appended(AppendResult),
    /// The state of the key was read from the table.
    Read(KeyState),
    /// The process that holds the claim is no longer a member.
    ClaimantGone,
    /// The log is unavailable.
    LogUnavailable,
    /// The dispatch ended.
    Dispatched(Result<Response, Error>),
    /// Time has passed; due at [`Call::next_deadline`].
    Tick,
}

/// The result of a call, which is returned to the caller.
pub type CallResult = Result<Response, Error>;

/// An action that the driver performs for a call.
#[common::plain]
pub enum Action {
    /// Appends the record to the key's partition.
    Append(Record),
    /// Sends the request to a backend server.
    ///
    /// The driver compares its monotonic clock with `before` directly before
    /// the write and reports [`Verdict::NotRun`] if it has passed. It may try
    /// another backend server only after an error with the verdict not-run.
    Dispatch {
        /// The moment from which on the request must not be sent.
        before: Moment,
    },
    /// Returns the result to the caller.
    Respond(CallResult),
}

/// The parameters of a call.
#[common::value]
#[derive(Hash)]
pub struct Request {
    /// The key.
    pub key: Key,
    /// The digest of the request's target and body.
    #[serde(rename = "body")]
    pub digest: Digest,
    /// The incarnation of the process that handles the call.
    #[serde(rename = "own")]
    pub incarnation: Incarnation,
    /// The random identifier of this call's claim.
    pub claim: ClaimId,
    /// The caller's deadline.
    pub deadline: Moment,
}

/// The state of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    /// The claim is being appended; the dispatch follows once it is read back.
    Claiming,
    /// Abandoned and never dispatched; waits until a void or claim is read.
    Voiding {
        /// Why the call was abandoned.
        reason: Reason,
        /// Whether the result was already returned to the caller.
        has_responded: bool,
    },
    /// Another claim won; waits for its outcome.
    AwaitingOutcome,
    /// Dispatched; a result may already have been returned to the caller.
    Running { has_responded: bool },
    /// The result was returned and nothing is left to do.
    Settled,
}

/// Why a call was abandoned before a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Reason {
    kind: Kind,
    message: &'static str,
}

/// One call with an idempotency key on one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    request: Request,
    /// The moment from which on nothing is dispatched.
    dispatch_before: Moment,
    /// When an abandoned call that has returned its result stops reading the
    /// stream.
    discard_at: Moment,
    stage: Stage,
}

impl Call {
    /// Returns a call that runs its request, with the first actions.
    ///
    /// `now` must be read before the claim is appended.
    pub fn begin(
        request: Request,
        limits: &Limits,
        table: &Table,
        now: Moment,
        wall: WallTime,
    ) -> (Self, Vec<Action>) {
        let mut call = Self {
            dispatch_before: request.deadline.min(now + limits.dispatch_timeout),
            discard_at: request.deadline + limits.dispatch_timeout,
            request,
            stage: Stage::Claiming,
        };
        let actions = call.start(table, wall);
        (call, actions)
    }

    /// Returns a call that rejects its request, with the first actions.
    ///
    /// Used when a node has no capacity for the request. Only a void proves
    /// that the key never runs, so that the verdict not-run can be returned.
    pub fn refuse(
        request: Request,
        limits: &Limits,
        table: &Table,
        wall: WallTime,
    ) -> (Self, Vec<Action>) {
        let mut call = Self {
            dispatch_before: Moment::START,
            discard_at: request.deadline + limits.dispatch_timeout,
            request,
            stage: Stage::Settled,
        };
        let state = table.key_state(&call.request.key);
        let actions = match (state, table.window_position(&call.request.key, wall)) {
            (KeyState::Free, Position::Inside | Position::Ahead) => {
                call.void_key(Kind::Overloaded, "no room for the request")
            }
            (KeyState::Free, _) => call.fail_unknown("no room for the request"),
            (state, _) => call.apply_key_state(state),
        };
        (call, actions)
    }

    /// Returns the key.
    pub fn key(&self) -> &Key {
        &self.request.key
    }

    /// Returns whether nothing is left to do for the call.
    pub fn is_settled(&self) -> bool {
        self.stage == Stage::Settled
    }

    /// Returns when an [`Event::Tick`] is due; `None` if nothing is timed.
    pub fn next_deadline(&self) -> Option<Moment> {
        match self.stage {
            Stage::Claiming => Some(self.dispatch_before),
            Stage::AwaitingOutcome
            | Stage::Voiding {
                has_responded: false,
                ..
            }
            | Stage::Running {
                has_responded: false,
            } => Some(self.request.deadline),
            Stage::Voiding {
                has_responded: true,
                ..
            } => Some(self.discard_at),
            Stage::Running {
                has_responded: true,
            }
            | Stage::Settled => None,
        }
    }

    /// Handles an event and returns the actions, in order.
    pub fn handle(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match self.stage.clone() {
            Stage::Settled => Vec::new(),
            Stage::Claiming => self.on_claiming(event, now),
            Stage::Voiding {
                reason,
                has_responded,
            } => self.on_voiding(&reason, has_responded, event, now),
            Stage::AwaitingOutcome => self.on_awaiting_outcome(event, now),
            Stage::Running { has_responded } => self.on_running(has_responded, event, now),
        }
    }

    /// Handles an event before the claim is read back.
    fn on_claiming(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let is_in_time = now < self.dispatch_before;
        match event {
            Event::Read(KeyState::Claimed { claim, .. }) if claim == self.request.claim => {
                if is_in_time {
                    self.stage = Stage::Running {
                        has_responded: false,
                    };
                    let before = self.dispatch_before;
                    return vec![Action::Dispatch { before }];
                }
                self.finish_undispatched(&claim_timed_out(), false)
            }
            Event::LogUnavailable | Event::Appended(AppendResult::Refused) => {
                self.fail_unknown(LOG_UNAVAILABLE_MESSAGE)
            }
            Event::Read(state) if state != KeyState::Free => self.apply_key_state(state),
            _ if is_in_time => Vec::new(),
            _ => {
                let Reason { kind, message } = claim_timed_out();
                let mut actions = self.void_key(kind, message);
                actions.extend(self.handle(Event::Tick, now));
                actions
            }
        }
    }

    /// Handles an event after the call was abandoned.
    fn on_voiding(
        &mut self,
        reason: &Reason,
        has_responded: bool,
        event: Event,
        now: Moment,
    ) -> Vec<Action> {
        match event {
            Event::Read(KeyState::Claimed { claim, .. }) if claim == self.request.claim => {
                self.finish_undispatched(reason, has_responded)
            }
            Event::Read(state) if has_responded && state != KeyState::Free => {
                self.stage = Stage::Settled;
                Vec::new()
            }
            Event::Read(KeyState::Voided) => self.fail(Error::not_run(reason.kind, reason.message)),
            Event::Read(state) if state != KeyState::Free => self.apply_key_state(state),
            Event::LogUnavailable | Event::Appended(AppendResult::Refused) if !has_responded => {
                self.fail_unknown(LOG_UNAVAILABLE_MESSAGE)
            }
            _ if has_responded && now >= self.discard_at => {
                self.stage = Stage::Settled;
                Vec::new()
            }
            _ if !has_responded && now >= self.request.deadline => {
                // The deadline has passed, but the claim may still be read: its
                // outcome then returns not-run to repeated calls.
                let actions = self.fail_unknown(DEADLINE_MESSAGE);
                self.stage = Stage::Voiding {
                    reason: reason.clone(),
                    has_responded: true,
                };
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Handles an event while another call's claim has no outcome.
    fn on_awaiting_outcome(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Read(KeyState::Done { .. } | KeyState::Voided | KeyState::Unknown)
            | Event::ClaimantGone => {}
            _ if now >= self.request.deadline => return self.fail_unknown(DEADLINE_MESSAGE),
            _ => return Vec::new(),
        }
        match event {
            Event::Read(state) => self.apply_key_state(state),
            _ => self.fail_unknown("the node that claimed the key is gone"),
        }
    }

    /// Handles an event after the dispatch.
    fn on_running(&mut self, has_responded: bool, event: Event, now: Moment) -> Vec<Action> {
        let Event::Dispatched(result) = event else {
            if now < self.request.deadline || has_responded {
                return Vec::new();
            }
            self.stage = Stage::Running {
                has_responded: true,
            };
            return vec![Action::Respond(Err(Error::may_have_run(
                Kind::Deadline,
                "the deadline passed while the request ran",
            )))];
        };
        self.stage = Stage::Settled;
        let response = match &result {
            Ok(response) => response.clone(),
            Err(error) => Response::without_body(error.verdict()),
        };
        let mut actions = vec![Action::Append(self.outcome_record(response))];
        if !has_responded {
            actions.push(Action::Respond(result));
        }
        actions
    }

    /// Starts a call according to the state and the timestamp of its key.
    fn start(&mut self, table: &Table, wall: WallTime) -> Vec<Action> {
        match table.key_state(&self.request.key) {
            KeyState::Free => {}
            state => return self.apply_key_state(state),
        }
        match table.window_position(&self.request.key, wall) {
            Position::Inside if table.is_full() => {
                self.fail_unknown("too many keys are remembered; repeat with the same key")
            }
            Position::Inside => vec![Action::Append(self.claim_record())],
            Position::Ahead => self.void_key(Kind::Malformed, "the key's time lies in the future"),
            Position::FarAhead => self.fail(Error::may_have_run(
                Kind::Malformed,
                "the key's time lies far in the future",
            )),
            Position::TooOld => self.apply_key_state(KeyState::Unknown),
        }
    }

    /// Returns the result of another call with the key, or waits for it.
    fn apply_key_state(&mut self, state: KeyState) -> Vec<Action> {
        let verdict = state.verdict();
        match state {
            KeyState::Claimed { digest, .. } | KeyState::Done { digest, .. }
                if digest != self.request.digest =>
            {
                let message = "the key was used with another request";
                self.fail(Error::new(Kind::Unprocessable, verdict, message))
            }
            KeyState::Claimed { .. } | KeyState::Free => {
                self.stage = Stage::AwaitingOutcome;
                Vec::new()
            }
            KeyState::Done { response, .. } => {
                self.stage = Stage::Settled;
                vec![Action::Respond(response.replay())]
            }
            KeyState::Voided => self.fail(Error::not_run(
                Kind::Conflict,
                "this key was given up before it ran; use a new key",
            )),
            KeyState::Unknown => self.fail_unknown("the key is no longer, or not yet, remembered"),
        }
    }

    /// Abandons the call and appends a void to prove that the key never runs.
    fn void_key(&mut self, kind: Kind, message: &'static str) -> Vec<Action> {
        self.stage = Stage::Voiding {
            reason: Reason { kind, message },
            has_responded: false,
        };
        vec![Action::Append(Record::Void {
            key: self.request.key.clone(),
            incarnation: self.request.incarnation,
        })]
    }

    /// Ends an abandoned call whose own claim won, with the outcome not-run.
    fn finish_undispatched(&mut self, reason: &Reason, has_responded: bool) -> Vec<Action> {
        self.stage = Stage::Settled;
        let outcome = self.outcome_record(Response::without_body(Verdict::NotRun));
        let mut actions = vec![Action::Append(outcome)];
        if !has_responded {
            let error = Error::not_run(reason.kind, reason.message);
            actions.push(Action::Respond(Err(error)));
        }
        actions
    }

    /// Ends the call with an error.
    fn fail(&mut self, error: Error) -> Vec<Action> {
        self.stage = Stage::Settled;
        vec![Action::Respond(Err(error))]
    }

    /// Ends the call with the verdict that the request may have run.
    fn fail_unknown(&mut self, message: &str) -> Vec<Action> {
        self.fail(Error::may_have_run(Kind::Unavailable, message))
    }

    /// Returns the record of the call's claim.
    fn claim_record(&self) -> Record {
        Record::Claim {
            key: self.request.key.clone(),
            digest: self.request.digest,
            incarnation: self.request.incarnation,
            claim: self.request.claim,
        }
    }

    /// Returns the record of the outcome of the call's claim.
    fn outcome_record(&self, response: Response) -> Record {
        Record::Outcome {
            key: self.request.key.clone(),
            claim: self.request.claim,
            response,
        }
    }
}

/// Returns the reason for a claim that is not read back in time.
fn claim_timed_out() -> Reason {
    Reason {
        kind: Kind::Unavailable,
        message: "the log was too slow to confirm the claim",
    }
}
