//! A pool of idle connections to backend servers, by address.

use crate::{
    Connection, Failure, Limits,
    checked_stream::Check,
    connection::{parse, read_body, request, response_timeout},
    proto::{ATTEMPT_HEADER, GENERATION_HEADER, REFUSED_HEADER, Refusal},
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use name::{Attempt, Generation};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{self, Instant};
use uuid::Uuid;
use verdict::Kind;

/// The backend server, boot ID and generation that a request addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The address of the backend server.
    pub address: SocketAddr,
    /// The boot ID of the incarnation that may run it; any incarnation if `None`.
    pub boot: Option<Uuid>,
    /// The replica's generation.
    pub generation: Generation,
}

/// Idle connections and the limits for all connections; clones share them.
#[derive(Debug, Clone)]
pub struct Pool {
    limits: Arc<Limits>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl Pool {
    /// Returns a pool without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits: Arc::new(limits),
            idle: Arc::default(),
        }
    }

    /// Returns the limits for all connections.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection to `address`, with the boot ID `boot` if given.
    pub(crate) fn take_idle(&self, address: SocketAddr, boot: Option<Uuid>) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(Connection::is_open);
        let is_usable = |c: &Connection| boot.is_none_or(|boot| c.boot() == boot);
        let index = connections.iter().rposition(is_usable)?;
        let connection = connections.swap_remove(index);
        if connections.is_empty() {
            idle.remove(&address);
        }
        Some(connection)
    }

    /// Takes an idle connection to `address` or opens one.
    ///
    /// # Errors
    ///
    /// Returns a failure, always `not-run`, if no connection can be opened or if
    /// the backend server's boot ID differs from `boot`.
    pub async fn take(
        &self,
        address: SocketAddr,
        boot: Option<Uuid>,
    ) -> Result<Connection, Failure> {
        if let Some(connection) = self.take_idle(address, boot) {
            return Ok(connection);
        }
        let connection = Connection::open(address, &self.limits).await?;
        match boot {
            Some(boot) if boot != connection.boot() => {
                let report = connection.report().clone();
                self.put(address, connection);
                Err(Failure::restarted(boot, report))
            }
            _ => Ok(connection),
        }
    }

    /// Takes a connection to `target` and returns the rest of the time limit.
    pub(crate) async fn take_with_timeout(
        &self,
        target: &Target,
        timeout: Duration,
    ) -> Result<(Connection, Duration), Failure> {
        let deadline = Instant::now() + timeout;
        let connection = time::timeout_at(deadline, self.take(target.address, target.boot)).await;
        let connection = connection.unwrap_or_else(|_| {
            let message = format!("no connection to {} in time", target.address);
            Err(Failure::unsent(message))
        })?;
        Ok((
            connection,
            deadline.saturating_duration_since(Instant::now()),
        ))
    }

    /// Returns a connection to the pool after its last response was read whole.
    ///
    /// Connections to other incarnations of the server are dropped, and so is
    /// this one if it is closed or the pool has enough for the address.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_open() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.retain(|c| c.is_open() && c.boot() == connection.boot());
        if connections.len() < self.limits.max_idle_connections {
            connections.push(connection);
        }
    }

    /// Drops all idle connections to `address`.
    pub fn remove_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }
}

/// Builds a request with the headers of an attempt.
pub(crate) fn attempt_request(
    path: &str,
    target: &Target,
    attempt: Attempt,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = request("POST", path, target.address, body)?;
    let attempt = HeaderValue::try_from(attempt.to_string());
    let attempt = attempt.map_err(|error| Failure::not_run(Kind::Internal, error.to_string()))?;
    let headers = request.headers_mut();
    headers.insert(ATTEMPT_HEADER, attempt);
    headers.insert(GENERATION_HEADER, target.generation.0.into());
    Ok(request)
}

/// Sends an attempt; returns the response's head and the connection once accepted.
///
/// A response that does not repeat the attempt ID is discarded, whatever its
/// status. After a refusal the connection returns to the pool, since refusals are
/// frequent under overload.
pub(crate) async fn send_attempt(
    pool: &Pool,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    attempt: Attempt,
    check: Check,
    timeout: Duration,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let response = connection.http.send(request, check, timeout).await?;
    let header = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let response_attempt = header(ATTEMPT_HEADER).and_then(|text| text.parse().ok());
    if response_attempt != Some(attempt) {
        let message = "the answer belongs to another attempt";
        return Err(Failure::may_have_run(Kind::Upstream, message));
    }
    let status = response.status();
    let has_refusal_header = header(REFUSED_HEADER) == Some("1");
    let is_stale = status == StatusCode::CONFLICT;
    let is_refused = status == StatusCode::SERVICE_UNAVAILABLE && has_refusal_header;
    if status == StatusCode::OK {
        return Ok((response, connection));
    }
    if !is_stale && !is_refused {
        let message = format!("the backend server answered with {status}");
        return Err(Failure::may_have_run(Kind::Upstream, message));
    }
    let body = read_body(response.into_body(), pool.limits());
    let body = time::timeout(pool.limits().response_timeout, body).await;
    let body = body.unwrap_or_else(|_| Err(response_timeout()));
    if body.is_ok() {
        pool.put(connection.http.address(), connection);
    }
    if is_refused {
        let message = "the backend server refused the request";
        return Err(Failure::not_run(Kind::Overloaded, message));
    }
    let refusal: Refusal = parse(&body?)?;
    Err(Failure::stale_generation(refusal))
}
