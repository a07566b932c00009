//! Validation of proposed changes, apart from their base revision.

use crate::{Assignment, Peer, Rejection};
use name::Offset;
use std::collections::BTreeSet;

/// The maximum number of replicas.
pub const MAX_REPLICAS: usize = 4_096;

/// The maximum number of entry nodes in an epoch.
pub const MAX_PEERS: usize = 1_024;

/// The maximum number of failure domains and instances with an operation.
pub const MAX_SCOPES: usize = 2_048;

/// The maximum length of an operator name or model version, in bytes.
const MAX_LABEL_BYTES: usize = 200;

/// Rejects a base that is not the current revision.
pub(crate) fn base(base: Offset, current: Offset) -> Result<(), Rejection> {
    if base == current {
        Ok(())
    } else {
        Err(Rejection::Conflict { current })
    }
}

/// Returns a rejection with one fault.
pub(crate) fn invalid(fault: impl Into<String>) -> Rejection {
    Rejection::Invalid {
        faults: vec![fault.into()],
    }
}

/// Rejects a label that is too long.
pub(crate) fn label(kind: &str, text: &str) -> Result<(), Rejection> {
    if text.len() <= MAX_LABEL_BYTES {
        Ok(())
    } else {
        Err(invalid(format!(
            "{kind} is longer than {MAX_LABEL_BYTES} bytes"
        )))
    }
}

/// Rejects an invalid assignment and reports every fault.
pub(crate) fn assignment(assignment: &Assignment) -> Result<(), Rejection> {
    let mut faults = Vec::new();
    let members = &assignment.members;
    let max = plan::MAX_REPLICA_MEMBERS as usize;
    if members.is_empty() || members.len() > max {
        faults.push(format!(
            "a replica has 1 to {max} members, not {}",
            members.len()
        ));
    }
    let mut seen = BTreeSet::new();
    for instance in members {
        if !seen.insert(instance) {
            faults.push(format!("instance {instance} is a member twice"));
        }
    }
    if let Err(Rejection::Invalid { faults: more }) = label("the version", &assignment.version) {
        faults.extend(more);
    }
    reject_faults(faults)
}

/// Rejects an invalid epoch and reports every fault.
pub(crate) fn peers(peers: &[Peer]) -> Result<(), Rejection> {
    let mut faults = Vec::new();
    if peers.is_empty() || peers.len() > MAX_PEERS {
        faults.push(format!(
            "an epoch has 1 to {MAX_PEERS} nodes, not {}",
            peers.len()
        ));
    }
    let mut seen = BTreeSet::new();
    for peer in peers {
        if !seen.insert(&peer.node) {
            faults.push(format!("node {} is listed twice", peer.node));
        }
    }
    reject_faults(faults)
}

fn reject_faults(faults: Vec<String>) -> Result<(), Rejection> {
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Rejection::Invalid { faults })
    }
}
