//! Exchanges reports on backend servers, demands and load with the peers.

use crate::{
    driver::watch,
    node::Node,
    peer::{AgedReport, Observation, ObservationQuery, encode_free_slots},
    reports::Progress,
    serve::evidence,
};
use admit::limit::Demand;
use clock::Moment;
use futures_util::future::join_all;
use member::Health;
use name::{Instance, Node as NodeName};
use replica::View;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};
use wire::ObserveRequest;

/// The time limit for a peer's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum age of a report that is sent on to peers.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Sends each live peer one request and records the replies.
pub(crate) async fn poll_peers(node: Arc<Node>) {
    let demands = collect_demands(&node);
    let peers = live_peers(&node);
    join_all(
        peers
            .into_iter()
            .map(|(peer, address)| poll_peer(&node, peer, address, &demands)),
    )
    .await;
}

/// Returns the peers that are not dead.
fn live_peers(node: &Node) -> Vec<(NodeName, SocketAddr)> {
    let members = node.members();
    let others = members
        .members()
        .filter(|member| member.peer.node != node.identity.node && member.health != Health::Dead);
    others
        .map(|member| (member.peer.node.clone(), member.peer.peer_address))
        .collect()
}

/// Returns the accounts' demands, each with its home node.
///
/// Demands whose home is this node are granted at once.
fn collect_demands(node: &Node) -> Vec<(NodeName, Demand)> {
    let now = node.clock.now();
    let mut accounts = node.accounts();
    let demands = accounts.demands(now);
    for (home, demand) in &demands {
        if *home == node.identity.node
            && let Some(grant) = accounts.grant(demand, now)
        {
            accounts.accept(grant);
        }
    }
    demands
}

/// Sends one peer a request and records its reply.
async fn poll_peer(
    node: &Node,
    peer: NodeName,
    address: SocketAddr,
    demands: &[(NodeName, Demand)],
) {
    let Ok(mut client) = node.peers.client(address) else {
        return;
    };
    let requested_at = node.clock.now();
    let for_peer = demands.iter().filter(|(home, _)| *home == peer);
    let query = ObservationQuery {
        node: node.identity.node.clone(),
        demands: for_peer.map(|(_, demand)| demand.clone()).collect(),
    };
    let request = ObserveRequest::from(query);
    let result = tokio::time::timeout(REPLY_TIMEOUT, client.observe(request)).await;
    let Ok(Ok(reply)) = result else { return };
    let Ok(observed) = Observation::try_from(reply.into_inner()) else {
        return;
    };
    if observed.node == peer {
        record_observed(node, observed, address, requested_at);
    }
}

/// Records a peer's reply to a request that was sent at `requested_at`.
fn record_observed(node: &Node, observed: Observation, address: SocketAddr, requested_at: Moment) {
    let now = node.clock.now();
    let mut accounts = node.accounts();
    for grant in observed.grants {
        accounts.accept(grant);
    }
    drop(accounts);
    evidence::apply(node, &observed.evidence, &observed.node, now);
    for report in observed.reports {
        let as_of = report.as_of(requested_at);
        watch::record_report(node, report, as_of);
    }
    let own_votes = observed
        .votes
        .iter()
        .filter(|vote| vote.watcher == observed.node);
    let own_votes: Vec<_> = own_votes.cloned().collect();
    watch::record_votes(node, &own_votes);
    node.peers
        .record_free_slots(observed.node.clone(), address, &observed.free, now);
    node.reports.record_progress(
        observed.node,
        Progress {
            folded: observed.control_offset,
            in_progress: observed.in_progress,
            at: now,
        },
    );
}

/// Answers a peer with reports and votes that this node obtained itself.
pub(crate) fn handle_query(node: &Node, query: &ObservationQuery) -> Observation {
    let now = node.clock.now();
    let grants = {
        let mut accounts = node.accounts();
        let granted = query.demands.iter();
        granted
            .filter_map(|demand| accounts.grant(demand, now))
            .collect()
    };
    let (own, votes) = {
        let monitor = node.monitor();
        (monitor.instances(), monitor.votes().to_vec())
    };
    let mut reports = recent_reports(node, &node.engines(), &own, false, now);
    reports.extend(recent_reports(node, &node.services(), &own, true, now));
    let (free, in_progress) = {
        let servers = node.servers();
        (servers.free_slots(now), servers.in_progress())
    };
    Observation {
        control_offset: node.control().state.offset,
        in_progress,
        grants,
        evidence: evidence::records(node, now),
        node: node.identity.node.clone(),
        reports,
        votes,
        free: encode_free_slots(&free),
    }
}

/// Returns the recent reports of the instances that this node watches.
fn recent_reports(
    node: &Node,
    view: &View,
    own: &BTreeSet<Instance>,
    is_service: bool,
    now: Moment,
) -> Vec<AgedReport> {
    own.iter()
        .filter_map(|instance| {
            let latest = view.get(instance)?.latest.as_ref()?;
            let age = now.since(latest.as_of);
            let capacity = node.reports.capacity(instance)?;
            (age <= MAX_REPORT_AGE && capacity.boot == latest.report.boot).then(|| AgedReport {
                report: latest.report.clone(),
                capacity: capacity.capacity,
                age,
                is_service,
            })
        })
        .collect()
}
