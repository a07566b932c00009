//! The HTTP listeners: callers, readiness, directory, operators.

use crate::{
    admin, directory,
    memory::CONNECTION_BYTES,
    serve,
    state::Shared,
    stream::{Body, full_body},
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use site::node::NodeRecord;
use slog::{debug, warn};
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// The delay after a failed accept.
///
/// If descriptors ran out, some become free as requests end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The maximum size of a connection's buffer, in bytes.
///
/// It holds the longest head of a request.
const MAX_BUFFER_BYTES: usize = 64 << 10;

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
            Ok((stream, _)) => {
                let connection =
                    serve_connection(Arc::clone(&shared), stream, role.clone(), closing.clone());
                tokio::spawn(connection);
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
    stream: TcpStream,
    role: Role,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = net::set_socket_options(&stream) {
        debug!(shared.log, "setting socket options failed"; "error" => %error);
    }
    let mut reservation = shared.memory.reserve();
    reservation.charge(CONNECTION_BYTES);
    let idle = {
        let tables = shared.tables();
        let limits = tables.config.as_ref().map(|c| c.limits.clone());
        limits.unwrap_or_default().idle_timeout
    };
    let handler = Arc::clone(&shared);
    let is_local = is_from_same_machine(&stream);
    let service =
        service_fn(move |request| answer(Arc::clone(&handler), role.clone(), is_local, request));
    // The header timeout also runs while a connection is idle, so it must not be
    // shorter than the idle timeout.
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    loop {
        tokio::select! {
            ended = served.as_mut() => {
                if let Err(error) = ended {
                    debug!(shared.log, "caller connection failed"; "error" => %error);
                }
                return;
            }
            changed = closing.changed() => {
                if changed.is_err() || *closing.borrow() {
                    served.as_mut().graceful_shutdown();
                    let _ = served.await;
                    return;
                }
            }
        }
    }
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
    shared: Arc<Shared>,
    role: Role,
    is_local: bool,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    Ok(match role {
        Role::Requests => serve::handle(&shared, request).await,
        Role::Readiness => readiness(&shared, request),
        Role::Directory(record) => resolve(&shared, &record, request),
        Role::Admin => admin::answer(&shared, is_local, &request),
    })
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
