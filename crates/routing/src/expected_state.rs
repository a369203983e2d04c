//! What an edge is to route by, in the same words as what it does route by: `export_shared` from the state that was agreed, and
//! [`Router::export_state`](crate::Router::export_state) from the tables in use.

use milletwing_drift_detection::{LeafSink, Part};
use milletwing_replicated_state::{Phase, RollOutState, View};
use std::collections::BTreeSet;

/// A marshal's life.
pub fn export_marshal(
    sink: &mut impl LeafSink,
    id: &str,
    service: &str,
    address: std::net::SocketAddrV4,
    (open, new, cold): (bool, bool, bool),
) {
    let flags = [u8::from(open), u8::from(new), u8::from(cold)];
    let port = address.port().to_be_bytes();
    sink.leaf(Part::Hosts, id, &[service.as_bytes(), &address.ip().octets(), &port, &flags]);
}

/// What an edge may send to a cold marshal in any second.
pub fn export_cold_limit(sink: &mut impl LeafSink, id: &str, part: u32) {
    if part > 0 {
        sink.leaf(Part::Deals, id, &[&part.to_be_bytes()]);
    }
}

/// A trial's stage.
pub fn export_trial(sink: &mut impl LeafSink, service: &str, number: u64, stage: u32) {
    sink.leaf(Part::Trials, service, &[&number.to_be_bytes(), &stage.to_be_bytes()]);
}

/// All but the routes and the deals, as they were agreed.
pub fn export_shared(view: &View, sink: &mut impl LeafSink) {
    let mut services = BTreeSet::new();
    for (id, node) in &view.nodes {
        let (open, new) = view.eligibility(node);
        export_marshal(
            sink,
            id,
            &node.target,
            node.address,
            (open, new, matches!(node.phase, Phase::Cold(_))),
        );
        services.insert(node.target.as_str());
    }
    for (service, roll) in &view.rollouts {
        // An edge that knows no marshal of a service holds no trial of it.
        if roll.state == RollOutState::Active && services.contains(service.as_str()) {
            export_trial(sink, service, roll.number, roll.stage);
        }
    }
}

/// The deals of one edge, as they were agreed.
pub fn export_cold_limits(view: &View, edge: u32, sink: &mut impl LeafSink) {
    for (id, node) in &view.nodes {
        if let Phase::Cold(dealt) = &node.phase {
            export_cold_limit(
                sink,
                id,
                dealt.iter().find(|(whom, _)| *whom == edge).map_or(0, |(_, part)| *part),
            );
        }
    }
}
