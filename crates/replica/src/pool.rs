//! The free instances during one proposal.

use crate::snapshot::Free;
use name::{Fabric, Instance};
use std::{cmp::Reverse, collections::BTreeMap};

/// The free instances that no proposal of this call has taken yet.
#[derive(Debug, Default)]
pub(crate) struct Pool<'a> {
    fabrics: BTreeMap<&'a Fabric, Vec<Free<'a>>>,
    len: usize,
}

impl<'a> Pool<'a> {
    /// Returns a pool of all `free` instances, which are sorted by name.
    pub(crate) fn new(free: &[Free<'a>]) -> Self {
        let mut fabrics: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for f in free {
            fabrics.entry(&f.seen.fabric).or_default().push(*f);
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
    pub(crate) fn count(&self, fabric: &Fabric) -> usize {
        self.fabrics.get(fabric).map_or(0, Vec::len)
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
        let mut order: Vec<_> = self.within(home, cross).collect();
        order.sort_by_key(|f| (!f.report.holds(weights), f.seen.fabric != *home));
        self.take(order, n)
    }

    /// Returns whether [`pick`](Self::pick) would find `n` that hold the weights.
    pub(crate) fn is_warm(&self, home: &Fabric, cross: bool, weights: &str, n: usize) -> bool {
        let warm = self.within(home, cross).filter(|f| f.report.holds(weights));
        warm.take(n).count() == n
    }

    /// Takes `n` instances of one fabric domain for a new replica.
    ///
    /// At least `spares` stay in the fabric domain. The fabric domain with most
    /// loaded weights is chosen, and then the one that fits most tightly.
    pub(crate) fn set(&mut self, weights: &str, n: usize, spares: usize) -> Option<Vec<Instance>> {
        let warm = |free: &[Free<'_>]| free.iter().filter(|f| f.report.holds(weights)).count();
        let home = self
            .fabrics
            .iter()
            .filter(|(_, free)| free.len() >= n + spares)
            .min_by_key(|(_, free)| (n.saturating_sub(warm(free)), free.len()))
            .map(|(fabric, _)| (*fabric).clone())?;
        self.pick(&home, false, weights, n)
    }

    /// Takes `n` instances over as few fabric domains as possible.
    pub(crate) fn spread_set(&mut self, weights: &str, n: usize) -> Option<Vec<Instance>> {
        let mut order: Vec<_> = self.fabrics.values().flatten().copied().collect();
        order.sort_by_key(|f| {
            let fabric = &f.seen.fabric;
            let warm = f.report.holds(weights);
            (Reverse(self.count(fabric)), fabric, !warm)
        });
        self.take(order, n)
    }

    /// Returns the free instances in `home`, or all of them.
    fn within(&self, home: &Fabric, cross: bool) -> impl Iterator<Item = Free<'a>> {
        let local = self.fabrics.get(home).into_iter().flatten();
        let others = self
            .fabrics
            .iter()
            .filter(move |(fabric, _)| cross && **fabric != home)
            .flat_map(|(_, free)| free);
        local.chain(others).copied()
    }

    /// Removes the first `n` of `order` and returns their names, or takes none.
    fn take(&mut self, mut order: Vec<Free<'a>>, n: usize) -> Option<Vec<Instance>> {
        if order.len() < n {
            return None;
        }
        order.truncate(n);
        self.len -= n;
        for taken in &order {
            if let Some(free) = self.fabrics.get_mut(&taken.seen.fabric) {
                free.retain(|f| f.instance != taken.instance);
            }
        }
        Some(order.into_iter().map(|f| f.instance.clone()).collect())
    }
}
