//! What a step of an edition waits for: needs, freezes, units.

use super::{Engine, Phase, Progress, WaitReason};
use crate::calendar::frozen_intervals;
use crate::calendar::FreezeMode;
use crate::calendar::FrozenInterval;
use crate::model::BuildingId;
use crate::model::DependencyScope;
use crate::model::Edition;
use crate::Time;
use std::collections::BTreeSet;

impl Engine {
    pub(super) fn is_released(&self, edition: Edition, building: BuildingId) -> bool {
        let before = self.model.editions.get(&edition).is_some_and(|plan| plan.released);
        let progress = self.state.progress(edition, building);
        progress.phase != Phase::Withdrawn && (before || progress.phase == Phase::Released)
    }

    /// Whether something that meets a need is out where it must be, and in how many of those buildings.
    pub(super) fn unmet_dependencies(
        &self,
        edition: Edition,
        building: BuildingId,
    ) -> Vec<(String, usize, usize)> {
        let Some(plan) = self.model.editions.get(&edition) else { return Vec::new() };
        let mut unmet = Vec::new();
        for need in &plan.dependencies {
            let places: Vec<BuildingId> = match need.scope {
                DependencyScope::Building => vec![building],
                DependencyScope::Everywhere => (0..self.model.buildings.len()).collect(),
            };
            let out = |place: &&BuildingId| {
                // What moves together with it counts as there: it moves in step.
                self.model.editions_satisfying(*need).any(|other| {
                    self.is_released(other, **place)
                        || (self.are_mutually_dependent(edition, other) && !self.state.is_reverted(other))
                })
            };
            let has = places.iter().filter(out).count();
            if has < places.len() {
                let to = if need.max_build == u32::MAX {
                    "or later".into()
                } else {
                    format!("to {}", need.max_build)
                };
                let what = format!("{} {} {to}", self.model.services[need.service], need.min_build);
                unmet.push((what, has, places.len()));
            }
        }
        unmet
    }

    /// Whether two editions need one another.
    pub(super) fn are_mutually_dependent(&self, one: Edition, other: Edition) -> bool {
        one != other
            && self.depth.get(&one) == self.depth.get(&other)
            && self.transitive_dependencies(one).contains(&other)
            && self.transitive_dependencies(other).contains(&one)
    }

    /// All that an edition needs, directly or by others; the ones that would meet it.
    pub(super) fn transitive_dependencies(&self, edition: Edition) -> BTreeSet<Edition> {
        let mut all = BTreeSet::new();
        let mut open = vec![edition];
        while let Some(next) = open.pop() {
            for need in self.model.editions.get(&next).map_or(&[][..], |plan| &plan.dependencies) {
                for other in self.model.editions_satisfying(*need) {
                    if all.insert(other) {
                        open.push(other);
                    }
                }
            }
        }
        all
    }

    pub(super) fn unit_of(&self, edition: Edition) -> Vec<Edition> {
        let with =
            self.model.editions.keys().copied().filter(|other| self.are_mutually_dependent(edition, *other));
        std::iter::once(edition).chain(with).collect()
    }

    /// The strictest freeze in force for a tranche, its name and its end.
    pub(super) fn active_freeze(
        &self,
        edition: Edition,
        building: BuildingId,
        tranche: usize,
    ) -> Option<(FreezeMode, String, Time)> {
        let customers = self.model.tranches.get(tranche)?;
        let mut strictest: Option<(FreezeMode, String, Time)> = None;
        for now in [self.now.wall, self.now.monotonic] {
            for freeze in &self.model.freezes {
                let one = std::slice::from_ref(freeze);
                let of = (edition, building, customers.as_slice());
                let here = frozen_intervals(one, &self.model.exemptions, of, (now, now + 1));
                let Some(FrozenInterval { mode, to, .. }) =
                    here.iter().find(|c| c.from <= now && now < c.to).copied()
                else {
                    continue;
                };
                if strictest.as_ref().is_none_or(|(most, ..)| *most < mode) {
                    strictest = Some((mode, freeze.name.clone(), to));
                }
            }
        }
        strictest
    }

    pub(super) fn editions_in_rollout(&self) -> impl Iterator<Item = (Edition, BuildingId)> + '_ {
        let open = |progress: &Progress| {
            progress.phase == Phase::Moving
                || (progress.tranches_done > 0 && progress.phase == Phase::Waiting)
        };
        self.state.progress.iter().filter(move |(_, progress)| open(progress)).map(|(key, _)| *key)
    }

    /// Why an edition does not go on in a building now; empty where it may.
    pub fn wait_reasons(&self, edition: Edition, building: BuildingId) -> Vec<WaitReason> {
        let model = &self.model;
        let progress = self.state.progress(edition, building);
        let mut why = Vec::new();
        if self.state.is_reverted(edition) || progress.phase == Phase::Withdrawn {
            return vec![WaitReason::SentBack];
        }
        if self.is_released(edition, building) {
            return why;
        }
        for (what, out, of) in self.unmet_dependencies(edition, building) {
            why.push(WaitReason::Need { what, out, of });
        }
        let mut before = model.editions.range(..edition).map(|(other, _)| *other);
        let before = before.rfind(|other| {
            other.service == edition.service
                && !self.state.is_reverted(*other)
                && !self.is_released(*other, building)
        });
        let dead = |other: Edition| self.state.progress(other, building).phase == Phase::Withdrawn;
        if let Some(other) = before.filter(|other| !dead(*other)) {
            why.push(WaitReason::Order { before: model.edition_name(other) });
        }
        if model.one_by_one && building > 0 && !self.is_released(edition, building - 1) {
            why.push(WaitReason::Building { before: model.buildings[building - 1].clone() });
        }
        let last = progress.phase == Phase::Moving && progress.tranches_done + 1 >= model.tranches.len();
        if (progress.tranches_done > 0 || last) && self.state.verdict(edition).is_none() {
            why.push(WaitReason::Verdict);
        }
        if let Some((_, name, until)) = self.active_freeze(edition, building, progress.tranches_done) {
            why.push(WaitReason::Freeze { name, until });
        }
        if progress.phase == Phase::Waiting && progress.tranches_done == 0 {
            let size = self.unit_of(edition).len();
            let own = self.unit_of(edition);
            let others: Vec<(Edition, BuildingId)> =
                self.editions_in_rollout().filter(|(e, b)| *b != building || !own.contains(e)).collect();
            let names = |list: &[(Edition, BuildingId)]| {
                list.iter()
                    .map(|(e, b)| format!("{} in {}", model.edition_name(*e), model.buildings[*b]))
                    .collect()
            };
            let here: Vec<_> = others.iter().copied().filter(|(_, b)| *b == building).collect();
            if here.len() + size > model.budgets.building {
                why.push(WaitReason::Budget { of: model.buildings[building].clone(), held_by: names(&here) });
            }
            if others.len() + size > model.budgets.overall {
                why.push(WaitReason::Budget { of: "all buildings".into(), held_by: names(&others) });
            }
        }
        why
    }
}
