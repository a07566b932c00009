//! Follows the control stream, from the log or from peers, and publishes it.

use crate::{
    driver::{millis, writer::Decided},
    node::Node,
};
use admit::slot::Ownership;
use log::{Backoff, Read, Store, Tail, follow};
use name::{Node as NodeName, Offset};
use slog::{debug, info, warn};
use state::{Event, Outcome, Relay, State, replaced_epoch};
use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};
use wire::RecordsRequest;

/// The most records of one read.
const PAGE_RECORDS: usize = 256;

/// The shortest and longest pause after a failed read.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// The time between two looks whether a peer is ahead.
pub(crate) const RELAY_EACH: Duration = Duration::from_millis(500);

/// The largest answer of a relay, in bytes.
const RELAY_BYTES: u32 = 1 << 20;

/// The longest time for a peer to relay.
const RELAY_WITHIN: Duration = Duration::from_secs(2);

/// Follows the log until the node ends.
pub(crate) async fn run(node: Arc<Node>, store: Store) {
    let tail = Tail {
        max_records: PAGE_RECORDS,
        wait: millis(node.settings.timings.log_wait_ms),
        backoff: Backoff::new(
            PAUSES.0,
            PAUSES.1,
            node.identity.incarnation.0.as_u64_pair().0,
        ),
    };
    let from = node.follower().next_read();
    let sink = |result| take(&node, result);
    tokio::select! {
        () = follow(&store, tail, &node.clock, from, sink) => {}
        () = node.ended.cancelled() => {}
    }
}

/// Takes the result of one read; returns the offset to read next.
fn take(node: &Node, result: Result<Read, log::Error>) -> Offset {
    let mut follower = node.follower();
    match result {
        Ok(read) => {
            let last = Offset(read.page.tail.0.saturating_sub(1));
            let events = follower.offer_page(read.page);
            digest(node, &mut follower, events);
            node.freshness()
                .record_read(last, read.asked, read.answered);
        }
        Err(error) => {
            debug!(node.log, "the log could not be read"; "error" => %error);
            node.freshness().record_failure();
        }
    }
    follower.next_read()
}

/// Publishes the follower's state and passes on what its events say.
fn digest(node: &Node, follower: &mut MutexGuard<'_, state::Follower>, events: Vec<Event>) {
    if events.is_empty() {
        return;
    }
    let before = node.control().state;
    let state = Arc::clone(follower.state());
    node.publish(Arc::clone(&state));
    for event in &events {
        note(node, event);
    }
    let base = replaced_epoch(&events, before.epoch.revision);
    if state.epoch.revision != before.epoch.revision {
        adopt_epoch(node, &state, base);
    }
    if state.lists_revision != before.lists_revision {
        info!(node.log, "lists in force"; "revision" => state.lists_revision.0);
        let now = node.clock.now();
        node.accounts().set_lists(state.lists(), now);
    }
}

/// Logs an event and settles this node's own records.
fn note(node: &Node, event: &Event) {
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
                node.outbox.decide(record.sequence, decided);
            }
            if let Outcome::Rejected(rejection) = outcome {
                debug!(node.log, "record rejected"; "offset" => offset.0, "reason" => %rejection);
            }
        }
        Event::SnapshotInstalled {
            offset,
            own_sequence: own,
        } => {
            info!(node.log, "snapshot adopted"; "offset" => offset.0);
            if let Some(sequence) = own {
                node.outbox.pass(*sequence);
            }
        }
    }
}

/// Divides slots and limits by a new epoch.
fn adopt_epoch(node: &Node, state: &State, base: Option<Offset>) {
    let now = node.clock.now();
    let ownership = Ownership::from(&state.epoch);
    info!(node.log, "epoch in force"; "revision" => state.epoch.revision.0, "peers" => state.epoch.peers.len());
    node.members().set_epoch(&state.epoch, now);
    node.servers().apply_epoch(ownership.clone(), base, now);
    node.accounts().apply_epoch(&ownership, base, now);
}

/// Asks one peer for records that this node does not have yet.
///
/// A node that reads the log asks no peer, as it has what the log has.
pub(crate) async fn relay(node: Arc<Node>) {
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
        max_bytes: RELAY_BYTES,
    };
    let answer = tokio::time::timeout(RELAY_WITHIN, client.records(request)).await;
    let Ok(Ok(reply)) = answer else { return };
    let bytes = reply.into_inner().relay;
    if bytes.is_empty() {
        return;
    }
    match serde_json::from_slice::<Relay>(&bytes) {
        Ok(relay) => {
            let mut follower = node.follower();
            let events = follower.offer_relay(relay);
            digest(&node, &mut follower, events);
        }
        Err(error) => warn!(node.log, "unreadable relay"; "peer" => %peer, "error" => %error),
    }
}

/// Returns a random live peer.
fn random_peer(node: &Node) -> Option<(NodeName, std::net::SocketAddr)> {
    use rand::seq::IteratorRandom;
    let members = node.members();
    let others = members
        .members()
        .filter(|word| word.peer.node != node.identity.node && word.health != member::Health::Dead);
    let word = others.choose(&mut rand::rng())?;
    Some((word.peer.node.clone(), word.peer.peer_address))
}

/// Answers a peer that asks for records.
pub(crate) fn since(node: &Node, from: Offset, max_bytes: u32) -> Option<Relay> {
    let have = Offset(from.0.saturating_sub(1));
    let max_bytes = usize::try_from(max_bytes.min(RELAY_BYTES)).unwrap_or(usize::MAX);
    node.follower().relay_after(have, max_bytes)
}
