//! Requests of callers and answers of backend servers, as decisions see them.

use bytes::Bytes;
use http::{HeaderMap, Method};
use name::{Account, Instance, Model};
use std::{sync::Arc, time::Duration};
use verdict::Error;

/// What a caller's request says of itself.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The caller's identifier of this attempt.
    pub attempt_id: Arc<str>,
    /// The host that selects the route.
    pub host: Arc<str>,
    /// The path that selects the route, without the query.
    pub path: Arc<str>,
    /// The secret that names the client account, if one was sent.
    pub api_key: Option<Arc<str>>,
    /// How long the caller waits, from the arrival of the request.
    pub timeout: Option<Duration>,
    /// The model, for requests to model engines.
    pub model: Option<Model>,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The caller's estimate of the tokens of the answer.
    pub expected_tokens: Option<u32>,
    /// The last event of an earlier answer that the caller already has.
    pub last_event: Option<u64>,
}

impl CallerRequest {
    /// Returns the tokens that the answer probably has.
    pub fn answer_tokens(&self) -> u32 {
        self.expected_tokens
            .unwrap_or(self.max_tokens)
            .min(self.max_tokens.max(1))
    }
}

/// A request on its way to a backend server.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The method of the caller's request.
    pub method: Method,
    /// The path and query of the caller's request.
    pub path_and_query: Arc<str>,
    /// The headers of the caller's request.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// What a node adds to a request for one backend server.
#[derive(Debug, Clone)]
pub struct Forwarding {
    /// The server that must run the request, or nobody.
    pub server: Instance,
    /// The client account on whose behalf it runs.
    pub account: Option<Account>,
    /// How long the server may work on it.
    pub time_left: Duration,
    /// The last event that the caller has, if the answer is taken up midway.
    pub last_event: Option<u64>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The attempt that the answer belongs to, if the server named one.
    pub attempt_id: Option<Arc<str>>,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the server signed the answer as one that it made.
    pub is_signed: bool,
    /// The server that is at fault, if the answer names one.
    pub faulty_server: Option<Instance>,
    /// How long the server's connection may stay idle, if it said so.
    pub keep_alive: Option<Duration>,
}

/// What a caller asks of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The failure domain of the caller, if it is known.
    pub domain: Option<Arc<str>>,
}

/// Why a request cannot be understood.
#[derive(Debug, Clone)]
pub struct MalformedRequest {
    /// The error for the caller.
    pub error: Error,
}
