//! Who calls: the client account behind an API key.

use crate::node::Node;
use http::{HeaderMap, header::AUTHORIZATION};
use name::{Account, Class};
use plan::Plan;
use std::{sync::Arc, time::Duration};
use verdict::{Error, Kind};

/// The header with the time that the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The prefix of the authorization header.
const BEARER_PREFIX: &str = "Bearer ";

/// A caller that proved its account.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// The client account.
    pub(crate) account: Account,
    /// The account's plan.
    pub(crate) plan: Arc<Plan>,
    /// How long the caller waits at most.
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

/// Returns the caller behind the request's API key.
///
/// # Errors
///
/// Returns an error that says not-run if there is no key, an unknown key, or no
/// configuration yet.
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
        .account_of_key(key)
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

/// Returns how long the caller waits.
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
    /// Returns the class of work: the one named, or the plan's last.
    ///
    /// # Errors
    ///
    /// Returns an error that says not-run for a class that is not the plan's.
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
