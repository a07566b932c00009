//! Why a request to a system outside failed.

use crate::proto::{Refusal, Report};
use std::fmt;
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

/// A backend server is in another life than the one that was meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changed {
    /// The boot id that was meant.
    pub expected: Uuid,
    /// The report of the life that was found.
    pub report: Report,
}

/// Why a request failed, and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    error: Error,
    changed: Option<Box<Changed>>,
    refusal: Option<Refusal>,
}

impl Failure {
    /// Returns the failure of a request of which no byte left.
    pub(crate) fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Error::not_run(kind, message).into()
    }

    /// Returns the failure of a request that may have reached the server.
    pub(crate) fn may_have_run(kind: Kind, message: impl Into<String>) -> Self {
        Error::may_have_run(kind, message).into()
    }

    /// Returns the failure of a request that was not sent to another life.
    pub(crate) fn changed(expected: Uuid, report: Report) -> Self {
        let message = format!("{} has restarted", report.instance);
        let changed = Some(Box::new(Changed { expected, report }));
        let error = Error::not_run(Kind::Unavailable, message);
        Self {
            changed,
            ..error.into()
        }
    }

    /// Returns the failure of a request that an engine refused as stale.
    pub(crate) fn stale(refusal: Refusal) -> Self {
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

    /// Returns the life that was found instead of the one that was meant.
    pub fn changed_life(&self) -> Option<&Changed> {
        self.changed.as_deref()
    }

    /// Returns the refusal of a stale fencing number.
    pub fn refusal(&self) -> Option<&Refusal> {
        self.refusal.as_ref()
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self {
            error,
            changed: None,
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
