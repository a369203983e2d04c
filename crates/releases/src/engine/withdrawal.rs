//! Withdrawal of reverted editions and of those that depend on them.

use super::{Change, Engine, Phase, Progress, Verdict};
use crate::model::Edition;
use std::collections::BTreeSet;

impl Engine {
    /// Starts the withdrawal of editions with the verdict `Revert` that have not been withdrawn. Called on each tick too,
    /// so that a crash between the recording of a verdict and the start of the withdrawal loses nothing: the recorded
    /// verdict starts it.
    pub(super) fn start_withdrawals(&mut self, changes: &mut Vec<Change>) {
        let buildings = 0..self.model.buildings.len();
        let not_withdrawn = |edition: &Edition| {
            buildings
                .clone()
                .any(|building| self.state.progress(*edition, building).phase != Phase::Withdrawn)
        };
        let to_revert = |edition: &&Edition| {
            self.state.verdict(**edition) == Some(Verdict::Revert) && not_withdrawn(edition)
        };
        let reverted: Vec<Edition> = self.model.editions.keys().filter(to_revert).copied().collect();
        if reverted.iter().all(|edition| self.state.withdrawing.0.contains(edition)) {
            return;
        }
        let mut affected: BTreeSet<Edition> =
            reverted.iter().flat_map(|edition| self.unit_of(*edition)).collect();
        affected.extend(self.state.withdrawing.0.iter().copied());
        // Adds the editions left with a dependency that nothing else satisfies, one dependency level per round.
        loop {
            let released_somewhere = |other: &Edition| {
                buildings.clone().any(|building| {
                    let progress = self.state.progress(*other, building);
                    progress.tranches_done > 0
                        || progress.phase == Phase::Moving
                        || self.is_released(*other, building)
                })
            };
            let dependants: Vec<Edition> = (self.model.editions.keys().copied())
                .filter(|other| {
                    !affected.contains(other)
                        && released_somewhere(other)
                        && self.loses_dependency(*other, &affected)
                })
                .collect();
            if dependants.is_empty() {
                break;
            }
            affected.extend(dependants);
        }
        let mut rest: Vec<Edition> = affected.into_iter().collect();
        // Dependants first.
        rest.sort_by_key(|edition| {
            (std::cmp::Reverse(self.depths.get(edition).copied().unwrap_or(0)), *edition)
        });
        self.record(Change::Withdrawal(rest, self.now.monotonic), changes);
        self.advance_withdrawal(changes);
    }

    /// Whether an edition has a dependency that an edition in `affected` satisfies, and that no other edition satisfies in
    /// all buildings where a rollout of this edition has started.
    pub(super) fn loses_dependency(&self, edition: Edition, affected: &BTreeSet<Edition>) -> bool {
        let Some(spec) = self.model.editions.get(&edition) else { return false };
        spec.dependencies.iter().any(|dependency| {
            let mut candidates = self.model.editions_satisfying(*dependency);
            let is_affected =
                self.model.editions_satisfying(*dependency).any(|other| affected.contains(&other));
            is_affected
                && !candidates.any(|other| {
                    !affected.contains(&other)
                        && (0..self.model.buildings.len()).all(|b| {
                            let progress = self.state.progress(edition, b);
                            self.is_released(other, b)
                                || (progress.tranches_done == 0 && progress.phase == Phase::Waiting)
                        })
                })
        })
    }

    /// Withdraws the next dependency level, once the grace period after the level before has passed. Freezes don't delay a
    /// withdrawal.
    pub(super) fn advance_withdrawal(&mut self, changes: &mut Vec<Change>) {
        let (rest, from) = self.state.withdrawing.clone();
        let Some(first) = rest.first().copied().filter(|_| self.now.monotonic >= from) else { return };
        let level = self.depths.get(&first).copied();
        let (current, later): (Vec<Edition>, Vec<Edition>) =
            rest.into_iter().partition(|edition| self.depths.get(edition).copied() == level);
        for edition in current {
            for building in 0..self.model.buildings.len() {
                let progress = self.state.progress(edition, building);
                if progress.phase != Phase::Withdrawn {
                    let withdrawn = Progress { phase: Phase::Withdrawn, held: false, ..progress };
                    self.record(Change::Progress(edition, building, withdrawn), changes);
                }
            }
            if self.state.verdict(edition) != Some(Verdict::Revert) {
                self.record(Change::Verdict(edition, Verdict::Revert), changes);
            }
        }
        self.record(Change::Withdrawal(later, self.now.monotonic + self.withdrawal_grace_s), changes);
    }
}
