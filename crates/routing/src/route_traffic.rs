//! Which routes bring a service its requests: shortly before a trial, and in the course of one.

use crate::Time;
use hashbrown::HashMap;
use milletwing_sequential_test::{sampling_factor, OutcomeCount, RouteEvidence};

/// Milliseconds of each of the two windows over which requests are counted outside a trial.
const WINDOW: Time = 30_000;
/// Shortest time in milliseconds from which a rate is computed.
const MIN_RATE_TIME: Time = 2_000;
/// Number of routes of a service that are counted.
const MAX_ROUTES: usize = 64;

/// Requests of a route in the current window and in the one before.
#[derive(Clone, Debug, Default)]
struct RouteCount {
    class: usize,
    current: f64,
    previous: f64,
}

/// Requests of a service by route, over the last one to two windows.
#[derive(Debug, Default)]
pub struct RouteTraffic {
    routes: HashMap<String, RouteCount>,
    /// When the first request of the windows could come, and when the current window began.
    counted_since: Option<Time>,
    window_start: Time,
}

impl RouteTraffic {
    /// Counts a request.
    pub fn record(&mut self, now: Time, route: &str, class: usize) {
        self.advance(now);
        if let Some(count) = self.routes.get_mut(route) {
            (count.class, count.current) = (class, count.current + 1.0);
        } else if self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.into(), RouteCount { class, current: 1.0, previous: 0.0 });
        }
    }

    fn advance(&mut self, now: Time) {
        if self.counted_since.is_none() {
            (self.counted_since, self.window_start) = (Some(now), now);
        }
        while now >= self.window_start + WINDOW {
            self.counted_since = Some(self.window_start);
            self.window_start =
                if now >= self.window_start + 2 * WINDOW { now } else { self.window_start + WINDOW };
            for count in self.routes.values_mut() {
                count.previous = std::mem::take(&mut count.current);
            }
            self.routes.retain(|_, count| count.previous > 0.0);
        }
    }

    /// Requests per second of each route, with its class.
    fn rates(&self, now: Time) -> impl Iterator<Item = (&str, usize, f64)> {
        let counted_since = self.counted_since.unwrap_or(now);
        let seconds = now.saturating_sub(counted_since).max(MIN_RATE_TIME) as f64 / 1_000.0;
        self.routes.iter().map(move |(route, count)| {
            (route.as_str(), count.class, (count.current + count.previous) / seconds)
        })
    }
}

/// Evidence on a route, and when it sent its first and its last request.
#[derive(Debug)]
struct TrialRoute {
    evidence: RouteEvidence,
    first_request: Option<Time>,
}

/// Evidence of a trial by route.
#[derive(Debug)]
pub struct TrialRoutes {
    routes: Vec<TrialRoute>,
}

impl TrialRoutes {
    /// Starts with the routes that led to the service before the trial.
    pub fn new(now: Time, traffic: &RouteTraffic) -> TrialRoutes {
        let routes = traffic.rates(now).map(|(route, class, rate_before)| TrialRoute {
            evidence: RouteEvidence { route: route.into(), class, rate_before, ..RouteEvidence::default() },
            first_request: None,
        });
        TrialRoutes { routes: routes.collect() }
    }

    /// The number of a route, unless there are too many.
    pub fn number(&mut self, route: &str, class: usize) -> Option<usize> {
        if let Some(number) = self.routes.iter().position(|known| known.evidence.route == route) {
            return Some(number);
        }
        if self.routes.len() >= MAX_ROUTES {
            return None;
        }
        let evidence = RouteEvidence { route: route.into(), class, ..RouteEvidence::default() };
        self.routes.push(TrialRoute { evidence, first_request: None });
        Some(self.routes.len() - 1)
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time, number: usize) {
        let Some(route) = self.routes.get_mut(number) else { return };
        route.evidence.requests += 1.0;
        route.evidence.active = now - *route.first_request.get_or_insert(now);
    }

    /// Factor on the share of a route's requests that go to the version on trial.
    pub fn sampling_factor(&self, route: &str) -> f64 {
        let number = self.routes.iter().position(|known| known.evidence.route == route);
        let Some(number) = number.filter(|_| self.routes.len() > 1) else { return 1.0 };
        let requests: Vec<f64> = self.routes.iter().map(|known| known.evidence.requests).collect();
        sampling_factor(&requests, number)
    }

    /// Counts an outcome of the earlier version (arm 0) or the new one (arm 1).
    pub fn record_outcome(&mut self, number: Option<usize>, arm: usize, failed: bool) {
        if let Some(outcomes) = self.outcomes(number, arm) {
            outcomes.add(OutcomeCount { count: 1.0, failed: f64::from(u8::from(failed)) });
        }
    }

    /// Removes a failure that was counted before.
    pub fn remove_failure(&mut self, number: Option<usize>, arm: usize) {
        if let Some(outcomes) = self.outcomes(number, arm) {
            outcomes.add(OutcomeCount { count: -1.0, failed: -1.0 });
        }
    }

    fn outcomes(&mut self, number: Option<usize>, arm: usize) -> Option<&mut OutcomeCount> {
        self.routes.get_mut(number?)?.evidence.outcomes.get_mut(arm)
    }

    /// The evidence on each route.
    pub fn evidence(&self) -> Vec<RouteEvidence> {
        self.routes.iter().map(|route| route.evidence.clone()).collect()
    }
}
