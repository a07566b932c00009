//! Nodes that lose their links to the backend servers.
//!
//! A node whose requests find several servers out of reach connects to some servers at
//! random, and is isolated if nearly none accepts ([`place::Reach`]). While it is isolated
//! its heartbeats report it, and it leaves the planner's role and the directory to others,
//! passes its callers' requests on to another node ([`crate::forward`]), and goes on
//! checking.

use crate::state::Shared;
use name::Instance;
use net::{Reaction, probe};
use place::{CHECK_INTERVAL, CHECKED_SERVERS};
use rand::seq::IteratorRandom;
use slog::{info, warn};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::sleep};

/// How long a server may take to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

impl Shared {
    /// Records that a server could not be reached from this node.
    pub(crate) fn record_unreachable(&self, server: &Instance) {
        let now = self.now();
        if self.tables().reach.record_failure(server, now) {
            self.check_requested.notify_one();
        }
    }

    /// Waits for the end of a check of the links, if one is in progress.
    pub(crate) async fn wait_for_check(&self) {
        let mut checks = self.checks.subscribe();
        if self.tables().reach.is_checking() {
            // The sender lives as long as the node.
            let _ = checks.changed().await;
        }
    }

    /// Returns whether this node reaches no backend servers.
    pub(crate) fn is_isolated(&self) -> bool {
        self.tables().reach.isolated_since().is_some()
    }
}

/// Checks this node's links for as long as the node runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        if shared.is_isolated() {
            sleep(CHECK_INTERVAL).await;
        } else {
            shared.check_requested.notified().await;
        }
        check(&shared).await;
    }
}

/// Connects to some servers, and records how many accept.
async fn check(shared: &Shared) {
    let mut probes = JoinSet::new();
    for address in checked_servers(shared) {
        probes.spawn(probe(address, PROBE_TIMEOUT));
    }
    let results = probes.join_all().await;
    let accepted = results.iter().filter(|r| **r == Reaction::Accepted).count();
    let now = shared.now();
    let mut tables = shared.tables();
    let since = tables.reach.isolated_since();
    let failing = tables.reach.failing_count();
    let is_changed = tables.reach.record_check(accepted, results.len(), now);
    drop(tables);
    shared.checks.send_modify(|count| *count += 1);
    if !is_changed {
        return;
    }
    if let Some(since) = since {
        shared.metrics.count("isolation", "ended");
        info!(shared.log, "backend servers reachable from this node again";
            "isolated_ms" => now.since(since).as_millis() as u64,
            "accepted" => accepted, "checked" => results.len());
    } else {
        shared.metrics.count("isolation", "begun");
        warn!(shared.log, "backend servers unreachable from this node"; "failing" => failing,
            "accepted" => accepted, "checked" => results.len());
    }
    shared.request_heartbeat();
}

/// Returns the addresses of some servers, chosen at random.
fn checked_servers(shared: &Shared) -> Vec<SocketAddr> {
    let tables = shared.tables();
    let servers = tables.fleet.servers();
    let alive = servers.filter(|server| !tables.fleet.is_dead(server));
    alive
        .map(|server| server.address)
        .choose_multiple(&mut rand::rng(), CHECKED_SERVERS)
}
