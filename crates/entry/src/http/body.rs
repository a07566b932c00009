//! Bodies of callers' requests: reading within limits, and parsing.

use axum::body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use name::{Class, Model};
use serde::{Deserialize, de::DeserializeOwned};
use std::time::Duration;
use verdict::{Error, Kind};

/// The maximum number of tokens that a caller may request.
pub(crate) const MAX_TOKENS: u32 = 8_192;

/// The maximum number of tokens of a request that does not specify one.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Reads a body of at most `max_bytes` that arrives within `timeout`.
///
/// # Errors
///
/// Returns an error with the verdict "not run" for a body that is too large,
/// too slow or cut off.
pub(crate) async fn read(
    body: Body,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Vec<u8>, Error> {
    let collected = tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect());
    match collected.await {
        Err(_) => Err(Error::not_run(
            Kind::SlowRequest,
            "the body did not arrive in time",
        )),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Error::not_run(
            Kind::TooLarge,
            format!("the body is larger than {max_bytes} bytes"),
        )),
        Ok(Err(_)) => Err(Error::not_run(Kind::Malformed, "the body was cut off")),
        Ok(Ok(collected_body)) => Ok(collected_body.to_bytes().into()),
    }
}

/// Parses JSON.
///
/// # Errors
///
/// Returns an error with the verdict "not run" that names the line and column.
pub(crate) fn json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::not_run(Kind::Malformed, format!("the body is not valid: {error}")))
}

/// The body of `/v1/completions` and `/v1/chat/completions`.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    class: Option<String>,
}

/// A message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Which of the two completion routes was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A parsed request for a completion.
#[derive(Debug, Clone)]
pub(crate) struct CompletionRequest {
    /// The model or adapter.
    pub(crate) model: Model,
    /// The prompt.
    pub(crate) prompt: String,
    /// Whether the response is streamed.
    pub(crate) stream: bool,
    /// The maximum number of tokens.
    pub(crate) max_tokens: u32,
    /// The seed, if the caller sets it.
    pub(crate) seed: Option<u64>,
    /// The class of work, if the caller sets it.
    pub(crate) class: Option<Class>,
}

/// Parses the body of a completion route.
///
/// # Errors
///
/// Returns an error with the verdict "not run" that names the field.
pub(crate) fn parse_completion(route: Route, bytes: &[u8]) -> Result<CompletionRequest, Error> {
    let body: CompletionBody = json(bytes)?;
    let prompt = match route {
        Route::Text => body.prompt.ok_or_else(|| field_error("prompt", "a text"))?,
        Route::Chat if body.messages.is_empty() => {
            return Err(field_error("messages", "at least one message"));
        }
        Route::Chat => chat_prompt(&body.messages),
    };
    let max_tokens = body
        .max_tokens
        .or(body.max_completion_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(field_error("max_tokens", &format!("1 to {MAX_TOKENS}")));
    }
    let model = Model::try_from(body.model).map_err(|e| field_error("model", &e.to_string()))?;
    let class = body
        .class
        .map(Class::try_from)
        .transpose()
        .map_err(|e| field_error("class", &e.to_string()))?;
    Ok(CompletionRequest {
        model,
        prompt,
        stream: body.stream,
        max_tokens,
        seed: body.seed,
        class,
    })
}

/// Returns the error for a field with an invalid value.
fn field_error(key: &str, expected: &str) -> Error {
    Error::not_run(Kind::Malformed, format!("{key}: expected {expected}"))
}

/// Joins the messages of a chat into one prompt.
fn chat_prompt(messages: &[Message]) -> String {
    let lines = messages
        .iter()
        .map(|m| format!("{}: {}", m.role, m.content));
    lines.collect::<Vec<_>>().join("\n")
}
