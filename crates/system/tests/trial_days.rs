//! Days with versions on trial, played with the real programs; see `milletwing_trials::day`. For more of them, run
//! `DAY_SEEDS=50 cargo test --release -p milletwing-system --test trial_days -- --nocapture`, or see
//! `milletwing-trials day --help`.

use milletwing_trials::day::{run, Options, Plan, DUTY};

/// A drawn day in which a version that is bad for one class was completed while its route was away.
const FIRST_SEED: u64 = 18;

fn play(seed: u64, plan: Plan) {
    let program = env!("CARGO_BIN_EXE_milletwing-system").into();
    let report = run(&Options { program, seed, plan, keep_logs: false }).unwrap();
    println!("{}", serde_json::to_string(&report).unwrap());
    let broken: Vec<_> = report.violations.iter().filter(|violation| violation.rule != DUTY).collect();
    assert!(broken.is_empty(), "to repeat: DAY_SEED={seed} DAY_SEEDS=1; {broken:#?}");
    assert!(report.served > report.requests / 2, "{report:?}");
}

/// Guards against EXPOSURE: a healthy class spoke for one whose route led elsewhere while it was tried.
#[test]
fn a_version_that_is_bad_for_one_class_is_not_completed_while_that_class_is_away() {
    let text = include_str!("../../trials/days/route-away-beside-healthy.toml");
    play(1, Plan::from_toml(text).unwrap());
    let setting = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().unwrap_or_else(|_| panic!("{name}: {text}")))
    };
    let first_seed = setting("DAY_SEED", FIRST_SEED);
    for seed in first_seed..first_seed + setting("DAY_SEEDS", 1) {
        play(seed, Plan::draw(seed));
    }
}
