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

use crate::{Answer, Claim, Digest, Key, Position, Record, Standing, Table};
use clock::{Moment, Wall};
use name::Incarnation;
use std::time::Duration;
use verdict::{Error, Kind, Verdict};

/// What a caller is told while the log is down.
const LOG_DOWN: &str = "the log cannot be reached; repeat with the same key, or use a ticket";

/// What a caller is told whose deadline passed with the key undecided.
const NO_TIME: &str = "the deadline passed; repeat with the same key";

/// The bounds on one call.
#[common::value]
pub struct Limits {
    /// The time from before the append of the claim to the dispatch.
    ///
    /// A claim that takes longer to read back is given up and voided.
    pub dispatch: Duration,
}

impl Default for Limits {
    /// Returns 2 seconds.
    fn default() -> Self {
        Self {
            dispatch: Duration::from_secs(2),
        }
    }
}

/// What the log said about an append.
#[common::key]
pub enum Append {
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
    Appended(Append),
    /// The table folded a record of the key, or was read again.
    Read(Standing),
    /// The process that holds the claim is no longer among the members.
    ClaimantGone,
    /// The log cannot be reached.
    LogDown,
    /// The dispatch ended.
    Dispatched(Result<Answer, Error>),
    /// Time passed; due at [`Call::due`].
    Tick,
}

/// What a caller is told.
pub type Reply = Result<Answer, Error>;

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
    Answer(Reply),
}

/// What a call is about.
#[common::value]
#[derive(Hash)]
pub struct Request {
    /// The key.
    pub key: Key,
    /// The digest of the request.
    pub body: Digest,
    /// The process that handles the call.
    pub own: Incarnation,
    /// A random number of this call alone.
    pub claim: Claim,
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
        answered: bool,
    },
    /// Another claim won; waits for its outcome.
    Following,
    /// Dispatched; the caller may have been answered already.
    Running { answered: bool },
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
    forget_at: Moment,
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
            dispatch_before: request.deadline.min(now + limits.dispatch),
            forget_at: request.deadline + limits.dispatch,
            request,
            stage: Stage::Claiming,
        };
        let actions = call.admit(table, wall);
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
            forget_at: request.deadline + limits.dispatch,
            request,
            stage: Stage::Settled,
        };
        let standing = table.standing(&call.request.key);
        let actions = match (standing, table.place(&call.request.key, wall)) {
            (Standing::Free, Position::Inside | Position::Ahead) => {
                call.abandon(Kind::Overloaded, "no room for the request")
            }
            (Standing::Free, _) => call.unsure("no room for the request"),
            (standing, _) => call.follow(standing),
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
    pub fn due(&self) -> Option<Moment> {
        match self.stage {
            Stage::Claiming => Some(self.dispatch_before),
            Stage::Following
            | Stage::Voiding {
                answered: false, ..
            }
            | Stage::Running { answered: false } => Some(self.request.deadline),
            Stage::Voiding { answered: true, .. } => Some(self.forget_at),
            Stage::Running { answered: true } | Stage::Settled => None,
        }
    }

    /// Takes an event; returns the actions, in order.
    pub fn on(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match self.stage.clone() {
            Stage::Settled => Vec::new(),
            Stage::Claiming => self.on_claiming(event, now),
            Stage::Voiding { reason, answered } => self.on_voiding(&reason, answered, event, now),
            Stage::Following => self.on_following(event, now),
            Stage::Running { answered } => self.on_running(answered, event, now),
        }
    }

    /// Takes an event while the claim is on its way.
    fn on_claiming(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let in_time = now < self.dispatch_before;
        match event {
            Event::Read(Standing::Claimed { claim, .. }) if claim == self.request.claim => {
                if in_time {
                    self.stage = Stage::Running { answered: false };
                    let before = self.dispatch_before;
                    return vec![Action::Dispatch { before }];
                }
                self.withdraw(&too_slow(), false)
            }
            Event::LogDown | Event::Appended(Append::Refused) => self.unsure(LOG_DOWN),
            Event::Read(standing) if standing != Standing::Free => self.follow(standing),
            _ if in_time => Vec::new(),
            _ => {
                let Reason { kind, message } = too_slow();
                let mut actions = self.abandon(kind, message);
                actions.extend(self.on(Event::Tick, now));
                actions
            }
        }
    }

    /// Takes an event after the call was given up.
    fn on_voiding(
        &mut self,
        reason: &Reason,
        answered: bool,
        event: Event,
        now: Moment,
    ) -> Vec<Action> {
        match event {
            Event::Read(Standing::Claimed { claim, .. }) if claim == self.request.claim => {
                self.withdraw(reason, answered)
            }
            Event::Read(standing) if answered && standing != Standing::Free => {
                self.stage = Stage::Settled;
                Vec::new()
            }
            Event::Read(Standing::Voided) => self.fail(Error::not_run(reason.kind, reason.message)),
            Event::Read(standing) if standing != Standing::Free => self.follow(standing),
            Event::LogDown | Event::Appended(Append::Refused) if !answered => self.unsure(LOG_DOWN),
            _ if answered && now >= self.forget_at => {
                self.stage = Stage::Settled;
                Vec::new()
            }
            _ if !answered && now >= self.request.deadline => {
                // The caller's time is up, but the claim may still be read:
                // its outcome then tells repeated calls that it never ran.
                let actions = self.unsure(NO_TIME);
                self.stage = Stage::Voiding {
                    reason: reason.clone(),
                    answered: true,
                };
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Takes an event while another call's claim is in force.
    fn on_following(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Read(Standing::Done { .. } | Standing::Voided | Standing::Unsure)
            | Event::ClaimantGone => {}
            _ if now >= self.request.deadline => return self.unsure(NO_TIME),
            _ => return Vec::new(),
        }
        match event {
            Event::Read(standing) => self.follow(standing),
            _ => self.unsure("the node that claimed the key is gone"),
        }
    }

    /// Takes an event after the dispatch.
    fn on_running(&mut self, answered: bool, event: Event, now: Moment) -> Vec<Action> {
        let Event::Dispatched(result) = event else {
            if now < self.request.deadline || answered {
                return Vec::new();
            }
            self.stage = Stage::Running { answered: true };
            return vec![Action::Answer(Err(Error::may_have_run(
                Kind::Deadline,
                "the deadline passed while the request ran",
            )))];
        };
        self.stage = Stage::Settled;
        let answer = match &result {
            Ok(answer) => answer.clone(),
            Err(error) => Answer::without_body(error.verdict()),
        };
        let mut actions = vec![Action::Append(self.outcome(answer))];
        if !answered {
            actions.push(Action::Answer(result));
        }
        actions
    }

    /// Starts a call by where its key lies and what is known of it.
    fn admit(&mut self, table: &Table, wall: Wall) -> Vec<Action> {
        match table.standing(&self.request.key) {
            Standing::Free => {}
            standing => return self.follow(standing),
        }
        match table.place(&self.request.key, wall) {
            Position::Inside if table.is_full() => {
                self.unsure("too many keys are remembered; repeat with the same key")
            }
            Position::Inside => vec![Action::Append(self.claim_record())],
            Position::Ahead => self.abandon(Kind::Malformed, "the key's time lies in the future"),
            Position::FarAhead => self.fail(Error::may_have_run(
                Kind::Malformed,
                "the key's time lies far in the future",
            )),
            Position::TooOld => self.follow(Standing::Unsure),
        }
    }

    /// Answers from, or waits for, what another call did with the key.
    fn follow(&mut self, standing: Standing) -> Vec<Action> {
        let verdict = standing.verdict();
        match standing {
            Standing::Claimed { body, .. } | Standing::Done { body, .. }
                if body != self.request.body =>
            {
                let message = "the key was used with another request";
                self.fail(Error::new(Kind::Unprocessable, verdict, message))
            }
            Standing::Claimed { .. } | Standing::Free => {
                self.stage = Stage::Following;
                Vec::new()
            }
            Standing::Done { answer, .. } => {
                self.stage = Stage::Settled;
                vec![Action::Answer(answer.repeat())]
            }
            Standing::Voided => self.fail(Error::not_run(
                Kind::Conflict,
                "this key was given up before it ran; use a new key",
            )),
            Standing::Unsure => self.unsure("the key is no longer, or not yet, remembered"),
        }
    }

    /// Never dispatches from here on; asks the stream for proof.
    fn abandon(&mut self, kind: Kind, message: &'static str) -> Vec<Action> {
        self.stage = Stage::Voiding {
            reason: Reason { kind, message },
            answered: false,
        };
        vec![Action::Append(Record::Void {
            key: self.request.key.clone(),
            by: self.request.own,
        })]
    }

    /// Ends a call whose own claim won but which will never dispatch.
    fn withdraw(&mut self, reason: &Reason, answered: bool) -> Vec<Action> {
        self.stage = Stage::Settled;
        let outcome = self.outcome(Answer::without_body(Verdict::NotRun));
        let mut actions = vec![Action::Append(outcome)];
        if !answered {
            let error = Error::not_run(reason.kind, reason.message);
            actions.push(Action::Answer(Err(error)));
        }
        actions
    }

    /// Ends the call with an error.
    fn fail(&mut self, error: Error) -> Vec<Action> {
        self.stage = Stage::Settled;
        vec![Action::Answer(Err(error))]
    }

    /// Ends the call without knowing what became of the key.
    fn unsure(&mut self, message: &str) -> Vec<Action> {
        self.fail(Error::may_have_run(Kind::Unavailable, message))
    }

    /// Returns the call's claim.
    fn claim_record(&self) -> Record {
        Record::Claim {
            key: self.request.key.clone(),
            body: self.request.body,
            by: self.request.own,
            claim: self.request.claim,
        }
    }

    /// Returns the record of how the call's claim ended.
    fn outcome(&self, answer: Answer) -> Record {
        Record::Outcome {
            key: self.request.key.clone(),
            claim: self.request.claim,
            answer,
        }
    }
}

/// Returns the reason of a claim that is not read back in time.
fn too_slow() -> Reason {
    Reason {
        kind: Kind::Unavailable,
        message: "the log was too slow to confirm the claim",
    }
}
