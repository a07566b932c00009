//! The routes for calls of plain services, and for tickets.

use crate::{
    http::{
        body::{self, Upload},
        caller::{self, Caller},
        reply::{Failure, VERDICT_HEADER},
    },
    node::Node,
    serve::{call, job::Call, keyed},
};
use axum::{
    Json,
    extract::{Path, State},
    response::{IntoResponse, Response},
};
use backend::proto::IDEMPOTENCY_KEY_HEADER;
use budget::{Reservation, body::Whole};
use http::{HeaderMap, StatusCode, header::CONTENT_TYPE};
use name::Service;
use serde_json::json;
use std::{sync::Arc, time::Duration};
use uuid::Uuid;
use verdict::{Error, Kind, Verdict};

/// The header with a ticket.
const TICKET_HEADER: &str = "x-ticket";

/// Serves `POST /v1/services/{service}/{call}`.
pub(crate) async fn call(
    node: State<Arc<Node>>,
    Path((service, name)): Path<(String, String)>,
    headers: HeaderMap,
    body: Upload,
) -> Response {
    match run_call(&node, &service, &name, &headers, body).await {
        Ok(body) => success_response(body),
        Err(error) => Failure(error).into_response(),
    }
}

/// Returns the response for a call that succeeded.
fn success_response(body: Vec<u8>) -> Response {
    let headers = [
        (CONTENT_TYPE.as_str(), "application/json"),
        (VERDICT_HEADER, Verdict::Ran.as_str()),
    ];
    (headers, body).into_response()
}

/// Runs an idempotent call directly, and any other by its ticket or key.
async fn run_call(
    node: &Arc<Node>,
    service: &str,
    name: &str,
    headers: &HeaderMap,
    body: Upload,
) -> Result<Vec<u8>, Error> {
    let prepared = prepare(node, service, name, headers, body).await;
    let Prepared {
        call,
        is_idempotent,
        _memory,
    } = prepared.map_err(|error| error_before_lookup(headers, error))?;
    if is_idempotent {
        return call::run(node, call).await;
    }
    let answer = match header_text(headers, TICKET_HEADER) {
        Some(ticket) => keyed::run_with_ticket(node, call, ticket).await?,
        None => {
            keyed::run_with_key(node, call, header_text(headers, IDEMPOTENCY_KEY_HEADER)).await?
        }
    };
    Ok(answer_body(answer))
}

/// Returns an error raised before the request's key was looked up.
///
/// A verdict applies to the key, not only to this request. An earlier call with
/// the key may have run through another node, which this node has not checked.
pub(super) fn error_before_lookup(headers: &HeaderMap, error: Error) -> Error {
    let is_keyed =
        headers.contains_key(IDEMPOTENCY_KEY_HEADER) || headers.contains_key(TICKET_HEADER);
    match is_keyed {
        true => error.with_earlier_verdict(Verdict::MayHaveRun),
        false => error,
    }
}

/// A checked call.
struct Prepared {
    call: Call,
    is_idempotent: bool,
    /// The memory of the body.
    _memory: Reservation,
}

/// Checks the caller, its access to the service, and the body.
async fn prepare(
    node: &Node,
    service: &str,
    name: &str,
    headers: &HeaderMap,
    body: Upload,
) -> Result<Prepared, Error> {
    let caller = caller::identify(node, headers)?;
    let (service, is_idempotent) = find_service(node, &caller, service, name)?;
    let limits = &node.settings.limits;
    let max_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let Whole {
        bytes,
        mut reservation,
    } = body.read(max_bytes, timeout).await?;
    body::check_json(&bytes)?;
    // A smaller reservation is always granted.
    reservation.resize(bytes.len());
    let call = Call {
        account: caller.account,
        service,
        call: name.into(),
        body: bytes[..].into(),
        deadline: node.clock.now() + caller.timeout,
        attempts: 0,
        forwarded: false,
    };
    Ok(Prepared {
        call,
        is_idempotent,
        _memory: reservation,
    })
}

/// Returns the body of an answer.
fn answer_body(answer: once::Response) -> Vec<u8> {
    answer.body.map(|body| body.to_vec()).unwrap_or_default()
}

/// Returns a header as text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the service, and whether the call is idempotent.
fn find_service(
    node: &Node,
    caller: &Caller,
    service: &str,
    call: &str,
) -> Result<(Service, bool), Error> {
    let not_found = || {
        Error::not_run(
            Kind::NotFound,
            "the plan does not include this service and call",
        )
    };
    let service = Service::try_from(service).map_err(|_| not_found())?;
    if !caller.plan.services.contains(&service) {
        return Err(not_found());
    }
    let control = node.control();
    let listed_service = control.lists.services.get(&service).ok_or_else(not_found)?;
    let call = listed_service.calls.get(call).ok_or_else(not_found)?;
    Ok((service, call.idempotent))
}

/// Serves `POST /v1/tickets`.
pub(crate) async fn ticket(node: State<Arc<Node>>, headers: HeaderMap) -> Response {
    let issued = caller::identify(&node, &headers).and_then(|caller| {
        let now = node.clock.now();
        node.tickets().issue(&caller.account, Uuid::new_v4(), now)
    });
    match issued {
        Ok(ticket) => {
            let lifetime_s = once::Quota::default().retention.as_secs();
            let body = json!({"ticket": ticket.to_string(), "expires_in_s": lifetime_s});
            (StatusCode::CREATED, Json(body)).into_response()
        }
        Err(error) => Failure(error).into_response(),
    }
}
