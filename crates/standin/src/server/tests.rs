//! Restarts of a server.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::Rejection;
use crate::{Shape, World};
use name::Attempt;
use std::net::{IpAddr, Ipv4Addr};

/// The address of the client.
const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

#[tokio::test]
async fn old_connection_is_rejected_after_restart() {
    let world = World::start(&Shape::demo(), 1).await.unwrap();
    let server = &world.servers()[0];
    let old = server.host.client_connection(CLIENT);
    assert!(server.admit(&old, Attempt::random(), 0).await.is_ok());
    server.restart(true);
    let taken = server.admit(&old, Attempt::random(), 0).await;
    assert_eq!(taken.err(), Some(Rejection::Restarted));
    let new = server.host.client_connection(CLIENT);
    assert!(server.admit(&new, Attempt::random(), 0).await.is_ok());
    assert_eq!(world.counters().begun.len(), 2);
}
