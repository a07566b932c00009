//! The planner's driver: claims, state queries to engines, orders.
//!
//! The node with the newest claim in the store is the planner; the claim's position is
//! the fencing token of all its orders, so that claims of a later era of the store have
//! higher tokens. A node claims when it has received no
//! heartbeat from a planner for some time, the holder of the newest claim has not answered
//! either ([`Candidate`]), and its own view of the store is recent. A
//! planner whose view becomes too old steps down, since it would not notice that
//! another planner has superseded it.

use crate::{
    candidate::{Candidate, ClaimOutcome},
    feed_relay::Backlog,
    planning::{KnownServer, Planning},
    probe::{MAX_QUERIES, MAX_QUERIES_SLOW_LINK},
    state::{Shared, Tables},
};
use clock::Moment;
use form::{Demand, Event, Inputs};
use name::{Instance, Service};
use site::{
    Server,
    feed::{self, AppendOutcome},
    node::{self, NodeRecord},
    order::Outcome,
};
use slog::{info, warn};
use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time::sleep;

/// The time between two steps of the planner.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum age of a node's view of the store for a claim.
pub(crate) const MAX_VIEW_AGE_TO_CLAIM: Duration = Duration::from_millis(1_000);

/// The maximum age of the planner's view of the store.
///
/// It exceeds the time of a failed read and its retry.
const MAX_VIEW_AGE_TO_PLAN: Duration = Duration::from_millis(2_000);

/// The planner's state, shared with the tasks that wait for engines; `None` while
/// this node is not the planner.
type PlannerCell = Arc<Mutex<Option<Planning>>>;

/// Claims the planner role when it is vacant, and plans while this node holds it.
///
/// Runs for as long as the node runs.
pub(crate) async fn run(shared: Arc<Shared>, record: NodeRecord) {
    let cell: PlannerCell = Arc::default();
    let mut candidate = Candidate::new(shared.has_slow_link(), shared.now(), &mut rand::rng());
    loop {
        sleep(STEP_INTERVAL).await;
        let now = shared.now();
        if let Some(token) = planning_token(&cell) {
            if let Some(reason) = reason_to_step_down(&shared, token, now) {
                step_down(&shared, &cell, token, reason);
                candidate.record_planner(now);
            } else {
                step(&shared, &cell, now);
            }
            continue;
        }
        let asked_since = shared.tables().peers.asked_since();
        let may_plan = may_claim(&shared, now);
        let is_due = candidate.is_due(&mut shared.tables().peers, may_plan, now);
        if is_due {
            let claimed = claim(&shared, &record, &mut candidate).await;
            if let Some(token) = candidate.record_claim(claimed, shared.now()) {
                start_planning(&shared, &cell, token);
            }
        }
        let mut tables = shared.tables();
        tables.is_view_wanted = candidate.wants_view(&tables.peers, now);
        let peers = &tables.peers;
        let is_new_question = |since| Some(since) != asked_since;
        if peers.asked_since().is_some_and(is_new_question) {
            shared.request_heartbeat();
        }
        if peers.lacks_asked_record() {
            shared.request_node_records();
        }
        drop(tables);
    }
}

/// Returns this node's fencing token, if it is the planner.
fn planning_token(cell: &PlannerCell) -> Option<u64> {
    let cell = cell.lock().unwrap_or_else(PoisonError::into_inner);
    cell.as_ref().map(|planning| planning.token)
}

/// Returns whether this node may claim.
fn may_claim(shared: &Shared, now: Moment) -> bool {
    let tables = shared.tables();
    let confirmed = tables.servers_confirmed;
    !shared.is_stopping()
        && !tables.reach.is_in_doubt()
        && tables.config.is_some()
        && confirmed.is_some_and(|at| now.since(at) < MAX_VIEW_AGE_TO_CLAIM)
}

/// Returns why this node must step down as the planner, if it must.
fn reason_to_step_down(shared: &Shared, token: u64, now: Moment) -> Option<&'static str> {
    let tables = shared.tables();
    let confirmed = tables.servers_confirmed;
    if tables.peers.highest_token() > token {
        Some("heartbeat from a newer planner")
    } else if feed::era(token) < tables.era.latest() {
        Some("claim of an earlier era of the store")
    } else if shared.is_stopping() {
        Some("node stopping")
    } else if tables.reach.isolated_since().is_some() {
        Some("backend servers unreachable from this node")
    } else if confirmed.is_none_or(|at| now.since(at) > MAX_VIEW_AGE_TO_PLAN) {
        Some("view of the store too old")
    } else {
        None
    }
}

/// Steps down as the planner, if `token` is still this node's token.
fn step_down(shared: &Arc<Shared>, cell: &PlannerCell, token: u64, reason: &str) {
    let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
    // A result of an order from an earlier term must not end a later one.
    if guard.take_if(|planning| planning.token == token).is_none() {
        return;
    }
    drop(guard);
    let mut tables = shared.tables();
    tables.peers.own_token = None;
    tables.peers.dead_engines.clear();
    shared.request_heartbeat();
    info!(shared.log, "planner stepped down"; "token" => token, "reason" => reason);
}

/// Starts planning with a fencing token.
fn start_planning(shared: &Arc<Shared>, cell: &PlannerCell, token: u64) {
    let now = shared.now();
    let mut tables = shared.tables();
    let millis = |at: Option<Moment>| at.map(|at| now.since(at).as_millis() as u64);
    let last = tables.peers.last_planner();
    info!(shared.log, "planner started"; "token" => token, "has_slow_link" => shared.has_slow_link(),
        "after" => last.map(|(node, _)| node.as_str().to_owned()),
        "silent_ms" => millis(last.and_then(|(_, at)| at)),
        "asked_ms" => millis(tables.peers.asked_since()));
    tables.peers.own_token = Some(token);
    // Relayed changes omit those that matter to the planner only, so the planner
    // lists all entries again. The backlog starts at the offset that this node had
    // applied, so that the other nodes need not read the feed.
    let known = tables.servers_offset.take();
    tables.peers.backlog = Backlog::starting_at(known.unwrap_or(0));
    drop(tables);
    shared.request_heartbeat();
    // Nodes that this one does not know yet would miss its heartbeats.
    shared.request_node_records();
    let planning = Planning::new(token);
    *cell.lock().unwrap_or_else(PoisonError::into_inner) = Some(planning);
}

/// Appends a claim, on the condition that no newer one exists.
async fn claim(
    shared: &Arc<Shared>,
    record: &NodeRecord,
    candidate: &mut Candidate,
) -> ClaimOutcome {
    let read = (shared.platform.read_claims)(candidate.cursor(), Duration::ZERO).await;
    let batch = match read {
        Ok(batch) => batch,
        Err(error) => {
            warn!(shared.log, "reading planner claims failed"; "error" => %error);
            return ClaimOutcome::Unknown;
        }
    };
    let own = node::PlannerClaim {
        node: record.node.clone(),
        incarnation: record.incarnation,
    };
    let read = {
        let peers = &mut shared.tables().peers;
        candidate.read_claims(batch, &own, peers, shared.now())
    };
    let end = match read {
        Ok(end) => end,
        Err(outcome) => return outcome,
    };
    if shared.tables().peers.has_planner(shared.now()) {
        return ClaimOutcome::Superseded;
    }
    match (shared.platform.append_claim)((end, own)).await {
        Ok(outcome) => {
            if let AppendOutcome::Conflict(end) = outcome {
                info!(shared.log, "planner claim superseded"; "end" => end);
            }
            candidate.record_append(outcome)
        }
        Err(error) => {
            warn!(shared.log, "planner claim failed, outcome unknown"; "error" => %error);
            ClaimOutcome::Unknown
        }
    }
}

/// Runs one step: queries engines, plans, and sends orders.
fn step(shared: &Arc<Shared>, cell: &PlannerCell, now: Moment) {
    let (config, servers, demand, suspects, is_listed, is_in_doubt) = {
        let tables = shared.tables();
        let mut demand = tables.peers.demand(now);
        for (model, replicas) in tables.demand.replicas(now) {
            *demand.entry(model).or_default() += replicas;
        }
        for (model, factor) in tables.levels.replica_factors() {
            if let Some(replicas) = demand.get_mut(&model) {
                *replicas *= factor;
            }
        }
        let fleet = &tables.fleet;
        let listed = fleet.servers().map(|s| (s, true));
        let servers: Vec<KnownServer> = listed
            .chain(fleet.removed().map(|s| (s, false)))
            .map(|(server, is_listed)| KnownServer {
                server: server.clone(),
                is_in_service: !fleet.is_taken_out(&server.domain),
                is_listed,
            })
            .collect();
        let is_listed = tables.servers_offset.is_some();
        let suspects = suspects(&tables, now);
        let is_in_doubt = tables.reach.is_in_doubt();
        let config = tables.config.clone();
        (config, servers, demand, suspects, is_listed, is_in_doubt)
    };
    let (Some(config), true) = (config, is_listed) else {
        return;
    };
    let has_traffic = !demand.is_empty();
    let demand = Demand { replicas: demand };
    let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(planning) = guard.as_mut() else {
        return;
    };
    let max_queries = if shared.has_slow_link() {
        MAX_QUERIES_SLOW_LINK
    } else {
        MAX_QUERIES
    };
    for query in planning.due_queries(&servers, &config, &suspects, max_queries, now) {
        tokio::spawn(query_engine(
            Arc::clone(shared),
            Arc::clone(cell),
            planning.token,
            query,
        ));
    }
    // Engines that only this node cannot reach are not dead.
    if is_in_doubt || planning.probes.is_isolated() {
        return;
    }
    let dead = planning.probes.dead_engines();
    let mut tables = shared.tables();
    tables.peers.dead_engines.clone_from(&dead);
    let unlisted = servers.iter().filter(|known| !known.is_listed);
    let unlisted = unlisted.filter(|known| planning.probes.is_member(&known.server));
    let unlisted = unlisted.map(|known| (known.server.id.clone(), known.server.incarnation));
    let mut is_changed = tables.fleet.set_unlisted(unlisted);
    is_changed |= tables.fleet.set_dead(dead);
    if is_changed {
        shared.update_targets(&mut tables);
        shared.request_heartbeat();
    }
    drop(tables);
    let by_id: HashMap<&Instance, &Server> =
        servers.iter().map(|k| (&k.server.id, &k.server)).collect();
    for (service, engine_spec) in config.engines() {
        let has_unrepeatable = config.has_unrepeatable_routes(service);
        let inputs = Inputs {
            engine_spec,
            demand: &demand,
            has_traffic,
            load_window: shared.settings.bounds.load_window,
        };
        let token = planning.token;
        let decided = planning.plan(service, &servers, has_unrepeatable, &inputs, now);
        for event in &decided.events {
            log_event(shared, token, event);
        }
        for send in decided.orders {
            let server = by_id[&send.engine].clone();
            tokio::spawn(send_order(
                Arc::clone(shared),
                Arc::clone(cell),
                service.clone(),
                server,
                send,
            ));
        }
    }
}

/// Returns the members of replicas that are stalled for all nodes.
fn suspects(tables: &Tables, now: Moment) -> HashSet<Instance> {
    let replicas = tables.targets.iter().filter(|t| t.model.is_some());
    let stalled = replicas.filter(|t| tables.load.work(&t.server, now).is_stalled);
    let members = stalled.flat_map(|t| t.members.iter().map(|(id, _)| id.clone()));
    members.collect()
}

/// Logs a decision of the planner.
fn log_event(shared: &Shared, token: u64, event: &Event) {
    match event {
        Event::FormationStarted {
            replica,
            model,
            members,
            scarcity,
            joins,
        } => info!(shared.log, "replica formation planned"; "token" => token,
            "replica" => %replica, "model" => %model, "members" => ?members,
            "scarcity" => scarcity, "joins" => ?joins),
        Event::FormationEnded { replica, is_open } => info!(shared.log, "replica formation ended";
            "token" => token, "replica" => %replica, "is_open" => is_open),
        Event::ReplicaReclaimed {
            replica,
            scarcer,
            scarcity,
        } => info!(shared.log, "replica released for scarcer model"; "token" => token,
            "replica" => %replica, "scarcer" => %scarcer, "scarcity" => scarcity),
        Event::ServingChanged {
            replicas,
            reserve,
            unloaded,
            loads,
        } => info!(shared.log, "replicas serving";
            "token" => token, "replicas" => ?replicas, "reserve" => reserve,
            "unloaded" => unloaded, "loads" => loads),
    }
}

/// Queries the state of one engine.
async fn query_engine(
    shared: Arc<Shared>,
    cell: PlannerCell,
    token: u64,
    query: crate::probe::Query,
) {
    let server = &query.server;
    let answer = (shared.platform.fetch_report)((server.address, server.id.clone())).await;
    let reason = answer.as_ref().err().map(ToString::to_string);
    if reason.is_some() {
        shared.record_unreachable(&server.id);
    }
    let now = shared.now();
    let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(planning) = guard.as_mut().filter(|planning| planning.token == token) else {
        return;
    };
    match planning.probes.record_answer(&query, answer, now) {
        Some(true) => warn!(shared.log, "engine found dead"; "server" => %server.id,
            "born" => server.incarnation, "error" => reason),
        Some(false) => info!(shared.log, "engine answers again"; "server" => %server.id),
        None => {}
    }
}

/// Sends one order, and records its outcome.
async fn send_order(
    shared: Arc<Shared>,
    cell: PlannerCell,
    service: Service,
    server: Server,
    send: form::OutgoingOrder,
) {
    let order = send.order.clone();
    let token = order.token;
    let outcome = (shared.platform.send_order)((server.address, server.id.clone(), order)).await;
    info!(shared.log, "order sent"; "server" => %server.id, "command" => send.order.command.as_str(),
        "what" => ?send.order.command, "token" => token,
        "sequence" => send.order.expected_sequence, "outcome" => ?outcome);
    shared.metrics.count("orders", send.order.command.as_str());
    let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(planning) = guard.as_mut().filter(|planning| planning.token == token)
        && let Some(planner) = planning.planners.get_mut(&service)
    {
        planner.record_outcome(&send.engine, &send.order, outcome, shared.now());
    }
    drop(guard);
    if outcome == Outcome::Fenced {
        step_down(&shared, &cell, token, "order fenced by a newer token");
    }
}

#[cfg(test)]
mod tests;
