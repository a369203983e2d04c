//! An order of steps with earliest times, and why each edition waits. What needs one another moves as one unit. A job is
//! a unit in a building, from its first tranche to its last; it takes a part of the budgets all that time.
//!
//! Jobs are placed one after another, each as early as it fits behind those placed before it. Starting a job earlier
//! never ends it later, so some order gives the best finish: small plans search all orders by branch and bound, large
//! ones try a few by priority.

use crate::calendar::{earliest_slot, frozen_intervals, FreezeMode, FrozenInterval};
use crate::engine::{Phase, State};
use crate::model::{BuildingId, DependencyScope, Edition, Model};
use crate::units::{ordered_units, Unit};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A step: a tranche of an edition in a building.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Step {
    /// The edition.
    pub edition: Edition,
    /// The building.
    pub building: BuildingId,
    /// The tranche, from 0.
    pub tranche: usize,
    /// When it may start at the earliest.
    pub start: Time,
    /// When it is out.
    pub end: Time,
}

/// A schedule.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// The steps, by start.
    pub steps: Vec<Step>,
    /// When all is out.
    pub finish: Time,
    /// No plan finishes before.
    pub lower_bound: Time,
    /// Whether no plan finishes sooner, for certain.
    pub optimal: bool,
    /// Editions that this plan can't finish, and why.
    pub unschedulable: Vec<(Edition, String)>,
}

/// How far ahead freezes are looked at, in seconds: two years. What has not gone out by then is stuck.
const HORIZON: i64 = 2 * 366 * 86_400;
/// Jobs up to which all orders are searched, and the nodes that this may take.
const SMALL: usize = 9;
const NODES: usize = 400_000;

/// A unit in a building.
#[derive(Clone, Debug)]
struct Job {
    unit: usize,
    building: BuildingId,
    /// Its closed times and length by tranche; none where the tranche is out already.
    tranches: Vec<Option<(Vec<FrozenInterval>, i64)>>,
    /// Jobs that must be done before.
    after: Vec<usize>,
    size: usize,
    /// It is in motion already.
    begun: bool,
}

#[derive(Clone, Debug)]
struct Placed {
    start: Time,
    end: Time,
    steps: Vec<(usize, Time, Time)>,
}

impl Job {
    /// As early as its freezes allow.
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

/// What is taken of a budget, by the times at which that changes.
#[derive(Clone, Debug, Default)]
struct Taken(BTreeMap<Time, usize>);

impl Taken {
    fn at(&self, time: Time) -> usize {
        self.0.range(..=time).next_back().map_or(0, |(_, taken)| *taken)
    }
    /// The first time at which more than `most` is taken within a span, and when that ends.
    fn above(&self, from: Time, to: Time, most: usize) -> Option<Time> {
        let over = |taken: usize| taken > most;
        let first = if over(self.at(from)) { Some(from) } else { None };
        let first =
            first.or_else(|| self.0.range(from..to).find(|(_, taken)| over(**taken)).map(|(at, _)| *at))?;
        self.0.range(first..).find(|(_, taken)| !over(**taken)).map(|(at, _)| *at)
    }
    fn take(&mut self, from: Time, to: Time, size: usize) {
        for edge in [from, to] {
            let here = self.at(edge);
            self.0.entry(edge).or_insert(here);
        }
        self.0.range_mut(from..to).for_each(|(_, taken)| *taken += size);
    }
    fn give(&mut self, from: Time, to: Time, size: usize) {
        self.0.range_mut(from..to).for_each(|(_, taken)| *taken -= size);
    }
}

/// A planner of one model, from one moment and state; it can be told of changes.
#[derive(Clone, Debug)]
pub struct Planner<'a> {
    model: &'a Model,
    now: Time,
    units: Vec<Unit>,
    jobs: Vec<Job>,
    overall: Taken,
    buildings: Vec<Taken>,
    placed: Vec<Option<Placed>>,
    unschedulable: Vec<(Edition, String)>,
    optimal: bool,
}

impl<'a> Planner<'a> {
    /// Plans all that is not out yet. An error where needs can't be put in an order.
    pub fn new(model: &'a Model, state: &State, now: Time) -> Result<Planner<'a>, String> {
        let all = ordered_units(model)?;
        let open = |edition: &Edition| !model.editions[edition].released;
        let units: Vec<Unit> = all.into_iter().filter(|unit| unit.iter().any(open)).collect();
        let mut planner = Planner {
            model,
            now,
            units,
            jobs: Vec::new(),
            overall: Taken::default(),
            buildings: vec![Taken::default(); model.buildings.len()],
            placed: Vec::new(),
            unschedulable: Vec::new(),
            optimal: false,
        };
        planner.jobs(state);
        planner.placed = vec![None; planner.jobs.len()];
        planner.search();
        Ok(planner)
    }

    fn jobs(&mut self, state: &State) {
        let model = self.model;
        let span = (self.now, self.now + HORIZON);
        // Those that were sent back go nowhere, nor does what can only be met by them.
        let mut dead: BTreeSet<Edition> = BTreeSet::new();
        let mut last: BTreeMap<(usize, BuildingId), usize> = BTreeMap::new();
        let unit_of: BTreeMap<Edition, usize> =
            self.units.iter().enumerate().flat_map(|(at, unit)| unit.iter().map(move |e| (*e, at))).collect();
        // Freezes of one scope are worked out once: most tranches share them.
        let mut known: BTreeMap<(Edition, BuildingId, usize), Vec<FrozenInterval>> = BTreeMap::new();
        for (at, unit) in self.units.iter().enumerate() {
            let back = unit.iter().find(|edition| state.is_reverted(**edition));
            let unmet = unit.iter().find_map(|edition| {
                let needs = model.editions[edition].dependencies.iter();
                let gone = |other: Edition| dead.contains(&other);
                needs
                    .filter(|need| model.editions_satisfying(**need).all(gone))
                    .map(|need| (*edition, *need))
                    .next()
            });
            let why = match (back, unmet) {
                (Some(edition), _) => Some(format!("{} was sent back", model.edition_name(*edition))),
                (_, Some((edition, need))) => Some(format!(
                    "{} needs {} {} to {}, and those were sent back",
                    model.edition_name(edition),
                    model.services[need.service],
                    need.min_build,
                    need.max_build
                )),
                _ => None,
            };
            if let Some(why) = why {
                dead.extend(unit.iter().copied());
                self.unschedulable.extend(unit.iter().map(|edition| (*edition, why.clone())));
                continue;
            }
            for building in 0..model.buildings.len() {
                let mut after = Vec::new();
                for edition in unit {
                    let mut wait = |other: Edition, scope: DependencyScope| {
                        let Some(of) = unit_of.get(&other).filter(|of| **of != at) else { return };
                        let places = if scope == DependencyScope::Everywhere {
                            0..model.buildings.len()
                        } else {
                            building..building + 1
                        };
                        after.extend(places.filter_map(|place| last.get(&(*of, place)).copied()));
                    };
                    for need in &model.editions[edition].dependencies {
                        if model.editions_satisfying(*need).any(|other| model.editions[&other].released) {
                            continue;
                        }
                        if let Some(other) =
                            model.editions_satisfying(*need).find(|other| !dead.contains(other))
                        {
                            wait(other, need.scope);
                        }
                    }
                    let before = model.editions.range(..*edition).next_back().map(|(other, _)| *other);
                    if let Some(before) = before.filter(|other| other.service == edition.service) {
                        wait(before, DependencyScope::Building);
                    }
                }
                if model.one_by_one && building > 0 {
                    after.extend(last.get(&(at, building - 1)).copied());
                }
                after.sort_unstable();
                after.dedup();
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
                            .map(|t| if t.tranches_done == tranche { t.elapsed_s } else { 0 })
                            .min()
                            .unwrap_or(0);
                        let mut spans = Vec::new();
                        for edition in unit {
                            let of = (*edition, building, tranche);
                            let frozen = known.entry(of).or_insert_with(|| {
                                let customers = &model.tranches[tranche];
                                frozen_intervals(
                                    &model.freezes,
                                    &model.exemptions,
                                    (*edition, building, customers),
                                    span,
                                )
                            });
                            spans.extend(frozen.iter().copied());
                        }
                        Some((join(spans), (model.min_tranche_s - elapsed_s).max(1)))
                    })
                    .collect();
                let begun = unit_progress.iter().any(|progress| progress.phase == Phase::Moving);
                last.insert((at, building), self.jobs.len());
                self.jobs.push(Job { unit: at, building, tranches, after, size: unit.len(), begun });
            }
        }
    }

    /// Places a job behind those that stand. `None` where it can't be within the horizon.
    fn earliest(&self, job: usize) -> Option<Placed> {
        let Job { building, size, after, .. } = &self.jobs[job];
        let mut from = self.now;
        for before in after {
            from = from.max(self.placed[*before].as_ref()?.end);
        }
        let budgets = self.model.budgets;
        loop {
            let placed = self.jobs[job].place(from);
            if placed.start > self.now + HORIZON {
                return None;
            }
            if placed.start >= placed.end {
                return Some(placed); // nothing is left to do
            }
            let full = [(&self.overall, budgets.overall), (&self.buildings[*building], budgets.building)]
                .into_iter()
                .filter_map(|(taken, most)| taken.above(placed.start, placed.end, most.checked_sub(*size)?))
                .max();
            match full {
                None => return Some(placed),
                Some(free) => from = free.max(from + 1),
            }
        }
    }

    fn put(&mut self, job: usize, placed: Placed) {
        let Job { building, size, .. } = self.jobs[job];
        if placed.start < placed.end {
            self.overall.take(placed.start, placed.end, size);
            self.buildings[building].take(placed.start, placed.end, size);
        }
        self.placed[job] = Some(placed);
    }

    fn lift(&mut self, job: usize) {
        let Job { building, size, .. } = self.jobs[job];
        if let Some(placed) = self.placed[job].take().filter(|placed| placed.start < placed.end) {
            self.overall.give(placed.start, placed.end, size);
            self.buildings[building].give(placed.start, placed.end, size);
        }
    }

    fn clear(&mut self) {
        self.overall = Taken::default();
        self.buildings.iter_mut().for_each(|taken| *taken = Taken::default());
        self.placed.iter_mut().for_each(|placed| *placed = None);
    }

    /// Places all jobs in an order of priority, each once those before it stand.
    fn by_priority(&mut self, rank: &[(bool, i64)]) -> Time {
        self.clear();
        let mut missing: Vec<usize> = self.jobs.iter().map(|job| job.after.len()).collect();
        let mut then: Vec<Vec<usize>> = vec![Vec::new(); self.jobs.len()];
        for (at, job) in self.jobs.iter().enumerate() {
            job.after.iter().for_each(|before| then[*before].push(at));
        }
        let mut ready: BTreeSet<((bool, i64), usize)> =
            (0..self.jobs.len()).filter(|at| missing[*at] == 0).map(|at| (rank[at], at)).collect();
        let mut finish = self.now;
        while let Some((_, at)) = ready.pop_first() {
            if let Some(placed) = self.earliest(at) {
                finish = finish.max(placed.end);
                self.put(at, placed);
            }
            for next in &then[at] {
                missing[*next] -= 1;
                if missing[*next] == 0 {
                    ready.insert((rank[*next], *next));
                }
            }
        }
        finish
    }

    /// By how much each job must come before the end of all: its own time and the longest of what waits for it, without
    /// budgets and freezes.
    fn tails(&self) -> Vec<i64> {
        let length = |job: &Job| job.tranches.iter().flatten().map(|(_, length)| *length).sum::<i64>();
        let mut tails: Vec<i64> = self.jobs.iter().map(length).collect();
        let own = tails.clone();
        for at in (0..self.jobs.len()).rev() {
            for before in &self.jobs[at].after {
                tails[*before] = tails[*before].max(own[*before] + tails[at]);
            }
        }
        tails
    }

    fn search(&mut self) {
        let tails = self.tails();
        let begun: Vec<bool> = self.jobs.iter().map(|job| !job.begun).collect();
        let sizes: Vec<i64> = self.jobs.iter().map(|job| job.size as i64).collect();
        // What is in motion goes first; then the longest tail; then the most that moves together.
        let rules: [Box<dyn Fn(usize) -> i64>; 3] = [
            Box::new(|at| -tails[at]),
            Box::new(|at| -tails[at] * sizes[at]),
            Box::new(|at| -(tails[at] / 2) - at as i64 % 7 * tails[at] / 50),
        ];
        let mut best: Option<(Time, Vec<(bool, i64)>)> = None;
        let large = self.jobs.len() > 2000;
        for rule in rules.iter().take(if large { 1 } else { 3 }) {
            let rank: Vec<(bool, i64)> = (0..self.jobs.len()).map(|at| (begun[at], rule(at))).collect();
            let finish = self.by_priority(&rank);
            if best.as_ref().is_none_or(|(least, _)| finish < *least) {
                best = Some((finish, rank));
            }
        }
        let Some((finish, rank)) = best else { return };
        self.by_priority(&rank);
        if finish <= self.lower_bound() {
            self.optimal = true;
        } else if self.jobs.len() <= SMALL {
            let mut search =
                Search { least: finish, placed: self.placed.clone(), nodes: 0, tails: tails.clone() };
            self.clear();
            search.branch(self, self.now);
            self.optimal = search.nodes < NODES;
            self.placed = search.placed;
        }
    }

    /// No plan finishes before: the longest chain with its freezes, and the work of each building and of all over what
    /// their budgets take at a time.
    pub fn lower_bound(&self) -> Time {
        let mut ends: Vec<Time> = Vec::with_capacity(self.jobs.len());
        for job in &self.jobs {
            let from = job.after.iter().map(|before| ends[*before]).fold(self.now, Time::max);
            ends.push(job.place(from).end);
        }
        let chain = ends.iter().copied().fold(self.now, Time::max);
        let all: Vec<&Job> = self.jobs.iter().collect();
        let mut lower_bound = chain.max(self.over(&all, self.model.budgets.overall));
        for building in 0..self.model.buildings.len() {
            let here: Vec<&Job> = self.jobs.iter().filter(|job| job.building == building).collect();
            lower_bound = lower_bound.max(self.over(&here, self.model.budgets.building));
        }
        lower_bound
    }

    /// No sooner are jobs done of which `most` fit beside one another: their work over that, in the time in which not
    /// all of them stand still.
    fn over(&self, jobs: &[&Job], most: usize) -> Time {
        let mut work = 0;
        let mut parts = 0;
        let mut edges: BTreeMap<Time, i64> = BTreeMap::new();
        for job in jobs {
            for (frozen, length) in job.tranches.iter().flatten() {
                work += length * job.size as i64;
                parts += 1;
                for span in frozen.iter().filter(|span| span.mode != FreezeMode::Finish) {
                    *edges.entry(span.from.max(self.now)).or_default() += 1;
                    *edges.entry(span.to.max(self.now)).or_default() -= 1;
                }
            }
        }
        let mut left = (work + most as i64 - 1) / most.max(1) as i64;
        let (mut at, mut shut) = (self.now, 0);
        for (edge, step) in edges {
            let open = if shut == parts { 0 } else { edge - at };
            if open >= left {
                break;
            }
            (left, at, shut) = (left - open, edge, shut + step);
        }
        at + left
    }

    /// The schedule as it stands.
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

    /// Plans anew only what an edition's change touches: itself and whatever waits for it. The rest stays where it is.
    pub fn replan(&mut self, edition: Edition, state: &State, now: Time) {
        let Some(unit) = self.units.iter().position(|unit| unit.contains(&edition)) else { return };
        let mut touched: BTreeSet<usize> = BTreeSet::new();
        for (at, job) in self.jobs.iter().enumerate() {
            if job.unit == unit || job.after.iter().any(|before| touched.contains(before)) {
                touched.insert(at);
            }
        }
        self.now = now;
        self.optimal = false;
        touched.iter().for_each(|at| self.lift(*at));
        let back = self.units[unit].iter().any(|edition| state.is_reverted(*edition));
        for at in touched {
            let job = &mut self.jobs[at];
            let editions = &self.units[job.unit];
            for (tranche, part) in job.tranches.iter_mut().enumerate() {
                let out = |edition: &Edition| state.progress(*edition, job.building).tranches_done > tranche;
                if editions.iter().all(out) {
                    *part = None;
                }
            }
            // A sent-back unit, and what waits for it, is placed nowhere.
            let stays = !(back && job.unit == unit);
            if let Some(placed) = if stays { self.earliest(at) } else { None } {
                self.put(at, placed);
            }
        }
    }
}

/// Disjoint closed times of several, the strictest first.
fn join(mut spans: Vec<FrozenInterval>) -> Vec<FrozenInterval> {
    spans.sort_by_key(|span| span.from);
    if spans.windows(2).all(|pair| pair[0].to <= pair[1].from) {
        return spans;
    }
    let mut edges: Vec<Time> = spans.iter().flat_map(|span| [span.from, span.to]).collect();
    edges.sort_unstable();
    edges.dedup();
    let within =
        |a: Time, b: Time| spans.iter().filter(move |s| s.from <= a && b <= s.to).map(|s| s.mode).max();
    edges
        .windows(2)
        .filter_map(|pair| {
            Some(FrozenInterval { from: pair[0], to: pair[1], mode: within(pair[0], pair[1])? })
        })
        .collect()
}

/// Branch and bound over the orders in which jobs are placed.
struct Search {
    least: Time,
    placed: Vec<Option<Placed>>,
    nodes: usize,
    tails: Vec<i64>,
}

impl Search {
    fn branch(&mut self, planner: &mut Planner<'_>, finish: Time) {
        self.nodes += 1;
        if self.nodes >= NODES {
            return;
        }
        let open: Vec<usize> = (0..planner.jobs.len()).filter(|at| planner.placed[*at].is_none()).collect();
        if open.is_empty() {
            if finish < self.least {
                (self.least, self.placed) = (finish, planner.placed.clone());
            }
            return;
        }
        let mut next: Vec<(i64, usize, Placed)> = Vec::new();
        for at in open {
            let Some(placed) = planner.earliest(at) else { continue };
            // What waits for it takes its time, whatever the order.
            if placed.start + self.tails[at] >= self.least {
                return;
            }
            next.push((-self.tails[at], at, placed));
        }
        next.sort_by_key(|(rank, at, _)| (*rank, *at));
        for (_, at, placed) in next {
            let finish = finish.max(placed.end);
            if finish < self.least {
                planner.put(at, placed);
                self.branch(planner, finish);
                planner.lift(at);
            }
        }
    }
}
