//! A request's way, from its body to the answer for the caller.

use crate::{
    admit::{Job, RETRY_ELSEWHERE, admit},
    attempt::{Answer, Tally, attempt},
    state::Shared,
    stream::{Body, relay, whole},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use site::{CallerRequest, call::OutgoingRequest};
use slog::info;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout, timeout_at};
use verdict::{Error, Kind};

/// How long a request's body may take to arrive.
const BODY_TIME: Duration = Duration::from_secs(5);

/// Headers of an answer that concern one connection or its framing only.
const DROPPED: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Answers one request of a caller.
pub(crate) async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = shared.now();
    let begin = Instant::now();
    let (parts, body) = request.into_parts();
    let call = match (shared.platform.parse_request)(&parts) {
        Ok(call) => call,
        Err(malformed) => return refuse(shared, None, &malformed.error),
    };
    let config = shared.tables().config.clone();
    let Some(config) = config else {
        let error = Error::not_run(Kind::Unavailable, "no configuration is known yet");
        return refuse(
            shared,
            Some(&call),
            &error.with_retry_after(RETRY_ELSEWHERE),
        );
    };
    let body = match read_body(body, config.limits.max_body_bytes).await {
        Ok(body) => body,
        Err(error) => return refuse(shared, Some(&call), &error),
    };
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let outgoing = OutgoingRequest {
        method: parts.method,
        path_and_query: target.into(),
        headers: parts.headers,
        body,
    };
    let job = match admit(shared, &config, call.clone(), outgoing, arrived, begin) {
        Ok(job) => job,
        Err(error) => return refuse(shared, Some(&call), &error),
    };
    let mut tally = Tally::default();
    let mut left = Left::new(shared, &job);
    let result = attempt(shared, &job, &mut tally).await;
    left.is_over = true;
    match result {
        Ok(answer) => deliver(shared, job, tally, answer).await,
        Err(error) => {
            job.log_end(shared, &tally, 0, error.message(), None);
            refuse(shared, Some(&job.call), &error)
        }
    }
}

/// Reads the whole body of a request.
async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Error> {
    let reading = Limited::new(body, most).collect();
    match timeout(BODY_TIME, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Error::not_run(
            Kind::TooLarge,
            format!("the body is longer than {most} bytes"),
        )),
        Ok(Err(_)) => Err(Error::not_run(Kind::Malformed, "the body broke off")),
        Err(_) => Err(Error::not_run(
            Kind::SlowRequest,
            "the body came too slowly",
        )),
    }
}

/// Makes the answer to the caller from a server's.
async fn deliver(
    shared: &Arc<Shared>,
    mut job: Job,
    mut tally: Tally,
    mut answer: Answer,
) -> Response<Body> {
    loop {
        let status = answer.status;
        let headers = passed_on(&answer.headers);
        if job.route.kind.is_stream() && status.is_success() {
            let body = relay(shared, job, tally, answer);
            return response(shared, status, headers, body);
        }
        let server = answer.place.choice.target.server.clone();
        match job.read_whole(shared, answer).await {
            Ok(bytes) => {
                job.log_end(shared, &tally, status.as_u16(), "whole", Some(&server));
                return response(shared, status, headers, whole(bytes));
            }
            Err(reason) => {
                shared.metrics.count("attempts", reason);
                info!(shared.log, "answer broke off"; "id" => &*job.call.attempt_id, "server" => %server,
                    "reason" => reason);
                tally.exclude(server);
                let next = if job.is_repeatable() && tally.may_repeat(&job) {
                    attempt(shared, &job, &mut tally).await
                } else {
                    Err(job.error(&tally, Kind::Upstream, "the answer broke off"))
                };
                match next {
                    Ok(next) => answer = next,
                    Err(error) => {
                        job.log_end(shared, &tally, 0, error.message(), None);
                        return refuse(shared, Some(&job.call), &error);
                    }
                }
            }
        }
        job.call.last_event = None;
    }
}

impl Job {
    /// Reads the whole body of an answer.
    async fn read_whole(&self, shared: &Shared, answer: Answer) -> Result<Bytes, &'static str> {
        let Answer {
            head,
            body,
            connection,
            mut place,
            ..
        } = answer;
        let bytes = timeout_at(self.until, body.collect())
            .await
            .map_err(|_| "late")?
            .map_err(|_| "answer broke off")?
            .to_bytes();
        place.read();
        self.note_first(shared, &place);
        shared.pool.put(connection, head.keep_alive);
        Ok(bytes)
    }
}

/// Returns the headers of a server's answer that are passed on.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let kept = headers.iter().filter(|(name, _)| !DROPPED.contains(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Makes an answer to a caller.
fn response(shared: &Shared, status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    part_ways(shared, &mut response);
    response
}

/// Lets the caller go to another node for its next request, if this one stops.
fn part_ways(shared: &Shared, response: &mut Response<Body>) {
    if shared.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
}

/// Makes the answer to a caller for an error, and logs it.
fn refuse(shared: &Shared, call: Option<&CallerRequest>, error: &Error) -> Response<Body> {
    let mut response = (shared.platform.build_error_response)(error).map(whole);
    shared.metrics.count("refusals", error.message());
    info!(shared.log, "request refused"; "id" => call.map(|c| c.attempt_id.to_string()),
        "kind" => ?error.kind(), "verdict" => %error.verdict(), "reason" => error.message(),
        "status" => response.status().as_u16(),
        "retry_after_ms" => error.retry_after().map(|after| after.as_millis() as u64));
    part_ways(shared, &mut response);
    response
}

/// Logs that a caller left before its request had an answer.
struct Left<'a> {
    shared: &'a Arc<Shared>,
    id: Arc<str>,
    is_over: bool,
}

impl<'a> Left<'a> {
    fn new(shared: &'a Arc<Shared>, job: &Job) -> Self {
        Self {
            shared,
            id: Arc::clone(&job.call.attempt_id),
            is_over: false,
        }
    }
}

impl Drop for Left<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.shared.metrics.count("requests", "caller left");
            info!(self.shared.log, "caller left before an answer"; "id" => &*self.id);
        }
    }
}
