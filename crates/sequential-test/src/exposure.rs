//! The exposure of requests to a version on trial, over the whole trial: the budget of one proxy, and what is
//! to be expected over all proxies.

use crate::Time;

/// Requests of a service since its trial began on this proxy, and how many of them went to the new
/// version.
#[derive(Clone, Debug, Default)]
pub struct ExposureBudget {
    requests: f64,
    exposed: f64,
}

impl ExposureBudget {
    /// Counts a request of the service.
    pub fn record_request(&mut self) {
        self.requests += 1.0;
    }

    /// Whether one more request may go to the new version within `share` of all requests so far
    /// plus `slack`; counts it if so. The stage caps are wider, to keep stages short, but a stage
    /// that is held for long must not use up what the version may get in its whole trial.
    pub fn try_take(&mut self, share: f64, slack: f64) -> bool {
        let within = self.exposed + 1.0 <= share * self.requests + slack;
        if within {
            self.exposed += 1.0;
        }
        within
    }
}

/// Largest factor by which a route with few requests is sampled more often than the service as a whole.
const MAX_SAMPLING_FACTOR: f64 = 2.0;

/// Factor on the share of a route's requests that go to the version on trial, so that a route with few requests
/// gives evidence sooner. The service as a whole is sampled as without it. `requests` holds the requests of
/// each route, `route` is the index of this one.
pub fn sampling_factor(requests: &[f64], route: usize) -> f64 {
    let (used, total) = requests
        .iter()
        .filter(|count| **count > 0.0)
        .fold((0.0, 0.0), |(used, total), count| (used + 1.0, total + count));
    let mean = total / f64::max(used, 1.0);
    // Routes below the mean are raised; the others share what is left, in proportion to their requests.
    let raised = |count: f64| (count < mean).then(|| (mean / count.max(1.0)).clamp(1.0, MAX_SAMPLING_FACTOR));
    let own = requests.get(route).copied().unwrap_or(0.0);
    if let Some(factor) = raised(own) {
        return factor;
    }
    let spent: f64 = requests.iter().filter_map(|count| Some(raised(*count)? * count)).sum();
    let rest: f64 = requests.iter().filter(|count| raised(**count).is_none()).sum();
    ((total - spent) / rest.max(1.0)).clamp(0.0, 1.0)
}

/// Factor on the expected number of requests, for random variation.
const FORECAST_MARGIN: f64 = 1.25;

/// What a version will have got by its term if it gets all requests from now on.
#[derive(Clone, Copy, Debug)]
pub struct ExposureForecast {
    /// Requests of the service since the order.
    pub requests: f64,
    /// How many of them went to the new version.
    pub exposed: f64,
    /// Requests per second that are to be expected.
    pub rate: f64,
    /// Milliseconds until the term.
    pub remaining: Time,
}

impl ExposureForecast {
    /// Whether the version stays within `share` of all requests plus `slack`, even if it is bad and is never
    /// taken back.
    pub fn is_within(&self, share: f64, slack: f64) -> bool {
        let to_come = FORECAST_MARGIN * self.rate * self.remaining as f64 / 1_000.0;
        self.exposed + to_come <= share * (self.requests + to_come) + slack
    }
}
