//! Serving HTTP/1.1 on a connection that is kept in a budget.

use crate::{
    budget::Ticket,
    connection::{Connection, Phase},
};
use ::http::{Request, Response};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    error,
    future::pending,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::timeout,
};

/// The least size of a connection's buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The time to send a refusal on a connection that is closed within a request.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Serves the requests of a connection to its end, or until the budget closes it.
///
/// The head of a request has at most `max_head_bytes`. Each request carries its
/// [`Connection`] as an extension, which [`crate::body::collect`] needs. When `closing`
/// completes, the connection is closed after the response in progress.
///
/// # Errors
///
/// Returns the library's error if the client broke the protocol or the connection.
pub async fn serve<S, F, B>(
    mut ticket: Ticket,
    stream: TcpStream,
    max_head_bytes: usize,
    service: S,
    closing: impl Future<Output = ()>,
) -> Result<(), hyper::Error>
where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let buffer_bytes = max_head_bytes.max(MIN_BUFFER_BYTES);
    ticket.charge_head(buffer_bytes);
    let connection = Arc::clone(ticket.connection());
    let tracked = Arc::clone(&connection);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let is_open = tracked.enter(Phase::Busy);
        request.extensions_mut().insert(Arc::clone(&tracked));
        let responding = is_open.then(|| service(request));
        let tracked = Arc::clone(&tracked);
        async move {
            let response = match responding {
                Some(responding) => responding.await,
                // The loop below closes the connection.
                None => pending().await,
            };
            Ok::<_, io::Error>(response.map(|body| TrackedBody {
                body,
                connection: tracked,
            }))
        }
    });
    let io = TokioIo::new(Stream {
        stream,
        connection: Arc::clone(&connection),
    });
    // The budget closes connections whose heads are late or that are idle for too long.
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .serve_connection(io, service);
    tokio::pin!(served, closing);
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = served.as_mut() => return ended,
            _ = connection.closed() => {
                if connection.is_receiving_body() {
                    // The reader of the body refuses the request.
                    return timeout(REFUSAL_TIME, served).await.unwrap_or(Ok(()));
                }
                return Ok(());
            }
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                served.as_mut().graceful_shutdown();
            }
            () = connection.finishing(), if !is_closing => {
                is_closing = true;
                served.as_mut().graceful_shutdown();
            }
        }
    }
}

/// The socket of a connection, which records when bytes are received and whether they can
/// be sent.
#[derive(Debug)]
struct Stream {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.connection.record_bytes();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.connection.record_unsent(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.connection.record_unsent(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of a response, whose end also ends the request of its connection.
#[derive(Debug)]
struct TrackedBody<B> {
    body: B,
    connection: Arc<Connection>,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.end_request();
    }
}
