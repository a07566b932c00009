//! Requests to model engines.

use crate::{
    Answer, Connection, Failure, Pool, Target,
    connection::{read_body, read_json, request, response_timeout},
    pool::{attempt_request, send_attempt},
    proto::{CacheEvents, Cancel, Generate, Order, Refusal, Report},
};
use bytes::Bytes;
use http::StatusCode;
use name::Attempt;
use serde::Serialize;
use std::{net::SocketAddr, time::Duration};
use tokio::time;
use verdict::Kind;

/// Serializes `body` as JSON.
fn json(body: &impl Serialize) -> Result<Bytes, Failure> {
    let text = serde_json::to_vec(body);
    let text = text.map_err(|error| Failure::not_run(Kind::Internal, error.to_string()))?;
    Ok(text.into())
}

/// Reads the report of the engine or service at `address`.
///
/// # Errors
///
/// Returns a failure, always `not-run`, if no report arrives in time.
pub async fn report(pool: &Pool, address: SocketAddr) -> Result<Report, Failure> {
    // One timeout covers both attempts, so that an unresponsive server blocks for no
    // longer than that.
    let read = time::timeout(pool.limits().response_timeout, read_report(pool, address)).await;
    read.unwrap_or_else(|_| {
        let message = format!("{address} sends no report");
        Err(Failure::not_run(Kind::Unavailable, message))
    })
}

/// Reads a report over an idle connection, or over a new one if that fails.
async fn read_report(pool: &Pool, address: SocketAddr) -> Result<Report, Failure> {
    if let Some(mut connection) = pool.take_idle(address, None)
        && let Ok(report) = connection.read_report(pool.limits()).await
    {
        let report = report.clone();
        pool.put(address, connection);
        return Ok(report);
    }
    let connection = Connection::open(address, pool.limits()).await?;
    let report = connection.report().clone();
    pool.put(address, connection);
    Ok(report)
}

/// Sends an order over a new connection that carries no other request.
///
/// `may_send` is called directly before the first byte is written; if it
/// returns false, the order is not sent.
///
/// # Errors
///
/// Returns a failure with its verdict. [`Failure::refusal`] is set if the engine
/// refused the order as stale.
pub async fn order(
    pool: &Pool,
    address: SocketAddr,
    order: &Order,
    may_send: impl FnOnce() -> bool + Send + 'static,
) -> Result<(), Failure> {
    let limits = pool.limits();
    let mut connection = Connection::open(address, limits).await?;
    let request = request("POST", "/v1/order", address, json(order)?)?;
    let exchange = async {
        let check = Box::new(may_send);
        let response = connection
            .http
            .send(request, check, limits.response_timeout)
            .await?;
        let status = response.status();
        let body = read_body(response.into_body(), limits).await?;
        match status {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => {
                let refusal: Refusal = crate::connection::parse(&body)?;
                Err(Failure::stale_generation(refusal))
            }
            status => {
                let message = format!("the order was answered with {status}");
                Err(Failure::may_have_run(Kind::Upstream, message))
            }
        }
    };
    let sent = time::timeout(limits.response_timeout, exchange).await;
    sent.unwrap_or_else(|_| Err(response_timeout()))
}

/// Starts a generation at the first member of a replica.
///
/// `may_send` is called directly before the first byte is written; if it
/// returns false, the request is not sent. `timeout` limits the time until the
/// engine accepts the request, including the time to open a connection.
///
/// # Errors
///
/// Returns a failure with its verdict. [`Failure::restart`] is set if the
/// engine's boot ID differs from the target's.
pub async fn generate(
    pool: &Pool,
    target: Target,
    generate: &Generate,
    may_send: impl FnOnce() -> bool + Send + 'static,
    timeout: Duration,
) -> Result<Answer, Failure> {
    let (connection, timeout) = pool.take_with_timeout(&target, timeout).await?;
    let attempt = generate.attempt;
    let request = attempt_request("/v1/generate", &target, attempt, json(generate)?)?;
    let check = Box::new(may_send);
    let sent = send_attempt(pool, connection, request, attempt, check, timeout);
    let (response, connection) = sent.await?;
    let first = generate.resume_tokens;
    let body = response.into_body();
    Ok(Answer::new(pool, target, attempt, first, body, connection))
}

/// Requests that the engine stop an attempt.
///
/// # Errors
///
/// Returns a failure if no response arrives in time.
pub async fn cancel(pool: &Pool, address: SocketAddr, attempt: Attempt) -> Result<(), Failure> {
    let limits = pool.limits();
    let mut connection = pool.take(address, None).await?;
    let request = request("POST", "/v1/cancel", address, json(&Cancel { attempt })?)?;
    let exchange = async {
        let check = Box::new(|| true);
        let response = connection
            .http
            .send(request, check, limits.response_timeout)
            .await?;
        read_body(response.into_body(), limits).await
    };
    let sent = time::timeout(limits.response_timeout, exchange).await;
    sent.unwrap_or_else(|_| Err(response_timeout()))?;
    pool.put(address, connection);
    Ok(())
}

/// Reads the engine's prefix cache events, starting at number `from`.
///
/// # Errors
///
/// Returns a failure if no valid response arrives in time.
pub async fn cache_events(
    pool: &Pool,
    address: SocketAddr,
    from: u64,
) -> Result<CacheEvents, Failure> {
    let mut connection = pool.take(address, None).await?;
    let path = format!("/v1/cache-events?from={from}");
    let events = read_json(&mut connection.http, &path, pool.limits()).await?;
    pool.put(address, connection);
    Ok(events)
}
