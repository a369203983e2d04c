//! Schedules all outstanding releases, each step at its earliest time. Editions that depend on one another are scheduled
//! as one unit. A job is the release of a unit in a building, from its first tranche to its last; it uses the budgets
//! all that time.
//!
//! Jobs are placed one after another, each at the earliest time that the jobs placed before allow. Starting a job earlier
//! never makes it end later, so some order of placement gives the earliest finish. Small plans search all orders by
//! branch and bound; large ones try a few priority rules.

use crate::calendar::{earliest_slot, frozen_intervals, FreezeMode, FrozenInterval};
use crate::engine::{Phase, State};
use crate::model::{BuildingId, DependencyScope, Edition, Model};
use crate::units::{ordered_units, Unit};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// The rollout of one tranche of an edition in a building.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Step {
    /// The edition.
    pub edition: Edition,
    /// The building.
    pub building: BuildingId,
    /// Index of the tranche.
    pub tranche: usize,
    /// Earliest start.
    pub start: Time,
    /// When the tranche has been released.
    pub end: Time,
}

/// A schedule of all outstanding releases.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// The steps in order of their start.
    pub steps: Vec<Step>,
    /// End of the last step.
    pub finish: Time,
    /// Lower bound on the finish of any schedule.
    pub lower_bound: Time,
    /// Whether it is proven that no schedule finishes earlier.
    pub optimal: bool,
    /// Editions that can't be released, and why.
    pub unschedulable: Vec<(Edition, String)>,
}

/// Planning horizon in seconds: two years. An edition that can't be released by then is unschedulable.
const HORIZON: i64 = 2 * 366 * 86_400;
/// Plans of at most so many jobs are searched exhaustively.
const MAX_EXHAUSTIVE_JOBS: usize = 9;
/// The most nodes that an exhaustive search may visit.
const MAX_SEARCH_NODES: usize = 400_000;

/// The release of a unit in a building.
#[derive(Clone, Debug)]
struct Job {
    unit: usize,
    building: BuildingId,
    /// Frozen intervals and remaining length of each tranche; `None` for a tranche that has been released.
    tranches: Vec<Option<(Vec<FrozenInterval>, i64)>>,
    /// Jobs that must end before this one starts.
    predecessors: Vec<usize>,
    /// Number of editions in the unit: its use of the budgets.
    size: usize,
    /// Whether a tranche is in rollout already.
    in_rollout: bool,
}

/// A job with its place in the schedule.
#[derive(Clone, Debug)]
struct Placed {
    start: Time,
    end: Time,
    /// Index, start and end of each tranche.
    steps: Vec<(usize, Time, Time)>,
}

impl Job {
    /// Places the job at the earliest time from `from` on that its freezes allow, regardless of budgets.
    fn place(&self, from: Time) -> Placed {
        let mut steps = Vec::new();
        let mut at = from;
        for (tranche, part) in self.tranches.iter().enumerate() {
            if let Some((frozen, length)) = part {
                let (start, end) = earliest_slot(frozen, at, *length);
                steps.push((tranche, start, end));
                at = end;
            }
        }
        Placed { start: steps.first().map_or(from, |step| step.1), end: at, steps }
    }
}

/// Use of a budget over time; each entry is the use from its time until the next entry.
#[derive(Clone, Debug, Default)]
struct BudgetUsage(BTreeMap<Time, usize>);

impl BudgetUsage {
    fn at(&self, time: Time) -> usize {
        self.0.range(..=time).next_back().map_or(0, |(_, used)| *used)
    }
    /// End of the first interval within `from..to` in which more than `limit` is in use.
    fn end_of_excess(&self, from: Time, to: Time, limit: usize) -> Option<Time> {
        let exceeds = |used: usize| used > limit;
        let first = if exceeds(self.at(from)) { Some(from) } else { None };
        let first =
            first.or_else(|| self.0.range(from..to).find(|(_, used)| exceeds(**used)).map(|(at, _)| *at))?;
        self.0.range(first..).find(|(_, used)| !exceeds(**used)).map(|(at, _)| *at)
    }
    fn reserve(&mut self, from: Time, to: Time, size: usize) {
        for edge in [from, to] {
            let here = self.at(edge);
            self.0.entry(edge).or_insert(here);
        }
        self.0.range_mut(from..to).for_each(|(_, used)| *used += size);
    }
    fn release(&mut self, from: Time, to: Time, size: usize) {
        self.0.range_mut(from..to).for_each(|(_, used)| *used -= size);
    }
}

/// Plans the releases of a model from a given time and state, and can replan after changes of the state.
#[derive(Clone, Debug)]
pub struct Planner<'a> {
    model: &'a Model,
    now: Time,
    units: Vec<Unit>,
    jobs: Vec<Job>,
    overall: BudgetUsage,
    buildings: Vec<BudgetUsage>,
    placed: Vec<Option<Placed>>,
    unschedulable: Vec<(Edition, String)>,
    optimal: bool,
}

impl<'a> Planner<'a> {
    /// Plans all that has not been released yet.
    pub fn new(model: &'a Model, state: &State, now: Time) -> Result<Planner<'a>, String> {
        let all = ordered_units(model)?;
        let outstanding = |edition: &Edition| !model.editions[edition].released;
        let units: Vec<Unit> = all.into_iter().filter(|unit| unit.iter().any(outstanding)).collect();
        let mut planner = Planner {
            model,
            now,
            units,
            jobs: Vec::new(),
            overall: BudgetUsage::default(),
            buildings: vec![BudgetUsage::default(); model.buildings.len()],
            placed: Vec::new(),
            unschedulable: Vec::new(),
            optimal: false,
        };
        planner.create_jobs(state);
        planner.placed = vec![None; planner.jobs.len()];
        planner.search();
        Ok(planner)
    }

    /// Creates the jobs of all units, in order of their dependencies.
    fn create_jobs(&mut self, state: &State) {
        let model = self.model;
        let horizon = (self.now, self.now + HORIZON);
        // Reverted editions are not scheduled, nor are those with a dependency that only reverted editions satisfy.
        let mut reverted: BTreeSet<Edition> = BTreeSet::new();
        let mut job_of: BTreeMap<(usize, BuildingId), usize> = BTreeMap::new();
        let unit_of: BTreeMap<Edition, usize> =
            self.units.iter().enumerate().flat_map(|(at, unit)| unit.iter().map(move |e| (*e, at))).collect();
        // Frozen intervals are computed once for each edition, building and tranche.
        let mut frozen_by_tranche: BTreeMap<(Edition, BuildingId, usize), Vec<FrozenInterval>> =
            BTreeMap::new();
        for (at, unit) in self.units.iter().enumerate() {
            let reverted_member = unit.iter().find(|edition| state.is_reverted(**edition));
            let unmet = unit.iter().find_map(|edition| {
                let dependencies = model.editions[edition].dependencies.iter();
                let is_reverted = |other: Edition| reverted.contains(&other);
                dependencies
                    .filter(|dependency| model.editions_satisfying(**dependency).all(is_reverted))
                    .map(|dependency| (*edition, *dependency))
                    .next()
            });
            let why = match (reverted_member, unmet) {
                (Some(edition), _) => Some(format!("{} was sent back", model.edition_name(*edition))),
                (_, Some((edition, dependency))) => Some(format!(
                    "{} needs {} {} to {}, and those were sent back",
                    model.edition_name(edition),
                    model.services[dependency.service],
                    dependency.min_build,
                    dependency.max_build
                )),
                _ => None,
            };
            if let Some(why) = why {
                reverted.extend(unit.iter().copied());
                self.unschedulable.extend(unit.iter().map(|edition| (*edition, why.clone())));
                continue;
            }
            for building in 0..model.buildings.len() {
                let mut predecessors = Vec::new();
                for edition in unit {
                    let mut add_predecessor = |other: Edition, scope: DependencyScope| {
                        let Some(other_unit) = unit_of.get(&other).filter(|unit| **unit != at) else {
                            return;
                        };
                        let places = if scope == DependencyScope::Everywhere {
                            0..model.buildings.len()
                        } else {
                            building..building + 1
                        };
                        predecessors
                            .extend(places.filter_map(|place| job_of.get(&(*other_unit, place)).copied()));
                    };
                    for dependency in &model.editions[edition].dependencies {
                        if model.editions_satisfying(*dependency).any(|other| model.editions[&other].released)
                        {
                            continue;
                        }
                        if let Some(other) =
                            model.editions_satisfying(*dependency).find(|other| !reverted.contains(other))
                        {
                            add_predecessor(other, dependency.scope);
                        }
                    }
                    let before = model.editions.range(..*edition).next_back().map(|(other, _)| *other);
                    if let Some(before) = before.filter(|other| other.service == edition.service) {
                        add_predecessor(before, DependencyScope::Building);
                    }
                }
                if model.one_by_one && building > 0 {
                    predecessors.extend(job_of.get(&(at, building - 1)).copied());
                }
                predecessors.sort_unstable();
                predecessors.dedup();
                let unit_progress: Vec<_> =
                    unit.iter().map(|edition| state.progress(*edition, building)).collect();
                let tranches = (0..model.tranches.len())
                    .map(|tranche| {
                        if unit_progress.iter().all(|progress| {
                            progress.phase == Phase::Released || progress.tranches_done > tranche
                        }) {
                            return None;
                        }
                        let elapsed_s = unit_progress
                            .iter()
                            .map(
                                |progress| {
                                    if progress.tranches_done == tranche {
                                        progress.elapsed_s
                                    } else {
                                        0
                                    }
                                },
                            )
                            .min()
                            .unwrap_or(0);
                        let mut intervals = Vec::new();
                        for edition in unit {
                            let key = (*edition, building, tranche);
                            let frozen = frozen_by_tranche.entry(key).or_insert_with(|| {
                                let customers = &model.tranches[tranche];
                                frozen_intervals(
                                    &model.freezes,
                                    &model.exemptions,
                                    (*edition, building, customers),
                                    horizon,
                                )
                            });
                            intervals.extend(frozen.iter().copied());
                        }
                        Some((merge_frozen(intervals), (model.min_tranche_s - elapsed_s).max(1)))
                    })
                    .collect();
                let in_rollout = unit_progress.iter().any(|progress| progress.phase == Phase::Moving);
                job_of.insert((at, building), self.jobs.len());
                self.jobs.push(Job {
                    unit: at,
                    building,
                    tranches,
                    predecessors,
                    size: unit.len(),
                    in_rollout,
                });
            }
        }
    }

    /// The earliest place for a job beside those already placed. `None` if there is none within the horizon.
    fn earliest(&self, job: usize) -> Option<Placed> {
        let Job { building, size, predecessors, .. } = &self.jobs[job];
        let mut from = self.now;
        for predecessor in predecessors {
            from = from.max(self.placed[*predecessor].as_ref()?.end);
        }
        let budgets = self.model.budgets;
        loop {
            let placed = self.jobs[job].place(from);
            if placed.start > self.now + HORIZON {
                return None;
            }
            if placed.start >= placed.end {
                return Some(placed); // all its tranches have been released
            }
            let blocked_until =
                [(&self.overall, budgets.overall), (&self.buildings[*building], budgets.building)]
                    .into_iter()
                    .filter_map(|(usage, limit)| {
                        usage.end_of_excess(placed.start, placed.end, limit.checked_sub(*size)?)
                    })
                    .max();
            match blocked_until {
                None => return Some(placed),
                Some(free) => from = free.max(from + 1),
            }
        }
    }

    /// Adds a job to the schedule.
    fn place(&mut self, job: usize, placed: Placed) {
        let Job { building, size, .. } = self.jobs[job];
        if placed.start < placed.end {
            self.overall.reserve(placed.start, placed.end, size);
            self.buildings[building].reserve(placed.start, placed.end, size);
        }
        self.placed[job] = Some(placed);
    }

    /// Removes a job from the schedule.
    fn unplace(&mut self, job: usize) {
        let Job { building, size, .. } = self.jobs[job];
        if let Some(placed) = self.placed[job].take().filter(|placed| placed.start < placed.end) {
            self.overall.release(placed.start, placed.end, size);
            self.buildings[building].release(placed.start, placed.end, size);
        }
    }

    /// Removes all jobs from the schedule.
    fn clear(&mut self) {
        self.overall = BudgetUsage::default();
        self.buildings.iter_mut().for_each(|usage| *usage = BudgetUsage::default());
        self.placed.iter_mut().for_each(|placed| *placed = None);
    }

    /// Places all jobs in order of their rank, each once its predecessors are placed. Returns the finish.
    fn place_by_rank(&mut self, rank: &[(bool, i64)]) -> Time {
        self.clear();
        let mut unplaced_predecessors: Vec<usize> =
            self.jobs.iter().map(|job| job.predecessors.len()).collect();
        let mut successors: Vec<Vec<usize>> = vec![Vec::new(); self.jobs.len()];
        for (at, job) in self.jobs.iter().enumerate() {
            job.predecessors.iter().for_each(|before| successors[*before].push(at));
        }
        let mut ready: BTreeSet<((bool, i64), usize)> = (0..self.jobs.len())
            .filter(|at| unplaced_predecessors[*at] == 0)
            .map(|at| (rank[at], at))
            .collect();
        let mut finish = self.now;
        while let Some((_, at)) = ready.pop_first() {
            if let Some(placed) = self.earliest(at) {
                finish = finish.max(placed.end);
                self.place(at, placed);
            }
            for next in &successors[at] {
                unplaced_predecessors[*next] -= 1;
                if unplaced_predecessors[*next] == 0 {
                    ready.insert((rank[*next], *next));
                }
            }
        }
        finish
    }

    /// The least time from the start of each job to the end of the schedule: its own length and that of the longest chain
    /// of its successors, regardless of budgets and freezes.
    fn tails(&self) -> Vec<i64> {
        let length = |job: &Job| job.tranches.iter().flatten().map(|(_, length)| *length).sum::<i64>();
        let mut tails: Vec<i64> = self.jobs.iter().map(length).collect();
        let own = tails.clone();
        for at in (0..self.jobs.len()).rev() {
            for before in &self.jobs[at].predecessors {
                tails[*before] = tails[*before].max(own[*before] + tails[at]);
            }
        }
        tails
    }

    /// Places all jobs by the best of a few priority rules and, where the plan is small, by branch and bound.
    fn search(&mut self) {
        let tails = self.tails();
        let not_started: Vec<bool> = self.jobs.iter().map(|job| !job.in_rollout).collect();
        let sizes: Vec<i64> = self.jobs.iter().map(|job| job.size as i64).collect();
        // Jobs that are in rollout come first. The rules then prefer the longest tail, weight it by the size of the unit, or
        // vary it, so that similar jobs are tried in another order.
        let rules: [Box<dyn Fn(usize) -> i64>; 3] = [
            Box::new(|at| -tails[at]),
            Box::new(|at| -tails[at] * sizes[at]),
            Box::new(|at| -(tails[at] / 2) - at as i64 % 7 * tails[at] / 50),
        ];
        let mut best: Option<(Time, Vec<(bool, i64)>)> = None;
        let large = self.jobs.len() > 2000;
        for rule in rules.iter().take(if large { 1 } else { 3 }) {
            let rank: Vec<(bool, i64)> = (0..self.jobs.len()).map(|at| (not_started[at], rule(at))).collect();
            let finish = self.place_by_rank(&rank);
            if best.as_ref().is_none_or(|(least, _)| finish < *least) {
                best = Some((finish, rank));
            }
        }
        let Some((finish, rank)) = best else { return };
        self.place_by_rank(&rank);
        if finish <= self.lower_bound() {
            self.optimal = true;
        } else if self.jobs.len() <= MAX_EXHAUSTIVE_JOBS {
            let mut search = Search {
                best_finish: finish,
                best_placed: self.placed.clone(),
                nodes: 0,
                tails: tails.clone(),
            };
            self.clear();
            search.branch(self, self.now);
            self.optimal = search.nodes < MAX_SEARCH_NODES;
            self.placed = search.best_placed;
        }
    }

    /// Lower bound on the finish of any schedule: the longest chain of jobs with its freezes, and the work of each building
    /// and of all buildings divided by their budgets.
    pub fn lower_bound(&self) -> Time {
        let mut ends: Vec<Time> = Vec::with_capacity(self.jobs.len());
        for job in &self.jobs {
            let from = job.predecessors.iter().map(|before| ends[*before]).fold(self.now, Time::max);
            ends.push(job.place(from).end);
        }
        let chain = ends.iter().copied().fold(self.now, Time::max);
        let all: Vec<&Job> = self.jobs.iter().collect();
        let mut lower_bound = chain.max(self.work_bound(&all, self.model.budgets.overall));
        for building in 0..self.model.buildings.len() {
            let here: Vec<&Job> = self.jobs.iter().filter(|job| job.building == building).collect();
            lower_bound = lower_bound.max(self.work_bound(&here, self.model.budgets.building));
        }
        lower_bound
    }

    /// Lower bound on the end of jobs of which `limit` can run concurrently: their work divided by the limit, counting only
    /// time in which not all of them are frozen.
    fn work_bound(&self, jobs: &[&Job], limit: usize) -> Time {
        let mut work = 0;
        let mut parts = 0;
        let mut edges: BTreeMap<Time, i64> = BTreeMap::new();
        for job in jobs {
            for (frozen, length) in job.tranches.iter().flatten() {
                work += length * job.size as i64;
                parts += 1;
                for interval in frozen.iter().filter(|interval| interval.mode != FreezeMode::Finish) {
                    *edges.entry(interval.from.max(self.now)).or_default() += 1;
                    *edges.entry(interval.to.max(self.now)).or_default() -= 1;
                }
            }
        }
        let mut remaining_s = (work + limit as i64 - 1) / limit.max(1) as i64;
        let (mut at, mut frozen_parts) = (self.now, 0);
        for (edge, step) in edges {
            let available_s = if frozen_parts == parts { 0 } else { edge - at };
            if available_s >= remaining_s {
                break;
            }
            (remaining_s, at, frozen_parts) = (remaining_s - available_s, edge, frozen_parts + step);
        }
        at + remaining_s
    }

    /// The current schedule.
    pub fn schedule(&self) -> Schedule {
        let mut steps = Vec::new();
        let mut unschedulable = self.unschedulable.clone();
        let mut finish = self.now;
        for (job, placed) in self.jobs.iter().zip(&self.placed) {
            let Some(placed) = placed else {
                let why = "what it waits for does not end within two years".to_string();
                unschedulable.extend(self.units[job.unit].iter().map(|edition| (*edition, why.clone())));
                continue;
            };
            finish = finish.max(placed.end);
            for edition in &self.units[job.unit] {
                let (edition, building) = (*edition, job.building);
                let step = |(tranche, start, end): &(usize, Time, Time)| {
                    let (tranche, start, end) = (*tranche, *start, *end);
                    Step { edition, building, tranche, start, end }
                };
                steps.extend(placed.steps.iter().map(step));
            }
        }
        unschedulable.sort();
        unschedulable.dedup();
        steps.sort_by_key(|step| (step.start, step.edition, step.building, step.tranche));
        Schedule { steps, finish, lower_bound: self.lower_bound(), optimal: self.optimal, unschedulable }
    }

    /// Replans only the jobs that a change of an edition affects: its own and, transitively, their successors. All others
    /// stay in place.
    pub fn replan(&mut self, edition: Edition, state: &State, now: Time) {
        let Some(unit) = self.units.iter().position(|unit| unit.contains(&edition)) else { return };
        let mut affected: BTreeSet<usize> = BTreeSet::new();
        for (at, job) in self.jobs.iter().enumerate() {
            if job.unit == unit || job.predecessors.iter().any(|before| affected.contains(before)) {
                affected.insert(at);
            }
        }
        self.now = now;
        self.optimal = false;
        affected.iter().for_each(|at| self.unplace(*at));
        let reverted = self.units[unit].iter().any(|edition| state.is_reverted(*edition));
        for at in affected {
            let job = &mut self.jobs[at];
            let editions = &self.units[job.unit];
            for (tranche, part) in job.tranches.iter_mut().enumerate() {
                let released =
                    |edition: &Edition| state.progress(*edition, job.building).tranches_done > tranche;
                if editions.iter().all(released) {
                    *part = None;
                }
            }
            // A reverted unit is not scheduled, nor are its successors.
            let schedulable = !(reverted && job.unit == unit);
            if let Some(placed) = if schedulable { self.earliest(at) } else { None } {
                self.place(at, placed);
            }
        }
    }
}

/// Merges frozen intervals of several editions into disjoint ones; where they overlap, the strictest mode counts.
fn merge_frozen(mut intervals: Vec<FrozenInterval>) -> Vec<FrozenInterval> {
    intervals.sort_by_key(|interval| interval.from);
    if intervals.windows(2).all(|pair| pair[0].to <= pair[1].from) {
        return intervals;
    }
    let mut edges: Vec<Time> = intervals.iter().flat_map(|interval| [interval.from, interval.to]).collect();
    edges.sort_unstable();
    edges.dedup();
    let strictest_mode = |a: Time, b: Time| {
        intervals
            .iter()
            .filter(move |interval| interval.from <= a && b <= interval.to)
            .map(|interval| interval.mode)
            .max()
    };
    edges
        .windows(2)
        .filter_map(|pair| {
            Some(FrozenInterval { from: pair[0], to: pair[1], mode: strictest_mode(pair[0], pair[1])? })
        })
        .collect()
}

/// Branch and bound over the orders in which jobs are placed.
struct Search {
    /// Finish of the best schedule found.
    best_finish: Time,
    /// The best schedule found.
    best_placed: Vec<Option<Placed>>,
    /// Number of nodes visited.
    nodes: usize,
    /// See `Planner::tails`.
    tails: Vec<i64>,
}

impl Search {
    /// Visits all orders that extend the planner's current schedule, except those that can't finish before the best one
    /// found. `finish` is the finish of the current schedule.
    fn branch(&mut self, planner: &mut Planner<'_>, finish: Time) {
        self.nodes += 1;
        if self.nodes >= MAX_SEARCH_NODES {
            return;
        }
        let unplaced: Vec<usize> =
            (0..planner.jobs.len()).filter(|at| planner.placed[*at].is_none()).collect();
        if unplaced.is_empty() {
            if finish < self.best_finish {
                (self.best_finish, self.best_placed) = (finish, planner.placed.clone());
            }
            return;
        }
        let mut candidates: Vec<(i64, usize, Placed)> = Vec::new();
        for at in unplaced {
            let Some(placed) = planner.earliest(at) else { continue };
            // The tail of an unplaced job bounds the finish from below, whatever the order.
            if placed.start + self.tails[at] >= self.best_finish {
                return;
            }
            candidates.push((-self.tails[at], at, placed));
        }
        candidates.sort_by_key(|(rank, at, _)| (*rank, *at));
        for (_, at, placed) in candidates {
            let finish = finish.max(placed.end);
            if finish < self.best_finish {
                planner.place(at, placed);
                self.branch(planner, finish);
                planner.unplace(at);
            }
        }
    }
}
