//! The HTTP listeners: callers, readiness, directory, operators.

use crate::{
    admin, directory, serve,
    state::Shared,
    stream::{Body, full_body},
};
use budget::{Closed, Port, Reason, Ticket, Timeouts};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use site::node::NodeRecord;
use slog::{debug, warn};
use std::{sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// The delay after a failed accept.
///
/// If descriptors ran out, some become free as requests end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The allowance beyond the longest head, for headers that nodes add when they pass a
/// request on, in bytes.
const ADDED_HEADER_BYTES: usize = 2 << 10;

/// What a listener serves.
#[derive(Debug, Clone)]
pub(crate) enum Role {
    /// Requests of callers.
    Requests,
    /// The platform's readiness checks.
    Readiness,
    /// Directory queries, at the node with this record.
    Directory(Arc<NodeRecord>),
    /// Operators' requests.
    Admin,
}

impl Role {
    /// Returns the part of the account for the listener's connections.
    fn port(&self) -> Port {
        match self {
            Self::Requests => Port::Callers,
            Self::Readiness => Port::Readiness,
            Self::Directory(_) => Port::Directory,
            Self::Admin => Port::Operators,
        }
    }
}

/// Accepts connections for as long as the node runs.
///
/// When `closing` becomes true, idle connections are closed at once, and busy ones
/// after their response.
pub(crate) async fn listen(
    shared: Arc<Shared>,
    listener: TcpListener,
    role: Role,
    closing: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // Without room for it, the connection is closed at once.
                if let Some(ticket) = shared.budget.open(role.port(), peer.ip()) {
                    tokio::spawn(serve_connection(
                        Arc::clone(&shared),
                        ticket,
                        stream,
                        role.clone(),
                        closing.clone(),
                    ));
                }
            }
            Err(error) => {
                warn!(shared.log, "accepting connection failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection to its end.
async fn serve_connection(
    shared: Arc<Shared>,
    ticket: Ticket,
    stream: TcpStream,
    role: Role,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = net::set_socket_options(&stream) {
        debug!(shared.log, "setting socket options failed"; "error" => %error);
    }
    let is_local = is_from_same_machine(&stream);
    let service = |request| answer(&shared, &role, is_local, request);
    let max_head_bytes = limits(&shared).max_header_bytes + ADDED_HEADER_BYTES;
    let closing = async move {
        // An error means that the node has ended.
        let _ = closing.wait_for(|is_closing| *is_closing).await;
    };
    let served = budget::http::serve(ticket, stream, max_head_bytes, service, closing);
    if let Err(error) = served.await {
        debug!(shared.log, "caller connection failed"; "error" => %error);
    }
}

/// Closes connections that are late or in the way, for as long as the node runs.
pub(crate) async fn watch_connections(shared: Arc<Shared>) {
    let timeouts = || {
        let limits = limits(&shared);
        Timeouts {
            first_byte: limits.idle_timeout,
            head: limits.header_timeout,
            idle: limits.idle_timeout,
        }
    };
    let report = |closed: Closed| {
        let label = format!("{}, {}", closed.port.as_str(), closed.reason.as_str());
        shared
            .metrics
            .add("connections_closed", &label, closed.count);
        // Clients that are idle for too long are usual.
        if closed.reason != Reason::Idle {
            warn!(shared.log, "connections closed"; "port" => closed.port.as_str(),
                "reason" => closed.reason.as_str(), "count" => closed.count,
                "last_peer" => %closed.peer);
        }
    };
    shared.budget.run(timeouts, report).await;
}

/// Returns the limits on callers in force.
fn limits(shared: &Shared) -> site::config::Limits {
    let config = shared.tables().config.clone();
    config
        .map(|config| config.limits.clone())
        .unwrap_or_default()
}

/// Returns whether a connection comes from this machine.
fn is_from_same_machine(stream: &TcpStream) -> bool {
    match (stream.peer_addr(), stream.local_addr()) {
        (Ok(peer), Ok(local)) => peer.ip() == local.ip(),
        _ => false,
    }
}

/// Answers one request.
async fn answer(
    shared: &Arc<Shared>,
    role: &Role,
    is_local: bool,
    request: Request<Incoming>,
) -> Response<Body> {
    match role {
        Role::Requests => serve::handle(shared, request).await,
        Role::Readiness => readiness(shared, request),
        Role::Directory(record) => resolve(shared, record, request),
        Role::Admin => admin::answer(shared, is_local, &request),
    }
}

/// Answers a readiness check.
fn readiness(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let (parts, _) = request.into_parts();
    let status = if !(shared.platform.is_readiness_check)(&parts) {
        StatusCode::NOT_FOUND
    } else if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text(status, String::new())
}

/// Answers a directory query.
fn resolve(shared: &Shared, record: &NodeRecord, request: Request<Incoming>) -> Response<Body> {
    let (parts, _) = request.into_parts();
    let Some(query) = (shared.platform.parse_directory_query)(&parts) else {
        return text(StatusCode::NOT_FOUND, String::new());
    };
    let addresses = directory::addresses(shared, record, &query);
    if addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    let ttl = directory::answer_ttl(shared);
    (shared.platform.build_directory_response)(&addresses, ttl).map(full_body)
}

/// Returns a response with a text body.
pub(crate) fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
