//! The engine: how far each edition is out in each building, through freezes, needs, withdrawals and kills. Whatever
//! changes comes out as a change to be written first; the state is the sum of its changes and of nothing else. From it
//! comes the numbered table of what may carry traffic. It only narrows: it goes on where the decision module stands for
//! an edition, and back where that sends one back.

mod steps;
mod waits;
mod withdrawal;

use crate::model::{BuildingId, CustomerId, Edition, Model};
use crate::units::dependency_depths;
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
pub struct Progress {
    /// Its phase.
    pub phase: Phase,
    /// Tranches that are out.
    #[serde(rename = "done")]
    pub tranches_done: usize,
    /// Seconds that the present tranche has been on its way, without those for which it was held.
    #[serde(rename = "spent")]
    pub elapsed_s: i64,
    /// Since when it has gone on without a change that was written.
    #[serde(rename = "since")]
    pub updated_at: Time,
    /// A freeze holds it where it is.
    pub held: bool,
}

/// What the decision module and the platform say of an edition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// It may go on.
    #[serde(rename = "On")]
    Proceed,
    /// It goes back.
    #[serde(rename = "Back")]
    Revert,
}

/// A change, in the order in which they are written. Applied, it gives the state; it holds all it needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An edition's track in a building.
    #[serde(rename = "Track")]
    Progress(Edition, BuildingId, Progress),
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
    #[serde(rename = "tracks")]
    progress: BTreeMap<(Edition, BuildingId), Progress>,
    verdicts: BTreeMap<Edition, Verdict>,
    /// Editions still to be withdrawn, the next ones first, and from when the next may be.
    pub withdrawing: (Vec<Edition>, Time),
    /// The last table's number.
    #[serde(rename = "table")]
    pub table_number: u64,
}

impl State {
    /// Takes a change on.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Progress(edition, building, progress) => {
                self.progress.insert((*edition, *building), *progress);
            }
            Change::Verdict(edition, verdict) => {
                self.verdicts.insert(*edition, *verdict);
            }
            Change::Withdrawal(rest, from) => self.withdrawing = (rest.clone(), *from),
            Change::Table(number) => self.table_number = *number,
        }
    }
    /// An edition in a building.
    pub fn progress(&self, edition: Edition, building: BuildingId) -> Progress {
        self.progress.get(&(edition, building)).copied().unwrap_or_default()
    }
    /// What is said of it.
    pub fn verdict(&self, edition: Edition) -> Option<Verdict> {
        self.verdicts.get(&edition).copied()
    }
    /// Whether it goes back.
    pub fn is_reverted(&self, edition: Edition) -> bool {
        self.verdict(edition) == Some(Verdict::Revert) || self.withdrawing.0.contains(&edition)
    }
}

/// What is permitted: editions by building and customer. Whatever stands in neither list is forbidden.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseTable {
    /// Rises with each; an older one never takes a newer one's place.
    pub number: u64,
    /// Milliseconds for which it permits what is on its way; what was released before it permits after that too.
    #[serde(rename = "life")]
    pub ttl_ms: u64,
    /// Released before.
    pub released: BTreeSet<(Edition, BuildingId, CustomerId)>,
    /// On its way.
    #[serde(rename = "moving")]
    pub in_rollout: BTreeSet<(Edition, BuildingId, CustomerId)>,
}

/// The time, by two clocks. Where they part, a freeze that either shows is in force: guards against a wall clock set
/// back into a freeze that is over for nobody else, or forward past one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The wall clock.
    pub wall: Time,
    /// What it would show had it run as the steady clock since the start.
    pub monotonic: Time,
}

impl ClockReading {
    /// One clock, which both show.
    pub fn at(time: Time) -> ClockReading {
        ClockReading { wall: time, monotonic: time }
    }
}

/// Why an edition waits in a building.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum WaitReason {
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
    ttl_ms: u64,
    /// Seconds between one level of a withdrawal and the next.
    withdrawal_grace_s: i64,
    depth: BTreeMap<Edition, usize>,
    now: ClockReading,
}

impl Engine {
    /// Goes on from a state; whatever the model holds that the state doesn't know waits.
    pub fn new(model: Model, state: State, ttl_ms: u64, withdrawal_grace_s: i64) -> Engine {
        let depth = dependency_depths(&model);
        Engine { model, state, ttl_ms, withdrawal_grace_s, depth, now: ClockReading::at(0) }
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
    pub fn replace_model(&mut self, model: Model) -> Vec<Change> {
        let before = self.release_table();
        self.depth = dependency_depths(&model);
        self.model = model;
        if self.release_table() == before {
            return Vec::new();
        }
        self.renumber()
    }

    /// A new number for the table: the file may have changed since the last one was told.
    pub fn renumber(&mut self) -> Vec<Change> {
        let mut out = Vec::new();
        self.record(Change::Table(self.state.table_number + 1), &mut out);
        out
    }

    /// The time that answers about freezes are given for.
    pub fn set_time(&mut self, now: ClockReading) {
        self.now = now;
    }

    fn record(&mut self, change: Change, out: &mut Vec<Change>) {
        self.state.apply(&change);
        out.push(change);
    }

    /// What the decision module or the platform says. Back stands above all, and takes with it what needs the edition.
    pub fn record_verdict(&mut self, edition: Edition, verdict: Verdict, now: ClockReading) -> Vec<Change> {
        self.now = now;
        let mut out = Vec::new();
        if !self.model.editions.contains_key(&edition) || self.state.verdict(edition) == Some(Verdict::Revert)
        {
            return out;
        }
        if self.state.verdict(edition) != Some(verdict) {
            self.record(Change::Verdict(edition, verdict), &mut out);
        }
        self.start_withdrawals(&mut out);
        self.renumber_if_changed(&mut out);
        out
    }

    /// Looks at the time: tranches go on, are held, go back or complete; what may begins; withdrawals go on.
    pub fn tick(&mut self, now: ClockReading) -> Vec<Change> {
        let mut out = Vec::new();
        self.now = now;
        self.start_withdrawals(&mut out);
        self.advance_withdrawal(&mut out);
        let keys: Vec<(Edition, BuildingId)> = (self.model.editions.iter())
            .filter(|(_, plan)| !plan.released)
            .flat_map(|(edition, _)| {
                (0..self.model.buildings.len()).map(move |building| (*edition, building))
            })
            .collect();
        for (edition, building) in &keys {
            self.advance_tranche(*edition, *building, &mut out);
        }
        for (edition, building) in keys {
            self.start_unit(edition, building, &mut out);
        }
        self.renumber_if_changed(&mut out);
        out
    }

    /// The table in force.
    pub fn release_table(&self) -> ReleaseTable {
        let mut table =
            ReleaseTable { number: self.state.table_number, ttl_ms: self.ttl_ms, ..ReleaseTable::default() };
        for (edition, plan) in &self.model.editions {
            for building in 0..self.model.buildings.len() {
                let progress = self.state.progress(*edition, building);
                if progress.phase == Phase::Withdrawn {
                    continue;
                }
                for (tranche, customers) in self.model.tranches.iter().enumerate() {
                    let out = plan.released || progress.tranches_done > tranche;
                    let moving = progress.phase == Phase::Moving && progress.tranches_done == tranche;
                    for customer in customers.iter().filter(|c| self.model.is_served_in(**c, building)) {
                        let entry = (*edition, building, *customer);
                        if out {
                            table.released.insert(entry);
                        } else if moving {
                            table.in_rollout.insert(entry);
                        }
                    }
                }
            }
        }
        table
    }
}
