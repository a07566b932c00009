//! Errors of calls to the log service.

use std::{error, fmt};

/// Whether a failed call may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// No byte of the request was sent, or the service rejected it.
    NotAppended,
    /// The request may have taken effect.
    Unknown,
}

/// A failed call to the log service.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    reason: String,
    source: Option<Box<dyn error::Error + Send + Sync>>,
}

impl Error {
    /// Returns the error of a call that certainly had no effect.
    pub fn not_appended(reason: impl Into<String>) -> Self {
        Self {
            kind: Kind::NotAppended,
            reason: reason.into(),
            source: None,
        }
    }

    /// Returns the error of a call that may have taken effect.
    pub fn effect_unknown(reason: impl Into<String>) -> Self {
        Self {
            kind: Kind::Unknown,
            reason: reason.into(),
            source: None,
        }
    }

    /// Adds the underlying error.
    pub(crate) fn with_source(mut self, source: impl error::Error + Send + Sync + 'static) -> Self {
        self.source = Some(Box::new(source));
        self
    }

    /// Returns whether the call certainly appended nothing.
    ///
    /// True only if no byte of the request can have been sent, or if the
    /// service rejected it. Otherwise the records may be on the log already or
    /// be appended later.
    pub fn is_not_appended(&self) -> bool {
        self.kind == Kind::NotAppended
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = match self.kind {
            Kind::NotAppended => "nothing appended",
            Kind::Unknown => "effect unknown",
        };
        write!(f, "log service: {} ({effect})", self.reason)
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        self.source.as_deref().map(|source| source as _)
    }
}
