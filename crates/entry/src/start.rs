//! Start and stop of one entry node.

use crate::{
    admin,
    driver::{
        self, cache, claims, control, heartbeats, listing, millis, observe,
        replicas::{self, Controller},
        run_periodically, survey,
        watch::{self, Monitor},
        writer,
    },
    http::{self, listen::Listener},
    identity::Identity,
    metrics::Metrics,
    node::{Components, Node, Tables},
    peer::{self, Authenticator, Peers},
    serve::{
        accounts::Accounts,
        claims::Claims,
        queue::SlotQueues,
        servers::{Location, Servers},
    },
};
use admit::{slot::Timing, stats::Stats};
use backend::{Limits, Pool};
use budget::{Budget, Closed, Port, Reason};
use clock::Clock;
use log::{Client, Store, Timeouts};
use member::{Freshness, Proposer, Stage, Table};
use name::Incarnation;
use once::Tickets;
use replica::{FailureDetector, OrderTracker, Pacer, Policy, View};
use rustix::process::{Resource, getrlimit};
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

/// The maximum number of histogram series that a node stores.
const MAX_SERIES: usize = 1_024;

/// The time limit for sending the request of a permit, after which the permit is void.
const PERMIT_SEND_TIMEOUT: Duration = Duration::from_millis(250);

/// The number of descriptors that are kept for files and for the runtime.
const FILE_DESCRIPTORS: usize = 32;

/// The maximum lag of the load in reports.
const MAX_LOAD_REPORT_LAG: Duration = Duration::from_secs(2);

/// Tokens, per unit of weight, that an account below its share may use ahead of others.
const IDLE_CREDIT_TOKENS: u64 = 800;

/// How long a report of capacity is valid.
const CAPACITY_LEASE: Duration = Duration::from_millis(1_500);

/// The interval between checks whether a planned stop is complete.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between checks whether a snapshot is due.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The time limit for the decision on a snapshot.
const SNAPSHOT_DECISION_TIMEOUT: Duration = Duration::from_secs(10);

/// The error for a node that failed to start.
#[derive(Debug)]
pub struct Failure {
    context: String,
    source: Option<io::Error>,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.source {
            Some(source) => write!(f, "{}: {source}", self.context),
            None => f.write_str(&self.context),
        }
    }
}

impl std::error::Error for Failure {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.source.as_ref().map(|source| source as _)
    }
}

/// Returns a function that adds `context` to an I/O error.
fn failure_of(context: impl Into<String>) -> impl FnOnce(io::Error) -> Failure {
    let context = context.into();
    move |source| Failure {
        context,
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
    /// Binds the listeners for callers, peers and operators.
    fn bind(settings: &settings::Listen) -> Result<Self, Failure> {
        let bind = |audience: &str, address: SocketAddr| {
            budget::listener::bind(address).map_err(failure_of(format!(
                "cannot listen for {audience} on {address}"
            )))
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
    /// Returns an error if an address cannot be bound, the secret is missing or
    /// cannot be read, metrics cannot be sent, or a policy is unknown. No task is
    /// left running then.
    pub fn start(settings: settings::Entry, clock: Clock, log: &Logger) -> Result<Self, Failure> {
        let listeners = Listeners::bind(&settings.listen)?;
        let identity = identity(&settings, &listeners)?;
        let log = log.new(o!("node" => identity.node.to_string()));
        let controller = Arc::new(replica_controller(&settings, &identity)?);
        let (components, tables) = assemble(settings, identity, clock, log)?;
        let node = Arc::new(Node::new(components, tables));
        let mut tasks = JoinSet::new();
        spawn_log(&node, &mut tasks);
        spawn_drivers(&node, &controller, &mut tasks);
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

    /// Returns whether the node accepts work now.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready(self.node.clock.now())
    }

    /// Stops the node gracefully.
    ///
    /// The node leaves the list of entries, waits until no caller still caches a
    /// list that includes it, finishes the requests in progress, and ends.
    /// Requests still in progress after the configured stop time are aborted, which
    /// is logged as a warning.
    pub async fn stop(self) {
        let node = &self.node;
        let timings = &node.settings.timings;
        let entries_ttl = millis(timings.entries_ttl_ms) + millis(timings.heartbeat_ms);
        let now = node.clock.now();
        node.drain().start(entries_ttl, now);
        info!(node.log, "entry node leaving the list of entries"; "for_ms" => u64::try_from(entries_ttl.as_millis()).unwrap_or(u64::MAX));
        let limit = now + entries_ttl + millis(timings.stop_ms);
        loop {
            let now = node.clock.now();
            match node.drain().update(now) {
                Stage::Stopped => break,
                Stage::Draining => {
                    node.draining.cancel();
                }
                Stage::Serving | Stage::Leaving { .. } => {}
            }
            if now >= limit {
                let remaining = node.drain().in_progress();
                warn!(node.log, "stop timed out; aborting requests in progress"; "requests" => remaining);
                break;
            }
            sleep(STOP_CHECK_INTERVAL).await;
        }
        self.end().await;
    }

    /// Announces the stop to the peers, and ends every task.
    async fn end(mut self) {
        let node = Arc::clone(&self.node);
        let now = node.clock.now();
        node.members().announce_stop(now);
        heartbeats::run(Arc::clone(&node)).await;
        info!(node.log, "entry node stopped");
        node.draining.cancel();
        node.shutdown.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Returns the node's identity, with advertised or bound addresses.
fn identity(settings: &settings::Entry, listeners: &Listeners) -> Result<Identity, Failure> {
    let address = |listener: &TcpListener, advertised: Option<SocketAddr>| {
        let bound = listener
            .local_addr()
            .map_err(failure_of("no local address"))?;
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

/// Returns the time limits for decisions on replicas.
fn replica_settings(timings: &settings::Timings) -> replica::Settings {
    replica::Settings {
        report_max_age: millis(timings.report_freshness_ms),
        suspect_after: millis(timings.report_freshness_ms),
        order_lifetime: millis(timings.order_lifetime_ms),
        ..replica::Settings::default()
    }
}

/// Returns the controller that proposes replicas and orders their formation.
fn replica_controller(
    settings: &settings::Entry,
    identity: &Identity,
) -> Result<Controller, Failure> {
    let name = &settings.policies.replica;
    let policy = match name.as_str() {
        "default" => Policy::default(),
        _ => Policy::by_name(name).ok_or_else(|| Failure {
            context: format!(
                "policies.replica: {name:?} is not among default, {}",
                Policy::NAMES.join(", ")
            ),
            source: None,
        })?,
    };
    let bounds = replica_settings(&settings.timings);
    let order_tracker = OrderTracker::new(identity.node.clone(), bounds.clone());
    Ok(Controller::new(policy, Pacer::new(bounds), order_tracker))
}

/// Returns the policy that chooses replicas for requests.
fn route_policy(settings: &settings::Entry) -> Result<route::Policy, Failure> {
    match settings.policies.route.as_str() {
        "default" => Ok(route::Policy::default()),
        name => name.parse().map_err(|unknown| Failure {
            context: format!("policies.route: {name:?}: {unknown}"),
            source: None,
        }),
    }
}

/// Returns the components and tables of a node.
fn assemble(
    settings: settings::Entry,
    identity: Identity,
    clock: Clock,
    log: Logger,
) -> Result<(Components, Tables), Failure> {
    let secret = settings
        .peers
        .secret()
        .map_err(failure_of("cannot read the peers' secret"))?;
    // Without the secret, anyone could impersonate a peer or resume any account's stream.
    let secret = secret.ok_or_else(|| Failure {
        context: "peers: no secret; set secret_file or secret_hex".into(),
        source: None,
    })?;
    let metrics = Metrics::new(&settings.metrics).map_err(failure_of("cannot send metrics"))?;
    let tables = tables(&settings, &identity, &clock)?;
    let timings = &settings.timings;
    let limits = Limits {
        connect_timeout: millis(timings.connect_timeout_ms),
        response_timeout: millis(timings.outside_timeout_ms),
        ..Limits::default()
    };
    let components = Components {
        secret: secret.clone(),
        peers: Peers::new(Authenticator::new(&secret, clock.clone())),
        outbox: writer::new_outbox(identity.incarnation.0.as_u64_pair().0),
        budget: budget(&settings.limits),
        pool: Pool::new(limits),
        metrics,
        identity,
        settings,
        clock,
        log,
    };
    Ok((components, tables))
}

/// Returns the budget of the process.
fn budget(limits: &settings::Limits) -> Arc<Budget> {
    let number = |value: u32| usize::try_from(value).unwrap_or(usize::MAX);
    let own_limit = getrlimit(Resource::Nofile).current;
    let own_limit = own_limit.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX));
    let configured = limits.max_descriptors.map(number);
    let descriptors = configured.into_iter().chain(own_limit).min();
    Budget::new(budget::Limits {
        memory_bytes: Some(limits.memory_mib.saturating_mul(1 << 20)),
        descriptors: descriptors.map(|all| all.saturating_sub(FILE_DESCRIPTORS)),
        caller_connections: Some(number(limits.max_connections)),
    })
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
    let detector = || FailureDetector::new(identity.node.clone(), bounds.clone(), now);
    let owner = (identity.node.clone(), identity.incarnation);
    let limits = &settings.limits;
    let location = Location {
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        domain: identity.domain.clone(),
        region: identity.region.clone(),
    };
    let timing = Timing {
        lease: CAPACITY_LEASE,
        send: PERMIT_SEND_TIMEOUT,
        settle: millis(timings.voucher_bound_ms) + PERMIT_SEND_TIMEOUT + MAX_LOAD_REPORT_LAG,
        rest: millis(timings.voucher_bound_ms)
            + PERMIT_SEND_TIMEOUT
            + millis(limits.request_timeout_ms),
    };
    let heartbeat_interval = millis(timings.heartbeat_ms);
    let member_settings = member::Settings {
        interval: heartbeat_interval,
        suspect_after: millis(timings.peer_suspicion_ms),
        ..member::Settings::default()
    };
    let window = once::Window {
        validity: Duration::from_secs(settings.idempotency.window_s),
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
        monitor: Monitor::new(detector(), detector()),
        slot_queue: SlotQueues::new(admit::Bounds {
            total: usize::try_from(limits.queue_requests).unwrap_or(usize::MAX),
            credit: IDLE_CREDIT_TOKENS,
            account: usize::try_from(limits.queue_requests_per_account).unwrap_or(usize::MAX),
        }),
        servers: Servers::new(location, timing, route_policy(settings)?),
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

/// Returns a client of one stream of the log.
fn stream_store(node: &Node, stream: &str) -> Store {
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
    let control = stream_store(node, &node.settings.streams.control);
    let claim_stream = stream_store(node, &node.settings.streams.claims);
    tasks.spawn(control::run(Arc::clone(node), control.clone()));
    tasks.spawn(writer::run(Arc::clone(node), control));
    tasks.spawn(claims::run(Arc::clone(node), claim_stream.clone()));
    tasks.spawn(claims::append_batches(Arc::clone(node), claim_stream));
    tasks.spawn(run_periodically(
        Arc::clone(node),
        SNAPSHOT_CHECK_INTERVAL,
        publish_snapshot,
    ));
}

/// Publishes a snapshot of the control state, if one is due from this node.
async fn publish_snapshot(node: Arc<Node>) {
    let retention = Duration::from_secs(node.settings.timings.log_retention_s);
    let state = node.control().state;
    let peers = state.epoch.peers.iter().map(|peer| peer.node.as_str());
    let rank = name::rendezvous_rank("snapshot", node.identity.node.as_str(), peers);
    let snapshot = {
        let follower = node.follower();
        let is_due = follower.is_snapshot_due(retention, rank, node.clock.wall());
        is_due.then(|| follower.snapshot())
    };
    if let Some(snapshot) = snapshot {
        let change = state::Change::Snapshot {
            snapshot: Box::new(snapshot),
        };
        let decided = writer::commit(&node, change, SNAPSHOT_DECISION_TIMEOUT).await;
        info!(node.log, "snapshot submitted"; "result" => ?decided);
    }
}

/// Spawns the periodic tasks.
fn spawn_drivers(node: &Arc<Node>, controller: &Arc<Controller>, tasks: &mut JoinSet<()>) {
    let timings = &node.settings.timings;
    let poll = millis(timings.report_poll_ms);
    let heartbeat_interval = millis(timings.heartbeat_ms);
    let proposer = Arc::new(Mutex::new(Proposer::new(member::Timing::default())));
    let clone_node = || Arc::clone(node);
    tasks.spawn(run_periodically(
        clone_node(),
        control::RELAY_INTERVAL,
        control::fetch_relay,
    ));
    tasks.spawn(run_periodically(
        clone_node(),
        listing::interval(node),
        listing::update,
    ));
    tasks.spawn(run_periodically(clone_node(), poll, watch::poll));
    tasks.spawn(run_periodically(clone_node(), poll, observe::poll_peers));
    tasks.spawn(run_periodically(
        clone_node(),
        survey::INTERVAL,
        survey::run,
    ));
    tasks.spawn(run_periodically(clone_node(), cache::INTERVAL, cache::run));
    tasks.spawn(run_periodically(
        clone_node(),
        heartbeat_interval,
        heartbeats::run,
    ));
    let controller = Arc::clone(controller);
    tasks.spawn(run_periodically(
        clone_node(),
        replicas::INTERVAL,
        move |node| replicas::run(node, Arc::clone(&controller)),
    ));
    tasks.spawn(run_periodically(
        clone_node(),
        heartbeats::EPOCH_CHECK_INTERVAL,
        move |node| heartbeats::propose_epoch(node, Arc::clone(&proposer)),
    ));
    tasks.spawn(run_periodically(
        clone_node(),
        driver::METRICS_INTERVAL,
        driver::send_percentiles,
    ));
}

/// Spawns the servers for callers, operators and peers.
fn spawn_servers(node: &Arc<Node>, listeners: Listeners, tasks: &mut JoinSet<()>) {
    let draining = node.draining.clone();
    let shutdown = node.shutdown.clone();
    let listeners_of_http = [
        Listener {
            socket: listeners.caller,
            port: Port::Callers,
            router: http::routes(Arc::clone(node)),
            stop: draining,
        },
        Listener {
            socket: listeners.admin,
            port: Port::Operators,
            router: admin::routes(Arc::clone(node)),
            stop: shutdown.clone(),
        },
    ];
    for listener in listeners_of_http {
        tasks.spawn(listener.serve(Arc::clone(node)));
    }
    tasks.spawn(watch_connections(Arc::clone(node)));
    tasks.spawn(serve_peers(Arc::clone(node), listeners.peer, shutdown));
}

/// Closes connections that are late or in the way until the node shuts down.
async fn watch_connections(node: Arc<Node>) {
    let limits = &node.settings.limits;
    let timeouts = budget::Timeouts {
        first_byte: millis(limits.header_timeout_ms),
        head: millis(limits.header_timeout_ms),
        idle: millis(limits.idle_timeout_ms),
    };
    let report = |closed: Closed| {
        node.metrics
            .connections_closed(closed.port, closed.reason, closed.count);
        // Clients that are idle for too long are usual.
        if closed.reason != Reason::Idle {
            warn!(node.log, "connections closed"; "port" => closed.port.as_str(),
                "reason" => closed.reason.as_str(), "count" => closed.count,
                "last_peer" => %closed.peer);
        }
    };
    tokio::select! {
        () = node.budget.run(|| timeouts, report) => {}
        () = node.shutdown.cancelled() => {}
    }
}

/// Serves the peers until the node shuts down.
async fn serve_peers(node: Arc<Node>, listener: TcpListener, shutdown: CancellationToken) {
    let authenticator = Authenticator::new(&node.secret, node.clock.clone());
    let log = node.log.clone();
    if let Err(error) = peer::server::serve(node, authenticator, listener, shutdown).await {
        warn!(log, "server for peers failed"; "error" => %error);
    }
}
