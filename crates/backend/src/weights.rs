//! The weight store.

use crate::{
    Bounds, Failure,
    connection::{Wire, read_json},
    proto::Weights,
};
use name::Model;
use std::net::SocketAddr;

/// Reads the description of the weights of `model` at `address`.
///
/// # Errors
///
/// Returns a failure if no answer arrives in time or the store is above its rate.
pub async fn read(address: SocketAddr, model: &Model, bounds: &Bounds) -> Result<Weights, Failure> {
    let mut wire = Wire::open(address, bounds).await?;
    read_json(&mut wire, &format!("/v1/weights/{model}"), bounds).await
}
