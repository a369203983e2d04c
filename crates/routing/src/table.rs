//! Finds the route of a request: by host, then by the longest path prefix.

use crate::tenants::{Salt, Tenants};
use ahash::RandomState;
use hashbrown::HashMap;
use milletwing_config::configuration::{normalize_host, TrafficClass};
use milletwing_config::Configuration;
use milletwing_drift_detection::{LeafSink, Part};
use std::rc::Rc;

/// Index of a traffic class in the evidence arrays.
pub fn class_index(class: TrafficClass) -> usize {
    match class {
        TrafficClass::Idempotent => 0,
        TrafficClass::NonIdempotent => 1,
        TrafficClass::Downlink => 2,
    }
}

/// A route, prepared for lookups.
#[derive(Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Path prefix that a request must have.
    pub prefix: String,
    /// Traffic class, which decides for example whether requests are retry-safe.
    pub class: TrafficClass,
    /// Milliseconds for which a request may be held.
    pub time_limit: u64,
    /// Target latency in milliseconds: a response within it has its full value.
    pub target_latency: u64,
    /// Number of distinct priorities in this configuration that rank before this route's.
    pub priority_rank: u32,
    /// Services with cumulative traffic shares.
    pub cumulative_shares: Vec<(Rc<str>, f64)>,
    /// Maximum number of marshals that one request may be sent to.
    pub max_attempts: u32,
    /// Regions in which the requests may be served; empty means all.
    pub serving_regions: Vec<String>,
    /// Requests need no API key.
    pub keyless: bool,
}

impl Route {
    /// Exports the content of the route, with the host that it is found by.
    fn export_state(&self, host: &str, sink: &mut impl LeafSink) {
        let class = [class_index(self.class) as u8, u8::from(self.keyless)];
        let numbers = [
            self.time_limit,
            self.target_latency,
            u64::from(self.priority_rank),
            u64::from(self.max_attempts),
        ];
        let numbers = numbers.map(u64::to_be_bytes).concat();
        let mut fields: Vec<&[u8]> = vec![host.as_bytes(), self.prefix.as_bytes(), &class, &numbers];
        let shares: Vec<[u8; 8]> =
            self.cumulative_shares.iter().map(|(_, cumulative)| cumulative.to_be_bytes()).collect();
        for ((service, _), cumulative) in self.cumulative_shares.iter().zip(&shares) {
            fields.extend([service.as_bytes(), cumulative.as_slice()]);
        }
        fields.extend(self.serving_regions.iter().map(|region| region.as_bytes()));
        sink.leaf(Part::Routes, &self.name, &fields);
    }

    /// The service for a random draw in [0, 1).
    pub fn service_for(&self, draw: f64) -> Option<&Rc<str>> {
        let total = self.cumulative_shares.last().map_or(0.0, |(_, cumulative)| *cumulative);
        self.cumulative_shares
            .iter()
            .find(|(_, cumulative)| draw * total < *cumulative)
            .map(|(service, _)| service)
    }
}

/// All routes of a configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes_by_host: HashMap<String, Vec<Rc<Route>>, RandomState>,
    /// Tenants by API key.
    pub tenants: Tenants,
}

impl RouteTable {
    /// Builds the table of a configuration. `salt` is used for the digests of API keys.
    pub fn new(configuration: &Configuration, salt: Salt) -> RouteTable {
        let priorities = priorities(configuration);
        let rank = |priority: i64| priorities.partition_point(|it| *it < priority) as u32;
        let mut table =
            RouteTable { tenants: Tenants::new(configuration, salt, rank), ..RouteTable::default() };
        for (name, route) in &configuration.routing {
            let Some(class) = route.class() else { continue };
            let mut cumulative = 0.0;
            let shares = route.shares().into_iter().map(|(service, share)| {
                cumulative += share;
                (Rc::from(service), cumulative)
            });
            let cumulative_shares = shares.collect();
            let entry = Route {
                name: name.clone(),
                prefix: route.path_prefix.clone(),
                class,
                time_limit: (route.guard_s * 1000.0) as u64,
                target_latency: ((route.target_s * 1000.0) as u64).max(1),
                priority_rank: rank(route.priority),
                cumulative_shares,
                max_attempts: route.max_tries.max(1),
                serving_regions: route.serving_regions.clone(),
                keyless: route.keyless,
            };
            table.routes_by_host.entry(normalize_host(&route.domain)).or_default().push(Rc::new(entry));
        }
        for routes in table.routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        table
    }

    /// Exports all routes and tenants.
    pub fn export_state(&self, sink: &mut impl LeafSink) {
        self.tenants.export_state(sink);
        for (host, routes) in &self.routes_by_host {
            for route in routes {
                route.export_state(host, sink);
            }
        }
    }

    /// Finds the route for a host and a path.
    pub fn find(&self, host_header: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = match self.routes_by_host.get(host_header) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&normalize_host(host_header))?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// All distinct priorities of routes and tenants, in the order in which they rank.
fn priorities(configuration: &Configuration) -> Vec<i64> {
    let routes = configuration.routing.values().map(|route| route.priority);
    let tenants = configuration.subscribers.values().filter_map(|tenant| tenant.priority);
    let mut priorities: Vec<i64> = routes.chain(tenants).collect();
    priorities.sort_unstable();
    priorities.dedup();
    priorities
}
