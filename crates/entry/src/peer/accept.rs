//! Accepts connections of peers that begin as HTTP/2 connections do.
//!
//! The transport would wait without end for the first bytes, so that silent
//! connections could use up the process's files. Here each must begin within the
//! time for a request's head, and only a bounded number may be about to.

use crate::http::listen::Limits;
use slog::{Logger, debug, warn};
use std::{io, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
};
use tokio_stream::wrappers::ReceiverStream;

/// The first bytes of every HTTP/2 connection.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// The time that the listener rests after an accept error.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The time between two looks at a preface of which only a part arrived.
const LOOK_EACH: Duration = Duration::from_millis(20);

/// Connections that have begun and wait to be served.
const BEGUN: usize = 64;

/// Returns the connections that begin as they should.
///
/// The task that accepts ends when the returned stream is dropped.
pub(super) fn connections(
    listener: TcpListener,
    bounds: Limits,
    log: Logger,
) -> ReceiverStream<io::Result<TcpStream>> {
    let (sender, receiver) = mpsc::channel(BEGUN);
    tokio::spawn(async move {
        tokio::select! {
            () = sender.closed() => {}
            () = accept(listener, bounds, &sender, &log) => {}
        }
    });
    ReceiverStream::new(receiver)
}

/// Accepts connections without end.
async fn accept(
    listener: TcpListener,
    bounds: Limits,
    begun: &mpsc::Sender<io::Result<TcpStream>>,
    log: &Logger,
) {
    let room = Arc::new(Semaphore::new(bounds.connections));
    while let Ok(permit) = Arc::clone(&room).acquire_owned().await {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(log, "accept failed"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (begun, log) = (begun.clone(), log.clone());
        tokio::spawn(async move {
            match timeout(bounds.header_timeout, begins(&stream)).await {
                Ok(Ok(true)) => {
                    // Frames are small writes; waiting for more would delay each.
                    let _ = stream.set_nodelay(true);
                    // The node has stopped listening if this fails.
                    let _ = begun.send(Ok(stream)).await;
                }
                _ => debug!(log, "connection is not a peer's"; "peer" => %peer),
            }
            drop(permit);
        });
    }
}

/// Returns whether a connection begins with the preface; waits until it is there.
async fn begins(stream: &TcpStream) -> io::Result<bool> {
    let mut bytes = [0; PREFACE.len()];
    loop {
        let count = stream.peek(&mut bytes).await?;
        let is_over = count == 0 || bytes[..count] != PREFACE[..count];
        if is_over || count == PREFACE.len() {
            return Ok(!is_over);
        }
        // What is there stays there, so that another look would not wait.
        sleep(LOOK_EACH).await;
    }
}
