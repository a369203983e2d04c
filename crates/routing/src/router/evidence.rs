//! What an edge tells the core, and what it is told: loads, trials, decisions, health.

use super::{connections, unheard_bound, Attempt, Probe, RoutedRequest, Router, LONGEST, OTHERS};
use crate::marshal::Marshal;
use crate::Time;
use milletwing_drift_detection::Sample;
use milletwing_outlier_detection::HostObservation;
use milletwing_sequential_test::TrialReport;
use rand::Rng;

impl Router {
    /// A decision to be told to the core, now and then.
    pub fn take_sample(&mut self) -> Option<Sample> {
        self.sampled.take()
    }

    /// Notes a first sending of a request, where one is due: by own chance, whatever the load. The request by its attempt id,
    /// host and path.
    pub fn record_sample(
        &mut self,
        now: Time,
        request: [&str; 3],
        ticket: &RoutedRequest,
        sending: &Attempt,
    ) {
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + self.chance.random_range(500..1_500);
        let cut = |text: &str| text.chars().take(LONGEST).collect::<String>();
        let [attempt, host, path] = request.map(cut);
        let (route, service) = (cut(&ticket.route.name), sending.service.to_string());
        let revision = self.of.as_ref().map_or(0, |of| of.revision);
        self.sampled =
            Some(Sample { revision, attempt, host, path, route, service, marshal: sending.id.to_string() });
    }

    /// What the core is told of the trials under way.
    pub fn trial_reports(&mut self, now: Time) -> Vec<TrialReport> {
        let trials = self.services.iter_mut().filter_map(|(name, it)| Some((name, it.trial.as_mut()?)));
        trials.map(|(name, trial)| trial.report(now, name)).collect()
    }

    /// What was met at marshals since the last call, of so many at most; the rest comes with the next.
    pub fn take_observations(&mut self, most: usize) -> Vec<HostObservation> {
        let mut out = Vec::new();
        while let Some(key) = self.met.pop_first() {
            out.extend(self.marshals.get_mut(&key).and_then(Marshal::tell));
            if out.len() >= most {
                break;
            }
        }
        out
    }

    /// What others were told of marshals' loads, so many milliseconds ago.
    pub fn apply_shared_loads(&mut self, now: Time, loads: &[(u32, u16)], ago: Time) {
        for (host, load) in loads {
            let Some(marshal) = self.hosts.get(host).and_then(|key| self.marshals.get_mut(key)) else {
                continue;
            };
            marshal.shared(now, *load, ago);
            let others = marshal.others();
            if let Some(service) = self.services.get_mut(marshal.service.as_ref()) {
                service.others += OTHERS * (others - service.others);
            }
        }
    }

    /// Marshals whose health should be asked now, of so many at most: out of touch with the core, this edge learns in no other way
    /// that they have turned cold.
    pub fn due_probes(&mut self, now: Time, most: usize) -> Vec<Probe> {
        let Some(of) = self.of.as_ref().filter(|_| self.core_contact_lost(now)) else { return Vec::new() };
        let mut out = Vec::new();
        for (key, marshal) in &mut self.marshals {
            let Some(service) = self.services.get(&marshal.service) else { continue };
            let unheard = unheard_bound(of, &marshal.service, &self.bounds, self.edges);
            if out.len() >= most || !marshal.wants_probe(now, unheard) {
                continue;
            }
            marshal.probing(now);
            let path = of.targets.get(marshal.service.as_ref()).map(|it| it.probe_path.clone());
            let connections = connections(service.connections, self.edges);
            let sending = Attempt::to(*key, marshal, now, connections, 0);
            out.extend(path.map(|path| Probe { attempt: sending, path }));
        }
        out
    }

    /// What came of a probe: the marshal is warm, cold, or did not say.
    pub fn record_probe_result(&mut self, now: Time, probe: &Probe, warm: Option<bool>) {
        if let Some(marshal) = self.marshals.get_mut(&probe.attempt.marshal_key) {
            marshal.probed(now, warm);
        }
    }
}
