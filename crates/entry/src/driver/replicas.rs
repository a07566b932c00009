//! Proposes replicas, and orders engines to form them.

use crate::{
    driver::writer::{self, Undecided},
    node::Node,
};
use backend::{engine, proto};
use clock::Moment;
use member::Status;
use replica::{Command, Order, OrderTracker, Pacer, Policy, orders, propose};
use slog::{debug, info};
use state::{Change, Outcome};
use std::{
    future::{Ready, ready},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// The time between two looks at the replicas.
pub(crate) const EACH: Duration = Duration::from_millis(250);

/// How long a proposal may wait for its decision.
const PATIENCE: Duration = Duration::from_secs(5);

/// What this node remembers of its proposals and orders.
#[derive(Debug)]
pub(crate) struct Former {
    policy: Policy,
    pacer: Mutex<Pacer>,
    ledger: Mutex<OrderTracker>,
}

impl Former {
    /// Returns a former without history.
    pub(crate) fn new(policy: Policy, pacer: Pacer, ledger: OrderTracker) -> Self {
        Self {
            policy,
            pacer: Mutex::new(pacer),
            ledger: Mutex::new(ledger),
        }
    }
}

/// Looks once at the replicas, proposes and orders.
pub(crate) fn run(node: Arc<Node>, former: Arc<Former>) -> Ready<()> {
    let now = node.clock.now();
    let status = node.status(now);
    if !node.follower().is_ready() || !status.accepts_work() {
        return ready(());
    }
    let (changes, due) = decide(&node, &former, status, now);
    for change in changes {
        tokio::spawn(append(Arc::clone(&node), change));
    }
    for order in due {
        tokio::spawn(send(Arc::clone(&node), order));
    }
    ready(())
}

/// Returns the changes to propose and the orders to send.
fn decide(node: &Node, former: &Former, status: Status, now: Moment) -> (Vec<Change>, Vec<Order>) {
    let control = node.control();
    let rank = rank(node);
    let is_fresh = status == Status::Fresh;
    let view = node.engines();
    let mut pacer = former.pacer.lock().unwrap_or_else(PoisonError::into_inner);
    let changes = match is_fresh {
        true => propose(
            &control.state,
            &control.lists,
            &view,
            &former.policy,
            rank,
            now,
            &mut pacer,
        ),
        false => Vec::new(),
    };
    let mut ledger = former.ledger.lock().unwrap_or_else(PoisonError::into_inner);
    let due = orders(
        &control.state,
        &control.lists,
        &view,
        is_fresh,
        now,
        &mut ledger,
    );
    (changes, due)
}

/// Returns this node's rank among the epoch's nodes for proposals.
fn rank(node: &Node) -> usize {
    let epoch = &node.control().state.epoch;
    let own = node.identity.node.as_str();
    name::rendezvous_rank(
        "replicas",
        own,
        epoch.peers.iter().map(|peer| peer.node.as_str()),
    )
}

/// Appends a proposal and logs what became of it.
async fn append(node: Arc<Node>, change: Change) {
    let text = describe(&change);
    match writer::commit(&node, change, PATIENCE).await {
        Ok(decided) if decided.outcome == Outcome::Accepted => {
            info!(node.log, "proposal accepted"; "change" => text, "offset" => decided.offset.0);
        }
        Ok(decided) => {
            debug!(node.log, "proposal lost"; "change" => text, "outcome" => ?decided.outcome);
        }
        Err(undecided @ (Undecided::NotTaken | Undecided::Unknown)) => {
            debug!(node.log, "proposal undecided"; "change" => text, "reason" => %undecided);
        }
    }
}

/// Returns a change in a few words.
fn describe(change: &Change) -> String {
    match change {
        Change::Assign {
            replica, members, ..
        } => {
            let members: Vec<&str> = members.iter().map(name::Instance::as_str).collect();
            format!("assign {replica} to {}", members.join(", "))
        }
        Change::Release { replica, .. } => format!("release {replica}"),
        _ => "other".into(),
    }
}

/// Sends an order, unless its deadline passes before the write.
async fn send(node: Arc<Node>, order: Order) {
    let deadline = order.deadline;
    let fences = order.fences;
    let clock = node.clock.clone();
    let checked = Arc::clone(&node);
    // An engine that ignores fencing numbers is told nothing on old state.
    let still_allowed = move || {
        let now = clock.now();
        now < deadline && (fences || checked.status(now) == Status::Fresh)
    };
    let message = message(order.command);
    if let Err(failure) = engine::order(&node.pool, order.address, &message, still_allowed).await {
        debug!(node.log, "order failed"; "instance" => %order.instance, "error" => %failure);
    }
}

/// Converts an order.
fn message(command: Command) -> proto::Order {
    match command {
        Command::Join {
            replica,
            generation,
            member,
            peers,
            model,
            version,
            adapters,
        } => proto::Order::Join {
            replica,
            generation,
            member,
            peers,
            model,
            version,
            adapters,
        },
        Command::Leave { generation } => proto::Order::Leave { generation },
    }
}
