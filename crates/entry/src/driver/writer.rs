//! Appends this node's own records and tells what the fold made of each.

use crate::node::Node;
use log::{Backoff, Completion, Limits, Outbox, QueueFull, Store, Submitted, Writer};
use name::Offset;
use state::{Change, Outcome, Record};
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::timeout;

/// The shortest and longest pause after a failed append.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

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

impl From<QueueFull> for NotQueued {
    fn from(_: QueueFull) -> Self {
        Self
    }
}

/// Returns an outbox without records; `seed` spreads the pauses.
pub(crate) fn outbox(seed: u64) -> Outbox<Decided> {
    let backoff = Backoff::new(PAUSES.0, PAUSES.1, seed);
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
    submitted.map_err(|NotQueued| Undecided::NotTaken)
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
    let submitted = submit(node, change)?;
    match timeout(patience, submitted.completion).await {
        Ok(Ok(Completion::Confirmed(decided))) => Ok(decided),
        Ok(Ok(Completion::OutcomeUnknown) | Err(_)) => Err(Undecided::Unknown),
        Err(_) if node.outbox.withdraw(submitted.sequence) => Err(Undecided::NotTaken),
        Err(_) => Err(Undecided::Unknown),
    }
}

/// Appends batches until the node ends.
pub(crate) async fn run(node: Arc<Node>, store: Store) {
    tokio::select! {
        () = node.outbox.run(&store, &node.clock) => {}
        () = node.ended.cancelled() => {}
    }
}
