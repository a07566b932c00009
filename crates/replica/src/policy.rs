//! Policies for the formation and repair of replicas.

use std::{fmt, sync::Arc, time::Duration};

/// Estimates from which a policy decides how long to wait for a lost member.
#[common::plain]
pub struct RecoveryEstimate {
    /// Whether free instances with the weights can take all missing places at once.
    pub has_loaded_spare: bool,
    /// The expected time until a lost instance returns.
    pub return_time: Duration,
    /// The expected time to load the weights.
    pub load_time: Duration,
}

/// The rules by which replicas are formed and repaired.
#[derive(Clone)]
pub struct Policy {
    /// The name of the policy in the settings.
    pub name: &'static str,
    /// The number of free instances that forming leaves in each fabric domain.
    pub spares_per_fabric: usize,
    /// Whether free instances replace lost members.
    pub replaces_lost: bool,
    /// Whether replicas that cannot be repaired are dissolved to repair others.
    pub merges_survivors: bool,
    /// Whether a replica may span fabric domains when nothing else is possible.
    pub may_span_fabrics: bool,
    /// Whether a free instance with the weights replaces a member that is still loading.
    pub swaps_loading: bool,
    /// The age at which a replica across fabric domains moves into one of them.
    ///
    /// The age applies to a move that needs a weight load; a move without one
    /// needs no minimum age. With `None`, replicas never move.
    pub consolidates_after: Option<Duration>,
    /// How long to wait for a lost member before it is replaced.
    pub replacement_delay: Arc<dyn Fn(&RecoveryEstimate) -> Duration + Send + Sync>,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Policy")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Policy {
    /// The names of the policies.
    pub const NAMES: [&'static str; 4] = ["adaptive", "fixed", "spare", "merge"];

    /// Returns the policy with the given name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "adaptive" => Some(adaptive()),
            "fixed" => Some(fixed()),
            "spare" => Some(spare()),
            "merge" => Some(merge()),
            _ => None,
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        adaptive()
    }
}

/// Never replaces a member: a replica waits for its lost member.
fn fixed() -> Policy {
    Policy {
        name: "fixed",
        spares_per_fabric: 0,
        replaces_lost: false,
        merges_survivors: false,
        may_span_fabrics: false,
        swaps_loading: false,
        consolidates_after: None,
        replacement_delay: Arc::new(|_| Duration::MAX),
    }
}

/// Keeps one free instance in each fabric domain to replace a lost member.
fn spare() -> Policy {
    Policy {
        name: "spare",
        spares_per_fabric: 1,
        replaces_lost: true,
        replacement_delay: Arc::new(|_| Duration::ZERO),
        ..fixed()
    }
}

/// Merges the remaining members of broken replicas within a fabric domain.
fn merge() -> Policy {
    Policy {
        name: "merge",
        replaces_lost: true,
        merges_survivors: true,
        replacement_delay: Arc::new(|_| Duration::ZERO),
        ..fixed()
    }
}

/// Combines replacement, merging and moves, without waiting for lost members.
///
/// A lost member that returns with its weights replaces a member that is still
/// loading, so that waiting for it first has no benefit.
fn adaptive() -> Policy {
    Policy {
        name: "adaptive",
        spares_per_fabric: 0,
        replaces_lost: true,
        merges_survivors: true,
        may_span_fabrics: true,
        swaps_loading: true,
        consolidates_after: Some(CONSOLIDATION_AGE),
        replacement_delay: Arc::new(|_| Duration::ZERO),
    }
}

/// The age at which `adaptive` moves a replica into one fabric domain despite a load.
const CONSOLIDATION_AGE: Duration = Duration::from_secs(600);
