//! How much of each route the configurations have led to each service lately. A trial must know of routes that
//! led to its service a moment ago: they may come back.

use milletwing_config::Configuration;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of the replica's clock.
type Millis = u64;

/// How long a share counts after a configuration has reduced it.
const MEMORY: Millis = 60_000;
/// Part of its highest share below which a route is led away.
const AWAY_PART: f64 = 0.5;
/// Increase of a share that brings a service noticeably more requests.
const INCREASE: f64 = 0.05;

/// The share of a route's requests that lead to a service.
#[derive(Clone, Copy, Debug, Default)]
struct RouteShare {
    current: f64,
    /// The highest share lately, and when it was reduced for the last time.
    highest: f64,
    reduced_at: Millis,
    increased_at: Millis,
}

/// Shares by service and route.
#[derive(Debug, Default)]
pub struct RouteShares {
    services: BTreeMap<String, BTreeMap<String, RouteShare>>,
}

impl RouteShares {
    /// Takes over the configuration that is in force from now on.
    pub fn record(&mut self, now: Millis, configuration: &Configuration) {
        let mut shares = shares_by_service(configuration);
        for (service, routes) in &mut self.services {
            let mut new_shares = shares.remove(service).unwrap_or_default();
            for (route, known) in routes.iter_mut() {
                known.update(now, new_shares.remove(route).unwrap_or(0.0));
            }
            routes.retain(|_, share| share.current > 0.0 || now < share.reduced_at + MEMORY);
            routes
                .extend(new_shares.into_iter().map(|(route, share)| (route, RouteShare::added(now, share))));
        }
        for (service, routes) in shares {
            let routes = routes.into_iter().map(|(route, share)| (route, RouteShare::added(now, share)));
            self.services.insert(service, routes.collect());
        }
        self.services.retain(|_, routes| !routes.is_empty());
    }

    /// Routes of which most requests lead elsewhere now, and led to the service in the course of a trial or
    /// shortly before it.
    pub fn led_away(&self, service: &str, trial_started: Millis) -> BTreeSet<String> {
        let routes = self.services.get(service).into_iter().flatten();
        let away = routes.filter(|(_, share)| {
            share.current < AWAY_PART * share.highest && trial_started < share.reduced_at + MEMORY
        });
        away.map(|(route, _)| route.clone()).collect()
    }

    /// When the service last got noticeably more of a route.
    pub fn last_increase(&self, service: &str) -> Millis {
        let routes = self.services.get(service).into_iter().flatten();
        routes.map(|(_, share)| share.increased_at).max().unwrap_or(0)
    }
}

/// The shares of routes that a configuration leads to each service.
fn shares_by_service(configuration: &Configuration) -> BTreeMap<String, BTreeMap<String, f64>> {
    let mut services: BTreeMap<String, BTreeMap<String, f64>> = BTreeMap::new();
    for (route, settings) in &configuration.routing {
        let shares = settings.shares();
        let total: f64 = shares.iter().map(|(_, share)| share).sum();
        for (service, share) in shares.into_iter().filter(|(_, share)| *share > 0.0) {
            *services.entry(service.into()).or_default().entry(route.clone()).or_default() += share / total;
        }
    }
    services
}

impl RouteShare {
    fn added(now: Millis, share: f64) -> RouteShare {
        RouteShare { current: share, highest: share, reduced_at: 0, increased_at: now }
    }

    fn update(&mut self, now: Millis, share: f64) {
        if share > self.current + INCREASE {
            self.increased_at = now;
        }
        if share < self.current {
            self.reduced_at = now;
        }
        if share >= self.highest || now >= self.reduced_at + MEMORY {
            self.highest = share;
        }
        self.current = share;
    }
}
