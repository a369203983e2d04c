//! The engine: how far each edition is out in each building, through freezes, needs, withdrawals and kills. Whatever
//! changes comes out as a change to be written first; the state is the sum of its changes and of nothing else. From it
//! comes the numbered table of what may carry traffic. It only narrows: it goes on where the decision module stands for
//! an edition, and back where that sends one back.

use crate::calendar::{closed, Closed, Mode};
use crate::model::{BuildingId, CustomerId, Edition, Model, Reach};
use crate::units::depth;
use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How an edition stands in a building.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Nothing of it is out, or no tranche is on its way.
    #[default]
    Waiting,
    /// A tranche is on its way.
    Moving,
    /// All tranches are out.
    Released,
    /// It is forbidden there, for good.
    Withdrawn,
}

/// An edition in a building.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Track {
    /// Its phase.
    pub phase: Phase,
    /// Tranches that are out.
    pub done: usize,
    /// Seconds that the present tranche has been on its way, without those for which it was held.
    pub spent: i64,
    /// Since when it has gone on without a change that was written.
    pub since: Time,
    /// A freeze holds it where it is.
    pub held: bool,
}

/// What the decision module and the platform say of an edition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It may go on.
    On,
    /// It goes back.
    Back,
}

/// A change, in the order in which they are written. Applied, it gives the state; it holds all it needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An edition's track in a building.
    Track(Edition, BuildingId, Track),
    /// What is said of an edition.
    Verdict(Edition, Verdict),
    /// A withdrawal begins or goes on: editions that are still to be withdrawn, the next ones first, and from when.
    Withdrawal(Vec<Edition>, Time),
    /// A table of this number is in force.
    Table(u64),
}

/// All that is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    tracks: BTreeMap<(Edition, BuildingId), Track>,
    verdicts: BTreeMap<Edition, Verdict>,
    /// Editions still to be withdrawn, the next ones first, and from when the next may be.
    pub withdrawing: (Vec<Edition>, Time),
    /// The last table's number.
    pub table: u64,
}

impl State {
    /// Takes a change on.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Track(edition, building, track) => {
                self.tracks.insert((*edition, *building), *track);
            }
            Change::Verdict(edition, verdict) => {
                self.verdicts.insert(*edition, *verdict);
            }
            Change::Withdrawal(rest, from) => self.withdrawing = (rest.clone(), *from),
            Change::Table(number) => self.table = *number,
        }
    }
    /// An edition in a building.
    pub fn track(&self, edition: Edition, building: BuildingId) -> Track {
        self.tracks.get(&(edition, building)).copied().unwrap_or_default()
    }
    /// What is said of it.
    pub fn verdict(&self, edition: Edition) -> Option<Verdict> {
        self.verdicts.get(&edition).copied()
    }
    /// Whether it goes back.
    pub fn sent_back(&self, edition: Edition) -> bool {
        self.verdict(edition) == Some(Verdict::Back) || self.withdrawing.0.contains(&edition)
    }
}

/// What is permitted: editions by building and customer. Whatever stands in neither list is forbidden.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Rises with each; an older one never takes a newer one's place.
    pub number: u64,
    /// Milliseconds for which it permits what is on its way; what was released before it permits after that too.
    pub life: u64,
    /// Released before.
    pub released: BTreeSet<(Edition, BuildingId, CustomerId)>,
    /// On its way.
    pub moving: BTreeSet<(Edition, BuildingId, CustomerId)>,
}

/// The time, by two clocks. Where they part, a freeze that either shows is in force: guards against a wall clock set
/// back into a freeze that is over for nobody else, or forward past one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// The wall clock.
    pub wall: Time,
    /// What it would show had it run as the steady clock since the start.
    pub steady: Time,
}

impl Now {
    /// One clock, which both show.
    pub fn at(time: Time) -> Now {
        Now { wall: time, steady: time }
    }
}

/// Why an edition waits in a building.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum Wait {
    /// It was sent back, or goes back with what it needs.
    SentBack,
    /// A freeze holds it.
    Freeze {
        /// Its name.
        name: String,
        /// Its end.
        until: Time,
    },
    /// What it needs is not out there yet.
    Need {
        /// In words.
        what: String,
        /// How many of the wanted buildings have it.
        out: usize,
        /// Buildings that must have it.
        of: usize,
    },
    /// An earlier edition of its service is not out yet.
    Order {
        /// The earlier one.
        before: String,
    },
    /// The building before is not done.
    Building {
        /// That building.
        before: String,
    },
    /// A budget is taken.
    Budget {
        /// Of one building, or overall.
        of: String,
        /// Who holds it.
        held_by: Vec<String>,
    },
    /// The decision module has not stood for it yet.
    Verdict,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine {
    model: Model,
    state: State,
    /// Milliseconds for which a table permits what is on its way.
    life: u64,
    /// Seconds between one level of a withdrawal and the next.
    grace: i64,
    depth: BTreeMap<Edition, usize>,
    now: Now,
}

impl Engine {
    /// Goes on from a state; whatever the model holds that the state doesn't know waits.
    pub fn new(model: Model, state: State, life: u64, grace: i64) -> Engine {
        let depth = depth(&model);
        Engine { model, state, life, grace, depth, now: Now::at(0) }
    }

    /// The model.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// The state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Takes another model on: freezes, exemptions, budgets, editions, where customers are served. What is out stays out;
    /// a table that shows something else has another number.
    pub fn set(&mut self, model: Model) -> Vec<Change> {
        let before = self.permitted();
        self.depth = depth(&model);
        self.model = model;
        if self.permitted() == before {
            return Vec::new();
        }
        self.renumber()
    }

    /// A new number for the table: the file may have changed since the last one was told.
    pub fn renumber(&mut self) -> Vec<Change> {
        let mut out = Vec::new();
        self.change(Change::Table(self.state.table + 1), &mut out);
        out
    }

    /// The time that answers about freezes are given for.
    pub fn look(&mut self, now: Now) {
        self.now = now;
    }

    fn change(&mut self, change: Change, out: &mut Vec<Change>) {
        self.state.apply(&change);
        out.push(change);
    }

    fn released(&self, edition: Edition, building: BuildingId) -> bool {
        let before = self.model.editions.get(&edition).is_some_and(|plan| plan.released);
        let track = self.state.track(edition, building);
        track.phase != Phase::Withdrawn && (before || track.phase == Phase::Released)
    }

    /// Whether something that meets a need is out where it must be, and in how many of those buildings.
    fn met(&self, edition: Edition, building: BuildingId) -> Vec<(String, usize, usize)> {
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
    fn together(&self, one: Edition, other: Edition) -> bool {
        one != other
            && self.depth.get(&one) == self.depth.get(&other)
            && self.needs(one).contains(&other)
            && self.needs(other).contains(&one)
    }

    /// All that an edition needs, directly or by others; the ones that would meet it.
    fn needs(&self, edition: Edition) -> BTreeSet<Edition> {
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

    fn unit(&self, edition: Edition) -> Vec<Edition> {
        let with = self.model.editions.keys().copied().filter(|other| self.together(edition, *other));
        std::iter::once(edition).chain(with).collect()
    }

    /// The strictest freeze in force for a tranche, its name and its end.
    fn frozen(&self, edition: Edition, building: BuildingId, tranche: usize) -> Option<(Mode, String, Time)> {
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

    fn moving(&self) -> impl Iterator<Item = (Edition, BuildingId)> + '_ {
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

    /// What the decision module or the platform says. Back stands above all, and takes with it what needs the edition.
    pub fn verdict(&mut self, edition: Edition, verdict: Verdict, now: Now) -> Vec<Change> {
        self.now = now;
        let mut out = Vec::new();
        if !self.model.editions.contains_key(&edition) || self.state.verdict(edition) == Some(Verdict::Back) {
            return out;
        }
        if self.state.verdict(edition) != Some(verdict) {
            self.change(Change::Verdict(edition, verdict), &mut out);
        }
        self.doom(&mut out);
        self.table(&mut out);
        out
    }

    /// Begins the withdrawal of what was said to go back and is not withdrawn. Guards also against a kill between the
    /// word and the withdrawal that follows from it: the word is kept, and the rest follows from that.
    fn doom(&mut self, out: &mut Vec<Change>) {
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
    fn falls(&self, edition: Edition, doomed: &BTreeSet<Edition>) -> bool {
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
    fn withdraw(&mut self, out: &mut Vec<Change>) {
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

    /// Looks at the time: tranches go on, are held, go back or complete; what may begins; withdrawals go on.
    pub fn tick(&mut self, now: Now) -> Vec<Change> {
        let mut out = Vec::new();
        self.now = now;
        self.doom(&mut out);
        self.withdraw(&mut out);
        let keys: Vec<(Edition, BuildingId)> = (self.model.editions.iter())
            .filter(|(_, plan)| !plan.released)
            .flat_map(|(edition, _)| {
                (0..self.model.buildings.len()).map(move |building| (*edition, building))
            })
            .collect();
        for (edition, building) in &keys {
            self.go_on(*edition, *building, &mut out);
        }
        for (edition, building) in keys {
            self.begin(edition, building, &mut out);
        }
        self.table(&mut out);
        out
    }

    fn go_on(&mut self, edition: Edition, building: BuildingId, out: &mut Vec<Change>) {
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

    fn begin(&mut self, edition: Edition, building: BuildingId, out: &mut Vec<Change>) {
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
    fn table(&mut self, out: &mut Vec<Change>) {
        if out.iter().any(|change| !matches!(change, Change::Table(_))) {
            self.change(Change::Table(self.state.table + 1), out);
        }
    }

    /// The table in force.
    pub fn permitted(&self) -> Table {
        let mut table = Table { number: self.state.table, life: self.life, ..Table::default() };
        for (edition, plan) in &self.model.editions {
            for building in 0..self.model.buildings.len() {
                let track = self.state.track(*edition, building);
                if track.phase == Phase::Withdrawn {
                    continue;
                }
                for (tranche, customers) in self.model.tranches.iter().enumerate() {
                    let out = plan.released || track.done > tranche;
                    let moving = track.phase == Phase::Moving && track.done == tranche;
                    for customer in customers.iter().filter(|c| self.model.at_home(**c, building)) {
                        let entry = (*edition, building, *customer);
                        if out {
                            table.released.insert(entry);
                        } else if moving {
                            table.moving.insert(entry);
                        }
                    }
                }
            }
        }
        table
    }
}
