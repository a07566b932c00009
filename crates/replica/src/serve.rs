//! Which replicas may take requests.

use crate::{Listing, Phase, Seen, View};
use clock::Moment;
use name::{Generation, Instance, Model, Replica};
use state::{Assignment, State};
use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

/// A replica that may take requests.
#[common::plain]
pub struct Servable {
    /// The fencing number that a dispatch names.
    pub generation: Generation,
    /// The model.
    pub model: Model,
    /// The version.
    pub version: Arc<str>,
    /// The member that takes requests.
    pub lead: Instance,
    /// The address of the lead's engine.
    pub address: SocketAddr,
    /// Whether the members span fabric domains, which is slow.
    pub spread: bool,
    /// The earliest moment to which the members' reports refer.
    pub seen: Moment,
}

/// Why a replica may not take requests.
#[common::plain]
pub struct Blocked {
    /// The member concerned, if one is.
    pub instance: Option<Instance>,
    /// The cause.
    pub cause: Cause,
}

/// The cause for which a replica may not take requests, gravest first.
#[common::key]
pub enum Cause {
    /// No such replica is assigned, or it has no members.
    Unassigned,
    /// The dispatch names a generation that is not in force.
    Superseded {
        /// The generation in force.
        current: Generation,
    },
    /// Operators have taken the member out.
    Out,
    /// The member leaves.
    Leaving,
    /// Two watchers in different failure domains suspect the member.
    Suspected,
    /// The member was never listed.
    Unknown,
    /// The member's latest report is too old, or there is none.
    Silent,
    /// The member reports another membership.
    Elsewhere {
        /// The generation that it reports.
        generation: Generation,
    },
    /// The member is not ready.
    Unready {
        /// Its phase.
        phase: Phase,
    },
}

impl Blocked {
    /// Returns whether the cause is planned, so that requests in progress go on.
    pub fn is_planned(&self) -> bool {
        matches!(self.cause, Cause::Out | Cause::Leaving)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unassigned => f.write_str("not assigned"),
            Self::Superseded { current } => write!(f, "generation {current} is in force"),
            Self::Out => f.write_str("taken out"),
            Self::Leaving => f.write_str("leaving"),
            Self::Suspected => f.write_str("suspected"),
            Self::Unknown => f.write_str("never listed"),
            Self::Silent => f.write_str("no fresh report"),
            Self::Elsewhere { generation } => write!(f, "reports generation {generation}"),
            Self::Unready { phase } => write!(f, "in phase {phase:?}"),
        }
    }
}

impl fmt::Display for Blocked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.instance {
            Some(instance) => write!(f, "instance {instance}: {}", self.cause),
            None => self.cause.fmt(f),
        }
    }
}

impl std::error::Error for Blocked {}

/// Returns for each replica whether it may take requests, or why not.
pub fn servable(
    state: &State,
    view: &View,
    now: Moment,
) -> BTreeMap<Replica, Result<Servable, Blocked>> {
    state
        .assignments
        .iter()
        .map(|(replica, a)| (replica.clone(), judge(state, view, replica, a, now)))
        .collect()
}

/// Checks directly before a send that the replica may still take the request.
///
/// # Errors
///
/// Fails if `generation` is no longer in force, or if the replica is no longer
/// servable. Nothing was sent, so that the request was not run.
pub fn dispatch_check(
    state: &State,
    view: &View,
    replica: &Replica,
    generation: Generation,
    now: Moment,
) -> Result<Servable, Blocked> {
    let whole = |cause| Blocked {
        instance: None,
        cause,
    };
    let assignment = state
        .assignments
        .get(replica)
        .ok_or_else(|| whole(Cause::Unassigned))?;
    let current = assignment.generation;
    if current != generation {
        return Err(whole(Cause::Superseded { current }));
    }
    judge(state, view, replica, assignment, now)
}

/// Judges one replica.
pub(crate) fn judge(
    state: &State,
    view: &View,
    replica: &Replica,
    assignment: &Assignment,
    now: Moment,
) -> Result<Servable, Blocked> {
    let worst = (0..)
        .zip(&assignment.members)
        .filter_map(|(member, instance)| {
            let place = Place {
                replica,
                generation: assignment.generation,
                member,
            };
            place
                .fault(state, view, instance, now)
                .map(|cause| (cause, instance))
        })
        .min();
    if let Some((cause, instance)) = worst {
        return Err(Blocked {
            instance: Some(instance.clone()),
            cause,
        });
    }
    let seen: Vec<&Seen> = assignment
        .members
        .iter()
        .filter_map(|i| view.get(i))
        .collect();
    let (Some(lead), Some(first)) = (assignment.members.first(), seen.first()) else {
        return Err(Blocked {
            instance: None,
            cause: Cause::Unassigned,
        });
    };
    let taken = seen.iter().filter_map(|s| s.latest.as_ref());
    Ok(Servable {
        generation: assignment.generation,
        model: assignment.model.clone(),
        version: Arc::clone(&assignment.version),
        lead: lead.clone(),
        address: first.address,
        spread: seen.iter().any(|s| s.fabric != first.fabric),
        seen: taken.map(|s| s.taken).min().unwrap_or_default(),
    })
}

/// A place in a replica.
struct Place<'a> {
    replica: &'a Replica,
    generation: Generation,
    member: u32,
}

impl Place<'_> {
    /// Returns what keeps `instance` from serving in this place.
    fn fault(&self, state: &State, view: &View, instance: &Instance, now: Moment) -> Option<Cause> {
        let Some(seen) = view.get(instance) else {
            return Some(Cause::Unknown);
        };
        if state.is_taken_out(instance, &seen.domain) {
            return Some(Cause::Out);
        }
        if seen.listing == Listing::Leaving {
            return Some(Cause::Leaving);
        }
        if seen.suspected(now) {
            return Some(Cause::Suspected);
        }
        let Some(report) = seen.fresh(view.settings(), now) else {
            return Some(Cause::Silent);
        };
        let here = report.replica.as_ref() == Some(self.replica)
            && report.generation == self.generation
            && report.member == self.member;
        if !here {
            let generation = report.generation;
            return Some(Cause::Elsewhere { generation });
        }
        let phase = report.phase;
        (phase != Phase::Ready).then_some(Cause::Unready { phase })
    }
}
