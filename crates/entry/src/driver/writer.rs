//! Appends this node's own records and tells what the fold made of each.

use crate::node::Node;
use log::{Backoff, Full, Limits, Store, Writer};
use name::{Offset, Sequence};
use slog::debug;
use state::{Change, Outcome, Record};
use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot},
    time::{sleep, timeout},
};

/// The shortest and longest pause after a failed append.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// The pause of the appender when nothing is due; a new record ends it.
const IDLE: Duration = Duration::from_secs(1);

/// How a change was decided.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Decided {
    /// The offset of its record.
    pub(crate) offset: Offset,
    /// What the fold made of it.
    pub(crate) outcome: Outcome,
}

/// A change whose fate is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Undecided {
    /// The record was not taken; it will never be on the log.
    NotTaken,
    /// The record may be on the log, or come to be on it.
    Unknown,
}

impl fmt::Display for Undecided {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotTaken => "the change was not taken and has no effect",
            Self::Unknown => "the change is not confirmed and may still take effect",
        })
    }
}

impl std::error::Error for Undecided {}

/// A record that cannot be queued.
struct NotQueued;

impl From<Full> for NotQueued {
    fn from(_: Full) -> Self {
        Self
    }
}

#[derive(Debug)]
struct Inner {
    writer: Writer,
    waiting: HashMap<Sequence, oneshot::Sender<Option<Decided>>>,
}

/// This node's records that are not decided yet.
///
/// Its lock is a leaf: no other lock is taken while it is held.
#[derive(Debug)]
pub(crate) struct Appender {
    inner: Mutex<Inner>,
    wake: Notify,
}

impl Appender {
    /// Returns an appender without records; `seed` spreads the pauses.
    pub(crate) fn new(seed: u64) -> Self {
        let backoff = Backoff::new(PAUSES.0, PAUSES.1, seed);
        let inner = Inner {
            writer: Writer::new(Limits::default(), backoff),
            waiting: HashMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
            wake: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Settles a record that was read back.
    pub(crate) fn decided(&self, sequence: Sequence, offset: Offset, outcome: Outcome) {
        let mut inner = self.lock();
        inner.writer.decided(sequence);
        if let Some(waiting) = inner.waiting.remove(&sequence) {
            let _ = waiting.send(Some(Decided { offset, outcome }));
        }
    }

    /// Settles the records up to `through`, whose outcomes stay unknown.
    pub(crate) fn passed(&self, through: Sequence) {
        let mut inner = self.lock();
        for sequence in inner.writer.passed(through) {
            if let Some(waiting) = inner.waiting.remove(&sequence) {
                let _ = waiting.send(None);
            }
        }
    }

    /// Returns the number of changes that callers wait for.
    pub(crate) fn undecided(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Withdraws a record that is no longer wanted, if it was never sent.
    fn withdraw(&self, sequence: Sequence) -> Undecided {
        let mut inner = self.lock();
        inner.waiting.remove(&sequence);
        match inner.writer.withdraw(sequence) {
            true => Undecided::NotTaken,
            false => Undecided::Unknown,
        }
    }

    /// Queues a change.
    fn submit(
        &self,
        node: &Node,
        change: Change,
    ) -> Result<(Sequence, oneshot::Receiver<Option<Decided>>), Undecided> {
        let mut inner = self.lock();
        let writer = node.identity.writer();
        let encode = |sequence| {
            let record = Record {
                writer,
                sequence,
                change,
            };
            state::encode(&record).map_err(|_| NotQueued)
        };
        let sequence = inner
            .writer
            .submit(encode)
            .map_err(|NotQueued| Undecided::NotTaken)?;
        let (decided, receiver) = oneshot::channel();
        inner.waiting.insert(sequence, decided);
        drop(inner);
        self.wake.notify_one();
        Ok((sequence, receiver))
    }
}

/// Appends a change and waits until it is read back.
///
/// # Errors
///
/// Returns whether the change can still take effect if it is not decided
/// within `patience`.
pub(crate) async fn commit(
    node: &Node,
    change: Change,
    patience: Duration,
) -> Result<Decided, Undecided> {
    let (sequence, decided) = node.writer.submit(node, change)?;
    match timeout(patience, decided).await {
        Ok(Ok(Some(decided))) => Ok(decided),
        Ok(_) => Err(Undecided::Unknown),
        Err(_) => Err(node.writer.withdraw(sequence)),
    }
}

/// Appends batches until the node ends.
pub(crate) async fn run(node: Arc<Node>, store: Store) {
    loop {
        let now = node.clock.now();
        let (batch, wake) = {
            let mut inner = node.writer.lock();
            (inner.writer.batch(now), inner.writer.wake())
        };
        let Some(batch) = batch else {
            let pause = wake.map_or(IDLE, |at| now.until(at).max(Duration::from_millis(1)));
            tokio::select! {
                () = sleep(pause) => {}
                () = node.writer.wake.notified() => {}
                () = node.ended.cancelled() => return,
            }
            continue;
        };
        let result = store.append(&batch).await;
        if let Err(error) = &result {
            debug!(node.log, "append failed"; "error" => %error, "records" => batch.len());
        }
        node.writer
            .lock()
            .writer
            .answered(&result, node.clock.now());
    }
}
