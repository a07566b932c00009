//! The memory that a node uses for callers and servers.
//!
//! Bodies of requests, which are kept for further attempts, responses that are incomplete
//! or that callers read slowly, and connections draw on one budget that follows from the
//! machine's memory. If it is used up, the node stops reading, and then refuses requests
//! whose bodies it has not read. It keeps what it has accepted.

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// The maximum length of a response that is not a stream, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The maximum length of an incomplete event, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 256 << 10;

/// The memory that a connection of a caller uses for its buffers, in bytes.
pub(crate) const CONNECTION_BYTES: usize = 16 << 10;

/// The longest body that counts as short, in bytes.
///
/// Short bodies may use memory that long ones leave.
const SHORT_BODY_BYTES: usize = 64 << 10;

/// The length of the blocks in which a body is read, in bytes.
///
/// Blocks of one length are used again for other bodies. Buffers that grow leave gaps in
/// the heap: with them, a node used twice as much memory as its bodies.
const BLOCK_BYTES: usize = 64 << 10;

/// The least length of a block of a body without a known length, in bytes.
///
/// A caller may send chunks of one byte, each of which would otherwise get a block.
const MIN_BLOCK_BYTES: usize = 4 << 10;

/// The budget without a known limit of the machine, in bytes.
const DEFAULT_CAPACITY: usize = 32 << 20;

/// The memory of the program, its tables and logs, in bytes.
const PROGRAM_BYTES: u64 = 64 << 20;

/// The fraction of the remaining memory that is budgeted.
///
/// The rest is for sockets' buffers and for what the allocator keeps.
const BUDGET_FRACTION: f64 = 0.75;

/// The fraction of the budget up to which new long bodies are read.
///
/// Bodies that are being read may grow beyond it.
const NEW_BODY_FRACTION: f64 = 0.75;

/// The fraction of the budget that long bodies may use.
const LONG_BODY_FRACTION: f64 = 0.9;

/// How long the read of a body waits for memory.
const MEMORY_WAIT: Duration = Duration::from_millis(1_000);

/// The maximum length of a piece that is passed to a caller's connection, in bytes.
const PIECE_BYTES: usize = 64 << 10;

/// The budget of a node.
#[derive(Debug, Clone)]
pub(crate) struct Memory {
    capacity: usize,
    used: Arc<AtomicUsize>,
    released: Arc<Notify>,
}

/// Memory of one request or response, which is given back on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Memory,
    bytes: usize,
}

impl Memory {
    /// Returns the budget of a machine with `limit` bytes, if its memory is limited.
    pub(crate) fn new(limit: Option<u64>) -> Self {
        let capacity = limit.map_or(DEFAULT_CAPACITY, |limit| {
            let budget = limit.saturating_sub(PROGRAM_BYTES) as f64 * BUDGET_FRACTION;
            (budget as usize).max(MAX_RESPONSE_BYTES)
        });
        Self {
            capacity,
            used: Arc::default(),
            released: Arc::default(),
        }
    }

    /// Returns a reservation of no bytes.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Returns whether a new body of `length` bytes is refused, since too much is in use.
    pub(crate) fn refuses_body(&self, length: usize) -> bool {
        let used = self.used.load(Ordering::Relaxed);
        used + length.min(BLOCK_BYTES) > self.limit(length, NEW_BODY_FRACTION)
    }

    /// Returns the part of the budget that a body of `length` bytes may use.
    fn limit(&self, length: usize, fraction: f64) -> usize {
        if length <= SHORT_BODY_BYTES {
            self.capacity
        } else {
            (self.capacity as f64 * fraction) as usize
        }
    }
}

impl Reservation {
    /// Changes the reservation to a number of bytes; returns false if there are not as
    /// many left.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        self.resize_within(bytes, self.memory.capacity)
    }

    /// Changes the reservation for a body, waiting for memory for a short time; returns
    /// false if there is still not enough.
    pub(crate) async fn grow_body(&mut self, bytes: usize) -> bool {
        let limit = self.memory.limit(bytes, LONG_BODY_FRACTION);
        let until = Instant::now() + MEMORY_WAIT;
        self.wait_to_resize(bytes, limit, until).await
    }

    /// Changes the reservation, waiting for memory until a time; returns false if there is
    /// still not enough.
    pub(crate) async fn grow(&mut self, bytes: usize, until: Instant) -> bool {
        self.wait_to_resize(bytes, self.memory.capacity, until)
            .await
    }

    async fn wait_to_resize(&mut self, bytes: usize, limit: usize, until: Instant) -> bool {
        let released = Arc::clone(&self.memory.released);
        loop {
            let notified = released.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.resize_within(bytes, limit) {
                return true;
            }
            if timeout_at(until, notified).await.is_err() {
                return false;
            }
        }
    }

    /// Adds bytes that are in use whatever is left.
    pub(crate) fn charge(&mut self, bytes: usize) {
        self.memory.used.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    fn resize_within(&mut self, bytes: usize, limit: usize) -> bool {
        let used = &self.memory.used;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            if bytes < self.bytes {
                self.memory.released.notify_waiters();
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

/// A body that is being read, with its memory.
#[derive(Debug)]
pub(crate) struct Blocks {
    blocks: Vec<BytesMut>,
    length: usize,
    reservation: Reservation,
}

impl Blocks {
    /// Returns an empty body.
    pub(crate) fn new(memory: &Memory) -> Self {
        Self {
            blocks: Vec::new(),
            length: 0,
            reservation: memory.reserve(),
        }
    }

    /// Returns the number of bytes that were read.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Appends bytes of a body of about `expected` bytes; returns false if there is no
    /// memory for them.
    pub(crate) async fn push(&mut self, mut data: &[u8], expected: usize) -> bool {
        while !data.is_empty() {
            let is_full = |block: &BytesMut| block.len() == block.capacity();
            if self.blocks.last().is_none_or(is_full) {
                let left = expected.saturating_sub(self.length);
                let capacity = if left >= data.len() {
                    left.min(BLOCK_BYTES)
                } else {
                    data.len().clamp(MIN_BLOCK_BYTES, BLOCK_BYTES)
                };
                let reserved = self.reservation.bytes + capacity;
                if !self.reservation.grow_body(reserved).await {
                    return false;
                }
                self.blocks.push(BytesMut::with_capacity(capacity));
            }
            let Some(block) = self.blocks.last_mut() else {
                return false;
            };
            let count = data.len().min(block.capacity() - block.len());
            block.extend_from_slice(&data[..count]);
            self.length += count;
            data = &data[count..];
        }
        true
    }

    /// Returns the whole body with its memory.
    pub(crate) fn into_bytes(mut self) -> (Bytes, Reservation) {
        if self.blocks.len() <= 1 {
            let only = self.blocks.pop().unwrap_or_default();
            return (only.freeze(), self.reservation);
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for block in self.blocks.drain(..) {
            whole.extend_from_slice(&block);
        }
        (whole.freeze(), self.reservation)
    }
}

/// The whole body of a response, whose memory is given back as the caller reads it.
#[derive(Debug)]
pub(crate) struct WholeBody {
    rest: Bytes,
    reservation: Reservation,
}

impl WholeBody {
    /// Returns a body of bytes for which memory was reserved.
    pub(crate) fn new(bytes: Bytes, reservation: Reservation) -> Self {
        Self {
            rest: bytes,
            reservation,
        }
    }
}

impl http_body::Body for WholeBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(length);
        let left = self.rest.len();
        self.reservation.resize(left);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

#[cfg(test)]
mod tests;
