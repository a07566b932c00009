//! The platform's list of instances.

use crate::{
    Bounds, Failure,
    connection::{Wire, read_json},
    proto::InstanceList,
};
use std::net::SocketAddr;

/// Reads the list of instances at `address`.
///
/// # Errors
///
/// Returns a failure if no valid response arrives in time.
pub async fn read(address: SocketAddr, bounds: &Bounds) -> Result<InstanceList, Failure> {
    let mut wire = Wire::open(address, bounds).await?;
    read_json(&mut wire, "/v1/instances", bounds).await
}
