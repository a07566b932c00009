//! Commands of operators: publish lists, take out, bring back.
//!
//! A command is accepted once its record was appended, read back and applied.
//! Repeating a command whose response was lost is safe: the record names the
//! revision that it replaces, so the repeated command finds its own effect in force.

use crate::{
    admin::operator::identify,
    driver::writer::{Decided, Undecided, commit},
    http::{Failure, Upload, json as parse_json},
    node::Node,
};
use axum::{
    Json,
    extract::State,
    response::{IntoResponse, Response},
};
use http::{HeaderMap, StatusCode};
use name::{Domain, Instance, Offset};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json};
use state::{Change, Operation, Outcome, Rejection, Scope};
use std::{sync::Arc, time::Duration};
use verdict::{Error, Kind};

/// The time limit for the decision on a command.
const DECISION_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum size of a command's body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The time limit for a command's body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// New lists, and the revision that they replace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListsRequest {
    base: Offset,
    text: String,
}

/// An operation on a failure domain or instance.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperationRequest {
    scope: ScopeKind,
    name: String,
    operation: Operation,
    /// The revision of the latest operation on the scope; the one in force if absent.
    base: Option<Offset>,
}

/// The kind of an operation's scope.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ScopeKind {
    Domain,
    Instance,
}

impl OperationRequest {
    /// Returns the failure domain or instance that the operation applies to.
    fn scope(&self) -> Result<Scope, Failure> {
        let name = self.name.as_str();
        let scope = match self.scope {
            ScopeKind::Domain => Domain::try_from(name).map(Scope::Domain),
            ScopeKind::Instance => Instance::try_from(name).map(Scope::Instance),
        };
        scope.map_err(|error| Error::not_run(Kind::Malformed, format!("name: {error}")).into())
    }
}

/// Reads the body of a command.
async fn read_command<T: DeserializeOwned>(body: Upload) -> Result<T, Failure> {
    let whole = body.read(MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    Ok(parse_json(&whole.bytes)?)
}

/// Serves `PUT /admin/v1/lists`.
pub(super) async fn publish_lists(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    request: Upload,
) -> Result<Response, Failure> {
    let operator = identify(&node, &headers)?;
    let ListsRequest { base, text } = read_command(request).await?;
    let state = node.control().state;
    if *state.lists_text == *text {
        return Ok(accepted(state.lists_revision));
    }
    if let Err(faults) = plan::parse(&text) {
        return Ok(invalid(&faults.to_string()));
    }
    let change = Change::Lists {
        base,
        text: text.as_str().into(),
        by: operator,
    };
    let decided = commit(&node, change, DECISION_TIMEOUT).await;
    let state = node.control().state;
    if is_rejected(&decided) && *state.lists_text == *text {
        return Ok(accepted(state.lists_revision));
    }
    Ok(command_response(&node, decided, |rejection| {
        let difference = plan::difference(&state.lists_text, &text);
        let difference: Vec<String> = difference.iter().map(ToString::to_string).collect();
        json!({
            "reason": rejection.to_string(),
            "revision": state.lists_revision,
            "difference": difference,
        })
    }))
}

/// Serves `POST /admin/v1/operations`.
pub(super) async fn apply_operation(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    request: Upload,
) -> Result<Response, Failure> {
    let operator = identify(&node, &headers)?;
    let requested: OperationRequest = read_command(request).await?;
    let scope = requested.scope()?;
    let OperationRequest {
        operation, base, ..
    } = requested;
    if !is_known(&node, &scope) {
        let message = format!("{scope} is not known");
        return Err(Failure(Error::not_run(Kind::NotFound, message)));
    }
    let state = node.control().state;
    let current = state.operations.get(&scope);
    match current {
        Some((revision, current_operation)) if *current_operation == operation => {
            return Ok(accepted(*revision));
        }
        None if operation == Operation::BringBack => return Ok(accepted(Offset::ZERO)),
        _ => {}
    }
    let base = base
        .or(current.map(|(revision, _)| *revision))
        .unwrap_or_default();
    let change = Change::Operation {
        base,
        scope: scope.clone(),
        operation,
        by: operator,
    };
    let decided = commit(&node, change, DECISION_TIMEOUT).await;
    let state = node.control().state;
    let current_operation = state.operations.get(&scope).copied();
    match current_operation {
        Some((revision, current_operation))
            if is_rejected(&decided) && current_operation == operation =>
        {
            return Ok(accepted(revision));
        }
        _ => {}
    }
    Ok(command_response(&node, decided, |rejection| {
        json!({
            "reason": rejection.to_string(),
            "revision": current_operation.map(|(revision, _)| revision),
            "in_force": current_operation.map(|(_, operation)| operation),
        })
    }))
}

/// Returns whether a change was rejected when it was applied.
///
/// A repeated command can be rejected because its first record was applied after
/// the state was checked and before its own record. The requested state is then
/// in force, and the command counts as accepted.
fn is_rejected(decided: &Result<Decided, Undecided>) -> bool {
    matches!(
        decided,
        Ok(Decided {
            outcome: Outcome::Rejected(_),
            ..
        })
    )
}

/// Returns whether any instance or entry node is in the scope.
fn is_known(node: &Node, scope: &Scope) -> bool {
    let state = node.control().state;
    if state.operations.contains_key(scope) {
        return true;
    }
    match scope {
        Scope::Domain(domain) => {
            let has_peer = state.epoch.peers.iter().any(|peer| peer.domain == *domain);
            has_peer
                || node
                    .engines()
                    .iter()
                    .any(|(_, status)| status.domain == *domain)
                || node
                    .services()
                    .iter()
                    .any(|(_, status)| status.domain == *domain)
        }
        Scope::Instance(instance) => {
            let is_node = state
                .epoch
                .peers
                .iter()
                .any(|p| p.node.as_str() == instance.as_str());
            is_node
                || node.engines().get(instance).is_some()
                || node.services().get(instance).is_some()
        }
    }
}

/// Returns the response to a command that is in force.
fn accepted(revision: Offset) -> Response {
    Json(json!({"result": "accepted", "revision": revision})).into_response()
}

/// Returns the response to lists with faults.
fn invalid(faults: &str) -> Response {
    let faults: Vec<&str> = faults.lines().collect();
    let body = json!({"result": "invalid", "changed": false, "faults": faults});
    (StatusCode::UNPROCESSABLE_ENTITY, Json(body)).into_response()
}

/// Returns the response to a command, with a body from `conflict` on rejection.
fn command_response(
    node: &Node,
    decided: Result<Decided, Undecided>,
    conflict: impl FnOnce(&Rejection) -> Value,
) -> Response {
    match decided {
        Ok(Decided {
            offset,
            outcome: Outcome::Accepted | Outcome::Repeated,
        }) => accepted(offset),
        Ok(Decided {
            outcome: Outcome::Rejected(Rejection::Invalid { faults }),
            ..
        }) => invalid(&faults.join("\n")),
        Ok(Decided {
            outcome: Outcome::Rejected(rejection),
            ..
        }) => {
            let mut body = conflict(&rejection);
            body["result"] = "conflict".into();
            body["changed"] = false.into();
            (StatusCode::CONFLICT, Json(body)).into_response()
        }
        Err(undecided) => {
            slog::warn!(node.log, "command undecided"; "reason" => %undecided);
            let (status, changed) = match undecided {
                Undecided::NotAppended => (StatusCode::SERVICE_UNAVAILABLE, json!(false)),
                Undecided::Unknown => (StatusCode::GATEWAY_TIMEOUT, Value::Null),
            };
            let body =
                json!({"result": "undecided", "changed": changed, "reason": undecided.to_string()});
            (status, Json(body)).into_response()
        }
    }
}
