//! Heartbeats: membership, vouchers and epochs.

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

/// The longest time for a peer to answer.
const WITHIN: Duration = Duration::from_secs(1);

/// How long a proposed epoch may wait for its decision.
const PATIENCE: Duration = Duration::from_secs(5);

/// The time between two looks at the epoch.
pub(crate) const EPOCH_EACH: Duration = Duration::from_millis(250);

/// Sends each partner one heartbeat.
pub(crate) async fn run(node: Arc<Node>) {
    let now = node.clock.now();
    set_role(&node, now);
    let report = report(&node, now);
    let calls = node.members().calls(&report, now);
    join_all(calls.into_iter().map(|call| beat(&node, call))).await;
}

/// Says what this node wants to be used for.
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

/// Returns what this node says about its view of the log.
fn report(node: &Node, now: Moment) -> LogReport {
    let folded = node.control().state.offset;
    let freshness = node.freshness();
    LogReport {
        folded,
        reads_log: freshness.reads_log(),
        tail_reading: freshness.latest_reading(now),
    }
}

/// Sends one heartbeat and takes the reply.
async fn beat(node: &Node, call: Call) {
    let Ok(mut client) = node.peers.client(call.to) else {
        return;
    };
    let sent = node.clock.now();
    let answer = tokio::time::timeout(WITHIN, client.beat(encode_heartbeat(&call.beat))).await;
    let Ok(Ok(reply)) = answer else { return };
    match decode_heartbeat_reply(&reply.into_inner()) {
        Ok(reply) => take(node, &reply, sent),
        Err(error) => {
            debug!(node.log, "unreadable heartbeat"; "peer" => %call.to, "error" => %error);
        }
    }
}

/// Takes the reply to a heartbeat that was sent at `sent`.
fn take(node: &Node, reply: &Beat, sent: Moment) {
    let now = node.clock.now();
    let voucher = node.members().handle_reply(reply, sent, now);
    node.freshness().record_peer_offset(reply.report.folded);
    if let Some(voucher) = voucher {
        node.freshness().add_reading(&voucher, sent, now);
    }
}

/// Answers a heartbeat.
pub(crate) fn answer(node: &Node, beat: &Beat) -> Beat {
    let now = node.clock.now();
    node.freshness().record_peer_offset(beat.report.folded);
    let report = report(node, now);
    node.members().handle_call(beat, &report, now)
}

/// Proposes a new epoch when the members have changed.
pub(crate) async fn epoch(node: Arc<Node>, proposer: Arc<Mutex<Proposer>>) {
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
        let decided = writer::commit(&node, change, PATIENCE).await;
        debug!(node.log, "epoch proposed"; "result" => ?decided);
    }
}
