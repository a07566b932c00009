//! Requests that a node without links to the servers passes on to another node.
//!
//! The other node gets the caller's request as the caller sent it, at its port for callers:
//! it authenticates the caller, and counts the request against limits, credit and shares
//! as its own, so that no node needs to trust another. A header with the number of
//! servers that may have run the request marks it, and such a request is not passed on
//! again. A caller that sets the header itself only forgoes this.

use crate::{
    admit::{Job, RETRY_ELSEWHERE},
    attempt::{Answer, Attempts},
    slot::Slot,
    state::Shared,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use name::{Instance, Node};
use net::Payload;
use place::Target;
use rand::seq::IndexedRandom;
use site::{call::ForwardContext, node::NodeRecord};
use std::{sync::Arc, time::Duration};
use verdict::{Error, Kind};

/// The header of a request that another node passes on: the number of servers that may
/// have run it.
const RUNS: HeaderName = HeaderName::from_static("arbutusford-runs");

/// The header of the response to such a request: the server, a space, its incarnation.
pub(crate) const SERVER: HeaderName = HeaderName::from_static("arbutusford-server");

/// The maximum number of nodes to which an isolated node passes on one request.
const MAX_NODES: usize = 3;

/// The most servers that a mark may name; callers can set it as well.
const MAX_RUNS: u32 = 1_000;

/// The time reserved for the other node's answer to travel back.
const REPLY_MARGIN: Duration = Duration::from_millis(20);

/// The least number of servers out of reach for a request before a node that is not
/// isolated passes it on.
const MIN_UNREACHABLE: u32 = 2;

/// Removes the mark of a request that another node passed on, and returns the number of
/// servers that may have run it.
pub(crate) fn take_runs(headers: &mut HeaderMap) -> Option<u32> {
    let value = headers.remove(RUNS)?;
    let runs = value.to_str().ok().and_then(|value| value.parse().ok());
    // A mark that is not understood still forbids to pass the request on.
    Some(runs.unwrap_or(0).min(MAX_RUNS))
}

/// Returns the mark of a response: which server sent it.
pub(crate) fn server_mark(target: &Target) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{} {}", target.server, target.incarnation)).ok()
}

/// Returns the server and the incarnation that a marked response names.
fn marked_server(headers: &HeaderMap) -> Option<(Instance, u64)> {
    let (server, incarnation) = headers.get(SERVER)?.to_str().ok()?.split_once(' ')?;
    Some((server.try_into().ok()?, incarnation.parse().ok()?))
}

impl Job {
    /// Returns a slot at another node, if this node cannot reach the servers itself.
    ///
    /// # Errors
    ///
    /// Returns an error if other nodes reach the servers and refused the request.
    pub(crate) fn slot_at_node(
        &self,
        shared: &Arc<Shared>,
        attempts: &Attempts,
    ) -> Result<Option<Slot>, Error> {
        if self.is_forwarded {
            return Ok(None);
        }
        let is_isolated = shared.is_isolated();
        let has_tried_all = attempts.unreachable >= MIN_UNREACHABLE
            && !shared.has_target(&self.service, self.call.model.as_ref(), &attempts.excluded);
        if !is_isolated && !has_tried_all {
            return Ok(None);
        }
        let now = shared.now();
        let nodes = shared.tables().peers.connected_nodes(now);
        let left: Vec<&NodeRecord> = nodes
            .iter()
            .filter(|record| !attempts.excluded_nodes.contains(&record.node))
            .collect();
        let max_nodes = if is_isolated { MAX_NODES } else { 1 };
        let is_allowed = attempts.excluded_nodes.len() < max_nodes;
        if let (Some(record), true) = (left.choose(&mut rand::rng()), is_allowed) {
            shared.metrics.count("forwards", "sent");
            return Ok(Slot::at_node(shared, record, &self.service));
        }
        // Without another node that reaches the servers, this one tries them itself.
        if nodes.is_empty() || !is_isolated {
            return Ok(None);
        }
        shared.metrics.count("forwards", "refused");
        let message = "this node reaches no server, and other nodes refused the request";
        let after = attempts.refused_for.unwrap_or(RETRY_ELSEWHERE);
        Err(self
            .error(attempts, Kind::Unavailable, message)
            .with_retry_after(after))
    }

    /// Builds the request to another node.
    pub(crate) fn forwarded_request(&self, shared: &Shared, runs: u32) -> Request<Payload> {
        let left = shared.now().until(self.deadline);
        let context = ForwardContext {
            time_left: left.saturating_sub(REPLY_MARGIN),
            last_event: self.call.last_event,
        };
        let mut request = (shared.platform.build_forwarded_request)(&self.outgoing, &context);
        request.headers_mut().insert(RUNS, HeaderValue::from(runs));
        request
    }

    /// Acts on another node's answer; returns whether that node refused the request.
    ///
    /// The answer is the caller's in all other cases, since the other node has made all
    /// attempts that the route allows.
    pub(crate) fn follow_node(
        &self,
        shared: &Arc<Shared>,
        answer: &Answer,
        attempts: &mut Attempts,
    ) -> bool {
        if let (true, Some((server, incarnation))) =
            (answer.head.is_leaving, marked_server(&answer.headers))
        {
            shared.record_leaving(&server, incarnation, &self.call.attempt_id);
        }
        let is_refusal = matches!(
            answer.status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::REQUEST_TIMEOUT
        );
        let is_refused = is_refusal && !answer.head.is_signed;
        if is_refused {
            attempts.refused_for = answer.head.retry_after.clone().and_then(Result::ok);
        }
        is_refused
    }
}

impl Shared {
    /// Returns whether another node is still there.
    pub(crate) fn is_node_available(&self, node: &Node) -> bool {
        let now = self.now();
        let tables = self.tables();
        tables.peers.is_available(node, now)
    }
}

#[cfg(test)]
mod tests;
