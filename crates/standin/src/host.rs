//! A server on loopback that can hang, refuse and lose its connections.

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
    /// It serves.
    Up,
    /// It closes every connection.
    Refuse,
    /// It keeps connections and answers nothing until it serves again.
    Hang,
}

/// Whom a server reaches.
#[derive(Debug, Clone)]
pub(crate) struct Reach {
    mode: Mode,
    /// The addresses of clients that are cut off.
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
    /// Returns a server that listens, and serves from [`serve`] on.
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

    /// Sets how it treats connections; refusing also cuts those that exist.
    pub(crate) fn set_mode(&self, mode: Mode) {
        self.reach.send_modify(|reach| reach.mode = mode);
        if mode == Mode::Refuse {
            self.cut();
        }
    }

    /// Parts the server from the clients at `from`, or joins them again.
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

    /// Ends the server and its connections for good.
    pub(crate) fn end(&self) {
        self.end.cancel();
    }

    /// Returns the life that a connection of now, from `peer`, belongs to.
    pub(crate) fn lived(&self, peer: IpAddr) -> Lived {
        let life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        Lived {
            life: life.clone(),
            reach: self.reach.subscribe(),
            peer,
        }
    }
}

/// The life that a request's connection belongs to, and whom it comes from.
#[derive(Debug, Clone)]
pub(crate) struct Lived {
    life: CancellationToken,
    reach: watch::Receiver<Reach>,
    peer: IpAddr,
}

impl Lived {
    /// Returns whether that life has ended, and with it the request.
    pub(crate) fn is_over(&self) -> bool {
        self.life.is_cancelled()
    }

    /// Waits while the server hangs or is parted from the client.
    pub(crate) async fn while_held(&mut self) {
        let peer = self.peer;
        let reaches = |reach: &Reach| reach.mode != Mode::Hang && !reach.parted.contains(&peer);
        // An ended sender means an ended server, whose connections end by themselves.
        let _ = self.reach.wait_for(reaches).await;
    }
}

/// A listener that is not served yet.
#[derive(Debug)]
pub(crate) struct Bound {
    listener: TcpListener,
    end: CancellationToken,
}

/// Serves `router` until the host that `host` finds is ended.
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
            // Taken before the look at the mode, so that a cut after it is seen.
            let lived = host.lived(peer.ip());
            if host.mode() != Mode::Refuse {
                tokio::spawn(connection(stream, router.clone(), lived, bound.end.clone()));
            }
        }
    });
}

/// Serves one connection until its life ends.
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

/// Holds a request, and then its answer, while its client is not reached.
async fn hold(Extension(mut lived): Extension<Lived>, request: Request, next: Next) -> Response {
    lived.while_held().await;
    let response = next.run(request).await;
    lived.while_held().await;
    response
}

/// Returns a body that breaks off, which closes the connection.
pub(crate) fn broken_body() -> Body {
    let piece: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionReset.into());
    Body::from_stream(stream::iter([piece]))
}
