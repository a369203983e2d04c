//! Editions that are sent back, and those that fall with them.

use super::{Change, Engine, Phase, Track, Verdict};
use crate::model::Edition;
use std::collections::BTreeSet;

impl Engine {
    /// Begins the withdrawal of what was said to go back and is not withdrawn. Guards also against a kill between the
    /// word and the withdrawal that follows from it: the word is kept, and the rest follows from that.
    pub(super) fn doom(&mut self, out: &mut Vec<Change>) {
        let buildings = 0..self.model.buildings.len();
        let stands = |edition: &Edition| {
            buildings.clone().any(|building| self.state.track(*edition, building).phase != Phase::Withdrawn)
        };
        let back =
            |edition: &&Edition| self.state.verdict(**edition) == Some(Verdict::Back) && stands(edition);
        let named: Vec<Edition> = self.model.editions.keys().filter(back).copied().collect();
        if named.iter().all(|edition| self.state.withdrawing.0.contains(edition)) {
            return;
        }
        let mut doomed: BTreeSet<Edition> = named.iter().flat_map(|edition| self.unit(*edition)).collect();
        doomed.extend(self.state.withdrawing.0.iter().copied());
        // What can be met by nothing else any more goes with it, level by level.
        loop {
            let out_somewhere = |other: &Edition| {
                buildings.clone().any(|building| {
                    let track = self.state.track(*other, building);
                    track.done > 0 || track.phase == Phase::Moving || self.released(*other, building)
                })
            };
            let more: Vec<Edition> = (self.model.editions.keys().copied())
                .filter(|other| {
                    !doomed.contains(other) && out_somewhere(other) && self.falls(*other, &doomed)
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
        self.change(Change::Withdrawal(rest, self.now.steady), out);
        self.withdraw(out);
    }

    /// Whether an edition has a need that nothing but doomed ones meets.
    pub(super) fn falls(&self, edition: Edition, doomed: &BTreeSet<Edition>) -> bool {
        let Some(plan) = self.model.editions.get(&edition) else { return false };
        plan.needs.iter().any(|need| {
            let mut others = self.model.meeting(*need);
            let hits = self.model.meeting(*need).any(|other| doomed.contains(&other));
            hits && !others.any(|other| {
                !doomed.contains(&other)
                    && (0..self.model.buildings.len()).all(|b| {
                        let there = self.state.track(edition, b);
                        self.released(other, b) || (there.done == 0 && there.phase == Phase::Waiting)
                    })
            })
        })
    }

    /// Withdraws the next level, once the one before has had its grace. A withdrawal waits for no freeze.
    pub(super) fn withdraw(&mut self, out: &mut Vec<Change>) {
        let (rest, from) = self.state.withdrawing.clone();
        let Some(first) = rest.first().copied().filter(|_| self.now.steady >= from) else { return };
        let level = self.depth.get(&first).copied();
        let (here, later): (Vec<Edition>, Vec<Edition>) =
            rest.into_iter().partition(|edition| self.depth.get(edition).copied() == level);
        for edition in here {
            for building in 0..self.model.buildings.len() {
                let track = self.state.track(edition, building);
                if track.phase != Phase::Withdrawn {
                    let gone = Track { phase: Phase::Withdrawn, held: false, ..track };
                    self.change(Change::Track(edition, building, gone), out);
                }
            }
            if self.state.verdict(edition) != Some(Verdict::Back) {
                self.change(Change::Verdict(edition, Verdict::Back), out);
            }
        }
        self.change(Change::Withdrawal(later, self.now.steady + self.grace), out);
    }
}
