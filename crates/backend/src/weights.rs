//! Requests to the weight store.

use crate::{
    Bounds, Failure,
    connection::{Wire, read_json},
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
pub async fn read(address: SocketAddr, model: &Model, bounds: &Bounds) -> Result<Weights, Failure> {
    let mut wire = Wire::open(address, bounds).await?;
    read_json(&mut wire, &format!("/v1/weights/{model}"), bounds).await
}
