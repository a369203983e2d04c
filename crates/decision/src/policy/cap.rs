//! The exposure cap of a build, counted over the window that rule 5 defines.

use super::*;

impl Marshal {
    /// The cap of a build on trial, else `None`. A build not yet announced is treated as in stage 0.
    pub(super) fn trial_cap(&self, build: Build) -> Option<f64> {
        match &self.report {
            Some(n) if build < n.build || (build == n.build && n.phase == Phase::Released) => None,
            Some(n) if build == n.build => Some(self.granted(build, n.cap)),
            _ => Some(self.granted(build, self.settings.stage_cap.first().copied().unwrap_or(0.0))),
        }
    }

    /// With group decisions a grant limits the cap. Guards against an instance that is cut off from the
    /// group and would go on exposing a build that the group has reverted.
    pub(super) fn granted(&self, build: Build, cap: f64) -> f64 {
        let grant = self.group.grant.filter(|(of, _)| *of == build).map_or(0.0, |(_, cap)| cap);
        cap.min(if self.settings.group_decisions { grant } else { cap })
    }

    pub(super) fn is_newest(&self, build: Build) -> bool {
        self.report.as_ref().is_some_and(|report| build >= report.build)
    }

    /// Rule 5: whether one more attempt stays within the cap, in the window up to now, two ticks either side.
    pub(super) fn within_cap(&mut self, build: Build, id: ClassId) -> bool {
        let Some(cap) = self.trial_cap(build) else { return true };
        let stage = self.report.as_ref().filter(|n| n.build == build).map_or(0, |n| n.stage);
        let idempotent = self.settings.classes[id.0].retry_safety == RetrySafety::Idempotent;
        if cap <= 0.0 || (stage < self.settings.idempotent_only_stages && !idempotent) {
            return false;
        }
        let slack = self.settings.tick * 2.0;
        let from = self.now - self.settings.exposure_window;
        let ids = if self.settings.exposure_per_class { id.0..id.0 + 1 } else { 0..self.traffic.taken.len() };
        let taken: usize = self.traffic.taken[ids.clone()].iter_mut().map(|t| t.trim(from + slack)).sum();
        let bound = |cap: f64| self.settings.exposure_allowance + cap * taken as f64 - 1.0;
        let Some(exposed) = self.traffic.exposed.get_mut(&build) else { return bound(cap) >= 0.0 };
        let exposed = &mut exposed[ids];
        let all: usize = exposed.iter_mut().map(|times| times.trim(from - slack)).sum();
        // A lower cap counts attempts anew; until it is certainly in force, the old one limits all of them.
        let lowered = self.traffic.lowered.filter(|_| self.report.as_ref().is_some_and(|n| n.build == build));
        let Some((lowered_at, old)) = lowered else { return all as f64 <= bound(cap) };
        let since: usize = exposed.iter().map(|times| times.count_since(lowered_at)).sum();
        let in_force = self.now >= lowered_at + self.settings.drain_grace + slack || all as f64 <= bound(old);
        since as f64 <= bound(cap) && in_force
    }
}
