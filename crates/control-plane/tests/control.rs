//! Random histories of the control plane above the log: configuration changes, evacuations, rollouts,
//! marshals that come and go, and edges that follow the state, checked afterwards. A failing seed is
//! printed, with the faults that can be left out: `CONTROL_SEED=n CONTROL_SKIP=1,4 cargo test -p
//! milletwing-control-plane --test control` replays it, `CONTROL_SEEDS=100000` runs more seeds.

#[path = "control/callers.rs"]
mod callers;
#[path = "control/history.rs"]
mod history;
#[path = "control/simulation.rs"]
#[allow(dead_code)]
mod simulation;

use callers::{body, version, Callers};
use history::{History, Outcome};
use milletwing_consensus::Role;
use milletwing_control_plane::core::Core;
use milletwing_replicated_state::view::configuration_digest;
use simulation::{ms, run, SharedSimulation, Simulation, REPLICAS};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::{sleep, Instant};

const SEEDS: u64 = 2_000;
const FAULT_PHASE_MS: u64 = 30_000;
const RECOVERY_MS: u64 = 12_000;
/// Maximum number of faults in one history: they are at least a tenth of a second apart.
const MAX_FAULTS: usize = 60;

/// What happened in the histories, to detect histories in which nothing is checked because nothing
/// happened.
#[derive(Default)]
struct Counts {
    acknowledged: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
    reads: AtomicU64,
}

fn inject_fault(simulation: &SharedSimulation) {
    let replica = 1 + simulation.random_in(0..u64::from(REPLICAS)) as u32;
    let leader = simulation
        .cores()
        .iter()
        .find(|(_, core)| core.borrow().member.role() == Role::Leader)
        .map(|(replica, _)| *replica);
    let replica = leader.filter(|_| simulation.random_bool(0.4)).unwrap_or(replica);
    match simulation.random_in(0..10) {
        0 | 1 => simulation.kill(replica, false),
        2 if simulation.all_disks_intact() => simulation.kill(replica, true),
        3 => (1..=REPLICAS).for_each(|replica| simulation.kill(replica, false)),
        4 => simulation.cut(replica, true),
        5 => simulation.cut(replica, false),
        6 => simulation.stall_disk(replica, ms(simulation.random_in(100..6_000)), true),
        7 => simulation.stall_disk(replica, ms(simulation.random_in(100..6_000)), false),
        _ => simulation.heal_links(),
    }
}

/// Runs a seed without the faults that have these numbers. Returns the number of faults.
async fn run_history(seed: u64, skip: &BTreeSet<usize>, counts: &Counts) -> usize {
    let simulation = Simulation::new(seed);
    let callers = Rc::new(Callers {
        simulation: Rc::clone(&simulation),
        history: Default::default(),
        loss: 0.2.into(),
        stopping: false.into(),
        evacuated: None.into(),
        rollouts_acknowledged: 0.into(),
        departed: Default::default(),
        digests: Default::default(),
    });
    for replica in 1..=REPLICAS {
        sleep(ms(simulation.random_in(0..300))).await;
        simulation.start(replica);
    }
    sleep(ms(2_000)).await;
    let mut tasks = vec![
        tokio::task::spawn_local(Rc::clone(&callers).evacuations()),
        tokio::task::spawn_local(Rc::clone(&callers).rollouts()),
    ];
    tasks.extend((1..=3).map(|number| tokio::task::spawn_local(Rc::clone(&callers).operator(number))));
    for number in 1..=2 {
        tasks.push(tokio::task::spawn_local(Rc::clone(&callers).marshals(number)));
        tasks.push(tokio::task::spawn_local(Rc::clone(&callers).edge(number)));
    }
    let end = Instant::now() + ms(FAULT_PHASE_MS);
    let mut fault = 0;
    while Instant::now() < end {
        sleep(ms(simulation.random_in(100..1_500))).await;
        simulation.cores().iter().for_each(|(_, core)| callers.assert_same_state(&core.borrow().view));
        fault += 1;
        if !skip.contains(&fault) {
            inject_fault(&simulation);
        }
        for replica in 1..=REPLICAS {
            if simulation.core(replica).is_none() && simulation.random_bool(0.5) {
                simulation.start(replica);
            }
        }
    }
    simulation.heal_links();
    (1..=REPLICAS).for_each(|replica| simulation.stall_disk(replica, ms(0), false));
    (1..=REPLICAS).for_each(|replica| simulation.start(replica));
    callers.loss.set(0.0);
    sleep(ms(RECOVERY_MS / 2)).await;
    callers.stopping.set(true);
    // Requests in progress end, and a zone with two evacuation requests of which one was cancelled is no
    // longer evacuated in the end.
    sleep(ms(RECOVERY_MS + 8_000)).await;
    for task in tasks {
        // A caller that detects a violation panics in its task.
        task.await.unwrap_or_else(|problem| std::panic::resume_unwind(problem.into_panic()));
    }
    check_final_state(&simulation, &callers, counts).await;
    fault
}

async fn check_final_state(simulation: &SharedSimulation, callers: &Callers, counts: &Counts) {
    let (_, core) = simulation.cores()[0].clone();
    Core::read_barrier(&core, ms(900)).await.expect("no read is answered after recovery");
    for (replica, other) in simulation.cores() {
        let other = other.borrow();
        assert!(!other.member.has_lost_state(), "replica {replica} has not recovered its lost disk");
        assert!(other.view.index + 3 >= core.borrow().view.index, "replica {replica} did not catch up");
        callers.assert_same_state(&other.view);
    }
    let core = core.borrow();
    assert_eq!(core.view.evacuated.len(), 0, "a zone is still evacuated after its evacuation was ended");
    let history: &History = &callers.history.borrow();
    history.assert_linearizable(|version| {
        core.view.has_accepted(version.0, &configuration_digest(&body(*version)))
    });
    let last =
        history.changes.iter().filter(|it| it.outcome == Outcome::Acknowledged).map(|it| it.version.0).max();
    assert!(version(&core.view).map_or(0, |version| version.0) >= last.unwrap_or(0));
    for change in &history.changes {
        let count = match change.outcome {
            Outcome::Acknowledged => &counts.acknowledged,
            Outcome::Refused => &counts.refused,
            Outcome::Unknown => &counts.unknown,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
    counts.reads.fetch_add(history.reads.len() as u64, Ordering::Relaxed);
}

/// Runs a seed in a simulation of its own. Returns the number of its faults, or none if the check fails.
fn check_seed(seed: u64, skip: &BTreeSet<usize>, counts: &Counts) -> Option<usize> {
    let history = || run(run_history(seed, skip, counts));
    std::panic::catch_unwind(std::panic::AssertUnwindSafe(history)).ok()
}

/// Finds the faults of a failing seed that can be left out, one after the other, so that the history still
/// fails.
fn shrink(seed: u64) -> Vec<String> {
    let mut skip = env_list("CONTROL_SKIP");
    for fault in (1..=MAX_FAULTS).rev() {
        skip.insert(fault);
        if check_seed(seed, &skip, &Counts::default()).is_some() {
            skip.remove(&fault);
        }
    }
    skip.iter().map(usize::to_string).collect()
}

fn check_seeds(seeds: impl Iterator<Item = u64>, counts: &Counts) {
    let skip = env_list("CONTROL_SKIP");
    for seed in seeds {
        if check_seed(seed, &skip, counts).is_none() {
            let left_out = shrink(seed).join(",");
            panic!(
                "replay: CONTROL_SEED={seed} CONTROL_SKIP={left_out} cargo test -p milletwing-control-plane --test control"
            );
        }
    }
}

fn env_list(name: &str) -> BTreeSet<usize> {
    let text = std::env::var(name).unwrap_or_default();
    text.split(',').filter_map(|number| number.parse().ok()).collect()
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn requests_take_effect_once_and_state_never_goes_back() {
    let counts = Counts::default();
    let (from, to) = match env_number("CONTROL_SEED") {
        Some(seed) => (seed, seed + 1),
        None => (0, env_number("CONTROL_SEEDS").unwrap_or(SEEDS)),
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|part| {
                let counts = &counts;
                scope.spawn(move || check_seeds((from..to).filter(move |seed| seed % 8 == part), counts))
            })
            .collect();
        for thread in threads {
            if let Err(problem) = thread.join() {
                std::panic::resume_unwind(problem);
            }
        }
    });
    let [acknowledged, refused, unknown, reads] =
        [&counts.acknowledged, &counts.refused, &counts.unknown, &counts.reads]
            .map(|it| it.load(Ordering::Relaxed));
    println!("{acknowledged} changes acknowledged, {refused} refused, {unknown} unknown, {reads} reads");
    assert!(acknowledged > 0 && reads > 0);
}
