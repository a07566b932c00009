//! Lives of a server, seen from inside.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use super::Rejected;
use crate::{Shape, World};
use name::Attempt;

#[tokio::test]
async fn the_next_life_takes_nothing_from_an_old_connection() {
    let world = World::start(&Shape::demo(), 1).await.unwrap();
    let server = &world.servers()[0];
    let old = server.host.lived();
    assert!(server.take(&old, Attempt::random()).await.is_ok());
    server.restart(true);
    let taken = server.take(&old, Attempt::random()).await;
    assert_eq!(taken.err(), Some(Rejected::Restarted));
    let new = server.host.lived();
    assert!(server.take(&new, Attempt::random()).await.is_ok());
    assert_eq!(world.counters().begun.len(), 2);
}
