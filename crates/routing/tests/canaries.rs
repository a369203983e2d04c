//! Selection of the marshals that serve a version on trial.

mod common;

use common::{body, edge, node, route_request, view, ZONES};
use milletwing_replicated_state::{Command, Phase, View};
use milletwing_routing::canary::Canaries;
use milletwing_routing::marshal::{Marshal, Proximity};
use milletwing_routing::{AttemptOutcome, Router};
use std::collections::{BTreeMap, BTreeSet};

const MARSHALS: usize = 12;

/// A service with a version on trial at its second stage, all of whose marshals are warm.
fn view_with_trial() -> View {
    let mut view = view(MARSHALS);
    view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 15_000 });
    for at in 0..MARSHALS {
        view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
    }
    view.apply(200, &Command::Stage { service: "s".into(), number: view.rollouts["s"].number, stage: 1 });
    view
}

/// The zone and region of a marshal.
fn location_of(id: &str) -> (&'static str, &'static str) {
    ZONES[id.rsplit('-').next().unwrap().parse::<usize>().unwrap() % ZONES.len()]
}

/// Guards against a trial without load: a version that fails only under load then has clean
/// evidence and is rolled out. All edges must send to the same few marshals in the regions where
/// the request may be served, and to none whose outcomes do not count as evidence yet.
#[test]
fn trial_traffic_is_concentrated_on_few_canaries() {
    let view = view_with_trial();
    let mut edges: Vec<Router> = (0..9).map(|id| edge(id, &view, 9, 1)).collect();
    let mut canaries: BTreeMap<&str, BTreeMap<String, u32>> = BTreeMap::new();
    let mut before_evidence = 0;
    for now in 1..12_000 {
        for (at, router) in edges.iter_mut().enumerate().filter(|(at, _)| now % 100 == 11 * *at as u64) {
            router.core_heard(now);
            let path = if now % 200 < 100 { "/order/x" } else { "/look/x" };
            let mut request = route_request(router, now, path);
            let Ok(attempt) = router.start_attempt(now, &mut request) else {
                panic!("edge {at}: no marshal, although the earlier version is available")
            };
            if attempt.id.starts_with("i-v22") {
                before_evidence += u32::from(now < 3_000);
                *canaries.entry(path).or_default().entry(attempt.id.to_string()).or_default() += 1;
            }
            router.finish_attempt(now + 20, &mut request, &attempt, AttemptOutcome::Served, None);
        }
    }
    assert_eq!(before_evidence, 0, "requests went to marshals whose outcomes do not count yet");
    for (path, marshals) in &canaries {
        assert!(marshals.len() == 1 && marshals.values().all(|count| *count > 20), "{path}: {marshals:?}");
    }
    let order_canary = canaries["/order/x"].keys().next().unwrap();
    assert_eq!(location_of(order_canary).1, "north", "orders may be served only in the region north");
}

/// Canaries are loaded to half of their capacity where that exceeds their even share of the
/// traffic, and never get less than that share.
#[test]
fn canary_count_follows_expected_load() {
    let mut marshals: Vec<Marshal> = (0..24)
        .map(|at| {
            Marshal::new(
                &node(at, if at < 12 { "v1" } else { "v22" }, Phase::Warm),
                "north",
                Proximity::SameZone,
                0,
            )
        })
        .collect();
    for (at, marshal) in marshals.iter_mut().enumerate() {
        (marshal.eligible, marshal.on_trial) = (true, at >= 12);
    }
    let count = |share: f64, load: f64| {
        let listed: Vec<(u64, &Marshal)> = (0..).zip(&marshals).collect();
        Canaries::choose(listed.iter().map(|(key, marshal)| (key, *marshal)), share, load)
            .select(|_| true)
            .len()
    };
    // The 24 marshals work at a fraction `load` of their capacity. The new version's share of that
    // work is spread over canaries that each use half of their capacity.
    assert_eq!([count(0.225, 0.0), count(0.225, 0.1), count(0.45, 0.1), count(0.45, 0.2)], [1, 2, 3, 5]);
    assert_eq!(
        count(0.225, 0.9),
        3,
        "the share of the new version's marshals equals its share of the traffic"
    );
}

/// Guards against taking network distance for a fault of the version: where the way to a canary
/// takes much of the target latency, an edge uses a near one.
#[test]
fn canaries_are_near_enough_for_the_target_latency() {
    for (target, regions) in [("0.3", 1), ("0.15", 2)] {
        let mut view = view_with_trial();
        let configuration = String::from_utf8(body(2))
            .unwrap()
            .replace(r#""targetS":0.3"#, &format!(r#""targetS":{target}"#));
        let command = view.configure_command(2, configuration.as_bytes()).unwrap();
        view.apply(201, &command);
        let mut regions_used = BTreeSet::new();
        for id in 0..9 {
            let mut router = edge(id, &view, 9, 1);
            for now in 3_000..8_000 {
                router.core_heard(now);
                let mut request = route_request(&mut router, now, "/look/x");
                let attempt = router.start_attempt(now, &mut request).unwrap();
                if attempt.id.starts_with("i-v22") {
                    regions_used.insert(location_of(&attempt.id).1);
                }
                router.finish_attempt(now, &mut request, &attempt, AttemptOutcome::Cancelled, None);
            }
        }
        assert_eq!(regions_used.len(), regions, "target latency {target} s: {regions_used:?}");
    }
}
