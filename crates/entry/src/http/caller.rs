//! Authentication of callers: the client account of an API key.

use crate::node::Node;
use http::{HeaderMap, header::AUTHORIZATION};
use name::{Account, Class};
use plan::Plan;
use std::{sync::Arc, time::Duration};
use verdict::{Error, Kind};

/// The header with the time limit of the request, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The prefix of a bearer token in the authorization header.
const BEARER_PREFIX: &str = "Bearer ";

/// An authenticated caller.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// The client account.
    pub(crate) account: Account,
    /// The account's plan.
    pub(crate) plan: Arc<Plan>,
    /// The time limit of the request.
    pub(crate) timeout: Duration,
}

/// Returns the bearer token of a request.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix(BEARER_PREFIX)
}

/// Returns the caller whom the request's API key identifies.
///
/// # Errors
///
/// Returns an error with the verdict "not run" if the key is missing or unknown
/// (as every key is before the first lists are in force), if the account has no
/// plan, or if the deadline header is invalid.
pub(crate) fn identify(node: &Node, headers: &HeaderMap) -> Result<Caller, Error> {
    let key = bearer(headers).ok_or_else(|| {
        Error::not_run(
            Kind::Unauthenticated,
            "no API key: expected an Authorization: Bearer header",
        )
    })?;
    let control = node.control();
    let account = control
        .lists
        .account_for_key(key)
        .ok_or_else(|| Error::not_run(Kind::Unauthenticated, "the API key is unknown"))?;
    let plan = control
        .plan_of(account)
        .ok_or_else(|| Error::not_run(Kind::Forbidden, "the client account has no plan"))?;
    Ok(Caller {
        account: account.clone(),
        plan,
        timeout: timeout(node, headers)?,
    })
}

/// Returns the time limit of the request, at most the configured one.
fn timeout(node: &Node, headers: &HeaderMap) -> Result<Duration, Error> {
    let max_timeout = Duration::from_millis(node.settings.limits.request_timeout_ms);
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(max_timeout);
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(max_timeout.min(Duration::from_millis(millis))),
        _ => Err(Error::not_run(
            Kind::Malformed,
            format!("{DEADLINE_HEADER}: expected a number of milliseconds above 0"),
        )),
    }
}

impl Caller {
    /// Returns the requested class of work, or the plan's last if none is requested.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict "not run" for a class that is not the plan's.
    pub(crate) fn class(&self, requested: Option<Class>) -> Result<Class, Error> {
        let classes = &self.plan.classes;
        let found = match &requested {
            Some(class) => classes.iter().find(|c| *c == class),
            None => classes.last(),
        };
        found.cloned().ok_or_else(|| {
            Error::not_run(Kind::Malformed, "class: expected one of the plan's classes")
        })
    }
}
