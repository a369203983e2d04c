//! Edges for clients that ask where to go.

use super::{Core, Time, FRESH, GROWING};
use milletwing_config::configuration::Route;
use milletwing_replicated_state::EdgeStatus;
use std::net::SocketAddrV4;

/// Edges in one answer at most.
const MOST_EDGES: usize = 64;
/// Milliseconds since an edge was heard within which it is taken for one that is there.
const EDGE_HEARD: Time = 1_500;

/// What a client that asks where to go is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolution {
    /// Where edges take clients.
    pub edges: Vec<SocketAddrV4>,
    /// Seconds for which it may be held.
    pub hold_s: f64,
}

impl Core {
    /// Seconds for which a client may hold a resolution: as long as allowed, since a look-up at a machine without power costs
    /// its client a second, while an address that no longer serves costs it a connection that is refused. But while edges
    /// come back one after the other, only shortly: else all clients stay with the few that were first.
    fn hold_s(&self) -> f64 {
        let most = self.settings.timers.guarantees.ttl_max_s;
        if self.now() < self.grown + GROWING {
            most.min(1.0)
        } else {
            most
        }
    }

    /// Where a client of this region that asks for this host should go: to edges that take traffic there. Where there are none and the
    /// host's routes have homes: in regions that all of them allow, else to those of its region that leave and still serve. Else
    /// anywhere.
    pub fn resolve(&self, host: &str, region: &str) -> Resolution {
        let now = self.now();
        // One that is cut off keeps what it last knew.
        let reach = if self.member.has_recent_state(now, FRESH) { EDGE_HEARD } else { 30_000 };
        let known =
            || self.registry.edges(now).filter(|(edge, _)| !self.view.is_resting(edge.id, edge.incarnation));
        let ready: Vec<&EdgeStatus> =
            known().filter(|(edge, ago)| edge.ready && *ago <= reach).map(|(edge, _)| edge).collect();
        let near = ready.iter().filter(|edge| edge.region == region).map(|edge| edge.ingress).collect();
        let (mut edges, mut hold_s): (Vec<SocketAddrV4>, f64) = (near, self.hold_s());
        let homed = if edges.is_empty() { self.homed(host) } else { Vec::new() };
        if !homed.is_empty() {
            let home =
                |edge: &&&EdgeStatus| homed.iter().all(|route| route.serving_regions.contains(&edge.region));
            edges = ready.iter().filter(home).map(|edge| edge.ingress).collect();
            if edges.is_empty() {
                let leaving = known().filter(|(edge, ago)| !edge.ready && *ago <= EDGE_HEARD);
                let near = leaving.filter(|(edge, _)| edge.region == region);
                edges = near.map(|(edge, _)| edge.ingress).collect();
                hold_s = hold_s.min(1.0);
            }
        }
        if edges.is_empty() {
            edges = ready.iter().map(|edge| edge.ingress).collect();
        }
        edges.truncate(MOST_EDGES);
        Resolution { edges, hold_s }
    }

    /// Routes of a host that may be served in some regions only.
    fn homed(&self, host: &str) -> Vec<&Route> {
        let routes = self.view.configuration().into_iter().flat_map(|it| it.routing.values());
        let own =
            |route: &&Route| route.domain.eq_ignore_ascii_case(host) && !route.serving_regions.is_empty();
        routes.filter(own).collect()
    }
}
