//! Guards that release a slot however a task ends.

use crate::{
    node::Node,
    serve::{
        queue::{self, SlotRequest},
        servers::{Lease, Target},
    },
};
use admit::slot::{Completion, Ending};
use name::Account;
use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{runtime::Handle, sync::oneshot, time::sleep};
use verdict::{Error, Kind};

/// The delay before the slot of an aborted request is released.
///
/// By then the server has detected the closed connection and stopped the work.
const ABORT_RELEASE_DELAY: Duration = Duration::from_millis(500);

/// A lease in use; dropping it without [`SlotGuard::release`] counts as a failure.
///
/// If the request may have been sent, the drop releases the slot after
/// [`ABORT_RELEASE_DELAY`].
#[derive(Debug)]
pub(crate) struct SlotGuard {
    node: Arc<Node>,
    lease: Option<Lease>,
    charge: Charge,
    /// Whether the request may be in progress at the server.
    is_sent: bool,
}

/// The tokens charged to the account's fair share when the request left the queue.
#[derive(Debug, Clone)]
struct Charge {
    target: Target,
    account: Account,
    tokens: u64,
}

impl SlotGuard {
    /// Returns the lease.
    pub(crate) fn lease(&self) -> &Lease {
        self.lease
            .as_ref()
            .expect("the lease is set until the guard is consumed")
    }

    /// Marks the request as possibly sent.
    pub(crate) fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Releases the slot of an aborted request after [`ABORT_RELEASE_DELAY`].
    ///
    /// Until the server has stopped the work, a cold server might not have the
    /// capacity for another request. [`Ending::Reset`] also reports a connection
    /// reset of the server.
    pub(crate) fn release_after_abort(mut self, ending: Ending, tokens: u64) {
        self.reconcile_charge(tokens);
        if ending == Ending::Reset {
            let now = self.node.clock.now();
            let offer = Arc::clone(&self.lease().offer);
            self.node
                .servers()
                .record_connection_reset(&offer.instance, now);
        }
        self.release_after_delay();
    }

    /// Releases the slot after [`ABORT_RELEASE_DELAY`], or at once outside a runtime.
    fn release_after_delay(&mut self) {
        let failed = Completion {
            ending: Ending::Failed,
            first_token: None,
        };
        let Ok(runtime) = Handle::try_current() else {
            return self.release_now(failed);
        };
        let mut delayed = Self {
            node: Arc::clone(&self.node),
            lease: self.lease.take(),
            charge: self.charge.clone(),
            is_sent: false,
        };
        runtime.spawn(async move {
            sleep(ABORT_RELEASE_DELAY).await;
            delayed.release_now(failed);
        });
    }

    /// Releases the slot and reports how the request ended.
    ///
    /// `tokens` is the actual number of tokens of the prompt and the answer.
    pub(crate) fn release(mut self, ending: Ending, first_token: Option<Duration>, tokens: u64) {
        self.reconcile_charge(tokens);
        self.release_now(Completion {
            ending,
            first_token,
        });
    }

    /// Corrects the charge to the account's fair share to `tokens`.
    fn reconcile_charge(&mut self, tokens: u64) {
        let Charge {
            target,
            account,
            tokens: estimated,
        } = &self.charge;
        self.node
            .slot_queue()
            .reconcile(target, account, *estimated, tokens);
        self.charge.tokens = tokens;
    }

    /// Releases the slot and grants it to the next request in the queue.
    fn release_now(&mut self, completion: Completion) {
        if let Some(lease) = self.lease.take() {
            let now = self.node.clock.now();
            self.node.servers().release(lease, completion, now);
            queue::grant_free_slots(&self.node);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if self.lease.is_none() {
            return;
        }
        self.reconcile_charge(self.charge.tokens);
        if self.is_sent {
            return self.release_after_delay();
        }
        self.release_now(Completion {
            ending: Ending::Failed,
            first_token: None,
        });
    }
}

/// A future that resolves to the guard of a granted slot.
///
/// Dropping it releases a slot that was granted but not received.
#[derive(Debug)]
pub(crate) struct SlotWait {
    node: Arc<Node>,
    granted: oneshot::Receiver<Lease>,
    charge: Charge,
}

impl SlotWait {
    /// Enqueues a slot request.
    ///
    /// # Errors
    ///
    /// Returns an error with verdict not-run if the queue is full or the deadline
    /// is too close.
    pub(crate) fn new(node: &Arc<Node>, request: SlotRequest) -> Result<Self, Error> {
        let charge = Charge {
            target: request.target.clone(),
            account: request.account.clone(),
            tokens: request.tokens,
        };
        let granted = queue::enqueue(node, request)?;
        Ok(Self {
            node: Arc::clone(node),
            granted,
            charge,
        })
    }
}

impl Future for SlotWait {
    type Output = Result<SlotGuard, Error>;

    /// Resolves to the guard, or to an error with verdict not-run after the deadline.
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let granted = Pin::new(&mut self.granted).poll(cx);
        granted.map(|lease| match lease {
            Ok(lease) => Ok(SlotGuard {
                node: Arc::clone(&self.node),
                lease: Some(lease),
                charge: self.charge.clone(),
                is_sent: false,
            }),
            Err(_) => Err(Error::not_run(
                Kind::Deadline,
                "no slot became free in time",
            )),
        })
    }
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        self.granted.close();
        if let Ok(lease) = self.granted.try_recv() {
            drop(SlotGuard {
                node: Arc::clone(&self.node),
                lease: Some(lease),
                charge: self.charge.clone(),
                is_sent: false,
            });
        }
    }
}
