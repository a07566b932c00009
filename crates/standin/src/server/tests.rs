//! Restarts of a server.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::Rejected;
use crate::{Shape, World};
use name::Attempt;
use std::net::{IpAddr, Ipv4Addr};

/// The address of the client.
const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

#[tokio::test]
async fn the_next_life_takes_nothing_from_an_old_connection() {
    let world = World::start(&Shape::demo(), 1).await.unwrap();
    let server = &world.servers()[0];
    let old = server.host.lived(HERE);
    assert!(server.take(&old, Attempt::random(), 0).await.is_ok());
    server.restart(true);
    let taken = server.take(&old, Attempt::random(), 0).await;
    assert_eq!(taken.err(), Some(Rejected::Restarted));
    let new = server.host.lived(HERE);
    assert!(server.take(&new, Attempt::random(), 0).await.is_ok());
    assert_eq!(world.counters().begun.len(), 2);
}
