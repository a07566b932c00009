//! A server on loopback that can hang, refuse and lose its connections.

use axum::{
    Extension, Router,
    body::Body,
    extract::{Request, State},
    middleware::{self, Next},
    response::Response,
};
use bytes::Bytes;
use futures_util::stream;
use hyper::server::conn::http1;
use hyper_util::{rt::TokioIo, service::TowerToHyperService};
use std::{
    io,
    net::SocketAddr,
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

/// A server on loopback.
#[derive(Debug)]
pub(crate) struct Host {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    life: Mutex<CancellationToken>,
    end: CancellationToken,
}

impl Host {
    /// Returns a server that listens, and serves from [`serve`] on.
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<(Self, Bound)> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (mode, _) = watch::channel(Mode::Up);
        let end = CancellationToken::new();
        let host = Self {
            address,
            mode,
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
        *self.mode.borrow()
    }

    /// Sets how it treats connections; refusing also cuts those that exist.
    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
        if mode == Mode::Refuse {
            self.cut();
        }
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

    /// Returns a receiver that [`while_hung`] waits on.
    pub(crate) fn watch(&self) -> watch::Receiver<Mode> {
        self.mode.subscribe()
    }

    /// Returns the life that a connection of now belongs to.
    pub(crate) fn lived(&self) -> Lived {
        let life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        Lived(life.clone())
    }
}

/// The life that a request's connection belongs to.
#[derive(Debug, Clone)]
pub(crate) struct Lived(CancellationToken);

impl Lived {
    /// Returns whether that life has ended, and with it the request.
    pub(crate) fn is_over(&self) -> bool {
        self.0.is_cancelled()
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
    let hung = host(owner).watch();
    let router = router.layer(middleware::from_fn_with_state(hung, hold));
    let owner = Arc::downgrade(owner);
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = bound.listener.accept() => accepted,
                () = bound.end.cancelled() => return,
            };
            let Some(owner) = owner.upgrade() else { return };
            let host = host(&owner);
            if let Ok((stream, _)) = accepted
                && host.mode() != Mode::Refuse
            {
                let lived = host.lived();
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
        () = lived.0.cancelled() => {}
        () = end.cancelled() => {}
        _ = serving => {}
    }
}

/// Waits while the server hangs.
pub(crate) async fn while_hung(mode: &mut watch::Receiver<Mode>) {
    // An ended sender means an ended server, whose connections end by themselves.
    let _ = mode.wait_for(|mode| *mode != Mode::Hang).await;
}

/// Holds a request, and then its answer, while the server hangs.
async fn hold(
    State(mut mode): State<watch::Receiver<Mode>>,
    request: Request,
    next: Next,
) -> Response {
    while_hung(&mut mode).await;
    let response = next.run(request).await;
    while_hung(&mut mode).await;
    response
}

/// Returns a body that breaks off, which closes the connection.
pub(crate) fn broken_body() -> Body {
    let piece: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionReset.into());
    Body::from_stream(stream::iter([piece]))
}
