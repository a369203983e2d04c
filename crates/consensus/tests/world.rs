//! Randomized runs of the simulated cluster, checked for lost or conflicting entries. A failure reports its
//! seed: `CONSENSUS_SEED=n cargo test -p milletwing-consensus --test world` runs that seed again, and
//! `CONSENSUS_SEEDS=100000` runs more seeds.

mod simulation;

use simulation::Cluster;

/// Runs the seeds, and reports a seed that fails.
fn run_seeds(seeds: impl Iterator<Item = u64>) {
    let (mut acked, mut reads) = (0, 0);
    for seed in seeds {
        let count = if seed.is_multiple_of(3) { 5 } else { 3 };
        let result = std::panic::catch_unwind(|| Cluster::run(seed, count));
        match result {
            Ok((entries, answered)) => (acked, reads) = (acked + entries, reads + answered),
            Err(_) => {
                panic!(
                    "reproduce with: CONSENSUS_SEED={seed} cargo test -p milletwing-consensus --test world"
                )
            }
        }
    }
    // Runs in which nothing is ever acknowledged would check nothing.
    assert!(acked > 0 && reads > 0, "{acked} entries acknowledged, {reads} reads answered");
    println!("{acked} entries acknowledged, {reads} reads answered");
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn acknowledged_entries_are_kept_and_each_index_has_one_value() {
    match env_number("CONSENSUS_SEED") {
        Some(seed) => run_seeds(seed..seed + 1),
        None => {
            let seeds = env_number("CONSENSUS_SEEDS").unwrap_or(2_000);
            let threads: Vec<_> = (0..8)
                .map(|part| {
                    std::thread::spawn(move || run_seeds((0..seeds).filter(move |seed| seed % 8 == part)))
                })
                .collect();
            for thread in threads {
                if let Err(problem) = thread.join() {
                    std::panic::resume_unwind(problem);
                }
            }
        }
    }
}
