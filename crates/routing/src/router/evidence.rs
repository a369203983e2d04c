//! Exchange of evidence with the control plane: loads, trials, samples and health.

use super::{
    max_connections, unconfirmed_limit, Attempt, Probe, RoutedRequest, Router, LOAD_REPORT_WEIGHT,
    MAX_SAMPLE_CHARS,
};
use crate::marshal::Marshal;
use crate::Time;
use milletwing_drift_detection::Sample;
use milletwing_outlier_detection::HostObservation;
use milletwing_sequential_test::TrialReport;
use rand::Rng;

impl Router {
    /// Takes the pending routing sample, if there is one.
    pub fn take_sample(&mut self) -> Option<Sample> {
        self.pending_sample.take()
    }

    /// Samples the first attempt of a request at random intervals, independently of the load.
    /// `request` is the attempt id, host and path.
    pub fn record_sample(
        &mut self,
        now: Time,
        request: [&str; 3],
        routed: &RoutedRequest,
        first_attempt: &Attempt,
    ) {
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + self.rng.random_range(500..1_500);
        let truncate = |text: &str| text.chars().take(MAX_SAMPLE_CHARS).collect::<String>();
        let [attempt, host, path] = request.map(truncate);
        let (route, service) = (truncate(&routed.route.name), first_attempt.service.to_string());
        let revision = self.configuration.as_ref().map_or(0, |configuration| configuration.revision);
        self.pending_sample = Some(Sample {
            revision,
            attempt,
            host,
            path,
            route,
            service,
            marshal: first_attempt.id.to_string(),
        });
    }

    /// The reports on all active trials.
    pub fn trial_reports(&mut self, now: Time) -> Vec<TrialReport> {
        let trials =
            self.services.iter_mut().filter_map(|(name, service)| Some((name, service.trial.as_mut()?)));
        trials.map(|(name, trial)| trial.report(now, name)).collect()
    }

    /// Takes up to `most` observations of marshals since the last call. The rest follows with the
    /// next call.
    pub fn take_observations(&mut self, most: usize) -> Vec<HostObservation> {
        let mut observations = Vec::new();
        while let Some(key) = self.unreported.pop_first() {
            observations.extend(self.marshals.get_mut(&key).and_then(Marshal::take_observation));
            if observations.len() >= most {
                break;
            }
        }
        observations
    }

    /// Applies marshal loads that were reported to other edges `ago` milliseconds ago.
    pub fn apply_shared_loads(&mut self, now: Time, loads: &[(u32, u16)], ago: Time) {
        for (host, load) in loads {
            let Some(marshal) = self.key_by_host.get(host).and_then(|key| self.marshals.get_mut(key)) else {
                continue;
            };
            marshal.apply_shared_load(now, *load, ago);
            let other_load = marshal.other_load();
            if let Some(service) = self.services.get_mut(marshal.service.as_ref()) {
                service.other_load += LOAD_REPORT_WEIGHT * (other_load - service.other_load);
            }
        }
    }

    /// Up to `most` marshals whose health is to be probed now. Without contact to the control plane
    /// this edge has no other way to learn that they have turned cold.
    pub fn due_probes(&mut self, now: Time, most: usize) -> Vec<Probe> {
        let Some(configuration) = self.configuration.as_ref().filter(|_| self.core_contact_lost(now)) else {
            return Vec::new();
        };
        let mut probes = Vec::new();
        for (key, marshal) in &mut self.marshals {
            let Some(service) = self.services.get(&marshal.service) else { continue };
            let limit = unconfirmed_limit(configuration, &marshal.service, &self.guarantees, self.edge_count);
            if probes.len() >= most || !marshal.wants_probe(now, limit) {
                continue;
            }
            marshal.probe_started(now);
            let path =
                configuration.targets.get(marshal.service.as_ref()).map(|target| target.probe_path.clone());
            let limit = max_connections(service.max_sessions, self.edge_count);
            let attempt = Attempt::new(*key, marshal, now, limit, 0);
            probes.extend(path.map(|path| Probe { attempt, path }));
        }
        probes
    }

    /// Records a probe result: warm, cold, or `None` if unknown.
    pub fn record_probe_result(&mut self, now: Time, probe: &Probe, warm: Option<bool>) {
        let Some(configuration) = &self.configuration else { return };
        if let Some(marshal) = self.marshals.get_mut(&probe.attempt.marshal_key) {
            let limit = unconfirmed_limit(configuration, &marshal.service, &self.guarantees, self.edge_count);
            marshal.record_probe_result(now, probe.attempt.started_at, warm, limit);
        }
    }
}
