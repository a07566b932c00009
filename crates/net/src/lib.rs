//! Pool of HTTP/1.1 connections with time limits on every wait.
//!
//! A [`Pool`] stores idle connections by address. A [`Connection`] carries one
//! request at a time; its user returns it to the pool after a complete
//! response, and drops it otherwise, which closes it. A connection can fail
//! without a reset, so every wait has a time limit, and a TCP user timeout
//! closes sockets whose sent bytes stay unacknowledged.

mod payload;

pub use payload::Payload;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::SendRequest,
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time::timeout};

/// How long sent bytes may stay unacknowledged before the kernel closes a connection.
///
/// 2 seconds exceed the retransmissions of a link that loses a few packets.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection may be idle if its peer announces no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(10);

/// How long before the peer's keep-alive time ends an idle connection expires.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// The maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// The maximum length of a response head, in bytes, and of a piece of a body.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Sets `TCP_NODELAY` and the TCP user timeout on a socket.
///
/// The socket stays usable after a failure, since the time limits of the
/// callers cover for an unset option. The error is returned only to be logged.
///
/// # Errors
///
/// Returns the error of the first option that could not be set.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// How a server reacted to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reaction {
    /// It accepted the connection.
    Accepted,
    /// It, or a device on the way, refused or reset the connection.
    Refused,
    /// Nothing answered.
    Unreachable,
}

/// Opens a connection without sending anything, and returns whether it stays open for a
/// time.
///
/// A device on the way can accept connections for a server that has ended.
pub async fn stays_open(address: SocketAddr, time_limit: Duration, time: Duration) -> bool {
    let Ok(Ok(stream)) = timeout(time_limit, TcpStream::connect(address)).await else {
        return false;
    };
    // A server sends nothing before a request, so only an end makes it readable.
    timeout(time, stream.readable()).await.is_err()
}

/// Opens a connection without sending anything, and closes it.
pub async fn probe(address: SocketAddr, time_limit: Duration) -> Reaction {
    match timeout(time_limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Reaction::Accepted,
        Ok(Err(error))
            if matches!(
                error.kind(),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
            ) =>
        {
            Reaction::Refused
        }
        Ok(Err(_)) | Err(_) => Reaction::Unreachable,
    }
}

/// How a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunked,
    /// Only by the end of the connection, as a body that is cut off also ends.
    Close,
}

impl Framing {
    /// Returns the framing of a response, by RFC 9112, section 6.3.
    ///
    /// A response that cannot have a body, as to a `HEAD` request, has a known length.
    pub fn of<B: Body>(response: &Response<B>) -> Self {
        let headers = response.headers();
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        if response.body().is_end_stream() {
            Self::Length
        } else if let Some(last) = codings.iter().next_back() {
            let is_chunked = last
                .as_bytes()
                .rsplit(|byte| *byte == b',')
                .next()
                .is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"));
            if is_chunked {
                Self::Chunked
            } else {
                Self::Close
            }
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Payload>,
    is_reused: bool,
}

/// The error of a request that got no response.
#[derive(Debug)]
pub struct Failure {
    /// The description of the error.
    pub reason: String,
    /// Whether no byte of the request was sent.
    pub is_unsent: bool,
}

impl Failure {
    /// Returns a failure before any byte of the request was sent.
    fn unsent(reason: impl fmt::Display) -> Self {
        Self {
            reason: reason.to_string(),
            is_unsent: true,
        }
    }

    /// Returns a failure after which the peer may have received the request.
    fn sent(reason: impl fmt::Display) -> Self {
        Self {
            reason: reason.to_string(),
            is_unsent: false,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for Failure {}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if it could not be opened within `time_limit`.
    pub async fn open(address: SocketAddr, time_limit: Duration) -> Result<Self, Failure> {
        let connecting = async {
            let stream = TcpStream::connect(address).await.map_err(Failure::unsent)?;
            set_socket_options(&stream).map_err(Failure::unsent)?;
            hyper::client::conn::http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .handshake(TokioIo::new(stream))
                .await
                .map_err(Failure::unsent)
        };
        let (sender, connection) = timeout(time_limit, connecting)
            .await
            .map_err(|_| Failure::unsent(format!("no connection within {time_limit:?}")))??;
        // An error that ends the connection is reported by the request's result.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Self {
            address,
            sender,
            is_reused: false,
        })
    }

    /// Returns whether the connection has carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response; it states whether the request was
    /// certainly not sent.
    pub async fn send(
        &mut self,
        request: Request<impl Into<Payload>>,
    ) -> Result<Response<Incoming>, Failure> {
        let request = request.map(Into::into);
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                let is_unsent = error.take_message().is_some();
                let reason = error.into_error();
                if is_unsent {
                    Failure::unsent(reason)
                } else {
                    Failure::sent(reason)
                }
            })
    }
}

/// An idle connection in a pool.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// A pool of idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Returns the connection to `address` that was used last, or a new one.
    ///
    /// A connection that was idle for longer than `max_idle` is not used.
    ///
    /// # Errors
    ///
    /// Returns an error if a new one could not be opened within `time_limit`.
    pub async fn take(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        time_limit: Duration,
    ) -> Result<Connection, Failure> {
        if let Some(connection) = self.take_idle(address, max_idle) {
            return Ok(connection);
        }
        Connection::open(address, time_limit).await
    }

    /// Removes and returns the usable idle connection that was used last.
    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|i| i.expires_at > now && !i.connection.sender.is_closed());
        let index = connections
            .iter()
            .rposition(|i| i.connection.sender.is_ready() && now - i.idle_since <= max_idle)?;
        let mut connection = connections.remove(index).connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Returns a connection to the pool after a complete response.
    ///
    /// `keep_alive` is the keep-alive time that the peer announced, if any. The
    /// oldest connection to the address is closed if there are too many.
    pub fn put(&self, connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_time = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(Idle {
            connection,
            idle_since: now,
            expires_at: now + idle_time,
        });
    }

    /// Closes all idle connections to addresses for which `is_kept` is false.
    pub fn retain(&self, is_kept: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, _| is_kept(address));
    }

    /// Sends a request and reads the complete response into memory.
    ///
    /// If a pooled connection turns out to be closed and the request was
    /// certainly not sent, it is sent again over a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response within `time_limit`, or if its
    /// body is longer than `max_body` bytes.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        time_limit: Duration,
        max_body: usize,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let response = self
            .exchange(address, request, time_limit, max_body)
            .await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request like [`Pool::call`], and returns the headers as well.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Pool::call`].
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        time_limit: Duration,
        max_body: usize,
    ) -> Result<Response<Bytes>, Failure> {
        timeout(
            time_limit,
            self.exchange_without_timeout(address, request, time_limit, max_body),
        )
        .await
        .unwrap_or_else(|_| Err(Failure::sent(format!("no response within {time_limit:?}"))))
    }

    /// Sends a request and reads the response without an overall time limit.
    ///
    /// `time_limit` applies to the opening of a connection only.
    async fn exchange_without_timeout(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        time_limit: Duration,
        max_body: usize,
    ) -> Result<Response<Bytes>, Failure> {
        let mut connection = self.take(address, DEFAULT_KEEP_ALIVE, time_limit).await?;
        let response = match connection.send(request.clone()).await {
            Err(failure) if failure.is_unsent && connection.is_reused => {
                connection = Connection::open(address, time_limit).await?;
                connection.send(request).await?
            }
            result => result?,
        };
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, max_body)
            .collect()
            .await
            .map_err(Failure::sent)?
            .to_bytes();
        self.put(connection, None);
        Ok(Response::from_parts(parts, body))
    }
}
