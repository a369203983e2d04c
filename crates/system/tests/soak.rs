//! A short soak test of the real programs; see `milletwing_trials::soak`. For a longer one, run
//! `SOAK_SEEDS=50 cargo test --release -p milletwing-system --test soak -- --nocapture`, or see
//! `milletwing-trials soak --help`.

use milletwing_trials::soak::{run, Options};

#[test]
fn overlapping_signals_restarts_and_changes_violate_no_invariant() {
    let setting = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().unwrap_or_else(|_| panic!("{name}: {text}")))
    };
    let first_seed = setting("SOAK_SEED", 1);
    for seed in first_seed..first_seed + setting("SOAK_SEEDS", 3) {
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
            "to repeat: SOAK_SEED={seed} SOAK_SEEDS=1; {:#?} {:?}",
            report.broken,
            report.logs
        );
        assert!(report.totals.served > report.totals.requests / 4, "{report:?}");
    }
}
