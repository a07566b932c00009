//! Who exchanges beats with whom.
//!
//! The nodes stand in several circles, each ordered by another hash of their
//! names. A node calls the next one in each circle and is called by the one
//! before it. A few circles make a random regular graph: a word reaches all
//! nodes in a number of steps that grows with the logarithm of their number,
//! and the loss of a node changes two neighbours per circle.

use name::Node;
use std::collections::BTreeSet;

/// The nodes that one node calls, and those that it watches.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Graph {
    /// The nodes to call in each interval.
    pub callees: BTreeSet<Node>,
    /// The nodes to call or be called by: each watches the others.
    pub partners: BTreeSet<Node>,
}

impl Graph {
    /// Returns the part of the graph around `own`.
    ///
    /// Up to `full` nodes each pair exchanges beats; above it a node has one
    /// neighbour on each side in each of `circles` circles.
    pub fn around<'a>(
        own: &Node,
        nodes: impl IntoIterator<Item = &'a Node>,
        full_mesh_nodes: usize,
        rings: usize,
    ) -> Self {
        let mut all: Vec<&Node> = nodes.into_iter().filter(|node| *node != own).collect();
        all.push(own);
        let is_full_mesh = all.len() <= full_mesh_nodes;
        let steps = if is_full_mesh { all.len() / 2 } else { 1 };
        let rings = if is_full_mesh { 1 } else { rings };
        let mut graph = Self::default();
        for ring in 0..rings {
            graph.add_ring(own, &mut all, ring, steps);
        }
        graph.partners.extend(graph.callees.iter().cloned());
        graph
    }

    /// Adds the neighbours of `own` in one circle.
    fn add_ring(&mut self, own: &Node, all: &mut [&Node], ring: usize, steps: usize) {
        let topic = format!("circle-{ring}");
        all.sort_by_cached_key(|node| (name::score(&topic, node.as_str()), (*node).clone()));
        let position = all.iter().position(|node| *node == own).unwrap_or(0);
        for step in 1..=steps {
            let next = all[(position + step) % all.len()];
            let previous = all[(position + all.len() - step) % all.len()];
            if next != own {
                self.callees.insert(next.clone());
                self.partners.insert(previous.clone());
            }
        }
    }
}
