//! The tables that all tasks of a node share, and their lock order.
//!
//! A task that needs several locks takes them in the order in which [`Node`]
//! declares them, and holds none across an await. Each accessor takes one lock
//! and recovers from poisoning, since a panic ends the process anyway.

use crate::{
    driver::{watch::Monitor, writer::Decided},
    identity::Identity,
    metrics::Metrics,
    peer::Peers,
    reports::Reports,
    serve::{accounts::Accounts, claims::Claims, queue::SlotQueues, servers::Servers},
};
use admit::stats::Stats;
use backend::Pool;
use budget::Budget;
use clock::{Clock, Moment};
use log::Outbox;
use member::{Freshness, Reachability, Status, Table};
use name::{Account, Offset};
use once::Tickets;
use plan::{Lists, Plan};
use replica::View;
use settings::Secret;
use slog::Logger;
use state::{Follower, State};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// The control state in force, with the parsed lists.
#[derive(Debug, Clone, Default)]
pub(crate) struct Control {
    /// The state.
    pub(crate) state: Arc<State>,
    /// The operators' lists.
    pub(crate) lists: Arc<Lists>,
}

impl Control {
    /// Returns the plan of an account.
    pub(crate) fn plan_of(&self, account: &Account) -> Option<Arc<Plan>> {
        let plan = &self.lists.accounts.get(account)?.plan;
        self.lists.plans.get(plan).cloned().map(Arc::new)
    }
}

/// The tables of one entry node.
///
/// Locks are taken in the order of the fields, each at most once.
#[derive(Debug)]
pub(crate) struct Node {
    /// This node's name, addresses and location.
    pub(crate) identity: Identity,
    /// Its settings.
    pub(crate) settings: settings::Entry,
    /// The secret that entry nodes share.
    pub(crate) secret: Secret,
    /// Both clocks.
    pub(crate) clock: Clock,
    /// The logger of events.
    pub(crate) log: Logger,
    /// The client that sends metrics over UDP.
    pub(crate) metrics: Metrics,
    /// The memory and descriptors for clients' connections and bodies.
    pub(crate) budget: Arc<Budget>,
    /// Connections to backend servers.
    pub(crate) pool: Pool,
    /// Connections to the other entry nodes.
    pub(crate) peers: Peers,
    /// This node's records that are not decided yet.
    pub(crate) outbox: Outbox<Decided>,
    /// What instances and peers report beyond the views.
    pub(crate) reports: Reports,
    /// Wakes tasks that wait for the state to change; holds the applied offset.
    pub(crate) applied_offset: watch::Sender<Offset>,
    /// Wakes tasks that wait for a survey of the backend servers; holds the survey count.
    pub(crate) surveyed: watch::Sender<u64>,
    /// Wakes the task that appends claims.
    pub(crate) claims_waiting: Notify,
    /// Cancelled when the node stops listening for callers.
    pub(crate) draining: CancellationToken,
    /// Cancelled when all tasks must end.
    pub(crate) shutdown: CancellationToken,

    /// Lock 1: the follower of the control stream.
    follower: Mutex<Follower>,
    /// Lock 2: the state in force, published for readers.
    control: RwLock<Control>,
    /// Lock 3: the members.
    members: Mutex<Table>,
    /// Lock 4: the readings of the log's tail.
    freshness: Mutex<Freshness>,
    /// Lock 5: the view of the engines' instances.
    engines: Mutex<View>,
    /// Lock 6: the view of the plain services' instances.
    services: Mutex<View>,
    /// Lock 7: the failure detectors of the instances that this node watches.
    monitor: Mutex<Monitor>,
    /// Lock 8: requests that wait for a slot.
    slot_queue: Mutex<SlotQueues>,
    /// Lock 9: slots and loads of replicas and plain backend servers.
    servers: Mutex<Servers>,
    /// Lock 10: the accounts' limits and usage.
    accounts: Mutex<Accounts>,
    /// Lock 11: claims on requests that may not be repeated.
    claims: Mutex<Claims>,
    /// Lock 12: tickets issued here.
    tickets: Mutex<Tickets>,
    /// Lock 13: histograms.
    stats: Mutex<Stats>,
    /// Lock 14: the stage of a planned stop.
    drain: Mutex<member::Drain>,
    /// Lock 15: the crash histories of parts of prompts.
    quarantine: Mutex<quarantine::Table>,
}

/// The tables with which a node starts.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) follower: Follower,
    pub(crate) members: Table,
    pub(crate) freshness: Freshness,
    pub(crate) engines: View,
    pub(crate) services: View,
    pub(crate) monitor: Monitor,
    pub(crate) slot_queue: SlotQueues,
    pub(crate) servers: Servers,
    pub(crate) accounts: Accounts,
    pub(crate) claims: Claims,
    pub(crate) tickets: Tickets,
    pub(crate) stats: Stats,
}

/// The components of a node other than its tables.
#[derive(Debug)]
pub(crate) struct Components {
    pub(crate) identity: Identity,
    pub(crate) settings: settings::Entry,
    pub(crate) secret: Secret,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) budget: Arc<Budget>,
    pub(crate) pool: Pool,
    pub(crate) peers: Peers,
    pub(crate) outbox: Outbox<Decided>,
}

/// Takes a lock, even if it is poisoned by a panic.
fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Returns a node with the given tables.
    pub(crate) fn new(components: Components, tables: Tables) -> Self {
        Self {
            identity: components.identity,
            settings: components.settings,
            secret: components.secret,
            clock: components.clock,
            log: components.log,
            metrics: components.metrics,
            budget: components.budget,
            pool: components.pool,
            peers: components.peers,
            outbox: components.outbox,
            reports: Reports::default(),
            applied_offset: watch::Sender::new(Offset::ZERO),
            surveyed: watch::Sender::new(0),
            claims_waiting: Notify::new(),
            draining: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            follower: Mutex::new(tables.follower),
            control: RwLock::default(),
            members: Mutex::new(tables.members),
            freshness: Mutex::new(tables.freshness),
            engines: Mutex::new(tables.engines),
            services: Mutex::new(tables.services),
            monitor: Mutex::new(tables.monitor),
            slot_queue: Mutex::new(tables.slot_queue),
            servers: Mutex::new(tables.servers),
            accounts: Mutex::new(tables.accounts),
            claims: Mutex::new(tables.claims),
            tickets: Mutex::new(tables.tickets),
            stats: Mutex::new(tables.stats),
            drain: Mutex::new(member::Drain::new()),
            quarantine: Mutex::default(),
        }
    }

    /// Takes lock 1.
    pub(crate) fn follower(&self) -> MutexGuard<'_, Follower> {
        lock(&self.follower)
    }

    /// Returns the state in force.
    pub(crate) fn control(&self) -> Control {
        self.control
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Publishes the state in force; lock 2.
    pub(crate) fn publish(&self, state: Arc<State>) {
        let lists = Arc::clone(state.lists());
        let offset = state.offset;
        *self.control.write().unwrap_or_else(PoisonError::into_inner) = Control { state, lists };
        self.applied_offset.send_replace(offset);
    }

    /// Takes lock 3.
    pub(crate) fn members(&self) -> MutexGuard<'_, Table> {
        lock(&self.members)
    }

    /// Takes lock 4.
    pub(crate) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        lock(&self.freshness)
    }

    /// Takes lock 5.
    pub(crate) fn engines(&self) -> MutexGuard<'_, View> {
        lock(&self.engines)
    }

    /// Takes lock 6.
    pub(crate) fn services(&self) -> MutexGuard<'_, View> {
        lock(&self.services)
    }

    /// Takes lock 7.
    pub(crate) fn monitor(&self) -> MutexGuard<'_, Monitor> {
        lock(&self.monitor)
    }

    /// Takes lock 8.
    pub(crate) fn slot_queue(&self) -> MutexGuard<'_, SlotQueues> {
        lock(&self.slot_queue)
    }

    /// Takes lock 9.
    pub(crate) fn servers(&self) -> MutexGuard<'_, Servers> {
        lock(&self.servers)
    }

    /// Takes lock 10.
    pub(crate) fn accounts(&self) -> MutexGuard<'_, Accounts> {
        lock(&self.accounts)
    }

    /// Takes lock 11.
    pub(crate) fn claims(&self) -> MutexGuard<'_, Claims> {
        lock(&self.claims)
    }

    /// Takes lock 12.
    pub(crate) fn tickets(&self) -> MutexGuard<'_, Tickets> {
        lock(&self.tickets)
    }

    /// Takes lock 13.
    pub(crate) fn stats(&self) -> MutexGuard<'_, Stats> {
        lock(&self.stats)
    }

    /// Takes lock 14.
    pub(crate) fn drain(&self) -> MutexGuard<'_, member::Drain> {
        lock(&self.drain)
    }

    /// Takes lock 15.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, quarantine::Table> {
        lock(&self.quarantine)
    }

    /// Returns which other nodes this node can reach.
    pub(crate) fn reachability(&self, now: Moment) -> Reachability {
        self.members().reachability(now)
    }

    /// Returns how current this node's state is at `now`, and so whether it may act on it.
    pub(crate) fn status(&self, now: Moment) -> Status {
        let applied_offset = self.control().state.offset;
        let reachability = self.reachability(now);
        self.freshness().status(applied_offset, reachability, now)
    }

    /// Returns whether the state is complete and recent enough to accept work.
    pub(crate) fn is_ready(&self, now: Moment) -> bool {
        self.follower().is_ready()
            && self.status(now).accepts_work()
            && self.accounts().has_usable_limit(now)
    }
}
