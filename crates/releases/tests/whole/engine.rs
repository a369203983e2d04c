use crate::common::*;
use milletwing_releases::calendar::{Exemption, FreezeMode};
use milletwing_releases::engine::{
    Change, ClockReading, Engine, Phase, ReleaseTable, State, Verdict, WaitReason,
};
use milletwing_releases::model::{Budgets, DependencyScope, Edition, EditionSpec, Model};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

const GRACE: i64 = 2;

/// An engine with its journal, and all tables that it produced. After a crash the engine restarts from the journal.
struct Simulation {
    engine: Engine,
    journal: Vec<Change>,
    now: i64,
    tables: Vec<ReleaseTable>,
}

impl Simulation {
    fn new(model: Model) -> Simulation {
        let engine = Engine::new(model, State::default(), 5000, GRACE);
        Simulation { engine, journal: Vec::new(), now: 0, tables: Vec::new() }
    }
    fn apply(&mut self, changes: Vec<Change>) {
        self.journal.extend(changes);
        let table = self.engine.release_table();
        self.check_invariants(&table);
        if self.tables.last() != Some(&table) {
            assert!(
                self.tables.last().is_none_or(|last| last.number < table.number),
                "the table changed without a new number"
            );
            self.tables.push(table);
        }
    }
    fn tick(&mut self) {
        let changes = self.engine.tick(ClockReading::at(self.now));
        self.apply(changes);
    }
    fn advance(&mut self, seconds: i64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now = (self.now + 20).min(until);
            self.tick();
        }
    }
    fn set_verdict(&mut self, edition: Edition, verdict: Verdict) {
        let changes = self.engine.record_verdict(edition, verdict, ClockReading::at(self.now));
        self.apply(changes);
    }
    /// Simulates a crash that loses the last `lost` changes, and a restart from the journal.
    fn crash(&mut self, lost: usize) {
        self.journal.truncate(self.journal.len().saturating_sub(lost));
        let mut state = State::default();
        self.journal.iter().for_each(|change| state.apply(change));
        self.engine = Engine::new(self.engine.model().clone(), state, 5000, GRACE);
        self.tables.clear();
    }
    fn phase(&self, edition: Edition, building: usize) -> (Phase, usize) {
        let progress = self.engine.state().progress(edition, building);
        (progress.phase, progress.tranches_done)
    }
    /// Checks that the dependencies of all editions in the table are met, and that no building exceeds its budget.
    fn check_invariants(&self, table: &ReleaseTable) {
        let model = self.engine.model();
        let all: BTreeSet<_> = table.released.iter().chain(&table.in_rollout).copied().collect();
        let carries =
            |edition: Edition, building: usize| all.iter().any(|(e, b, _)| (*e, *b) == (edition, building));
        for (edition, building, _) in &all {
            for dependency in &model.editions[edition].dependencies {
                let places = if dependency.scope == DependencyScope::Everywhere {
                    0..model.buildings.len()
                } else {
                    *building..building + 1
                };
                for place in places {
                    let met = model.editions_satisfying(*dependency).any(|other| carries(other, place));
                    assert!(
                        met,
                        "{} in building {building} without {dependency:?} in {place}",
                        model.edition_name(*edition)
                    );
                }
            }
        }
        for building in 0..model.buildings.len() {
            let uses_budget = |edition: &Edition| {
                let progress = self.engine.state().progress(*edition, building);
                progress.phase == Phase::Moving
                    || (progress.phase == Phase::Waiting && progress.tranches_done > 0)
            };
            assert!(model.editions.keys().filter(|e| uses_budget(e)).count() <= model.budgets.building);
        }
    }
}

fn build_2(service: usize) -> Edition {
    edition(service, 2)
}

#[test]
fn a_release_proceeds_by_building_and_customer_and_waits_for_approval() {
    let mut m = model(1, 2);
    m.one_by_one = true;
    m.customer_buildings[1] = vec![0];
    let mut sim = Simulation::new(m);
    sim.tick();
    let table = sim.tables.last().unwrap();
    assert_eq!(table.in_rollout, [(build_2(0), 0, 0)].into());
    assert_eq!(table.released, [(edition(0, 1), 0, 0), (edition(0, 1), 0, 1), (edition(0, 1), 1, 0)].into());
    sim.advance(1200);
    assert_eq!(sim.phase(build_2(0), 0), (Phase::Waiting, 1), "the decision module has not approved it");
    assert_eq!(sim.engine.wait_reasons(build_2(0), 0), [WaitReason::Verdict]);
    assert!(
        matches!(&sim.engine.wait_reasons(build_2(0), 1)[..], [WaitReason::Building { before }] if before == "b0")
    );
    sim.set_verdict(build_2(0), Verdict::Proceed);
    sim.advance(660);
    assert_eq!(
        (sim.phase(build_2(0), 0), sim.phase(build_2(0), 1)),
        ((Phase::Released, 2), (Phase::Moving, 0))
    );
    sim.advance(1400);
    assert_eq!(sim.phase(build_2(0), 1), (Phase::Released, 2));
    assert!(sim.tables.last().unwrap().in_rollout.is_empty());
    // A verdict on an edition that is not in the model is ignored.
    sim.set_verdict(edition(0, 9), Verdict::Proceed);
    assert!(!sim.engine.state().is_reverted(edition(0, 9)));
}

#[test]
fn a_freeze_that_starts_during_a_tranche_acts_by_its_mode() {
    for (mode, during, after) in [
        (FreezeMode::Finish, (Phase::Waiting, 1), (Phase::Waiting, 1)),
        (FreezeMode::Hold, (Phase::Moving, 0), (Phase::Waiting, 1)),
        (FreezeMode::Rollback, (Phase::Waiting, 0), (Phase::Waiting, 0)),
    ] {
        let mut m = model(1, 1);
        m.freezes.push(freeze("harvest", 300, 3000, mode));
        let mut sim = Simulation::new(m);
        sim.tick();
        sim.advance(1500);
        assert_eq!(sim.phase(build_2(0), 0), during, "{mode:?}");
        assert!(matches!(
            &sim.engine.wait_reasons(build_2(0), 0)[..],
            [.., WaitReason::Freeze { until: 3000, .. }]
        ));
        let table = sim.tables.last().unwrap().clone();
        let carried = |table: &ReleaseTable| {
            table.released.contains(&(build_2(0), 0, 0)) || table.in_rollout.contains(&(build_2(0), 0, 0))
        };
        assert_eq!(
            carried(&table),
            mode != FreezeMode::Rollback,
            "a tranche in rollout stays permitted unless it is rolled back"
        );
        sim.advance(1820); // 320 s after the end of the freeze; a held tranche had 300 s left
        assert_eq!(
            sim.phase(build_2(0), 0),
            if mode == FreezeMode::Rollback { (Phase::Moving, 0) } else { after },
            "{mode:?}"
        );
    }
}

#[test]
fn the_strictest_of_overlapping_freezes_acts_and_an_exemption_may_end_during_a_tranche() {
    let mut m = model(1, 1);
    m.freezes.push(freeze("mild", 100, 2000, FreezeMode::Finish));
    m.freezes.push(freeze("strict", 200, 1000, FreezeMode::Rollback));
    let mut sim = Simulation::new(m.clone());
    sim.tick();
    sim.advance(400);
    assert_eq!(sim.phase(build_2(0), 0), (Phase::Waiting, 0));
    // With an exemption from the strict freeze until 400, the tranche proceeds until then and is rolled back after.
    let exemption = |freeze: &str, until| Exemption {
        name: freeze.into(),
        reason: "press terminals".into(),
        freeze: freeze.into(),
        edition: build_2(0),
        until,
    };
    m.exemptions = vec![exemption("strict", 400), exemption("mild", 5000)];
    let mut sim = Simulation::new(m);
    sim.tick();
    sim.advance(380);
    assert_eq!(sim.phase(build_2(0), 0), (Phase::Moving, 0));
    sim.advance(40);
    assert_eq!(sim.phase(build_2(0), 0), (Phase::Waiting, 0));
}

#[test]
fn a_wall_clock_set_to_before_or_past_a_freeze_does_not_lift_it() {
    let mut m = model(1, 1);
    m.freezes.push(freeze("harvest", 300, 3000, FreezeMode::Rollback));
    for wall in [-3600, 3600] {
        let mut sim = Simulation::new(m.clone());
        sim.tick();
        // The monotonic clock is within the freeze; the wall clock is an hour behind or ahead.
        for at in (320..2900).step_by(20) {
            let changes = sim.engine.tick(ClockReading { wall: at + wall, monotonic: at });
            sim.apply(changes);
        }
        assert_eq!(sim.phase(build_2(0), 0), (Phase::Waiting, 0), "{wall}");
    }
    // The monotonic clock is past the freeze and the wall clock was set back into it: the freeze applies again, since
    // nothing tells which clock is right.
    let mut sim = Simulation::new(m);
    sim.now = 3100;
    let changes = sim.engine.tick(ClockReading { wall: 2000, monotonic: 3100 });
    sim.apply(changes);
    assert_eq!(sim.phase(build_2(0), 0), (Phase::Waiting, 0));
}

/// Three dependency levels: build 2 of s2 depends on build 2 of s1, which depends on build 2 of s0.
fn three_levels() -> Model {
    let mut m = model(3, 1);
    add_dependency(&mut m, build_2(1), dependency(0, 2, 2, DependencyScope::Building));
    add_dependency(&mut m, build_2(2), dependency(1, 2, 2, DependencyScope::Building));
    m
}

#[test]
fn a_withdrawal_of_three_levels_takes_dependants_first_despite_freezes() {
    let mut m = three_levels();
    m.buildings.push("b1".into());
    m.one_by_one = true;
    m.freezes.push(freeze("third", 2700, 90_000, FreezeMode::Hold));
    m.freezes[0].scope.services = [2].into();
    let mut sim = Simulation::new(m);
    sim.tick();
    (0..3).for_each(|service| sim.set_verdict(build_2(service), Verdict::Proceed));
    sim.advance(2900);
    // The second level has a tranche in rollout in the second building, and a freeze holds the third level in the first
    // building.
    assert_eq!(
        (sim.phase(build_2(1), 1), sim.phase(build_2(2), 0)),
        ((Phase::Moving, 0), (Phase::Moving, 0))
    );
    assert!(sim.engine.state().progress(build_2(2), 0).held);
    sim.set_verdict(build_2(0), Verdict::Revert);
    let withdrawn = |sim: &Simulation| {
        [0, 1, 2].map(|s| [0, 1].map(|b| sim.phase(build_2(s), b).0 == Phase::Withdrawn) == [true; 2])
    };
    assert_eq!(withdrawn(&sim), [false, false, true], "the last level is withdrawn first, without delay");
    sim.now += GRACE;
    sim.tick();
    assert_eq!(withdrawn(&sim), [false, true, true]);
    // An edition is added meanwhile: it waits, and the withdrawal continues.
    let mut extended = sim.engine.model().clone();
    extended.editions.insert(edition(0, 3), EditionSpec::default());
    let changes = sim.engine.replace_model(extended);
    sim.apply(changes);
    sim.now += GRACE;
    sim.tick();
    assert_eq!(withdrawn(&sim), [true, true, true]);
    sim.set_verdict(build_2(0), Verdict::Proceed);
    assert!(sim.engine.state().is_reverted(build_2(0)), "Revert is final");
    sim.advance(200);
    assert_eq!(sim.phase(edition(0, 3), 0).0, Phase::Moving);
    assert_eq!(sim.engine.wait_reasons(build_2(2), 0), [WaitReason::SentBack]);
    assert!(
        sim.tables.last().unwrap().released.contains(&(edition(0, 1), 0, 0)),
        "editions released before stay released"
    );
}

#[test]
fn mutually_dependent_editions_advance_and_are_withdrawn_together() {
    let mut m = model(3, 1);
    m.budgets = Budgets { overall: 2, building: 2 };
    add_dependency(&mut m, build_2(0), dependency(1, 2, 2, DependencyScope::Building));
    add_dependency(&mut m, build_2(1), dependency(0, 2, 2, DependencyScope::Building));
    let mut sim = Simulation::new(m);
    sim.tick();
    assert_eq!([0, 1].map(|s| sim.phase(build_2(s), 0)), [(Phase::Moving, 0); 2]);
    assert!(
        matches!(&sim.engine.wait_reasons(build_2(2), 0)[..], [WaitReason::Budget { .. }, WaitReason::Budget { held_by, .. }] if held_by.len() == 2)
    );
    sim.advance(700);
    sim.set_verdict(build_2(0), Verdict::Proceed);
    sim.advance(300);
    assert_eq!(
        [0, 1].map(|s| sim.phase(build_2(s), 0)),
        [(Phase::Waiting, 1); 2],
        "one still waits for approval"
    );
    sim.set_verdict(build_2(1), Verdict::Proceed);
    sim.advance(300);
    assert_eq!([0, 1].map(|s| sim.phase(build_2(s), 0)), [(Phase::Moving, 1); 2]);
    sim.set_verdict(build_2(1), Verdict::Revert);
    sim.advance(100);
    assert_eq!([0, 1].map(|s| sim.phase(build_2(s), 0).0), [Phase::Withdrawn; 2]);
    sim.advance(100);
    assert_eq!(sim.phase(build_2(2), 0).0, Phase::Moving);
}

#[test]
fn a_relocated_customer_is_permitted_in_its_new_building_by_a_new_table() {
    let mut m = model(1, 2);
    m.customer_buildings[0] = vec![0];
    let mut sim = Simulation::new(m.clone());
    sim.tick();
    sim.set_verdict(build_2(0), Verdict::Proceed);
    sim.advance(1400);
    let carries = |sim: &Simulation, building: usize| {
        sim.tables.last().unwrap().released.contains(&(build_2(0), building, 0))
    };
    assert_eq!((carries(&sim, 0), carries(&sim, 1)), (true, false));
    let before = sim.engine.state().table_number;
    m.customer_buildings[0] = vec![1];
    let changes = sim.engine.replace_model(m.clone());
    sim.apply(changes);
    assert_eq!((carries(&sim, 0), carries(&sim, 1)), (false, true));
    assert!(sim.engine.state().table_number > before);
    assert!(sim.engine.replace_model(m).is_empty(), "the same model changes nothing");
}

/// Crashes at every write: the engine resumes from what was written, table numbers never decrease, and the final state is
/// the same.
#[test]
fn a_crash_at_any_write_does_not_change_the_final_state() {
    let run_step = |sim: &mut Simulation, step: usize| match step {
        0 => sim.tick(),
        1 | 3 | 5 => sim.set_verdict(build_2(step / 2), Verdict::Proceed),
        2 | 4 | 6 => sim.advance(1900),
        7 => sim.set_verdict(build_2(0), Verdict::Revert),
        _ => sim.advance(20),
    };
    let mut uninterrupted = Simulation::new(three_levels());
    (0..12).for_each(|step| run_step(&mut uninterrupted, step));
    let writes = uninterrupted.journal.len();
    assert!(writes > 25, "{writes}");
    for crash_at in 0..writes {
        let mut sim = Simulation::new(three_levels());
        let mut crashed = false;
        for step in 0..12 {
            let before = sim.journal.len();
            let (engine, now) = (sim.engine.clone(), sim.now);
            run_step(&mut sim, step);
            if !crashed && sim.journal.len() > crash_at {
                // The step is cut off right after that write, and then repeated.
                crashed = true;
                let lost = sim.journal.len() - crash_at.max(before);
                let highest = sim.engine.state().table_number;
                drop(engine);
                sim.crash(lost);
                sim.now = now;
                assert!(sim.engine.state().table_number <= highest);
                run_step(&mut sim, step);
            }
        }
        sim.advance(40);
        uninterrupted.advance(0);
        for service in 0..3 {
            assert_eq!(
                sim.phase(build_2(service), 0).0,
                Phase::Withdrawn,
                "crashed at write {crash_at}, service {service}"
            );
        }
    }
}

#[test]
fn random_event_sequences_never_violate_dependencies_or_budgets() {
    let mut rollout_entries = 0;
    for seed in 0..150 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut m = model(4, 2);
        m.budgets = Budgets { overall: rng.random_range(2..6), building: rng.random_range(2..4) };
        for service in 1..4 {
            let scope =
                if rng.random_bool(0.3) { DependencyScope::Everywhere } else { DependencyScope::Building };
            let depends_on = rng.random_range(0..service);
            add_dependency(&mut m, build_2(service), dependency(depends_on, 2, 2, scope));
        }
        for at in 0..3 {
            let from = rng.random_range(0..9000);
            let mode = [FreezeMode::Finish, FreezeMode::Hold, FreezeMode::Rollback][rng.random_range(0..3)];
            let mut f = freeze(&format!("f{at}"), from, from + rng.random_range(50..2500), mode);
            f.scope.services = [rng.random_range(0..4)].into();
            m.freezes.push(f);
        }
        let mut sim = Simulation::new(m);
        for _ in 0..60 {
            let edition = build_2(rng.random_range(0..4));
            match rng.random_range(0..12) {
                0..=4 => sim.set_verdict(edition, Verdict::Proceed),
                5 if rng.random_bool(0.3) => sim.set_verdict(edition, Verdict::Revert),
                6 => {
                    let lost = rng.random_range(0..3);
                    sim.crash(lost);
                }
                _ => sim.advance(rng.random_range(20..400)),
            }
            rollout_entries += sim.engine.release_table().in_rollout.len();
        }
    }
    assert!(rollout_entries > 5000, "{rollout_entries}");
}
