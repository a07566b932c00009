//! The operators' API over HTTP, queries apart from commands.

mod commands;
mod operator;
mod queries;

use crate::node::Node;
use axum::{
    Router,
    routing::{get, post},
};
use std::sync::Arc;

/// Returns the routes for operators.
pub(crate) fn routes(node: Arc<Node>) -> Router {
    Router::new()
        .route(
            "/admin/v1/lists",
            get(queries::lists).put(commands::publish),
        )
        .route("/admin/v1/lists/check", post(queries::check))
        .route(
            "/admin/v1/operations",
            get(queries::operations).post(commands::operate),
        )
        .route("/admin/v1/status", get(queries::status))
        .route("/admin/v1/replicas", get(queries::replicas))
        .route("/admin/v1/instances", get(queries::instances))
        .route("/admin/v1/accounts", get(queries::accounts))
        .route("/admin/v1/entries", get(queries::entries))
        .route("/admin/v1/histograms", get(queries::histograms))
        .with_state(node)
}
