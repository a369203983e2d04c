//! The exposure cap of a build, counted over the window that rule 5 defines.

use super::*;

impl Marshal {
    /// The cap of a build on trial, else `None`. A build not yet announced is treated as in stage 0.
    pub(super) fn trial_cap(&self, build: Build) -> Option<f64> {
        match &self.report {
            Some(n) if build < n.build || (build == n.build && n.phase == Phase::Released) => None,
            Some(n) if build == n.build => Some(self.granted_cap(build, n.cap)),
            _ => Some(self.granted_cap(build, self.settings.stage_cap.first().copied().unwrap_or(0.0))),
        }
    }

    /// With group decisions a grant limits the cap. Guards against an instance that is cut off from the
    /// group and would go on exposing a build that the group has reverted.
    pub(super) fn granted_cap(&self, build: Build, cap: f64) -> f64 {
        let grant = self.group.grant.filter(|(of, _)| *of == build).map_or(0.0, |(_, cap)| cap);
        cap.min(if self.settings.group_decisions { grant } else { cap })
    }

    pub(super) fn is_newest(&self, build: Build) -> bool {
        self.report.as_ref().is_some_and(|report| build >= report.build)
    }

    /// Rule 5: whether one more attempt stays within the cap, in the window up to now, two ticks either side.
    pub(super) fn within_cap(&mut self, build: Build, class: ClassId) -> bool {
        let Some(cap) = self.trial_cap(build) else { return true };
        let report = self.report.as_ref().filter(|report| report.build == build);
        let stage = report.map_or(0, |report| report.stage);
        let idempotent = self.settings.classes[class.0].retry_safety == RetrySafety::Idempotent;
        if cap <= 0.0 || (stage < self.settings.idempotent_only_stages && !idempotent) {
            return false;
        }
        let slack = self.settings.tick * 2.0;
        let from = self.now - self.settings.exposure_window;
        let all = 0..self.traffic.requests.len();
        let ids = if self.settings.exposure_per_class { class.0..class.0 + 1 } else { all };
        let taken: usize = self.traffic.requests[ids.clone()].iter_mut().map(|t| t.trim(from + slack)).sum();
        let bound = |cap: f64| self.settings.exposure_allowance + cap * taken as f64 - 1.0;
        let Some(exposed) = self.traffic.exposed.get_mut(&build) else { return bound(cap) >= 0.0 };
        let exposed = &mut exposed[ids];
        let all: usize = exposed.iter_mut().map(|times| times.trim(from - slack)).sum();
        // A lower cap counts attempts anew; until it is certainly in force, the old one limits all of them.
        let lowered = self.traffic.lowered_cap.filter(|_| report.is_some());
        let Some((lowered_at, old_cap)) = lowered else { return all as f64 <= bound(cap) };
        let since: usize = exposed.iter().map(|times| times.count_since(lowered_at)).sum();
        let in_force = self.now >= lowered_at + self.settings.drain_grace + slack;
        since as f64 <= bound(cap) && (in_force || all as f64 <= bound(old_cap))
    }
}
