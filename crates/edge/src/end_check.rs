//! Checks whether a backend server that lost a connection has ended.
//!
//! To one attempt, a server that ended looks like one that resets single connections, like a
//! cut link and like a connection that was closed while it was idle. A server counts as
//! ended if it refuses a new connection while other servers accept one, so that a node
//! that is cut off itself accuses no request. A server that accepts one may have started
//! again at once; it counts as ended if its entry shows a later incarnation soon after.
//!
//! A node that is cut off from some servers only cannot tell by this. So a few other nodes
//! check each end that is reported to them, and refute it if a connection stays open.

use crate::{
    evidence::Loss,
    state::{Shared, Tables},
};
use clock::Moment;
use name::Instance;
use net::{Reaction, probe, stays_open};
use place::Target;
use quarantine::{CrashRecord, Record, Server};
use rand::{Rng, seq::IteratorRandom};
use slog::info;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::{sync::OnceCell, task::JoinSet};

/// How long a server may take to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// The number of other servers that are probed, to tell a server that ended from a node
/// that is cut off.
const COMPARED_SERVERS: usize = 3;

/// The time for which one check serves all requests that lost a connection to a server.
const CHECK_REUSE_TIME: Duration = Duration::from_millis(20);

/// The maximum number of servers whose checks begin within [`CHECK_REUSE_TIME`].
///
/// So many servers lose connections for a common reason, as the loss of a failure domain.
const MAX_CHECKS: usize = 16;

/// How long after a lost connection a later incarnation of the server confirms its end.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// The maximum number of lost connections that a later incarnation may confirm as ends.
const MAX_UNCONFIRMED: usize = 256;

/// The mean number of other nodes that check a reported end.
const REFUTING_NODES: usize = 4;

/// The age up to which other nodes check a reported end.
///
/// Later the server may have started again.
const MAX_REFUTABLE_AGE: Duration = Duration::from_millis(100);

/// How long a connection must stay open to refute the end of its server.
const REFUTING_TIME: Duration = Duration::from_millis(50);

/// The result of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Check {
    /// The server refuses connections, and other servers accept them.
    Ended,
    /// The server accepts connections.
    Alive,
    /// The server does not answer.
    Unreachable,
    /// Other servers accept no connections from this node either.
    Isolated,
}

impl Check {
    /// Returns the name used in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unreachable => "unreachable",
            Self::Isolated => "node isolated",
        }
    }
}

/// The checks of servers that lost connections.
#[derive(Debug, Default)]
pub(crate) struct EndChecks {
    /// The last check of each server, and when it began.
    checks: HashMap<Server, (Moment, Arc<OnceCell<Check>>)>,
    /// Lost connections to servers that accept connections.
    unconfirmed: Vec<Loss>,
    /// The reported ends that were checked here, and when.
    reported: HashMap<Server, Moment>,
}

impl EndChecks {
    /// Returns the check that covers a loss at `now`, and whether it is new; `None` if too
    /// many have begun.
    fn check(&mut self, server: Server, now: Moment) -> Option<(Arc<OnceCell<Check>>, bool)> {
        self.checks
            .retain(|_, (at, _)| now.since(*at) < CHECK_REUSE_TIME);
        if let Some((_, cell)) = self.checks.get(&server) {
            return Some((Arc::clone(cell), false));
        }
        if self.checks.len() >= MAX_CHECKS {
            return None;
        }
        let cell = Arc::default();
        self.checks.insert(server, (now, Arc::clone(&cell)));
        Some((cell, true))
    }

    /// Keeps a loss until a later incarnation may confirm it.
    fn keep(&mut self, loss: Loss) {
        if self.unconfirmed.len() < MAX_UNCONFIRMED {
            self.unconfirmed.push(loss);
        }
    }

    /// Returns whether a reported end was not checked yet.
    fn begin_refuting(&mut self, server: Server, now: Moment) -> bool {
        self.reported
            .retain(|_, at| now.since(*at) < MAX_REFUTABLE_AGE);
        self.reported.insert(server, now).is_none()
    }

    /// Takes the losses that later incarnations confirm, and forgets old ones.
    pub(crate) fn take_confirmed(
        &mut self,
        incarnation: impl Fn(&Instance) -> Option<u64>,
        now: Moment,
    ) -> Vec<Loss> {
        if self.unconfirmed.is_empty() {
            return Vec::new();
        }
        self.unconfirmed
            .retain(|loss| now.since(loss.at) < RESTART_TIME);
        let is_restarted = |loss: &mut Loss| incarnation(&loss.server) > Some(loss.incarnation);
        self.unconfirmed.extract_if(.., is_restarted).collect()
    }
}

impl Shared {
    /// Returns whether the server that lost a connection has ended.
    ///
    /// A server that is leaving closes its connections in the end.
    pub(crate) async fn has_ended(&self, loss: &Loss, target: &Target) -> bool {
        let check = {
            let mut tables = self.tables();
            if !tables.fleet.is_expected(target) {
                return false;
            }
            tables.end_checks.check(loss.digest(), loss.at)
        };
        let Some((check, is_new)) = check else {
            self.metrics.count("lost_connections", "not checked");
            return false;
        };
        let result = *check.get_or_init(|| self.check_end(target)).await;
        if is_new {
            self.metrics.count("lost_connections", result.as_str());
            info!(self.log, "backend server lost a connection"; "server" => %loss.server,
                "incarnation" => loss.incarnation, "state" => result.as_str(),
                "run_ms" => loss.run.as_millis() as u64);
        }
        if matches!(result, Check::Isolated | Check::Unreachable) {
            self.record_unreachable(&loss.server);
        }
        if result == Check::Alive {
            self.tables().end_checks.keep(loss.clone());
        }
        result == Check::Ended
    }

    /// Refutes the end of a server if a connection to it stays open.
    async fn refute_if_alive(&self, target: &Target, server: Server, source: &str) {
        if !stays_open(target.address, PROBE_TIMEOUT, REFUTING_TIME).await {
            return;
        }
        self.metrics.count("lost_connections", "refuted");
        info!(self.log, "reported end of backend server refuted"; "server" => %target.server,
            "incarnation" => target.incarnation, "source" => source);
        self.refute(server);
    }

    /// Checks whether a server has ended.
    async fn check_end(&self, target: &Target) -> Check {
        match probe(target.address, PROBE_TIMEOUT).await {
            Reaction::Accepted => return Check::Alive,
            Reaction::Unreachable => return Check::Unreachable,
            Reaction::Refused => {}
        }
        let others = other_servers(&self.tables(), target);
        let mut probes = JoinSet::new();
        for address in &others {
            probes.spawn(probe(*address, PROBE_TIMEOUT));
        }
        let reached = probes.join_all().await;
        let accepted = reached.iter().filter(|r| **r == Reaction::Accepted).count();
        if accepted * 2 >= others.len() {
            Check::Ended
        } else {
            Check::Isolated
        }
    }
}

/// Checks some of the ends that another node reported, and refutes those of servers whose
/// connections stay open.
pub(crate) fn check_reported(shared: &Arc<Shared>, records: &[Record], source: &str) {
    let now = shared.now();
    let crashes = records.iter().flat_map(|record| &record.crashes);
    let is_fresh = |crash: &&CrashRecord| {
        !crash.is_cleared && Duration::from_millis(crash.age_ms) < MAX_REFUTABLE_AGE
    };
    let fresh: HashSet<Server> = crashes.filter(is_fresh).map(|crash| crash.server).collect();
    if fresh.is_empty() {
        return;
    }
    let mut tables = shared.tables();
    let share = REFUTING_NODES as f64 / tables.peers.node_count() as f64;
    let targets = Arc::clone(&tables.targets);
    for target in targets.iter() {
        let server = Server::new(&target.server, target.incarnation);
        let is_checked = fresh.contains(&server)
            && tables.end_checks.begin_refuting(server, now)
            && rand::rng().random_bool(share.min(1.0));
        if is_checked {
            let (shared, target) = (Arc::clone(shared), target.clone());
            let source = source.to_owned();
            tokio::spawn(async move { shared.refute_if_alive(&target, server, &source).await });
        }
    }
}

/// Returns the addresses of some other servers, chosen at random.
fn other_servers(tables: &Tables, target: &Target) -> Vec<SocketAddr> {
    let servers = tables.fleet.servers();
    let others = servers.filter(|server| {
        server.id != target.server
            && server.address != target.address
            && !tables.fleet.is_dead(server)
    });
    others
        .map(|server| server.address)
        .choose_multiple(&mut rand::rng(), COMPARED_SERVERS)
}

#[cfg(test)]
mod tests;
