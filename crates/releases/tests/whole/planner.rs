use crate::common::*;
use milletwing_releases::calendar::{earliest_slot, frozen_intervals, FreezeMode};
use milletwing_releases::engine::{Change, Phase, Progress, State, Verdict};
use milletwing_releases::model::{Budgets, DependencyScope, Edition, EditionSpec, Model};
use milletwing_releases::planner::{Planner, Schedule, Step};
use milletwing_releases::units::ordered_units;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Instant;

fn plan(model: &Model) -> Schedule {
    Planner::new(model, &State::default(), 0).unwrap().schedule()
}

/// Checks a schedule against the rules of the model, independently of the planner.
fn check_schedule(model: &Model, schedule: &Schedule) {
    let mut spans: BTreeMap<(Edition, usize), (i64, i64)> = BTreeMap::new();
    let mut previous: BTreeMap<(Edition, usize), &Step> = BTreeMap::new();
    for step in &schedule.steps {
        let key = (step.edition, step.building);
        if let Some(before) = previous.insert(key, step) {
            assert!(before.tranche + 1 == step.tranche && before.end <= step.start, "{before:?} {step:?}");
        }
        let span = spans.entry(key).or_insert((step.start, step.end));
        span.1 = span.1.max(step.end);
        let customers = &model.tranches[step.tranche];
        let tranche_key = (step.edition, step.building, customers.as_slice());
        for span in frozen_intervals(&model.freezes, &model.exemptions, tranche_key, (0, 1 << 30)) {
            let starts_frozen = span.from <= step.start && step.start < span.to;
            let rolled_back =
                span.mode == FreezeMode::Rollback && step.start < span.to && span.from < step.end;
            assert!(!starts_frozen && !rolled_back, "{step:?} in {span:?}");
        }
    }
    for ((edition, building), (start, _)) in &spans {
        for dependency in &model.editions[edition].dependencies {
            if model.editions_satisfying(*dependency).any(|other| model.editions[&other].released) {
                continue;
            }
            let places = if dependency.scope == DependencyScope::Everywhere {
                0..model.buildings.len()
            } else {
                *building..building + 1
            };
            for place in places {
                let met = model
                    .editions_satisfying(*dependency)
                    .filter_map(|other| Some((other, spans.get(&(other, place))?)));
                let with = |other: Edition| {
                    ordered_units(model).unwrap().iter().any(|u| u.contains(edition) && u.contains(&other))
                };
                let mut met = met.map(|(other, (_, end))| *end <= *start || with(other));
                assert!(met.any(|met| met), "{edition:?} at {building} needs {dependency:?}");
            }
        }
    }
    let mut edges: Vec<i64> = spans.values().flat_map(|(start, end)| [*start, *end]).collect();
    edges.sort_unstable();
    for at in edges {
        let jobs_at = |building: Option<usize>| {
            let in_building = spans.iter().filter(|((_, b), _)| building.is_none_or(|only| only == *b));
            in_building.filter(|(_, (start, end))| *start <= at && at < *end).count()
        };
        assert!(jobs_at(None) <= model.budgets.overall);
        (0..model.buildings.len())
            .for_each(|b| assert!(jobs_at(Some(b)) <= model.budgets.building, "at {at} in {b}"));
    }
}

/// The earliest finish over all orders in which jobs may be placed, each as early as possible. Does not use the planner.
fn earliest_finish(model: &Model) -> i64 {
    let unit_list = ordered_units(model).unwrap();
    let unit_list: Vec<_> = unit_list
        .into_iter()
        .filter(|unit| unit.iter().any(|edition| !model.editions[edition].released))
        .collect();
    let jobs: Vec<(usize, usize)> =
        (0..unit_list.len()).flat_map(|u| (0..model.buildings.len()).map(move |b| (u, b))).collect();
    fn place(model: &Model, unit: &[Edition], building: usize, from: i64) -> (i64, i64) {
        let (mut at, mut first) = (from, None);
        for customers in &model.tranches {
            // The freezes of these tests apply to all editions, so any edition of the unit has the same ones.
            let spans = frozen_intervals(
                &model.freezes,
                &model.exemptions,
                (unit[0], building, customers),
                (0, 1 << 30),
            );
            let (start, end) = earliest_slot(&spans, at, model.min_tranche_s);
            first.get_or_insert(start);
            at = end;
        }
        (first.unwrap(), at)
    }
    fn search(
        model: &Model,
        unit_list: &[Vec<Edition>],
        jobs: &[(usize, usize)],
        placed: &mut BTreeMap<(usize, usize), (i64, i64)>,
    ) -> i64 {
        if placed.len() == jobs.len() {
            return placed.values().map(|(_, end)| *end).max().unwrap_or(0);
        }
        let mut least = i64::MAX;
        for job in jobs {
            if placed.contains_key(job) {
                continue;
            }
            let mut from = 0;
            let mut ready = true;
            for edition in &unit_list[job.0] {
                let mut predecessors: Vec<(Edition, DependencyScope)> = model.editions[edition]
                    .dependencies
                    .iter()
                    .filter(|dependency| {
                        !model.editions_satisfying(**dependency).any(|other| model.editions[&other].released)
                    })
                    .map(|dependency| {
                        (model.editions_satisfying(*dependency).next().unwrap(), dependency.scope)
                    })
                    .collect();
                predecessors.extend(
                    model
                        .editions
                        .range(..*edition)
                        .next_back()
                        .filter(|(o, p)| o.service == edition.service && !p.released)
                        .map(|(o, _)| (*o, DependencyScope::Building)),
                );
                for (other, scope) in predecessors {
                    let unit = unit_list.iter().position(|unit| unit.contains(&other)).unwrap();
                    if unit == job.0 {
                        continue;
                    }
                    let places = if scope == DependencyScope::Everywhere {
                        0..model.buildings.len()
                    } else {
                        job.1..job.1 + 1
                    };
                    for place in places {
                        match placed.get(&(unit, place)) {
                            Some((_, end)) => from = from.max(*end),
                            None => ready = false,
                        }
                    }
                }
            }
            if !ready {
                continue;
            }
            let size = unit_list[job.0].len();
            let (start, end) = loop {
                let (start, end) = place(model, &unit_list[job.0], job.1, from);
                let used = |at: i64, only: Option<usize>| -> usize {
                    let open = placed
                        .iter()
                        .filter(|((_, b), (s, e))| only.is_none_or(|o| o == *b) && *s <= at && at < *e);
                    open.map(|((u, _), _)| unit_list[*u].len()).sum()
                };
                let full = |at: i64| {
                    used(at, None) + size > model.budgets.overall
                        || used(at, Some(job.1)) + size > model.budgets.building
                };
                let mut edges: Vec<i64> =
                    placed.values().map(|(s, _)| *s).filter(|s| start < *s && *s < end).collect();
                edges.push(start);
                match edges.into_iter().any(full) {
                    false => break (start, end),
                    true => {
                        from = placed
                            .values()
                            .map(|(_, e)| *e)
                            .filter(|e| *e > from.max(0))
                            .min()
                            .unwrap()
                            .max(from + 1)
                    }
                }
            };
            placed.insert(*job, (start, end));
            least = least.min(search(model, unit_list, jobs, placed));
            placed.remove(job);
        }
        least
    }
    search(model, &unit_list, &jobs, &mut BTreeMap::new())
}

fn random_model(seed: u64) -> Model {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (services, buildings) = [(2, 2), (3, 2), (4, 1), (5, 1), (2, 3), (3, 1)][rng.random_range(0..6)];
    let mut m = model(services, buildings);
    m.budgets = Budgets { overall: rng.random_range(2..5), building: rng.random_range(2..4) };
    for service in 1..services {
        if rng.random_bool(0.5) {
            let scope =
                if rng.random_bool(0.3) { DependencyScope::Everywhere } else { DependencyScope::Building };
            let depends_on = rng.random_range(0..service);
            add_dependency(&mut m, edition(service, 2), dependency(depends_on, 2, 3, scope));
        }
    }
    if rng.random_bool(0.3) && services > 2 {
        // Two mutually dependent editions.
        let (a, b) = (edition(0, 2), edition(1, 2));
        for (who, other) in [(a, b), (b, a)] {
            m.editions
                .get_mut(&who)
                .unwrap()
                .dependencies
                .retain(|dependency| dependency.service != other.service);
            add_dependency(&mut m, who, dependency(other.service, 2, 2, DependencyScope::Building));
        }
    }
    for at in 0..rng.random_range(0..3) {
        let from = rng.random_range(0..4000);
        let mode = [FreezeMode::Finish, FreezeMode::Hold, FreezeMode::Rollback][rng.random_range(0..3)];
        m.freezes.push(freeze(&format!("f{at}"), from, from + rng.random_range(100..2500), mode));
    }
    m
}

#[test]
fn small_plans_finish_as_soon_as_exhaustive_search_finds() {
    let mut searched = 0;
    for seed in 0..1000 {
        let m = random_model(seed);
        assert_eq!(m.validate(), Ok(()), "seed {seed}");
        let schedule = plan(&m);
        check_schedule(&m, &schedule);
        assert!(schedule.unschedulable.is_empty());
        let least = earliest_finish(&m);
        assert_eq!(schedule.finish, least, "seed {seed}");
        assert!(schedule.lower_bound <= least, "seed {seed}");
        searched += usize::from(schedule.lower_bound < least);
    }
    assert!(searched > 50, "only {searched} needed a search");
}

fn large(services: usize, buildings: usize) -> Model {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut m = model(services, buildings);
    m.customers = (0..50).map(|at| format!("c{at}")).collect();
    m.tranches = (0..4).map(|t| (0..50).filter(|c| c % 4 == t).collect()).collect();
    m.customer_buildings = vec![Vec::new(); 50];
    m.budgets = Budgets { overall: buildings * 6, building: 8 };
    for service in 1..services {
        for _ in 0..rng.random_range(0..3) {
            let depends_on = rng.random_range(service.saturating_sub(20)..service);
            add_dependency(
                &mut m,
                edition(service, 2),
                dependency(depends_on, 2, 2, DependencyScope::Building),
            );
        }
    }
    m.freezes = (0..10)
        .map(|day| freeze(&format!("f{day}"), 20_000 + day * 86_400, 40_000 + day * 86_400, FreezeMode::Hold))
        .collect();
    m
}

/// Asserts nothing on run time, which a trial measures; the finish must be within a tenth of the lower bound.
#[test]
fn a_large_plan_is_valid_and_near_its_lower_bound_and_replanning_is_local() {
    let m = large(60, 10);
    let started = Instant::now();
    let mut planner = Planner::new(&m, &State::default(), 0).unwrap();
    let schedule = planner.schedule();
    println!(
        "{} steps in {:?}, finish {} bound {}",
        schedule.steps.len(),
        started.elapsed(),
        schedule.finish,
        schedule.lower_bound
    );
    check_schedule(&m, &schedule);
    assert_eq!(schedule.steps.len(), 60 * 10 * 4);
    assert!(
        schedule.finish as f64 <= schedule.lower_bound as f64 * 1.1,
        "{} {}",
        schedule.finish,
        schedule.lower_bound
    );
    // The edition of the last service is reverted: no other step changes.
    let mut state = State::default();
    let last = edition(59, 2);
    state.apply(&Change::Verdict(last, Verdict::Revert));
    planner.replan(last, &state, 0);
    let after = planner.schedule();
    let rest = |schedule: &Schedule| {
        schedule.steps.iter().filter(|step| step.edition != last).cloned().collect::<Vec<_>>()
    };
    assert_eq!(rest(&after), rest(&schedule));
    assert!(after.steps.iter().all(|step| step.edition != last));
}

#[test]
fn released_tranches_are_not_planned_and_unschedulable_editions_are_reported() {
    let mut m = model(3, 1);
    add_dependency(&mut m, edition(1, 2), dependency(0, 2, 2, DependencyScope::Building));
    add_dependency(&mut m, edition(2, 2), dependency(1, 2, 2, DependencyScope::Everywhere));
    let mut state = State::default();
    state.apply(&Change::Progress(
        edition(0, 2),
        0,
        Progress { phase: Phase::Moving, tranches_done: 1, elapsed_s: 200, ..Progress::default() },
    ));
    let schedule = Planner::new(&m, &state, 5000).unwrap().schedule();
    let first = &schedule.steps[0];
    assert_eq!((first.edition, first.tranche, first.start, first.end), (edition(0, 2), 1, 5000, 5400));
    assert_eq!(schedule.finish, 5400 + 4 * 600);
    state.apply(&Change::Verdict(edition(0, 2), Verdict::Revert));
    let schedule = Planner::new(&m, &state, 5000).unwrap().schedule();
    assert!(schedule.steps.is_empty());
    let reasons: Vec<&str> = schedule.unschedulable.iter().map(|(_, why)| why.as_str()).collect();
    assert!(
        reasons[0].contains("s0 2 was sent back") && reasons[1].contains("s1 2 needs s0 2 to 2"),
        "{reasons:?}"
    );
    assert_eq!(reasons.len(), 3);
    // A freeze that outlasts the planning horizon.
    let mut m = model(1, 1);
    m.freezes.push(freeze("ever", 0, 100 * 366 * 86_400, FreezeMode::Hold));
    assert!(plan(&m).unschedulable[0].1.contains("two years"));
}

#[test]
fn a_model_that_can_never_finish_is_rejected_with_the_field_at_fault() {
    let rejection = |change: &dyn Fn(&mut Model)| {
        let mut m = model(2, 1);
        change(&mut m);
        m.validate().unwrap_err()
    };
    let (field, why) =
        rejection(&|m| add_dependency(m, edition(1, 2), dependency(0, 5, 9, DependencyScope::Building)));
    assert!(field == "needs" && why.contains("no edition is in that range"), "{why}");
    assert!(rejection(&|m| add_dependency(m, edition(1, 2), dependency(0, 5, 4, DependencyScope::Building)))
        .1
        .contains("empty range"));
    assert!(rejection(&|m| add_dependency(m, edition(1, 2), dependency(1, 1, 1, DependencyScope::Building)))
        .1
        .contains("its own service"));
    assert!(rejection(&|m| m.budgets.overall = 0).1.contains("with a budget of 0"));
    assert!(rejection(&|m| m.tranches[0].push(1)).1.contains("is listed in 2 tranches"));
    let (field, why) = rejection(&|m| {
        m.budgets.building = 1;
        add_dependency(m, edition(1, 2), dependency(0, 2, 2, DependencyScope::Building));
        add_dependency(m, edition(0, 2), dependency(1, 2, 2, DependencyScope::Building));
    });
    assert!(field == "budgets" && why.contains("released together"), "{why}");
    assert!(rejection(&|m| m.freezes.push(freeze("back", 10, 10, FreezeMode::Hold)))
        .1
        .contains("before it begins"));
    let mut m = model(2, 1);
    m.editions.insert(edition(0, 3), EditionSpec::default());
    assert_eq!(m.validate(), Ok(()));
}
