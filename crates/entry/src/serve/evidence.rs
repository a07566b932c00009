//! Requests that crash backend servers, and those that are withheld for it.
//!
//! The parts of a draft are the prefixes of its prompt in whole blocks, and the whole
//! prompt; a call has only itself as a part. Nodes send their crash histories to each
//! other with their observations. A server that lost a connection counts as ended if it
//! has another boot ID, or if it accepts no connection while other servers do.

use crate::{
    node::Node,
    serve::{
        job::{Call, Draft},
        servers::Offer,
    },
};
use backend::Connection;
use clock::Moment;
use member::Health;
use name::Node as NodeName;
use quarantine::{Change, Level, Part, Record, Refusal, Server};
use rand::seq::IteratorRandom;
use slog::info;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};
use verdict::{Error, Kind};

/// The maximum number of records that a node sends at once.
const MAX_RECORDS: usize = 64;

/// The longest time that a draft waits for the next trial of a suspected prompt.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(1);

/// How long a server may take to accept a connection and to report its boot ID.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of other servers that are checked, to tell a server that ended from a node
/// that is cut off.
const COMPARED_SERVERS: usize = 3;

/// The minimum retry delay for callers of withheld requests.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns the parts of a draft's prompt.
///
/// A part is judged for the engines of all models, which may run the same code.
pub(crate) fn parts(draft: &Draft) -> Vec<Part> {
    let mut parts: Vec<Part> = route::prefix::hashes("", &draft.prompt)
        .into_iter()
        .map(Part::Prompt)
        .collect();
    parts.push(Part::Prompt(route::prefix::prompt_hash(&draft.prompt)));
    parts
}

/// Returns the only part of a call: itself.
pub(crate) fn whole(call: &Call) -> Part {
    Part::request(&[
        call.account.as_str().as_bytes(),
        call.service.as_str().as_bytes(),
        call.call.as_bytes(),
        &call.body,
    ])
}

/// Waits until a request may be sent, if one of its parts is under suspicion.
///
/// # Errors
///
/// Returns an error for the caller if the wait would be long.
pub(crate) async fn wait_for_trial(node: &Node, parts: &[Part]) -> Result<(), Error> {
    let give_up_at = node.clock.now() + MAX_TRIAL_WAIT;
    loop {
        let now = node.clock.now();
        let Some(refusal) = node.quarantine().refusal(parts, node_count(node), now) else {
            return Ok(());
        };
        if refusal.level == Level::Quarantined || now + refusal.wait > give_up_at {
            return Err(withheld_error(node, &refusal));
        }
        sleep(refusal.wait).await;
    }
}

/// Records that a request is sent, or withholds it.
///
/// # Errors
///
/// Returns an error for the caller if one of its parts is under suspicion.
pub(crate) fn begin_trial(node: &Node, parts: &[Part]) -> Result<(), Error> {
    let nodes = node_count(node);
    let now = node.clock.now();
    let admitted = node.quarantine().admit(parts, nodes, now);
    admitted.map_err(|refusal| withheld_error(node, &refusal))
}

/// Records that a server lost the connection on which it ran a request with these parts for
/// `run`.
pub(crate) async fn record_loss(node: &Node, parts: &[Part], offer: &Offer, run: Duration) {
    let at = node.clock.now();
    if has_ended(node, offer).await {
        record_crash(node, parts, offer, run, at);
    }
}

/// Returns whether the server that lost a connection has ended.
async fn has_ended(node: &Node, offer: &Offer) -> bool {
    let open = |address| {
        let limits = node.pool.limits().clone();
        async move { timeout(CHECK_TIMEOUT, Connection::open(address, &limits)).await }
    };
    match open(offer.address).await {
        Ok(Ok(connection)) => return connection.boot() != offer.capacity.boot,
        Ok(Err(_)) => {}
        // A server that is frozen or unreachable answers nothing.
        Err(_) => return false,
    }
    let others: Vec<SocketAddr> = node
        .servers()
        .describe(node.clock.now())
        .into_iter()
        .map(|(other, ..)| other.address)
        .filter(|address| *address != offer.address)
        .choose_multiple(&mut rand::rng(), COMPARED_SERVERS);
    let mut checks = JoinSet::new();
    for address in &others {
        checks.spawn(open(*address));
    }
    let opened = checks.join_all().await;
    let accepted = opened.iter().filter(|o| matches!(o, Ok(Ok(_)))).count();
    accepted * 2 >= others.len()
}

/// Records the crash of a server at `at`, after it had worked on a request for `run`.
fn record_crash(node: &Node, parts: &[Part], offer: &Offer, run: Duration, at: Moment) {
    let boot = offer.capacity.boot.as_u64_pair().0;
    let server = Server::new(&offer.instance, boot);
    let now = node.clock.now();
    let mut table = node.quarantine();
    let affected = table.record_crash(parts, server, run, at);
    let changes = table.assess(now, &mut rand::rng());
    drop(table);
    if !affected.is_empty() {
        info!(node.log, "server crashed while it ran a request"; "instance" => %offer.instance,
            "parts" => affected.len(), "run_ms" => run.as_millis() as u64);
    }
    log_changes(node, &changes, "own");
}

/// Clears the parts of a draft whose answer went on past its beginning, or of a call with
/// an answer.
pub(crate) fn record_success(node: &Node, parts: &[Part]) {
    let now = node.clock.now();
    let mut table = node.quarantine();
    if table.record_success(parts, now).is_empty() {
        return;
    }
    let changes = table.assess(now, &mut rand::rng());
    drop(table);
    log_changes(node, &changes, "own");
}

/// Returns the crash histories to send to other nodes.
pub(crate) fn records(node: &Node, now: Moment) -> Vec<Record> {
    let table = node.quarantine();
    let parts = table.parts().into_iter().take(MAX_RECORDS);
    parts.filter_map(|part| table.record(part, now)).collect()
}

/// Applies the crash histories of another node.
pub(crate) fn apply(node: &Node, records: &[Record], from: &NodeName, now: Moment) {
    if records.is_empty() {
        return;
    }
    let mut table = node.quarantine();
    let mut is_changed = false;
    for record in records.iter().take(MAX_RECORDS) {
        is_changed |= table.merge(record, now);
    }
    if !is_changed {
        return;
    }
    let changes = table.assess(now, &mut rand::rng());
    drop(table);
    log_changes(node, &changes, from.as_str());
}

/// Returns the number of nodes that are not dead.
fn node_count(node: &Node) -> usize {
    let members = node.members();
    let live = members
        .members()
        .filter(|member| member.health != Health::Dead);
    live.count().max(1)
}

/// Logs parts whose level changed.
fn log_changes(node: &Node, changes: &[Change], source: &str) {
    for change in changes {
        info!(node.log, "treatment of a request's part changed"; "kind" => change.part.kind(), "part" => format!("{:016x}", change.part.digest()),
            "level" => ?change.level, "crashes" => change.crashes, "source" => source,
            "last_crash_age_ms" => change.last_crash_age.as_millis() as u64);
    }
}

/// Returns the error for the caller of a withheld request.
fn withheld_error(node: &Node, refusal: &Refusal) -> Error {
    info!(node.log, "request withheld"; "kind" => refusal.part.kind(), "part" => format!("{:016x}", refusal.part.digest()), "level" => ?refusal.level,
        "crashes" => refusal.crashes, "wait_ms" => refusal.wait.as_millis() as u64,
        "interval_ms" => refusal.interval.as_millis() as u64);
    Error::not_run(Kind::Unavailable, refusal.message())
        .with_retry_after(refusal.interval.max(MIN_RETRY_DELAY))
}
