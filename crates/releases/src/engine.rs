//! The engine: how far each edition is out in each building, through freezes, needs, withdrawals and kills. Whatever
//! changes comes out as a change to be written first; the state is the sum of its changes and of nothing else. From it
//! comes the numbered table of what may carry traffic. It only narrows: it goes on where the decision module stands for
//! an edition, and back where that sends one back.

mod steps;
mod waits;
mod withdrawal;

use crate::model::{BuildingId, CustomerId, Edition, Model};
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
