//! The dependency graph: which editions must be released together, and in which order.

use crate::model::{Edition, Model};
use petgraph::algo::{tarjan_scc, toposort};
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::BTreeMap;

/// Editions that depend on one another and so are released together: a strongly connected component of the graph.
pub type Unit = Vec<Edition>;

/// All units in an order in which each comes after its dependencies.
pub fn ordered_units(model: &Model) -> Result<Vec<Unit>, String> {
    let (graph, _) = dependency_graph(model);
    let components = tarjan_scc(&graph);
    // Tarjan's algorithm yields a component after all those it points to. Edges point from a dependency to the
    // dependent edition, so the order is reversed.
    Ok(components
        .into_iter()
        .rev()
        .map(|component| component.into_iter().map(|node| graph[node]).collect())
        .collect())
}

/// The graph of all editions, with an edge from each to those that must be released after it, and the editions' nodes.
fn dependency_graph(model: &Model) -> (DiGraph<Edition, ()>, BTreeMap<Edition, NodeIndex>) {
    let mut graph = DiGraph::new();
    let nodes: BTreeMap<Edition, NodeIndex> =
        model.editions.keys().map(|edition| (*edition, graph.add_node(*edition))).collect();
    for (edition, spec) in model.editions.iter().filter(|(_, spec)| !spec.released) {
        for dependency in &spec.dependencies {
            // The lowest satisfying build counts, since builds of a service are released in order.
            let already_released = |other: &Edition| model.editions[other].released;
            if model.editions_satisfying(*dependency).any(|other| already_released(&other)) {
                continue;
            }
            if let Some(other) = model.editions_satisfying(*dependency).next() {
                graph.add_edge(nodes[&other], nodes[edition], ());
            }
        }
        // Editions of one service are released in order of their builds.
        let before = model.editions.range(..*edition).next_back().map(|(other, _)| *other);
        if let Some(before) = before.filter(|other| other.service == edition.service) {
            graph.add_edge(nodes[&before], nodes[edition], ());
        }
    }
    (graph, nodes)
}

/// Depth of each edition in the dependency graph, greater than that of all its dependencies. Editions of one cycle have
/// the same depth. Withdrawals use it to take dependants first.
pub fn dependency_depths(model: &Model) -> BTreeMap<Edition, usize> {
    let (graph, _) = dependency_graph(model);
    let condensed = petgraph::algo::condensation(graph, true);
    let mut depths: BTreeMap<NodeIndex, usize> = BTreeMap::new();
    for node in toposort(&condensed, None).unwrap_or_default() {
        let before = condensed.neighbors_directed(node, petgraph::Direction::Incoming);
        let own_depth =
            before.filter_map(|before| depths.get(&before)).max().map_or(0, |deepest| deepest + 1);
        depths.insert(node, own_depth);
    }
    condensed
        .node_indices()
        .flat_map(|node| condensed[node].iter().map(|edition| (*edition, depths[&node])).collect::<Vec<_>>())
        .collect()
}
