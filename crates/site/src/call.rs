//! Requests of callers and responses of backend servers, independent of the platform.

use http::{HeaderMap, Method};
use name::{Account, Instance, Model};
use net::Payload;
use std::{sync::Arc, time::Duration};
use verdict::Error;

/// The properties of a caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The caller's identifier of this attempt.
    pub attempt_id: Arc<str>,
    /// The host that selects the route.
    pub host: Arc<str>,
    /// The path that selects the route, without the query.
    pub path: Arc<str>,
    /// The secret that identifies the client account, if one was sent.
    pub api_key: Option<Arc<str>>,
    /// The time that the caller waits, from the arrival of the request.
    pub timeout: Option<Duration>,
    /// The model, for requests to model engines.
    pub model: Option<Model>,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of tokens in the response.
    pub max_tokens: u32,
    /// The caller's estimate of the number of tokens in the response.
    pub expected_tokens: Option<u32>,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Arc<[Arc<str>]>,
    /// The last event that the caller received from an earlier response.
    pub last_event: Option<u64>,
}

impl CallerRequest {
    /// Returns the expected number of tokens in the response.
    pub fn answer_tokens(&self) -> u32 {
        self.expected_tokens
            .unwrap_or(self.max_tokens)
            .min(self.max_tokens.max(1))
    }
}

/// A request to forward to a backend server.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// The method of the caller's request.
    pub method: Method,
    /// The path and query of the caller's request.
    pub path_and_query: Arc<str>,
    /// The headers of the caller's request.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Payload,
}

/// The data that a node adds to a request for one backend server.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// The only server that may run the request.
    pub server: Instance,
    /// The client account on whose behalf it runs.
    pub account: Option<Account>,
    /// The time that the server may spend on the request.
    pub time_left: Duration,
    /// The last event that the caller received, if the stream is resumed.
    pub last_event: Option<u64>,
}

/// The data that a node adds to a request for another node.
#[derive(Debug, Clone)]
pub struct ForwardContext {
    /// The time that the caller still waits.
    pub time_left: Duration,
    /// The last event that the caller received, if the stream is resumed.
    pub last_event: Option<u64>,
}

/// The properties in the headers of a backend server's response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// The attempt that the response belongs to, if the server named one.
    pub attempt_id: Option<Arc<str>>,
    /// Whether the server states that it did not run the request.
    pub is_not_executed: bool,
    /// Whether the response carries the server's signature.
    pub is_signed: bool,
    /// The server that is at fault, if the response names one.
    pub faulty_server: Option<Instance>,
    /// The idle timeout of the server's connection, if the response gives one.
    pub keep_alive: Option<Duration>,
    /// Whether the server states that it is leaving.
    pub is_leaving: bool,
    /// How long the server wants no further request, or the value that states no time.
    pub retry_after: Option<Result<Duration, Arc<str>>>,
    /// The requests per second that the server takes from all nodes together, or the
    /// value that states no rate.
    pub rate_limit: Option<Result<f64, Arc<str>>>,
}

/// A caller's query to the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The failure domain of the caller, if it is known.
    pub domain: Option<Arc<str>>,
}

/// A request that cannot be parsed.
#[derive(Debug, Clone)]
pub struct MalformedRequest {
    /// The error for the caller.
    pub error: Error,
}
