//! A loopback server that can hang, refuse clients and drop its connections.

use axum::{
    Extension, Router,
    body::Body,
    extract::Request,
    middleware::{self, Next},
    response::Response,
};
use bytes::Bytes;
use futures_util::stream;
use hyper::server::conn::http1;
use hyper_util::{rt::TokioIo, service::TowerToHyperService};
use std::{
    collections::BTreeSet,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::sync::CancellationToken;

/// How a server treats connections.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// The server serves.
    Up,
    /// The server closes every connection.
    Refuse,
    /// The server keeps connections but sends no responses until it is up again.
    Hang,
}

/// The clients that can reach a server.
#[derive(Debug, Clone)]
pub(crate) struct Reachability {
    mode: Mode,
    /// The addresses of clients that are partitioned from the server.
    partitioned: BTreeSet<IpAddr>,
}

/// A server on loopback.
#[derive(Debug)]
pub(crate) struct Host {
    address: SocketAddr,
    reachability: watch::Sender<Reachability>,
    close_token: Mutex<CancellationToken>,
    shutdown: CancellationToken,
}

impl Host {
    /// Binds a listener, which is served after a call of [`serve`].
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<(Self, BoundListener)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (reachability, _) = watch::channel(Reachability {
            mode: Mode::Up,
            partitioned: BTreeSet::new(),
        });
        let shutdown = CancellationToken::new();
        let host = Self {
            address,
            reachability,
            close_token: Mutex::default(),
            shutdown: shutdown.clone(),
        };
        Ok((host, BoundListener { listener, shutdown }))
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how it treats connections.
    pub(crate) fn mode(&self) -> Mode {
        self.reachability.borrow().mode
    }

    /// Sets how it treats connections; refusing also closes the existing ones.
    pub(crate) fn set_mode(&self, mode: Mode) {
        self.reachability
            .send_modify(|reachability| reachability.mode = mode);
        if mode == Mode::Refuse {
            self.close_connections();
        }
    }

    /// Partitions the server from the clients at `from`, or heals the partition.
    pub(crate) fn set_partitioned(&self, from: IpAddr, partitioned: bool) {
        self.reachability
            .send_modify(|reachability| match partitioned {
                true => drop(reachability.partitioned.insert(from)),
                false => drop(reachability.partitioned.remove(&from)),
            });
    }

    /// Closes all connections.
    pub(crate) fn close_connections(&self) {
        let mut close_token = self
            .close_token
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        close_token.cancel();
        *close_token = CancellationToken::new();
    }

    /// Shuts down the server and its connections.
    pub(crate) fn shut_down(&self) {
        self.shutdown.cancel();
    }

    /// Returns the state of a new connection from `peer`.
    pub(crate) fn client_connection(&self, peer: IpAddr) -> ClientConnection {
        let close_token = self
            .close_token
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ClientConnection {
            close_token: close_token.clone(),
            reachability: self.reachability.subscribe(),
            peer,
        }
    }
}

/// The state of a client's connection, available to its requests.
#[derive(Debug, Clone)]
pub(crate) struct ClientConnection {
    close_token: CancellationToken,
    reachability: watch::Receiver<Reachability>,
    peer: IpAddr,
}

impl ClientConnection {
    /// Returns whether the connection was closed by a restart or a refusal.
    pub(crate) fn is_closed(&self) -> bool {
        self.close_token.is_cancelled()
    }

    /// Waits while the server hangs or is partitioned from the client.
    pub(crate) async fn until_reachable(&mut self) {
        let peer = self.peer;
        let is_reachable = |reachability: &Reachability| {
            reachability.mode != Mode::Hang && !reachability.partitioned.contains(&peer)
        };
        // An error means that the server was dropped; its connections are then closed.
        let _ = self.reachability.wait_for(is_reachable).await;
    }
}

/// A listener that is not served yet.
#[derive(Debug)]
pub(crate) struct BoundListener {
    listener: TcpListener,
    shutdown: CancellationToken,
}

/// Serves `router` until the host returned by `host` is shut down.
pub(crate) fn serve<T: Send + Sync + 'static>(
    bound: BoundListener,
    owner: &Arc<T>,
    host: fn(&T) -> &Host,
    router: Router,
) {
    let router = router.layer(middleware::from_fn(delay_while_unreachable));
    let owner = Arc::downgrade(owner);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = bound.listener.accept() => accepted,
                () = bound.shutdown.cancelled() => return,
            };
            let Some(owner) = owner.upgrade() else { return };
            let host = host(&owner);
            let Ok((stream, peer)) = accepted else {
                continue;
            };
            // Created before the mode is read, so that a later close also applies to it.
            let client = host.client_connection(peer.ip());
            if host.mode() != Mode::Refuse {
                tokio::spawn(serve_connection(
                    stream,
                    router.clone(),
                    client,
                    bound.shutdown.clone(),
                ));
            }
        }
    });
}

/// Serves one connection until it is closed.
async fn serve_connection(
    stream: TcpStream,
    router: Router,
    client: ClientConnection,
    shutdown: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let router = router.layer(Extension(client.clone()));
    let service = TowerToHyperService::new(router);
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = client.close_token.cancelled() => {}
        () = shutdown.cancelled() => {}
        _ = serving => {}
    }
}

/// Delays a request, and then its response, while the client is unreachable.
async fn delay_while_unreachable(
    Extension(mut client): Extension<ClientConnection>,
    request: Request,
    next: Next,
) -> Response {
    client.until_reachable().await;
    let response = next.run(request).await;
    client.until_reachable().await;
    response
}

/// Returns a body that fails, which closes the connection.
pub(crate) fn broken_body() -> Body {
    let piece: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionReset.into());
    Body::from_stream(stream::iter([piece]))
}
