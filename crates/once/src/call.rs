//! One call with a key, at one node.
//!
//! A call claims its key, reads its claim back and dispatches once. It is said
//! to be not run only in three cases: a void for the key won; its own claim won
//! and it has given up, so that nothing will ever dispatch the key; or the
//! backend server refused the one dispatch by definition. A call that gives up
//! before its claim is read back cannot know, so it appends a void and waits
//! for whichever of the two comes first on the stream.
//!
//! The driver keeps each call in one task and carries every action out in
//! order. Events may come late, twice or not at all.

use crate::{ClaimId, Digest, Key, KeyState, Position, Record, Response, Table};
use clock::{Moment, Wall};
use name::Incarnation;
use std::time::Duration;
use verdict::{Error, Kind, Verdict};

/// What a caller is told while the log is down.
const LOG_UNAVAILABLE_MESSAGE: &str =
    "the log cannot be reached; repeat with the same key, or use a ticket";

/// What a caller is told whose deadline passed with the key undecided.
const DEADLINE_MESSAGE: &str = "the deadline passed; repeat with the same key";

/// The bounds on one call.
#[common::value]
pub struct Limits {
    /// The time from before the append of the claim to the dispatch.
    ///
    /// A claim that takes longer to read back is given up and voided.
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

/// What the log said about an append.
#[common::key]
pub enum AppendResult {
    /// The record is on the log.
    Acknowledged,
    /// The record may or may not be on the log.
    Unknown,
    /// The record is not on the log and never will be.
    Refused,
}

/// What happened to a call.
#[common::plain]
pub enum Event {
    /// The log answered the append of the claim or void.
    Appended(AppendResult),
    /// The table folded a record of the key, or was read again.
    Read(KeyState),
    /// The process that holds the claim is no longer among the members.
    ClaimantGone,
    /// The log cannot be reached.
    LogUnavailable,
    /// The dispatch ended.
    Dispatched(Result<Response, Error>),
    /// Time passed; due at [`Call::next_deadline`].
    Tick,
}

/// What a caller is told.
pub type CallResult = Result<Response, Error>;

/// What the driver does for a call.
#[common::plain]
pub enum Action {
    /// Appends the record to the key's partition.
    Append(Record),
    /// Sends the request to a backend server.
    ///
    /// The driver compares its monotonic clock with `before` directly before
    /// the write and reports [`Verdict::NotRun`] if it has passed. It may try
    /// another backend server only after a refusal that says not-run.
    Dispatch {
        /// The moment from which on the request is not sent any more.
        before: Moment,
    },
    /// Answers the caller.
    Respond(CallResult),
}

/// What a call is about.
#[common::value]
#[derive(Hash)]
pub struct Request {
    /// The key.
    pub key: Key,
    /// The digest of the request.
    #[serde(rename = "body")]
    pub digest: Digest,
    /// The process that handles the call.
    #[serde(rename = "own")]
    pub incarnation: Incarnation,
    /// A random number of this call alone.
    pub claim: ClaimId,
    /// The caller's deadline.
    pub deadline: Moment,
}

/// How far a call has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    /// The claim is on its way; the request is dispatched when it is read back.
    Claiming,
    /// Given up: never dispatches. Waits for a void or claim to be read.
    Voiding {
        /// Why the call was given up.
        reason: Reason,
        /// Whether the caller was answered already.
        has_responded: bool,
    },
    /// Another claim won; waits for its outcome.
    AwaitingOutcome,
    /// Dispatched; the caller may have been answered already.
    Running { has_responded: bool },
    /// The caller was answered and nothing is left to do.
    Settled,
}

/// Why a call was given up before a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Reason {
    kind: Kind,
    message: &'static str,
}

/// One call with a key, at one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    request: Request,
    /// From this moment on nothing is dispatched.
    dispatch_before: Moment,
    /// When a call that was answered stops to wait for the stream.
    discard_at: Moment,
    stage: Stage,
}

impl Call {
    /// Returns a call that wants to run, with the first actions.
    ///
    /// `now` is read before the claim is appended.
    pub fn begin(
        request: Request,
        limits: &Limits,
        table: &Table,
        now: Moment,
        wall: Wall,
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

    /// Returns a call that is not wanted to run, with the first actions.
    ///
    /// Used when a node has no room. Only a void proves that the key never
    /// runs, so that the caller can be told not-run.
    pub fn refuse(
        request: Request,
        limits: &Limits,
        table: &Table,
        wall: Wall,
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

    /// Returns when the call wants a [`Event::Tick`]; none once settled.
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

    /// Takes an event; returns the actions, in order.
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

    /// Takes an event while the claim is on its way.
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

    /// Takes an event after the call was given up.
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
                // The caller's time is up, but the claim may still be read:
                // its outcome then tells repeated calls that it never ran.
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

    /// Takes an event while another call's claim is in force.
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

    /// Takes an event after the dispatch.
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

    /// Starts a call by where its key lies and what is known of it.
    fn start(&mut self, table: &Table, wall: Wall) -> Vec<Action> {
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

    /// Answers from, or waits for, what another call did with the key.
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

    /// Never dispatches from here on; asks the stream for proof.
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

    /// Ends a call whose own claim won but which will never dispatch.
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

    /// Ends the call without knowing what became of the key.
    fn fail_unknown(&mut self, message: &str) -> Vec<Action> {
        self.fail(Error::may_have_run(Kind::Unavailable, message))
    }

    /// Returns the call's claim.
    fn claim_record(&self) -> Record {
        Record::Claim {
            key: self.request.key.clone(),
            digest: self.request.digest,
            incarnation: self.request.incarnation,
            claim: self.request.claim,
        }
    }

    /// Returns the record of how the call's claim ended.
    fn outcome_record(&self, response: Response) -> Record {
        Record::Outcome {
            key: self.request.key.clone(),
            claim: self.request.claim,
            response,
        }
    }
}

/// Returns the reason of a claim that is not read back in time.
fn claim_timed_out() -> Reason {
    Reason {
        kind: Kind::Unavailable,
        message: "the log was too slow to confirm the claim",
    }
}
