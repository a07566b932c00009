//! The state of one connection of a client.

use crate::table::Snapshot;
use std::{
    net::IpAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};
use tokio::sync::Notify;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte of a first request was received.
    New,
    /// No request has begun since the last one.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// The body of a request waits for memory of this process.
    Waiting,
    /// The request is complete, or its response is being sent.
    Busy,
}

/// Why a connection is closed, or not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It was idle for too long.
    Idle,
    /// The head of its request came too slowly.
    SlowHead,
    /// There were too many connections.
    Connections,
    /// There was no memory for the bodies of other requests.
    Memory,
}

impl Reason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::SlowHead => "slow head",
            Self::Connections => "too many connections",
            Self::Memory => "no memory",
        }
    }
}

/// A connection of a client.
#[derive(Debug)]
pub struct Connection {
    peer: IpAddr,
    state: Mutex<State>,
    closing: Notify,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    since: Instant,
    received_at: Instant,
    /// Whether bytes came after the end of the current request.
    has_early_bytes: bool,
    closed_for: Option<Reason>,
    /// Whether the connection ends with the response in progress.
    is_last_request: bool,
    /// Whether bytes of a response wait for the client to read.
    is_unsent: bool,
}

impl Connection {
    /// Returns a connection that was just accepted.
    pub(crate) fn new(peer: IpAddr) -> Self {
        let now = Instant::now();
        Self {
            peer,
            state: Mutex::new(State {
                phase: Phase::New,
                since: now,
                received_at: now,
                has_early_bytes: false,
                closed_for: None,
                is_last_request: false,
                is_unsent: false,
            }),
            closing: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state at this moment; `None` if the connection is being closed.
    pub(crate) fn snapshot(&self) -> Option<Snapshot> {
        let state = self.state();
        state.closed_for.is_none().then_some(Snapshot {
            peer: self.peer,
            phase: state.phase,
            since: state.since,
            received_at: state.received_at,
            is_unsent: state.is_unsent,
        })
    }

    /// Records that bytes were received.
    pub(crate) fn record_bytes(&self) {
        let mut state = self.state();
        let now = Instant::now();
        state.received_at = now;
        match state.phase {
            Phase::New | Phase::Idle => {
                state.phase = Phase::Head;
                state.since = now;
            }
            Phase::Busy => state.has_early_bytes = true,
            Phase::Head | Phase::Body | Phase::Waiting => {}
        }
    }

    /// Records whether bytes of a response wait for the client to read.
    pub(crate) fn record_unsent(&self, is_unsent: bool) {
        self.state().is_unsent = is_unsent;
    }

    /// Records that bytes were received on a connection that carries many requests at once.
    pub fn record_activity(&self) {
        self.state().received_at = Instant::now();
    }

    /// Begins a phase of the current request; returns false if the connection is being
    /// closed, in which case the request must not run.
    pub(crate) fn enter(&self, phase: Phase) -> bool {
        let mut state = self.state();
        if state.closed_for.is_some() {
            return false;
        }
        state.phase = phase;
        state.since = Instant::now();
        state.has_early_bytes = false;
        true
    }

    /// Records that the response was sent, or that nothing is sent any more.
    pub(crate) fn end_request(&self) {
        let mut state = self.state();
        state.phase = if state.has_early_bytes {
            Phase::Head
        } else {
            Phase::Idle
        };
        state.since = Instant::now();
        state.has_early_bytes = false;
    }

    /// Requests the end of the connection, unless its request is complete; returns whether
    /// it ends.
    pub(crate) fn close(&self, reason: Reason) -> bool {
        let mut state = self.state();
        if state.phase == Phase::Busy || state.closed_for.is_some() {
            return false;
        }
        state.closed_for = Some(reason);
        drop(state);
        self.closing.notify_waiters();
        true
    }

    /// Requests the end of the connection after the response in progress.
    pub(crate) fn finish(&self) {
        self.state().is_last_request = true;
        self.closing.notify_waiters();
    }

    /// Waits until the end of the connection after the response in progress is requested.
    pub(crate) async fn finishing(&self) {
        self.wait_for(|state| state.is_last_request.then_some(()))
            .await;
    }

    /// Waits until the end of the connection is requested.
    pub async fn closed(&self) -> Reason {
        self.wait_for(|state| state.closed_for).await
    }

    /// Waits until the state has a value, after a change that is signalled.
    async fn wait_for<T>(&self, value: impl Fn(&State) -> Option<T>) -> T {
        loop {
            let notified = self.closing.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if let Some(value) = value(&self.state()) {
                return value;
            }
            notified.await;
        }
    }

    /// Returns whether a request's body is being received.
    pub(crate) fn is_receiving_body(&self) -> bool {
        matches!(self.state().phase, Phase::Body | Phase::Waiting)
    }
}
