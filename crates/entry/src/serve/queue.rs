//! Queues of requests waiting for a slot, ordered by weighted fair share.
//!
//! Each target has its own queue, since a request waits only for servers of its
//! target. [`grant_free_slots`] grants free slots to the requests that are next;
//! it runs whenever a slot is released or a survey ends. [`enqueue`] does the same
//! for each request that arrives.

use crate::{
    node::Node,
    serve::servers::{Lease, Servers, Target},
};
use admit::{Bounds, Entry, Queue};
use clock::Moment;
use name::Account;
use std::collections::BTreeMap;
use tokio::sync::oneshot;
use verdict::Error;

/// The number of queues above which empty ones are removed.
///
/// Lists name far fewer targets.
const MAX_QUEUES: usize = 4_096;

/// A request in a queue.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// The prompt's prefix hashes.
    pub(crate) prefix: Vec<u64>,
    /// Keys of the servers that were already tried for this request.
    pub(crate) avoid: Vec<u64>,
    /// Receives the granted lease.
    grant: oneshot::Sender<Lease>,
}

/// A request for a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    /// The client account.
    pub(crate) account: Account,
    /// The weight of the account in the fair share.
    pub(crate) weight: u32,
    /// The index of its class of work in the account's plan.
    pub(crate) class: usize,
    /// The estimated number of tokens.
    pub(crate) tokens: u64,
    /// When the request stops waiting.
    pub(crate) deadline: Moment,
    /// The model or service requested.
    pub(crate) target: Target,
    /// The prompt's prefix hashes.
    pub(crate) prefix: Vec<u64>,
    /// Keys of the servers that were already tried for this request.
    pub(crate) avoid: Vec<u64>,
}

/// The queues of one node, one for each target.
#[derive(Debug)]
pub(crate) struct SlotQueues {
    bounds: Bounds,
    queues: BTreeMap<Target, Queue<Waiter>>,
}

impl SlotQueues {
    /// Returns a node's queues, empty, each limited by `bounds`.
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            queues: BTreeMap::new(),
        }
    }

    /// Enqueues a request; the lease is sent through the returned channel.
    ///
    /// # Errors
    ///
    /// Returns an error with verdict not-run if the queue is full or the deadline
    /// is too close.
    fn enqueue(
        &mut self,
        request: SlotRequest,
        now: Moment,
    ) -> Result<oneshot::Receiver<Lease>, Error> {
        if self.queues.len() >= MAX_QUEUES {
            self.queues.retain(|_, queue| !queue.is_empty());
        }
        let (grant, granted) = oneshot::channel();
        let bounds = &self.bounds;
        let queue = self
            .queues
            .entry(request.target)
            .or_insert_with(|| Queue::new(bounds.clone()));
        let entry = Entry {
            account: request.account,
            weight: request.weight,
            class: request.class,
            tokens: request.tokens,
            deadline: request.deadline,
            item: Waiter {
                prefix: request.prefix,
                avoid: request.avoid,
                grant,
            },
        };
        queue.push(entry, now)?;
        Ok(granted)
    }

    /// Corrects an account's fair share by the error of a token estimate.
    pub(crate) fn reconcile(
        &mut self,
        target: &Target,
        account: &Account,
        estimated: u64,
        actual: u64,
    ) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.reconcile(account, estimated, actual);
        }
    }

    /// Returns the number of requests in all queues.
    pub(crate) fn len(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Grants the free slots of all targets.
    fn grant_slots(&mut self, servers: &mut Servers, now: Moment) {
        for (target, queue) in &mut self.queues {
            // Dropping an expired waiter closes its channel, which ends its wait.
            queue.expire(now);
            grant_target(target, queue, servers, now);
        }
    }
}

/// Grants the free slots of one target to the requests that are next.
fn grant_target(target: &Target, queue: &mut Queue<Waiter>, servers: &mut Servers, now: Moment) {
    while !queue.is_empty() && servers.has_free_slot(target, now) {
        let Some(popped) = queue.pop(now, |_| true) else {
            return;
        };
        let waiter = popped.item;
        if waiter.grant.is_closed() {
            queue.reconcile(&popped.account, popped.tokens, 0);
            continue;
        }
        let mut rng = rand::rng();
        let lease = servers.acquire(target, &waiter.prefix, &waiter.avoid, now, &mut rng);
        let Some(lease) = lease else {
            queue.reconcile(&popped.account, popped.tokens, 0);
            return;
        };
        if let Err(unused) = waiter.grant.send(lease) {
            servers.release_unused(unused, now);
            queue.reconcile(&popped.account, popped.tokens, 0);
        }
    }
}

/// Grants free slots to the requests that are next.
pub(crate) fn grant_free_slots(node: &Node) {
    let now = node.clock.now();
    let mut queues = node.slot_queue();
    let mut servers = node.servers();
    queues.grant_slots(&mut servers, now);
}

/// Enqueues a request for its target and grants free slots.
///
/// # Errors
///
/// Returns an error with verdict not-run if the queue is full or the deadline is
/// too close.
pub(crate) fn enqueue(
    node: &Node,
    request: SlotRequest,
) -> Result<oneshot::Receiver<Lease>, Error> {
    let now = node.clock.now();
    let mut queues = node.slot_queue();
    let granted = queues.enqueue(request, now)?;
    let mut servers = node.servers();
    queues.grant_slots(&mut servers, now);
    Ok(granted)
}
