//! HTTP listeners with limits on connections and on the time for a request's head.

use axum::Router;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use slog::{Logger, debug, warn};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_util::sync::CancellationToken;

/// The delay before the next accept after an error, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The limits of a listener.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// The maximum number of connections at once.
    pub(crate) connections: usize,
    /// The time limit for a request's head to arrive.
    pub(crate) header_timeout: Duration,
}

/// Binds a listener whose address can be bound again right after a restart.
///
/// # Errors
///
/// Returns the operating system's error.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Serves `router` until `stop` is cancelled, then lets open requests finish.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    limits: Limits,
    stop: CancellationToken,
    log: Logger,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let connection = Connection {
                    stream,
                    permit,
                    limits,
                    stop: stop.clone(),
                };
                let router = router.clone();
                let log = log.clone();
                tokio::spawn(async move {
                    if let Err(error) = connection.serve(router).await {
                        debug!(log, "connection ended with an error"; "peer" => %peer, "error" => %error);
                    }
                });
            }
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// An accepted connection.
struct Connection {
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    limits: Limits,
    stop: CancellationToken,
}

impl Connection {
    /// Serves the requests of the connection, and finishes the last one on stop.
    async fn serve(self, router: Router) -> Result<(), hyper::Error> {
        // Tokens are small writes, which Nagle's algorithm would delay.
        let _ = self.stream.set_nodelay(true);
        let service = TowerToHyperService::new(router);
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(self.stream), service);
        tokio::pin!(connection);
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = self.stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        drop(self.permit);
        result
    }
}
