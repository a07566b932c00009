//! Policies: what to do about a lost member.

use std::{fmt, sync::Arc, time::Duration};

/// What is known when a policy decides how long to wait for a lost member.
#[common::plain]
pub struct RecoveryEstimate {
    /// Whether an instance that holds the weights can take the place at once.
    pub has_loaded_spare: bool,
    /// The expected time until a lost instance is back.
    pub return_time: Duration,
    /// The expected time to load the weights.
    pub load_time: Duration,
}

/// How replicas are kept whole; plain data and one closure.
#[derive(Clone)]
pub struct Policy {
    /// The policy's name.
    pub name: &'static str,
    /// The free instances that forming leaves in each fabric domain.
    pub spares_per_fabric: usize,
    /// Whether free instances replace lost members.
    pub replaces_lost: bool,
    /// Whether replicas that cannot be repaired are dissolved to repair others.
    pub merges_survivors: bool,
    /// Whether a replica may span fabric domains when nothing else is possible.
    pub may_span_fabrics: bool,
    /// Whether a member that still loads yields to an instance that holds the weights.
    pub swaps_loading: bool,
    /// The age after which a spread replica moves into one fabric domain at the
    /// cost of a load; without a load it moves at once.
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

/// Fixed groups, which wait for the lost member.
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

/// One free instance in each fabric domain replaces a lost member.
fn spare() -> Policy {
    Policy {
        name: "spare",
        spares_per_fabric: 1,
        replaces_lost: true,
        replacement_delay: Arc::new(|_| Duration::ZERO),
        ..fixed()
    }
}

/// The survivors of broken replicas in one fabric domain merge.
fn merge() -> Policy {
    Policy {
        name: "merge",
        replaces_lost: true,
        merges_survivors: true,
        replacement_delay: Arc::new(|_| Duration::ZERO),
        ..fixed()
    }
}

/// All means together, without waiting.
///
/// A lost member that returns loaded takes a place back from one that still
/// loads, so that nothing is gained by waiting for it first.
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

/// The age after which `adaptive` pays a load to bring a replica together.
const CONSOLIDATION_AGE: Duration = Duration::from_secs(600);
