//! Which marshals bear a version on trial.

mod common;

use common::{arrive, body, edge, node, view, ZONES};
use milletwing_replicated_state::{Command, Phase, View};
use milletwing_routing::canary::Canaries;
use milletwing_routing::marshal::{Marshal, Reach};
use milletwing_routing::{AttemptOutcome, Router};
use std::collections::{BTreeMap, BTreeSet};

const MARSHALS: usize = 12;

/// A service with a version on trial at its second stage, all of whose marshals are warm.
fn on_trial() -> View {
    let mut view = view(MARSHALS);
    view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 15_000 });
    for at in 0..MARSHALS {
        view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
    }
    view.apply(200, &Command::Stage { service: "s".into(), number: view.rollouts["s"].number, stage: 1 });
    view
}

/// The zone and region of a marshal.
fn place(id: &str) -> (&'static str, &'static str) {
    ZONES[id.rsplit('-').next().unwrap().parse::<usize>().unwrap() % ZONES.len()]
}

/// Guards against a trial that loads nothing: a version that fails under load only had clean evidence, and was completed
/// (EXPOSURE). All edges send to the same few marshals, of the request's homes; and to none whose answers are no evidence yet.
#[test]
fn a_version_on_trial_is_tried_under_load() {
    let view = on_trial();
    let mut edges: Vec<Router> = (0..9).map(|id| edge(id, &view, 9, 1)).collect();
    let mut tried: BTreeMap<&str, BTreeMap<String, u32>> = BTreeMap::new();
    let mut early = 0;
    for now in 1..12_000 {
        for (at, router) in edges.iter_mut().enumerate().filter(|(at, _)| now % 100 == 11 * *at as u64) {
            router.core_heard(now);
            let path = if now % 200 < 100 { "/order/x" } else { "/look/x" };
            let mut ticket = arrive(router, now, path);
            let Ok(sending) = router.start_attempt(now, &mut ticket) else {
                panic!("{at}: the earlier version serves")
            };
            if sending.id.starts_with("i-v22") {
                early += u32::from(now < 3_000);
                *tried.entry(path).or_default().entry(sending.id.to_string()).or_default() += 1;
            }
            router.finish_attempt(now + 20, &mut ticket, &sending, AttemptOutcome::Served, None);
        }
    }
    assert_eq!(early, 0, "shown to marshals that give no evidence");
    for (path, marshals) in &tried {
        assert!(marshals.len() == 1 && marshals.values().all(|count| *count > 20), "{path}: {marshals:?}");
    }
    let order = tried["/order/x"].keys().next().unwrap();
    assert_eq!(place(order).1, "north", "orders have their homes there");
}

/// A canary bears half of its capacity where that is more than its even part, and never less than the even part.
#[test]
fn as_many_canaries_bear_a_version_as_its_load_needs() {
    let mut marshals: Vec<Marshal> = (0..24)
        .map(|at| {
            Marshal::new(&node(at, if at < 12 { "v1" } else { "v22" }, Phase::Warm), "north", Reach::Zone, 0)
        })
        .collect();
    for (at, marshal) in marshals.iter_mut().enumerate() {
        (marshal.open, marshal.new) = (true, at >= 12);
    }
    let count = |part: f64, load: f64| {
        let listed: Vec<(u64, &Marshal)> = (0..).zip(&marshals).collect();
        Canaries::choose(listed.iter().map(|(key, marshal)| (key, *marshal)), part, load).of(|_| true).len()
    };
    // 24 marshals work at a part of their capacity; the new version's part of that, at half of a canary's.
    assert_eq!([count(0.225, 0.0), count(0.225, 0.1), count(0.45, 0.1), count(0.45, 0.2)], [1, 2, 3, 5]);
    assert_eq!(
        count(0.225, 0.9),
        3,
        "a part of the new version's marshals as large as its part of the traffic"
    );
}

/// Guards against taking distance for a fault: where the way to a canary takes much of a request's aim, an edge uses one that is near.
#[test]
fn a_canary_is_near_enough_for_the_aim_of_a_request() {
    for (aim, regions) in [("0.3", 1), ("0.15", 2)] {
        let mut view = on_trial();
        let hasty =
            String::from_utf8(body(2)).unwrap().replace(r#""targetS":0.3"#, &format!(r#""targetS":{aim}"#));
        let command = view.configure_command(2, hasty.as_bytes()).unwrap();
        view.apply(201, &command);
        let mut found = BTreeSet::new();
        for id in 0..9 {
            let mut router = edge(id, &view, 9, 1);
            for now in 3_000..8_000 {
                router.core_heard(now);
                let mut ticket = arrive(&mut router, now, "/look/x");
                let sending = router.start_attempt(now, &mut ticket).unwrap();
                if sending.id.starts_with("i-v22") {
                    found.insert(place(&sending.id).1);
                }
                router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::Cancelled, None);
            }
        }
        assert_eq!(found.len(), regions, "aim {aim}: {found:?}");
    }
}
