//! The planner's driver: claims, questions to engines, orders.
//!
//! The newest claim in the store plans; its offset is the fencing token of all
//! its orders. A node claims when it has not heard from a planner for a while
//! and sees the store itself. A planner that no longer sees the store steps
//! down, since it could not tell that another one has followed it.

use crate::{
    feed_relay::Backlog,
    probe::Probes,
    state::{Shared, Tables},
};
use clock::Moment;
use form::{Demand, Note, Planner, Rates};
use name::{Instance, Service};
use site::{
    Server,
    feed::{Claimed, Cursor},
    node::{self, Card},
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

/// The oldest view of the store with which a node claims.
const MAX_VIEW_AGE_TO_CLAIM: Duration = Duration::from_millis(1_000);

/// The oldest view of the store with which a planner goes on.
///
/// It is above the time of a read that fails and is made again.
const MAX_VIEW_AGE_TO_PLAN: Duration = Duration::from_millis(2_000);

/// The longest pause before a node claims, so that not all claim at once.
const MAX_CLAIM_DELAY_MS: u64 = 150;

/// How much longer a node with a slow link waits, so that one with a fast link
/// plans if there is any.
const SLOW_LINK_CLAIM_DELAY: Duration = Duration::from_millis(300);

/// What the planner of one node has in hand.
#[derive(Debug)]
struct Planning {
    planners: HashMap<Service, Planner>,
    probes: Probes,
    token: u64,
}

/// A server as the tables have it.
#[derive(Debug, Clone)]
struct KnownServer {
    server: Server,
    /// Whether its failure domain may get requests.
    is_allowed: bool,
    /// Whether it has an entry.
    is_listed: bool,
}

/// The office, shared with the tasks that wait for engines.
type PlannerCell = Arc<Mutex<Option<Planning>>>;

/// Plans whenever this node holds the newest claim, for as long as it runs.
pub(crate) async fn run(shared: Arc<Shared>, card: Card) {
    let cell: PlannerCell = Arc::default();
    let mut cursor = Cursor::Start;
    let mut no_planner_since = shared.now();
    // Until when a node that has claimed is given time to be heard.
    let mut claim_blocked_until = None;
    loop {
        sleep(STEP_INTERVAL).await;
        let now = shared.now();
        if let Some(token) = planning_token(&cell) {
            if let Some(reason) = reason_to_step_down(&shared, token, now) {
                step_down(&shared, &cell, token, reason);
                no_planner_since = now;
            } else {
                step(&shared, &cell, now);
            }
            continue;
        }
        if has_other_planner(&shared, now) {
            no_planner_since = now;
            claim_blocked_until = None;
            continue;
        }
        let timeout = shared.tables().peers.planner_timeout();
        let had_planner = shared.tables().peers.planner.is_some();
        let has_timed_out = now.since(no_planner_since) >= timeout;
        let is_due = match claim_blocked_until {
            Some(until) => now >= until,
            None => has_timed_out || had_planner || cursor == Cursor::Start,
        };
        if is_due && may_claim(&shared, now) {
            let claimed = claim(&shared, &card, &mut cursor).await;
            no_planner_since = shared.now();
            claim_blocked_until = None;
            match claimed {
                ClaimOutcome::Won(token) => start_planning(&shared, &cell, token),
                ClaimOutcome::Superseded => claim_blocked_until = Some(no_planner_since + timeout),
                ClaimOutcome::Unknown => {}
            }
        }
    }
}

/// What became of a claim.
enum ClaimOutcome {
    /// It is the newest, and this its token.
    Won(u64),
    /// Another node has claimed; it is given time to be heard.
    Superseded,
    /// The store gave no answer.
    Unknown,
}

/// Returns the token with which this node plans, if it does.
fn planning_token(cell: &PlannerCell) -> Option<u64> {
    let cell = cell.lock().unwrap_or_else(PoisonError::into_inner);
    cell.as_ref().map(|planning| planning.token)
}

/// Returns whether another node plans.
fn has_other_planner(shared: &Shared, now: Moment) -> bool {
    shared.tables().peers.has_planner(now)
}

/// Returns whether this node may claim.
fn may_claim(shared: &Shared, now: Moment) -> bool {
    let tables = shared.tables();
    let confirmed = tables.servers_confirmed;
    !shared.is_stopping()
        && tables.config.is_some()
        && confirmed.is_some_and(|at| now.since(at) < MAX_VIEW_AGE_TO_CLAIM)
}

/// Returns why this node must stop to plan, if it must.
fn reason_to_step_down(shared: &Shared, token: u64, now: Moment) -> Option<&'static str> {
    let tables = shared.tables();
    let confirmed = tables.servers_confirmed;
    if tables.peers.highest_token() > token {
        Some("a newer planner was heard")
    } else if shared.is_stopping() {
        Some("the node stops")
    } else if confirmed.is_none_or(|at| now.since(at) > MAX_VIEW_AGE_TO_PLAN) {
        Some("the store is out of sight")
    } else {
        None
    }
}

/// Stops to plan.
fn step_down(shared: &Arc<Shared>, cell: &PlannerCell, token: u64, reason: &str) {
    let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
    // An answer to an order of an earlier office says nothing of a later one.
    if guard.take_if(|planning| planning.token == token).is_none() {
        return;
    }
    drop(guard);
    let mut tables = shared.tables();
    tables.peers.own_token = None;
    tables.peers.dead_engines.clear();
    shared.request_heartbeat();
    info!(shared.log, "planner steps down"; "token" => token, "reason" => reason);
}

/// Begins to plan.
fn start_planning(shared: &Arc<Shared>, cell: &PlannerCell, token: u64) {
    info!(shared.log, "planner begins"; "token" => token);
    let mut tables = shared.tables();
    tables.peers.own_token = Some(token);
    // What this node was told leaves out what matters to the planner only, so
    // that it lists all entries anew. The news begin where it knew the feed, so
    // that the others need not read it.
    let known = tables.servers_offset.take();
    tables.peers.backlog = Backlog::starting_at(known.unwrap_or(0));
    drop(tables);
    shared.request_heartbeat();
    let planning = Planning {
        planners: HashMap::new(),
        probes: Probes::default(),
        token,
    };
    *cell.lock().unwrap_or_else(PoisonError::into_inner) = Some(planning);
}

/// Appends a claim behind the newest one.
async fn claim(shared: &Arc<Shared>, card: &Card, cursor: &mut Cursor) -> ClaimOutcome {
    let read = (shared.platform.claims)(*cursor, Duration::ZERO).await;
    let batch = match read {
        Ok(batch) => batch,
        Err(error) => {
            warn!(shared.log, "claims not read"; "error" => %error);
            return ClaimOutcome::Unknown;
        }
    };
    let Cursor::At(end) = batch.next else {
        return ClaimOutcome::Unknown;
    };
    // Claims expire, so that a feed without records may still have had some.
    let has_new_claims = *cursor != batch.next && end > 0;
    *cursor = batch.next;
    let own = node::Claim {
        node: card.node.clone(),
        life: card.life,
    };
    if batch.records.last() == Some(&own) {
        // An earlier append of this life, whose answer was lost.
        return ClaimOutcome::Won(end);
    }
    if has_new_claims {
        return ClaimOutcome::Superseded;
    }
    let delay = Duration::from_millis(rand::random_range(0..=MAX_CLAIM_DELAY_MS));
    sleep(if shared.has_slow_link() {
        delay + SLOW_LINK_CLAIM_DELAY
    } else {
        delay
    })
    .await;
    if has_other_planner(shared, shared.now()) {
        return ClaimOutcome::Superseded;
    }
    match (shared.platform.claim)((end, own)).await {
        // Tokens are above zero: an engine that has seen none counts as zero.
        Ok(Claimed::Won(offset)) => {
            *cursor = Cursor::At(offset + 1);
            ClaimOutcome::Won(offset + 1)
        }
        Ok(Claimed::Lost(end)) => {
            info!(shared.log, "claim lost"; "end" => end);
            *cursor = Cursor::At(end);
            ClaimOutcome::Superseded
        }
        Err(error) => {
            warn!(shared.log, "claim without an answer"; "error" => %error);
            ClaimOutcome::Unknown
        }
    }
}

/// Makes one step: asks engines, decides, sends orders.
fn step(shared: &Arc<Shared>, cell: &PlannerCell, now: Moment) {
    let (config, servers, demand, suspects, is_listed) = {
        let tables = shared.tables();
        let mut demand = tables.peers.demand(now);
        for (model, replicas) in tables.demand.replicas(now) {
            *demand.entry(model).or_default() += replicas;
        }
        let fleet = &tables.fleet;
        let listed = fleet.servers().map(|s| (s, true));
        let servers: Vec<KnownServer> = listed
            .chain(fleet.gone().map(|s| (s, false)))
            .map(|(server, is_listed)| KnownServer {
                server: server.clone(),
                is_allowed: !fleet.is_taken_out(&server.domain),
                is_listed,
            })
            .collect();
        let is_listed = tables.servers_offset.is_some();
        let suspects = suspects(&tables, now);
        (tables.config.clone(), servers, demand, suspects, is_listed)
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
    let engines: HashMap<Instance, Server> = servers
        .iter()
        .map(|known| &known.server)
        .filter(|s| {
            let spec = config.services.get(&s.service);
            spec.is_some_and(|spec| spec.engine.is_some())
        })
        .map(|server| (server.id.clone(), server.clone()))
        .collect();
    let watched: HashSet<&Instance> = planning
        .planners
        .values()
        .flat_map(Planner::watched)
        .collect();
    let is_watched = |id: &Instance| watched.contains(id);
    for query in planning
        .probes
        .due_queries(&engines, is_watched, &suspects, now)
    {
        tokio::spawn(query_engine(
            Arc::clone(shared),
            Arc::clone(cell),
            planning.token,
            query,
        ));
    }
    if planning.probes.is_isolated() {
        return;
    }
    let dead = planning.probes.dead_engines();
    let mut tables = shared.tables();
    tables.peers.dead_engines.clone_from(&dead);
    let unlisted = servers.iter().filter(|known| !known.is_listed);
    let unlisted = unlisted.filter(|known| planning.probes.is_member(&known.server));
    let unlisted = unlisted.map(|known| (known.server.id.clone(), known.server.born));
    let mut is_changed = tables.fleet.set_unlisted(unlisted);
    is_changed |= tables.fleet.set_lost(dead);
    if is_changed {
        shared.update_targets(&mut tables);
        shared.request_heartbeat();
    }
    drop(tables);
    for (service, engine) in config.engines() {
        let known_engines: HashMap<Instance, form::Engine> = servers
            .iter()
            .filter(|known| known.server.service == *service)
            .filter_map(|known| {
                let engine = planning.probes.engine(&known.server, known.is_allowed)?;
                Some(form::Engine {
                    is_listed: known.is_listed,
                    ..engine
                })
            })
            .map(|e| (e.id().clone(), e))
            .collect();
        let rates = Rates {
            engine,
            demand: &demand,
            has_traffic,
            load_window: shared.settings.bounds.load_window,
        };
        let token = planning.token;
        let planner = planning
            .planners
            .entry(service.clone())
            .or_insert_with(|| Planner::new(token));
        let decided = planner.step(known_engines, &rates, now);
        for note in &decided.notes {
            log_note(shared, token, note);
        }
        for send in decided.sends {
            let server = engines[&send.engine].clone();
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

/// Returns the members of the replicas that answer nobody.
fn suspects(tables: &Tables, now: Moment) -> HashSet<Instance> {
    let replicas = tables.targets.iter().filter(|t| t.model.is_some());
    let silent = replicas.filter(|t| tables.load.work(&t.server, now).is_silent);
    let members = silent.flat_map(|t| t.members.iter().map(|(id, _)| id.clone()));
    members.collect()
}

/// Logs a decision of the planner.
fn log_note(shared: &Shared, token: u64, note: &Note) {
    match note {
        Note::Form {
            replica,
            model,
            members,
            scarcity,
            joins,
        } => info!(shared.log, "replica to form"; "token" => token, "replica" => %replica,
            "model" => %model, "members" => ?members, "scarcity" => scarcity, "joins" => ?joins),
        Note::Formed { replica, is_open } => info!(shared.log, "formation ended";
            "token" => token, "replica" => %replica, "is_open" => is_open),
        Note::GiveUp {
            replica,
            scarcer,
            scarcity,
        } => info!(shared.log, "replica given up"; "token" => token, "replica" => %replica,
            "scarcer" => %scarcer, "scarcity" => scarcity),
        Note::Serving { replicas, reserve } => info!(shared.log, "replicas serving";
            "token" => token, "replicas" => ?replicas, "reserve" => reserve),
    }
}

/// Asks one engine for its state.
async fn query_engine(
    shared: Arc<Shared>,
    cell: PlannerCell,
    token: u64,
    query: crate::probe::Query,
) {
    let server = &query.server;
    let answer = (shared.platform.report)((server.address, server.id.clone())).await;
    let reason = answer.as_ref().err().map(ToString::to_string);
    let now = shared.now();
    let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(planning) = guard.as_mut().filter(|planning| planning.token == token) else {
        return;
    };
    match planning.probes.record_answer(&query, answer, now) {
        Some(true) => warn!(shared.log, "engine found dead"; "server" => %server.id,
            "born" => server.born, "error" => reason),
        Some(false) => info!(shared.log, "engine answers again"; "server" => %server.id),
        None => {}
    }
}

/// Sends one order, and notes what became of it.
async fn send_order(
    shared: Arc<Shared>,
    cell: PlannerCell,
    service: Service,
    server: Server,
    send: form::Send,
) {
    let order = send.order.clone();
    let token = order.token;
    let outcome = (shared.platform.order)((server.address, server.id.clone(), order)).await;
    info!(shared.log, "order"; "server" => %server.id, "command" => send.order.command.as_str(),
        "what" => ?send.order.command, "token" => token,
        "sequence" => send.order.expected_sequence, "outcome" => ?outcome);
    shared.metrics.count("orders", send.order.command.as_str());
    let mut guard = cell.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(planning) = guard.as_mut().filter(|planning| planning.token == token)
        && let Some(planner) = planning.planners.get_mut(&service)
    {
        planner.answered(&send.engine, outcome);
    }
    drop(guard);
    if outcome == Outcome::Fenced {
        step_down(&shared, &cell, token, "an engine has seen a newer planner");
    }
}
