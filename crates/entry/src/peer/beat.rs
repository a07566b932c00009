//! What heartbeats carry, and its conversions.
//!
//! The membership part goes both ways. The caller also brings what it knows of
//! backend servers, its free slots and its accounts' demands; grants come back
//! in the reply.

use admit::limit::{Demand, Grant};
use clock::Moment;
use member::Beat;
use name::Incarnation;
use replica::{Report, Vote};
use std::{collections::BTreeMap, time::Duration};
use wire::{BeatReply, BeatRequest, FreeSlots, convert::Invalid};

use crate::{
    peer::room::target_name,
    serve::servers::Target,
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

/// What a heartbeat carries.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Cargo {
    /// The membership part.
    pub(crate) beat: Beat,
    /// Reports of backend servers.
    pub(crate) sighted: Vec<Sighted>,
    /// Votes of the sender as a watcher.
    pub(crate) votes: Vec<Vote>,
    /// Free slots of the sender.
    pub(crate) free: BTreeMap<Target, u32>,
    /// Demands for accounts whose home is the receiver.
    pub(crate) demands: Vec<Demand>,
    /// The last control offset that the sender has folded.
    pub(crate) control_offset: u64,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Returned {
    /// The membership part.
    pub(crate) beat: Beat,
    /// Grants for the caller's demands.
    pub(crate) grants: Vec<Grant>,
    /// The last control offset that the sender has folded.
    pub(crate) control_offset: u64,
}

/// Returns `part` as JSON; every part has a JSON form.
fn json(part: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(part).unwrap_or_default()
}

/// Reads a part.
fn read<T: serde::de::DeserializeOwned>(bytes: &[u8], field: &'static str) -> Result<T, Invalid> {
    serde_json::from_slice(bytes).map_err(|_| Invalid::new(field))
}

impl From<Cargo> for BeatRequest {
    fn from(cargo: Cargo) -> Self {
        let free = cargo.free.iter();
        Self {
            node: cargo.beat.node.to_string(),
            incarnation: cargo.beat.incarnation.0.as_bytes().to_vec(),
            member: json(&cargo.beat),
            reports: json(&cargo.sighted),
            votes: json(&cargo.votes),
            free: free
                .map(|(target, count)| FreeSlots { server: target_name(target), count: *count })
                .collect(),
            demands: json(&cargo.demands),
            control_offset: cargo.control_offset,
        }
    }
}

/// A heartbeat as it arrived.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Arrived {
    /// The membership part.
    pub(crate) beat: Beat,
    /// Reports of backend servers.
    pub(crate) sighted: Vec<Sighted>,
    /// Votes of the sender as a watcher.
    pub(crate) votes: Vec<Vote>,
    /// Free slots of the sender.
    pub(crate) free: Vec<FreeSlots>,
    /// Demands for accounts whose home is this node.
    pub(crate) demands: Vec<Demand>,
}

impl TryFrom<BeatRequest> for Arrived {
    type Error = Invalid;

    fn try_from(request: BeatRequest) -> Result<Self, Invalid> {
        let beat: Beat = read(&request.member, "member")?;
        let incarnation = uuid::Uuid::from_slice(&request.incarnation).map(Incarnation);
        let is_own = beat.node.as_str() == request.node && Ok(beat.incarnation) == incarnation;
        if !is_own {
            return Err(Invalid::new("node"));
        }
        Ok(Self {
            beat,
            sighted: read(&request.reports, "reports")?,
            votes: read(&request.votes, "votes")?,
            free: request.free,
            demands: read(&request.demands, "demands")?,
        })
    }
}

impl From<Returned> for BeatReply {
    fn from(returned: Returned) -> Self {
        Self {
            member: json(&returned.beat),
            grants: json(&returned.grants),
            control_offset: returned.control_offset,
        }
    }
}

impl TryFrom<BeatReply> for Returned {
    type Error = Invalid;

    fn try_from(reply: BeatReply) -> Result<Self, Invalid> {
        Ok(Self {
            beat: read(&reply.member, "member")?,
            grants: read(&reply.grants, "grants")?,
            control_offset: reply.control_offset,
        })
    }
}

impl Sighted {
    /// Returns the earliest moment to which the report can refer, on this
    /// node's clock, if it arrived at `now` after at most `under_way`.
    pub(crate) fn taken(&self, now: Moment, under_way: Duration) -> Moment {
        now - self.age - under_way
    }
}
