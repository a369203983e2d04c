//! What a proxy shows to a version on trial, over the whole trial.

/// Requests of a service since its trial began here, and how many of them went to the new version.
#[derive(Clone, Debug, Default)]
pub struct ExposureBudget {
    requests: f64,
    exposed: f64,
}

impl ExposureBudget {
    /// A request of the service came.
    pub fn record_request(&mut self) {
        self.requests += 1.0;
    }

    /// Whether one more may go to the new version, within `share` of all requests so far and `slack`; counts it if so. The caps of
    /// the stages are wider, so that a stage is short; one that is held for long must not use up what the version is allowed
    /// in its whole trial.
    pub fn try_take(&mut self, share: f64, slack: f64) -> bool {
        let within = self.exposed + 1.0 <= share * self.requests + slack;
        if within {
            self.exposed += 1.0;
        }
        within
    }
}
