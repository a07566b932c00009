//! Bodies of callers' requests: reading within limits, and parsing.

use crate::node::Node;
use axum::{
    body::Body,
    extract::{FromRequest, Request},
};
use budget::{
    Budget, Connection,
    body::{Refusal, Whole},
};
use name::{Class, Model};
use serde::{
    Deserialize, Deserializer,
    de::{DeserializeOwned, MapAccess, SeqAccess, Visitor},
};
use std::{convert::Infallible, fmt, sync::Arc, time::Duration};
use verdict::{Error, Kind};

/// The retry delay for callers whose bodies found no memory.
const RETRY_WITHOUT_MEMORY: Duration = Duration::from_millis(1_000);

/// The maximum number of tokens that a caller may request.
pub(crate) const MAX_TOKENS: u32 = 8_192;

/// The maximum number of tokens of a request that does not specify one.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The memory of a body in blocks, in one piece and as values, as a multiple of its length.
const PARSED_FACTOR: usize = 4;

/// A request's body that has not been read.
#[derive(Debug)]
pub(crate) struct Upload {
    body: Body,
    budget: Arc<Budget>,
    connection: Option<Arc<Connection>>,
}

impl FromRequest<Arc<Node>> for Upload {
    type Rejection = Infallible;

    async fn from_request(request: Request, node: &Arc<Node>) -> Result<Self, Infallible> {
        let connection = request.extensions().get::<Arc<Connection>>().cloned();
        Ok(Self {
            body: request.into_body(),
            budget: Arc::clone(&node.budget),
            connection,
        })
    }
}

impl Upload {
    /// Reads a body of at most `max_bytes` that arrives within `timeout`.
    ///
    /// The memory that is reserved also covers the values that are parsed from the body.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict "not run" for a body that is too large,
    /// too slow or cut off, or that finds no memory.
    pub(crate) async fn read(self, max_bytes: usize, timeout: Duration) -> Result<Whole, Error> {
        let memory = self.budget.memory();
        let connection = self.connection.as_deref();
        let collected = budget::body::collect(memory, connection, self.body, max_bytes, timeout);
        let mut upload = collected.await.map_err(|refusal| match refusal {
            Refusal::TooSlow => {
                Error::not_run(Kind::SlowRequest, "the body did not arrive in time")
            }
            Refusal::TooLong => Error::not_run(
                Kind::TooLarge,
                format!("the body is larger than {max_bytes} bytes"),
            ),
            Refusal::Broken => Error::not_run(Kind::Malformed, "the body was cut off"),
            Refusal::NoMemory => no_memory(),
        })?;
        let parsed_bytes = upload.len().saturating_mul(PARSED_FACTOR);
        if !upload.reservation.grow_body(parsed_bytes).await {
            return Err(no_memory());
        }
        Ok(upload.into())
    }
}

/// Returns the error for a body that finds no memory.
fn no_memory() -> Error {
    Error::not_run(Kind::Overloaded, "no memory for the body")
        .with_retry_after(RETRY_WITHOUT_MEMORY)
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

/// Checks that bytes are JSON, without keeping its values.
///
/// # Errors
///
/// Returns the errors of [`json`].
pub(crate) fn check_json(bytes: &[u8]) -> Result<(), Error> {
    json::<Discarded>(bytes).map(|Discarded| ())
}

/// A value of any type, which is not kept.
///
/// Unlike `serde::de::IgnoredAny`, it limits the depth of nested values.
struct Discarded;

impl<'de> Deserialize<'de> for Discarded {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Self)
    }
}

impl<'de> Visitor<'de> for Discarded {
    type Value = Self;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any JSON value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<Self, E> {
        Ok(Self)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Self, E> {
        Ok(Self)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Self, E> {
        Ok(Self)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Self, E> {
        Ok(Self)
    }

    fn visit_str<E>(self, _: &str) -> Result<Self, E> {
        Ok(Self)
    }

    fn visit_unit<E>(self) -> Result<Self, E> {
        Ok(Self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<Self, A::Error> {
        while values.next_element::<Self>()?.is_some() {}
        Ok(self)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut values: A) -> Result<Self, A::Error> {
        while values.next_entry::<Self, Self>()?.is_some() {}
        Ok(self)
    }
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
