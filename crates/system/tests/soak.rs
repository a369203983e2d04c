//! A short soak of the real programs: see `milletwing_trials::soak`. More by hand: `SOAK_SEEDS=50 cargo test --release -p
//! milletwing-system --test soak -- --nocapture`, or `milletwing-trials soak --help`.

use milletwing_trials::soak::{run, Options};

#[test]
fn signals_restarts_and_changes_that_overlap_break_nothing() {
    let number = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().unwrap_or_else(|_| panic!("{name}: {text}")))
    };
    let first = number("SOAK_SEED", 1);
    for seed in first..first + number("SOAK_SEEDS", 3) {
        let options = Options {
            program: env!("CARGO_BIN_EXE_milletwing-system").into(),
            seed,
            core: 3,
            edges: 6,
            marshals: 8,
            clients: 24,
            events: 50,
        };
        let report = run(&options).unwrap();
        println!("{}", serde_json::to_string(&report).unwrap());
        assert!(
            report.broken.is_empty(),
            "again: SOAK_SEED={seed} SOAK_SEEDS=1; {:#?} {:?}",
            report.broken,
            report.logs
        );
        assert!(report.totals.served > report.totals.requests / 4, "{report:?}");
    }
}
