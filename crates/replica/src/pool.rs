//! The pool of free instances during one call of `propose`.

use crate::snapshot::FreeInstance;
use name::{Fabric, Instance};
use std::{cmp::Reverse, collections::BTreeMap};

/// The free instances that no proposal of this call uses yet.
#[derive(Debug, Default)]
pub(crate) struct Pool<'a> {
    fabrics: BTreeMap<&'a Fabric, Vec<FreeInstance<'a>>>,
    len: usize,
}

impl<'a> Pool<'a> {
    /// Returns a pool of the `free` instances, which must be sorted by name.
    pub(crate) fn new(free: &[FreeInstance<'a>]) -> Self {
        let mut fabrics: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for f in free {
            fabrics.entry(&f.status.fabric).or_default().push(*f);
        }
        Self {
            fabrics,
            len: free.len(),
        }
    }

    /// Returns the number of free instances.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of free instances in `fabric`.
    pub(crate) fn count_in(&self, fabric: &Fabric) -> usize {
        self.fabrics.get(fabric).map_or(0, Vec::len)
    }

    /// Takes `n` instances for a replica in `fabric`, or returns `None` if too few are free.
    ///
    /// Instances with the weights come first, and at equal rank those in `fabric`.
    /// Instances of other fabric domains are taken only if `may_span` is set.
    pub(crate) fn pick(
        &mut self,
        fabric: &Fabric,
        may_span: bool,
        weights: &str,
        n: usize,
    ) -> Option<Vec<Instance>> {
        let mut order: Vec<_> = self.candidates(fabric, may_span).collect();
        order.sort_by_key(|f| (!f.report.has_weights(weights), f.status.fabric != *fabric));
        self.remove(order, n)
    }

    /// Returns whether [`pick`](Self::pick) would find `n` instances with the weights.
    pub(crate) fn has_enough_loaded(
        &self,
        fabric: &Fabric,
        may_span: bool,
        weights: &str,
        n: usize,
    ) -> bool {
        let loaded = self
            .candidates(fabric, may_span)
            .filter(|f| f.report.has_weights(weights));
        loaded.take(n).count() == n
    }

    /// Takes `n` instances of one fabric domain for a new replica.
    ///
    /// At least `spares` instances stay free in the fabric domain. The choice is the
    /// fabric domain that needs the fewest loads, and among equals the one with the
    /// fewest free instances.
    pub(crate) fn pick_within_fabric(
        &mut self,
        weights: &str,
        n: usize,
        spares: usize,
    ) -> Option<Vec<Instance>> {
        let loaded = |free: &[FreeInstance<'_>]| {
            free.iter()
                .filter(|f| f.report.has_weights(weights))
                .count()
        };
        let fabric = self
            .fabrics
            .iter()
            .filter(|(_, free)| free.len() >= n + spares)
            .min_by_key(|(_, free)| (n.saturating_sub(loaded(free)), free.len()))
            .map(|(fabric, _)| (*fabric).clone())?;
        self.pick(&fabric, false, weights, n)
    }

    /// Takes `n` instances over as few fabric domains as possible.
    pub(crate) fn pick_across_fabrics(&mut self, weights: &str, n: usize) -> Option<Vec<Instance>> {
        let mut order: Vec<_> = self.fabrics.values().flatten().copied().collect();
        order.sort_by_key(|f| {
            let fabric = &f.status.fabric;
            let loaded = f.report.has_weights(weights);
            (Reverse(self.count_in(fabric)), fabric, !loaded)
        });
        self.remove(order, n)
    }

    /// Returns the free instances in `fabric`, followed by all others if `may_span` is set.
    fn candidates(
        &self,
        fabric: &Fabric,
        may_span: bool,
    ) -> impl Iterator<Item = FreeInstance<'a>> {
        let local = self.fabrics.get(fabric).into_iter().flatten();
        let others = self
            .fabrics
            .iter()
            .filter(move |(other, _)| may_span && **other != fabric)
            .flat_map(|(_, free)| free);
        local.chain(others).copied()
    }

    /// Removes the first `n` of `order` and returns their names, or removes none if too few.
    fn remove(&mut self, mut order: Vec<FreeInstance<'a>>, n: usize) -> Option<Vec<Instance>> {
        if order.len() < n {
            return None;
        }
        order.truncate(n);
        self.len -= n;
        for taken in &order {
            if let Some(free) = self.fabrics.get_mut(&taken.status.fabric) {
                free.retain(|f| f.instance != taken.instance);
            }
        }
        Some(order.into_iter().map(|f| f.instance.clone()).collect())
    }
}
