//! Resolves a host for clients to addresses of edges.

use super::{Core, Millis, EDGE_ARRIVAL_WINDOW_MS, FRESHNESS_MS};
use milletwing_config::configuration::Route;
use milletwing_replicated_state::EdgeStatus;
use std::net::SocketAddrV4;

/// Maximum number of edges in one answer.
const MAX_EDGES: usize = 64;
/// An edge heard from within this many milliseconds counts as present.
const EDGE_PRESENCE_TIMEOUT_MS: Millis = 1_500;

/// The answer to a client's lookup.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolution {
    /// Addresses where edges accept clients.
    pub edges: Vec<SocketAddrV4>,
    /// Seconds for which the client may cache the answer.
    pub ttl_s: f64,
}

impl Core {
    /// Seconds for which a client may cache a resolution. Normally the maximum allowed, since a lookup at a
    /// machine without power costs the client a second, while an address that no longer serves costs it
    /// only a refused connection. While edges come back one after the other it is short: otherwise all
    /// clients would stay with the few edges that were back first.
    fn ttl_s(&self) -> f64 {
        let max = self.settings.timers.guarantees.ttl_max_s;
        if self.now() < self.last_edge_arrival + EDGE_ARRIVAL_WINDOW_MS {
            max.min(1.0)
        } else {
            max
        }
    }

    /// Resolves a host for a client in a region: to ready edges of that region. If there are none and the
    /// host's routes are restricted to serving regions: to edges in regions that all of these routes allow,
    /// otherwise to edges of the client's region that are draining and still serve. Otherwise to any ready
    /// edge.
    pub fn resolve(&self, host: &str, region: &str) -> Resolution {
        let now = self.now();
        // A replica that is cut off from the leader keeps using the edges that it last heard of.
        let presence_timeout =
            if self.member.has_recent_state(now, FRESHNESS_MS) { EDGE_PRESENCE_TIMEOUT_MS } else { 30_000 };
        let known =
            || self.registry.edges(now).filter(|(edge, _)| !self.view.is_resting(edge.id, edge.incarnation));
        let ready: Vec<&EdgeStatus> = known()
            .filter(|(edge, ago)| edge.ready && *ago <= presence_timeout)
            .map(|(edge, _)| edge)
            .collect();
        let local = ready.iter().filter(|edge| edge.region == region).map(|edge| edge.ingress).collect();
        let (mut edges, mut ttl_s): (Vec<SocketAddrV4>, f64) = (local, self.ttl_s());
        let restricted_routes =
            if edges.is_empty() { self.region_restricted_routes(host) } else { Vec::new() };
        if !restricted_routes.is_empty() {
            let allowed_by_all_routes = |edge: &&&EdgeStatus| {
                restricted_routes.iter().all(|route| route.serving_regions.contains(&edge.region))
            };
            edges = ready.iter().filter(allowed_by_all_routes).map(|edge| edge.ingress).collect();
            if edges.is_empty() {
                let draining = known().filter(|(edge, ago)| !edge.ready && *ago <= EDGE_PRESENCE_TIMEOUT_MS);
                let local = draining.filter(|(edge, _)| edge.region == region);
                edges = local.map(|(edge, _)| edge.ingress).collect();
                ttl_s = ttl_s.min(1.0);
            }
        }
        if edges.is_empty() {
            edges = ready.iter().map(|edge| edge.ingress).collect();
        }
        edges.truncate(MAX_EDGES);
        Resolution { edges, ttl_s }
    }

    /// Returns the routes of a host that may be served in some regions only.
    fn region_restricted_routes(&self, host: &str) -> Vec<&Route> {
        let routes =
            self.view.configuration().into_iter().flat_map(|configuration| configuration.routing.values());
        let matches =
            |route: &&Route| route.domain.eq_ignore_ascii_case(host) && !route.serving_regions.is_empty();
        routes.filter(matches).collect()
    }
}
