//! The operators' API over HTTP, queries apart from commands.

mod commands;
mod operator;
mod progress;
mod queries;

use crate::{endpoint::Served, http, node::Node};
use axum::{
    Router,
    routing::{get, post, put},
};
use std::sync::Arc;

/// The routes for operators.
pub(crate) const ROUTES: &[Served] = &[
    Served::new("GET", "/admin/v1/lists", || get(queries::lists)),
    Served::new("PUT", "/admin/v1/lists", || put(commands::publish)),
    Served::new("POST", "/admin/v1/lists/check", || post(queries::check)),
    Served::new("GET", "/admin/v1/operations", || get(progress::operations)),
    Served::new("POST", "/admin/v1/operations", || post(commands::operate)),
    Served::new("GET", "/admin/v1/status", || get(queries::status)),
    Served::new("GET", "/admin/v1/log", || get(queries::log)),
    Served::new("GET", "/admin/v1/replicas", || get(queries::replicas)),
    Served::new("GET", "/admin/v1/instances", || get(queries::instances)),
    Served::new("GET", "/admin/v1/accounts", || get(queries::accounts)),
    Served::new("GET", "/admin/v1/entries", || get(queries::entries)),
    Served::new("GET", "/admin/v1/histograms", || get(queries::histograms)),
];

/// Returns the router for operators.
pub(crate) fn routes(node: Arc<Node>) -> Router {
    Served::router(ROUTES)
        .fallback(http::not_found)
        .method_not_allowed_fallback(http::wrong_method)
        .with_state(node)
}
