//! The routing state that an edge should have according to the agreed state. It is exported in the
//! same format as the state in use, which [`Router::export_state`](crate::Router::export_state)
//! writes, so that the two can be compared for drift.

use milletwing_drift_detection::{LeafSink, Part};
use milletwing_replicated_state::{Phase, RollOutState, View};
use std::collections::BTreeSet;

/// Exports one marshal instance.
pub fn export_marshal(
    sink: &mut impl LeafSink,
    id: &str,
    service: &str,
    address: std::net::SocketAddrV4,
    (eligible, on_trial, cold): (bool, bool, bool),
) {
    let flags = [u8::from(eligible), u8::from(on_trial), u8::from(cold)];
    let port = address.port().to_be_bytes();
    sink.leaf(Part::Hosts, id, &[service.as_bytes(), &address.ip().octets(), &port, &flags]);
}

/// Exports the number of requests per second that an edge may send to a cold marshal.
pub fn export_cold_limit(sink: &mut impl LeafSink, id: &str, limit: u32) {
    if limit > 0 {
        sink.leaf(Part::Deals, id, &[&limit.to_be_bytes()]);
    }
}

/// Exports the stage of a trial.
pub fn export_trial(sink: &mut impl LeafSink, service: &str, number: u64, stage: u32) {
    sink.leaf(Part::Trials, service, &[&number.to_be_bytes(), &stage.to_be_bytes()]);
}

/// Exports the agreed state that is the same for all edges, apart from the routes: marshals and
/// trials.
pub fn export_shared(view: &View, sink: &mut impl LeafSink) {
    let mut services = BTreeSet::new();
    for (id, node) in &view.nodes {
        let (eligible, on_trial) = view.eligibility(node);
        export_marshal(
            sink,
            id,
            &node.target,
            node.address,
            (eligible, on_trial, matches!(node.phase, Phase::Cold(_))),
        );
        services.insert(node.target.as_str());
    }
    for (service, rollout) in &view.rollouts {
        // An edge that knows no marshal of a service has no trial for it.
        if rollout.state == RollOutState::Active && services.contains(service.as_str()) {
            export_trial(sink, service, rollout.number, rollout.stage);
        }
    }
}

/// Exports the agreed limits for cold marshals of one edge.
pub fn export_cold_limits(view: &View, edge: u32, sink: &mut impl LeafSink) {
    for (id, node) in &view.nodes {
        if let Phase::Cold(limits) = &node.phase {
            export_cold_limit(
                sink,
                id,
                limits.iter().find(|(limited_edge, _)| *limited_edge == edge).map_or(0, |(_, limit)| *limit),
            );
        }
    }
}
