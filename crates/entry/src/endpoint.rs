//! The HTTP routes as data, from which the routers are built.
//!
//! The routes are listed in tables, so that a test can compare the page that
//! documents them with the routes that a node serves.

use crate::{admin, http, node::Node};
use axum::{Router, routing::MethodRouter};
use std::{fmt, sync::Arc};

/// Who may call a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Callers, with an API key of a client account.
    Callers,
    /// Operators, with a token.
    Operators,
}

/// A route that an entry node serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Who may call it.
    pub audience: Audience,
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with placeholders in braces.
    pub path: &'static str,
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}

/// A route with its handler.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RouteEntry {
    method: &'static str,
    path: &'static str,
    handler: fn() -> MethodRouter<Arc<Node>>,
}

impl RouteEntry {
    /// Returns a route with the given handler.
    pub(crate) const fn new(
        method: &'static str,
        path: &'static str,
        handler: fn() -> MethodRouter<Arc<Node>>,
    ) -> Self {
        Self {
            method,
            path,
            handler,
        }
    }

    /// Returns the router of `routes`.
    pub(crate) fn router(routes: &[Self]) -> Router<Arc<Node>> {
        routes.iter().fold(Router::new(), |router, route| {
            router.route(route.path, (route.handler)())
        })
    }

    fn endpoint(&self, audience: Audience) -> Endpoint {
        Endpoint {
            audience,
            method: self.method,
            path: self.path,
        }
    }
}

/// Returns every route that an entry node serves over HTTP.
pub fn endpoints() -> Vec<Endpoint> {
    let callers = [http::WORK_ROUTES, http::INFO_ROUTES].concat();
    let callers = callers.iter().map(|r| r.endpoint(Audience::Callers));
    let operators = admin::ROUTES.iter();
    callers
        .chain(operators.map(|r| r.endpoint(Audience::Operators)))
        .collect()
}
