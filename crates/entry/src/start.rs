//! Starting and stopping one entry node.

use crate::{
    admin,
    driver::{
        self, beats, cache, claims, control, each, listing, millis, observe,
        replicas::{self, Former},
        survey,
        watch::{self, Watched},
        writer,
    },
    http::{self, listen},
    identity::Identity,
    metrics::Metrics,
    node::{Node, Parts, Tables},
    peer::{self, Peers, Proof},
    serve::{
        accounts::Accounts,
        claims::Claims,
        room::Room,
        servers::{Place, Servers},
    },
};
use admit::{slot::Timing, stats::Stats};
use backend::{Limits, Pool};
use clock::Clock;
use log::{Client, Store, Timeouts};
use member::{Freshness, Proposer, Stage, Table};
use name::Incarnation;
use once::Tickets;
use replica::{FailureDetector, OrderTracker, Pacer, Policy, View};
use slog::{Logger, info, o, warn};
use state::Follower;
use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{net::TcpListener, task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

/// Series of histograms that a node keeps at most.
const MAX_SERIES: usize = 1_024;

/// The time for permits to be written, beyond which they are void.
const SEND_WITHIN: Duration = Duration::from_millis(250);

/// The most by which the load in reports lags.
const LOAD_LAG: Duration = Duration::from_secs(2);

/// Tokens for each unit of weight that an account below its share may take ahead.
const IDLE_CREDIT: u64 = 800;

/// How long evidence of warmth is believed.
const WARM_FOR: Duration = Duration::from_millis(1_500);

/// The time between two looks whether a planned stop is complete.
const STOP_STEP: Duration = Duration::from_millis(20);

/// The time between two snapshots that might be due.
const SNAPSHOT_EACH: Duration = Duration::from_secs(5);

/// How long a snapshot waits for its decision.
const SNAPSHOT_PATIENCE: Duration = Duration::from_secs(10);

/// Why a node did not start.
#[derive(Debug)]
pub struct Failure {
    what: String,
    source: Option<io::Error>,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.source {
            Some(source) => write!(f, "{}: {source}", self.what),
            None => f.write_str(&self.what),
        }
    }
}

impl std::error::Error for Failure {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.source.as_ref().map(|source| source as _)
    }
}

/// Returns the failure of `what`.
fn failed(what: impl Into<String>) -> impl FnOnce(io::Error) -> Failure {
    let what = what.into();
    move |source| Failure {
        what,
        source: Some(source),
    }
}

/// A running entry node.
#[derive(Debug)]
pub struct Entry {
    node: Arc<Node>,
    tasks: JoinSet<()>,
}

/// The bound listeners of a node.
struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    /// Binds all three.
    fn bind(settings: &settings::Listen) -> Result<Self, Failure> {
        let bind = |what: &str, address: SocketAddr| {
            listen::bind(address).map_err(failed(format!("cannot listen for {what} on {address}")))
        };
        Ok(Self {
            caller: bind("callers", settings.caller)?,
            peer: bind("peers", settings.peer)?,
            admin: bind("operators", settings.admin)?,
        })
    }
}

impl Entry {
    /// Starts a node.
    ///
    /// Must be called inside a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, the secret cannot be
    /// read, or a policy is unknown; nothing keeps running then.
    pub fn start(settings: settings::Entry, clock: Clock, log: &Logger) -> Result<Self, Failure> {
        let listeners = Listeners::bind(&settings.listen)?;
        let identity = identity(&settings, &listeners)?;
        let log = log.new(o!("node" => identity.node.to_string()));
        let former = Arc::new(former(&settings, &identity)?);
        let (parts, tables) = assemble(settings, identity, clock, log)?;
        let node = Arc::new(Node::new(parts, tables));
        let mut tasks = JoinSet::new();
        spawn_log(&node, &mut tasks);
        spawn_drivers(&node, &former, &mut tasks);
        spawn_servers(&node, listeners, &mut tasks);
        info!(node.log, "entry node started";
            "callers" => %node.identity.caller_address,
            "peers" => %node.identity.peer_address,
            "operators" => %node.identity.admin_address);
        Ok(Self { node, tasks })
    }

    /// Returns the address on which callers reach the node.
    pub fn caller_address(&self) -> SocketAddr {
        self.node.identity.caller_address
    }

    /// Returns the address on which peers reach the node.
    pub fn peer_address(&self) -> SocketAddr {
        self.node.identity.peer_address
    }

    /// Returns the address on which operators reach the node.
    pub fn admin_address(&self) -> SocketAddr {
        self.node.identity.admin_address
    }

    /// Returns whether the node may take work now.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready(self.node.clock.now())
    }

    /// Stops the node as planned: it leaves the list of entries, waits until no
    /// caller keeps an answer that names it, finishes what is in progress, and ends.
    ///
    /// Requests still in progress after the longest stop time are cut off, which
    /// is logged as a warning.
    pub async fn stop(self) {
        let node = &self.node;
        let timings = &node.settings.timings;
        let ttl = millis(timings.entries_ttl_ms) + millis(timings.heartbeat_ms);
        let now = node.clock.now();
        node.drain().start(ttl, now);
        info!(node.log, "leaving the list of entries"; "for_ms" => u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX));
        let limit = now + ttl + millis(timings.stop_ms);
        loop {
            let now = node.clock.now();
            match node.drain().update(now) {
                Stage::Stopped => break,
                Stage::Draining => {
                    node.stopped.cancel();
                }
                Stage::Serving | Stage::Leaving { .. } => {}
            }
            if now >= limit {
                let cut = node.drain().in_progress();
                warn!(node.log, "stopping with requests in progress"; "requests" => cut);
                break;
            }
            sleep(STOP_STEP).await;
        }
        self.end().await;
    }

    /// Tells the peers, and ends every task.
    async fn end(mut self) {
        let node = Arc::clone(&self.node);
        let now = node.clock.now();
        node.members().announce_stop(now);
        beats::run(Arc::clone(&node)).await;
        info!(node.log, "entry node stopped");
        node.stopped.cancel();
        node.ended.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Returns who the node is, with the ports that the system chose.
fn identity(settings: &settings::Entry, listeners: &Listeners) -> Result<Identity, Failure> {
    let address = |listener: &TcpListener, advertised: Option<SocketAddr>| {
        let bound = listener.local_addr().map_err(failed("no local address"))?;
        Ok(advertised.unwrap_or(bound))
    };
    Ok(Identity {
        node: settings.node.clone(),
        incarnation: Incarnation::random(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        caller_address: address(&listeners.caller, settings.advertise.caller)?,
        peer_address: address(&listeners.peer, settings.advertise.peer)?,
        admin_address: address(&listeners.admin, settings.advertise.admin)?,
    })
}

/// Returns the bounds of time for decisions on replicas.
fn replica_settings(timings: &settings::Timings) -> replica::Settings {
    replica::Settings {
        report_max_age: millis(timings.report_freshness_ms),
        suspect_after: millis(timings.report_freshness_ms),
        order_lifetime: millis(timings.order_lifetime_ms),
        ..replica::Settings::default()
    }
}

/// Returns what proposes and orders replicas.
fn former(settings: &settings::Entry, identity: &Identity) -> Result<Former, Failure> {
    let name = &settings.policies.replica;
    let policy = match name.as_str() {
        "default" => Policy::default(),
        _ => Policy::by_name(name).ok_or_else(|| Failure {
            what: format!(
                "policies.replica: {name:?} is not among default, {}",
                Policy::NAMES.join(", ")
            ),
            source: None,
        })?,
    };
    let bounds = replica_settings(&settings.timings);
    let ledger = OrderTracker::new(identity.node.clone(), bounds.clone());
    Ok(Former::new(policy, Pacer::new(bounds), ledger))
}

/// Returns the policy by which replicas are chosen for requests.
fn route_policy(settings: &settings::Entry) -> Result<route::Policy, Failure> {
    match settings.policies.route.as_str() {
        "default" => Ok(route::Policy::default()),
        name => name.parse().map_err(|unknown| Failure {
            what: format!("policies.route: {name:?}: {unknown}"),
            source: None,
        }),
    }
}

/// Returns the parts and tables of a node.
fn assemble(
    settings: settings::Entry,
    identity: Identity,
    clock: Clock,
    log: Logger,
) -> Result<(Parts, Tables), Failure> {
    let secret = settings
        .peers
        .secret()
        .map_err(failed("cannot read the peers' secret"))?;
    // Without it anyone could pose as a peer or resume any account's stream.
    let secret = secret.ok_or_else(|| Failure {
        what: "peers: no secret; set secret_file or secret_hex".into(),
        source: None,
    })?;
    let metrics = Metrics::new(&settings.metrics).map_err(failed("cannot send metrics"))?;
    let tables = tables(&settings, &identity, &clock)?;
    let timings = &settings.timings;
    let limits = Limits {
        connect_timeout: millis(timings.connect_timeout_ms),
        response_timeout: millis(timings.outside_timeout_ms),
        ..Limits::default()
    };
    let parts = Parts {
        secret: secret.clone(),
        peers: Peers::new(Proof::new(&secret, clock.clone())),
        outbox: writer::outbox(identity.incarnation.0.as_u64_pair().0),
        pool: Pool::new(limits),
        metrics,
        identity,
        settings,
        clock,
        log,
    };
    Ok((parts, tables))
}

/// Returns the empty tables of a node.
fn tables(
    settings: &settings::Entry,
    identity: &Identity,
    clock: &Clock,
) -> Result<Tables, Failure> {
    let now = clock.now();
    let timings = &settings.timings;
    let bounds = replica_settings(timings);
    let watch = || FailureDetector::new(identity.node.clone(), bounds.clone(), now);
    let owner = (identity.node.clone(), identity.incarnation);
    let limits = &settings.limits;
    let place = Place {
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        domain: identity.domain.clone(),
        region: identity.region.clone(),
    };
    let timing = Timing {
        lease: WARM_FOR,
        send: SEND_WITHIN,
        settle: millis(timings.voucher_bound_ms) + SEND_WITHIN + LOAD_LAG,
        rest: millis(timings.voucher_bound_ms) + SEND_WITHIN + millis(limits.request_timeout_ms),
    };
    let beat = millis(timings.heartbeat_ms);
    let member_settings = member::Settings {
        interval: beat,
        suspect_after: millis(timings.peer_suspicion_ms),
        ..member::Settings::default()
    };
    let window = once::Window {
        remembered: Duration::from_secs(settings.idempotency.window_s),
        skew: millis(settings.idempotency.future_ms),
    };
    let max_keys = usize::try_from(settings.idempotency.max_keys).unwrap_or(usize::MAX);
    let keys = once::Bounds {
        keys: max_keys,
        ..once::Bounds::default()
    };
    Ok(Tables {
        follower: Follower::new(identity.writer(), state::Limits::default()),
        members: Table::new(
            identity.peer(),
            clock.wall().0,
            settings
                .peers
                .seeds
                .iter()
                .copied()
                .filter(|s| *s != identity.peer_address)
                .collect(),
            member_settings,
            now,
        ),
        freshness: Freshness::new(millis(timings.voucher_bound_ms)),
        engines: View::new(bounds.clone()),
        services: View::new(bounds.clone()),
        watched: Watched::new(watch(), watch()),
        room: Room::new(admit::Bounds {
            total: usize::try_from(limits.queue_requests).unwrap_or(usize::MAX),
            credit: IDLE_CREDIT,
            account: usize::try_from(limits.queue_requests_per_account).unwrap_or(usize::MAX),
        }),
        servers: Servers::new(place, timing, route_policy(settings)?),
        accounts: Accounts::new(owner),
        claims: Claims::new(once::Table::new(window, keys)),
        tickets: Tickets::new(
            identity.node.clone(),
            identity.incarnation,
            once::Quota::default(),
        ),
        stats: Stats::new(MAX_SERIES),
    })
}

/// Returns the store of one stream of the log.
fn store(node: &Node, stream: &str) -> Store {
    let timings = &node.settings.timings;
    let timeouts = Timeouts {
        connect: millis(timings.connect_timeout_ms),
        append: millis(timings.outside_timeout_ms),
        read: millis(timings.outside_timeout_ms),
    };
    Client::new(node.settings.outside.log, stream.into(), timeouts).store()
}

/// Spawns the tasks that read and append to the log.
fn spawn_log(node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    let control = store(node, &node.settings.streams.control);
    let claim_stream = store(node, &node.settings.streams.claims);
    tasks.spawn(control::run(Arc::clone(node), control.clone()));
    tasks.spawn(writer::run(Arc::clone(node), control));
    tasks.spawn(claims::run(Arc::clone(node), claim_stream.clone()));
    tasks.spawn(claims::append(Arc::clone(node), claim_stream));
    tasks.spawn(each(Arc::clone(node), SNAPSHOT_EACH, snapshot));
}

/// Publishes a snapshot of the control state, if this node should.
async fn snapshot(node: Arc<Node>) {
    let retention = Duration::from_secs(node.settings.timings.log_retention_s);
    let state = node.control().state;
    let peers = state.epoch.peers.iter().map(|peer| peer.node.as_str());
    let rank = name::rank("snapshot", node.identity.node.as_str(), peers);
    let snapshot = {
        let follower = node.follower();
        let is_due = follower.is_snapshot_due(retention, rank, node.clock.wall());
        is_due.then(|| follower.snapshot())
    };
    if let Some(snapshot) = snapshot {
        let change = state::Change::Snapshot {
            snapshot: Box::new(snapshot),
        };
        let decided = writer::commit(&node, change, SNAPSHOT_PATIENCE).await;
        info!(node.log, "snapshot published"; "result" => ?decided);
    }
}

/// Spawns the periodic drivers.
fn spawn_drivers(node: &Arc<Node>, former: &Arc<Former>, tasks: &mut JoinSet<()>) {
    let timings = &node.settings.timings;
    let poll = millis(timings.report_poll_ms);
    let beat = millis(timings.heartbeat_ms);
    let proposer = Arc::new(Mutex::new(Proposer::new(member::Timing::default())));
    let again = || Arc::clone(node);
    tasks.spawn(each(again(), control::RELAY_EACH, control::relay));
    tasks.spawn(each(again(), listing::period(node), listing::read));
    tasks.spawn(each(again(), poll, watch::poll));
    tasks.spawn(each(again(), poll, observe::ask_all));
    tasks.spawn(each(again(), survey::EACH, survey::run));
    tasks.spawn(each(again(), cache::EACH, cache::run));
    tasks.spawn(each(again(), beat, beats::run));
    let former = Arc::clone(former);
    tasks.spawn(each(again(), replicas::EACH, move |node| {
        replicas::run(node, Arc::clone(&former))
    }));
    tasks.spawn(each(again(), beats::EPOCH_EACH, move |node| {
        beats::epoch(node, Arc::clone(&proposer))
    }));
    tasks.spawn(each(
        again(),
        driver::METRICS_EACH,
        driver::send_percentiles,
    ));
}

/// Spawns the three servers.
fn spawn_servers(node: &Arc<Node>, listeners: Listeners, tasks: &mut JoinSet<()>) {
    let limits = &node.settings.limits;
    let bounds = listen::Bounds {
        connections: usize::try_from(limits.max_connections).unwrap_or(usize::MAX),
        header_timeout: millis(limits.header_timeout_ms),
    };
    let callers = http::routes(Arc::clone(node));
    let operators = admin::routes(Arc::clone(node));
    let stopped = node.stopped.clone();
    let ended = node.ended.clone();
    tasks.spawn(listen::serve(
        listeners.caller,
        callers,
        bounds,
        stopped,
        node.log.clone(),
    ));
    tasks.spawn(listen::serve(
        listeners.admin,
        operators,
        bounds,
        ended.clone(),
        node.log.clone(),
    ));
    tasks.spawn(serve_peers(Arc::clone(node), listeners.peer, bounds, ended));
}

/// Serves the peers until the node ends.
async fn serve_peers(
    node: Arc<Node>,
    listener: TcpListener,
    bounds: listen::Bounds,
    ended: CancellationToken,
) {
    let proof = Proof::new(&node.secret, node.clock.clone());
    let log = node.log.clone();
    if let Err(error) = peer::server::serve(node, proof, listener, bounds, ended).await {
        warn!(log, "the service for peers ended"; "error" => %error);
    }
}
