//! HTTP connections, and those bound to one incarnation of a backend server.

use crate::{
    Failure, Limits,
    checked_stream::{Check, CheckedStream, Progress, StreamHandle},
    proto::Report,
};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time,
};
use uuid::Uuid;
use verdict::Kind;

/// An HTTP connection without a report, as to the instance list.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    handle: StreamHandle,
    driver: JoinHandle<()>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.handle.block_writes();
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Opens a connection to `address`.
    pub(crate) async fn open(address: SocketAddr, limits: &Limits) -> Result<Self, Failure> {
        let failed = |problem: String| {
            let message = format!("cannot connect to {address}: {problem}");
            Failure::unsent(message)
        };
        let stream = time::timeout(
            limits.connect_timeout,
            connect(address, limits.source_address),
        )
        .await;
        let stream = stream.map_err(|_| failed("timed out".into()))?;
        let stream = stream.map_err(|error| failed(error.to_string()))?;
        // Nagle's algorithm would delay a small request until the previous one's
        // segments are acknowledged.
        let _ = stream.set_nodelay(true);
        let (checked, handle) = CheckedStream::new(stream);
        let io = TokioIo::new(checked);
        let (sender, driver) = http1::handshake(io)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let driver = tokio::spawn(async move {
            // The pending request fails with the same error.
            let _ = driver.await;
        });
        Ok(Self {
            address,
            sender,
            handle,
            driver,
        })
    }

    /// Returns the server's address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether a request can be sent.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends `request` if `check` returns true directly before the first byte.
    ///
    /// After a failure the connection can't be used again.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        check: Check,
        timeout: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        let (sender, handle) = (&mut self.sender, &self.handle);
        let mut is_check_set = false;
        let sent = time::timeout(timeout, async {
            sender.ready().await?;
            // `ready` returns only after every byte of the previous request was written,
            // so the check applies to this request.
            handle.set_check(check);
            is_check_set = true;
            sender.send_request(request).await
        });
        let (kind, problem) = match sent.await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(error)) => (Kind::Upstream, error.to_string()),
            Err(_) => (Kind::Deadline, "timed out".into()),
        };
        let message = format!("request to {} failed: {problem}", self.address);
        Err(match self.handle.block_writes() {
            Progress::Started if is_check_set => Failure::may_have_run(kind, message),
            Progress::NotStarted | Progress::Started => Failure::unsent(message),
            Progress::Rejected => {
                let message = "the request may no longer be sent";
                Failure::unsent(message)
            }
        })
    }
}

/// A connection to one incarnation of a backend server.
///
/// The boot ID is read over the connection when it opens.
#[derive(Debug)]
pub struct Connection {
    pub(crate) http: HttpConnection,
    report: Report,
}

impl Connection {
    /// Opens a connection to the backend server at `address` and reads its report.
    ///
    /// # Errors
    ///
    /// Returns a failure, always `not-run`, if no report arrives in time.
    pub async fn open(address: SocketAddr, limits: &Limits) -> Result<Self, Failure> {
        let mut http = HttpConnection::open(address, limits).await?;
        let report = read_report(&mut http, limits).await?;
        Ok(Self { http, report })
    }

    /// Returns the boot ID of the incarnation that this connection reaches.
    pub fn boot(&self) -> Uuid {
        self.report.boot
    }

    /// Returns the latest report read over this connection.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// Returns whether a request can be sent.
    pub fn is_open(&self) -> bool {
        self.http.is_open()
    }

    /// Reads a new report.
    ///
    /// # Errors
    ///
    /// Returns a failure if no report arrives in time, or if its boot ID has changed:
    /// a correct server never sends two boot IDs over one connection.
    pub async fn read_report(&mut self, limits: &Limits) -> Result<&Report, Failure> {
        let report = read_report(&mut self.http, limits).await?;
        if report.boot != self.report.boot {
            return Err(Failure::restarted(self.report.boot, report));
        }
        self.report = report;
        Ok(&self.report)
    }
}

/// Opens a TCP connection to `address`, from the address `source` if given.
async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Reads a report; a failure is `not-run`, since a report runs no work.
async fn read_report(connection: &mut HttpConnection, limits: &Limits) -> Result<Report, Failure> {
    let read = read_json(connection, "/v1/report", limits).await;
    read.map_err(|failure| Failure::unsent(failure.error().message()))
}

/// Sends a GET request for `path` and parses the response as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(
    connection: &mut HttpConnection,
    path: &str,
    limits: &Limits,
) -> Result<T, Failure> {
    let request = request("GET", path, connection.address, Bytes::new())?;
    let exchange = async {
        let response = connection
            .send(request, Box::new(|| true), limits.response_timeout)
            .await?;
        let status = response.status();
        let body = read_body(response.into_body(), limits).await?;
        if status != StatusCode::OK {
            let message = format!("{path} was answered with {status}");
            return Err(Failure::may_have_run(Kind::Upstream, message));
        }
        parse(&body)
    };
    let read = time::timeout(limits.response_timeout, exchange).await;
    read.unwrap_or_else(|_| Err(response_timeout()))
}

/// Builds a request with a JSON body.
pub(crate) fn request(
    method: &str,
    path: &str,
    address: SocketAddr,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Failure> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| Failure::not_run(Kind::Malformed, error.to_string()))
}

/// Reads a whole body up to the size limit.
pub(crate) async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, Failure> {
    let read = Limited::new(body, limits.max_response_bytes)
        .collect()
        .await;
    let read = read.map_err(|error| {
        let message = match error.downcast_ref::<LengthLimitError>() {
            Some(_) => "the answer is too large".into(),
            None => format!("the answer broke off: {error}"),
        };
        Failure::may_have_run(Kind::Upstream, message)
    })?;
    Ok(read.to_bytes())
}

/// Returns the failure of a response that did not arrive in time.
pub(crate) fn response_timeout() -> Failure {
    Failure::may_have_run(Kind::Deadline, "the answer did not arrive in time")
}

/// Parses a response body as JSON.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the answer is malformed: {error}");
        Failure::may_have_run(Kind::Upstream, message)
    })
}
