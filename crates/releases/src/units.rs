//! What moves as one, and in which order: the graph of needs.

use crate::model::{Edition, Model};
use petgraph::algo::{tarjan_scc, toposort};
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::BTreeMap;

/// Editions that move as one.
pub type Unit = Vec<Edition>;

/// Units in an order in which each comes after what it needs. An error where that can't be.
pub fn ordered_units(model: &Model) -> Result<Vec<Unit>, String> {
    let (graph, _) = dependency_graph(model);
    let parts = tarjan_scc(&graph);
    // Tarjan gives components after those that they point to; edges point from need to edition.
    Ok(parts.into_iter().rev().map(|part| part.into_iter().map(|node| graph[node]).collect()).collect())
}

fn dependency_graph(model: &Model) -> (DiGraph<Edition, ()>, BTreeMap<Edition, NodeIndex>) {
    let mut graph = DiGraph::new();
    let nodes: BTreeMap<Edition, NodeIndex> =
        model.editions.keys().map(|edition| (*edition, graph.add_node(*edition))).collect();
    for (edition, plan) in model.editions.iter().filter(|(_, plan)| !plan.released) {
        for need in &plan.dependencies {
            // The lowest that does: it is out first.
            let out = |other: &Edition| model.editions[other].released;
            if model.editions_satisfying(*need).any(|other| out(&other)) {
                continue;
            }
            if let Some(other) = model.editions_satisfying(*need).next() {
                graph.add_edge(nodes[&other], nodes[edition], ());
            }
        }
        // Editions of one service go out in their order.
        let before = model.editions.range(..*edition).next_back().map(|(other, _)| *other);
        if let Some(before) = before.filter(|other| other.service == edition.service) {
            graph.add_edge(nodes[&before], nodes[edition], ());
        }
    }
    (graph, nodes)
}

/// An order in which every edition comes after what it needs, for withdrawals; cycles move as one.
pub fn dependency_depths(model: &Model) -> BTreeMap<Edition, usize> {
    let (graph, _) = dependency_graph(model);
    let condensed = petgraph::algo::condensation(graph, true);
    let mut depth: BTreeMap<NodeIndex, usize> = BTreeMap::new();
    for node in toposort(&condensed, None).unwrap_or_default() {
        let before = condensed.neighbors_directed(node, petgraph::Direction::Incoming);
        let own = before.filter_map(|before| depth.get(&before)).max().map_or(0, |deepest| deepest + 1);
        depth.insert(node, own);
    }
    condensed
        .node_indices()
        .flat_map(|n| condensed[n].iter().map(|e| (*e, depth[&n])).collect::<Vec<_>>())
        .collect()
}
