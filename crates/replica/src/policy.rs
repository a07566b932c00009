//! Policies: what to do about a lost member.

use std::{fmt, sync::Arc, time::Duration};

/// What is known when a policy decides how long to wait for a lost member.
#[common::plain]
pub struct Loss {
    /// Whether an instance that holds the weights can take the place at once.
    pub warm: bool,
    /// The expected time until a lost instance is back.
    pub back: Duration,
    /// The expected time to load the weights.
    pub load: Duration,
}

/// How replicas are kept whole; plain data and one closure.
#[derive(Clone)]
pub struct Policy {
    /// The policy's name.
    pub name: &'static str,
    /// The free instances that forming leaves in each fabric domain.
    pub spares: usize,
    /// Whether free instances replace lost members.
    pub replace: bool,
    /// Whether replicas that cannot be repaired are dissolved to repair others.
    pub merge: bool,
    /// Whether a replica may span fabric domains when nothing else is possible.
    pub cross: bool,
    /// Whether a member that still loads yields to an instance that holds the weights.
    pub swap: bool,
    /// The age after which a spread replica moves into one fabric domain at the
    /// cost of a load; without a load it moves at once.
    pub home: Option<Duration>,
    /// How long to wait for a lost member before it is replaced.
    pub patience: Arc<dyn Fn(&Loss) -> Duration + Send + Sync>,
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
    pub fn named(name: &str) -> Option<Self> {
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
        spares: 0,
        replace: false,
        merge: false,
        cross: false,
        swap: false,
        home: None,
        patience: Arc::new(|_| Duration::MAX),
    }
}

/// One free instance in each fabric domain replaces a lost member.
fn spare() -> Policy {
    Policy {
        name: "spare",
        spares: 1,
        replace: true,
        patience: Arc::new(|_| Duration::ZERO),
        ..fixed()
    }
}

/// The survivors of broken replicas in one fabric domain merge.
fn merge() -> Policy {
    Policy {
        name: "merge",
        replace: true,
        merge: true,
        patience: Arc::new(|_| Duration::ZERO),
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
        spares: 0,
        replace: true,
        merge: true,
        cross: true,
        swap: true,
        home: Some(HOME),
        patience: Arc::new(|_| Duration::ZERO),
    }
}

/// The age after which `adaptive` pays a load to bring a replica together.
const HOME: Duration = Duration::from_secs(600);
