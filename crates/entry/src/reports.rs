//! Reported capacities of instances, their services, and the peers' progress.

use crate::peer::Capacity;
use clock::Moment;
use name::{Domain, Instance, Node, Offset, Service};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
};
use uuid::Uuid;

/// The capacity of one instance, from its latest report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReportedCapacity {
    /// The incarnation of the backend server.
    pub(crate) boot: Uuid,
    /// The earliest moment to which the report can refer.
    pub(crate) as_of: Moment,
    /// The reported capacity.
    pub(crate) capacity: Capacity,
}

/// The progress of a peer, from its latest report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Progress {
    /// The latest control offset that it has applied.
    pub(crate) folded: Offset,
    /// Its requests in progress, by failure domain.
    pub(crate) in_progress: BTreeMap<Domain, u32>,
    /// When the report was received.
    pub(crate) at: Moment,
}

/// What instances and peers report beyond the views of instances.
///
/// No other lock is taken while one of these locks is held.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    capacities: Mutex<HashMap<Instance, ReportedCapacity>>,
    services: Mutex<HashMap<Instance, Service>>,
    progress: Mutex<BTreeMap<Node, Progress>>,
}

/// Takes a lock, even if it is poisoned by a panic.
fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Reports {
    /// Records a capacity, unless a later one is stored.
    pub(crate) fn record_capacity(&self, instance: &Instance, new: ReportedCapacity) {
        let mut capacities = lock(&self.capacities);
        match capacities.get_mut(instance) {
            Some(stored) if new.as_of <= stored.as_of => {}
            Some(stored) => *stored = new,
            None => {
                capacities.insert(instance.clone(), new);
            }
        }
    }

    /// Returns the latest reported capacity of `instance`.
    pub(crate) fn capacity(&self, instance: &Instance) -> Option<ReportedCapacity> {
        lock(&self.capacities).get(instance).copied()
    }

    /// Discards the capacities of instances for which `is_listed` is false.
    pub(crate) fn retain(&self, is_listed: impl Fn(&Instance) -> bool) {
        lock(&self.capacities).retain(|instance, _| is_listed(instance));
    }

    /// Replaces the map from instances to the services that they offer.
    pub(crate) fn set_services(&self, services: HashMap<Instance, Service>) {
        *lock(&self.services) = services;
    }

    /// Returns the service that `instance` offers.
    pub(crate) fn service(&self, instance: &Instance) -> Option<Service> {
        lock(&self.services).get(instance).cloned()
    }

    /// Records a peer's report of its progress.
    pub(crate) fn record_progress(&self, node: Node, progress: Progress) {
        lock(&self.progress).insert(node, progress);
    }

    /// Returns the latest reported progress of each peer.
    pub(crate) fn progress(&self) -> BTreeMap<Node, Progress> {
        lock(&self.progress).clone()
    }
}
