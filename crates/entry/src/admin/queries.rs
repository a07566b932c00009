//! Queries of operators, which change no state.

use crate::{
    admin::operator::identify,
    http::{Failure, Upload, json as parse_json},
    node::Node,
};
use admit::stats;
use axum::{
    Json,
    extract::State,
    response::{IntoResponse, Response},
};
use http::{HeaderMap, StatusCode};
use replica::servable;
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};

/// The maximum size of lists to check, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The time limit for the lists' body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The response to a query.
pub(super) type QueryResult = Result<Json<Value>, Failure>;

/// Serves `GET /admin/v1/lists`.
pub(super) async fn lists(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let state = node.control().state;
    Ok(Json(
        json!({"revision": state.lists_revision, "text": state.lists_text}),
    ))
}

/// Serves `POST /admin/v1/lists/check`: validates lists without publishing them.
pub(super) async fn check(
    State(node): State<Arc<Node>>,
    headers: HeaderMap,
    body: Upload,
) -> Result<Response, Failure> {
    #[derive(serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Text {
        text: String,
    }
    identify(&node, &headers)?;
    let whole = body.read(MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    let Text { text } = parse_json(&whole.bytes)?;
    Ok(match plan::parse(&text) {
        Ok(_) => Json(json!({"valid": true, "faults": []})).into_response(),
        Err(faults) => {
            let text = faults.to_string();
            let faults: Vec<&str> = text.lines().collect();
            let body = json!({"valid": false, "faults": faults});
            (StatusCode::UNPROCESSABLE_ENTITY, Json(body)).into_response()
        }
    })
}

/// Serves `GET /admin/v1/status`.
pub(super) async fn status(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let now = node.clock.now();
    let state = node.control().state;
    let servability = servable(&state, &node.engines(), now);
    let servable_count = servability.values().filter(|result| result.is_ok()).count();
    let engines = node.engines().iter().count();
    let freshness = node.status(now);
    let tail_age = node
        .freshness()
        .latest_reading(now)
        .map(|reading| reading.age.as_millis());
    Ok(Json(json!({
        "node": node.identity.node,
        "freshness": freshness,
        "reads_log": node.freshness().reads_log(),
        "voucher_age_ms": tail_age.and_then(|age| u64::try_from(age).ok()),
        "control_offset": state.offset,
        "lists_revision": state.lists_revision,
        "epoch": {"revision": state.epoch.revision, "nodes": state.epoch.peers.len()},
        "replicas": {"assigned": state.assignments.len(), "servable": servable_count},
        "engines": engines,
        "waiting": node.slot_queue().len(),
        "in_progress": node.drain().in_progress(),
        "claims": {"remembered": node.claims().table.len(), "waiting": node.claims().subscriber_count()},
        "tickets": node.tickets().len(),
    })))
}

/// Serves `GET /admin/v1/log`: this node's reads of and appends to the log.
pub(super) async fn log(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let now = node.clock.now();
    let reachability = node.reachability(now);
    let reading = node.freshness().latest_reading(now);
    let age = reading.as_ref().map(|reading| reading.age.as_millis());
    Ok(Json(json!({
        "node": node.identity.node,
        "freshness": node.status(now),
        "reads_log": node.freshness().reads_log(),
        "tail_offset": reading.map(|reading| reading.offset),
        "tail_age_ms": age.and_then(|age| u64::try_from(age).ok()),
        "control_offset": node.control().state.offset,
        "lost_records": node.follower().is_ahead_of_log(),
        "undecided_changes": node.outbox.len(),
        "undecided_claims": node.claims().subscriber_count(),
        "peers": {
            "known": reachability.watched,
            "heard": reachability.reachable,
            "without_log": reachability.without_log,
        },
        "retention_s": node.settings.timings.log_retention_s,
    })))
}

/// Serves `GET /admin/v1/replicas`.
pub(super) async fn replicas(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let now = node.clock.now();
    let state = node.control().state;
    let servability = servable(&state, &node.engines(), now);
    let servers = node.servers().describe(now);
    let replicas: Vec<Value> = state
        .assignments
        .iter()
        .map(|(replica, assignment)| {
            let result = servability.get(replica);
            let blocked = result
                .and_then(|result| result.as_ref().err())
                .map(ToString::to_string);
            let server = servers
                .iter()
                .find(|(offer, ..)| offer.replica.as_ref() == Some(replica));
            json!({
                "replica": replica,
                "generation": assignment.generation,
                "model": assignment.model,
                "version": assignment.version,
                "members": assignment.members,
                "servable": blocked.is_none(),
                "blocked": blocked,
                "warm": server.map(|(offer, ..)| offer.capacity.warm),
                "running": server.map(|(offer, ..)| offer.running),
                "in_use_here": server.map(|(_, in_use, _)| in_use),
                "open_slots_here": server.map(|(_, _, open)| open),
            })
        })
        .collect();
    Ok(Json(json!({"replicas": replicas})))
}

/// Serves `GET /admin/v1/instances`.
pub(super) async fn instances(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let now = node.clock.now();
    let state = node.control().state;
    let mut instances: Vec<Value> = Vec::new();
    for (role, view) in [("engine", node.engines()), ("service", node.services())] {
        for (instance, status) in view.iter() {
            let report = view.fresh_report(instance, now);
            instances.push(json!({
                "instance": instance,
                "role": role,
                "address": status.address,
                "domain": status.domain,
                "fabric": status.fabric,
                "leaving": status.is_leaving(),
                "out": state.is_taken_out(instance, &status.domain),
                "suspected": status.is_suspected(now),
                "phase": report.map(|report| report.phase),
                "replica": state.replica_of(instance),
                "fences": report.map(|report| report.fences),
            }));
        }
    }
    instances.sort_by_key(|entry| entry["instance"].to_string());
    Ok(Json(json!({"instances": instances})))
}

/// Serves `GET /admin/v1/accounts`.
pub(super) async fn accounts(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let now = node.clock.now();
    let control = node.control();
    let accounts: Vec<Value> = node
        .accounts()
        .describe(now)
        .into_iter()
        .map(|(account, limit, part, in_progress)| {
            json!({
                "account": account,
                "plan": control.lists.accounts.get(&account).map(|entry| Arc::clone(&entry.plan)),
                "limit": limit,
                "part_here": part,
                "in_progress_here": in_progress,
            })
        })
        .collect();
    Ok(Json(json!({"accounts": accounts})))
}

/// Serves `GET /admin/v1/entries`.
pub(super) async fn entries(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let progress = node.reports.progress();
    let own_node = node.identity.node.clone();
    let applied = node.control().state.offset;
    let members = node.members();
    let entries: Vec<Value> = members
        .members()
        .map(|member| {
            let peer = &member.peer.node;
            let reported_offset = progress.get(peer).map(|p| p.folded);
            json!({
                "node": peer,
                "incarnation": member.peer.incarnation,
                "domain": member.peer.domain,
                "caller_address": member.peer.caller_address,
                "role": member.role,
                "health": member.health,
                "control_offset": if *peer == own_node { Some(applied) } else { reported_offset },
            })
        })
        .collect();
    Ok(Json(json!({"entries": entries})))
}

/// Serves `GET /admin/v1/histograms`.
pub(super) async fn histograms(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let rows = stats::query::rows(&node.stats());
    let rows: Vec<Value> = rows
        .into_iter()
        .map(|row| {
            json!({
                "account": row.account,
                "class": row.class,
                "phase": row.phase,
                "count": row.count,
                "p50_us": micros(row.p50),
                "p95_us": micros(row.p95),
                "p99_us": micros(row.p99),
                "max_us": micros(row.max),
            })
        })
        .collect();
    Ok(Json(
        json!({"node": node.identity.node, "histograms": rows}),
    ))
}

/// Returns a duration in microseconds.
fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
