//! Appends this node's own records and reports how each was decided.

use crate::node::Node;
use log::{Backoff, Completion, Limits, Outbox, QueueFull, Store, Submitted, Writer};
use name::Offset;
use state::{Change, Outcome, Record};
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::timeout;

/// The minimum and maximum delay before a failed append is retried.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// The decision on a change, as read back from the log.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Decided {
    /// The offset of its record.
    pub(crate) offset: Offset,
    /// Whether it was accepted or rejected when it was applied.
    pub(crate) outcome: Outcome,
}

/// The result of a change for which no decision was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Undecided {
    /// The record was not appended and never will be.
    NotAppended,
    /// The record may be on the log already, or be appended later.
    Unknown,
}

impl fmt::Display for Undecided {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotAppended => "the change was not taken and has no effect",
            Self::Unknown => "the change is not confirmed and may still take effect",
        })
    }
}

impl std::error::Error for Undecided {}

/// The error for a record that cannot be encoded or queued.
struct NotQueued;

impl From<QueueFull> for NotQueued {
    fn from(_: QueueFull) -> Self {
        Self
    }
}

/// Returns an outbox without records; `seed` randomizes the retry delays.
pub(crate) fn new_outbox(seed: u64) -> Outbox<Decided> {
    let backoff = Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1, seed);
    Outbox::new(Writer::new(Limits::default(), backoff))
}

/// Queues a change.
fn submit(node: &Node, change: Change) -> Result<Submitted<Decided>, Undecided> {
    let writer = node.identity.writer();
    let encode = |sequence| {
        let record = Record {
            writer,
            sequence,
            change,
        };
        state::encode(&record).map_err(|_| NotQueued)
    };
    let submitted = node.outbox.submit(encode);
    submitted.map_err(|NotQueued| Undecided::NotAppended)
}

/// Appends a change and waits until it is read back.
///
/// # Errors
///
/// Returns an error if the change is not decided within `decision_timeout`; the
/// error distinguishes whether the change can still take effect.
pub(crate) async fn commit(
    node: &Node,
    change: Change,
    decision_timeout: Duration,
) -> Result<Decided, Undecided> {
    let submitted = submit(node, change)?;
    match timeout(decision_timeout, submitted.completion).await {
        Ok(Ok(Completion::Confirmed(decided))) => Ok(decided),
        Ok(Ok(Completion::OutcomeUnknown) | Err(_)) => Err(Undecided::Unknown),
        Err(_) if node.outbox.withdraw(submitted.sequence) => Err(Undecided::NotAppended),
        Err(_) => Err(Undecided::Unknown),
    }
}

/// Appends queued records in batches until the node shuts down.
pub(crate) async fn run(node: Arc<Node>, store: Store) {
    tokio::select! {
        () = node.outbox.run(&store, &node.clock) => {}
        () = node.shutdown.cancelled() => {}
    }
}
