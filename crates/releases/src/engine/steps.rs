//! How editions go on from one building to the next.

use super::{Change, Engine, Phase, Progress, Verdict};
use crate::calendar::FreezeMode;
use crate::model::BuildingId;
use crate::model::Edition;

impl Engine {
    pub(super) fn advance_tranche(&mut self, edition: Edition, building: BuildingId, out: &mut Vec<Change>) {
        let progress = self.state.progress(edition, building);
        if progress.phase != Phase::Moving || self.state.is_reverted(edition) {
            return;
        }
        let monotonic = self.now.monotonic;
        let ran = if progress.held { 0 } else { (monotonic - progress.updated_at).max(0) };
        match self.active_freeze(edition, building, progress.tranches_done).map(|(mode, ..)| mode) {
            Some(FreezeMode::Rollback) => {
                let back = Progress {
                    phase: Phase::Waiting,
                    elapsed_s: 0,
                    updated_at: monotonic,
                    held: false,
                    ..progress
                };
                return self.record(Change::Progress(edition, building, back), out);
            }
            Some(FreezeMode::Hold) if !progress.held => {
                let held = Progress {
                    elapsed_s: progress.elapsed_s + ran,
                    updated_at: monotonic,
                    held: true,
                    ..progress
                };
                return self.record(Change::Progress(edition, building, held), out);
            }
            Some(FreezeMode::Hold) => return,
            Some(FreezeMode::Finish) | None if progress.held => {
                let on = Progress { updated_at: monotonic, held: false, ..progress };
                return self.record(Change::Progress(edition, building, on), out);
            }
            Some(FreezeMode::Finish) | None => {}
        }
        // What it needs may have gone meanwhile; a later tranche wants the module's word.
        let unit = self.unit_of(edition);
        let ready = |other: &Edition| {
            let t = self.state.progress(*other, building);
            t.tranches_done > progress.tranches_done
                || (t.phase == Phase::Moving
                    && t.elapsed_s + (monotonic - t.updated_at) >= self.model.min_tranche_s)
        };
        if progress.elapsed_s + ran < self.model.min_tranche_s
            || !self.unmet_dependencies(edition, building).is_empty()
            || !unit.iter().all(ready)
        {
            return;
        }
        let tranches_done = progress.tranches_done + 1;
        // The last tranche is out only once the module stands for the edition: released outlives the table.
        if tranches_done >= self.model.tranches.len() && self.state.verdict(edition) != Some(Verdict::Proceed)
        {
            return;
        }
        let phase = if tranches_done >= self.model.tranches.len() { Phase::Released } else { Phase::Waiting };
        let next = Progress { phase, tranches_done, elapsed_s: 0, updated_at: monotonic, held: false };
        self.record(Change::Progress(edition, building, next), out);
    }

    pub(super) fn start_unit(&mut self, edition: Edition, building: BuildingId, out: &mut Vec<Change>) {
        let progress = self.state.progress(edition, building);
        if progress.phase != Phase::Waiting {
            return;
        }
        // All that must move together begins together.
        let unit = self.unit_of(edition);
        let may = |other: &Edition| {
            let t = self.state.progress(*other, building);
            t.phase == Phase::Moving
                || (t.phase == Phase::Waiting && self.wait_reasons(*other, building).is_empty())
        };
        if !unit.iter().all(may) {
            return;
        }
        for other in unit {
            let t = self.state.progress(other, building);
            if t.phase == Phase::Waiting {
                let begun = Progress {
                    phase: Phase::Moving,
                    elapsed_s: 0,
                    updated_at: self.now.monotonic,
                    held: false,
                    ..t
                };
                self.record(Change::Progress(other, building, begun), out);
            }
        }
    }

    /// The number of a new table, where anything has changed that it shows.
    pub(super) fn renumber_if_changed(&mut self, out: &mut Vec<Change>) {
        if out.iter().any(|change| !matches!(change, Change::Table(_))) {
            self.record(Change::Table(self.state.table_number + 1), out);
        }
    }
}
