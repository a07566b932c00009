//! HTTP client of the log service.

use crate::{
    Error, Store,
    proto::{
        self, Append, Appended, MAX_BATCH_RECORDS, MAX_BODY_BYTES, MAX_RECORD_BYTES, Query, Records,
    },
};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use name::Offset;
use state::Page;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Timeouts of calls to the log service.
#[common::value]
pub struct Timeouts {
    /// The timeout of establishing a connection.
    pub connect: Duration,
    /// The timeout of an append, from sending the request to the end of the response.
    pub append: Duration,
    /// The timeout of a read, in addition to the wait that the read requests.
    pub read: Duration,
}

/// A client of one stream of the log service.
#[derive(Debug, Clone)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    stream: Arc<str>,
    timeouts: Timeouts,
}

impl Client {
    /// Returns a client of the stream `stream` at `address`.
    pub fn new(address: SocketAddr, stream: Arc<str>, timeouts: Timeouts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeouts.connect));
        // Only `Writer` retries, as it keeps the order of the sequence numbers.
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            address,
            stream,
            timeouts,
        }
    }

    /// Returns a store that makes its calls with this client.
    pub fn store(&self) -> Store {
        let (appender, reader) = (self.clone(), self.clone());
        Store::new(
            move |records: Arc<[Arc<str>]>| {
                let client = appender.clone();
                async move { client.append(&records).await }
            },
            move |from, max, wait| {
                let client = reader.clone();
                async move { client.read(from, max, wait).await }
            },
        )
    }

    /// Appends records and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the records may have been appended.
    pub async fn append(&self, records: &[Arc<str>]) -> Result<Offset, Error> {
        check_batch(records)?;
        let body = serde_json::to_vec(&Append {
            records: records.to_vec(),
        })
        .map_err(|error| {
            Error::not_appended("cannot encode the append request").with_source(error)
        })?;
        let path = proto::append_path(&self.stream);
        let request = self.request(Method::POST, &path, body.into())?;
        let response = self.call(request, self.timeouts.append).await?;
        let appended: Appended = decode(&response)?;
        Ok(appended.first)
    }

    /// Reads up to `max` records starting at `from`; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns an error if the log could not be read.
    pub async fn read(&self, from: Offset, max: usize, wait: Duration) -> Result<Page, Error> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let query = Query { from, max, wait_ms };
        let path = proto::records_path(&self.stream, &query);
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let response = self.call(request, self.timeouts.read + wait).await?;
        check_page(decode(&response)?, &query)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| {
                Error::not_appended("cannot build the request: invalid stream name")
                    .with_source(error)
            })
    }

    /// Sends a request and returns the body of the response.
    async fn call(&self, request: Request<Full<Bytes>>, limit: Duration) -> Result<Bytes, Error> {
        let exchange = async {
            let response = self.http.request(request).await.map_err(exchange_error)?;
            check_status(response.status())?;
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
            let collected = body.collect().await;
            collected
                .map(http_body_util::Collected::to_bytes)
                .map_err(|error| {
                    Error::effect_unknown(format!("cannot read the response body: {error}"))
                })
        };
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| {
                Err(Error::effect_unknown(format!(
                    "no complete response within {limit:?}"
                )))
            })
    }
}

/// Converts an HTTP client error, by whether a connection was established.
fn exchange_error(error: legacy::Error) -> Error {
    if error.is_connect() {
        Error::not_appended("cannot connect").with_source(error)
    } else {
        Error::effect_unknown("connection lost during the call").with_source(error)
    }
}

/// Returns an error if the status is not a success.
///
/// The service guarantees that a request had no effect if its status is a
/// client error or "service unavailable". After other failures the effect is
/// unknown.
fn check_status(status: StatusCode) -> Result<(), Error> {
    if status.is_success() {
        Ok(())
    } else if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        Err(Error::not_appended(format!(
            "request rejected with status {status}"
        )))
    } else {
        Err(Error::effect_unknown(format!("unexpected status {status}")))
    }
}

/// Returns an error for a batch that the service would reject.
fn check_batch(records: &[Arc<str>]) -> Result<(), Error> {
    if records.is_empty() || records.len() > MAX_BATCH_RECORDS {
        let reason = format!(
            "batch of {} records: expected 1 to {MAX_BATCH_RECORDS}",
            records.len()
        );
        return Err(Error::not_appended(reason));
    }
    match records.iter().find(|r| r.len() > MAX_RECORD_BYTES) {
        Some(oversized) => {
            let reason = format!(
                "record of {} bytes: expected at most {MAX_RECORD_BYTES}",
                oversized.len()
            );
            Err(Error::not_appended(reason))
        }
        None => Ok(()),
    }
}

/// Decodes the body of a successful response.
fn decode<T: serde::de::DeserializeOwned>(response: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(response)
        .map_err(|error| Error::effect_unknown("cannot decode the response").with_source(error))
}

/// Returns the page of the response to `query`.
///
/// # Errors
///
/// Returns an error if the offsets are not those requested, so that a response
/// to another request, or an inconsistent one, cannot place a record at a wrong
/// offset.
fn check_page(records: Records, query: &Query) -> Result<Page, Error> {
    let page = Page::from(records);
    let mut expected = query.from.max(page.first);
    let is_valid = page.first <= page.tail
        && page.entries.len() <= query.max
        && page.entries.iter().all(|entry| {
            let is_next = entry.offset == expected && entry.offset < page.tail;
            expected = expected.next();
            is_next
        });
    if is_valid {
        Ok(page)
    } else {
        Err(Error::effect_unknown(
            "response with other offsets than requested",
        ))
    }
}
