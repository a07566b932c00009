//! Checks whether replicas may take requests.

use crate::{InstanceStatus, ListingState, Phase, View};
use clock::Moment;
use name::{Generation, Instance, Model, Replica};
use state::{Assignment, State};
use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

/// A replica that may take requests.
#[common::plain]
pub struct Servable {
    /// The generation, which is the fencing number of dispatches.
    pub generation: Generation,
    /// The model.
    pub model: Model,
    /// The version.
    pub version: Arc<str>,
    /// The member that takes requests.
    pub lead: Instance,
    /// The address of the lead's engine.
    pub address: SocketAddr,
    /// Whether the members span fabric domains, which makes the replica slow.
    pub spans_fabrics: bool,
    /// The earliest moment at which a report of a member can have been true.
    pub as_of: Moment,
}

/// Why a replica may not take requests.
#[common::plain]
pub struct Blocked {
    /// The member that blocks the replica, if the cause concerns one member.
    pub instance: Option<Instance>,
    /// The cause.
    pub cause: Cause,
}

/// The cause for which a replica may not take requests, most severe first.
#[common::key]
pub enum Cause {
    /// The replica is not assigned, or it has no members.
    Unassigned,
    /// The dispatch is for a generation that is not in force.
    Superseded {
        /// The generation in force.
        current: Generation,
    },
    /// Operators have taken out the member or its failure domain.
    Out,
    /// The platform lists the member as leaving.
    Leaving,
    /// Two watchers in different failure domains suspect the member.
    Suspected,
    /// The member was never listed.
    Unknown,
    /// The member's latest report is too old, or there is none.
    Silent,
    /// The member reports another replica, generation or member index.
    Elsewhere {
        /// The reported generation.
        generation: Generation,
    },
    /// The member is in another phase than ready.
    Unready {
        /// The reported phase.
        phase: Phase,
    },
}

impl Blocked {
    /// Returns whether the cause is planned, so that requests in progress continue.
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

/// Returns for each assigned replica how to reach it, or why it may not take requests.
pub fn servable(
    state: &State,
    view: &View,
    now: Moment,
) -> BTreeMap<Replica, Result<Servable, Blocked>> {
    state
        .assignments
        .iter()
        .map(|(replica, a)| (replica.clone(), check_replica(state, view, replica, a, now)))
        .collect()
}

/// Checks directly before a send that the replica may still take the request.
///
/// # Errors
///
/// Fails if `generation` is no longer in force, or if the replica is no longer
/// servable. The caller has not sent the request at that point, so that it did
/// not run.
pub fn dispatch_check(
    state: &State,
    view: &View,
    replica: &Replica,
    generation: Generation,
    now: Moment,
) -> Result<Servable, Blocked> {
    let whole_replica = |cause| Blocked {
        instance: None,
        cause,
    };
    let assignment = state
        .assignments
        .get(replica)
        .ok_or_else(|| whole_replica(Cause::Unassigned))?;
    let current = assignment.generation;
    if current != generation {
        return Err(whole_replica(Cause::Superseded { current }));
    }
    check_replica(state, view, replica, assignment, now)
}

/// Returns how to reach one replica, or the most severe cause that blocks it.
pub(crate) fn check_replica(
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
                .blocking_cause(state, view, instance, now)
                .map(|cause| (cause, instance))
        })
        .min();
    if let Some((cause, instance)) = worst {
        return Err(Blocked {
            instance: Some(instance.clone()),
            cause,
        });
    }
    let statuses: Vec<&InstanceStatus> = assignment
        .members
        .iter()
        .filter_map(|i| view.get(i))
        .collect();
    let (Some(lead), Some(first)) = (assignment.members.first(), statuses.first()) else {
        return Err(Blocked {
            instance: None,
            cause: Cause::Unassigned,
        });
    };
    let reports = statuses.iter().filter_map(|s| s.latest.as_ref());
    Ok(Servable {
        generation: assignment.generation,
        model: assignment.model.clone(),
        version: Arc::clone(&assignment.version),
        lead: lead.clone(),
        address: first.address,
        spans_fabrics: statuses.iter().any(|s| s.fabric != first.fabric),
        as_of: reports.map(|s| s.as_of).min().unwrap_or_default(),
    })
}

/// The place of one member in a replica.
struct Place<'a> {
    replica: &'a Replica,
    generation: Generation,
    member: u32,
}

impl Place<'_> {
    /// Returns the cause that blocks `instance` from serving in this place, if any.
    fn blocking_cause(
        &self,
        state: &State,
        view: &View,
        instance: &Instance,
        now: Moment,
    ) -> Option<Cause> {
        let Some(status) = view.get(instance) else {
            return Some(Cause::Unknown);
        };
        if state.is_taken_out(instance, &status.domain) {
            return Some(Cause::Out);
        }
        if status.listing == ListingState::Leaving {
            return Some(Cause::Leaving);
        }
        if status.is_suspected(now) {
            return Some(Cause::Suspected);
        }
        let Some(report) = status.fresh_report(view.settings(), now) else {
            return Some(Cause::Silent);
        };
        let is_in_place = report.replica.as_ref() == Some(self.replica)
            && report.generation == self.generation
            && report.member == self.member;
        if !is_in_place {
            let generation = report.generation;
            return Some(Cause::Elsewhere { generation });
        }
        let phase = report.phase;
        (phase != Phase::Ready).then_some(Cause::Unready { phase })
    }
}
