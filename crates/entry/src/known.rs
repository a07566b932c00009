//! What reports say beyond membership, and which service an instance offers.

use crate::peer::Capacity;
use clock::Moment;
use name::{Domain, Instance, Node, Offset, Service};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
};
use uuid::Uuid;

/// What one instance bears, as its latest report says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Borne {
    /// The life of the backend server.
    pub(crate) boot: Uuid,
    /// The earliest moment to which the report can refer.
    pub(crate) taken: Moment,
    /// What it bears.
    pub(crate) bearing: Capacity,
}

/// How far a peer is, as it last said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The last control offset that it has folded.
    pub(crate) folded: Offset,
    /// Its requests in progress, by failure domain.
    pub(crate) in_progress: BTreeMap<Domain, u32>,
    /// When it said so.
    pub(crate) at: Moment,
}

/// What is known of instances beyond the views, and of peers.
///
/// The locks are leaves: no other lock is taken while one is held.
#[derive(Debug, Default)]
pub(crate) struct Known {
    borne: Mutex<HashMap<Instance, Borne>>,
    services: Mutex<HashMap<Instance, Service>>,
    progress: Mutex<BTreeMap<Node, Progress>>,
}

/// Takes a lock, also after a panic elsewhere.
fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Known {
    /// Takes what a report says, unless a later one is known.
    pub(crate) fn bear(&self, instance: &Instance, new: Borne) {
        let mut borne = lock(&self.borne);
        match borne.get_mut(instance) {
            Some(held) if new.taken <= held.taken => {}
            Some(held) => *held = new,
            None => {
                borne.insert(instance.clone(), new);
            }
        }
    }

    /// Returns what the latest report of `instance` said.
    pub(crate) fn borne(&self, instance: &Instance) -> Option<Borne> {
        lock(&self.borne).get(instance).copied()
    }

    /// Forgets the instances for which `is_known` says no.
    pub(crate) fn retain(&self, is_known: impl Fn(&Instance) -> bool) {
        lock(&self.borne).retain(|instance, _| is_known(instance));
    }

    /// Replaces the services that instances offer.
    pub(crate) fn set_services(&self, services: HashMap<Instance, Service>) {
        *lock(&self.services) = services;
    }

    /// Returns the service that `instance` offers.
    pub(crate) fn service(&self, instance: &Instance) -> Option<Service> {
        lock(&self.services).get(instance).cloned()
    }

    /// Takes what a peer said of itself.
    pub(crate) fn set_progress(&self, node: Node, progress: Progress) {
        lock(&self.progress).insert(node, progress);
    }

    /// Returns what each peer said of itself last.
    pub(crate) fn progress(&self) -> BTreeMap<Node, Progress> {
        lock(&self.progress).clone()
    }
}
