//! What a process holds, as the platform counts it.

use std::{
    fs,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// The time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// The state of established connections in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

/// The state of connections that only the peer has closed.
const CLOSE_WAIT: &str = "08";

/// The resources that a process holds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Resident memory, in bytes.
    pub(crate) resident: u64,
    /// Bytes that were received and not yet read, also on connections not yet accepted.
    pub(crate) unread: u64,
    /// Resident memory and unread bytes at one moment.
    pub(crate) memory: u64,
    /// Open sockets.
    pub(crate) sockets: u64,
}

impl Usage {
    /// Returns the larger value of each resource.
    fn max(self, other: Self) -> Self {
        Self {
            resident: self.resident.max(other.resident),
            unread: self.unread.max(other.unread),
            memory: self.memory.max(other.memory),
            sockets: self.sockets.max(other.sockets),
        }
    }
}

/// A process, and the ports at which it listens.
#[derive(Debug, Clone)]
pub(crate) struct Process {
    pub(crate) id: u32,
    pub(crate) ports: Vec<u16>,
}

impl Process {
    /// Returns what the process holds; `None` if it has ended.
    pub(crate) fn usage(&self) -> Option<Usage> {
        let resident = resident(self.id)?;
        let unread = self.unread();
        Some(Usage {
            resident,
            unread,
            memory: resident + unread,
            sockets: sockets(self.id)?,
        })
    }

    /// Returns the bytes in the receive queues of the connections to the process's ports.
    fn unread(&self) -> u64 {
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let queues = table.lines().skip(1).filter_map(|line| {
            let mut fields = line.split_whitespace().skip(1);
            let (_, port) = fields.next()?.split_once(':')?;
            let state = fields.nth(1)?;
            let (_, received) = fields.next()?.split_once(':')?;
            let port = u16::from_str_radix(port, 16).ok()?;
            let is_open = [ESTABLISHED, CLOSE_WAIT].contains(&state);
            (is_open && self.ports.contains(&port))
                .then(|| u64::from_str_radix(received, 16).unwrap_or(0))
        });
        queues.sum()
    }

    /// Samples the process until the returned watch ends.
    pub(crate) fn watch(self) -> Watch {
        let peak = Arc::new(Mutex::new(Usage::default()));
        let is_over = Arc::new(AtomicBool::new(false));
        let (sampled, stop) = (Arc::clone(&peak), Arc::clone(&is_over));
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Some(usage) = self.usage() else {
                    return false;
                };
                let mut peak = sampled.lock().unwrap_or_else(PoisonError::into_inner);
                *peak = peak.max(usage);
                drop(peak);
                thread::sleep(SAMPLE_INTERVAL);
            }
            self.usage().is_some()
        });
        Watch {
            peak,
            is_over,
            thread,
        }
    }
}

/// The sampling of a process.
#[derive(Debug)]
pub(crate) struct Watch {
    peak: Arc<Mutex<Usage>>,
    is_over: Arc<AtomicBool>,
    thread: thread::JoinHandle<bool>,
}

impl Watch {
    /// Ends the sampling and returns the peak of each resource.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub(crate) fn end(self) -> Usage {
        self.is_over.store(true, Ordering::Relaxed);
        assert!(self.thread.join().unwrap(), "the process ended");
        *self.peak.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the resident memory of a process that has not ended, in bytes.
fn resident(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib * 1_024)
}

/// Returns the number of sockets that a process has open.
fn sockets(id: u32) -> Option<u64> {
    let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?;
    let targets = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let sockets = targets.filter(|target| target.to_string_lossy().starts_with("socket:"));
    Some(sockets.count() as u64)
}
