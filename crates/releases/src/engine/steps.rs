//! How editions go on from one building to the next.

use super::{Change, Engine, Phase, Track, Verdict};
use crate::calendar::Mode;
use crate::model::BuildingId;
use crate::model::Edition;

impl Engine {
    pub(super) fn go_on(&mut self, edition: Edition, building: BuildingId, out: &mut Vec<Change>) {
        let track = self.state.track(edition, building);
        if track.phase != Phase::Moving || self.state.sent_back(edition) {
            return;
        }
        let steady = self.now.steady;
        let ran = if track.held { 0 } else { (steady - track.since).max(0) };
        match self.frozen(edition, building, track.done).map(|(mode, ..)| mode) {
            Some(Mode::Settle) => {
                let back = Track { phase: Phase::Waiting, spent: 0, since: steady, held: false, ..track };
                return self.change(Change::Track(edition, building, back), out);
            }
            Some(Mode::Hold) if !track.held => {
                let held = Track { spent: track.spent + ran, since: steady, held: true, ..track };
                return self.change(Change::Track(edition, building, held), out);
            }
            Some(Mode::Hold) => return,
            Some(Mode::Finish) | None if track.held => {
                let on = Track { since: steady, held: false, ..track };
                return self.change(Change::Track(edition, building, on), out);
            }
            Some(Mode::Finish) | None => {}
        }
        // What it needs may have gone meanwhile; a later tranche wants the module's word.
        let unit = self.unit(edition);
        let ready = |other: &Edition| {
            let t = self.state.track(*other, building);
            t.done > track.done
                || (t.phase == Phase::Moving && t.spent + (steady - t.since) >= self.model.tranche)
        };
        if track.spent + ran < self.model.tranche
            || !self.met(edition, building).is_empty()
            || !unit.iter().all(ready)
        {
            return;
        }
        let done = track.done + 1;
        // The last tranche is out only once the module stands for the edition: released outlives the table.
        if done >= self.model.tranches.len() && self.state.verdict(edition) != Some(Verdict::On) {
            return;
        }
        let phase = if done >= self.model.tranches.len() { Phase::Released } else { Phase::Waiting };
        let next = Track { phase, done, spent: 0, since: steady, held: false };
        self.change(Change::Track(edition, building, next), out);
    }

    pub(super) fn begin(&mut self, edition: Edition, building: BuildingId, out: &mut Vec<Change>) {
        let track = self.state.track(edition, building);
        if track.phase != Phase::Waiting {
            return;
        }
        // All that must move together begins together.
        let unit = self.unit(edition);
        let may = |other: &Edition| {
            let t = self.state.track(*other, building);
            t.phase == Phase::Moving || (t.phase == Phase::Waiting && self.waits(*other, building).is_empty())
        };
        if !unit.iter().all(may) {
            return;
        }
        for other in unit {
            let t = self.state.track(other, building);
            if t.phase == Phase::Waiting {
                let begun =
                    Track { phase: Phase::Moving, spent: 0, since: self.now.steady, held: false, ..t };
                self.change(Change::Track(other, building, begun), out);
            }
        }
    }

    /// The number of a new table, where anything has changed that it shows.
    pub(super) fn table(&mut self, out: &mut Vec<Change>) {
        if out.iter().any(|change| !matches!(change, Change::Table(_))) {
            self.change(Change::Table(self.state.table + 1), out);
        }
    }
}
