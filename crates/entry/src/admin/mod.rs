//! The operators' HTTP API, with queries and commands in separate modules.

mod commands;
mod operator;
mod progress;
mod queries;

use crate::{endpoint::RouteEntry, http, node::Node};
use axum::{
    Router,
    routing::{get, post, put},
};
use std::sync::Arc;

/// The routes for operators.
pub(crate) const ROUTES: &[RouteEntry] = &[
    RouteEntry::new("GET", "/admin/v1/lists", || get(queries::lists)),
    RouteEntry::new("PUT", "/admin/v1/lists", || put(commands::publish_lists)),
    RouteEntry::new("POST", "/admin/v1/lists/check", || post(queries::check)),
    RouteEntry::new("GET", "/admin/v1/operations", || get(progress::operations)),
    RouteEntry::new("POST", "/admin/v1/operations", || {
        post(commands::apply_operation)
    }),
    RouteEntry::new("GET", "/admin/v1/status", || get(queries::status)),
    RouteEntry::new("GET", "/admin/v1/log", || get(queries::log)),
    RouteEntry::new("GET", "/admin/v1/replicas", || get(queries::replicas)),
    RouteEntry::new("GET", "/admin/v1/instances", || get(queries::instances)),
    RouteEntry::new("GET", "/admin/v1/accounts", || get(queries::accounts)),
    RouteEntry::new("GET", "/admin/v1/entries", || get(queries::entries)),
    RouteEntry::new("GET", "/admin/v1/histograms", || get(queries::histograms)),
];

/// Returns the router for operators.
pub(crate) fn routes(node: Arc<Node>) -> Router {
    RouteEntry::router(ROUTES)
        .fallback(http::not_found)
        .method_not_allowed_fallback(http::method_not_allowed)
        .with_state(node)
}
