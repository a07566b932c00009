//! Authentication of operators.

use crate::{
    http::{Failure, bearer},
    node::Node,
};
use http::HeaderMap;
use std::sync::Arc;
use verdict::{Error, Kind};

/// The name recorded for the operator before lists with operators are in force.
const FIRST_OPERATOR: &str = "first-operator";

/// Returns the operator whom the request's token identifies.
///
/// While the lists in force have no operators, there are no tokens; the peers'
/// secret, in hexadecimal, is accepted instead, so that lists can be published.
///
/// # Errors
///
/// Returns an error if there is no token or an unknown one.
pub(super) fn identify(node: &Node, headers: &HeaderMap) -> Result<Arc<str>, Failure> {
    let token = bearer(headers).ok_or_else(|| {
        unauthenticated("no operator token: expected an Authorization: Bearer header")
    })?;
    let lists = node.control().lists;
    if lists.operators.is_empty() {
        return first_operator(node, token);
    }
    let operator = lists.operator_for_token(token);
    operator
        .cloned()
        .ok_or_else(|| unauthenticated("the operator token is unknown"))
}

/// Returns the first operator, if `token` is the peers' secret.
fn first_operator(node: &Node, token: &str) -> Result<Arc<str>, Failure> {
    use subtle::ConstantTimeEq;
    let expected = hex::encode(node.secret.expose());
    let is_same: bool = expected.as_bytes().ct_eq(token.as_bytes()).into();
    match is_same {
        true => Ok(FIRST_OPERATOR.into()),
        false => Err(unauthenticated(
            "no lists are in force; use the peers' secret as the token",
        )),
    }
}

/// Returns the error for a request without a valid token.
fn unauthenticated(message: &str) -> Failure {
    Failure(Error::not_run(Kind::Unauthenticated, message))
}
