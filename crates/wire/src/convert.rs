//! Conversions between messages and types of other crates.

use crate::Failure;
use std::{fmt, time::Duration};
use verdict::{Error, Kind, Verdict};

/// The error for a message with an invalid field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    field: &'static str,
}

impl Invalid {
    /// Returns the error for an invalid `field`.
    pub fn new(field: &'static str) -> Self {
        Self { field }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer message with an invalid field {}", self.field)
    }
}

impl std::error::Error for Invalid {}

impl From<&Error> for Failure {
    fn from(error: &Error) -> Self {
        let retry_after = error.retry_after().unwrap_or_default();
        Self {
            kind: kind_text(error.kind()),
            verdict: error.verdict().as_str().into(),
            message: error.message().into(),
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Converts a failure.
///
/// An unknown verdict becomes [`Verdict::MayHaveRun`], an unknown kind
/// [`Kind::Internal`].
impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        let verdict = failure.verdict.parse().unwrap_or(Verdict::MayHaveRun);
        let kind = kind_from_text(&failure.kind).unwrap_or(Kind::Internal);
        let error = Self::new(kind, verdict, failure.message);
        match failure.retry_after_ms {
            0 => error,
            millis => error.with_retry_after(Duration::from_millis(millis)),
        }
    }
}

/// Returns the text of `kind` in messages.
pub fn kind_text(kind: Kind) -> String {
    match serde_json::to_value(kind) {
        Ok(serde_json::Value::String(text)) => text,
        _ => String::new(),
    }
}

/// Returns the kind with the given text.
fn kind_from_text(text: &str) -> Option<Kind> {
    serde_json::from_value(serde_json::Value::String(text.into())).ok()
}
