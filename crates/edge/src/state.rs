//! The tables that the tasks of a node share.

use crate::{metrics::Metrics, peers::Peers, wait::Waiter};
use clock::{Clock, Moment};
use name::{Instance, Model, Service};
use place::{CostModel, Fleet, LoadTracker, Queue, RetryBudget, Target};
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

/// The time before the bound on revoked secrets at which a view is too old.
///
/// It covers the way of a request to this node and the time until it is sent on.
const REVOKE_MARGIN: Duration = Duration::from_millis(700);

/// The time in which half of the demand that was seen is forgotten.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(4);

/// The rate below which a link is slow.
///
/// The planner of eighty nodes sends them some 4 Mbit/s, and more while many
/// engines change.
const SLOW_LINK_MBIT_PER_S: f64 = 50.0;

/// What all tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) platform: Platform,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) pool: net::Pool,
    pub(crate) metrics: Metrics,
    /// Counts the changes of the fleet.
    pub(crate) changes: watch::Sender<u64>,
    /// Asks for the next datagram to other nodes at once.
    pub(crate) urgent: Notify,
    tables: Mutex<Tables>,
    is_stopping: AtomicBool,
    is_refusing: AtomicBool,
}

/// Whether another node has told of records that this node lacks, by feed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Behind {
    pub(crate) operators: bool,
    pub(crate) servers: bool,
}

/// The tables.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) config: Option<Arc<Config>>,
    /// When the read began that last confirmed the configuration.
    pub(crate) confirmed: Option<Moment>,
    /// When the read began that last confirmed the servers' entries.
    pub(crate) servers_confirmed: Option<Moment>,
    /// When a read of the store first succeeded after one that failed.
    pub(crate) store_regained: Option<Moment>,
    /// The servers whose entries lapsed lately, while the store was away.
    pub(crate) lapsed: HashSet<Instance>,
    /// How far this node knows the operators' feed; `None` before it has read it.
    pub(crate) operators_read: Option<u64>,
    /// How far this node knows the servers' feed; `None` before it has read it.
    pub(crate) servers_read: Option<u64>,
    /// Which feeds another node has read further.
    pub(crate) is_behind: Behind,
    /// How far the planner had read it when it told of a server's entry.
    pub(crate) servers_heard: HashMap<Instance, u64>,
    pub(crate) fleet: Fleet,
    pub(crate) targets: Arc<Vec<Target>>,
    pub(crate) costs: HashMap<Service, HashMap<Model, Arc<CostModel>>>,
    pub(crate) load: LoadTracker,
    pub(crate) queue: Queue<Waiter>,
    /// The credit for further attempts, which is counted for each service.
    pub(crate) budgets: HashMap<Service, RetryBudget>,
    pub(crate) peers: Peers,
    pub(crate) demand: Demand,
}

impl Shared {
    /// Returns the state of a node that knows nothing yet.
    pub(crate) fn new(settings: Settings, platform: Platform, clock: Clock, log: Logger) -> Self {
        let tables = Tables::new();
        Self {
            settings,
            platform,
            clock,
            log,
            pool: net::Pool::default(),
            metrics: Metrics::default(),
            changes: watch::Sender::new(0),
            urgent: Notify::new(),
            tables: Mutex::new(tables),
            is_stopping: AtomicBool::new(false),
            is_refusing: AtomicBool::new(false),
        }
    }

    /// Returns the tables. The guard must not be held across an await.
    pub(crate) fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the present moment.
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Sends the next datagram now, since something changed that others act on.
    pub(crate) fn hurry(&self) {
        self.urgent.notify_one();
    }

    /// Returns whether the link is too slow to tell many nodes of many changes.
    pub(crate) fn has_slow_link(&self) -> bool {
        let rate = self.settings.link_mbit_per_s;
        rate.is_some_and(|rate| rate < SLOW_LINK_MBIT_PER_S)
    }

    /// Returns whether the node has begun to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins to stop: the node leaves the directory.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether new requests are refused.
    pub(crate) fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::Relaxed)
    }

    /// Refuses new requests from now on.
    pub(crate) fn refuse(&self) {
        self.is_refusing.store(true, Ordering::Relaxed);
    }

    /// Returns whether callers should use this node.
    pub(crate) fn is_ready(&self) -> bool {
        let now = self.now();
        let tables = self.tables();
        !self.is_stopping()
            && tables.config.is_some()
            && tables.servers_confirmed.is_some()
            && tables.is_fresh(&self.settings, now)
    }

    /// Works out the targets anew after a change of the fleet or configuration.
    pub(crate) fn refresh(self: &Arc<Self>, tables: &mut Tables) {
        let Some(config) = tables.config.clone() else {
            return;
        };
        let targets = tables.fleet.targets(&config);
        let is_changed = *tables.targets != targets;
        if is_changed {
            tables.targets = Arc::new(targets);
            let listed = Arc::clone(&tables.targets);
            let servers = listed.iter().map(|target| &target.server);
            tables.load.set_targets(servers, self.now());
        }
        self.changes.send_modify(|count| *count += 1);
        if is_changed {
            self.offer(tables);
        }
    }
}

impl Tables {
    /// Returns the tables of a node that knows nothing yet.
    pub(crate) fn new() -> Self {
        Self {
            config: None,
            confirmed: None,
            servers_confirmed: None,
            store_regained: None,
            lapsed: HashSet::new(),
            operators_read: None,
            servers_read: None,
            is_behind: Behind::default(),
            servers_heard: HashMap::new(),
            fleet: Fleet::default(),
            targets: Arc::default(),
            costs: HashMap::new(),
            load: LoadTracker::default(),
            queue: Queue::default(),
            budgets: HashMap::new(),
            peers: Peers::default(),
            demand: Demand::default(),
        }
    }

    /// Returns whether the configuration is confirmed recently enough for
    /// requests with a secret.
    pub(crate) fn is_fresh(&self, settings: &Settings, now: Moment) -> bool {
        let Some(revoke) = settings.bounds.max_revoke_delay else {
            return true;
        };
        let age = self.confirmed.map(|at| now.since(at));
        age.is_some_and(|age| age + REVOKE_MARGIN < revoke)
    }

    /// Returns whether the configuration is confirmed recently enough to deny
    /// what it does not hold.
    pub(crate) fn is_current(&self, settings: &Settings, now: Moment) -> bool {
        let age = self.confirmed.map(|at| now.since(at));
        age.is_some_and(|age| age < settings.bounds.max_config_delay)
    }

    /// Takes over a configuration.
    pub(crate) fn set_config(&mut self, config: Config) {
        self.costs = config
            .engines()
            .map(|(service, engine)| {
                let costs = engine.models.iter();
                let costs = costs.map(|w| (w.model.clone(), Arc::new(CostModel::new(engine, w))));
                (service.clone(), costs.collect())
            })
            .collect();
        self.config = Some(Arc::new(config));
    }

    /// Returns the credit for further attempts at a service.
    pub(crate) fn budget(&mut self, service: &Service, bounds: &Bounds) -> &mut RetryBudget {
        let nodes = self.peers.count();
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds, nodes))
    }

    /// Returns the costs of a model.
    pub(crate) fn cost(&self, service: &Service, model: Option<&Model>) -> Option<Arc<CostModel>> {
        self.costs.get(service)?.get(model?).cloned()
    }
}

/// The work that callers ask this node for, by model.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    models: HashMap<Model, (f64, Moment)>,
}

impl Demand {
    /// Notes a request that occupies a replica for some seconds.
    pub(crate) fn add(&mut self, model: &Model, seconds: f64, now: Moment) {
        let (amount, at) = self.models.entry(model.clone()).or_insert((0.0, now));
        *amount = faded(*amount, *at, now) + seconds;
        *at = now;
    }

    /// Returns the replicas of each model that the demand would fill.
    pub(crate) fn replicas(&self, now: Moment) -> HashMap<Model, f64> {
        // Requests at a constant rate add up to this many seconds' worth.
        let window = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.models
            .iter()
            .map(|(model, (amount, at))| (model.clone(), faded(*amount, *at, now) / window))
            .collect()
    }
}

/// Returns what is left of an amount after some time.
fn faded(amount: f64, at: Moment, now: Moment) -> f64 {
    let lives = now.since(at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
    amount * 0.5_f64.powf(lives)
}
