//! HTTP/1.1 connections to other processes, kept and bounded in time.
//!
//! A [`Pool`] keeps idle connections by address. A [`Connection`] carries one
//! request at a time; whoever took it puts it back after a whole answer, and
//! drops it otherwise, which closes it. Connections can go silent without a
//! reset, so every wait has a time and sockets give up on unacknowledged bytes.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
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

/// How long bytes may stay unacknowledged before the kernel gives a connection up.
///
/// Two seconds are above the retransmissions of a link that loses a few packets.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection is kept idle if its peer names no time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(10);

/// How long before the peer's own limit an idle connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// The most idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// The longest body that [`Pool::call`] reads, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Sets the options that every socket of this system has.
///
/// A failure only leaves an option unset, which the time limits of the callers
/// make up for, so it is returned for the log and the socket stays usable.
///
/// # Errors
///
/// Returns the failure of the first option that could not be set.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    is_reused: bool,
}

/// Why a request got no answer.
#[derive(Debug)]
pub struct Failure {
    /// What happened.
    pub reason: String,
    /// Whether no byte of the request left.
    pub is_unsent: bool,
}

impl Failure {
    /// Returns a failure before any byte of the request left.
    fn unsent(reason: impl fmt::Display) -> Self {
        Self {
            reason: reason.to_string(),
            is_unsent: true,
        }
    }

    /// Returns a failure after which the request may have been received.
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
    /// Returns why it could not be opened within `limit`.
    pub async fn open(address: SocketAddr, time_limit: Duration) -> Result<Self, Failure> {
        let connecting = async {
            let stream = TcpStream::connect(address).await.map_err(Failure::unsent)?;
            set_socket_options(&stream).map_err(Failure::unsent)?;
            hyper::client::conn::http1::handshake(TokioIo::new(stream))
                .await
                .map_err(Failure::unsent)
        };
        let (sender, connection) = timeout(time_limit, connecting)
            .await
            .map_err(|_| Failure::unsent(format!("no connection within {time_limit:?}")))??;
        // The request's own result reports what ends the connection.
        tokio::spawn(async move { drop(connection.await) });
        Ok(Self {
            address,
            sender,
            is_reused: false,
        })
    }

    /// Returns whether an earlier request was made over the connection.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and returns the answer with its body unread.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer, and whether the request certainly never left.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, Failure> {
        let request = request.map(Full::new);
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

/// An idle connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Returns a connection to `address`: the one used last, or a new one.
    ///
    /// A connection that was idle for longer than `max_idle` is not used.
    ///
    /// # Errors
    ///
    /// Returns why a new one could not be opened within `limit`.
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

    /// Returns the usable idle connection to `address` that was used last.
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

    /// Keeps a connection whose last answer was read to its end.
    ///
    /// `keep_alive` is how long the peer keeps it, if it said so.
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

    /// Makes a small call and reads the whole answer.
    ///
    /// A kept connection that turns out to be closed is replaced by a new one
    /// if the request certainly never left.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), Failure> {
        timeout(
            time_limit,
            self.call_without_timeout(address, request, time_limit),
        )
        .await
        .unwrap_or_else(|_| Err(Failure::sent(format!("no answer within {time_limit:?}"))))
    }

    /// Makes a small call without a time limit on the answer.
    async fn call_without_timeout(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let mut connection = self.take(address, DEFAULT_KEEP_ALIVE, time_limit).await?;
        let response = match connection.send(request.clone()).await {
            Err(failure) if failure.is_unsent && connection.is_reused => {
                connection = Connection::open(address, time_limit).await?;
                connection.send(request).await?
            }
            result => result?,
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(Failure::sent)?
            .to_bytes();
        self.put(connection, None);
        Ok((status, body))
    }
}
