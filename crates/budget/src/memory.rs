//! The memory for clients' bodies and connections.
//!
//! Bodies of requests, which are kept for further attempts, responses that are incomplete
//! or that clients read slowly, and connections draw on one budget that follows from the
//! memory of the process. If it is used up, the process stops reading, and then refuses
//! requests whose bodies it has not read. It keeps what it has accepted.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// The longest body that counts as short, in bytes.
///
/// Short bodies may use memory that long ones leave.
pub(crate) const SHORT_BODY_BYTES: usize = 64 << 10;

/// The length of the blocks in which a body is read, in bytes.
///
/// Blocks of one length are used again for other bodies. Buffers that grow leave gaps in
/// the heap: with them, a node used twice as much memory as its bodies.
pub(crate) const BLOCK_BYTES: usize = 64 << 10;

/// The budget for bodies without a known limit of the process, in bytes.
const DEFAULT_CAPACITY: usize = 32 << 20;

/// The least budget for bodies, in bytes.
///
/// A single body or response of 4 MiB finds room in it.
const MIN_CAPACITY: usize = 8 << 20;

/// The memory of the program, its tables and logs, and of its connections to the store, to
/// backend servers and to other nodes, in bytes.
const RESERVE_BYTES: u64 = 64 << 20;

/// The fraction of the remaining memory for bodies.
const BODY_FRACTION: f64 = 0.7;

/// The fraction of the remaining memory that connections may always use.
///
/// They may use what bodies leave besides. The rest is for connections that wait to be
/// accepted.
const CONNECTION_FRACTION: f64 = 0.25;

/// The fraction of the budget up to which new long bodies are read.
///
/// Bodies that are being read may grow beyond it.
const NEW_BODY_FRACTION: f64 = 0.75;

/// The fraction of the budget that long bodies may use.
const LONG_BODY_FRACTION: f64 = 0.9;

/// How long the read of a body waits for memory.
const MEMORY_WAIT: Duration = Duration::from_millis(1_000);

/// The memory of a process for its clients.
#[derive(Debug, Clone)]
pub struct Memory(Arc<Pool>);

#[derive(Debug)]
struct Pool {
    /// The memory for bodies, in bytes.
    capacity: usize,
    /// The memory that connections may always use, in bytes.
    connection_capacity: usize,
    /// What bodies use.
    used: AtomicUsize,
    /// What connections use.
    used_by_connections: AtomicUsize,
    released: Notify,
    shortage: Notify,
}

/// Memory of one request or response, which is given back on drop.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    bytes: usize,
}

impl Memory {
    /// Returns the budget of a process with `limit` bytes, if its memory is limited.
    pub fn new(limit: Option<u64>) -> Self {
        let part = |fraction: f64| {
            let rest = limit.map(|limit| limit.saturating_sub(RESERVE_BYTES) as f64);
            rest.map_or(DEFAULT_CAPACITY, |rest| {
                ((rest * fraction) as usize).max(MIN_CAPACITY)
            })
        };
        Self(Arc::new(Pool {
            capacity: part(BODY_FRACTION),
            connection_capacity: part(CONNECTION_FRACTION),
            used: AtomicUsize::new(0),
            used_by_connections: AtomicUsize::new(0),
            released: Notify::new(),
            shortage: Notify::new(),
        }))
    }

    /// Returns a reservation of no bytes.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Returns whether a new body of `length` bytes is refused, since too much is in use.
    pub(crate) fn refuses_body(&self, length: usize) -> bool {
        let used = self.0.used.load(Ordering::Relaxed);
        let is_refused = used + length.min(BLOCK_BYTES) > self.limit_of(length, NEW_BODY_FRACTION);
        if is_refused {
            self.0.shortage.notify_one();
        }
        is_refused
    }

    /// Returns whether another connection of `bytes` finds room.
    pub(crate) fn has_room_for(&self, bytes: usize) -> bool {
        let pool = &*self.0;
        let used = pool.used_by_connections.load(Ordering::Relaxed) + bytes;
        let free = pool
            .capacity
            .saturating_sub(pool.used.load(Ordering::Relaxed));
        used <= pool.connection_capacity + free
    }

    /// Adds the memory of a connection.
    pub(crate) fn charge_connection(&self, bytes: usize) {
        let used = &self.0.used_by_connections;
        used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Gives the memory of a connection back.
    pub(crate) fn release_connection(&self, bytes: usize) {
        let used = &self.0.used_by_connections;
        used.fetch_sub(bytes, Ordering::Relaxed);
        self.0.released.notify_waiters();
    }

    /// Waits until a body finds no memory.
    pub(crate) async fn shortage(&self) {
        self.0.shortage.notified().await;
    }

    /// Returns the budget for bodies that connections leave, in bytes.
    fn capacity(&self) -> usize {
        let pool = &*self.0;
        let connections = pool.used_by_connections.load(Ordering::Relaxed);
        let borrowed = connections.saturating_sub(pool.connection_capacity);
        pool.capacity.saturating_sub(borrowed)
    }

    /// Returns the part of the budget that a body of `length` bytes may use.
    fn limit_of(&self, length: usize, fraction: f64) -> usize {
        if length <= SHORT_BODY_BYTES {
            self.capacity()
        } else {
            (self.capacity() as f64 * fraction) as usize
        }
    }
}

impl Reservation {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the reservation to a number of bytes; returns false if there are not as
    /// many left.
    pub fn resize(&mut self, bytes: usize) -> bool {
        self.resize_within(bytes, self.memory.capacity())
    }

    /// Changes the reservation for a body if there is enough memory; returns whether
    /// there is.
    pub(crate) fn resize_body(&mut self, bytes: usize) -> bool {
        let limit = self.memory.limit_of(bytes, LONG_BODY_FRACTION);
        self.resize_within(bytes, limit)
    }

    /// Changes the reservation for a body, waiting for memory for a short time; returns
    /// false if there is still not enough.
    pub async fn grow_body(&mut self, bytes: usize) -> bool {
        let until = Instant::now() + MEMORY_WAIT;
        let limit = |memory: &Memory| memory.limit_of(bytes, LONG_BODY_FRACTION);
        self.wait_to_resize(bytes, limit, until).await
    }

    /// Changes the reservation, waiting for memory until a time; returns false if there is
    /// still not enough.
    pub async fn grow(&mut self, bytes: usize, until: Instant) -> bool {
        self.wait_to_resize(bytes, Memory::capacity, until).await
    }

    async fn wait_to_resize(
        &mut self,
        bytes: usize,
        limit: impl Fn(&Memory) -> usize,
        until: Instant,
    ) -> bool {
        let pool = Arc::clone(&self.memory.0);
        loop {
            let notified = pool.released.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.resize_within(bytes, limit(&self.memory)) {
                return true;
            }
            pool.shortage.notify_one();
            if timeout_at(until, notified).await.is_err() {
                return false;
            }
        }
    }

    fn resize_within(&mut self, bytes: usize, limit: usize) -> bool {
        let pool = &*self.memory.0;
        let used = &pool.used;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            if bytes < self.bytes {
                pool.released.notify_waiters();
            }
        } else {
            let added = bytes - self.bytes;
            if used.fetch_add(added, Ordering::Relaxed) + added > limit {
                used.fetch_sub(added, Ordering::Relaxed);
                return false;
            }
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
