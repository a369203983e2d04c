//! Drawn histories of the agreement in a simulated world, judged afterwards. A failing seed names itself:
//! `CONSENSUS_SEED=n cargo test -p milletwing-consensus --test world` plays it again, `CONSENSUS_SEEDS=100000` plays more.

mod simulation;

use simulation::World;

/// Plays a seed in a thread of its own, so that a failure names it.
fn judge(seeds: impl Iterator<Item = u64>) {
    let (mut acked, mut reads) = (0, 0);
    for seed in seeds {
        let count = if seed.is_multiple_of(3) { 5 } else { 3 };
        let result = std::panic::catch_unwind(|| World::play(seed, count));
        match result {
            Ok((entries, answered)) => (acked, reads) = (acked + entries, reads + answered),
            Err(_) => {
                panic!("play it again: CONSENSUS_SEED={seed} cargo test -p milletwing-consensus --test world")
            }
        }
    }
    // A world in which nothing is ever acknowledged would judge nothing.
    assert!(acked > 0 && reads > 0, "{acked} entries acknowledged, {reads} reads answered");
    println!("{acked} entries acknowledged, {reads} reads answered");
}

fn given(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn nothing_acknowledged_is_lost_and_no_place_holds_two_values() {
    match given("CONSENSUS_SEED") {
        Some(seed) => judge(seed..seed + 1),
        None => {
            let seeds = given("CONSENSUS_SEEDS").unwrap_or(2_000);
            let threads: Vec<_> = (0..8)
                .map(|part| {
                    std::thread::spawn(move || judge((0..seeds).filter(move |seed| seed % 8 == part)))
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
