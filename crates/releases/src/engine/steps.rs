//! Rollout steps: starting, pausing, resuming, rolling back and completing tranches.

use super::{Change, Engine, Phase, Progress, Verdict};
use crate::calendar::FreezeMode;
use crate::model::BuildingId;
use crate::model::Edition;

impl Engine {
    /// Advances the tranche that is in rollout, if there is one.
    pub(super) fn advance_tranche(
        &mut self,
        edition: Edition,
        building: BuildingId,
        changes: &mut Vec<Change>,
    ) {
        let progress = self.state.progress(edition, building);
        if progress.phase != Phase::Moving || self.state.is_reverted(edition) {
            return;
        }
        let now = self.now.monotonic;
        let running_s = if progress.held { 0 } else { (now - progress.updated_at).max(0) };
        match self.active_freeze(edition, building, progress.tranches_done).map(|(mode, ..)| mode) {
            Some(FreezeMode::Rollback) => {
                let rolled_back = Progress {
                    phase: Phase::Waiting,
                    elapsed_s: 0,
                    updated_at: now,
                    held: false,
                    ..progress
                };
                return self.record(Change::Progress(edition, building, rolled_back), changes);
            }
            Some(FreezeMode::Hold) if !progress.held => {
                let held = Progress {
                    elapsed_s: progress.elapsed_s + running_s,
                    updated_at: now,
                    held: true,
                    ..progress
                };
                return self.record(Change::Progress(edition, building, held), changes);
            }
            Some(FreezeMode::Hold) => return,
            Some(FreezeMode::Finish) | None if progress.held => {
                let resumed = Progress { updated_at: now, held: false, ..progress };
                return self.record(Change::Progress(edition, building, resumed), changes);
            }
            Some(FreezeMode::Finish) | None => {}
        }
        // A tranche completes only together with its unit, and not while a dependency that was withdrawn meanwhile is
        // missing.
        let unit = self.unit_of(edition);
        let ready = |other: &Edition| {
            let other = self.state.progress(*other, building);
            other.tranches_done > progress.tranches_done
                || (other.phase == Phase::Moving
                    && other.elapsed_s + (now - other.updated_at) >= self.model.min_tranche_s)
        };
        if progress.elapsed_s + running_s < self.model.min_tranche_s
            || !self.unmet_dependencies(edition, building).is_empty()
            || !unit.iter().all(ready)
        {
            return;
        }
        let tranches_done = progress.tranches_done + 1;
        // The last tranche completes only once the decision module approves the edition, since the table's time to live
        // does not apply to released editions.
        if tranches_done >= self.model.tranches.len() && self.state.verdict(edition) != Some(Verdict::Proceed)
        {
            return;
        }
        let phase = if tranches_done >= self.model.tranches.len() { Phase::Released } else { Phase::Waiting };
        let next = Progress { phase, tranches_done, elapsed_s: 0, updated_at: now, held: false };
        self.record(Change::Progress(edition, building, next), changes);
    }

    /// Starts the next tranche of an edition and its unit, once none of them has a reason to wait.
    pub(super) fn start_unit(&mut self, edition: Edition, building: BuildingId, changes: &mut Vec<Change>) {
        let progress = self.state.progress(edition, building);
        if progress.phase != Phase::Waiting {
            return;
        }
        // All editions of a unit start together.
        let unit = self.unit_of(edition);
        let may_start = |other: &Edition| {
            let progress = self.state.progress(*other, building);
            progress.phase == Phase::Moving
                || (progress.phase == Phase::Waiting && self.wait_reasons(*other, building).is_empty())
        };
        if !unit.iter().all(may_start) {
            return;
        }
        for other in unit {
            let other_progress = self.state.progress(other, building);
            if other_progress.phase == Phase::Waiting {
                let started = Progress {
                    phase: Phase::Moving,
                    elapsed_s: 0,
                    updated_at: self.now.monotonic,
                    held: false,
                    ..other_progress
                };
                self.record(Change::Progress(other, building, started), changes);
            }
        }
    }

    /// Gives the table a new number if any of `changes` may have altered it.
    pub(super) fn renumber_if_changed(&mut self, changes: &mut Vec<Change>) {
        if changes.iter().any(|change| !matches!(change, Change::Table(_))) {
            self.record(Change::Table(self.state.table_number + 1), changes);
        }
    }
}
