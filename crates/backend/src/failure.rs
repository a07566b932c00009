//! Failures of requests to external systems.

use crate::proto::{Refusal, Report};
use std::fmt;
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

/// A restart of a backend server: its boot ID differs from the expected one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Restart {
    /// The expected boot ID.
    pub expected: Uuid,
    /// The report of the running incarnation.
    pub report: Report,
}

/// The failure of a request, with the verdict whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    error: Error,
    restart: Option<Box<Restart>>,
    refusal: Option<Refusal>,
}

impl Failure {
    /// Returns the failure of a request of which no byte was written.
    pub(crate) fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Error::not_run(kind, message).into()
    }

    /// Returns the failure of a request that no server could be sent.
    pub(crate) fn unsent(message: impl Into<String>) -> Self {
        Error::not_run(Kind::Unavailable, message).unsent().into()
    }

    /// Returns the failure of a request that may have reached the server.
    pub(crate) fn may_have_run(kind: Kind, message: impl Into<String>) -> Self {
        Error::may_have_run(kind, message).into()
    }

    /// Returns the failure of a request not sent because the server restarted.
    pub(crate) fn restarted(expected: Uuid, report: Report) -> Self {
        let message = format!("{} has restarted", report.instance);
        let restart = Some(Box::new(Restart { expected, report }));
        let error = Error::not_run(Kind::Unavailable, message).unsent();
        Self {
            restart,
            ..error.into()
        }
    }

    /// Returns the failure of a request refused because of a stale generation.
    pub(crate) fn stale_generation(refusal: Refusal) -> Self {
        let message = format!("the engine has seen generation {}", refusal.seen);
        let error = Error::not_run(Kind::Unavailable, message);
        Self {
            refusal: Some(refusal),
            ..error.into()
        }
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.error.verdict()
    }

    /// Returns the error for the caller.
    pub fn error(&self) -> &Error {
        &self.error
    }

    /// Returns the restart that was detected, if it caused the failure.
    pub fn restart(&self) -> Option<&Restart> {
        self.restart.as_deref()
    }

    /// Returns the refusal of a stale generation, if it caused the failure.
    pub fn refusal(&self) -> Option<&Refusal> {
        self.refusal.as_ref()
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self {
            error,
            restart: None,
            refusal: None,
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        failure.error
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.error, f)
    }
}

impl std::error::Error for Failure {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}
