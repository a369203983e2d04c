//! What a step of an edition waits for: needs, freezes, units.

use super::{Engine, Phase, Track, Wait};
use crate::calendar::closed;
use crate::calendar::Closed;
use crate::calendar::Mode;
use crate::model::BuildingId;
use crate::model::Edition;
use crate::model::Reach;
use crate::Time;
use std::collections::BTreeSet;

impl Engine {
    pub(super) fn released(&self, edition: Edition, building: BuildingId) -> bool {
        let before = self.model.editions.get(&edition).is_some_and(|plan| plan.released);
        let track = self.state.track(edition, building);
        track.phase != Phase::Withdrawn && (before || track.phase == Phase::Released)
    }

    /// Whether something that meets a need is out where it must be, and in how many of those buildings.
    pub(super) fn met(&self, edition: Edition, building: BuildingId) -> Vec<(String, usize, usize)> {
        let Some(plan) = self.model.editions.get(&edition) else { return Vec::new() };
        let mut unmet = Vec::new();
        for need in &plan.needs {
            let places: Vec<BuildingId> = match need.reach {
                Reach::Building => vec![building],
                Reach::Everywhere => (0..self.model.buildings.len()).collect(),
            };
            let out = |place: &&BuildingId| {
                // What moves together with it counts as there: it moves in step.
                self.model.meeting(*need).any(|other| {
                    self.released(other, **place)
                        || (self.together(edition, other) && !self.state.sent_back(other))
                })
            };
            let has = places.iter().filter(out).count();
            if has < places.len() {
                let to = if need.to == u32::MAX { "or later".into() } else { format!("to {}", need.to) };
                let what = format!("{} {} {to}", self.model.services[need.service], need.from);
                unmet.push((what, has, places.len()));
            }
        }
        unmet
    }

    /// Whether two editions need one another.
    pub(super) fn together(&self, one: Edition, other: Edition) -> bool {
        one != other
            && self.depth.get(&one) == self.depth.get(&other)
            && self.needs(one).contains(&other)
            && self.needs(other).contains(&one)
    }

    /// All that an edition needs, directly or by others; the ones that would meet it.
    pub(super) fn needs(&self, edition: Edition) -> BTreeSet<Edition> {
        let mut all = BTreeSet::new();
        let mut open = vec![edition];
        while let Some(next) = open.pop() {
            for need in self.model.editions.get(&next).map_or(&[][..], |plan| &plan.needs) {
                for other in self.model.meeting(*need) {
                    if all.insert(other) {
                        open.push(other);
                    }
                }
            }
        }
        all
    }

    pub(super) fn unit(&self, edition: Edition) -> Vec<Edition> {
        let with = self.model.editions.keys().copied().filter(|other| self.together(edition, *other));
        std::iter::once(edition).chain(with).collect()
    }

    /// The strictest freeze in force for a tranche, its name and its end.
    pub(super) fn frozen(
        &self,
        edition: Edition,
        building: BuildingId,
        tranche: usize,
    ) -> Option<(Mode, String, Time)> {
        let customers = self.model.tranches.get(tranche)?;
        let mut strictest: Option<(Mode, String, Time)> = None;
        for now in [self.now.wall, self.now.steady] {
            for freeze in &self.model.freezes {
                let one = std::slice::from_ref(freeze);
                let of = (edition, building, customers.as_slice());
                let here = closed(one, &self.model.exemptions, of, (now, now + 1));
                let Some(Closed { mode, to, .. }) =
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

    pub(super) fn moving(&self) -> impl Iterator<Item = (Edition, BuildingId)> + '_ {
        let open =
            |track: &Track| track.phase == Phase::Moving || (track.done > 0 && track.phase == Phase::Waiting);
        self.state.tracks.iter().filter(move |(_, track)| open(track)).map(|(key, _)| *key)
    }

    /// Why an edition does not go on in a building now; empty where it may.
    pub fn waits(&self, edition: Edition, building: BuildingId) -> Vec<Wait> {
        let model = &self.model;
        let track = self.state.track(edition, building);
        let mut why = Vec::new();
        if self.state.sent_back(edition) || track.phase == Phase::Withdrawn {
            return vec![Wait::SentBack];
        }
        if self.released(edition, building) {
            return why;
        }
        for (what, out, of) in self.met(edition, building) {
            why.push(Wait::Need { what, out, of });
        }
        let mut before = model.editions.range(..edition).map(|(other, _)| *other);
        let before = before.rfind(|other| {
            other.service == edition.service
                && !self.state.sent_back(*other)
                && !self.released(*other, building)
        });
        let dead = |other: Edition| self.state.track(other, building).phase == Phase::Withdrawn;
        if let Some(other) = before.filter(|other| !dead(*other)) {
            why.push(Wait::Order { before: model.name(other) });
        }
        if model.one_by_one && building > 0 && !self.released(edition, building - 1) {
            why.push(Wait::Building { before: model.buildings[building - 1].clone() });
        }
        let last = track.phase == Phase::Moving && track.done + 1 >= model.tranches.len();
        if (track.done > 0 || last) && self.state.verdict(edition).is_none() {
            why.push(Wait::Verdict);
        }
        if let Some((_, name, until)) = self.frozen(edition, building, track.done) {
            why.push(Wait::Freeze { name, until });
        }
        if track.phase == Phase::Waiting && track.done == 0 {
            let size = self.unit(edition).len();
            let own = self.unit(edition);
            let others: Vec<(Edition, BuildingId)> =
                self.moving().filter(|(e, b)| *b != building || !own.contains(e)).collect();
            let names = |list: &[(Edition, BuildingId)]| {
                list.iter().map(|(e, b)| format!("{} in {}", model.name(*e), model.buildings[*b])).collect()
            };
            let here: Vec<_> = others.iter().copied().filter(|(_, b)| *b == building).collect();
            if here.len() + size > model.budgets.building {
                why.push(Wait::Budget { of: model.buildings[building].clone(), held_by: names(&here) });
            }
            if others.len() + size > model.budgets.overall {
                why.push(Wait::Budget { of: "all buildings".into(), held_by: names(&others) });
            }
        }
        why
    }
}
