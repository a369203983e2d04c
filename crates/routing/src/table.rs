//! Finds the route of a request: its host's, the longest prefix first.

use crate::tenants::{Salt, Tenants};
use ahash::RandomState;
use hashbrown::HashMap;
use milletwing_config::configuration::{normalize_host, TrafficClass};
use milletwing_config::Configuration;
use milletwing_drift_detection::{LeafSink, Part};
use std::rc::Rc;

/// A route as requests need it.
#[derive(Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// How the path begins.
    pub prefix: String,
    /// What may be done with its requests.
    pub class: TrafficClass,
    /// Milliseconds for which a request may be held.
    pub guard: u64,
    /// Milliseconds inside which an answer earns its full worth.
    pub target: u64,
    /// How many priorities of this configuration go before its own.
    pub rank: u32,
    /// Services, and the shares up to and with each.
    pub cumulative_shares: Vec<(Rc<str>, f64)>,
    /// Marshals that one request may be sent to.
    pub tries: u32,
    /// Regions in which it may be served; none: all.
    pub regions: Vec<String>,
    /// Its requests need no key.
    pub keyless: bool,
}

impl Route {
    /// All that matters about it, under the host by which it is found.
    fn export_state(&self, host: &str, sink: &mut impl LeafSink) {
        let class = [crate::trial::place(self.class) as u8, u8::from(self.keyless)];
        let numbers = [self.guard, self.target, u64::from(self.rank), u64::from(self.tries)];
        let numbers = numbers.map(u64::to_be_bytes).concat();
        let mut about: Vec<&[u8]> = vec![host.as_bytes(), self.prefix.as_bytes(), &class, &numbers];
        let shares: Vec<[u8; 8]> =
            self.cumulative_shares.iter().map(|(_, upto)| upto.to_be_bytes()).collect();
        for ((service, _), upto) in self.cumulative_shares.iter().zip(&shares) {
            about.extend([service.as_bytes(), upto.as_slice()]);
        }
        about.extend(self.regions.iter().map(|region| region.as_bytes()));
        sink.leaf(Part::Routes, &self.name, &about);
    }

    /// The service for a draw from 0 to below 1.
    pub fn service(&self, draw: f64) -> Option<&Rc<str>> {
        let whole = self.cumulative_shares.last().map_or(0.0, |(_, upto)| *upto);
        self.cumulative_shares.iter().find(|(_, upto)| draw * whole < *upto).map(|(service, _)| service)
    }
}

/// All routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Rc<Route>>, RandomState>,
    /// Those whose keys requests bear.
    pub tenants: Tenants,
}

impl RouteTable {
    /// Of a configuration. `salt`: for digests of keys.
    pub fn new(configuration: &Configuration, salt: Salt) -> RouteTable {
        let priorities = priorities(configuration);
        let rank = |priority: i64| priorities.partition_point(|it| *it < priority) as u32;
        let mut table =
            RouteTable { tenants: Tenants::new(configuration, salt, rank), ..RouteTable::default() };
        for (name, route) in &configuration.routing {
            let Some(class) = route.class() else { continue };
            let mut upto = 0.0;
            let shares = route.shares().into_iter().map(|(service, share)| {
                upto += share;
                (Rc::from(service), upto)
            });
            let shares = shares.collect();
            let own = Route {
                name: name.clone(),
                prefix: route.path_prefix.clone(),
                class,
                guard: (route.guard_s * 1000.0) as u64,
                target: ((route.target_s * 1000.0) as u64).max(1),
                rank: rank(route.priority),
                cumulative_shares: shares,
                tries: route.max_tries.max(1),
                regions: route.serving_regions.clone(),
                keyless: route.keyless,
            };
            table.hosts.entry(normalize_host(&route.domain)).or_default().push(Rc::new(own));
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        table
    }

    /// All routes and tenants, as they are looked up.
    pub fn export_state(&self, sink: &mut impl LeafSink) {
        self.tenants.export_state(sink);
        for (host, routes) in &self.hosts {
            for route in routes {
                route.export_state(host, sink);
            }
        }
    }

    /// The route of a host and a path.
    pub fn find(&self, given: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = match self.hosts.get(given) {
            Some(routes) => routes,
            None => self.hosts.get(&normalize_host(given))?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// All priorities of routes and tenants, each once, highest first.
fn priorities(configuration: &Configuration) -> Vec<i64> {
    let routes = configuration.routing.values().map(|route| route.priority);
    let tenants = configuration.subscribers.values().filter_map(|tenant| tenant.priority);
    let mut priorities: Vec<i64> = routes.chain(tenants).collect();
    priorities.sort_unstable();
    priorities.dedup();
    priorities
}
