//! Guards that return a slot however a task ends.

use crate::{
    node::Node,
    serve::{
        room::{self, Wish},
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

/// The time by which a server has noticed that a connection was closed and has
/// stopped the work.
const CUT_REST: Duration = Duration::from_millis(500);

/// A lease in use; dropping it without [`Hold::finish`] counts as a failure.
#[derive(Debug)]
pub(crate) struct Hold {
    node: Arc<Node>,
    lease: Option<Lease>,
    share: Share,
    /// Whether the server may have work in progress for it.
    is_sent: bool,
}

/// What the request took from its account's share when it left the queue.
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

    /// Notes that the request is sent from now on.
    pub(crate) fn send(&mut self) {
        self.is_sent = true;
    }

    /// Returns the slot after the request was cut off, once the server has
    /// noticed: a cold one might not bear another request before.
    pub(crate) fn cut(mut self, ending: Ending, tokens: u64) {
        self.settle(tokens);
        if ending == Ending::Reset {
            let now = self.node.clock.now();
            let instance = Arc::clone(&self.lease().offer);
            self.node.servers().reset(&instance.instance, now);
        }
        self.rest();
    }

    /// Returns the slot after [`CUT_REST`].
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

    /// Returns the slot with what its use showed.
    ///
    /// `tokens` is what the request came to, prompt and answer.
    pub(crate) fn finish(mut self, ending: Ending, first_token: Option<Duration>, tokens: u64) {
        self.settle(tokens);
        self.put_back(Completion {
            ending,
            first_token,
        });
    }

    /// Corrects the account's share.
    fn settle(&mut self, tokens: u64) {
        let Share {
            target,
            account,
            tokens: estimated,
        } = &self.share;
        self.node
            .slot_queue()
            .settle(target, account, *estimated, tokens);
        self.share.tokens = tokens;
    }

    /// Returns the slot and lets the next request have it.
    fn put_back(&mut self, completion: Completion) {
        if let Some(lease) = self.lease.take() {
            let now = self.node.clock.now();
            self.node.servers().release(lease, completion, now);
            room::pump(&self.node);
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

/// A request that waits for a lease; dropping it returns one that came too late.
#[derive(Debug)]
pub(crate) struct Waiting {
    node: Arc<Node>,
    granted: oneshot::Receiver<Lease>,
    share: Share,
}

impl Waiting {
    /// Starts to wait.
    ///
    /// # Errors
    ///
    /// Returns an error that says not-run if there is no room to wait or no time.
    pub(crate) fn new(node: &Arc<Node>, wish: Wish) -> Result<Self, Error> {
        let share = Share {
            target: wish.target.clone(),
            account: wish.account.clone(),
            tokens: wish.tokens,
        };
        let granted = room::wait(node, wish)?;
        Ok(Self {
            node: Arc::clone(node),
            granted,
            share,
        })
    }
}

impl Future for Waiting {
    type Output = Result<Hold, Error>;

    /// Gives the lease, or an error that says not-run once the wait is over.
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
