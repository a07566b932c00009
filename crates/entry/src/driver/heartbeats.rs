//! Sends and answers heartbeats, and proposes epochs.
//!
//! Heartbeats carry the membership and each node's latest reading of the log's tail.

use crate::{
    driver::writer,
    node::Node,
    peer::{decode_heartbeat_reply, encode_heartbeat},
};
use clock::Moment;
use futures_util::future::join_all;
use member::{Beat, Call, LogReport, Proposer, Role, Status};
use slog::debug;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// The time limit for a peer's reply to a heartbeat.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The time limit for the decision on a proposed epoch.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between checks whether the members differ from the epoch.
pub(crate) const EPOCH_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Sends one heartbeat to each node that the member table selects.
pub(crate) async fn run(node: Arc<Node>) {
    let now = node.clock.now();
    set_role(&node, now);
    let report = log_report(&node, now);
    let outgoing = node.members().calls(&report, now);
    join_all(outgoing.into_iter().map(|call| send_heartbeat(&node, call))).await;
}

/// Sets the role that this node reports to its peers.
fn set_role(node: &Node, now: Moment) {
    let is_serving = node.drain().update(now) == member::Stage::Serving;
    let role = match (is_serving, node.status(now)) {
        (false, _) => Role::Leaving,
        (true, Status::Isolated | Status::Behind) => Role::Isolated,
        (true, Status::Fresh | Status::Outage) if !node.accounts().has_usable_limit(now) => {
            Role::Isolated
        }
        (true, Status::Fresh | Status::Outage) => Role::Open,
    };
    node.members().set_role(role, now);
}

/// Returns this node's report on its reads of the log.
fn log_report(node: &Node, now: Moment) -> LogReport {
    let applied = node.control().state.offset;
    let freshness = node.freshness();
    LogReport {
        folded: applied,
        reads_log: freshness.reads_log(),
        tail_reading: freshness.latest_reading(now),
    }
}

/// Sends one heartbeat and records the reply.
async fn send_heartbeat(node: &Node, call: Call) {
    let Ok(mut client) = node.peers.client(call.to) else {
        return;
    };
    let sent_at = node.clock.now();
    let result =
        tokio::time::timeout(REPLY_TIMEOUT, client.beat(encode_heartbeat(&call.beat))).await;
    let Ok(Ok(reply)) = result else { return };
    match decode_heartbeat_reply(&reply.into_inner()) {
        Ok(reply) => record_reply(node, &reply, sent_at),
        Err(error) => {
            debug!(node.log, "heartbeat reply could not be decoded"; "peer" => %call.to, "error" => %error);
        }
    }
}

/// Records the reply to a heartbeat that was sent at `sent_at`.
fn record_reply(node: &Node, reply: &Beat, sent_at: Moment) {
    let now = node.clock.now();
    let reading = node.members().handle_reply(reply, sent_at, now);
    node.freshness().record_peer_offset(reply.report.folded);
    if let Some(reading) = reading {
        node.freshness().add_reading(&reading, sent_at, now);
    }
}

/// Records a peer's heartbeat and returns the reply.
pub(crate) fn handle_heartbeat(node: &Node, beat: &Beat) -> Beat {
    let now = node.clock.now();
    node.freshness().record_peer_offset(beat.report.folded);
    let report = log_report(node, now);
    node.members().handle_call(beat, &report, now)
}

/// Proposes a new epoch if the members have changed.
pub(crate) async fn propose_epoch(node: Arc<Node>, proposer: Arc<Mutex<Proposer>>) {
    let now = node.clock.now();
    if node.status(now) != Status::Fresh || !node.follower().is_ready() {
        return;
    }
    let epoch = node.control().state.epoch.clone();
    let change = {
        let members = node.members();
        let mut proposer = proposer.lock().unwrap_or_else(PoisonError::into_inner);
        proposer.poll(&members, &epoch, now)
    };
    if let Some(change) = change {
        let decision = writer::commit(&node, change, DECISION_TIMEOUT).await;
        debug!(node.log, "epoch proposed"; "result" => ?decision);
    }
}
