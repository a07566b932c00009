//! Heartbeat and observation messages, and their conversions.
//!
//! Reports of backend servers are sent only in replies. The receiver adds the
//! whole time since before it sent the request to a report's age, so that a
//! report never appears fresher than it is, whatever the network delay of either
//! message.

use crate::{peer::slots::target_name, serve::servers::Target};
use admit::limit::{Demand, Grant};
use clock::Moment;
use member::Beat;
use name::{Domain, Incarnation, Node, Offset};
use replica::{Report, Vote};
use std::{collections::BTreeMap, time::Duration};
use wire::{
    BeatReply, BeatRequest, FreeSlots, InProgress, ObserveReply, ObserveRequest, convert::Invalid,
};

/// A report of a backend server, with its age when it was relayed.
#[common::value]
pub(crate) struct AgedReport {
    /// The report.
    #[serde(rename = "r")]
    pub(crate) report: Report,
    /// Whether the server is warm, and its limits.
    #[serde(rename = "w")]
    pub(crate) capacity: Capacity,
    /// The time since the report was requested.
    #[serde(rename = "a")]
    pub(crate) age: Duration,
    /// Whether the server is a plain service.
    #[serde(rename = "s")]
    pub(crate) is_service: bool,
}

/// The concurrency limits of a backend server.
#[common::key]
pub(crate) struct Capacity {
    /// Whether it has warmed up.
    #[serde(rename = "w")]
    pub(crate) warm: bool,
    /// The maximum number of concurrent requests of a warm server.
    #[serde(rename = "h")]
    pub(crate) warm_limit: u32,
    /// The maximum number of concurrent requests of a cold server.
    #[serde(rename = "c")]
    pub(crate) cold_limit: u32,
}

/// A request for a peer's observations of backend servers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ObservationQuery {
    /// The requesting node.
    pub(crate) node: Node,
    /// Demands for accounts whose home is the receiver.
    pub(crate) demands: Vec<Demand>,
}

/// The observations of backend servers that a node sends in reply.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Observation {
    /// The replying node.
    pub(crate) node: Node,
    /// Reports of the backend servers that it watches.
    pub(crate) reports: Vec<AgedReport>,
    /// Its votes, as a watcher, on suspected backend servers.
    pub(crate) votes: Vec<Vote>,
    /// Its free slots.
    pub(crate) free: Vec<FreeSlots>,
    /// The last control offset that it has folded.
    pub(crate) control_offset: Offset,
    /// Its requests in progress, by failure domain.
    pub(crate) in_progress: BTreeMap<Domain, u32>,
    /// Grants for the demands of the requesting node.
    pub(crate) grants: Vec<Grant>,
    /// Crash histories of parts of prompts.
    pub(crate) evidence: Vec<quarantine::Record>,
}

/// Encodes a part of a message as JSON; every part has a JSON form.
fn encode(part: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(part).unwrap_or_default()
}

/// Decodes a part of a message from JSON.
fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8], field: &'static str) -> Result<T, Invalid> {
    serde_json::from_slice(bytes).map_err(|_| Invalid::new(field))
}

/// Encodes evidence; without any, the field is left out.
fn encode_evidence(records: &[quarantine::Record]) -> Vec<u8> {
    if records.is_empty() {
        Vec::new()
    } else {
        encode(&records)
    }
}

/// Decodes evidence, which nodes of earlier versions do not send.
fn decode_evidence(bytes: &[u8]) -> Result<Vec<quarantine::Record>, Invalid> {
    if bytes.is_empty() {
        return Ok(Vec::new());
    }
    decode(bytes, "evidence")
}

/// Encodes the numbers of free slots; targets without any are left out.
pub(crate) fn encode_free_slots(free: &BTreeMap<Target, u32>) -> Vec<FreeSlots> {
    let slots = free.iter().filter(|(_, count)| **count > 0);
    slots
        .map(|(target, count)| FreeSlots {
            target: target_name(target),
            count: *count,
        })
        .collect()
}

/// Encodes a heartbeat.
pub(crate) fn encode_heartbeat(beat: &Beat) -> BeatRequest {
    BeatRequest {
        node: beat.node.to_string(),
        incarnation: beat.incarnation.0.as_bytes().to_vec(),
        member: encode(beat),
    }
}

/// Decodes a heartbeat.
///
/// # Errors
///
/// Returns an error if the message does not convert.
pub(crate) fn decode_heartbeat(request: &BeatRequest) -> Result<Beat, Invalid> {
    let beat: Beat = decode(&request.member, "member")?;
    let incarnation = uuid::Uuid::from_slice(&request.incarnation).map(Incarnation);
    let is_own = beat.node.as_str() == request.node && Ok(beat.incarnation) == incarnation;
    if is_own {
        Ok(beat)
    } else {
        Err(Invalid::new("node"))
    }
}

/// Encodes the reply to a heartbeat.
pub(crate) fn encode_heartbeat_reply(beat: &Beat) -> BeatReply {
    BeatReply {
        member: encode(beat),
    }
}

/// Decodes the reply to a heartbeat.
///
/// # Errors
///
/// Returns an error if the message does not convert.
pub(crate) fn decode_heartbeat_reply(reply: &BeatReply) -> Result<Beat, Invalid> {
    decode(&reply.member, "member")
}

impl From<ObservationQuery> for ObserveRequest {
    fn from(query: ObservationQuery) -> Self {
        Self {
            node: query.node.to_string(),
            demands: encode(&query.demands),
        }
    }
}

impl TryFrom<ObserveRequest> for ObservationQuery {
    type Error = Invalid;

    fn try_from(request: ObserveRequest) -> Result<Self, Invalid> {
        Ok(Self {
            node: Node::try_from(request.node).map_err(|_| Invalid::new("node"))?,
            demands: decode(&request.demands, "demands")?,
        })
    }
}

impl From<Observation> for ObserveReply {
    fn from(observation: Observation) -> Self {
        Self {
            node: observation.node.to_string(),
            reports: encode(&observation.reports),
            votes: encode(&observation.votes),
            free: observation.free,
            control_offset: observation.control_offset.0,
            grants: encode(&observation.grants),
            evidence: encode_evidence(&observation.evidence),
            in_progress: observation
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

impl TryFrom<ObserveReply> for Observation {
    type Error = Invalid;

    fn try_from(reply: ObserveReply) -> Result<Self, Invalid> {
        Ok(Self {
            node: Node::try_from(reply.node).map_err(|_| Invalid::new("node"))?,
            reports: decode(&reply.reports, "reports")?,
            votes: decode(&reply.votes, "votes")?,
            free: reply.free,
            control_offset: Offset(reply.control_offset),
            grants: decode(&reply.grants, "grants")?,
            evidence: decode_evidence(&reply.evidence)?,
            in_progress: reply
                .in_progress
                .into_iter()
                .map(|entry| Ok((Domain::try_from(entry.domain)?, entry.count)))
                .collect::<Result<_, name::Invalid>>()
                .map_err(|_| Invalid::new("in_progress"))?,
        })
    }
}

impl AgedReport {
    /// Returns the earliest moment to which the report can refer.
    ///
    /// `requested_at` is when this node sent the request, by its own clock.
    pub(crate) fn as_of(&self, requested_at: Moment) -> Moment {
        requested_at - self.age
    }
}
