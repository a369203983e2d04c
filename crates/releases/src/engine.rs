//! The release engine: tracks how far each edition is rolled out in each building, subject to freezes, dependencies,
//! withdrawals and crashes. Each state transition is returned as a `Change`, which callers write to disk before they act
//! on it; replaying all changes gives the state. The numbered table of editions that may carry traffic is derived from
//! the state. The engine only restricts: it proceeds where the decision module approves an edition, and reverts where the
//! decision module reverts one.

mod steps;
mod waits;
mod withdrawal;

use crate::model::{BuildingId, CustomerId, Edition, Model};
use crate::units::dependency_depths;
use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Release phase of an edition in a building.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// No tranche is in rollout; some may have been released.
    #[default]
    Waiting,
    /// A tranche is in rollout.
    Moving,
    /// All tranches have been released.
    Released,
    /// It is forbidden there permanently.
    Withdrawn,
}

/// Rollout progress of an edition in a building.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Progress {
    /// Release phase.
    pub phase: Phase,
    /// Number of released tranches.
    #[serde(rename = "done")]
    pub tranches_done: usize,
    /// Seconds for which the current tranche had been in rollout at `updated_at`, excluding those for which it was held.
    #[serde(rename = "spent")]
    pub elapsed_s: i64,
    /// Monotonic time of the last recorded change.
    #[serde(rename = "since")]
    pub updated_at: Time,
    /// Whether a freeze pauses the current tranche.
    pub held: bool,
}

/// Verdict of the decision module or the platform on an edition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The rollout may proceed.
    #[serde(rename = "On")]
    Proceed,
    /// The edition is to be withdrawn.
    #[serde(rename = "Back")]
    Revert,
}

/// A state transition. Changes are written in order, and each can be applied without anything but the state before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// New progress of an edition in a building.
    #[serde(rename = "Track")]
    Progress(Edition, BuildingId, Progress),
    /// A verdict on an edition.
    Verdict(Edition, Verdict),
    /// A withdrawal starts or continues: the editions still to be withdrawn, the next ones first, and the earliest time
    /// for the next ones.
    Withdrawal(Vec<Edition>, Time),
    /// The table with this number is in force.
    Table(u64),
}

/// The persistent state of the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    #[serde(rename = "tracks")]
    progress: BTreeMap<(Edition, BuildingId), Progress>,
    verdicts: BTreeMap<Edition, Verdict>,
    /// Editions still to be withdrawn, the next ones first, and the earliest time for the next ones.
    pub withdrawing: (Vec<Edition>, Time),
    /// Number of the latest table.
    #[serde(rename = "table")]
    pub table_number: u64,
}

impl State {
    /// Applies a change.
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
    /// Rollout progress of an edition in a building.
    pub fn progress(&self, edition: Edition, building: BuildingId) -> Progress {
        self.progress.get(&(edition, building)).copied().unwrap_or_default()
    }
    /// The verdict on an edition.
    pub fn verdict(&self, edition: Edition) -> Option<Verdict> {
        self.verdicts.get(&edition).copied()
    }
    /// Whether an edition has been withdrawn or is to be.
    pub fn is_reverted(&self, edition: Edition) -> bool {
        self.verdict(edition) == Some(Verdict::Revert) || self.withdrawing.0.contains(&edition)
    }
}

/// The editions permitted to serve each customer in each building. Whatever is in neither set is forbidden.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseTable {
    /// Increases with each table; an older table never replaces a newer one.
    pub number: u64,
    /// Milliseconds for which `in_rollout` is valid; `released` does not expire.
    #[serde(rename = "life")]
    pub ttl_ms: u64,
    /// Released editions.
    pub released: BTreeSet<(Edition, BuildingId, CustomerId)>,
    /// Editions of which a tranche is in rollout.
    #[serde(rename = "moving")]
    pub in_rollout: BTreeSet<(Edition, BuildingId, CustomerId)>,
}

/// The time by two clocks. Where they differ, a freeze that is in force by either one counts: a wall clock that was set
/// back to before a freeze, or forward past one, must not lift it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The wall clock.
    pub wall: Time,
    /// The wall-clock time at start-up, advanced by the monotonic clock.
    pub monotonic: Time,
}

impl ClockReading {
    /// A reading in which both clocks agree.
    pub fn at(time: Time) -> ClockReading {
        ClockReading { wall: time, monotonic: time }
    }
}

/// Why an edition waits in a building. Serialized into answers to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "why", rename_all = "snake_case")]
pub enum WaitReason {
    /// It was withdrawn, or is withdrawn together with a dependency.
    SentBack,
    /// A freeze is in force.
    Freeze {
        /// Name of the freeze.
        name: String,
        /// End of the freeze.
        until: Time,
    },
    /// A dependency has not been released yet.
    Need {
        /// Description of the dependency.
        what: String,
        /// Number of the required buildings in which it has been released.
        out: usize,
        /// Number of buildings in which it must be released.
        of: usize,
    },
    /// An earlier edition of its service has not been released yet.
    Order {
        /// The earlier edition.
        before: String,
    },
    /// It has not been released in the building before.
    Building {
        /// The building before.
        before: String,
    },
    /// A budget is exhausted.
    Budget {
        /// The building, or all buildings.
        of: String,
        /// The rollouts that use the budget.
        held_by: Vec<String>,
    },
    /// The decision module has not approved it yet.
    Verdict,
}

/// Applies verdicts and the passage of time to the release state.
#[derive(Clone, Debug)]
pub struct Engine {
    model: Model,
    state: State,
    /// Milliseconds for which a table permits editions in rollout.
    ttl_ms: u64,
    /// Seconds between the withdrawal of one dependency level and the next.
    withdrawal_grace_s: i64,
    depths: BTreeMap<Edition, usize>,
    now: ClockReading,
}

impl Engine {
    /// Resumes from a state. Editions of the model that the state has no record of start as waiting.
    pub fn new(model: Model, state: State, ttl_ms: u64, withdrawal_grace_s: i64) -> Engine {
        let depths = dependency_depths(&model);
        Engine { model, state, ttl_ms, withdrawal_grace_s, depths, now: ClockReading::at(0) }
    }

    /// The current model.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// The current state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Replaces the model: freezes, exemptions, budgets, editions, buildings of customers. Released editions stay
    /// released. Where the table changes, it gets a new number.
    pub fn replace_model(&mut self, model: Model) -> Vec<Change> {
        let before = self.release_table();
        self.depths = dependency_depths(&model);
        self.model = model;
        if self.release_table() == before {
            return Vec::new();
        }
        self.renumber()
    }

    /// Gives the table a new number. Used after a restart, since the settings may have changed since the last table was
    /// sent.
    pub fn renumber(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        self.record(Change::Table(self.state.table_number + 1), &mut changes);
        changes
    }

    /// Sets the time by which `wait_reasons` judges freezes, without advancing the state.
    pub fn set_time(&mut self, now: ClockReading) {
        self.now = now;
    }

    fn record(&mut self, change: Change, changes: &mut Vec<Change>) {
        self.state.apply(&change);
        changes.push(change);
    }

    /// Records a verdict of the decision module or the platform. `Revert` is final, and also withdraws the editions that
    /// depend on this one.
    pub fn record_verdict(&mut self, edition: Edition, verdict: Verdict, now: ClockReading) -> Vec<Change> {
        self.now = now;
        let mut changes = Vec::new();
        if !self.model.editions.contains_key(&edition) || self.state.verdict(edition) == Some(Verdict::Revert)
        {
            return changes;
        }
        if self.state.verdict(edition) != Some(verdict) {
            self.record(Change::Verdict(edition, verdict), &mut changes);
        }
        self.start_withdrawals(&mut changes);
        self.renumber_if_changed(&mut changes);
        changes
    }

    /// Advances the state to the given time: tranches resume, pause, roll back or complete, rollouts that are ready start,
    /// and withdrawals continue.
    pub fn tick(&mut self, now: ClockReading) -> Vec<Change> {
        let mut changes = Vec::new();
        self.now = now;
        self.start_withdrawals(&mut changes);
        self.advance_withdrawal(&mut changes);
        let keys: Vec<(Edition, BuildingId)> = (self.model.editions.iter())
            .filter(|(_, spec)| !spec.released)
            .flat_map(|(edition, _)| {
                (0..self.model.buildings.len()).map(move |building| (*edition, building))
            })
            .collect();
        for (edition, building) in &keys {
            self.advance_tranche(*edition, *building, &mut changes);
        }
        for (edition, building) in keys {
            self.start_unit(edition, building, &mut changes);
        }
        self.renumber_if_changed(&mut changes);
        changes
    }

    /// The current table of permitted editions.
    pub fn release_table(&self) -> ReleaseTable {
        let mut table =
            ReleaseTable { number: self.state.table_number, ttl_ms: self.ttl_ms, ..ReleaseTable::default() };
        for (edition, spec) in &self.model.editions {
            for building in 0..self.model.buildings.len() {
                let progress = self.state.progress(*edition, building);
                if progress.phase == Phase::Withdrawn {
                    continue;
                }
                for (tranche, customers) in self.model.tranches.iter().enumerate() {
                    let released = spec.released || progress.tranches_done > tranche;
                    let in_rollout = progress.phase == Phase::Moving && progress.tranches_done == tranche;
                    for customer in customers.iter().filter(|c| self.model.is_served_in(**c, building)) {
                        let entry = (*edition, building, *customer);
                        if released {
                            table.released.insert(entry);
                        } else if in_rollout {
                            table.in_rollout.insert(entry);
                        }
                    }
                }
            }
        }
        table
    }
}
