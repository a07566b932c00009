//! The memory that incomplete responses of servers may use.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The maximum length of a response that is not a stream, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The maximum length of an incomplete event, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 256 << 10;

/// The memory for incomplete responses at a node, in bytes.
///
/// The smallest machines have 160 MB.
const CAPACITY: usize = 32 << 20;

/// The memory that all incomplete responses at a node use together.
#[derive(Debug, Clone, Default)]
pub(crate) struct Memory {
    used: Arc<AtomicUsize>,
}

/// Memory of one response, which is given back on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Memory,
    bytes: usize,
}

impl Memory {
    /// Returns a reservation of no bytes.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Changes the reservation to a number of bytes; returns false if there are not as
    /// many left.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let used = &self.memory.used;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        } else {
            let added = bytes - self.bytes;
            if used.fetch_add(added, Ordering::Relaxed) + added > CAPACITY {
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
