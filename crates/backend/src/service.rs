//! Requests to plain services.

use crate::{
    Failure, Pool, Target,
    connection::{parse, read_body, response_timeout},
    pool::{attempt_request, send_attempt},
    proto::{CallAnswer, IDEMPOTENCY_KEY_HEADER},
};
use bytes::Bytes;
use http::HeaderValue;
use name::Attempt;
use std::time::Duration;
use tokio::time::{self, Instant};
use verdict::Kind;

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The attempt ID.
    pub attempt: Attempt,
    /// The name of the call: letters, digits, `-`, `_`, `.` and `/`.
    pub name: String,
    /// The idempotency key, for a call that must not run twice.
    pub key: Option<String>,
    /// The body, as JSON.
    pub body: Bytes,
}

/// Sends a call and reads its response within `timeout`.
///
/// `may_send` is called directly before the first byte is written; if it
/// returns false, the call is not sent.
///
/// # Errors
///
/// Returns a failure with its verdict. [`Failure::restart`] is set if the
/// service's boot ID differs from the target's.
pub async fn call(
    pool: &Pool,
    target: Target,
    call: &Call,
    may_send: impl FnOnce() -> bool + Send + 'static,
    timeout: Duration,
) -> Result<CallAnswer, Failure> {
    let path = format!("/v1/call/{}", call.name);
    let mut request = attempt_request(&path, &target, call.attempt, call.body.clone())?;
    if let Some(key) = &call.key {
        let key = HeaderValue::try_from(key.as_str());
        let key = key.map_err(|error| Failure::not_run(Kind::Malformed, error.to_string()))?;
        request.headers_mut().insert(IDEMPOTENCY_KEY_HEADER, key);
    }
    let (connection, timeout) = pool.take_with_timeout(&target, timeout).await?;
    let check = Box::new(may_send);
    let attempt = call.attempt;
    let deadline = Instant::now() + timeout;
    let sent = send_attempt(pool, connection, request, attempt, check, timeout);
    let (response, connection) = sent.await?;
    let body = time::timeout_at(deadline, read_body(response.into_body(), pool.limits())).await;
    let body = body.unwrap_or_else(|_| Err(response_timeout()))?;
    let answer: CallAnswer = parse(&body)?;
    if answer.attempt != attempt {
        let message = "the answer belongs to another attempt";
        return Err(Failure::may_have_run(Kind::Upstream, message));
    }
    pool.put(target.address, connection);
    Ok(answer)
}
