//! Editions that are sent back, and those that fall with them.

use super::{Change, Engine, Phase, Progress, Verdict};
use crate::model::Edition;
use std::collections::BTreeSet;

impl Engine {
    /// Begins the withdrawal of what was said to go back and is not withdrawn. Guards also against a kill between the
    /// word and the withdrawal that follows from it: the word is kept, and the rest follows from that.
    pub(super) fn start_withdrawals(&mut self, out: &mut Vec<Change>) {
        let buildings = 0..self.model.buildings.len();
        let stands = |edition: &Edition| {
            buildings
                .clone()
                .any(|building| self.state.progress(*edition, building).phase != Phase::Withdrawn)
        };
        let back =
            |edition: &&Edition| self.state.verdict(**edition) == Some(Verdict::Revert) && stands(edition);
        let named: Vec<Edition> = self.model.editions.keys().filter(back).copied().collect();
        if named.iter().all(|edition| self.state.withdrawing.0.contains(edition)) {
            return;
        }
        let mut doomed: BTreeSet<Edition> = named.iter().flat_map(|edition| self.unit_of(*edition)).collect();
        doomed.extend(self.state.withdrawing.0.iter().copied());
        // What can be met by nothing else any more goes with it, level by level.
        loop {
            let out_somewhere = |other: &Edition| {
                buildings.clone().any(|building| {
                    let progress = self.state.progress(*other, building);
                    progress.tranches_done > 0
                        || progress.phase == Phase::Moving
                        || self.is_released(*other, building)
                })
            };
            let more: Vec<Edition> = (self.model.editions.keys().copied())
                .filter(|other| {
                    !doomed.contains(other) && out_somewhere(other) && self.loses_dependency(*other, &doomed)
                })
                .collect();
            if more.is_empty() {
                break;
            }
            doomed.extend(more);
        }
        let mut rest: Vec<Edition> = doomed.into_iter().collect();
        // Dependants first.
        rest.sort_by_key(|edition| {
            (std::cmp::Reverse(self.depth.get(edition).copied().unwrap_or(0)), *edition)
        });
        self.record(Change::Withdrawal(rest, self.now.monotonic), out);
        self.advance_withdrawal(out);
    }

    /// Whether an edition has a need that nothing but doomed ones meets.
    pub(super) fn loses_dependency(&self, edition: Edition, doomed: &BTreeSet<Edition>) -> bool {
        let Some(plan) = self.model.editions.get(&edition) else { return false };
        plan.dependencies.iter().any(|need| {
            let mut others = self.model.editions_satisfying(*need);
            let hits = self.model.editions_satisfying(*need).any(|other| doomed.contains(&other));
            hits && !others.any(|other| {
                !doomed.contains(&other)
                    && (0..self.model.buildings.len()).all(|b| {
                        let there = self.state.progress(edition, b);
                        self.is_released(other, b)
                            || (there.tranches_done == 0 && there.phase == Phase::Waiting)
                    })
            })
        })
    }

    /// Withdraws the next level, once the one before has had its grace. A withdrawal waits for no freeze.
    pub(super) fn advance_withdrawal(&mut self, out: &mut Vec<Change>) {
        let (rest, from) = self.state.withdrawing.clone();
        let Some(first) = rest.first().copied().filter(|_| self.now.monotonic >= from) else { return };
        let level = self.depth.get(&first).copied();
        let (here, later): (Vec<Edition>, Vec<Edition>) =
            rest.into_iter().partition(|edition| self.depth.get(edition).copied() == level);
        for edition in here {
            for building in 0..self.model.buildings.len() {
                let progress = self.state.progress(edition, building);
                if progress.phase != Phase::Withdrawn {
                    let gone = Progress { phase: Phase::Withdrawn, held: false, ..progress };
                    self.record(Change::Progress(edition, building, gone), out);
                }
            }
            if self.state.verdict(edition) != Some(Verdict::Revert) {
                self.record(Change::Verdict(edition, Verdict::Revert), out);
            }
        }
        self.record(Change::Withdrawal(later, self.now.monotonic + self.withdrawal_grace_s), out);
    }
}
