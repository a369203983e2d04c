//! The metrics page of an edge (`docs/metrics.md`).

use crate::edge::Edge;
use milletwing_metrics::{Labels, Page};
use milletwing_replicated_state::Phase;
use std::collections::BTreeMap;

/// Renders the current metrics.
pub fn page(edge: &Edge) -> String {
    let mut page = Page::new("milletwing_edge");
    let metrics = &edge.metrics;
    let requests = metrics.requests.borrow();
    let labels = |class: &&'static str, outcome: &&'static str| -> Labels {
        vec![("class", (*class).to_owned()), ("outcome", (*outcome).to_owned())]
    };
    page.counters(
        "requests",
        "Requests of clients by class of their route and outcome",
        requests.iter().map(|((class, outcome), count)| (labels(class, outcome), *count)),
    );
    let tries = metrics.tries.borrow();
    page.counters(
        "tries",
        "Sendings to marshals by how they ended",
        tries.iter().map(|(result, count)| (vec![("result", (*result).to_owned())], *count)),
    );
    page.duration_histogram(
        "answer",
        "From a request's head to the head of its marshal's answer",
        &metrics.durations,
    );
    page.gauge("client_connections", "Open connections of clients", edge.connections.get() as f64);
    page.gauge("requests_under_way", "Requests that have no whole answer yet", edge.requests.get() as f64);
    page.gauge("ready", "1 while clients should come", f64::from(u8::from(edge.ready())));
    let view = edge.view.borrow();
    page.gauge("configuration_revision", "Version of the configuration in force", view.revision as f64);
    page.gauge("folded_index", "Last entry of the core's log that is in force", view.index as f64);
    let core_silence_ms = edge.router.borrow().time_since_core_contact(edge.now());
    page.gauge("core_silence_seconds", "Since the core was heard last", core_silence_ms as f64 / 1_000.0);
    let mut phases = BTreeMap::from([("warm", 0_u64), ("cold", 0), ("draining", 0), ("ejected", 0)]);
    for node in view.nodes.values() {
        let phase = match node.phase {
            _ if view.suspected.contains_key(&node.id) => "ejected",
            Phase::Warm => "warm",
            Phase::Cold(_) => "cold",
            Phase::Draining => "draining",
        };
        *phases.entry(phase).or_default() += 1;
    }
    let phases = phases.into_iter().map(|(phase, count)| (vec![("phase", phase.to_owned())], count as f64));
    page.gauges("marshals", "Marshals that are known, by phase", phases);
    page.resident_memory();
    page.render()
}
