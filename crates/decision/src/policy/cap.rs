//! The coin's cap on a build (page), counted over the window of the rules (rule 5).

use super::*;

impl Marshal {
    /// The cap on a build, if it is on trial. One not yet announced counts as in stage 0.
    pub(super) fn on_trial(&self, build: Build) -> Option<f64> {
        match &self.news {
            Some(n) if build < n.build || (build == n.build && n.phase == Phase::Released) => None,
            Some(n) if build == n.build => Some(self.granted(build, n.cap)),
            _ => Some(self.granted(build, self.set.stage_cap.first().copied().unwrap_or(0.0))),
        }
    }

    /// Where judging is shared, the cap is that of a grant at most. Guards against an instance cut off from
    /// the group, which would go on exposing a build that the group has long sent back.
    pub(super) fn granted(&self, build: Build, cap: f64) -> f64 {
        let grant = self.group.granted.filter(|(of, _)| *of == build).map_or(0.0, |(_, cap)| cap);
        cap.min(if self.set.group_decisions { grant } else { cap })
    }

    pub(super) fn is_newest(&self, build: Build) -> bool {
        self.news.as_ref().is_some_and(|news| build >= news.build)
    }

    /// Rule 5: whether one more attempt stays within the cap, in the window up to now; two ticks either side.
    pub(super) fn within_cap(&mut self, build: Build, class: ClassId) -> bool {
        let Some(cap) = self.on_trial(build) else { return true };
        let stage = self.news.as_ref().filter(|news| news.build == build).map_or(0, |news| news.stage);
        let safe = self.set.classes[class.0].retry_safety == RetrySafety::Idempotent;
        if cap <= 0.0 || (stage < self.set.idempotent_only_stages && !safe) {
            return false;
        }
        let margin = self.set.tick * 2.0;
        let from = self.now - self.set.exposure_window;
        let lanes = if self.set.exposure_per_class { class.0..class.0 + 1 } else { 0..self.flow.taken.len() };
        let taken: usize = self.flow.taken[lanes.clone()].iter_mut().map(|l| l.trim(from + margin)).sum();
        let bound = |cap: f64| self.set.exposure_allowance + cap * taken as f64 - 1.0;
        let Some(sent) = self.flow.exposed.get_mut(&build) else { return bound(cap) >= 0.0 };
        let sent = &mut sent[lanes];
        let all: usize = sent.iter_mut().map(|l| l.trim(from - margin)).sum();
        // A lower cap counts attempts anew; until it binds for certain the old one counts all of them.
        let cut = self.flow.cut.filter(|_| self.news.as_ref().is_some_and(|n| n.build == build));
        let Some((cut, old)) = cut else { return all as f64 <= bound(cap) };
        let since: usize = sent.iter().map(|l| l.since(cut)).sum();
        let old_holds = self.now >= cut + self.set.drain_grace + margin || all as f64 <= bound(old);
        since as f64 <= bound(cap) && old_holds
    }
}
