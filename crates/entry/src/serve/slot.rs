//! Guards that release a slot however a task ends.

use crate::{
    node::Node,
    serve::{
        queue::{self, Wish},
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
const CUT_REST: Duration = Duration::from_millis(500);

/// A lease in use; dropping it without [`Hold::finish`] counts as a failure.
///
/// If the request may have been sent, the drop releases the slot after
/// [`CUT_REST`].
#[derive(Debug)]
pub(crate) struct Hold {
    node: Arc<Node>,
    lease: Option<Lease>,
    share: Share,
    /// Whether the request may be in progress at the server.
    is_sent: bool,
}

/// The tokens charged to the account's fair share when the request left the queue.
#[derive(Debug, Clone)]
struct Share {
    target: Target,
    account: Account,
    tokens: u64,
}

impl Hold {
    /// Returns the lease.
    pub(crate) fn lease(&self) -> &Lease {
        self.lease
            .as_ref()
            .expect("a lease is held until the guard is consumed")
    }

    /// Marks the request as possibly sent.
    pub(crate) fn send(&mut self) {
        self.is_sent = true;
    }

    /// Releases the slot of an aborted request after [`CUT_REST`].
    ///
    /// Until the server has stopped the work, a cold server might not have the
    /// capacity for another request. [`Ending::Reset`] also reports a connection
    /// reset of the server.
    pub(crate) fn cut(mut self, ending: Ending, tokens: u64) {
        self.settle(tokens);
        if ending == Ending::Reset {
            let now = self.node.clock.now();
            let instance = Arc::clone(&self.lease().offer);
            self.node.servers().reset(&instance.instance, now);
        }
        self.rest();
    }

    /// Releases the slot after [`CUT_REST`], or at once outside a runtime.
    fn rest(&mut self) {
        let failed = Completion {
            ending: Ending::Failed,
            first_token: None,
        };
        let Ok(runtime) = Handle::try_current() else {
            return self.put_back(failed);
        };
        let mut rested = Self {
            node: Arc::clone(&self.node),
            lease: self.lease.take(),
            share: self.share.clone(),
            is_sent: false,
        };
        runtime.spawn(async move {
            sleep(CUT_REST).await;
            rested.put_back(failed);
        });
    }

    /// Releases the slot and reports how the request ended.
    ///
    /// `tokens` is the actual number of tokens of the prompt and the answer.
    pub(crate) fn finish(mut self, ending: Ending, first_token: Option<Duration>, tokens: u64) {
        self.settle(tokens);
        self.put_back(Completion {
            ending,
            first_token,
        });
    }

    /// Corrects the charge to the account's fair share to `tokens`.
    fn settle(&mut self, tokens: u64) {
        let Share {
            target,
            account,
            tokens: estimated,
        } = &self.share;
        self.node.room().settle(target, account, *estimated, tokens);
        self.share.tokens = tokens;
    }

    /// Releases the slot and grants it to the next request in the queue.
    fn put_back(&mut self, completion: Completion) {
        if let Some(lease) = self.lease.take() {
            let now = self.node.clock.now();
            self.node.servers().release(lease, completion, now);
            queue::pump(&self.node);
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.lease.is_none() {
            return;
        }
        self.settle(self.share.tokens);
        if self.is_sent {
            return self.rest();
        }
        self.put_back(Completion {
            ending: Ending::Failed,
            first_token: None,
        });
    }
}

/// A future that resolves to the guard of a granted slot.
///
/// Dropping it releases a slot that was granted but not received.
#[derive(Debug)]
pub(crate) struct Waiting {
    node: Arc<Node>,
    granted: oneshot::Receiver<Lease>,
    share: Share,
}

impl Waiting {
    /// Enqueues a slot request.
    ///
    /// # Errors
    ///
    /// Returns an error with verdict not-run if the queue is full or the deadline
    /// is too close.
    pub(crate) fn new(node: &Arc<Node>, wish: Wish) -> Result<Self, Error> {
        let share = Share {
            target: wish.target.clone(),
            account: wish.account.clone(),
            tokens: wish.tokens,
        };
        let granted = queue::wait(node, wish)?;
        Ok(Self {
            node: Arc::clone(node),
            granted,
            share,
        })
    }
}

impl Future for Waiting {
    type Output = Result<Hold, Error>;

    /// Resolves to the guard, or to an error with verdict not-run after the deadline.
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let granted = Pin::new(&mut self.granted).poll(cx);
        granted.map(|lease| match lease {
            Ok(lease) => Ok(Hold {
                node: Arc::clone(&self.node),
                lease: Some(lease),
                share: self.share.clone(),
                is_sent: false,
            }),
            Err(_) => Err(Error::not_run(
                Kind::Deadline,
                "no slot became free in time",
            )),
        })
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.granted.close();
        if let Ok(lease) = self.granted.try_recv() {
            drop(Hold {
                node: Arc::clone(&self.node),
                lease: Some(lease),
                share: self.share.clone(),
                is_sent: false,
            });
        }
    }
}
