//! Drawn histories of the control side above the log, orders, evacuations, roll-outs, marshals' lives and edges that follow, judged
//! afterwards. A failing seed names itself, with the troubles that can be left out: `CONTROL_SEED=n CONTROL_SKIP=1,4 cargo test -p
//! milletwing-control-plane --test control` plays it again, `CONTROL_SEEDS=100000` plays more.

#[path = "control/callers.rs"]
mod callers;
#[path = "control/history.rs"]
mod history;
#[path = "control/machines.rs"]
mod machines;

use callers::{body, version, Callers};
use history::{History, Outcome};
use machines::{ms, Net, World, MACHINES};
use milletwing_consensus::Role;
use milletwing_control_plane::core::Core;
use milletwing_replicated_state::view::digest;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::{sleep, Instant};

const SEEDS: u64 = 2_000;
const TROUBLED: u64 = 30_000;
const HEALED: u64 = 12_000;
/// Troubles of one history at most: they come a tenth of a second apart at least.
const MOST_TROUBLES: usize = 60;

/// What a play did, so that one in which nothing happens judges nothing.
#[derive(Default)]
struct Counts {
    acknowledged: AtomicU64,
    refused: AtomicU64,
    unknown: AtomicU64,
    reads: AtomicU64,
}

fn trouble(net: &Net) {
    let at = 1 + net.draw(0..u64::from(MACHINES)) as u32;
    let leader =
        net.cores().iter().find(|(_, core)| core.borrow().member.role() == Role::Leader).map(|(at, _)| *at);
    let at = leader.filter(|_| net.odds(0.4)).unwrap_or(at);
    match net.draw(0..10) {
        0 | 1 => net.kill(at, false),
        2 if net.whole() => net.kill(at, true),
        3 => (1..=MACHINES).for_each(|at| net.kill(at, false)),
        4 => net.cut(at, true),
        5 => net.cut(at, false),
        6 => net.stick(at, ms(net.draw(100..6_000)), true),
        7 => net.stick(at, ms(net.draw(100..6_000)), false),
        _ => net.join(),
    }
}

/// Plays a seed, but for the troubles with these numbers.
async fn play(seed: u64, skip: &BTreeSet<usize>, counts: &Counts) -> usize {
    let net = World::new(seed);
    let callers = Rc::new(Callers {
        net: Rc::clone(&net),
        history: Default::default(),
        loss: 0.2.into(),
        done: false.into(),
        emptied: None.into(),
        rolled: 0.into(),
        left: Default::default(),
        states: Default::default(),
    });
    for at in 1..=MACHINES {
        sleep(ms(net.draw(0..300))).await;
        net.start(at);
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
    let end = Instant::now() + ms(TROUBLED);
    let mut number = 0;
    while Instant::now() < end {
        sleep(ms(net.draw(100..1_500))).await;
        net.cores().iter().for_each(|(_, core)| callers.same(&core.borrow().view));
        number += 1;
        if !skip.contains(&number) {
            trouble(&net);
        }
        for at in 1..=MACHINES {
            if net.core(at).is_none() && net.odds(0.5) {
                net.start(at);
            }
        }
    }
    net.join();
    (1..=MACHINES).for_each(|at| net.stick(at, ms(0), false));
    (1..=MACHINES).for_each(|at| net.start(at));
    callers.loss.set(0.0);
    sleep(ms(HEALED / 2)).await;
    callers.done.set(true);
    // What is under way ends, and an order that stands twice is taken back in the end.
    sleep(ms(HEALED + 8_000)).await;
    for task in tasks {
        // What a caller finds wrong ends its task.
        task.await.unwrap_or_else(|problem| std::panic::resume_unwind(problem.into_panic()));
    }
    judge(&net, &callers, counts).await;
    number
}

async fn judge(net: &Net, callers: &Callers, counts: &Counts) {
    let (_, core) = net.cores()[0].clone();
    Core::read(&core, ms(900)).await.expect("no read is answered after all has healed");
    for (at, other) in net.cores() {
        let other = other.borrow();
        assert!(!other.member.lost(), "machine {at} does not count again");
        assert!(other.view.index + 3 >= core.borrow().view.index, "machine {at} did not catch up");
        callers.same(&other.view);
    }
    let core = core.borrow();
    assert_eq!(core.view.evacuated.len(), 0, "a zone that was taken back stays empty");
    let history: &History = &callers.history.borrow();
    history.assert_linearizable(|version| core.view.took(version.0, &digest(&body(*version))));
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

/// Plays a seed in a world of its own. Gives the number of its troubles; nothing where it fails.
fn sound(seed: u64, skip: &BTreeSet<usize>, counts: &Counts) -> Option<usize> {
    let run = || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        tokio::task::LocalSet::new().block_on(&runtime.unwrap(), play(seed, skip, counts))
    };
    std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).ok()
}

/// Troubles of a failing seed that can be left out, one after the other, with the history failing still.
fn shrink(seed: u64) -> Vec<String> {
    let mut skip = given_list("CONTROL_SKIP");
    for number in (1..=MOST_TROUBLES).rev() {
        skip.insert(number);
        if sound(seed, &skip, &Counts::default()).is_some() {
            skip.remove(&number);
        }
    }
    skip.iter().map(usize::to_string).collect()
}

fn judge_seeds(seeds: impl Iterator<Item = u64>, counts: &Counts) {
    let skip = given_list("CONTROL_SKIP");
    for seed in seeds {
        if sound(seed, &skip, counts).is_none() {
            let left_out = shrink(seed).join(",");
            panic!(
                "play it again: CONTROL_SEED={seed} CONTROL_SKIP={left_out} cargo test -p milletwing-control-plane --test control"
            );
        }
    }
}

fn given_list(name: &str) -> BTreeSet<usize> {
    let text = std::env::var(name).unwrap_or_default();
    text.split(',').filter_map(|number| number.parse().ok()).collect()
}

fn given(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn orders_are_taken_once_and_kept_and_nothing_goes_back() {
    let counts = Counts::default();
    let (from, to) = match given("CONTROL_SEED") {
        Some(seed) => (seed, seed + 1),
        None => (0, given("CONTROL_SEEDS").unwrap_or(SEEDS)),
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|part| {
                let counts = &counts;
                scope.spawn(move || judge_seeds((from..to).filter(move |seed| seed % 8 == part), counts))
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
    println!("{acknowledged} changes acknowledged, {refused} refused, {unknown} not clear, {reads} reads");
    assert!(acknowledged > 0 && reads > 0);
}
