//! Errors that state whether the request may have run.
//!
//! Every error returned to a caller is an [`Error`], which always carries a
//! [`Verdict`]. Code that cannot determine whether the request ran must use
//! [`Verdict::MayHaveRun`], the weakest statement.

use std::{fmt, time::Duration};

/// The known execution state of a request.
#[common::key]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request was not run and will not be.
    NotRun,
    /// The request may or may not have run.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Returns the text used in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns the verdict on a request from the verdicts on two of its attempts.
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The error for a text that is not the name of a verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseVerdictError;

impl fmt::Display for ParseVerdictError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected not-run, may-have-run or ran")
    }
}

impl std::error::Error for ParseVerdictError {}

impl std::str::FromStr for Verdict {
    type Err = ParseVerdictError;

    fn from_str(text: &str) -> Result<Self, ParseVerdictError> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran]
            .into_iter()
            .find(|v| v.as_str() == text)
            .ok_or(ParseVerdictError)
    }
}

/// The category of an error, which determines its HTTP status.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    Malformed,
    /// The credentials are missing or invalid.
    Unauthenticated,
    /// The caller is authenticated but not allowed to do this.
    Forbidden,
    /// The requested resource does not exist.
    NotFound,
    /// The request took too long to arrive.
    SlowRequest,
    /// The request conflicts with an earlier one.
    Conflict,
    /// The request is larger than the limit.
    TooLarge,
    /// The request is well formed but cannot be processed.
    Unprocessable,
    /// The client account is above its limit.
    Limited,
    /// The system is overloaded.
    Overloaded,
    /// No backend server can serve the request now.
    Unavailable,
    /// The deadline passed.
    Deadline,
    /// The backend server failed or sent an invalid response.
    Upstream,
    /// A failure inside this system.
    Internal,
}

impl Kind {
    /// Returns the HTTP status.
    pub fn status(self) -> http::StatusCode {
        use http::StatusCode;
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Self::Conflict => StatusCode::CONFLICT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unprocessable => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Limited => StatusCode::TOO_MANY_REQUESTS,
            Self::Overloaded | Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Upstream => StatusCode::BAD_GATEWAY,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// An error with its verdict.
#[common::value]
pub struct Error {
    kind: Kind,
    verdict: Verdict,
    message: String,
    retry_after: Option<Duration>,
    /// Whether no byte of the request was sent to a server.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_unsent: bool,
}

impl Error {
    /// Returns an error of `kind` for a request that was not run.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Self::new(kind, Verdict::NotRun, message)
    }

    /// Returns an error of `kind` for a request that may have run.
    pub fn may_have_run(kind: Kind, message: impl Into<String>) -> Self {
        Self::new(kind, Verdict::MayHaveRun, message)
    }

    /// Returns an error of `kind` with `verdict`.
    pub fn new(kind: Kind, verdict: Verdict, message: impl Into<String>) -> Self {
        Self {
            kind,
            verdict,
            message: message.into(),
            retry_after: None,
            is_unsent: false,
        }
    }

    /// Returns the error of a request of which no byte was sent to a server.
    #[must_use]
    pub fn unsent(mut self) -> Self {
        self.is_unsent = true;
        self
    }

    /// Returns whether no byte of the request was sent to a server.
    pub fn is_unsent(&self) -> bool {
        self.is_unsent
    }

    /// Returns the error with the time to wait before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the error with its verdict combined with that of `earlier` attempts.
    #[must_use]
    pub fn with_earlier_verdict(mut self, earlier: Verdict) -> Self {
        self.verdict = self.verdict.combine(earlier);
        self
    }

    /// Returns the category.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the human-readable message.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the time to wait before a retry.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns whether a retry can succeed without a second run of the request.
    pub fn is_safe_to_retry(&self) -> bool {
        self.verdict == Verdict::NotRun
            && matches!(
                self.kind,
                Kind::Overloaded | Kind::Unavailable | Kind::Upstream
            )
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for Error {}
