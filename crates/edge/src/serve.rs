//! The path of a request from its body to the response for the caller.

use crate::{
    admit::{Job, NO_CONFIG, RETRY_ELSEWHERE, admit, check_head},
    attempt::{Answer, Attempts, attempt, jitter},
    evidence::{Progress, format_digest},
    forward::{self, SERVER, server_mark},
    outcome::BodyEnd,
    state::Shared,
    stream::{Body, full_body, relay},
};
use budget::{
    Connection, Reservation,
    body::{self, Refusal, Upload, Whole},
};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use net::Framing;
use site::{CallerRequest, call::OutgoingRequest};
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};
use verdict::{Error, Kind};

/// The maximum length of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The longest body that is read although its request is refused, in bytes.
const MAX_DRAINED_BYTES: usize = 64 << 10;

/// How long a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The retry delay for callers whose bodies found no memory.
///
/// Long bodies take a second or so to arrive and are given back after that.
const RETRY_WITHOUT_MEMORY: Duration = Duration::from_millis(1_000);

/// The reason of a response whose connection was lost before its end.
const BROKE_OFF: &str = "answer broke off";

/// Hop-by-hop and framing headers, which are not forwarded.
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Handles one request of a caller.
pub(crate) async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = shared.now();
    let begin = Instant::now();
    let (mut parts, body) = request.into_parts();
    let runs = forward::take_runs(&mut parts.headers);
    let call = match (shared.platform.parse_request)(&parts) {
        Ok(call) => call,
        Err(malformed) => return refuse(shared, None, &malformed.error),
    };
    let limits = {
        let tables = shared.tables();
        tables.config.as_ref().map(|config| config.limits.clone())
    };
    let Some(limits) = limits else {
        let error = Error::not_run(Kind::Unavailable, NO_CONFIG);
        return refuse(
            shared,
            Some(&call),
            &error.with_retry_after(RETRY_ELSEWHERE),
        );
    };
    let connection = parts.extensions.get::<Arc<Connection>>().cloned();
    let collect = |body, max_bytes| {
        let memory = shared.budget.memory();
        body::collect(memory, connection.as_deref(), body, max_bytes, BODY_TIMEOUT)
    };
    if let Err(error) = check_head(shared, &call) {
        // A caller that is still sending may lose the response to a reset.
        let is_read = body.size_hint().lower() <= MAX_DRAINED_BYTES as u64
            && collect(body, MAX_DRAINED_BYTES).await.is_ok();
        let mut response = refuse(shared, Some(&call), &error);
        if !is_read {
            close_after(&mut response);
        }
        return response;
    }
    let Upload {
        blocks,
        reservation,
    } = match collect(body, limits.max_body_bytes).await {
        Ok(body) => body,
        Err(refusal) => {
            let error = body_error(refusal, limits.max_body_bytes);
            let mut response = refuse(shared, Some(&call), &error);
            // The rest of the body is not read.
            close_after(&mut response);
            return response;
        }
    };
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let outgoing = OutgoingRequest {
        method: parts.method,
        path_and_query: target.into(),
        headers: parts.headers,
        body: blocks.into(),
    };
    let mut job = match admit(shared, call.clone(), outgoing, arrived, begin) {
        Ok(job) => job,
        Err(error) => return refuse(shared, Some(&call), &error),
    };
    job.body_memory = Some(Arc::new(reservation));
    job.is_forwarded = runs.is_some();
    // A caller that accepts no chunks cannot tell a body that broke off from a whole one.
    let accepts_chunks = parts.version >= Version::HTTP_11;
    let mut attempts = Attempts::after(runs.unwrap_or(0));
    let mut guard = DisconnectGuard::new(shared, &job);
    let result = attempt(shared, &job, &mut attempts).await;
    guard.is_answered = true;
    match result {
        Ok(answer) => deliver(shared, job, attempts, answer, accepts_chunks).await,
        Err(error) => {
            job.log_end(shared, &attempts, 0, error.message(), None, None);
            refuse(shared, Some(&job.call), &error)
        }
    }
}

/// Returns the error for a body that was not read.
fn body_error(refusal: Refusal, max_bytes: usize) -> Error {
    match refusal {
        Refusal::TooLong => {
            let message = format!("the body is longer than {max_bytes} bytes");
            Error::not_run(Kind::TooLarge, message)
        }
        Refusal::NoMemory => Error::not_run(Kind::Overloaded, "no memory for the body")
            .with_retry_after(jitter(RETRY_WITHOUT_MEMORY)),
        Refusal::TooSlow => Error::not_run(Kind::SlowRequest, "the body came too slowly"),
        Refusal::Broken => Error::not_run(Kind::Malformed, "the body broke off"),
    }
}

/// Builds the caller's response from a server's response.
///
/// A stream is forwarded as it arrives if the caller accepts chunks, and otherwise
/// once it is complete.
async fn deliver(
    shared: &Arc<Shared>,
    mut job: Job,
    mut attempts: Attempts,
    mut answer: Answer,
    accepts_chunks: bool,
) -> Response<Body> {
    loop {
        let status = answer.status;
        let headers = response_headers(&job, &answer);
        if job.route.kind.is_stream() && status.is_success() {
            let call = (!accepts_chunks).then(|| job.call.clone());
            let body = relay(shared, job, attempts, answer);
            let Some(call) = call else {
                return response(shared, status, headers, body);
            };
            return match body.collect().await {
                Ok(whole) => response(shared, status, headers, full_body(whole.to_bytes())),
                Err(error) => {
                    let error = Error::may_have_run(Kind::Upstream, error.to_string());
                    refuse(shared, Some(&call), &error)
                }
            };
        }
        let server = answer.slot.choice.target.server.clone();
        let framing = answer.framing;
        match job.read_whole(shared, answer).await {
            Ok((bytes, reservation)) => {
                let body_end = BodyEnd {
                    framing,
                    bytes: bytes.len() as u64,
                    partial_event_bytes: 0,
                };
                job.log_end(
                    shared,
                    &attempts,
                    status.as_u16(),
                    "whole",
                    Some(&server),
                    Some(body_end),
                );
                let body = Whole { bytes, reservation }.boxed();
                return response(shared, status, headers, body);
            }
            Err(reason) => {
                shared.metrics.count("attempts", reason);
                info!(shared.log, "response interrupted"; "id" => &*job.call.attempt_id, "server" => %server,
                    "reason" => reason, "framing" => framing.as_str(), "request" => format_digest(job.whole().digest()));
                attempts.exclude(server);
                let next = if job.is_repeatable() && attempts.has_executions_left(&job) {
                    attempt(shared, &job, &mut attempts).await
                } else {
                    Err(job.error(&attempts, Kind::Upstream, "the answer broke off"))
                };
                match next {
                    Ok(next) => answer = next,
                    Err(error) => {
                        job.log_end(shared, &attempts, 0, error.message(), None, None);
                        return refuse(shared, Some(&job.call), &error);
                    }
                }
            }
        }
        job.call.last_event = None;
    }
}

impl Job {
    /// Reads the whole body of a response.
    async fn read_whole(
        &self,
        shared: &Shared,
        answer: Answer,
    ) -> Result<(Bytes, Reservation), &'static str> {
        let Answer {
            head,
            framing,
            body,
            connection,
            mut slot,
            ..
        } = answer;
        let reading = read_response(shared, body);
        let bytes = match timeout_at(self.deadline_instant, reading).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(reason)) => {
                if reason == BROKE_OFF {
                    shared.record_loss(self, &slot, Progress::Begun).await;
                }
                return Err(reason);
            }
            Err(_) => return Err("late"),
        };
        // Another node's own failure is no answer of a server.
        if framing != Framing::Close && head.is_signed {
            shared.record_completion(self);
        }
        slot.record_first_token();
        self.record_first_token(shared, &slot);
        shared.pool.put(connection, head.keep_alive);
        Ok(bytes)
    }
}

/// Reads the whole body of a server's response.
///
/// # Errors
///
/// Returns the reason if the body breaks off or is longer than [`MAX_RESPONSE_BYTES`], or
/// if the responses that this node reads use too much memory.
async fn read_response(
    shared: &Shared,
    mut body: Incoming,
) -> Result<(Bytes, Reservation), &'static str> {
    let mut reservation = shared.budget.memory().reserve();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BROKE_OFF)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > MAX_RESPONSE_BYTES {
            return Err("answer too long");
        }
        if !reservation.resize(length) {
            return Err("no memory for answer");
        }
        whole.extend_from_slice(&data);
    }
    Ok((whole.freeze(), reservation))
}

/// Returns the headers of a server's response that are sent to the caller.
///
/// A node that passed the request on is also sent which server answered.
fn response_headers(job: &Job, answer: &Answer) -> HeaderMap {
    let headers = answer.headers.iter();
    let kept = headers.filter(|(name, _)| !HOP_HEADERS.contains(name) && **name != SERVER);
    let mut kept: HeaderMap = kept
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    if job.is_forwarded
        && let Some(mark) = server_mark(&answer.slot.choice.target)
    {
        kept.insert(SERVER, mark);
    }
    kept
}

/// Builds a response to a caller.
fn response(shared: &Shared, status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    close_if_stopping(shared, &mut response);
    response
}

/// Asks the caller to close the connection, if this node is stopping.
///
/// Its next request then goes to another node.
fn close_if_stopping(shared: &Shared, response: &mut Response<Body>) {
    if shared.is_stopping() {
        close_after(response);
    }
}

/// Closes the caller's connection after a response.
fn close_after(response: &mut Response<Body>) {
    let close = http::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Builds the response for an error, and logs it.
fn refuse(shared: &Shared, call: Option<&CallerRequest>, error: &Error) -> Response<Body> {
    let mut response = (shared.platform.build_error_response)(error).map(full_body);
    shared.metrics.count("refusals", error.message());
    info!(shared.log, "request refused"; "id" => call.map(|c| c.attempt_id.to_string()),
        "kind" => ?error.kind(), "verdict" => %error.verdict(), "reason" => error.message(),
        "status" => response.status().as_u16(),
        "retry_after_ms" => error.retry_after().map(|after| after.as_millis() as u64));
    close_if_stopping(shared, &mut response);
    response
}

/// Logs on drop that a caller disconnected before its request had a response.
struct DisconnectGuard<'a> {
    shared: &'a Arc<Shared>,
    id: Arc<str>,
    is_answered: bool,
}

impl<'a> DisconnectGuard<'a> {
    fn new(shared: &'a Arc<Shared>, job: &Job) -> Self {
        Self {
            shared,
            id: Arc::clone(&job.call.attempt_id),
            is_answered: false,
        }
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.shared.metrics.count("requests", "caller left");
            info!(self.shared.log, "caller disconnected before response"; "id" => &*self.id);
        }
    }
}
