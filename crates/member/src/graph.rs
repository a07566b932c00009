//! The heartbeat topology.
//!
//! The nodes form several rings, each ordered by a different hash of their
//! names. A node calls its successor in each ring and is called by its
//! predecessor. A few rings form a random regular graph: an update reaches all
//! nodes in a number of steps that grows with the logarithm of their number,
//! and the loss of a node changes two neighbors per ring.

use name::Node;
use std::collections::BTreeSet;

/// The nodes that a node calls and those that it watches.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Graph {
    /// The nodes to call in each interval.
    pub callees: BTreeSet<Node>,
    /// The nodes that call or are called; partners watch each other.
    pub partners: BTreeSet<Node>,
}

impl Graph {
    /// Returns the part of the graph around `own`.
    ///
    /// Up to `full_mesh_nodes` nodes, each pair exchanges heartbeats. Above
    /// that, a node has one neighbor on each side in each of `rings` rings.
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

    /// Adds the neighbors of `own` in one ring.
    fn add_ring(&mut self, own: &Node, all: &mut [&Node], ring: usize, steps: usize) {
        let topic = format!("circle-{ring}");
        all.sort_by_cached_key(|node| {
            (
                name::rendezvous_score(&topic, node.as_str()),
                (*node).clone(),
            )
        });
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
