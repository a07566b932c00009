//! Follows the control stream, from the log or from peers, and publishes the state.

use crate::{
    driver::{millis, writer::Decided},
    node::Node,
};
use admit::slot::Ownership;
use log::{Backoff, Store, TailOptions, TimedPage, follow};
use name::{Node as NodeName, Offset};
use slog::{debug, info, warn};
use state::{Event, Outcome, Relay, State, replaced_epoch};
use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};
use wire::RecordsRequest;

/// The maximum number of records in one read.
const MAX_READ_RECORDS: usize = 256;

/// The minimum and maximum delay before a failed read is retried.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// The interval between requests for relayed records from a peer.
pub(crate) const RELAY_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum size of a relay, in bytes.
const MAX_RELAY_BYTES: u32 = 1 << 20;

/// The time limit for a peer's relay.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Follows the log until the node shuts down.
pub(crate) async fn run(node: Arc<Node>, store: Store) {
    let tail = TailOptions {
        max_records: MAX_READ_RECORDS,
        wait: millis(node.settings.timings.log_wait_ms),
        backoff: Backoff::new(
            RETRY_DELAYS.0,
            RETRY_DELAYS.1,
            node.identity.incarnation.0.as_u64_pair().0,
        ),
    };
    let from = node.follower().next_read();
    let sink = |result| handle_read(&node, result);
    tokio::select! {
        () = follow(&store, tail, &node.clock, from, sink) => {}
        () = node.shutdown.cancelled() => {}
    }
}

/// Applies the result of one read and returns the next offset to read.
fn handle_read(node: &Node, result: Result<TimedPage, log::Error>) -> Offset {
    let mut follower = node.follower();
    match result {
        Ok(read) => {
            let last = Offset(read.page.tail.0.saturating_sub(1));
            let events = follower.offer_page(read.page);
            apply_events(node, &mut follower, events);
            node.freshness()
                .record_read(last, read.requested_at, read.received_at);
        }
        Err(error) => {
            debug!(node.log, "reading the control stream failed"; "error" => %error);
            node.freshness().record_failure();
        }
    }
    follower.next_read()
}

/// Publishes the follower's state and applies its events to the tables.
fn apply_events(node: &Node, follower: &mut MutexGuard<'_, state::Follower>, events: Vec<Event>) {
    if events.is_empty() {
        return;
    }
    let before = node.control().state;
    let state = Arc::clone(follower.state());
    node.publish(Arc::clone(&state));
    for event in &events {
        handle_event(node, event);
    }
    let replaced = replaced_epoch(&events, before.epoch.revision);
    if state.epoch.revision != before.epoch.revision {
        apply_epoch(node, &state, replaced);
    }
    if state.lists_revision != before.lists_revision {
        info!(node.log, "operators' lists in force"; "revision" => state.lists_revision.0);
        let now = node.clock.now();
        node.accounts().set_lists(state.lists(), now);
    }
}

/// Logs an event and resolves this node's own pending records.
fn handle_event(node: &Node, event: &Event) {
    match event {
        Event::Folded {
            offset,
            record,
            is_own,
            outcome,
        } => {
            if let (true, Some(record)) = (*is_own, record) {
                let decided = Decided {
                    offset: *offset,
                    outcome: outcome.clone(),
                };
                node.outbox.complete(record.sequence, decided);
            }
            if let Outcome::Rejected(rejection) = outcome {
                debug!(node.log, "record rejected"; "offset" => offset.0, "reason" => %rejection);
            }
        }
        Event::SnapshotInstalled {
            offset,
            own_sequence,
        } => {
            info!(node.log, "snapshot installed"; "offset" => offset.0);
            if let Some(sequence) = own_sequence {
                node.outbox.complete_through(*sequence);
            }
        }
    }
}

/// Divides slots and limits among the nodes of a new epoch.
fn apply_epoch(node: &Node, state: &State, replaced: Option<Offset>) {
    let now = node.clock.now();
    let ownership = Ownership::from(&state.epoch);
    info!(node.log, "epoch in force"; "revision" => state.epoch.revision.0, "peers" => state.epoch.peers.len());
    node.members().set_epoch(&state.epoch, now);
    node.servers().apply_epoch(ownership.clone(), replaced, now);
    node.accounts().apply_epoch(&ownership, replaced, now);
}

/// Requests records that this node does not have yet from one random peer.
///
/// A node that reads the log sends no request, since it reads the same records.
pub(crate) async fn fetch_relay(node: Arc<Node>) {
    if node.freshness().reads_log() && node.follower().is_ready() {
        return;
    }
    let Some((peer, address)) = random_peer(&node) else {
        return;
    };
    let from = node.follower().next_offset();
    let Ok(mut client) = node.peers.client(address) else {
        return;
    };
    let request = RecordsRequest {
        from: from.0,
        max_bytes: MAX_RELAY_BYTES,
    };
    let result = tokio::time::timeout(RELAY_TIMEOUT, client.records(request)).await;
    let Ok(Ok(reply)) = result else { return };
    let bytes = reply.into_inner().relay;
    if bytes.is_empty() {
        return;
    }
    match serde_json::from_slice::<Relay>(&bytes) {
        Ok(relay) => {
            let mut follower = node.follower();
            let events = follower.offer_relay(relay);
            apply_events(&node, &mut follower, events);
        }
        Err(error) => {
            warn!(node.log, "relayed records could not be decoded"; "peer" => %peer, "error" => %error);
        }
    }
}

/// Returns a random peer that is not dead.
fn random_peer(node: &Node) -> Option<(NodeName, std::net::SocketAddr)> {
    use rand::seq::IteratorRandom;
    let members = node.members();
    let others = members.members().filter(|member| {
        member.peer.node != node.identity.node && member.health != member::Health::Dead
    });
    let member = others.choose(&mut rand::rng())?;
    Some((member.peer.node.clone(), member.peer.peer_address))
}

/// Returns the records from offset `from` for a peer, if there are any.
pub(crate) fn relay_from(node: &Node, from: Offset, max_bytes: u32) -> Option<Relay> {
    let last_held = Offset(from.0.saturating_sub(1));
    let max_bytes = usize::try_from(max_bytes.min(MAX_RELAY_BYTES)).unwrap_or(usize::MAX);
    node.follower().relay_after(last_held, max_bytes)
}
