//! Proposes assignments of replicas, and sends engines the orders to form them.

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

/// The interval between evaluations of the replicas.
pub(crate) const INTERVAL: Duration = Duration::from_millis(250);

/// The time limit for the decision on a proposal.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);

/// The policy for replicas, and the state of this node's proposals and orders.
#[derive(Debug)]
pub(crate) struct Controller {
    policy: Policy,
    pacer: Mutex<Pacer>,
    order_tracker: Mutex<OrderTracker>,
}

impl Controller {
    /// Returns a controller without earlier proposals or orders.
    pub(crate) fn new(policy: Policy, pacer: Pacer, order_tracker: OrderTracker) -> Self {
        Self {
            policy,
            pacer: Mutex::new(pacer),
            order_tracker: Mutex::new(order_tracker),
        }
    }
}

/// Evaluates the replicas once, then proposes changes and sends orders.
pub(crate) fn run(node: Arc<Node>, controller: Arc<Controller>) -> Ready<()> {
    let now = node.clock.now();
    let status = node.status(now);
    if !node.follower().is_ready() || !status.accepts_work() {
        return ready(());
    }
    let (changes, due_orders) = decide(&node, &controller, status, now);
    for change in changes {
        tokio::spawn(commit_proposal(Arc::clone(&node), change));
    }
    for order in due_orders {
        tokio::spawn(send_order(Arc::clone(&node), order));
    }
    ready(())
}

/// Returns the changes to propose and the orders to send.
fn decide(
    node: &Node,
    controller: &Controller,
    status: Status,
    now: Moment,
) -> (Vec<Change>, Vec<Order>) {
    let control = node.control();
    let rank = rank(node);
    let is_fresh = status == Status::Fresh;
    let view = node.engines();
    let mut pacer = controller
        .pacer
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let changes = match is_fresh {
        true => propose(
            &control.state,
            &control.lists,
            &view,
            &controller.policy,
            rank,
            now,
            &mut pacer,
        ),
        false => Vec::new(),
    };
    let mut order_tracker = controller
        .order_tracker
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let due_orders = orders(
        &control.state,
        &control.lists,
        &view,
        is_fresh,
        now,
        &mut order_tracker,
    );
    (changes, due_orders)
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

/// Appends a proposal and logs the result.
async fn commit_proposal(node: Arc<Node>, change: Change) {
    let summary = summarize(&change);
    match writer::commit(&node, change, DECISION_TIMEOUT).await {
        Ok(decided) if decided.outcome == Outcome::Accepted => {
            info!(node.log, "proposal accepted"; "change" => summary, "offset" => decided.offset.0);
        }
        Ok(decided) => {
            debug!(node.log, "proposal not accepted"; "change" => summary, "outcome" => ?decided.outcome);
        }
        Err(undecided @ (Undecided::NotAppended | Undecided::Unknown)) => {
            debug!(node.log, "proposal undecided"; "change" => summary, "reason" => %undecided);
        }
    }
}

/// Returns a short description of a change for the log.
fn summarize(change: &Change) -> String {
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

/// Sends an order, unless its deadline passes before it is written.
async fn send_order(node: Arc<Node>, order: Order) {
    let deadline = order.deadline;
    let fences = order.fences;
    let clock = node.clock.clone();
    let status_source = Arc::clone(&node);
    // An engine that ignores fencing tokens cannot reject an outdated order, so it is
    // sent orders only while this node's state is fresh.
    let is_still_valid = move || {
        let now = clock.now();
        now < deadline && (fences || status_source.status(now) == Status::Fresh)
    };
    let message = order_message(order.command);
    if let Err(failure) = engine::order(&node.pool, order.address, &message, is_still_valid).await {
        debug!(node.log, "sending an order failed"; "instance" => %order.instance, "error" => %failure);
    }
}

/// Converts a command to the engine's message.
fn order_message(command: Command) -> proto::Order {
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
