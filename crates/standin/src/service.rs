//! A simulated plain service, such as a ledger.
//!
//! It never deduplicates requests by idempotency key, so that every run counts.

use crate::{
    host::{ClientConnection, broken_body},
    server::{Rejection, Server},
};
use axum::{
    Extension, Json, Router,
    extract::{Path, State},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::post,
};
use backend::proto::{ATTEMPT_HEADER, CallAnswer, IDEMPOTENCY_KEY_HEADER};
use name::Attempt;
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::time;

/// Returns the HTTP routes of a service.
pub(crate) fn routes() -> Router<Arc<Server>> {
    Router::new().route("/v1/call/{*name}", post(call))
}

/// Returns the attempt ID in the headers.
pub(crate) fn attempt(headers: &HeaderMap) -> Option<Attempt> {
    let text = headers.get(ATTEMPT_HEADER)?.to_str().ok()?;
    text.parse().ok()
}

/// Returns the response to a request that was not admitted.
///
/// It closes the connection, as if the process had ended.
pub(crate) fn rejected(_: Rejection) -> Response {
    Response::new(broken_body())
}

/// Handles a call.
async fn call(
    State(server): State<Arc<Server>>,
    Extension(client): Extension<ClientConnection>,
    Path(name): Path<String>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let Some(attempt) = attempt(&headers) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let mut running = match server.admit(&client, attempt, 0).await {
        Ok(running) => running,
        Err(why) => return rejected(why),
    };
    let key = headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|key| key.to_str().ok());
    if let Some(key) = key {
        let count = |c: &mut crate::Counters| *c.runs_per_key.entry(key.into()).or_default() += 1;
        server.environment.shared.count(count);
    }
    time::sleep(server.scaled_delay(server.environment.speed.call_ms)).await;
    let faults = server.faults();
    let crash_calls = faults.crash_calls.as_deref();
    if crash_calls.is_some_and(|text| body.to_string().contains(text)) {
        server.restart(true);
        return Response::new(broken_body());
    }
    running.complete();
    if faults.lose_answers {
        return Response::new(broken_body());
    }
    let attempt = match faults.cross_answers {
        true => Attempt::random(),
        false => attempt,
    };
    let result = json!({ "call": name, "done": body });
    let header = [(ATTEMPT_HEADER, attempt.to_string())];
    (header, Json(CallAnswer { attempt, result })).into_response()
}
