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
pub(crate) struct Reach {
    mode: Mode,
    /// The addresses of clients that are partitioned from the server.
    parted: BTreeSet<IpAddr>,
}

/// A server on loopback.
#[derive(Debug)]
pub(crate) struct Host {
    address: SocketAddr,
    reach: watch::Sender<Reach>,
    life: Mutex<CancellationToken>,
    end: CancellationToken,
}

impl Host {
    /// Binds a listener, which is served after a call of [`serve`].
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<(Self, Bound)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (reach, _) = watch::channel(Reach {
            mode: Mode::Up,
            parted: BTreeSet::new(),
        });
        let end = CancellationToken::new();
        let host = Self {
            address,
            reach,
            life: Mutex::default(),
            end: end.clone(),
        };
        Ok((host, Bound { listener, end }))
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how it treats connections.
    pub(crate) fn mode(&self) -> Mode {
        self.reach.borrow().mode
    }

    /// Sets how it treats connections; refusing also closes the existing ones.
    pub(crate) fn set_mode(&self, mode: Mode) {
        self.reach.send_modify(|reach| reach.mode = mode);
        if mode == Mode::Refuse {
            self.cut();
        }
    }

    /// Partitions the server from the clients at `from`, or heals the partition.
    pub(crate) fn set_parted(&self, from: IpAddr, parted: bool) {
        self.reach.send_modify(|reach| match parted {
            true => drop(reach.parted.insert(from)),
            false => drop(reach.parted.remove(&from)),
        });
    }

    /// Closes all connections.
    pub(crate) fn cut(&self) {
        let mut life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        life.cancel();
        *life = CancellationToken::new();
    }

    /// Shuts down the server and its connections.
    pub(crate) fn end(&self) {
        self.end.cancel();
    }

    /// Returns the state of a new connection from `peer`.
    pub(crate) fn lived(&self, peer: IpAddr) -> Lived {
        let life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        Lived {
            life: life.clone(),
            reach: self.reach.subscribe(),
            peer,
        }
    }
}

/// The state of a client's connection, available to its requests.
#[derive(Debug, Clone)]
pub(crate) struct Lived {
    life: CancellationToken,
    reach: watch::Receiver<Reach>,
    peer: IpAddr,
}

impl Lived {
    /// Returns whether the connection was closed by a restart or a refusal.
    pub(crate) fn is_over(&self) -> bool {
        self.life.is_cancelled()
    }

    /// Waits while the server hangs or is partitioned from the client.
    pub(crate) async fn while_held(&mut self) {
        let peer = self.peer;
        let reaches = |reach: &Reach| reach.mode != Mode::Hang && !reach.parted.contains(&peer);
        // An error means that the server was dropped; its connections are then closed.
        let _ = self.reach.wait_for(reaches).await;
    }
}

/// A listener that is not served yet.
#[derive(Debug)]
pub(crate) struct Bound {
    listener: TcpListener,
    end: CancellationToken,
}

/// Serves `router` until the host returned by `host` is shut down.
pub(crate) fn serve<T: Send + Sync + 'static>(
    bound: Bound,
    owner: &Arc<T>,
    host: fn(&T) -> &Host,
    router: Router,
) {
    let router = router.layer(middleware::from_fn(hold));
    let owner = Arc::downgrade(owner);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = bound.listener.accept() => accepted,
                () = bound.end.cancelled() => return,
            };
            let Some(owner) = owner.upgrade() else { return };
            let host = host(&owner);
            let Ok((stream, peer)) = accepted else {
                continue;
            };
            // Created before the mode is read, so that a later close also applies to it.
            let lived = host.lived(peer.ip());
            if host.mode() != Mode::Refuse {
                tokio::spawn(connection(stream, router.clone(), lived, bound.end.clone()));
            }
        }
    });
}

/// Serves one connection until it is closed.
async fn connection(stream: TcpStream, router: Router, lived: Lived, end: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let router = router.layer(Extension(lived.clone()));
    let service = TowerToHyperService::new(router);
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = lived.life.cancelled() => {}
        () = end.cancelled() => {}
        _ = serving => {}
    }
}

/// Delays a request, and then its response, while the client is unreachable.
async fn hold(Extension(mut lived): Extension<Lived>, request: Request, next: Next) -> Response {
    lived.while_held().await;
    let response = next.run(request).await;
    lived.while_held().await;
    response
}

/// Returns a body that fails, which closes the connection.
pub(crate) fn broken_body() -> Body {
    let piece: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionReset.into());
    Body::from_stream(stream::iter([piece]))
}
