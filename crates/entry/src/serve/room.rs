//! Requests that wait for a slot, by weighted fair share.
//!
//! Each target has a queue of its own, since a request waits only for servers
//! of its target. [`pump`] grants free slots to the requests that are next; it
//! runs whenever a request arrives, a slot is returned or a survey ends.

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

/// Queues that are kept at most; lists name far fewer targets.
const MAX_QUEUES: usize = 4_096;

/// A request that waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// The prompt's prefix hashes.
    pub(crate) prefix: Vec<u64>,
    /// Servers that failed this request.
    pub(crate) avoid: Vec<u64>,
    /// Where the lease goes.
    grant: oneshot::Sender<Lease>,
}

/// How a request waits.
#[derive(Debug, Clone)]
pub(crate) struct Wish {
    /// The client account.
    pub(crate) account: Account,
    /// The account's share relative to others'.
    pub(crate) weight: u32,
    /// The place of its class in the plan.
    pub(crate) class: usize,
    /// The estimated tokens.
    pub(crate) tokens: u64,
    /// When waiting is of no use any more.
    pub(crate) deadline: Moment,
    /// What it wants.
    pub(crate) target: Target,
    /// The prompt's prefix hashes.
    pub(crate) prefix: Vec<u64>,
    /// Servers that failed this request.
    pub(crate) avoid: Vec<u64>,
}

/// The queues of one node.
#[derive(Debug)]
pub(crate) struct Room {
    bounds: Bounds,
    queues: BTreeMap<Target, Queue<Waiter>>,
}

impl Room {
    /// Returns empty queues with `bounds` each.
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            queues: BTreeMap::new(),
        }
    }

    /// Adds a request; the lease comes through the returned channel.
    ///
    /// # Errors
    ///
    /// Returns an error that says not-run if there is no room to wait or no time.
    fn wait(&mut self, wish: Wish, now: Moment) -> Result<oneshot::Receiver<Lease>, Error> {
        if self.queues.len() >= MAX_QUEUES {
            self.queues.retain(|_, queue| !queue.is_empty());
        }
        let (grant, granted) = oneshot::channel();
        let bounds = &self.bounds;
        let queue = self
            .queues
            .entry(wish.target)
            .or_insert_with(|| Queue::new(bounds.clone()));
        let entry = Entry {
            account: wish.account,
            weight: wish.weight,
            class: wish.class,
            tokens: wish.tokens,
            deadline: wish.deadline,
            item: Waiter {
                prefix: wish.prefix,
                avoid: wish.avoid,
                grant,
            },
        };
        queue.push(entry, now)?;
        Ok(granted)
    }

    /// Corrects an account's share by what an estimate missed.
    pub(crate) fn settle(
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

    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Grants the free slots of all targets.
    fn grant(&mut self, servers: &mut Servers, now: Moment) {
        for (target, queue) in &mut self.queues {
            // Dropping an expired waiter closes its channel.
            queue.expire(now);
            grant_target(target, queue, servers, now);
        }
    }
}

/// Grants the free slots of one target to the requests that are next.
fn grant_target(target: &Target, queue: &mut Queue<Waiter>, servers: &mut Servers, now: Moment) {
    while !queue.is_empty() && servers.has_room(target, now) {
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
            servers.give_back(unused, now);
            queue.reconcile(&popped.account, popped.tokens, 0);
        }
    }
}

/// Grants free slots to the requests that are next.
pub(crate) fn pump(node: &Node) {
    let now = node.clock.now();
    let mut room = node.slot_queue();
    let mut servers = node.servers();
    room.grant(&mut servers, now);
}

/// Adds a request to the queue of its target and grants free slots.
///
/// # Errors
///
/// Returns an error that says not-run if there is no room to wait or no time.
pub(crate) fn wait(node: &Node, wish: Wish) -> Result<oneshot::Receiver<Lease>, Error> {
    let now = node.clock.now();
    let mut room = node.slot_queue();
    let granted = room.wait(wish, now)?;
    let mut servers = node.servers();
    room.grant(&mut servers, now);
    Ok(granted)
}
