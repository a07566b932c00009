//! An HTTP client for the entry nodes' caller and administration APIs.

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use std::{io, net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout};

/// The timeout of a call, and of each wait for a frame of a stream.
const CALL_TIMEOUT: Duration = Duration::from_secs(130);

/// The data of the event that ends a complete stream.
const END_OF_STREAM: &str = "[DONE]";

/// The response to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The value of the `x-verdict` header.
    pub verdict: Option<String>,
    /// The value of the `retry-after` header, in seconds.
    pub retry_after: Option<u64>,
    /// The body; null if it is not JSON.
    pub body: Value,
}

/// A streamed response as far as it was received.
#[derive(Debug, Clone, PartialEq)]
pub struct StreamedAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The generated text.
    pub text: String,
    /// The number of tokens.
    pub tokens: u32,
    /// The id of the last event that carried a token.
    pub last_event: Option<String>,
    /// Whether the event that ends the stream arrived.
    pub is_complete: bool,
    /// The error, if one was received instead of the end.
    pub error: Option<Value>,
    /// The time from the call to the first token.
    pub first_token: Option<Duration>,
    /// The times between tokens.
    pub token_intervals: Vec<Duration>,
}

/// An HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Returns a client with no open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request with a bearer token, further headers and a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrived within the timeout.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        token: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> io::Result<Answer> {
        let exchange = async {
            let request = request(method, address, path, token, headers, body)?;
            let response = self.http.request(request).await.map_err(io::Error::other)?;
            let (head, body) = response.into_parts();
            let bytes = body.collect().await.map_err(io::Error::other)?.to_bytes();
            Ok(Answer {
                status: head.status,
                verdict: header_text(&head.headers, "x-verdict"),
                retry_after: header_text(&head.headers, "retry-after").and_then(|t| t.parse().ok()),
                body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
            })
        };
        timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(io::Error::other)?
    }

    /// Sends a request whose response is a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns an error if no response began; a stream that broke off is
    /// returned as far as it was received.
    pub async fn stream(
        &self,
        address: SocketAddr,
        path: &str,
        token: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> io::Result<StreamedAnswer> {
        let started = Instant::now();
        let request = request(Method::POST, address, path, token, headers, body)?;
        let answered = timeout(CALL_TIMEOUT, self.http.request(request))
            .await
            .map_err(io::Error::other)?;
        let response = answered.map_err(io::Error::other)?;
        let mut parser = StreamParser::new(response.status(), started);
        let mut body = response.into_body();
        while let Ok(Some(Ok(frame))) = timeout(CALL_TIMEOUT, body.frame()).await {
            if let Some(data) = frame.data_ref() {
                parser.push(data);
            }
        }
        Ok(parser.finish())
    }
}

/// Builds a request with a bearer token and a JSON body.
fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    token: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> io::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {token}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let bytes = if body.is_null() {
        Bytes::new()
    } else {
        body.to_string().into()
    };
    builder.body(Full::new(bytes)).map_err(io::Error::other)
}

/// Returns a header's value as text.
fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(Into::into)
}

/// The parser of a streamed response.
struct StreamParser {
    started: Instant,
    last_token_at: Option<Instant>,
    buffer: Vec<u8>,
    streamed: StreamedAnswer,
}

impl StreamParser {
    fn new(status: StatusCode, started: Instant) -> Self {
        let streamed = StreamedAnswer {
            status,
            text: String::new(),
            tokens: 0,
            last_event: None,
            is_complete: false,
            error: None,
            first_token: None,
            token_intervals: Vec::new(),
        };
        Self {
            started,
            last_token_at: None,
            buffer: Vec::new(),
            streamed,
        }
    }

    /// Parses the events that a chunk of the body completes.
    fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            self.parse_event(&String::from_utf8_lossy(&event));
        }
    }

    /// Adds one event to the response.
    fn parse_event(&mut self, event: &str) {
        let field = |name: &str| {
            event
                .lines()
                .find_map(|line| line.strip_prefix(name).map(str::trim))
        };
        let Some(data) = field("data:") else { return };
        if data == END_OF_STREAM {
            self.streamed.is_complete = true;
            return;
        }
        let value: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if value.get("error").is_some() {
            self.streamed.error = Some(value["error"].clone());
            return;
        }
        let Some(id) = field("id:") else { return };
        self.streamed.last_event = Some(id.into());
        let choice = &value["choices"][0];
        let chunk = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        self.streamed.text.push_str(chunk.unwrap_or_default());
        self.streamed.tokens += 1;
        let now = Instant::now();
        match self.last_token_at {
            None => self.streamed.first_token = Some(now - self.started),
            Some(last_token_at) => self.streamed.token_intervals.push(now - last_token_at),
        }
        self.last_token_at = Some(now);
    }

    /// Returns the response; a body without events is parsed as an error.
    fn finish(mut self) -> StreamedAnswer {
        if self.streamed.error.is_none() && !self.buffer.is_empty() {
            let value: Value = serde_json::from_slice(&self.buffer).unwrap_or(Value::Null);
            self.streamed.error = value.get("error").cloned();
        }
        self.streamed
    }
}
