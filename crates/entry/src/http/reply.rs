//! Responses to callers: errors with their verdict, and completions.

use crate::http::body::Route;
use axum::{
    Json,
    response::{IntoResponse, Response},
};
use http::{HeaderValue, header::RETRY_AFTER};
use serde_json::{Value, json};
use verdict::{Error, Kind};

/// The response header with the verdict.
pub(crate) const VERDICT_HEADER: &str = "x-verdict";

/// An error response to a caller.
#[derive(Debug)]
pub(crate) struct Failure(pub(crate) Error);

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self(error)
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let Self(error) = self;
        let mut response = (error.kind().status(), Json(error_body(&error))).into_response();
        let headers = response.headers_mut();
        headers.insert(
            VERDICT_HEADER,
            HeaderValue::from_static(error.verdict().as_str()),
        );
        if let Some(after) = error.retry_after() {
            headers.insert(RETRY_AFTER, HeaderValue::from(ceil_seconds(after)));
        }
        response
    }
}

/// Returns `after` in seconds, rounded up, as the `Retry-After` header requires.
fn ceil_seconds(after: std::time::Duration) -> u64 {
    after.as_secs() + u64::from(after.subsec_nanos() > 0)
}

/// Returns the error body that clients of the completion routes expect.
pub(crate) fn error_body(error: &Error) -> Value {
    json!({
        "error": {
            "message": error.message(),
            "type": error_type(error.kind()),
            "code": wire::convert::kind_text(error.kind()),
            "param": null,
            "verdict": error.verdict().as_str(),
            "retry_after_ms": error.retry_after().map(|after| after.as_millis() as u64),
        }
    })
}

/// Returns the error type in the terms of the completion routes.
fn error_type(kind: Kind) -> &'static str {
    match kind {
        Kind::Unauthenticated => "authentication_error",
        Kind::Forbidden => "permission_error",
        Kind::Limited => "rate_limit_error",
        Kind::Overloaded | Kind::Unavailable | Kind::Deadline | Kind::Upstream | Kind::Internal => {
            "server_error"
        }
        Kind::Malformed
        | Kind::NotFound
        | Kind::SlowRequest
        | Kind::Conflict
        | Kind::TooLarge
        | Kind::Unprocessable => "invalid_request_error",
    }
}

/// A complete answer of a completion route.
#[derive(Debug)]
pub(crate) struct Completion {
    /// The id of the completion.
    pub(crate) id: String,
    /// The requested model.
    pub(crate) model: name::Model,
    /// The text.
    pub(crate) text: String,
    /// The number of tokens generated.
    pub(crate) tokens: u32,
    /// Whether the token limit ended the completion.
    pub(crate) by_length: bool,
    /// The time of creation, in seconds since the Unix epoch.
    pub(crate) created: u64,
}

impl Completion {
    /// Returns the body for `route`.
    pub(crate) fn body(&self, route: Route) -> Value {
        let finish = finish_reason(self.by_length);
        let (object, choice) = match route {
            Route::Text => (
                "text_completion",
                json!({"index": 0, "text": self.text, "finish_reason": finish}),
            ),
            Route::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": self.text},
                    "finish_reason": finish,
                }),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": {"completion_tokens": self.tokens},
        })
    }
}

/// Returns one chunk of a streamed completion.
pub(crate) fn chunk(
    route: Route,
    id: &str,
    model: &name::Model,
    text: &str,
    finish: Option<bool>,
) -> Value {
    let reason = finish.map(finish_reason);
    let (object, choice) = match route {
        Route::Text => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": reason}),
        ),
        Route::Chat => (
            "chat.completion.chunk",
            json!({"index": 0, "delta": {"content": text}, "finish_reason": reason}),
        ),
    };
    json!({"id": id, "object": object, "model": model, "choices": [choice]})
}

/// Returns the finish reason in the terms of the completion routes.
fn finish_reason(by_length: bool) -> &'static str {
    if by_length { "length" } else { "stop" }
}
