//! Guards that return a slot however a task ends.

use crate::{
    node::Node,
    serve::{
        room::{self, Wish},
        servers::Lease,
    },
};
use admit::slot::{Completion, Ending};
use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::sync::oneshot;
use verdict::{Error, Kind};

/// A lease in use; dropping it without [`Hold::finish`] counts as a failure.
#[derive(Debug)]
pub(crate) struct Hold {
    node: Arc<Node>,
    lease: Option<Lease>,
}

impl Hold {
    /// Returns the lease.
    pub(crate) fn lease(&self) -> &Lease {
        self.lease.as_ref().expect("a lease is held until the guard is consumed")
    }

    /// Returns the slot with what its use showed.
    pub(crate) fn finish(mut self, ending: Ending, first_token: Option<Duration>) {
        self.put_back(Completion { ending, first_token });
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
        self.put_back(Completion { ending: Ending::Failed, first_token: None });
    }
}

/// A request that waits for a lease; dropping it returns one that came too late.
#[derive(Debug)]
pub(crate) struct Waiting {
    node: Arc<Node>,
    granted: oneshot::Receiver<Lease>,
}

impl Waiting {
    /// Starts to wait.
    ///
    /// # Errors
    ///
    /// Returns an error that says not-run if there is no room to wait or no time.
    pub(crate) fn new(node: &Arc<Node>, wish: Wish) -> Result<Self, Error> {
        let granted = room::wait(node, wish)?;
        Ok(Self { node: Arc::clone(node), granted })
    }
}

impl Future for Waiting {
    type Output = Result<Hold, Error>;

    /// Gives the lease, or an error that says not-run once the wait is over.
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let granted = Pin::new(&mut self.granted).poll(cx);
        granted.map(|lease| match lease {
            Ok(lease) => Ok(Hold { node: Arc::clone(&self.node), lease: Some(lease) }),
            Err(_) => Err(Error::not_run(Kind::Deadline, "no slot became free in time")),
        })
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.granted.close();
        if let Ok(lease) = self.granted.try_recv() {
            drop(Hold { node: Arc::clone(&self.node), lease: Some(lease) });
        }
    }
}
