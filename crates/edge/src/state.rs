//! The state that a node's tasks share.

use crate::{
    end_check::EndChecks, era::Era, exchange::Outbox, level, metrics::Metrics, peers::Peers,
    slot::Waiter,
};
use budget::{Budget, Limits};
use clock::{Clock, Moment};
use name::{Instance, Model, Service};
use place::{CostModel, Delays, Fleet, LoadTracker, Queue, Reach, RetryBudget, Target};
use site::{Config, Platform, Settings, settings::Bounds};
use slog::Logger;
use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Notify, watch};

/// How long before the bound on revoked secrets a view counts as too old.
///
/// It covers a request's transfer to this node and the time until it is sent to a
/// server.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);

/// The half-life of recorded demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(4);

/// The rate below which a link counts as slow.
///
/// With eighty nodes the planner sends some 4 Mbit/s, and more while many engines
/// change.
const SLOW_LINK_MBIT_PER_S: f64 = 50.0;

/// The state shared by all tasks.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) platform: Platform,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) pool: net::Pool,
    /// The memory and descriptors for callers' connections, requests and responses.
    pub(crate) budget: Arc<Budget>,
    pub(crate) metrics: Metrics,
    /// The number of changes of the fleet so far.
    pub(crate) fleet_changes: watch::Sender<u64>,
    /// Wakes the heartbeat sender before its interval ends.
    pub(crate) heartbeat_requested: Notify,
    /// Requests a read of the other nodes' records.
    pub(crate) node_records_requested: Notify,
    /// The latest era of the store.
    pub(crate) era_changes: watch::Sender<u64>,
    /// Requests a check of the links to the servers.
    pub(crate) check_requested: Notify,
    /// The number of such checks so far.
    pub(crate) checks: watch::Sender<u64>,
    /// Wakes the sender of crash histories and limits.
    pub(crate) exchange_due: Notify,
    /// The number of changes of how parts of requests are treated.
    pub(crate) treatment_changes: watch::Sender<u64>,
    tables: Mutex<Tables>,
    is_stopping: AtomicBool,
    has_stopped_admission: AtomicBool,
}

/// Whether this node lacks records that the planner has read, by feed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Behind {
    pub(crate) operators: bool,
    pub(crate) servers: bool,
}

/// The tables under the shared lock.
#[derive(Debug)]
pub(crate) struct Tables {
    /// When this node started.
    started_at: Moment,
    /// Whether the whole deployment started for the first time then.
    is_first_start: bool,
    pub(crate) config: Option<Arc<Config>>,
    /// The start of the read that last confirmed the configuration.
    pub(crate) config_confirmed: Option<Moment>,
    /// The start of the read that last confirmed the servers' entries.
    pub(crate) servers_confirmed: Option<Moment>,
    /// Whether this node may claim the planner role soon, which needs a recent view.
    pub(crate) is_view_wanted: bool,
    /// Until when removals are deferred after an outage of the store.
    pub(crate) defer_removals_until: Option<Moment>,
    /// The era of the store, and what is kept over its changes.
    pub(crate) era: Era,
    /// The servers whose removal is deferred after an outage of the store.
    pub(crate) deferred_removals: HashSet<Instance>,
    /// The position up to which the operators' feed is applied; `None` before its first
    /// read.
    pub(crate) operators_offset: Option<u64>,
    /// The position up to which the servers' feed is applied; `None` before its first
    /// listing.
    pub(crate) servers_offset: Option<u64>,
    /// The feeds of which this node lacks records that the planner has read.
    pub(crate) is_behind: Behind,
    /// The feed position of the last relayed change of each server's entry.
    pub(crate) relayed_offsets: HashMap<Instance, u64>,
    pub(crate) fleet: Fleet,
    pub(crate) targets: Arc<Vec<Target>>,
    /// The servers that are asked whether they are back, with their incarnations.
    pub(crate) confirming: HashSet<(Instance, u64)>,
    pub(crate) costs: HashMap<Service, HashMap<Model, Arc<CostModel>>>,
    pub(crate) load: LoadTracker,
    /// The learned delays of first tokens.
    pub(crate) delays: Delays,
    /// The admission levels.
    pub(crate) levels: level::Table,
    /// The priorities of each service's routes, most urgent first.
    pub(crate) priorities: HashMap<Service, Vec<u32>>,
    /// The rates that servers named.
    pub(crate) limits: place::Limits,
    pub(crate) queue: Queue<Waiter>,
    /// The retry credit of each service.
    pub(crate) budgets: HashMap<Service, RetryBudget>,
    pub(crate) peers: Peers,
    /// Whether this node reaches the servers.
    pub(crate) reach: Reach,
    pub(crate) demand: Demand,
    /// The crash histories of prompt parts and whole requests.
    pub(crate) quarantine: quarantine::Table,
    /// The checks of servers that lost connections.
    pub(crate) end_checks: EndChecks,
    /// What is to be sent to other nodes.
    pub(crate) outbox: Outbox,
}

impl Shared {
    /// Returns the state of a node that has read nothing yet.
    pub(crate) fn new(settings: Settings, platform: Platform, clock: Clock, log: Logger) -> Self {
        let tables = Tables::new(clock.now(), settings.is_first_start);
        let budget = Budget::new(Limits {
            memory_bytes: settings.memory_bytes,
            descriptors: settings.max_descriptors,
            caller_connections: None,
        });
        Self {
            settings,
            platform,
            clock,
            log,
            pool: net::Pool::default(),
            budget,
            metrics: Metrics::default(),
            fleet_changes: watch::Sender::new(0),
            heartbeat_requested: Notify::new(),
            node_records_requested: Notify::new(),
            era_changes: watch::Sender::new(0),
            check_requested: Notify::new(),
            checks: watch::Sender::new(0),
            exchange_due: Notify::new(),
            treatment_changes: watch::Sender::new(0),
            tables: Mutex::new(tables),
            is_stopping: AtomicBool::new(false),
            has_stopped_admission: AtomicBool::new(false),
        }
    }

    /// Returns the tables. The guard must not be held across an await.
    pub(crate) fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Requests a heartbeat before the interval ends, since other nodes act on a change.
    pub(crate) fn request_heartbeat(&self) {
        self.heartbeat_requested.notify_one();
    }

    /// Requests a read of the other nodes' records before it is due.
    pub(crate) fn request_node_records(&self) {
        self.node_records_requested.notify_one();
    }

    /// Returns whether the link is too slow to relay many changes to many nodes.
    pub(crate) fn has_slow_link(&self) -> bool {
        let rate = self.settings.link_mbit_per_s;
        rate.is_some_and(|rate| rate < SLOW_LINK_MBIT_PER_S)
    }

    /// Returns whether the node is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Starts to stop: the node leaves the directory.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    pub(crate) fn has_stopped_admission(&self) -> bool {
        self.has_stopped_admission.load(Ordering::Relaxed)
    }

    /// Refuses all further requests.
    pub(crate) fn stop_admission(&self) {
        self.has_stopped_admission.store(true, Ordering::Relaxed);
    }

    /// Returns whether callers should use this node.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.now();
        let tables = self.tables();
        !self.is_stopping()
            && tables.config.is_some()
            && tables.servers_confirmed.is_some()
            && tables.is_config_fresh(&self.settings, now)
    }

    /// Computes the targets again after a change of the fleet or configuration.
    pub(crate) fn update_targets(self: &Arc<Self>, tables: &mut Tables) {
        let Some(config) = tables.config.clone() else {
            return;
        };
        self.confirm_returned(tables, &config);
        let targets = tables.fleet.targets(&config);
        let is_changed = *tables.targets != targets;
        if is_changed {
            tables.targets = Arc::new(targets);
            let listed = Arc::clone(&tables.targets);
            let servers = listed.iter().map(|target| &target.server);
            tables.load.set_targets(servers, self.now());
        }
        self.fleet_changes.send_modify(|count| *count += 1);
        self.record_restarts(tables);
        if is_changed {
            self.assign_slots(tables);
        }
    }
}

impl Tables {
    /// Returns the tables of a node that has read nothing yet.
    pub(crate) fn new(started_at: Moment, is_first_start: bool) -> Self {
        Self {
            started_at,
            is_first_start,
            config: None,
            config_confirmed: None,
            servers_confirmed: None,
            is_view_wanted: false,
            defer_removals_until: None,
            era: Era::default(),
            deferred_removals: HashSet::new(),
            operators_offset: None,
            servers_offset: None,
            is_behind: Behind::default(),
            relayed_offsets: HashMap::new(),
            fleet: Fleet::default(),
            targets: Arc::default(),
            confirming: HashSet::new(),
            costs: HashMap::new(),
            load: LoadTracker::default(),
            delays: Delays::default(),
            levels: level::Table::default(),
            priorities: HashMap::new(),
            limits: place::Limits::default(),
            queue: Queue::default(),
            budgets: HashMap::new(),
            peers: Peers::default(),
            reach: Reach::default(),
            demand: Demand::default(),
            quarantine: quarantine::Table::default(),
            end_checks: EndChecks::default(),
            outbox: Outbox::default(),
        }
    }

    /// Returns whether the configuration was confirmed recently enough to accept a
    /// secret.
    pub(crate) fn is_config_fresh(&self, settings: &Settings, now: Moment) -> bool {
        let Some(revoke) = settings.bounds.max_revoke_delay else {
            return true;
        };
        let age = self.config_confirmed.map(|at| now.since(at));
        age.is_some_and(|age| age + REVOKE_MARGIN < revoke)
    }

    /// Returns whether the configuration was confirmed recently enough to deny what it
    /// does not contain.
    pub(crate) fn is_config_current(&self, settings: &Settings, now: Moment) -> bool {
        let age = self.config_confirmed.map(|at| now.since(at));
        age.is_some_and(|age| age < settings.bounds.max_config_delay)
    }

    /// Replaces the configuration, and computes its costs.
    pub(crate) fn set_config(&mut self, config: Config) {
        self.costs = config
            .engines()
            .map(|(service, engine_spec)| {
                let costs = engine_spec.models.iter();
                let costs =
                    costs.map(|w| (w.model.clone(), Arc::new(CostModel::new(engine_spec, w))));
                (service.clone(), costs.collect())
            })
            .collect();
        self.priorities = config.priorities();
        self.config = Some(Arc::new(config));
    }

    /// Returns the number of more urgent priorities among a service's routes.
    pub(crate) fn rank(&self, service: &Service, priority: u32) -> usize {
        let priorities = self.priorities.get(service);
        priorities.map_or(0, |known| known.partition_point(|p| *p < priority))
    }

    /// Divides the retry credit among the nodes that are known now.
    pub(crate) fn update_budgets(&mut self, bounds: &Bounds, now: Moment) {
        let nodes = self.peers.node_count();
        let is_entitled = self.is_entitled_to_credit(bounds, now);
        for budget in self.budgets.values_mut() {
            budget.update(bounds, nodes, is_entitled);
        }
    }

    /// Returns whether no earlier incarnation of this node used retry credit in this window.
    fn is_entitled_to_credit(&self, bounds: &Bounds, now: Moment) -> bool {
        self.is_first_start || now.since(self.started_at) >= bounds.retry_window
    }

    /// Returns the retry credit of a service.
    pub(crate) fn budget(
        &mut self,
        service: &Service,
        bounds: &Bounds,
        now: Moment,
    ) -> &mut RetryBudget {
        let nodes = self.peers.node_count();
        let is_entitled = self.is_entitled_to_credit(bounds, now);
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds, nodes, is_entitled))
    }

    /// Returns the costs of a model at a service.
    pub(crate) fn cost(&self, service: &Service, model: Option<&Model>) -> Option<Arc<CostModel>> {
        self.costs.get(service)?.get(model?).cloned()
    }
}

/// The recent work of this node's callers, by model.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    models: HashMap<Model, (f64, Moment)>,
}

impl Demand {
    /// Adds a request that occupies a replica for `seconds`.
    pub(crate) fn add(&mut self, model: &Model, seconds: f64, now: Moment) {
        let (amount, at) = self.models.entry(model.clone()).or_insert((0.0, now));
        *amount = decayed(*amount, *at, now) + seconds;
        *at = now;
    }

    /// Returns the number of replicas that the demand would fill, by model.
    pub(crate) fn replicas(&self, now: Moment) -> HashMap<Model, f64> {
        // At a constant rate, the decaying sum equals the work of this many seconds.
        let window = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.models
            .iter()
            .map(|(model, (amount, at))| (model.clone(), decayed(*amount, *at, now) / window))
            .collect()
    }
}

/// Returns an amount after its decay from `at` to `now`.
fn decayed(amount: f64, at: Moment, now: Moment) -> f64 {
    amount * decay_factor(now.since(at), DEMAND_HALF_LIFE)
}

/// Returns the part of an amount that is left after a time.
pub(crate) fn decay_factor(elapsed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}
