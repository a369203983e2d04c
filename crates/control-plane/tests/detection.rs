//! How soon a machine of the core notices that it is cut off, or that its disk hangs, and what it hands out until then. Each bound
//! fails where its constant is made four times as long.

#[path = "control/machines.rs"]
#[allow(dead_code)]
mod machines;

use machines::{ms, Net, World, MACHINES};
use milletwing_config::Configuration;
use milletwing_consensus::Role;
use milletwing_control_plane::core::{Core, Shared};
use milletwing_replicated_state::{Beat, EdgeStatus};
use milletwing_wire::{self as wire, Answer, ToEdge};
use std::future::Future;
use tokio::time::{sleep, Instant};

const SEEDS: u64 = 20;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.unwrap(), test);
}

fn leads(core: &Shared) -> bool {
    let core = core.borrow();
    core.member.role() == Role::Leader && core.member.is_caught_up_leader()
}

/// A core that has a leader: its number, and a follower's.
async fn begun(seed: u64) -> (Net, u32, u32) {
    let net = World::new(seed);
    (1..=MACHINES).for_each(|at| net.start(at));
    for _ in 0..1_000 {
        if let Some((at, _)) = net.cores().into_iter().find(|(_, core)| leads(core)) {
            sleep(ms(1_000)).await;
            if leads(&net.core(at).unwrap()) {
                return (net, at, at % MACHINES + 1);
            }
        }
        sleep(ms(10)).await;
    }
    panic!("nobody leads");
}

/// How long it takes until something is so.
async fn until(within: u64, mut so: impl FnMut() -> bool) -> Option<u64> {
    let begun = Instant::now();
    while begun.elapsed() < ms(within) {
        if so() {
            return Some(begun.elapsed().as_millis() as u64);
        }
        sleep(ms(5)).await;
    }
    None
}

#[test]
fn a_leader_that_is_cut_off_steps_down() {
    // Silence of two election times, looked for once in each of 600 ms; the first look may come right before.
    const BOUND: u64 = 2_450;
    for seed in 0..SEEDS {
        run(async move {
            let (net, leader, _) = begun(seed).await;
            let core = net.core(leader).unwrap();
            net.cut(leader, true);
            let after = until(20_000, || core.borrow().member.role() != Role::Leader).await;
            assert!(after.is_some_and(|after| after <= BOUND), "seed {seed}: after {after:?} ms");
            let other = until(20_000, || net.cores().iter().any(|(at, it)| *at != leader && leads(it))).await;
            assert!(other.is_some_and(|after| after <= BOUND), "seed {seed}: {other:?}");
        });
    }
}

fn marshal() -> Beat {
    let text = br#"{"target":"s","address":"10.1.0.1:80","zone":"a","revision":"v1","capacity":4,"state":"available","callCounter":1}"#;
    Beat::parse(text).unwrap()
}

#[test]
fn a_follower_that_is_cut_off_acknowledges_no_report_of_a_marshal_for_long() {
    // It does so while it knows a leader: for two election times without a word, looked for every 25 ms. (The bound of 2 s on the
    // age of that word stands behind this one.)
    const BOUND: u64 = 1_350;
    for seed in 0..SEEDS {
        run(async move {
            let (net, _, follower) = begun(seed).await;
            let core = net.core(follower).unwrap();
            let first = Core::beat(&core, "i-1".into(), marshal(), ms(900)).await;
            assert!(matches!(first, Answer::Done(_)), "seed {seed}: {first:?}");
            sleep(ms(500)).await;
            let again = Core::beat(&core, "i-1".into(), marshal(), ms(900)).await;
            assert!(matches!(again, Answer::Done(_)), "what is known is acknowledged: {again:?}");
            net.cut(follower, true);
            sleep(ms(BOUND)).await;
            let cut = Core::beat(&core, "i-1".into(), marshal(), ms(100)).await;
            assert_eq!(cut, Answer::NotAccepted, "seed {seed}");
        });
    }
}

#[test]
fn edges_of_a_machine_that_is_cut_off_are_told_so() {
    // 700 ms without the leader's word, and 200 ms between two pulses.
    const BOUND: u64 = 1_000;
    for seed in 0..SEEDS {
        run(async move {
            let (net, _, follower) = begun(seed).await;
            let core = net.core(follower).unwrap();
            let edge = EdgeStatus {
                id: 9,
                zone: "a".into(),
                region: "north".into(),
                ingress: "10.2.0.9:80".parse().unwrap(),
                ready: true,
                incarnation: 1,
            };
            let (_, mut words) = core.borrow_mut().attach(edge, 0);
            let mut told = Vec::new();
            let begun = Instant::now();
            let mut cut = None;
            while begun.elapsed() < ms(6_000) && told.last() != Some(&false) {
                if cut.is_none() && begun.elapsed() > ms(2_000) {
                    net.cut(follower, true);
                    cut = Some(Instant::now());
                }
                let Some((_, bytes)) = words.recv().await else { break };
                if let ToEdge::Heartbeat { leader_contact, .. } =
                    wire::read_frame::<ToEdge>(&mut bytes.as_slice()).await.unwrap()
                {
                    told.push(leader_contact);
                }
            }
            let after = cut.expect("no word before the cut ends it").elapsed();
            assert!(told.contains(&true), "seed {seed}: in touch it says so");
            assert!(told.last() == Some(&false) && after <= ms(BOUND), "seed {seed}: after {after:?}");
        });
    }
}

#[test]
fn an_edge_that_is_gone_is_named_to_clients_no_longer() {
    // 1.5 s after it was heard last, at each machine that is in touch; others are told of it twice a second.
    const BOUND: u64 = 2_500;
    for seed in 0..SEEDS {
        run(async move {
            let (net, leader, follower) = begun(seed).await;
            let status = |id: u32| EdgeStatus {
                id,
                zone: "a".into(),
                region: "north".into(),
                ingress: format!("10.2.0.{id}:80").parse().unwrap(),
                ready: true,
                incarnation: 1,
            };
            let named = |at: u32, id: u32| {
                let core = net.core(at).unwrap();
                let core = core.borrow();
                let told = core.resolve("h.example", "north");
                told.edges.iter().any(|edge| edge.ip().octets()[3] == id as u8)
            };
            let lives = |id: u32| {
                let core = net.core(leader).unwrap();
                let core = &mut *core.borrow_mut();
                let now = core.now();
                core.registry.record_edge(now, status(id), 0);
            };
            for _ in 0..8 {
                lives(8);
                lives(9);
                sleep(ms(250)).await;
            }
            assert!(named(leader, 9) && named(follower, 9), "seed {seed}");
            // The second goes on to say that it lives; the first is gone.
            for _ in 0..BOUND / 250 {
                lives(8);
                sleep(ms(250)).await;
            }
            for at in [leader, follower] {
                assert!(named(at, 8) && !named(at, 9), "seed {seed}: machine {at}");
            }
        });
    }
}

#[test]
fn a_machine_that_is_cut_off_answers_no_read_by_what_it_knew() {
    for seed in 0..SEEDS {
        run(async move {
            let (net, leader, _) = begun(seed).await;
            let body = |revision: u64| format!(r#"{{"revision":{revision},"routing":{{}},"targets":{{}}}}"#);
            let old = net.core(leader).unwrap();
            let first = Core::configure(&old, Some(0), body(1).as_bytes(), ms(900)).await.unwrap();
            assert!(matches!(first, Answer::Done(_)));
            net.cut(leader, true);
            // Until the others have a leader and a newer version, and beyond: the one that led is asked all the time.
            let newer = net.cores().into_iter().find(|(at, _)| *at != leader).unwrap().1;
            let mut acknowledged = false;
            for _ in 0..40 {
                if !acknowledged {
                    let taken = Core::configure(&newer, Some(1), body(2).as_bytes(), ms(100)).await;
                    acknowledged = matches!(taken, Ok(Answer::Done(_)));
                }
                let read = Core::read(&old, ms(100)).await;
                let stale = read.is_ok() && old.borrow().view.revision < 2;
                assert!(
                    !(acknowledged && stale),
                    "seed {seed}: an older version is read after a newer one was acknowledged"
                );
            }
            assert!(acknowledged, "seed {seed}: the others take orders");
            net.join();
            let read = until_read(&old).await;
            assert_eq!(read, 2, "seed {seed}: back in touch it knows");
        });
    }
}

/// The version read at a machine once a read is answered.
async fn until_read(core: &Shared) -> u64 {
    for _ in 0..100 {
        if Core::read(core, ms(900)).await.is_ok() {
            return core.borrow().view.revision;
        }
    }
    panic!("no read is answered");
}

#[test]
fn a_leader_whose_disk_hangs_hands_over() {
    // A write that takes 300 ms hangs; the next look at the clock is 25 ms later at most.
    const BOUND: u64 = 400;
    for seed in 0..SEEDS {
        run(async move {
            let (net, leader, _) = begun(seed).await;
            let core = net.core(leader).unwrap();
            net.stick(leader, ms(6_000), false);
            let proposing = std::rc::Rc::clone(&core);
            let body = br#"{"revision":1,"routing":{},"targets":{}}"#;
            assert!(Configuration::parse(body).is_ok());
            tokio::task::spawn_local(async move {
                let _ = Core::configure(&proposing, Some(0), body, ms(900)).await;
                // whoever leads next has it, or not
            });
            let after = until(20_000, || core.borrow().member.role() != Role::Leader).await;
            assert!(after.is_some_and(|after| after <= BOUND), "seed {seed}: after {after:?} ms");
        });
    }
}
