//! Appends this node's own records and tells what the fold made of each.

use crate::node::Node;
use log::{Backoff, Decision, Full, Limits, Outbox, Store, Submitted, Writer};
use name::Offset;
use state::{Change, Outcome, Record};
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::timeout;

/// The shortest and longest pause after a failed append.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

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
    NotAppended,
    /// The record may be on the log, or come to be on it.
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

/// A record that cannot be queued.
struct NotQueued;

impl From<Full> for NotQueued {
    fn from(_: Full) -> Self {
        Self
    }
}

/// Returns an outbox without records; `seed` spreads the pauses.
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
/// Returns whether the change can still take effect if it is not decided
/// within `patience`.
pub(crate) async fn commit(
    node: &Node,
    change: Change,
    decision_timeout: Duration,
) -> Result<Decided, Undecided> {
    let submitted = submit(node, change)?;
    match timeout(decision_timeout, submitted.decision).await {
        Ok(Ok(Decision::Read(decided))) => Ok(decided),
        Ok(Ok(Decision::Passed) | Err(_)) => Err(Undecided::Unknown),
        Err(_) if node.outbox.withdraw(submitted.sequence) => Err(Undecided::NotAppended),
        Err(_) => Err(Undecided::Unknown),
    }
}

/// Appends batches until the node ends.
pub(crate) async fn run(node: Arc<Node>, store: Store) {
    tokio::select! {
        () = node.outbox.run(&store, &node.clock) => {}
        () = node.shutdown.cancelled() => {}
    }
}
