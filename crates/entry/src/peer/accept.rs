//! Accepts peer connections that start with the HTTP/2 preface.
//!
//! The transport has no time limit for the first bytes, so that idle connections
//! could exhaust the process's file descriptors. Here each connection must send
//! the preface within the timeout for a request's head, and the number of
//! connections that have not yet sent it is bounded.

use crate::http::listen::Limits;
use slog::{Logger, debug, warn};
use std::{io, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
};
use tokio_stream::wrappers::ReceiverStream;

/// The preface: the first bytes of every HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// The delay after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The interval between checks of a partially received preface.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum number of accepted connections waiting to be served.
const MAX_QUEUED_CONNECTIONS: usize = 64;

/// Returns a stream of the connections that sent the HTTP/2 preface.
///
/// The accepting task ends when the returned stream is dropped.
pub(super) fn connections(
    listener: TcpListener,
    bounds: Limits,
    log: Logger,
) -> ReceiverStream<io::Result<TcpStream>> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
    tokio::spawn(async move {
        tokio::select! {
            () = sender.closed() => {}
            () = accept(listener, bounds, &sender, &log) => {}
        }
    });
    ReceiverStream::new(receiver)
}

/// Accepts connections in an endless loop.
async fn accept(
    listener: TcpListener,
    bounds: Limits,
    sender: &mpsc::Sender<io::Result<TcpStream>>,
    log: &Logger,
) {
    let permits = Arc::new(Semaphore::new(bounds.connections));
    while let Ok(permit) = Arc::clone(&permits).acquire_owned().await {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(log, "accepting a peer connection failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (sender, log) = (sender.clone(), log.clone());
        tokio::spawn(async move {
            match timeout(bounds.header_timeout, has_preface(&stream)).await {
                Ok(Ok(true)) => {
                    // Frames are small writes, which Nagle's algorithm would delay.
                    let _ = stream.set_nodelay(true);
                    // Sending fails only if the node has stopped listening.
                    let _ = sender.send(Ok(stream)).await;
                }
                _ => debug!(log, "peer sent no HTTP/2 preface"; "peer" => %peer),
            }
            drop(permit);
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
