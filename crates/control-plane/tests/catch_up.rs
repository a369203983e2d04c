//! How long a replica that was away takes until it serves the newest state again, in simulated time: links
//! of 1 to 15 ms, writes of 2 to 14 ms. The measurement is printed by `cargo test -p
//! milletwing-control-plane --test catch_up -- --ignored --nocapture`.
#![allow(dead_code)] // the simulation is shared with the random histories

#[path = "control/simulation.rs"]
mod simulation;

use milletwing_control_plane::core::Core;
use milletwing_wire::Answer;
use simulation::{ms, run, SharedSimulation, Simulation};
use std::fmt::Write;
use tokio::time::{sleep, Instant};

/// A configuration with this number of routes; one of them differs with each revision.
fn body(revision: u64, routes: u64) -> Vec<u8> {
    let mut routing = String::new();
    for route in 0..routes {
        let guard = if route == revision % routes { 6 } else { 5 };
        let comma = if route > 0 { "," } else { "" };
        write!(
            routing,
            r#"{comma}"r-{route}":{{"domain":"h{route}.example","pathPrefix":"/a{route}/","trafficClass":"idempotent","guardS":{guard},"targetS":0.3,
            "target":"s","maxTries":2}}"#
        )
        .unwrap();
    }
    format!(r#"{{"revision":{revision},"routing":{{{routing}}},"targets":{{"s":{{"maxSessions":110}}}},"thresholds":{{}}}}"#)
        .into_bytes()
}

async fn change(simulation: &SharedSimulation, revision: u64, routes: u64) {
    let body = body(revision, routes);
    for replica in (1..=2).cycle().take(50) {
        let core = simulation.core(replica).unwrap();
        let answer = Core::configure(&core, Some(revision - 1), &body, ms(2_500)).await;
        if matches!(answer, Ok(Answer::Done(_))) {
            return;
        }
    }
    panic!("revision {revision} was not accepted");
}

async fn measure(changes: u64, routes: u64) -> (u64, u64) {
    let simulation = Simulation::new(1);
    (1..=3).for_each(|replica| simulation.start(replica));
    sleep(ms(2_000)).await;
    change(&simulation, 1, routes).await;
    sleep(ms(1_000)).await;
    simulation.kill(3, false);
    for revision in 2..2 + changes {
        change(&simulation, revision, routes).await;
    }
    let started_at = Instant::now();
    simulation.start(3);
    let newest = 1 + changes;
    while simulation.core(3).is_none_or(|core| core.borrow().view.revision < newest) {
        sleep(ms(5)).await;
        assert!(started_at.elapsed() < ms(120_000), "the replica never catches up");
    }
    let state = simulation.core(3).map_or(0, |core| core.borrow().view.to_compressed().len());
    (started_at.elapsed().as_millis() as u64, state as u64)
}

#[test]
#[ignore = "a measurement"]
fn time_to_catch_up() {
    for (changes, routes) in [(100, 10), (1_000, 10), (10_000, 10), (100, 5_200)] {
        let (time, state) = run(measure(changes, routes));
        println!("{changes} changes, {routes} routes: {time} ms, a state of {state} bytes");
    }
}

#[test]
fn a_replica_that_missed_two_hundred_changes_serves_the_newest() {
    let (time, _) = run(measure(200, 10));
    // Less than the two election timeouts after which the leader sends entries again unasked.
    assert!(time < 600, "{time} ms of simulated time");
}
