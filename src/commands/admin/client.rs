//! Calls of the administration API, each to the first server that answers.

use super::Access;
use crate::{Exit, Failure};
use bench::{Answer, Client};
use http::{Method, StatusCode};
use serde_json::Value;
use std::{env, fs, io, net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// The variable with the operator token.
const TOKEN_VARIABLE: &str = "ARBUTUSFORD_TOKEN";

/// The longest time for a query to be answered.
const QUERY_WITHIN: Duration = Duration::from_secs(5);

/// The longest time for a command to be answered; a node decides within 10 s.
const COMMAND_WITHIN: Duration = Duration::from_secs(15);

/// An operator at the administration API.
#[derive(Debug)]
pub(super) struct Operator {
    client: Client,
    servers: Vec<SocketAddr>,
    token: String,
}

impl Operator {
    /// Returns the operator that `access` describes.
    ///
    /// # Errors
    ///
    /// Returns a failure if there is no server or no token.
    pub(super) fn new(access: &Access) -> Result<Self, Failure> {
        if access.servers.is_empty() {
            return Err(unreachable(
                "no server: give the operators' address of an entry node with --server. \
                 Nothing was changed.",
            ));
        }
        Ok(Self {
            client: Client::new(),
            servers: access.servers.clone(),
            token: token(access)?,
        })
    }

    /// Asks a query.
    ///
    /// # Errors
    ///
    /// Returns a failure if no server answers, or the answer is an error.
    pub(super) async fn get(&self, path: &str) -> Result<Value, Failure> {
        let answer = self.send(Method::GET, path, &Value::Null).await?;
        match answer.status {
            StatusCode::OK => Ok(answer.body),
            _ => Err(refused(&answer, "Nothing was changed.")),
        }
    }

    /// Sends a command or check; the answer may have any status but "unauthenticated".
    ///
    /// # Errors
    ///
    /// Returns a failure if no server answers, or the token is refused.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Answer, Failure> {
        let is_query = method == Method::GET;
        let within = if is_query {
            QUERY_WITHIN
        } else {
            COMMAND_WITHIN
        };
        let mut faults = Vec::new();
        for server in &self.servers {
            let call = self
                .client
                .call(method.clone(), *server, path, &self.token, &[], body);
            match timeout(within, call).await {
                Ok(Ok(answer)) if answer.status == StatusCode::UNAUTHORIZED => {
                    return Err(unreachable(format!(
                        "{server} refused the token: {}. Nothing was changed. \
                         Check --token-file or {TOKEN_VARIABLE}.",
                        message(&answer.body)
                    )));
                }
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(error)) => faults.push(format!("{server}: {}", cause(&error))),
                Err(_) => faults.push(format!("{server}: no answer within {within:?}")),
            }
        }
        let effect = if is_query {
            "Nothing was changed. Give another --server."
        } else {
            "The change may have been made: run the same command again with another \
             --server; it is made once."
        };
        let faults = faults.join("; ");
        Err(unreachable(format!(
            "no entry node answered ({faults}). {effect}"
        )))
    }
}

/// Returns a failure with the exit code for "not reached".
fn unreachable(message: impl Into<String>) -> Failure {
    Failure::new(Exit::Unreachable, message.into())
}

/// Returns the innermost cause of an error, which names what happened.
fn cause(error: &io::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Returns the operator token.
fn token(access: &Access) -> Result<String, Failure> {
    let text = match &access.token_file {
        Some(file) => fs::read_to_string(file).map_err(|error| {
            let file = file.display();
            let message = format!("--token-file {file}: {error}. Nothing was changed.");
            Failure::new(Exit::Usage, message)
        })?,
        None => env::var(TOKEN_VARIABLE).unwrap_or_default(),
    };
    let token = text.trim();
    if token.is_empty() {
        return Err(unreachable(format!(
            "no operator token: give --token-file or set {TOKEN_VARIABLE}. Nothing was changed."
        )));
    }
    if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(unreachable(
            "the operator token has characters that no token has. Nothing was changed.",
        ));
    }
    Ok(token.into())
}

/// Returns what an error answer says.
fn message(body: &Value) -> &str {
    let message = body["error"]["message"].as_str();
    message
        .or(body["reason"].as_str())
        .unwrap_or("no reason given")
}

/// Returns the failure for an answer with an error status.
pub(super) fn refused(answer: &Answer, effect: &str) -> Failure {
    let status = answer.status;
    let message = message(&answer.body);
    let exit = match status {
        StatusCode::CONFLICT => Exit::Conflict,
        StatusCode::UNPROCESSABLE_ENTITY | StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => {
            Exit::Usage
        }
        _ => Exit::Failed,
    };
    Failure::new(exit, format!("{message} ({status}). {effect}"))
}

/// Returns the failure for a command whose change is not decided.
pub(super) fn undecided(answer: &Answer) -> Failure {
    let reason = message(&answer.body);
    let next = match answer.body["changed"].as_bool() {
        Some(false) => {
            "Nothing was changed. Run the same command again later; `status` shows \
                        whether the log service can be read."
        }
        _ => "It may have been made: run the same command again; it is made once.",
    };
    Failure::new(Exit::Failed, format!("{reason}. {next}"))
}
