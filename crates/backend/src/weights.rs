//! Requests to the weight store.

use crate::{
    Failure, Limits,
    connection::{HttpConnection, read_json},
    proto::Weights,
};
use name::Model;
use std::net::SocketAddr;

/// Reads the description of a model's weights from the store at `address`.
///
/// # Errors
///
/// Returns a failure if no valid response arrives in time, or if the store is above
/// its request rate.
pub async fn read(address: SocketAddr, model: &Model, limits: &Limits) -> Result<Weights, Failure> {
    let mut connection = HttpConnection::open(address, limits).await?;
    read_json(&mut connection, &format!("/v1/weights/{model}"), limits).await
}
