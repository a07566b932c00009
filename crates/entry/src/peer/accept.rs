//! Accepts peer connections that start with the HTTP/2 preface.
//!
//! The transport has no time limit for the first bytes, so that idle connections
//! could exhaust the process's file descriptors. Here each connection must send
//! the preface within the timeout for a request's head. Each keeps its place in the
//! budget of the process until its end.

use crate::{driver::millis, node::Node};
use budget::{Port, Ticket};
use slog::{debug, warn};
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// The preface: the first bytes of every HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// The delay after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The interval between checks of a partially received preface.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum number of accepted connections waiting to be served.
const MAX_QUEUED_CONNECTIONS: usize = 64;

/// A connection of a peer, which ends when the budget closes it.
pub(super) struct PeerStream {
    stream: TcpStream,
    ticket: Ticket,
    closed: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl PeerStream {
    /// Returns a connection with its place in the budget.
    fn new(stream: TcpStream, ticket: Ticket) -> Self {
        let connection = Arc::clone(ticket.connection());
        let closed = Box::pin(async move {
            connection.closed().await;
        });
        Self {
            stream,
            ticket,
            closed,
        }
    }
}

impl Connected for PeerStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.closed.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.ticket.connection().record_activity();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Returns a stream of the connections that sent the HTTP/2 preface.
///
/// The accepting task ends when the returned stream is dropped.
pub(super) fn connections(
    listener: TcpListener,
    node: Arc<Node>,
) -> ReceiverStream<io::Result<PeerStream>> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
    tokio::spawn(async move {
        tokio::select! {
            () = sender.closed() => {}
            () = accept(listener, &node, &sender) => {}
        }
    });
    ReceiverStream::new(receiver)
}

/// Accepts connections in an endless loop.
async fn accept(
    listener: TcpListener,
    node: &Arc<Node>,
    sender: &mpsc::Sender<io::Result<PeerStream>>,
) {
    let time_limit = millis(node.settings.limits.header_timeout_ms);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(node.log, "accepting a peer connection failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Without room for it, the connection is closed at once.
        let Some(ticket) = node.budget.open(Port::Peers, peer.ip()) else {
            continue;
        };
        let (sender, log) = (sender.clone(), node.log.clone());
        tokio::spawn(async move {
            let connection = Arc::clone(ticket.connection());
            let preface = async {
                tokio::select! {
                    received = timeout(time_limit, has_preface(&stream)) => {
                        matches!(received, Ok(Ok(true)))
                    }
                    _ = connection.closed() => false,
                }
            };
            if preface.await {
                connection.record_activity();
                // Frames are small writes, which Nagle's algorithm would delay.
                let _ = stream.set_nodelay(true);
                // Sending fails only if the node has stopped listening.
                let _ = sender.send(Ok(PeerStream::new(stream, ticket))).await;
            } else {
                debug!(log, "peer sent no HTTP/2 preface"; "peer" => %peer);
            }
        });
    }
}

/// Waits for the first bytes and returns whether they are the HTTP/2 preface.
async fn has_preface(stream: &TcpStream) -> io::Result<bool> {
    let mut bytes = [0; PREFACE.len()];
    loop {
        let count = stream.peek(&mut bytes).await?;
        let is_rejected = count == 0 || bytes[..count] != PREFACE[..count];
        if is_rejected || count == PREFACE.len() {
            return Ok(!is_rejected);
        }
        // Peeked bytes stay in the buffer, so that another peek would return at once.
        sleep(PREFACE_POLL_INTERVAL).await;
    }
}
