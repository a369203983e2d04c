//! Reasons for which an edition waits: dependencies, order, freezes, budgets, verdicts.

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
    /// Whether an edition has been released in a building, by the engine or before the plan began.
    pub(super) fn is_released(&self, edition: Edition, building: BuildingId) -> bool {
        let released_before = self.model.editions.get(&edition).is_some_and(|spec| spec.released);
        let progress = self.state.progress(edition, building);
        progress.phase != Phase::Withdrawn && (released_before || progress.phase == Phase::Released)
    }

    /// The dependencies of an edition that are not satisfied: a description, the number of required buildings in which
    /// each is satisfied, and the number of required buildings.
    pub(super) fn unmet_dependencies(
        &self,
        edition: Edition,
        building: BuildingId,
    ) -> Vec<(String, usize, usize)> {
        let Some(spec) = self.model.editions.get(&edition) else { return Vec::new() };
        let mut unmet = Vec::new();
        for dependency in &spec.dependencies {
            let places: Vec<BuildingId> = match dependency.scope {
                DependencyScope::Building => vec![building],
                DependencyScope::Everywhere => (0..self.model.buildings.len()).collect(),
            };
            let satisfied = |place: &&BuildingId| {
                // An edition of the same unit counts as released there, since it advances in step with this one.
                self.model.editions_satisfying(*dependency).any(|other| {
                    self.is_released(other, **place)
                        || (self.are_mutually_dependent(edition, other) && !self.state.is_reverted(other))
                })
            };
            let satisfied_in = places.iter().filter(satisfied).count();
            if satisfied_in < places.len() {
                let to = if dependency.max_build == u32::MAX {
                    "or later".into()
                } else {
                    format!("to {}", dependency.max_build)
                };
                let what =
                    format!("{} {} {to}", self.model.services[dependency.service], dependency.min_build);
                unmet.push((what, satisfied_in, places.len()));
            }
        }
        unmet
    }

    /// Whether two editions depend on each other.
    pub(super) fn are_mutually_dependent(&self, one: Edition, other: Edition) -> bool {
        one != other
            && self.depths.get(&one) == self.depths.get(&other)
            && self.transitive_dependencies(one).contains(&other)
            && self.transitive_dependencies(other).contains(&one)
    }

    /// All editions that satisfy a direct or transitive dependency of an edition.
    pub(super) fn transitive_dependencies(&self, edition: Edition) -> BTreeSet<Edition> {
        let mut all = BTreeSet::new();
        let mut pending = vec![edition];
        while let Some(next) = pending.pop() {
            for dependency in self.model.editions.get(&next).map_or(&[][..], |spec| &spec.dependencies) {
                for other in self.model.editions_satisfying(*dependency) {
                    if all.insert(other) {
                        pending.push(other);
                    }
                }
            }
        }
        all
    }

    /// An edition and all those that it is mutually dependent with.
    pub(super) fn unit_of(&self, edition: Edition) -> Vec<Edition> {
        let mutual =
            self.model.editions.keys().copied().filter(|other| self.are_mutually_dependent(edition, *other));
        std::iter::once(edition).chain(mutual).collect()
    }

    /// Mode, name and end of the strictest freeze in force for a tranche by either clock.
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
                let single = std::slice::from_ref(freeze);
                let tranche_key = (edition, building, customers.as_slice());
                let intervals = frozen_intervals(single, &self.model.exemptions, tranche_key, (now, now + 1));
                let Some(FrozenInterval { mode, to, .. }) =
                    intervals.iter().find(|interval| interval.from <= now && now < interval.to).copied()
                else {
                    continue;
                };
                if strictest.as_ref().is_none_or(|(strictest_mode, ..)| *strictest_mode < mode) {
                    strictest = Some((mode, freeze.name.clone(), to));
                }
            }
        }
        strictest
    }

    /// Editions that use the budgets, with their buildings: those of which a tranche is in rollout, or of which some
    /// tranches have been released but not all.
    pub(super) fn editions_in_rollout(&self) -> impl Iterator<Item = (Edition, BuildingId)> + '_ {
        let uses_budget = |progress: &Progress| {
            progress.phase == Phase::Moving
                || (progress.tranches_done > 0 && progress.phase == Phase::Waiting)
        };
        self.state.progress.iter().filter(move |(_, progress)| uses_budget(progress)).map(|(key, _)| *key)
    }

    /// Why an edition does not proceed in a building at the current time; empty where it may.
    pub fn wait_reasons(&self, edition: Edition, building: BuildingId) -> Vec<WaitReason> {
        let model = &self.model;
        let progress = self.state.progress(edition, building);
        let mut reasons = Vec::new();
        if self.state.is_reverted(edition) || progress.phase == Phase::Withdrawn {
            return vec![WaitReason::SentBack];
        }
        if self.is_released(edition, building) {
            return reasons;
        }
        for (what, out, of) in self.unmet_dependencies(edition, building) {
            reasons.push(WaitReason::Need { what, out, of });
        }
        let mut earlier = model.editions.range(..edition).map(|(other, _)| *other);
        let earlier = earlier.rfind(|other| {
            other.service == edition.service
                && !self.state.is_reverted(*other)
                && !self.is_released(*other, building)
        });
        let withdrawn = |other: Edition| self.state.progress(other, building).phase == Phase::Withdrawn;
        if let Some(other) = earlier.filter(|other| !withdrawn(*other)) {
            reasons.push(WaitReason::Order { before: model.edition_name(other) });
        }
        if model.one_by_one && building > 0 && !self.is_released(edition, building - 1) {
            reasons.push(WaitReason::Building { before: model.buildings[building - 1].clone() });
        }
        // All tranches after the first, and the completion of the last one, need the approval of the decision module.
        let last_tranche =
            progress.phase == Phase::Moving && progress.tranches_done + 1 >= model.tranches.len();
        if (progress.tranches_done > 0 || last_tranche) && self.state.verdict(edition).is_none() {
            reasons.push(WaitReason::Verdict);
        }
        if let Some((_, name, until)) = self.active_freeze(edition, building, progress.tranches_done) {
            reasons.push(WaitReason::Freeze { name, until });
        }
        if progress.phase == Phase::Waiting && progress.tranches_done == 0 {
            let size = self.unit_of(edition).len();
            let unit = self.unit_of(edition);
            let others: Vec<(Edition, BuildingId)> =
                self.editions_in_rollout().filter(|(e, b)| *b != building || !unit.contains(e)).collect();
            let names = |list: &[(Edition, BuildingId)]| {
                list.iter()
                    .map(|(e, b)| format!("{} in {}", model.edition_name(*e), model.buildings[*b]))
                    .collect()
            };
            let in_building: Vec<_> = others.iter().copied().filter(|(_, b)| *b == building).collect();
            if in_building.len() + size > model.budgets.building {
                reasons.push(WaitReason::Budget {
                    of: model.buildings[building].clone(),
                    held_by: names(&in_building),
                });
            }
            if others.len() + size > model.budgets.overall {
                reasons.push(WaitReason::Budget { of: "all buildings".into(), held_by: names(&others) });
            }
        }
        reasons
    }
}
