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

/// An engine with its journal: what it knows after a kill is what was written.
struct Run {
    engine: Engine,
    journal: Vec<Change>,
    now: i64,
    tables: Vec<ReleaseTable>,
}

impl Run {
    fn new(model: Model) -> Run {
        let engine = Engine::new(model, State::default(), 5000, GRACE);
        Run { engine, journal: Vec::new(), now: 0, tables: Vec::new() }
    }
    fn took(&mut self, changes: Vec<Change>) {
        self.journal.extend(changes);
        let table = self.engine.release_table();
        self.check(&table);
        if self.tables.last() != Some(&table) {
            assert!(
                self.tables.last().is_none_or(|last| last.number < table.number),
                "a change without a number"
            );
            self.tables.push(table);
        }
    }
    fn tick(&mut self) {
        let changes = self.engine.tick(ClockReading::at(self.now));
        self.took(changes);
    }
    fn pass(&mut self, seconds: i64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now = (self.now + 20).min(until);
            self.tick();
        }
    }
    fn say(&mut self, edition: Edition, verdict: Verdict) {
        let changes = self.engine.record_verdict(edition, verdict, ClockReading::at(self.now));
        self.took(changes);
    }
    /// Ends it, with only so many of its changes written, and starts it from those.
    fn kill(&mut self, lost: usize) {
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
    /// Whatever carries traffic has what it needs there, and budgets hold.
    fn check(&self, table: &ReleaseTable) {
        let model = self.engine.model();
        let all: BTreeSet<_> = table.released.iter().chain(&table.in_rollout).copied().collect();
        let carries =
            |edition: Edition, building: usize| all.iter().any(|(e, b, _)| (*e, *b) == (edition, building));
        for (edition, building, _) in &all {
            for need in &model.editions[edition].dependencies {
                let places = if need.scope == DependencyScope::Everywhere {
                    0..model.buildings.len()
                } else {
                    *building..building + 1
                };
                for place in places {
                    let met = model.editions_satisfying(*need).any(|other| carries(other, place));
                    assert!(
                        met,
                        "{} in building {building} without {need:?} in {place}",
                        model.edition_name(*edition)
                    );
                }
            }
        }
        for building in 0..model.buildings.len() {
            let moving = |edition: &Edition| {
                let progress = self.engine.state().progress(*edition, building);
                progress.phase == Phase::Moving
                    || (progress.phase == Phase::Waiting && progress.tranches_done > 0)
            };
            assert!(model.editions.keys().filter(|e| moving(e)).count() <= model.budgets.building);
        }
    }
}

fn new(service: usize) -> Edition {
    edition(service, 2)
}

#[test]
fn a_release_goes_by_building_and_customer_and_waits_for_the_module() {
    let mut m = model(1, 2);
    m.one_by_one = true;
    m.customer_buildings[1] = vec![0];
    let mut run = Run::new(m);
    run.tick();
    let table = run.tables.last().unwrap();
    assert_eq!(table.in_rollout, [(new(0), 0, 0)].into());
    assert_eq!(table.released, [(edition(0, 1), 0, 0), (edition(0, 1), 0, 1), (edition(0, 1), 1, 0)].into());
    run.pass(1200);
    assert_eq!(run.phase(new(0), 0), (Phase::Waiting, 1), "the module has not stood for it");
    assert_eq!(run.engine.wait_reasons(new(0), 0), [WaitReason::Verdict]);
    assert!(
        matches!(&run.engine.wait_reasons(new(0), 1)[..], [WaitReason::Building { before }] if before == "b0")
    );
    run.say(new(0), Verdict::Proceed);
    run.pass(660);
    assert_eq!((run.phase(new(0), 0), run.phase(new(0), 1)), ((Phase::Released, 2), (Phase::Moving, 0)));
    run.pass(1400);
    assert_eq!(run.phase(new(0), 1), (Phase::Released, 2));
    assert!(run.tables.last().unwrap().in_rollout.is_empty());
    // An edition that the model doesn't know is in no table, and nothing said of it counts.
    run.say(edition(0, 9), Verdict::Proceed);
    assert!(!run.engine.state().is_reverted(edition(0, 9)));
}

#[test]
fn a_freeze_that_begins_while_a_tranche_is_half_out_acts_by_its_mode() {
    for (mode, half, late) in [
        (FreezeMode::Finish, (Phase::Waiting, 1), (Phase::Waiting, 1)),
        (FreezeMode::Hold, (Phase::Moving, 0), (Phase::Waiting, 1)),
        (FreezeMode::Rollback, (Phase::Waiting, 0), (Phase::Waiting, 0)),
    ] {
        let mut m = model(1, 1);
        m.freezes.push(freeze("harvest", 300, 3000, mode));
        let mut run = Run::new(m);
        run.tick();
        run.pass(1500);
        assert_eq!(run.phase(new(0), 0), half, "{mode:?}");
        assert!(matches!(
            &run.engine.wait_reasons(new(0), 0)[..],
            [.., WaitReason::Freeze { until: 3000, .. }]
        ));
        let out = run.tables.last().unwrap().clone();
        let carried = |table: &ReleaseTable| {
            table.released.contains(&(new(0), 0, 0)) || table.in_rollout.contains(&(new(0), 0, 0))
        };
        assert_eq!(carried(&out), mode != FreezeMode::Rollback, "what is out stays, but where it goes back");
        run.pass(1820); // 320 s after the end: the held one had 300 left
        assert_eq!(
            run.phase(new(0), 0),
            if mode == FreezeMode::Rollback { (Phase::Moving, 0) } else { late },
            "{mode:?}"
        );
    }
}

#[test]
fn overlapping_freezes_act_by_the_strictest_and_an_exemption_may_end_mid_tranche() {
    let mut m = model(1, 1);
    m.freezes.push(freeze("mild", 100, 2000, FreezeMode::Finish));
    m.freezes.push(freeze("strict", 200, 1000, FreezeMode::Rollback));
    let mut run = Run::new(m.clone());
    run.tick();
    run.pass(400);
    assert_eq!(run.phase(new(0), 0), (Phase::Waiting, 0));
    // Leave from the strict one until 400: it goes on until then, and goes back as that ends.
    let leave = |freeze: &str, until| Exemption {
        name: freeze.into(),
        reason: "press terminals".into(),
        freeze: freeze.into(),
        edition: new(0),
        until,
    };
    m.exemptions = vec![leave("strict", 400), leave("mild", 5000)];
    let mut run = Run::new(m);
    run.tick();
    run.pass(380);
    assert_eq!(run.phase(new(0), 0), (Phase::Moving, 0));
    run.pass(40);
    assert_eq!(run.phase(new(0), 0), (Phase::Waiting, 0));
}

#[test]
fn a_wall_clock_set_back_into_a_freeze_or_forward_past_one_frees_nothing() {
    let mut m = model(1, 1);
    m.freezes.push(freeze("harvest", 300, 3000, FreezeMode::Rollback));
    for wall in [-3600, 3600] {
        let mut run = Run::new(m.clone());
        run.tick();
        // In the freeze by the steady clock; the wall clock shows an hour before it or past it.
        for at in (320..2900).step_by(20) {
            let changes = run.engine.tick(ClockReading { wall: at + wall, monotonic: at });
            run.took(changes);
        }
        assert_eq!(run.phase(new(0), 0), (Phase::Waiting, 0), "{wall}");
    }
    // Past the freeze by the steady clock, set back into it: it holds again, since nobody can tell which is right.
    let mut run = Run::new(m);
    run.now = 3100;
    let changes = run.engine.tick(ClockReading { wall: 2000, monotonic: 3100 });
    run.took(changes);
    assert_eq!(run.phase(new(0), 0), (Phase::Waiting, 0));
}

/// Three levels: s2 needs s1 needs s0, each 2.
fn three() -> Model {
    let mut m = model(3, 1);
    add_dependency(&mut m, new(1), need(0, 2, 2, DependencyScope::Building));
    add_dependency(&mut m, new(2), need(1, 2, 2, DependencyScope::Building));
    m
}

#[test]
fn a_withdrawal_three_levels_deep_takes_dependants_first_whatever_is_frozen() {
    let mut m = three();
    m.buildings.push("b1".into());
    m.one_by_one = true;
    m.freezes.push(freeze("third", 2700, 90_000, FreezeMode::Hold));
    m.freezes[0].scope.services = [2].into();
    let mut run = Run::new(m);
    run.tick();
    (0..3).for_each(|service| run.say(new(service), Verdict::Proceed));
    run.pass(2900);
    // The second level is mid-tranche in the second building, and a freeze holds the third in the first one.
    assert_eq!((run.phase(new(1), 1), run.phase(new(2), 0)), ((Phase::Moving, 0), (Phase::Moving, 0)));
    assert!(run.engine.state().progress(new(2), 0).held);
    run.say(new(0), Verdict::Revert);
    let gone = |run: &Run| {
        [0, 1, 2].map(|s| [0, 1].map(|b| run.phase(new(s), b).0 == Phase::Withdrawn) == [true; 2])
    };
    assert_eq!(gone(&run), [false, false, true], "the furthest first, at once");
    run.now += GRACE;
    run.tick();
    assert_eq!(gone(&run), [false, true, true]);
    // A new edition is announced meanwhile: it waits its turn, and the withdrawal goes on.
    let mut more = run.engine.model().clone();
    more.editions.insert(edition(0, 3), EditionSpec::default());
    let changes = run.engine.replace_model(more);
    run.took(changes);
    run.now += GRACE;
    run.tick();
    assert_eq!(gone(&run), [true, true, true]);
    run.say(new(0), Verdict::Proceed);
    assert!(run.engine.state().is_reverted(new(0)), "back stands above all");
    run.pass(200);
    assert_eq!(run.phase(edition(0, 3), 0).0, Phase::Moving);
    assert_eq!(run.engine.wait_reasons(new(2), 0), [WaitReason::SentBack]);
    assert!(
        run.tables.last().unwrap().released.contains(&(edition(0, 1), 0, 0)),
        "what was released before stays"
    );
}

#[test]
fn two_that_need_each_other_move_in_step_and_go_back_together() {
    let mut m = model(3, 1);
    m.budgets = Budgets { overall: 2, building: 2 };
    add_dependency(&mut m, new(0), need(1, 2, 2, DependencyScope::Building));
    add_dependency(&mut m, new(1), need(0, 2, 2, DependencyScope::Building));
    let mut run = Run::new(m);
    run.tick();
    assert_eq!([0, 1].map(|s| run.phase(new(s), 0)), [(Phase::Moving, 0); 2]);
    assert!(
        matches!(&run.engine.wait_reasons(new(2), 0)[..], [WaitReason::Budget { .. }, WaitReason::Budget { held_by, .. }] if held_by.len() == 2)
    );
    run.pass(700);
    run.say(new(0), Verdict::Proceed);
    run.pass(300);
    assert_eq!(
        [0, 1].map(|s| run.phase(new(s), 0)),
        [(Phase::Waiting, 1); 2],
        "one still waits for the module"
    );
    run.say(new(1), Verdict::Proceed);
    run.pass(300);
    assert_eq!([0, 1].map(|s| run.phase(new(s), 0)), [(Phase::Moving, 1); 2]);
    run.say(new(1), Verdict::Revert);
    run.pass(100);
    assert_eq!([0, 1].map(|s| run.phase(new(s), 0).0), [Phase::Withdrawn; 2]);
    run.pass(100);
    assert_eq!(run.phase(new(2), 0).0, Phase::Moving);
}

#[test]
fn a_customer_that_moves_is_permitted_where_it_is_served_now_under_a_new_number() {
    let mut m = model(1, 2);
    m.customer_buildings[0] = vec![0];
    let mut run = Run::new(m.clone());
    run.tick();
    run.say(new(0), Verdict::Proceed);
    run.pass(1400);
    let carries =
        |run: &Run, building: usize| run.tables.last().unwrap().released.contains(&(new(0), building, 0));
    assert_eq!((carries(&run, 0), carries(&run, 1)), (true, false));
    let before = run.engine.state().table_number;
    m.customer_buildings[0] = vec![1];
    let changes = run.engine.replace_model(m.clone());
    run.took(changes);
    assert_eq!((carries(&run, 0), carries(&run, 1)), (false, true));
    assert!(run.engine.state().table_number > before);
    assert!(run.engine.replace_model(m).is_empty(), "nothing new");
}

/// Killed at every write: what was written goes on, the number of tables never falls, and the end is the same.
#[test]
fn a_kill_at_every_write_changes_nothing_of_the_end() {
    let script = |run: &mut Run, step: usize| match step {
        0 => run.tick(),
        1 | 3 | 5 => run.say(new(step / 2), Verdict::Proceed),
        2 | 4 | 6 => run.pass(1900),
        7 => run.say(new(0), Verdict::Revert),
        _ => run.pass(20),
    };
    let mut whole = Run::new(three());
    (0..12).for_each(|step| script(&mut whole, step));
    let writes = whole.journal.len();
    assert!(writes > 25, "{writes}");
    for kill in 0..writes {
        let mut run = Run::new(three());
        let mut killed = false;
        for step in 0..12 {
            let before = run.journal.len();
            let (engine, now) = (run.engine.clone(), run.now);
            script(&mut run, step);
            if !killed && run.journal.len() > kill {
                // The step is cut short right behind that write; what it would have said is said again.
                killed = true;
                let lost = run.journal.len() - kill.max(before);
                let highest = run.engine.state().table_number;
                drop(engine);
                run.kill(lost);
                run.now = now;
                assert!(run.engine.state().table_number <= highest);
                script(&mut run, step);
            }
        }
        run.pass(40);
        whole.pass(0);
        for service in 0..3 {
            assert_eq!(
                run.phase(new(service), 0).0,
                Phase::Withdrawn,
                "killed at write {kill}, service {service}"
            );
        }
    }
}

#[test]
fn drawn_days_never_let_forbidden_editions_carry_traffic() {
    let mut on = 0;
    for seed in 0..150 {
        let mut dice = Pcg64Mcg::seed_from_u64(seed);
        let mut m = model(4, 2);
        m.budgets = Budgets { overall: dice.random_range(2..6), building: dice.random_range(2..4) };
        for service in 1..4 {
            let scope =
                if dice.random_bool(0.3) { DependencyScope::Everywhere } else { DependencyScope::Building };
            let on = dice.random_range(0..service);
            add_dependency(&mut m, new(service), need(on, 2, 2, scope));
        }
        for at in 0..3 {
            let from = dice.random_range(0..9000);
            let mode = [FreezeMode::Finish, FreezeMode::Hold, FreezeMode::Rollback][dice.random_range(0..3)];
            let mut f = freeze(&format!("f{at}"), from, from + dice.random_range(50..2500), mode);
            f.scope.services = [dice.random_range(0..4)].into();
            m.freezes.push(f);
        }
        let mut run = Run::new(m);
        for _ in 0..60 {
            let edition = new(dice.random_range(0..4));
            match dice.random_range(0..12) {
                0..=4 => run.say(edition, Verdict::Proceed),
                5 if dice.random_bool(0.3) => run.say(edition, Verdict::Revert),
                6 => {
                    let lost = dice.random_range(0..3);
                    run.kill(lost);
                }
                _ => run.pass(dice.random_range(20..400)),
            }
            on += run.engine.release_table().in_rollout.len();
        }
    }
    assert!(on > 5000, "{on}");
}
