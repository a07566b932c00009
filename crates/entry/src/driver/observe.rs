//! Asks the peers what they know of backend servers, and answers them.

use crate::{
    driver::watch,
    known::Progress,
    node::Node,
    peer::{AgedReport, Observation, ObservationQuery, encode_free_slots},
};
use admit::limit::Demand;
use clock::Moment;
use futures_util::future::join_all;
use member::Health;
use name::{Instance, Node as NodeName};
use replica::View;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};
use wire::ObserveRequest;

/// The longest time for a peer to answer.
const WITHIN: Duration = Duration::from_millis(400);

/// Reports older than this are not passed on.
const PASSED_ON: Duration = Duration::from_millis(1_500);

/// Asks each peer once.
pub(crate) async fn ask_all(node: Arc<Node>) {
    let demands = demands(&node);
    let peers = live_peers(&node);
    join_all(
        peers
            .into_iter()
            .map(|(peer, address)| ask(&node, peer, address, &demands)),
    )
    .await;
}

/// Returns the peers that are not dead.
fn live_peers(node: &Node) -> Vec<(NodeName, SocketAddr)> {
    let members = node.members();
    let others = members
        .members()
        .filter(|word| word.peer.node != node.identity.node && word.health != Health::Dead);
    others
        .map(|word| (word.peer.node.clone(), word.peer.peer_address))
        .collect()
}

/// Returns the accounts' demands, each with its home, and grants this node's own.
fn demands(node: &Node) -> Vec<(NodeName, Demand)> {
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

/// Asks one peer and takes over what it says.
async fn ask(node: &Node, peer: NodeName, address: SocketAddr, demands: &[(NodeName, Demand)]) {
    let Ok(mut client) = node.peers.client(address) else {
        return;
    };
    let asked = node.clock.now();
    let for_peer = demands.iter().filter(|(home, _)| *home == peer);
    let question = ObservationQuery {
        node: node.identity.node.clone(),
        demands: for_peer.map(|(_, demand)| demand.clone()).collect(),
    };
    let request = ObserveRequest::from(question);
    let answer = tokio::time::timeout(WITHIN, client.observe(request)).await;
    let Ok(Ok(reply)) = answer else { return };
    let Ok(observed) = Observation::try_from(reply.into_inner()) else {
        return;
    };
    if observed.node == peer {
        take(node, observed, address, asked);
    }
}

/// Takes over what a peer said that was asked at `asked`.
fn take(node: &Node, observed: Observation, address: SocketAddr, asked: Moment) {
    let now = node.clock.now();
    let mut accounts = node.accounts();
    for grant in observed.grants {
        accounts.accept(grant);
    }
    drop(accounts);
    for sighted in observed.reports {
        let taken = sighted.as_of(asked);
        watch::enter(node, sighted, taken);
    }
    let own_votes = observed
        .votes
        .iter()
        .filter(|vote| vote.watcher == observed.node);
    let own_votes: Vec<_> = own_votes.cloned().collect();
    watch::count(node, &own_votes);
    node.peers
        .record_free_slots(observed.node.clone(), address, &observed.free, now);
    node.known.set_progress(
        observed.node,
        Progress {
            folded: observed.control_offset,
            in_progress: observed.in_progress,
            at: now,
        },
    );
}

/// Returns what this node knows at first hand.
pub(crate) fn answer(node: &Node, question: &ObservationQuery) -> Observation {
    let now = node.clock.now();
    let grants = {
        let mut accounts = node.accounts();
        let granted = question.demands.iter();
        granted
            .filter_map(|demand| accounts.grant(demand, now))
            .collect()
    };
    let (own, votes) = {
        let watched = node.watched();
        (watched.instances(), watched.votes().to_vec())
    };
    let mut sighted = passed_on(node, &node.engines(), &own, false, now);
    sighted.extend(passed_on(node, &node.services(), &own, true, now));
    let (free, in_progress) = {
        let servers = node.servers();
        (servers.free_slots(now), servers.in_progress())
    };
    Observation {
        control_offset: node.control().state.offset,
        in_progress,
        grants,
        node: node.identity.node.clone(),
        reports: sighted,
        votes,
        free: encode_free_slots(&free),
    }
}

/// Returns the young reports of the instances that this node watches.
fn passed_on(
    node: &Node,
    view: &View,
    own: &BTreeSet<Instance>,
    is_service: bool,
    now: Moment,
) -> Vec<AgedReport> {
    own.iter()
        .filter_map(|instance| {
            let sighting = view.get(instance)?.latest.as_ref()?;
            let age = now.since(sighting.as_of);
            let borne = node.known.borne(instance)?;
            (age <= PASSED_ON && borne.boot == sighting.report.boot).then(|| AgedReport {
                report: sighting.report.clone(),
                capacity: borne.bearing,
                age,
                is_service,
            })
        })
        .collect()
}
