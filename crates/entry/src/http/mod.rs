//! The callers' HTTP API.

mod body;
mod caller;
mod drafts;
mod health;
pub(crate) mod listen;
mod reply;
mod services;
mod stream_id;
#[cfg(test)]
mod tests;

pub(crate) use caller::bearer;
pub(crate) use reply::Failure;

use crate::{endpoint::RouteEntry, node::Node};
use axum::{
    Router,
    extract::{Request, State},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use std::sync::Arc;
use verdict::{Error, Kind};

pub(crate) use body::{Upload, json};

/// The routes for callers' work; a planned stop waits for their requests.
pub(crate) const WORK_ROUTES: &[RouteEntry] = &[
    RouteEntry::new("POST", "/v1/completions", || post(drafts::text)),
    RouteEntry::new("POST", "/v1/chat/completions", || post(drafts::chat)),
    RouteEntry::new("POST", "/v1/services/{service}/{call}", || {
        post(services::call)
    }),
    RouteEntry::new("POST", "/v1/tickets", || post(services::ticket)),
];

/// The routes that return information on this node and the directory.
pub(crate) const INFO_ROUTES: &[RouteEntry] = &[
    RouteEntry::new("GET", "/v1/entries", || get(health::entries)),
    RouteEntry::new("GET", "/v1/models", || get(health::models)),
    RouteEntry::new("GET", "/healthz", || get(health::healthz)),
    RouteEntry::new("GET", "/readyz", || get(health::readyz)),
];

/// Returns the router for callers.
pub(crate) fn routes(node: Arc<Node>) -> Router {
    let work = RouteEntry::router(WORK_ROUTES).layer(middleware::from_fn_with_state(
        Arc::clone(&node),
        count_request,
    ));
    RouteEntry::router(INFO_ROUTES)
        .merge(work)
        .fallback(not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .with_state(node)
}

/// Counts requests in progress, so that a planned stop waits for them.
async fn count_request(State(node): State<Arc<Node>>, request: Request, next: Next) -> Response {
    if !node.drain().begin_request(node.clock.now()) {
        let error = Error::not_run(
            Kind::Unavailable,
            "this entry node has stopped taking requests",
        );
        let error = services::error_before_lookup(request.headers(), error);
        return Failure(error).into_response();
    }
    let guard = RequestGuard(Arc::clone(&node));
    let response = next.run(request).await;
    // The request is in progress until the response body ends or is dropped.
    response.map(|body| {
        axum::body::Body::new(GuardedBody {
            body,
            _guard: guard,
        })
    })
}

/// A guard that counts a request as in progress until it is dropped.
struct RequestGuard(Arc<Node>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.drain().end_request(self.0.clock.now());
    }
}

/// A response body that holds its request's guard.
struct GuardedBody {
    body: axum::body::Body,
    _guard: RequestGuard,
}

impl http_body::Body for GuardedBody {
    type Data = bytes::Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

/// Returns the error for a path without a route.
pub(crate) async fn not_found() -> Failure {
    Failure(Error::not_run(Kind::NotFound, "no such route"))
}

/// Returns the error for a method that the route does not accept.
pub(crate) async fn method_not_allowed() -> Failure {
    Failure(Error::not_run(
        Kind::Malformed,
        "the route does not take this method",
    ))
}
