//! The free instances during one proposal.

use crate::survey::Free;
use name::{Fabric, Instance};
use std::collections::BTreeMap;

/// The free instances that no proposal of this call has taken yet.
#[derive(Debug, Default)]
pub(crate) struct Pool<'a> {
    free: Vec<Free<'a>>,
}

impl<'a> Pool<'a> {
    /// Returns a pool of all `free` instances, which are sorted by name.
    pub(crate) fn new(free: Vec<Free<'a>>) -> Self {
        Self { free }
    }

    /// Returns the number of free instances.
    pub(crate) fn len(&self) -> usize {
        self.free.len()
    }

    /// Returns the number of free instances in `fabric`.
    pub(crate) fn count(&self, fabric: &Fabric) -> usize {
        self.free
            .iter()
            .filter(|f| f.seen.fabric == *fabric)
            .count()
    }

    /// Takes `n` instances to stand beside members in `home`, or none.
    ///
    /// Instances that hold the weights come first, those in `home` before
    /// others; others are taken only if `cross` is set.
    pub(crate) fn pick(
        &mut self,
        home: &Fabric,
        cross: bool,
        weights: &str,
        n: usize,
    ) -> Option<Vec<Instance>> {
        let mut order: Vec<usize> = (0..self.free.len())
            .filter(|i| cross || self.free[*i].seen.fabric == *home)
            .collect();
        if order.len() < n {
            return None;
        }
        order.sort_by_key(|i| {
            let f = &self.free[*i];
            (!f.report.holds(weights), f.seen.fabric != *home)
        });
        order.truncate(n);
        Some(self.remove(order))
    }

    /// Returns whether [`pick`](Self::pick) would find `n` that hold the weights.
    pub(crate) fn is_warm(&self, home: &Fabric, cross: bool, weights: &str, n: usize) -> bool {
        let fits = |f: &&Free<'_>| f.report.holds(weights) && (cross || f.seen.fabric == *home);
        self.free.iter().filter(fits).count() >= n
    }

    /// Takes `n` instances of one fabric domain for a new replica.
    ///
    /// At least `spares` stay in the fabric domain. The fabric domain with most
    /// loaded weights is chosen, and then the one that fits most tightly.
    pub(crate) fn set(&mut self, weights: &str, n: usize, spares: usize) -> Option<Vec<Instance>> {
        let mut fabrics: BTreeMap<&Fabric, (usize, usize)> = BTreeMap::new();
        for f in &self.free {
            let entry = fabrics.entry(&f.seen.fabric).or_default();
            entry.0 += 1;
            entry.1 += usize::from(f.report.holds(weights));
        }
        let home = fabrics
            .into_iter()
            .filter(|(_, (free, _))| *free >= n + spares)
            .min_by_key(|(fabric, (free, warm))| (n.saturating_sub(*warm), *free, *fabric))
            .map(|(fabric, _)| fabric.clone())?;
        self.pick(&home, false, weights, n)
    }

    /// Takes `n` instances over as few fabric domains as possible.
    pub(crate) fn spread_set(&mut self, weights: &str, n: usize) -> Option<Vec<Instance>> {
        let mut counts: BTreeMap<&Fabric, usize> = BTreeMap::new();
        for f in &self.free {
            *counts.entry(&f.seen.fabric).or_default() += 1;
        }
        let mut order: Vec<usize> = (0..self.free.len()).collect();
        if order.len() < n {
            return None;
        }
        order.sort_by_key(|i| {
            let f = &self.free[*i];
            let size = counts.get(&f.seen.fabric).copied().unwrap_or_default();
            let warm = f.report.holds(weights);
            (std::cmp::Reverse(size), &f.seen.fabric, !warm)
        });
        order.truncate(n);
        Some(self.remove(order))
    }

    /// Removes the instances at `indices` and returns them in that order.
    fn remove(&mut self, mut indices: Vec<usize>) -> Vec<Instance> {
        let taken = indices
            .iter()
            .map(|i| self.free[*i].instance.clone())
            .collect();
        indices.sort_unstable();
        for i in indices.into_iter().rev() {
            self.free.remove(i);
        }
        taken
    }
}
