//! The directory of entry nodes, the models, and the health checks.

use crate::{
    http::{caller, reply::Failure},
    node::Node,
};
use axum::{
    Json,
    extract::{Query, State},
    response::{IntoResponse, Response},
};
use http::{HeaderMap, StatusCode};
use member::Directory;
use name::Domain;
use serde::Deserialize;
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};
use verdict::{Error, Kind};

/// The query of `/v1/entries`.
#[derive(Debug, Deserialize)]
pub(crate) struct EntriesQuery {
    /// The caller's failure domain.
    domain: Option<String>,
}

/// Serves `GET /v1/entries`.
pub(crate) async fn entries(
    State(node): State<Arc<Node>>,
    Query(query): Query<EntriesQuery>,
) -> Response {
    let near = match query.domain.map(Domain::try_from).transpose() {
        Ok(near) => near,
        Err(error) => {
            return Failure(Error::not_run(Kind::Malformed, format!("domain: {error}")))
                .into_response();
        }
    };
    let now = node.clock.now();
    let status = node.status(now);
    let state = node.control().state;
    let ttl = Duration::from_millis(node.settings.timings.entries_ttl_ms);
    let directory = Directory::new(&node.members(), &state, status, near.as_ref(), ttl);
    Json(directory).into_response()
}

/// Serves `GET /v1/models`: the models that the caller's plan includes.
pub(crate) async fn models(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
) -> Result<Json<Value>, Failure> {
    let caller = caller::identify(&node, &headers)?;
    let models: Vec<Value> = caller
        .plan
        .models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "arbutusford"}))
        .collect();
    Ok(Json(json!({"object": "list", "data": models})))
}

/// Serves `GET /healthz`: succeeds while the process responds.
pub(crate) async fn healthz() -> Json<Value> {
    Json(json!({"status": "ok"}))
}

/// Serves `GET /readyz`: succeeds while the node accepts work.
pub(crate) async fn readyz(State(node): State<Arc<Node>>) -> Response {
    let now = node.clock.now();
    let is_state_complete = node.follower().is_ready();
    let status = node.status(now);
    let is_ready = node.is_ready(now);
    let http_status = if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (
        http_status,
        Json(json!({"ready": is_ready, "state_whole": is_state_complete, "freshness": status})),
    )
        .into_response()
}
