//! The budget of a process: its parts, its connections, and what is closed.

use crate::{
    connection::{Connection, Phase, Reason},
    listener::RECEIVE_QUEUE_BYTES,
    memory::Memory,
    table::{Snapshot, closable, finishable},
};
use std::{
    collections::{BTreeMap, HashMap},
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

/// The memory of a connection's own state and of the buffers of its protocol, in bytes.
const CONNECTION_STATE_BYTES: usize = 24 << 10;

/// The usual length of the longest head, in bytes.
const HEAD_BYTES: usize = 16 << 10;

/// All that a connection with heads of the usual length may hold, in bytes.
pub(crate) const CONNECTION_BYTES: usize =
    CONNECTION_STATE_BYTES + HEAD_BYTES + RECEIVE_QUEUE_BYTES;

/// The fraction of the descriptors for connections of callers.
///
/// Each request needs another descriptor for a backend server.
const CALLER_FRACTION: f64 = 0.375;

/// The fraction of the descriptors for connections of other nodes.
const PEER_FRACTION: f64 = 0.125;

/// The fraction of the descriptors for connections at each other port.
const PORT_FRACTION: f64 = 1.0 / 32.0;

/// The least number of connections at a port, and the most at one that few clients use.
const MIN_CONNECTIONS: usize = 8;
const MAX_CONTROL_CONNECTIONS: usize = 64;

/// The interval between two checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The delay of a check from which the process counts as suspended.
///
/// What clients sent meanwhile has not been read yet, so nothing is closed for its age.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(500);

/// The least interval between two reports of closed connections.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time between two searches for connections to close, if one found none.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// The number of connections that are closed at once and of places that are kept free, as a
/// divisor of all.
///
/// Each search looks at all connections.
const CLOSED_DIVISOR: usize = 16;

/// The allowance beyond the time limit of a head, for delays on the way.
const HEAD_SLACK: Duration = Duration::from_millis(1_000);

/// The audience of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Port {
    /// Callers' requests.
    Callers,
    /// Checks of whether the process is ready.
    Readiness,
    /// Queries for the nodes to use.
    Directory,
    /// Operators' requests and metrics.
    Operators,
    /// Other nodes' calls.
    Peers,
}

impl Port {
    /// Returns whether the port has few clients, which must find room also beside a crowd
    /// of others.
    fn is_control(self) -> bool {
        matches!(self, Self::Readiness | Self::Operators | Self::Peers)
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Directory => "directory",
            Self::Operators => "operators",
            Self::Peers => "peers",
        }
    }
}

/// The limits of a process, and of its connections from callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limits {
    /// The memory of the process in bytes, if it is limited.
    pub memory_bytes: Option<u64>,
    /// The number of descriptors for sockets, if it is limited.
    pub descriptors: Option<usize>,
    /// The number of connections of callers, if it is limited besides.
    pub caller_connections: Option<usize>,
}

/// The time limits of connections.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// The time for the first byte of a new connection.
    pub first_byte: Duration,
    /// The time for the head of a request, from its first byte.
    pub head: Duration,
    /// The time between two requests.
    pub idle: Duration,
}

/// A number of connections that were closed or not accepted for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    /// The port.
    pub port: Port,
    /// The reason.
    pub reason: Reason,
    /// The number of connections.
    pub count: u64,
    /// The address of the last of them.
    pub peer: IpAddr,
}

/// The budget of a process.
#[derive(Debug)]
pub struct Budget {
    memory: Memory,
    limits: Limits,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: u64,
    connections: HashMap<Port, HashMap<u64, Arc<Connection>>>,
    /// When the last search found nothing to close.
    fruitless_search: Option<Instant>,
    closed: Tally,
}

impl Budget {
    /// Returns the budget of a process with limits.
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            memory: Memory::new(limits.memory_bytes),
            limits,
            table: Mutex::default(),
        })
    }

    /// Returns the memory for bodies.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of connections at a port by the descriptors alone.
    fn max_connections(&self, port: Port) -> usize {
        let part = |fraction: f64| {
            let descriptors = self.limits.descriptors?;
            Some(((descriptors as f64 * fraction) as usize).max(MIN_CONNECTIONS))
        };
        match port {
            Port::Callers => {
                let configured = self.limits.caller_connections.unwrap_or(usize::MAX);
                part(CALLER_FRACTION).unwrap_or(usize::MAX).min(configured)
            }
            Port::Directory => part(PORT_FRACTION).unwrap_or(usize::MAX),
            Port::Peers => part(PEER_FRACTION).unwrap_or(usize::MAX),
            Port::Readiness | Port::Operators => part(PORT_FRACTION)
                .unwrap_or(MAX_CONTROL_CONNECTIONS)
                .min(MAX_CONTROL_CONNECTIONS),
        }
    }

    /// Takes a new connection into the budget, and closes others if little room is left.
    ///
    /// Returns `None` if there is no room; the connection must then be closed.
    pub fn open(self: &Arc<Self>, port: Port, peer: IpAddr) -> Option<Ticket> {
        let mut table = self.table();
        let table = &mut *table;
        let open = table.connections.entry(port).or_default();
        // A connection that is closed gives its place back when its task ends. Some places
        // are kept free, so that new clients need not wait for that.
        let spare = open.len() / CLOSED_DIVISOR + 1;
        if !self.has_room(port, open.len(), spare) {
            let now = Instant::now();
            let is_searched = table
                .fruitless_search
                .is_some_and(|at| now.duration_since(at) < SEARCH_INTERVAL);
            if !is_searched {
                let closed = close_some(open, now, spare, Reason::Connections);
                if closed.is_empty() {
                    finish_some(open, spare);
                    table.fruitless_search = Some(now);
                }
                for peer in closed {
                    record(&mut table.closed, port, Reason::Connections, peer);
                }
            }
        }
        if !self.has_room(port, open.len(), 1) {
            record(&mut table.closed, port, Reason::Connections, peer);
            return None;
        }
        let id = table.next_id;
        table.next_id += 1;
        let connection = Arc::new(Connection::new(peer));
        open.insert(id, Arc::clone(&connection));
        self.memory.charge_connection(CONNECTION_BYTES);
        Some(Ticket {
            budget: Arc::clone(self),
            connection,
            port,
            id,
            bytes: CONNECTION_BYTES,
        })
    }

    /// Returns whether a port with open connections has room for `count` more.
    fn has_room(&self, port: Port, open: usize, count: usize) -> bool {
        open + count <= self.max_connections(port)
            && (port.is_control() || self.memory.has_room_for(count * CONNECTION_BYTES))
    }

    /// Closes connections that are late, and others when bodies find no memory, for as long
    /// as the process runs.
    ///
    /// `timeouts` returns the limits in force, and `report` receives what was closed or not
    /// accepted, at most once a second for each port and reason.
    pub async fn run(&self, timeouts: impl Fn() -> Timeouts, report: impl Fn(Closed)) {
        let mut checked_at = Instant::now();
        let mut reported_at = checked_at;
        loop {
            let is_short = timeout(CHECK_INTERVAL, self.memory.shortage())
                .await
                .is_ok();
            let now = Instant::now();
            if is_short {
                self.close_for_memory(now);
                // Those that were closed give their memory back first.
                sleep(SEARCH_INTERVAL).await;
            }
            let elapsed = now.duration_since(checked_at);
            if elapsed >= CHECK_INTERVAL {
                checked_at = now;
                if elapsed < MAX_CHECK_DELAY {
                    self.close_late(timeouts(), now);
                }
            }
            if now.duration_since(reported_at) >= REPORT_INTERVAL {
                reported_at = now;
                let closed = std::mem::take(&mut self.table().closed);
                for ((port, reason), (count, peer)) in closed {
                    report(Closed {
                        port,
                        reason,
                        count,
                        peer,
                    });
                }
            }
        }
    }

    /// Closes connections that hold memory of requests which do not proceed.
    fn close_for_memory(&self, now: Instant) {
        let mut table = self.table();
        let table = &mut *table;
        let open = table.connections.iter();
        for (port, open) in open.filter(|(port, _)| !port.is_control()) {
            let count = open.len() / CLOSED_DIVISOR + 1;
            for peer in close_some(open, now, count, Reason::Memory) {
                record(&mut table.closed, *port, Reason::Memory, peer);
            }
        }
    }

    /// Closes connections whose time is over.
    fn close_late(&self, timeouts: Timeouts, now: Instant) {
        let mut table = self.table();
        let table = &mut *table;
        for (port, open) in &table.connections {
            for connection in open.values() {
                let Some(snapshot) = connection.snapshot() else {
                    continue;
                };
                if let Some(reason) = lateness(*port, &snapshot, timeouts, now)
                    && connection.close(reason)
                {
                    record(&mut table.closed, *port, reason, snapshot.peer);
                }
            }
        }
    }
}

/// The numbers of closed connections that were not reported, with the last address of each.
type Tally = BTreeMap<(Port, Reason), (u64, IpAddr)>;

/// Counts a connection that was closed or not accepted.
fn record(closed: &mut Tally, port: Port, reason: Reason, peer: IpAddr) {
    let (count, last_peer) = closed.entry((port, reason)).or_insert((0, peer));
    *count += 1;
    *last_peer = peer;
}

/// Returns why a connection is late, if it is.
fn lateness(port: Port, connection: &Snapshot, timeouts: Timeouts, now: Instant) -> Option<Reason> {
    let age = now.saturating_duration_since(connection.since);
    match connection.phase {
        // The protocol between nodes has its own checks of idle connections.
        _ if port == Port::Peers => None,
        Phase::New if age >= timeouts.first_byte => Some(Reason::Idle),
        Phase::Idle if age >= timeouts.idle => Some(Reason::Idle),
        Phase::Head if age >= timeouts.head + HEAD_SLACK => Some(Reason::SlowHead),
        _ => None,
    }
}

/// Closes at most `count` connections, and returns their addresses.
fn close_some(
    open: &HashMap<u64, Arc<Connection>>,
    now: Instant,
    count: usize,
    reason: Reason,
) -> Vec<IpAddr> {
    let (ids, snapshots) = snapshots(open);
    closable(&snapshots, now, count)
        .into_iter()
        .filter(|position| open[&ids[*position]].close(reason))
        .map(|position| snapshots[position].peer)
        .collect()
}

/// Lets at most `count` connections end with their responses in progress.
fn finish_some(open: &HashMap<u64, Arc<Connection>>, count: usize) {
    let (ids, snapshots) = snapshots(open);
    for position in finishable(&snapshots, count) {
        open[&ids[position]].finish();
    }
}

/// Returns the ids and states of the connections that are not being closed.
fn snapshots(open: &HashMap<u64, Arc<Connection>>) -> (Vec<u64>, Vec<Snapshot>) {
    open.iter()
        .filter_map(|(id, connection)| Some((*id, connection.snapshot()?)))
        .unzip()
}

/// A connection's place in the budget, which is given back on drop.
#[derive(Debug)]
pub struct Ticket {
    budget: Arc<Budget>,
    connection: Arc<Connection>,
    port: Port,
    id: u64,
    /// What the connection is charged.
    bytes: usize,
}

impl Ticket {
    /// Charges the connection for heads of this length, if they may be longer than usual.
    pub(crate) fn charge_head(&mut self, head_bytes: usize) {
        let added = head_bytes.saturating_sub(HEAD_BYTES);
        self.budget.memory.charge_connection(added);
        self.bytes += added;
    }

    /// Returns the connection.
    pub fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut table = self.budget.table();
        if let Some(open) = table.connections.get_mut(&self.port) {
            open.remove(&self.id);
        }
        table.fruitless_search = None;
        drop(table);
        self.budget.memory.release_connection(self.bytes);
    }
}

#[cfg(test)]
mod tests;
