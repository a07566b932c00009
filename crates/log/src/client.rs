//! The log service over HTTP.

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

/// How long the calls may take.
#[common::value]
pub struct Timeouts {
    /// Making a connection.
    pub connect: Duration,
    /// An append, from the request to the whole answer.
    pub append: Duration,
    /// A read beyond the time that it asks the service to wait.
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
        // Retries are the writer's decision alone, which knows the sequences.
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

    /// Returns a store that calls through this client.
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

    /// Appends records and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Returns a failure that says whether the records may stand on the log.
    pub async fn append(&self, records: &[Arc<str>]) -> Result<Offset, Error> {
        check_batch(records)?;
        let body = serde_json::to_vec(&Append {
            records: records.to_vec(),
        })
        .map_err(|error| Error::not_appended("unencodable append").with_source(error))?;
        let path = proto::append_path(&self.stream);
        let request = self.request(Method::POST, &path, body.into())?;
        let response = self.call(request, self.timeouts.append).await?;
        let appended: Appended = decode(&response)?;
        Ok(appended.first)
    }

    /// Reads up to `max` records from `from` on, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Returns why the log could not be read.
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
            .map_err(|error| Error::not_appended("invalid stream name").with_source(error))
    }

    /// Makes a call and returns the body of the answer.
    async fn call(&self, request: Request<Full<Bytes>>, limit: Duration) -> Result<Bytes, Error> {
        let exchange = async {
            let response = self.http.request(request).await.map_err(exchange_error)?;
            check_status(response.status())?;
            let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
            let collected = body.collect().await;
            collected
                .map(http_body_util::Collected::to_bytes)
                .map_err(|error| Error::effect_unknown(format!("broken answer: {error}")))
        };
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| Err(Error::effect_unknown(format!("no answer within {limit:?}"))))
    }
}

/// Returns what a failed exchange says about the request.
fn exchange_error(error: legacy::Error) -> Error {
    if error.is_connect() {
        Error::not_appended("no connection").with_source(error)
    } else {
        Error::effect_unknown("connection lost").with_source(error)
    }
}

/// Returns what a status says about the request.
///
/// By the service's contract a client error or "service unavailable" means
/// that the request had no effect; other failures leave that open.
fn check_status(status: StatusCode) -> Result<(), Error> {
    if status.is_success() {
        Ok(())
    } else if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        Err(Error::not_appended(format!("refused with {status}")))
    } else {
        Err(Error::effect_unknown(format!("answered with {status}")))
    }
}

/// Refuses a batch that the service would refuse.
fn check_batch(records: &[Arc<str>]) -> Result<(), Error> {
    if records.is_empty() || records.len() > MAX_BATCH_RECORDS {
        let reason = format!("{} records of 1 to {MAX_BATCH_RECORDS}", records.len());
        return Err(Error::not_appended(reason));
    }
    match records.iter().find(|r| r.len() > MAX_RECORD_BYTES) {
        Some(oversized) => {
            let reason = format!("{} bytes of at most {MAX_RECORD_BYTES}", oversized.len());
            Err(Error::not_appended(reason))
        }
        None => Ok(()),
    }
}

/// Reads an answer that came with a success.
fn decode<T: serde::de::DeserializeOwned>(response: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(response)
        .map_err(|error| Error::effect_unknown("unreadable answer").with_source(error))
}

/// Returns the page of an answer to `query`, if it is one.
///
/// # Errors
///
/// Refuses offsets that are not those asked for, so that a confused or crossed
/// answer cannot place a record at a wrong offset.
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
            "answer with other offsets than asked for",
        ))
    }
}
