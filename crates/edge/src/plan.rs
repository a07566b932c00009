//! The planner's driver: claims, questions to engines, orders.
//!
//! The newest claim in the store plans; its offset is the fencing token of all
//! its orders. A node claims when it has not heard from a planner for a while
//! and sees the store itself. A planner that no longer sees the store steps
//! down, since it could not tell that another one has followed it.

use crate::{
    probe::Probes,
    state::{Shared, Tables},
    vouch::News,
};
use clock::Moment;
use form::{Demand, Event, Inputs, Planner};
use name::{Instance, Service};
use site::{
    Server,
    feed::{AppendOutcome, Cursor},
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
const STEP: Duration = Duration::from_millis(100);

/// The oldest view of the store with which a node claims.
const VIEW_TO_CLAIM: Duration = Duration::from_millis(1_000);

/// The oldest view of the store with which a planner goes on.
///
/// It is above the time of a read that fails and is made again.
const VIEW_TO_PLAN: Duration = Duration::from_millis(2_000);

/// The longest pause before a node claims, so that not all claim at once.
const MAX_CLAIM_PAUSE_MS: u64 = 150;

/// How much longer a node with a slow link waits, so that one with a fast link
/// plans if there is any.
const SLOW_LINK_PAUSE: Duration = Duration::from_millis(300);

/// What the planner of one node has in hand.
#[derive(Debug)]
struct Office {
    planners: HashMap<Service, Planner>,
    probes: Probes,
    token: u64,
}

/// A server as the tables have it.
#[derive(Debug, Clone)]
struct Seen {
    server: Server,
    /// Whether its failure domain may get requests.
    is_allowed: bool,
    /// Whether it has an entry.
    is_listed: bool,
}

/// The office, shared with the tasks that wait for engines.
type Desk = Arc<Mutex<Option<Office>>>;

/// Plans whenever this node holds the newest claim, for as long as it runs.
pub(crate) async fn run(shared: Arc<Shared>, card: NodeRecord) {
    let desk: Desk = Arc::default();
    let mut cursor = Cursor::Start;
    let mut quiet_since = shared.now();
    // Until when a node that has claimed is given time to be heard.
    let mut held_until = None;
    loop {
        sleep(STEP).await;
        let now = shared.now();
        if let Some(token) = office_token(&desk) {
            if let Some(reason) = reason_to_step_down(&shared, token, now) {
                step_down(&shared, &desk, token, reason);
                quiet_since = now;
            } else {
                step(&shared, &desk, now);
            }
            continue;
        }
        if is_heard(&shared, now) {
            quiet_since = now;
            held_until = None;
            continue;
        }
        let patience = shared.tables().peers.planner_patience();
        let is_vacant = shared.tables().peers.planner.is_some();
        let has_waited = now.since(quiet_since) >= patience;
        let is_due = match held_until {
            Some(until) => now >= until,
            None => has_waited || is_vacant || cursor == Cursor::Start,
        };
        if is_due && may_claim(&shared, now) {
            let claimed = claim(&shared, &card, &mut cursor).await;
            quiet_since = shared.now();
            held_until = None;
            match claimed {
                Claim::Won(token) => take_office(&shared, &desk, token),
                Claim::Another => held_until = Some(quiet_since + patience),
                Claim::Unknown => {}
            }
        }
    }
}

/// What became of a claim.
enum Claim {
    /// It is the newest, and this its token.
    Won(u64),
    /// Another node has claimed; it is given time to be heard.
    Another,
    /// The store gave no answer.
    Unknown,
}

/// Returns the token with which this node plans, if it does.
fn office_token(desk: &Desk) -> Option<u64> {
    let desk = desk.lock().unwrap_or_else(PoisonError::into_inner);
    desk.as_ref().map(|office| office.token)
}

/// Returns whether another node plans.
fn is_heard(shared: &Shared, now: Moment) -> bool {
    shared.tables().peers.has_planner(now)
}

/// Returns whether this node may claim.
fn may_claim(shared: &Shared, now: Moment) -> bool {
    let tables = shared.tables();
    let seen = tables.servers_confirmed;
    !shared.is_stopping()
        && tables.config.is_some()
        && seen.is_some_and(|at| now.since(at) < VIEW_TO_CLAIM)
}

/// Returns why this node must stop to plan, if it must.
fn reason_to_step_down(shared: &Shared, token: u64, now: Moment) -> Option<&'static str> {
    let tables = shared.tables();
    let seen = tables.servers_confirmed;
    if tables.peers.newest_token() > token {
        Some("a newer planner was heard")
    } else if shared.is_stopping() {
        Some("the node stops")
    } else if seen.is_none_or(|at| now.since(at) > VIEW_TO_PLAN) {
        Some("the store is out of sight")
    } else {
        None
    }
}

/// Stops to plan.
fn step_down(shared: &Arc<Shared>, desk: &Desk, token: u64, reason: &str) {
    let mut guard = desk.lock().unwrap_or_else(PoisonError::into_inner);
    // An answer to an order of an earlier office says nothing of a later one.
    if guard.take_if(|office| office.token == token).is_none() {
        return;
    }
    drop(guard);
    let mut tables = shared.tables();
    tables.peers.own_token = None;
    tables.peers.own_lost.clear();
    shared.hurry();
    info!(shared.log, "planner steps down"; "token" => token, "reason" => reason);
}

/// Begins to plan.
fn take_office(shared: &Arc<Shared>, desk: &Desk, token: u64) {
    info!(shared.log, "planner begins"; "token" => token);
    let mut tables = shared.tables();
    tables.peers.own_token = Some(token);
    // What this node was told leaves out what matters to the planner only, so
    // that it lists all entries anew. The news begin where it knew the feed, so
    // that the others need not read it.
    let known = tables.servers_read.take();
    tables.peers.own_news = News::starting_at(known.unwrap_or(0));
    drop(tables);
    shared.hurry();
    let office = Office {
        planners: HashMap::new(),
        probes: Probes::default(),
        token,
    };
    *desk.lock().unwrap_or_else(PoisonError::into_inner) = Some(office);
}

/// Appends a claim behind the newest one.
async fn claim(shared: &Arc<Shared>, card: &NodeRecord, cursor: &mut Cursor) -> Claim {
    let read = (shared.platform.read_claims)(*cursor, Duration::ZERO).await;
    let batch = match read {
        Ok(batch) => batch,
        Err(error) => {
            warn!(shared.log, "claims not read"; "error" => %error);
            return Claim::Unknown;
        }
    };
    let Cursor::At(end) = batch.next else {
        return Claim::Unknown;
    };
    // Claims expire, so that a feed without records may still have had some.
    let is_news = *cursor != batch.next && end > 0;
    *cursor = batch.next;
    let own = node::PlannerClaim {
        node: card.node.clone(),
        incarnation: card.incarnation,
    };
    if batch.records.last() == Some(&own) {
        // An earlier append of this life, whose answer was lost.
        return Claim::Won(end);
    }
    if is_news {
        return Claim::Another;
    }
    let pause = Duration::from_millis(rand::random_range(0..=MAX_CLAIM_PAUSE_MS));
    sleep(if shared.has_slow_link() {
        pause + SLOW_LINK_PAUSE
    } else {
        pause
    })
    .await;
    if is_heard(shared, shared.now()) {
        return Claim::Another;
    }
    match (shared.platform.append_claim)((end, own)).await {
        // Tokens are above zero: an engine that has seen none counts as zero.
        Ok(AppendOutcome::Appended(offset)) => {
            *cursor = Cursor::At(offset + 1);
            Claim::Won(offset + 1)
        }
        Ok(AppendOutcome::Conflict(end)) => {
            info!(shared.log, "claim lost"; "end" => end);
            *cursor = Cursor::At(end);
            Claim::Another
        }
        Err(error) => {
            warn!(shared.log, "claim without an answer"; "error" => %error);
            Claim::Unknown
        }
    }
}

/// Makes one step: asks engines, decides, sends orders.
fn step(shared: &Arc<Shared>, desk: &Desk, now: Moment) {
    let (config, servers, demand, suspects, is_listed) = {
        let tables = shared.tables();
        let mut demand = tables.peers.demand(now);
        for (model, replicas) in tables.demand.replicas(now) {
            *demand.entry(model).or_default() += replicas;
        }
        let fleet = &tables.fleet;
        let listed = fleet.servers().map(|s| (s, true));
        let servers: Vec<Seen> = listed
            .chain(fleet.removed().map(|s| (s, false)))
            .map(|(server, is_listed)| Seen {
                server: server.clone(),
                is_allowed: !fleet.is_taken_out(&server.domain),
                is_listed,
            })
            .collect();
        let is_listed = tables.servers_read.is_some();
        let suspects = suspects(&tables, now);
        (tables.config.clone(), servers, demand, suspects, is_listed)
    };
    let (Some(config), true) = (config, is_listed) else {
        return;
    };
    let has_traffic = !demand.is_empty();
    let demand = Demand { replicas: demand };
    let mut guard = desk.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(office) = guard.as_mut() else {
        return;
    };
    let engines: HashMap<Instance, Server> = servers
        .iter()
        .map(|seen| &seen.server)
        .filter(|s| {
            let spec = config.services.get(&s.service);
            spec.is_some_and(|spec| spec.engine.is_some())
        })
        .map(|server| (server.id.clone(), server.clone()))
        .collect();
    let watched: HashSet<&Instance> = office
        .planners
        .values()
        .flat_map(Planner::engines_in_transition)
        .collect();
    let is_watched = |id: &Instance| watched.contains(id);
    for question in office.probes.due(&engines, is_watched, &suspects, now) {
        tokio::spawn(ask(
            Arc::clone(shared),
            Arc::clone(desk),
            office.token,
            question,
        ));
    }
    if office.probes.is_cut_off() {
        return;
    }
    let dead = office.probes.dead();
    let mut tables = shared.tables();
    tables.peers.own_lost.clone_from(&dead);
    let unlisted = servers.iter().filter(|seen| !seen.is_listed);
    let unlisted = unlisted.filter(|seen| office.probes.is_member(&seen.server));
    let unlisted = unlisted.map(|seen| (seen.server.id.clone(), seen.server.incarnation));
    let mut is_changed = tables.fleet.set_unlisted(unlisted);
    is_changed |= tables.fleet.set_dead(dead);
    if is_changed {
        shared.refresh(&mut tables);
        shared.hurry();
    }
    drop(tables);
    for (service, engine) in config.engines() {
        let seen: HashMap<Instance, form::Engine> = servers
            .iter()
            .filter(|seen| seen.server.service == *service)
            .filter_map(|seen| {
                let engine = office.probes.engine(&seen.server, seen.is_allowed)?;
                Some(form::Engine {
                    has_entry: seen.is_listed,
                    ..engine
                })
            })
            .map(|e| (e.id().clone(), e))
            .collect();
        let rates = Inputs {
            engine_spec: engine,
            demand: &demand,
            has_traffic,
            load_window: shared.settings.bounds.load_window,
        };
        let token = office.token;
        let planner = office
            .planners
            .entry(service.clone())
            .or_insert_with(|| Planner::new(token));
        let decided = planner.step(seen, &rates, now);
        for note in &decided.events {
            log_note(shared, token, note);
        }
        for send in decided.orders {
            let server = engines[&send.engine].clone();
            tokio::spawn(order(
                Arc::clone(shared),
                Arc::clone(desk),
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
    let silent = replicas.filter(|t| tables.load.work(&t.server, now).is_stalled);
    let members = silent.flat_map(|t| t.members.iter().map(|(id, _)| id.clone()));
    members.collect()
}

/// Logs a decision of the planner.
fn log_note(shared: &Shared, token: u64, note: &Event) {
    match note {
        Event::FormationStarted {
            replica,
            model,
            members,
            scarcity,
            joins,
        } => info!(shared.log, "replica to form"; "token" => token, "replica" => %replica,
            "model" => %model, "members" => ?members, "scarcity" => scarcity, "joins" => ?joins),
        Event::FormationEnded { replica, is_open } => info!(shared.log, "formation ended";
            "token" => token, "replica" => %replica, "is_open" => is_open),
        Event::ReplicaReclaimed {
            replica,
            scarcer,
            scarcity,
        } => info!(shared.log, "replica given up"; "token" => token, "replica" => %replica,
            "scarcer" => %scarcer, "scarcity" => scarcity),
        Event::ServingChanged { replicas, reserve } => info!(shared.log, "replicas serving";
            "token" => token, "replicas" => ?replicas, "reserve" => reserve),
    }
}

/// Asks one engine for its state.
async fn ask(shared: Arc<Shared>, desk: Desk, token: u64, question: crate::probe::Question) {
    let server = &question.server;
    let answer = (shared.platform.fetch_report)((server.address, server.id.clone())).await;
    let reason = answer.as_ref().err().map(ToString::to_string);
    let now = shared.now();
    let mut guard = desk.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(office) = guard.as_mut().filter(|office| office.token == token) else {
        return;
    };
    match office.probes.answered(&question, answer, now) {
        Some(true) => warn!(shared.log, "engine found dead"; "server" => %server.id,
            "born" => server.incarnation, "error" => reason),
        Some(false) => info!(shared.log, "engine answers again"; "server" => %server.id),
        None => {}
    }
}

/// Sends one order, and notes what became of it.
async fn order(
    shared: Arc<Shared>,
    desk: Desk,
    service: Service,
    server: Server,
    send: form::OutgoingOrder,
) {
    let order = send.order.clone();
    let token = order.token;
    let outcome = (shared.platform.send_order)((server.address, server.id.clone(), order)).await;
    info!(shared.log, "order"; "server" => %server.id, "command" => send.order.command.as_str(),
        "what" => ?send.order.command, "token" => token,
        "sequence" => send.order.expected_sequence, "outcome" => ?outcome);
    shared.metrics.count("orders", send.order.command.as_str());
    let mut guard = desk.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(office) = guard.as_mut().filter(|office| office.token == token)
        && let Some(planner) = office.planners.get_mut(&service)
    {
        planner.record_outcome(&send.engine, outcome);
    }
    drop(guard);
    if outcome == Outcome::Fenced {
        step_down(&shared, &desk, token, "an engine has seen a newer planner");
    }
}
