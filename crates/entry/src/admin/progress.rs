//! The progress of operators' operations at each node.

use crate::{
    admin::{operator::identify, queries::QueryResult},
    node::Node,
    reports::Progress,
};
use axum::{Json, extract::State};
use clock::Moment;
use http::HeaderMap;
use name::{Domain, Node as Name, Offset};
use serde::Serialize;
use serde_json::{Value, json};
use state::Scope;
use std::{collections::BTreeMap, sync::Arc};

/// The progress of one operation at one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct NodeProgress {
    node: Name,
    /// Whether the node has the operation in force; false without a report.
    in_force: bool,
    /// Its requests in progress in the failure domain, if reported.
    in_progress: Option<u32>,
    /// The age of its latest report, in milliseconds; none without a report.
    said_ms_ago: Option<u64>,
}

/// Serves `GET /admin/v1/operations`.
///
/// Lists what was taken out or brought back, with the progress and the requests
/// in progress at each node.
pub(super) async fn operations(State(node): State<Arc<Node>>, headers: HeaderMap) -> QueryResult {
    identify(&node, &headers)?;
    let state = node.control().state;
    let now = node.clock.now();
    let reported = reported(&node, state.offset, now);
    let operations: Vec<Value> = state
        .operations
        .iter()
        .map(|(scope, (revision, operation))| {
            let members = state.epoch.peers.iter().map(|peer| &peer.node);
            let nodes: Vec<NodeProgress> = members
                .map(|member| node_progress(member, reported.get(member), scope, *revision, now))
                .collect();
            let pending: Vec<&Name> = nodes
                .iter()
                .filter(|node| !node.in_force)
                .map(|node| &node.node)
                .collect();
            let in_progress_counts: Vec<u32> =
                nodes.iter().filter_map(|node| node.in_progress).collect();
            let in_progress = match scope {
                Scope::Domain(_) => json!(in_progress_counts.iter().sum::<u32>()),
                Scope::Instance(_) => Value::Null,
            };
            json!({
                "target": scope,
                "operation": operation,
                "revision": revision,
                "not_yet_in_force_at": pending,
                "in_progress": in_progress,
                "nodes": nodes,
            })
        })
        .collect();
    Ok(Json(json!({"operations": operations})))
}

/// Returns the latest progress report of each node, including this one.
fn reported(node: &Node, folded: Offset, now: Moment) -> BTreeMap<Name, Progress> {
    let mut reported = node.reports.progress();
    let own = Progress {
        folded,
        in_progress: node.servers().in_progress(),
        at: now,
    };
    reported.insert(node.identity.node.clone(), own);
    reported
}

/// Returns the progress of an operation at a node.
fn node_progress(
    node: &Name,
    reported: Option<&Progress>,
    scope: &Scope,
    revision: Offset,
    now: Moment,
) -> NodeProgress {
    let count = |progress: &Progress, domain: &Domain| {
        progress.in_progress.get(domain).copied().unwrap_or(0)
    };
    NodeProgress {
        node: node.clone(),
        in_force: reported.is_some_and(|progress| progress.folded >= revision),
        in_progress: match scope {
            Scope::Domain(domain) => reported.map(|progress| count(progress, domain)),
            Scope::Instance(_) => None,
        },
        said_ms_ago: reported
            .map(|progress| u64::try_from(now.since(progress.at).as_millis()).unwrap_or(u64::MAX)),
    }
}
