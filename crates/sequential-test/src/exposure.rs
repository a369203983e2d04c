//! The exposure of one proxy's requests to a version on trial, over the whole trial.

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
