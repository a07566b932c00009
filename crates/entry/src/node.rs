//! The tables that all tasks of a node share, and their lock order.
//!
//! A task that needs several locks takes them in the order in which [`Node`]
//! declares them, and holds none across an await. Each accessor takes one lock
//! and recovers from poisoning, since a panic ends the process anyway.

use crate::{
    driver::{watch::Watched, writer::Decided},
    identity::Identity,
    known::Known,
    metrics::Metrics,
    peer::Peers,
    serve::{accounts::Accounts, claims::Claims, queue::SlotQueues, servers::Servers},
};
use admit::stats::Stats;
use backend::Pool;
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
    /// Who this node is.
    pub(crate) identity: Identity,
    /// Its settings.
    pub(crate) settings: settings::Entry,
    /// The secret that entry nodes share.
    pub(crate) secret: Secret,
    /// Both clocks.
    pub(crate) clock: Clock,
    /// Where events are logged.
    pub(crate) log: Logger,
    /// Metrics by UDP.
    pub(crate) metrics: Metrics,
    /// Connections to backend servers.
    pub(crate) pool: Pool,
    /// Connections to the other entry nodes.
    pub(crate) peers: Peers,
    /// This node's records that are not decided yet.
    pub(crate) outbox: Outbox<Decided>,
    /// What reports say beyond the views.
    pub(crate) known: Known,
    /// Wakes tasks that wait for the state to change; holds the folded offset.
    pub(crate) folded: watch::Sender<Offset>,
    /// Wakes tasks that wait for a survey of the backend servers; holds its number.
    pub(crate) surveyed: watch::Sender<u64>,
    /// Wakes the sender of claims.
    pub(crate) claims_waiting: Notify,
    /// Cancelled when the node stops listening.
    pub(crate) stopped: CancellationToken,
    /// Cancelled when every task ends.
    pub(crate) ended: CancellationToken,

    /// Lock 1: the follower of the control stream.
    follower: Mutex<Follower>,
    /// Lock 2: the state in force, published for readers.
    control: RwLock<Control>,
    /// Lock 3: the members.
    members: Mutex<Table>,
    /// Lock 4: the vouchers.
    freshness: Mutex<Freshness>,
    /// Lock 5: what is known of the engines' instances.
    engines: Mutex<View>,
    /// Lock 6: what is known of the plain services' instances.
    services: Mutex<View>,
    /// Lock 7: what this node watches.
    watched: Mutex<Watched>,
    /// Lock 8: requests that wait for a slot.
    room: Mutex<SlotQueues>,
    /// Lock 9: slots and loads of replicas and plain backend servers.
    servers: Mutex<Servers>,
    /// Lock 10: what accounts use.
    accounts: Mutex<Accounts>,
    /// Lock 11: claims on requests that may not be repeated.
    claims: Mutex<Claims>,
    /// Lock 12: tickets issued here.
    tickets: Mutex<Tickets>,
    /// Lock 13: histograms.
    stats: Mutex<Stats>,
    /// Lock 14: the planned stop.
    drain: Mutex<member::Drain>,
}

/// Tables with which a node starts.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) follower: Follower,
    pub(crate) members: Table,
    pub(crate) freshness: Freshness,
    pub(crate) engines: View,
    pub(crate) services: View,
    pub(crate) watched: Watched,
    pub(crate) room: SlotQueues,
    pub(crate) servers: Servers,
    pub(crate) accounts: Accounts,
    pub(crate) claims: Claims,
    pub(crate) tickets: Tickets,
    pub(crate) stats: Stats,
}

/// What a node is made of beside its tables.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) identity: Identity,
    pub(crate) settings: settings::Entry,
    pub(crate) secret: Secret,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    pub(crate) peers: Peers,
    pub(crate) outbox: Outbox<Decided>,
}

/// Takes a lock, also after a panic elsewhere.
fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Returns a node with the given tables.
    pub(crate) fn new(parts: Parts, tables: Tables) -> Self {
        Self {
            identity: parts.identity,
            settings: parts.settings,
            secret: parts.secret,
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            pool: parts.pool,
            peers: parts.peers,
            outbox: parts.outbox,
            known: Known::default(),
            folded: watch::Sender::new(Offset::ZERO),
            surveyed: watch::Sender::new(0),
            claims_waiting: Notify::new(),
            stopped: CancellationToken::new(),
            ended: CancellationToken::new(),
            follower: Mutex::new(tables.follower),
            control: RwLock::default(),
            members: Mutex::new(tables.members),
            freshness: Mutex::new(tables.freshness),
            engines: Mutex::new(tables.engines),
            services: Mutex::new(tables.services),
            watched: Mutex::new(tables.watched),
            room: Mutex::new(tables.room),
            servers: Mutex::new(tables.servers),
            accounts: Mutex::new(tables.accounts),
            claims: Mutex::new(tables.claims),
            tickets: Mutex::new(tables.tickets),
            stats: Mutex::new(tables.stats),
            drain: Mutex::new(member::Drain::new()),
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
        self.folded.send_replace(offset);
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
    pub(crate) fn watched(&self) -> MutexGuard<'_, Watched> {
        lock(&self.watched)
    }

    /// Takes lock 8.
    pub(crate) fn room(&self) -> MutexGuard<'_, SlotQueues> {
        lock(&self.room)
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

    /// Returns what this node sees of the others.
    pub(crate) fn sight(&self, now: Moment) -> Reachability {
        self.members().reachability(now)
    }

    /// Returns whether this node may act on its state at `now`.
    pub(crate) fn status(&self, now: Moment) -> Status {
        let folded = self.control().state.offset;
        let sight = self.sight(now);
        self.freshness().status(folded, sight, now)
    }

    /// Returns whether the state is whole, and young enough to take work.
    pub(crate) fn is_ready(&self, now: Moment) -> bool {
        self.follower().is_ready()
            && self.status(now).accepts_work()
            && self.accounts().has_usable_limit(now)
    }
}
