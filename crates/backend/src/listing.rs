//! The platform's list of instances.

use crate::{
    Failure, Limits,
    connection::{HttpConnection, read_json},
    proto::InstanceList,
};
use std::net::SocketAddr;

/// Reads the list of instances at `address`.
///
/// # Errors
///
/// Returns a failure if no valid response arrives in time.
pub async fn read(address: SocketAddr, limits: &Limits) -> Result<InstanceList, Failure> {
    let mut connection = HttpConnection::open(address, limits).await?;
    read_json(&mut connection, "/v1/instances", limits).await
}
