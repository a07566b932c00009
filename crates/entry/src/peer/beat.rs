//! What heartbeats and observations carry, and its conversions.
//!
//! What a node knows of backend servers travels in replies alone: the receiver
//! adds all the time since before it asked, so that a report never looks
//! younger than it is, however long either message was under way.

use crate::{peer::room::target_name, serve::servers::Target};
use admit::limit::{Demand, Grant};
use clock::Moment;
use member::Beat;
use name::{Domain, Incarnation, Node, Offset};
use replica::{Report, Vote};
use std::{collections::BTreeMap, time::Duration};
use wire::{
    BeatReply, BeatRequest, FreeSlots, InProgress, ObserveReply, ObserveRequest, convert::Invalid,
};

/// A report of a backend server with its age when it was sent on.
#[common::value]
pub(crate) struct Sighted {
    /// The report.
    #[serde(rename = "r")]
    pub(crate) report: Report,
    /// Its warmth and limits.
    #[serde(rename = "w")]
    pub(crate) bearing: Bearing,
    /// The time since before it was asked for.
    #[serde(rename = "a")]
    pub(crate) age: Duration,
    /// Whether it is a plain service.
    #[serde(rename = "s")]
    pub(crate) is_service: bool,
}

/// What a backend server bears.
#[common::key]
pub(crate) struct Bearing {
    /// Whether it has warmed up.
    #[serde(rename = "w")]
    pub(crate) warm: bool,
    /// Requests that a warm one bears at once.
    #[serde(rename = "h")]
    pub(crate) warm_limit: u32,
    /// Requests that a cold one bears at once.
    #[serde(rename = "c")]
    pub(crate) cold_limit: u32,
}

/// A question for what a peer knows of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Question {
    /// The node that asks.
    pub(crate) node: Node,
    /// Demands for accounts whose home is the receiver.
    pub(crate) demands: Vec<Demand>,
}

/// What a node knows of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Observed {
    /// The node that says so.
    pub(crate) node: Node,
    /// Reports of the backend servers that it watches.
    pub(crate) sighted: Vec<Sighted>,
    /// Its votes as a watcher.
    pub(crate) votes: Vec<Vote>,
    /// Its free slots.
    pub(crate) free: Vec<FreeSlots>,
    /// The last control offset that it has folded.
    pub(crate) control_offset: Offset,
    /// Its requests in progress, by failure domain.
    pub(crate) in_progress: BTreeMap<Domain, u32>,
    /// Grants for the demands of the node that asked.
    pub(crate) grants: Vec<Grant>,
}

/// Returns `part` as JSON; every part has a JSON form.
fn json(part: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(part).unwrap_or_default()
}

/// Reads a part.
fn read<T: serde::de::DeserializeOwned>(bytes: &[u8], field: &'static str) -> Result<T, Invalid> {
    serde_json::from_slice(bytes).map_err(|_| Invalid::new(field))
}

/// Returns free slots as a message.
pub(crate) fn free_slots(free: &BTreeMap<Target, u32>) -> Vec<FreeSlots> {
    let slots = free.iter().filter(|(_, count)| **count > 0);
    slots
        .map(|(target, count)| FreeSlots {
            target: target_name(target),
            count: *count,
        })
        .collect()
}

/// Returns a heartbeat as a message.
pub(crate) fn beat_request(beat: &Beat) -> BeatRequest {
    BeatRequest {
        node: beat.node.to_string(),
        incarnation: beat.incarnation.0.as_bytes().to_vec(),
        member: json(beat),
    }
}

/// Reads a heartbeat.
///
/// # Errors
///
/// Returns an error if the message does not convert.
pub(crate) fn beat_of(request: &BeatRequest) -> Result<Beat, Invalid> {
    let beat: Beat = read(&request.member, "member")?;
    let incarnation = uuid::Uuid::from_slice(&request.incarnation).map(Incarnation);
    let is_own = beat.node.as_str() == request.node && Ok(beat.incarnation) == incarnation;
    if is_own {
        Ok(beat)
    } else {
        Err(Invalid::new("node"))
    }
}

/// Returns the answer to a heartbeat as a message.
pub(crate) fn beat_reply(beat: &Beat) -> BeatReply {
    BeatReply { member: json(beat) }
}

/// Reads the answer to a heartbeat.
///
/// # Errors
///
/// Returns an error if the message does not convert.
pub(crate) fn answer_of(reply: &BeatReply) -> Result<Beat, Invalid> {
    read(&reply.member, "member")
}

impl From<Question> for ObserveRequest {
    fn from(question: Question) -> Self {
        Self {
            node: question.node.to_string(),
            demands: json(&question.demands),
        }
    }
}

impl TryFrom<ObserveRequest> for Question {
    type Error = Invalid;

    fn try_from(request: ObserveRequest) -> Result<Self, Invalid> {
        Ok(Self {
            node: Node::try_from(request.node).map_err(|_| Invalid::new("node"))?,
            demands: read(&request.demands, "demands")?,
        })
    }
}

impl From<Observed> for ObserveReply {
    fn from(observed: Observed) -> Self {
        Self {
            node: observed.node.to_string(),
            reports: json(&observed.sighted),
            votes: json(&observed.votes),
            free: observed.free,
            control_offset: observed.control_offset.0,
            grants: json(&observed.grants),
            in_progress: observed
                .in_progress
                .iter()
                .map(|(domain, count)| InProgress {
                    domain: domain.to_string(),
                    count: *count,
                })
                .collect(),
        }
    }
}

impl TryFrom<ObserveReply> for Observed {
    type Error = Invalid;

    fn try_from(reply: ObserveReply) -> Result<Self, Invalid> {
        Ok(Self {
            node: Node::try_from(reply.node).map_err(|_| Invalid::new("node"))?,
            sighted: read(&reply.reports, "reports")?,
            votes: read(&reply.votes, "votes")?,
            free: reply.free,
            control_offset: Offset(reply.control_offset),
            grants: read(&reply.grants, "grants")?,
            in_progress: reply
                .in_progress
                .into_iter()
                .map(|entry| Ok((Domain::try_from(entry.domain)?, entry.count)))
                .collect::<Result<_, name::Invalid>>()
                .map_err(|_| Invalid::new("in_progress"))?,
        })
    }
}

impl Sighted {
    /// Returns the earliest moment to which the report can refer, if it was
    /// asked for at `asked` on this node's clock.
    pub(crate) fn taken(&self, asked: Moment) -> Moment {
        asked - self.age
    }
}
