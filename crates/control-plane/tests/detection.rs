//! How soon a replica notices that it is cut off or that its disk hangs, and what it answers until then.
//! Each bound fails if the constant behind it is made four times as long.

#[path = "control/simulation.rs"]
#[allow(dead_code)]
mod simulation;

use milletwing_config::Configuration;
use milletwing_consensus::Role;
use milletwing_control_plane::core::{Core, SharedCore};
use milletwing_replicated_state::{Beat, EdgeStatus};
use milletwing_wire::{self as wire, Answer, ToEdge};
use simulation::{is_leader, ms, run, SharedSimulation, Simulation, REPLICAS};
use tokio::time::{sleep, Instant};

const SEEDS: u64 = 20;

/// Starts a cluster and waits for a leader. Returns the numbers of the leader and of a follower.
async fn start_cluster(seed: u64) -> (SharedSimulation, u32, u32) {
    let simulation = Simulation::new(seed);
    (1..=REPLICAS).for_each(|replica| simulation.start(replica));
    for _ in 0..1_000 {
        if let Some((replica, _)) = simulation.cores().into_iter().find(|(_, core)| is_leader(core)) {
            sleep(ms(1_000)).await;
            if is_leader(&simulation.core(replica).unwrap()) {
                return (simulation, replica, replica % REPLICAS + 1);
            }
        }
        sleep(ms(10)).await;
    }
    panic!("no replica became leader");
}

/// Returns after how many milliseconds a condition holds.
async fn time_until(timeout_ms: u64, mut condition: impl FnMut() -> bool) -> Option<u64> {
    let started_at = Instant::now();
    while started_at.elapsed() < ms(timeout_ms) {
        if condition() {
            return Some(started_at.elapsed().as_millis() as u64);
        }
        sleep(ms(5)).await;
    }
    None
}

#[test]
fn a_leader_that_is_cut_off_steps_down() {
    // A silence of two election timeouts, checked once in each period of 600 ms; the first check may come
    // right before that silence is complete.
    const BOUND: u64 = 2_450;
    for seed in 0..SEEDS {
        run(async move {
            let (simulation, leader, _) = start_cluster(seed).await;
            let core = simulation.core(leader).unwrap();
            simulation.cut(leader, true);
            let elapsed_ms = time_until(20_000, || core.borrow().member.role() != Role::Leader).await;
            assert!(
                elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= BOUND),
                "seed {seed}: after {elapsed_ms:?} ms"
            );
            let other = time_until(20_000, || {
                simulation.cores().iter().any(|(replica, core)| *replica != leader && is_leader(core))
            })
            .await;
            assert!(other.is_some_and(|elapsed_ms| elapsed_ms <= BOUND), "seed {seed}: {other:?}");
        });
    }
}

fn marshal() -> Beat {
    let text = br#"{"target":"s","address":"10.1.0.1:80","zone":"a","revision":"v1","capacity":4,"state":"available","callCounter":1}"#;
    Beat::parse(text).unwrap()
}

#[test]
fn a_follower_that_is_cut_off_soon_acknowledges_no_heartbeats() {
    // A follower acknowledges reports while it knows a leader: for two election timeouts without hearing
    // it, checked every 25 ms. (The limit of 2 s since the leader was last heard is a second safeguard.)
    const BOUND: u64 = 1_350;
    for seed in 0..SEEDS {
        run(async move {
            let (simulation, _, follower) = start_cluster(seed).await;
            let core = simulation.core(follower).unwrap();
            let first = Core::heartbeat(&core, "i-1".into(), marshal(), ms(900)).await;
            assert!(matches!(first, Answer::Done(_)), "seed {seed}: {first:?}");
            sleep(ms(500)).await;
            let second = Core::heartbeat(&core, "i-1".into(), marshal(), ms(900)).await;
            assert!(
                matches!(second, Answer::Done(_)),
                "a known marshal was not acknowledged by a follower: {second:?}"
            );
            simulation.cut(follower, true);
            sleep(ms(BOUND)).await;
            let cut = Core::heartbeat(&core, "i-1".into(), marshal(), ms(100)).await;
            assert_eq!(cut, Answer::NotAccepted, "seed {seed}");
        });
    }
}

#[test]
fn edges_learn_that_their_replica_is_cut_off() {
    // 700 ms without hearing the leader, and 200 ms between two heartbeats.
    const BOUND: u64 = 1_000;
    for seed in 0..SEEDS {
        run(async move {
            let (simulation, _, follower) = start_cluster(seed).await;
            let core = simulation.core(follower).unwrap();
            let edge = EdgeStatus {
                id: 9,
                zone: "a".into(),
                region: "north".into(),
                ingress: "10.2.0.9:80".parse().unwrap(),
                ready: true,
                incarnation: 1,
            };
            let (_, mut updates) = core.borrow_mut().attach_edge(edge, 0);
            let mut leader_contacts = Vec::new();
            let started_at = Instant::now();
            let mut cut = None;
            while started_at.elapsed() < ms(6_000) && leader_contacts.last() != Some(&false) {
                if cut.is_none() && started_at.elapsed() > ms(2_000) {
                    simulation.cut(follower, true);
                    cut = Some(Instant::now());
                }
                let Some((_, bytes)) = updates.recv().await else { break };
                if let ToEdge::Heartbeat { leader_contact, .. } =
                    wire::read_frame::<ToEdge>(&mut bytes.as_slice()).await.unwrap()
                {
                    leader_contacts.push(leader_contact);
                }
            }
            let elapsed_ms = cut.expect("the updates ended before the cut").elapsed();
            assert!(
                leader_contacts.contains(&true),
                "seed {seed}: no leader contact was reported before the cut"
            );
            assert!(
                leader_contacts.last() == Some(&false) && elapsed_ms <= ms(BOUND),
                "seed {seed}: after {elapsed_ms:?}"
            );
        });
    }
}

#[test]
fn clients_are_not_sent_to_an_edge_that_is_gone() {
    // An edge is dropped 1.5 s after it was last heard, at each replica that is not cut off; replicas inform each other of
    // edges twice a second.
    const BOUND: u64 = 2_500;
    for seed in 0..SEEDS {
        run(async move {
            let (simulation, leader, follower) = start_cluster(seed).await;
            let edge = |id: u32| EdgeStatus {
                id,
                zone: "a".into(),
                region: "north".into(),
                ingress: format!("10.2.0.{id}:80").parse().unwrap(),
                ready: true,
                incarnation: 1,
            };
            let is_resolved = |replica: u32, id: u32| {
                let core = simulation.core(replica).unwrap();
                let core = core.borrow();
                let resolution = core.resolve("h.example", "north");
                resolution.edges.iter().any(|edge| edge.ip().octets()[3] == id as u8)
            };
            let report = |id: u32| {
                let core = simulation.core(leader).unwrap();
                let core = &mut *core.borrow_mut();
                let now = core.now();
                core.registry.record_edge(now, edge(id), 0);
            };
            for _ in 0..8 {
                report(8);
                report(9);
                sleep(ms(250)).await;
            }
            assert!(is_resolved(leader, 9) && is_resolved(follower, 9), "seed {seed}");
            // Edge 8 keeps reporting; edge 9 is gone.
            for _ in 0..BOUND / 250 {
                report(8);
                sleep(ms(250)).await;
            }
            for replica in [leader, follower] {
                assert!(
                    is_resolved(replica, 8) && !is_resolved(replica, 9),
                    "seed {seed}: replica {replica}"
                );
            }
        });
    }
}

#[test]
fn a_replica_that_is_cut_off_answers_no_read_from_stale_state() {
    for seed in 0..SEEDS {
        run(async move {
            let (simulation, leader, _) = start_cluster(seed).await;
            let body = |revision: u64| format!(r#"{{"revision":{revision},"routing":{{}},"targets":{{}}}}"#);
            let old_leader = simulation.core(leader).unwrap();
            let first = Core::configure(&old_leader, Some(0), body(1).as_bytes(), ms(900)).await.unwrap();
            assert!(matches!(first, Answer::Done(_)));
            simulation.cut(leader, true);
            // Until the others have a leader and a newer version, and beyond: the old leader is asked all
            // the time.
            let other_replica =
                simulation.cores().into_iter().find(|(replica, _)| *replica != leader).unwrap().1;
            let mut acknowledged = false;
            for _ in 0..40 {
                if !acknowledged {
                    let accepted =
                        Core::configure(&other_replica, Some(1), body(2).as_bytes(), ms(100)).await;
                    acknowledged = matches!(accepted, Ok(Answer::Done(_)));
                }
                let read = Core::read_barrier(&old_leader, ms(100)).await;
                let stale = read.is_ok() && old_leader.borrow().view.revision < 2;
                assert!(
                    !(acknowledged && stale),
                    "seed {seed}: an older version was read after a newer one was acknowledged"
                );
            }
            assert!(acknowledged, "seed {seed}: no change was accepted by the other replicas");
            simulation.heal_links();
            let read = read_revision(&old_leader).await;
            assert_eq!(read, 2, "seed {seed}: the replica did not catch up after the cut");
        });
    }
}

/// Reads at a replica until a read is answered. Returns the version.
async fn read_revision(core: &SharedCore) -> u64 {
    for _ in 0..100 {
        if Core::read_barrier(core, ms(900)).await.is_ok() {
            return core.borrow().view.revision;
        }
    }
    panic!("no read was answered");
}

#[test]
fn a_leader_whose_disk_hangs_hands_over() {
    // A write that takes 300 ms counts as hanging; this is checked every 25 ms.
    const BOUND: u64 = 400;
    for seed in 0..SEEDS {
        run(async move {
            let (simulation, leader, _) = start_cluster(seed).await;
            let core = simulation.core(leader).unwrap();
            simulation.stall_disk(leader, ms(6_000), false);
            let proposing_core = std::rc::Rc::clone(&core);
            let body = br#"{"revision":1,"routing":{},"targets":{}}"#;
            assert!(Configuration::parse(body).is_ok());
            tokio::task::spawn_local(async move {
                let _ = Core::configure(&proposing_core, Some(0), body, ms(900)).await;
                // The next leader may have the entry or not.
            });
            let elapsed_ms = time_until(20_000, || core.borrow().member.role() != Role::Leader).await;
            assert!(
                elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= BOUND),
                "seed {seed}: after {elapsed_ms:?} ms"
            );
        });
    }
}
