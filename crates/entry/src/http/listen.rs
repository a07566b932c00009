//! HTTP listeners whose connections are kept in the budget of the process.

use crate::node::Node;
use axum::Router;
use budget::{Port, Ticket};
use slog::{debug, warn};
use std::{sync::Arc, time::Duration};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt as _;

/// The delay before the next accept after an error, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A listener of a node.
#[derive(Debug)]
pub(crate) struct Listener {
    /// The socket.
    pub(crate) socket: TcpListener,
    /// The audience.
    pub(crate) port: Port,
    /// Serves the requests.
    pub(crate) router: Router,
    /// Ends the listener, and then lets open requests finish.
    pub(crate) stop: CancellationToken,
}

impl Listener {
    /// Serves connections until the listener is stopped.
    pub(crate) async fn serve(self, node: Arc<Node>) {
        loop {
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = self.stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    // Without room for it, the connection is closed at once.
                    let Some(ticket) = node.budget.open(self.port, peer.ip()) else {
                        continue;
                    };
                    let connection =
                        serve_connection(ticket, stream, self.router.clone(), self.stop.clone());
                    let log = node.log.clone();
                    tokio::spawn(async move {
                        if let Err(error) = connection.await {
                            debug!(log, "connection ended with an error"; "peer" => %peer, "error" => %error);
                        }
                    });
                }
                Err(error) => {
                    warn!(node.log, "accept failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Serves the requests of the connection, and finishes the last one on stop.
async fn serve_connection(
    ticket: Ticket,
    stream: TcpStream,
    router: Router,
    stop: CancellationToken,
) -> Result<(), hyper::Error> {
    // Tokens are small writes, which Nagle's algorithm would delay.
    let _ = stream.set_nodelay(true);
    let service = move |request: http::Request<hyper::body::Incoming>| {
        let response = router.clone().oneshot(request.map(axum::body::Body::new));
        async move { response.await.unwrap_or_else(|never| match never {}) }
    };
    let closing = async move { stop.cancelled().await };
    budget::http::serve(ticket, stream, MAX_HEAD_BYTES, service, closing).await
}
