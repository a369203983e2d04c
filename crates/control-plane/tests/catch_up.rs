//! How long a core machine that was away takes until it serves the newest state again, in simulated time: links of 1 to 15 ms, writes
//! of 2 to 14 ms. A measurement, printed: `cargo test -p milletwing-control-plane --test catch_up -- --ignored --nocapture`.
#![allow(dead_code)] // the machines are those of the drawn histories

#[path = "control/machines.rs"]
mod machines;

use machines::{ms, Net, World};
use milletwing_control_plane::core::Core;
use milletwing_wire::Answer;
use std::fmt::Write;
use tokio::time::{sleep, Instant};

/// A configuration of so many routes; one of them differs with each number.
fn body(revision: u64, routes: u64) -> Vec<u8> {
    let mut routing = String::new();
    for at in 0..routes {
        let guard = if at == revision % routes { 6 } else { 5 };
        let comma = if at > 0 { "," } else { "" };
        write!(
            routing,
            r#"{comma}"r-{at}":{{"domain":"h{at}.example","pathPrefix":"/a{at}/","trafficClass":"idempotent","guardS":{guard},"targetS":0.3,
            "target":"s","maxTries":2}}"#
        )
        .unwrap();
    }
    format!(r#"{{"revision":{revision},"routing":{{{routing}}},"targets":{{"s":{{"maxSessions":110}}}},"thresholds":{{}}}}"#)
        .into_bytes()
}

async fn change(net: &Net, revision: u64, routes: u64) {
    let body = body(revision, routes);
    for at in (1..=2).cycle().take(50) {
        let core = net.core(at).unwrap();
        let answer = Core::configure(&core, Some(revision - 1), &body, ms(2_500)).await;
        if matches!(answer, Ok(Answer::Done(_))) {
            return;
        }
    }
    panic!("revision {revision} is not taken");
}

async fn measure(changes: u64, routes: u64) -> (u64, u64) {
    let net = World::new(1);
    (1..=3).for_each(|at| net.start(at));
    sleep(ms(2_000)).await;
    change(&net, 1, routes).await;
    sleep(ms(1_000)).await;
    net.kill(3, false);
    for revision in 2..2 + changes {
        change(&net, revision, routes).await;
    }
    let begun = Instant::now();
    net.start(3);
    let newest = 1 + changes;
    while net.core(3).is_none_or(|core| core.borrow().view.revision < newest) {
        sleep(ms(5)).await;
        assert!(begun.elapsed() < ms(120_000), "it never catches up");
    }
    let state = net.core(3).map_or(0, |core| core.borrow().view.to_compressed().len());
    (begun.elapsed().as_millis() as u64, state as u64)
}

#[test]
#[ignore = "a measurement"]
fn time_to_catch_up() {
    for (changes, routes) in [(100, 10), (1_000, 10), (10_000, 10), (100, 5_200)] {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        let (time, state) = tokio::task::LocalSet::new().block_on(&runtime, measure(changes, routes));
        println!("{changes} changes, {routes} routes: {time} ms, a state of {state} bytes");
    }
}

#[test]
fn one_that_was_away_for_two_hundred_changes_serves_the_newest() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    let (time, _) = tokio::task::LocalSet::new().block_on(&runtime, measure(200, 10));
    // Less than the two election times after which entries are sent again unasked.
    assert!(time < 600, "{time} ms of simulated time");
}
