//! Routing decisions of many edges under random load, checked against the guarantees.

mod common;

use common::{edge, node, route_request, view};
use milletwing_config::settings::Guarantees;
use milletwing_config::ErrorKind;
use milletwing_outlier_detection::host_key;
use milletwing_replicated_state::{Command, Node, Phase};
use milletwing_routing::marshal::Load;
use milletwing_routing::{Attempt, AttemptOutcome, Location, RequestHead, RoutedRequest, Router, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn longest_matching_prefix_selects_the_route() {
    let mut router = edge(1, &view(4), 1, 1);
    assert_eq!(route_request(&mut router, 1, "/look/x").route.name, "look");
    assert_eq!(route_request(&mut router, 1, "/look/deep/x").route.name, "deep");
    assert_eq!(
        router
            .route_request(
                1,
                RequestHead { host: "H.example:80", path: "/look/x", remaining_ms: None, api_key: None }
            )
            .unwrap()
            .route
            .name,
        "look"
    );
    for (host, path) in [("h.example", "/other/"), ("h.example", "/look"), ("g.example", "/look/x")] {
        assert_eq!(
            router
                .route_request(1, RequestHead { host, path, remaining_ms: None, api_key: None })
                .unwrap_err(),
            ErrorKind::NoRoute,
            "{host}{path}"
        );
    }
    let mut fresh = Router::new(
        Location { id: 1, zone: "a".into(), region: "north".into(), zone_regions: BTreeMap::new() },
        Guarantees::default(),
        1,
    );
    assert_eq!(
        fresh
            .route_request(
                1,
                RequestHead { host: "h.example", path: "/other/", remaining_ms: None, api_key: None }
            )
            .unwrap_err(),
        ErrorKind::NotConfigured,
        "404 requires a configuration"
    );
}

/// Guards against running a request twice. Whatever the outcomes of its attempts, a request that is
/// not retry-safe is sent again only after proof that it has not run, and never beyond its
/// attempts, its regions or its time.
#[test]
fn non_retry_safe_requests_are_resent_only_if_not_run() {
    let outcomes = [
        AttemptOutcome::Served,
        AttemptOutcome::Failed,
        AttemptOutcome::Rejected,
        AttemptOutcome::WrongInstance,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::NotSent,
        AttemptOutcome::ConnectionBroken,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Cancelled,
    ];
    for seed in 0..3_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut router = edge(seed as u32 % 7, &view(12), 1, 1);
        (0..200).for_each(|_| drop(route_request(&mut router, 1, "/look/x")));
        let path = if seed % 2 == 0 { "/order/x" } else { "/look/x" };
        let (mut now, mut request) = (2, route_request(&mut router, 2, path));
        let (mut may_have_run, mut arrivals, mut seen) = (0, 0, BTreeSet::new());
        while let Ok(attempt) = router.start_attempt(now, &mut request) {
            assert!(
                seen.insert(attempt.id.clone()) || request.route.class.is_retry_safe() || may_have_run == 0
            );
            let at: usize = attempt.id.rsplit('-').next().unwrap().parse().unwrap();
            assert!(path != "/order/x" || at % 4 < 2, "{} is outside the route's regions", attempt.id);
            let outcome = outcomes[rng.random_range(0..outcomes.len())];
            now += rng.random_range(1..100);
            arrivals +=
                u32::from(!matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent));
            may_have_run += u32::from(matches!(
                outcome,
                AttemptOutcome::Served
                    | AttemptOutcome::Failed
                    | AttemptOutcome::ConnectionBroken
                    | AttemptOutcome::TimedOut
                    | AttemptOutcome::Cancelled
            ));
            router.finish_attempt(now, &mut request, &attempt, outcome, None);
            if !router.may_retry(now, &request, outcome) {
                break;
            }
            assert!(path != "/order/x" || may_have_run == 0, "sent again after {outcome:?}");
        }
        assert!(arrivals <= request.route.max_attempts);
        assert!(now < 1_000);
    }
}

/// Under load, requests of high priority still find capacity when others are refused, and a refusal
/// is immediate and reports that the request did not run.
#[test]
fn capacity_is_reserved_for_high_priority_requests() {
    let mut router = edge(1, &view(2), 1, 1);
    let mut count = |path: &str| {
        let accepted = |_: &u32| {
            let mut request = route_request(&mut router, 1, path);
            match router.start_attempt(1, &mut request) {
                Ok(_) => true,
                Err(kind) => {
                    assert_eq!(
                        (kind.clone(), kind.response().status, kind.response().not_executed),
                        (ErrorKind::AtCapacity, 503, true)
                    );
                    false
                }
            }
        };
        (0..1_000u32).take_while(accepted).count()
    };
    let (lookups, orders) = (count("/look/x"), count("/order/x"));
    assert!(lookups >= 2 * 6 * 2 && orders > 0, "{lookups} look-ups, then {orders} orders");
    assert_eq!(count("/look/x"), 0);
}

/// Draining marshals, evacuated zones and other versions get no requests as soon as the change has
/// been applied.
#[test]
fn ineligible_marshals_get_no_requests() {
    let mut view = view(12);
    view.apply(100, &Command::NodeDrains { id: "i-v1-0".into() });
    view.apply(101, &Command::Evacuate { zone: "b".into(), on: true, sure: false, deals: Vec::new() });
    view.apply(102, &Command::NodeUp(node(3, "v2", Phase::Warm)));
    view.apply(103, &Command::NodeCold { id: "i-v1-2".into(), deal: Vec::new() });
    for id in 0..8 {
        let mut router = edge(id, &view, 8, 1);
        for now in 1..2_000 {
            let mut request =
                route_request(&mut router, now, if now % 3 == 0 { "/order/x" } else { "/look/x" });
            let Ok(attempt) = router.start_attempt(now, &mut request) else { continue };
            let closed = ["i-v1-0", "i-v1-1", "i-v1-5", "i-v1-9", "i-v2-3", "i-v1-2"];
            assert!(!closed.contains(&attempt.id.as_ref()), "{} got a request", attempt.id);
            router.finish_attempt(
                now,
                &mut request,
                &attempt,
                AttemptOutcome::Served,
                Some(Load { running: 1, waiting: 0 }),
            );
        }
    }
}

/// The limit of a cold marshal holds over all edges in any second, even for edges without contact
/// to the control plane.
#[test]
fn cold_marshal_limit_holds_over_all_edges() {
    let mut view = view(0); // the cold marshal is the only one, so all load goes to it
    let limits: Vec<(u32, u32)> = (0..3).map(|id| (id, if id < 2 { 9 } else { 8 })).collect();
    view.apply(100, &Command::NodeUp(Node { phase: Phase::Cold(limits), ..node(4, "v1", Phase::Warm) }));
    let mut edges: Vec<Router> = (0..9).map(|id| edge(id, &view, 9, 1)).collect();
    let mut sent: Vec<Time> = Vec::new();
    for now in 1..8_000 {
        for router in &mut edges {
            let mut request = route_request(router, now, "/look/x");
            let Ok(attempt) = router.start_attempt(now, &mut request) else { continue };
            if attempt.id.as_ref() == "i-v1-4" {
                sent.push(now);
            }
            router.finish_attempt(now, &mut request, &attempt, AttemptOutcome::Served, None);
        }
    }
    let max_in_a_second =
        sent.iter().map(|from| sent.iter().filter(|at| (*from..from + 1_000).contains(*at)).count()).max();
    assert_eq!(max_in_a_second, Some(26), "the limits of all edges are used, and not exceeded");
}

/// Guards against retry storms: the retries of all edges stay within the budget in any window, when
/// every attempt fails and clients return at once.
#[test]
fn retries_of_all_edges_stay_within_the_budget() {
    let bounds = Guarantees::default();
    for count in [1u32, 8, 40] {
        let view = view(16);
        let mut edges: Vec<Router> = (0..count).map(|id| edge(id, &view, count, 1)).collect();
        let mut rng = Pcg64Mcg::seed_from_u64(u64::from(count));
        let (mut requests_at, mut retries): (Vec<Time>, Vec<Time>) = (Vec::new(), Vec::new());
        for now in (1..30_000).step_by(10) {
            // Low load, a burst, low load: the budget earned in the burst must not last.
            let rate = if (10_000..15_000).contains(&now) { 1.0 } else { 0.1 };
            for router in &mut edges {
                router.core_heard(now);
                if !rng.random_bool(rate) {
                    continue;
                }
                requests_at.push(now);
                let mut request = route_request(router, now, "/look/x");
                let mut attempts = 0;
                while let Ok(attempt) = router.start_attempt(now, &mut request) {
                    attempts += 1;
                    router.finish_attempt(
                        now,
                        &mut request,
                        &attempt,
                        AttemptOutcome::ConnectionBroken,
                        None,
                    );
                    if !router.may_retry(now, &request, AttemptOutcome::ConnectionBroken) {
                        break;
                    }
                }
                retries.extend((1..attempts).map(|_| now));
            }
        }
        let window = (bounds.retryWindowS * 1000.0) as Time;
        let within = |list: &[Time], from: Time| {
            list.partition_point(|at| *at < from + window) - list.partition_point(|at| *at < from)
        };
        for from in (0..20_000).step_by(50) {
            let (retried, requests) = (within(&retries, from), within(&requests_at, from));
            assert!(
                retried as f64 <= bounds.retryBudgetRatio * requests as f64 + bounds.retrySlack,
                "{count} edges: {retried} retries for {requests} requests from {from}"
            );
        }
        assert!(!retries.is_empty(), "{count} edges made no retries");
    }
}

/// An unreachable marshal is checked by one request at a time, and only by retry-safe ones.
#[test]
fn unreachable_marshal_is_checked_by_retry_safe_requests() {
    let mut router = edge(1, &view(1), 1, 1);
    let (mut checks, mut first) = (Vec::new(), true);
    for now in 1..20_000 {
        let order = now % 2 == 0;
        let mut request = route_request(&mut router, now, if order { "/order/x" } else { "/look/x" });
        match router.start_attempt(now, &mut request) {
            Ok(attempt) => {
                assert!(first || !order, "an order went to an unreachable marshal");
                // While a check is in flight, no other request is sent.
                let mut second = route_request(&mut router, now, "/look/x");
                assert!(
                    first || router.start_attempt(now, &mut second).is_err(),
                    "two checks in flight at once"
                );
                router.finish_attempt(now, &mut request, &attempt, AttemptOutcome::ConnectFailed, None);
                checks.push(now);
                first = false;
            }
            Err(kind) => assert_eq!(kind, ErrorKind::NoReachableMarshal),
        }
    }
    let pauses: Vec<Time> = checks.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.iter().all(|pause| (400..=3_300).contains(pause)) && pauses.len() < 12, "{pauses:?}");
}

/// The traffic of a version on trial stays within the exposure cap. The first stage takes only
/// retry-safe requests, nothing more is sent after contact to the control plane is lost, and
/// retries go to the earlier version.
#[test]
fn trial_traffic_stays_within_the_exposure_cap() {
    let mut view = view(12);
    view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 15_000 });
    for at in 0..12 {
        view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
    }
    let mut edges: Vec<Router> = (0..9).map(|id| edge(id, &view, 9, 1)).collect();
    let (mut all, mut exposed, mut exposed_late) = (0.0, 0.0, 0);
    for now in 1..12_000 {
        for (at, router) in edges.iter_mut().enumerate() {
            if now % 10 != at as u64 {
                continue;
            }
            if now < 8_000 {
                router.core_heard(now);
            }
            // Without contact, the edge relies on the marshals' health answers.
            for probe in router.due_probes(now, 8) {
                router.record_probe_result(now, &probe, Some(true));
            }
            let order = now % 20 < 10;
            let mut request = route_request(router, now, if order { "/order/x" } else { "/look/x" });
            all += 1.0;
            let Ok(attempt) = router.start_attempt(now, &mut request) else {
                panic!("no marshal, although the earlier version is available")
            };
            let on_trial = attempt.id.starts_with("i-v22");
            assert!(!(on_trial && order), "an order went to the version on trial in its first stage");
            exposed += f64::from(u8::from(on_trial));
            exposed_late += u32::from(on_trial && now >= 10_001);
            if on_trial && now % 3 == 0 {
                router.finish_attempt(now, &mut request, &attempt, AttemptOutcome::ConnectionBroken, None);
                if let Ok(second) = router.start_attempt(now, &mut request) {
                    assert!(second.id.starts_with("i-v1"), "a retry went to the version on trial");
                }
            } else {
                router.finish_attempt(now, &mut request, &attempt, AttemptOutcome::Served, None);
            }
        }
    }
    let bounds = Guarantees::default();
    assert!(
        exposed > 50.0 && exposed <= bounds.exposureShare * all + bounds.exposureSlack,
        "{exposed} of {all} requests went to the version on trial"
    );
    assert_eq!(exposed_late, 0, "exposed more than two seconds after the last contact");
    let report = &edges[0].trial_reports(12_000)[0];
    assert!(report.sums[0][1].n > 0.0 && report.sums[1][1].n == 0.0);
}

/// Guards against a slow version whose responses come after the decision, or never because another
/// attempt was faster: its time-outs count when they happen, and only once.
#[test]
fn time_outs_count_against_a_slow_version_once() {
    let mut view = view(4);
    view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 15_000 });
    for at in 0..4 {
        view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
    }
    let mut router = edge(1, &view, 1, 1);
    let mut in_flight = Vec::new();
    for now in 4_000..6_000 {
        router.core_heard(now);
        let mut request = route_request(&mut router, now, "/look/x");
        let attempt = router.start_attempt(now, &mut request).unwrap();
        if attempt.id.starts_with("i-v22") {
            in_flight.push((request, attempt));
        } else {
            router.finish_attempt(now, &mut request, &attempt, AttemptOutcome::Served, None);
        }
    }
    assert!(in_flight.len() > 30, "{}", in_flight.len());
    let time_outs = |now: Time, router: &mut Router| {
        (router.trial_reports(now)[0].sums[0][1].n, router.trial_reports(now)[0].sums[0][1].y)
    };
    // Beyond the target latency all of them count, though none has ended.
    let all = in_flight.len() as f64;
    assert_eq!(time_outs(6_300, &mut router), (all, all));
    // Whatever the outcome, each counts once.
    for (at, (mut request, attempt)) in in_flight.into_iter().enumerate() {
        match at % 3 {
            0 => router.cancel_attempt(6_400, &attempt),
            1 => drop(router.finish_attempt(6_400, &mut request, &attempt, AttemptOutcome::Served, None)),
            _ => drop(router.finish_attempt(6_400, &mut request, &attempt, AttemptOutcome::TimedOut, None)),
        }
    }
    assert_eq!(time_outs(6_500, &mut router), (all, all));
    // An attempt beyond the hedge delay counts at once; a client that disconnects early is no
    // evidence.
    let mut count = 0;
    for now in 7_000..9_000 {
        router.core_heard(now);
        let mut request = route_request(&mut router, now, "/look/x");
        let attempt = router.start_attempt(now, &mut request).unwrap();
        if attempt.id.starts_with("i-v22") {
            if now % 2 == 0 {
                router.record_timeout(now, &attempt);
                count += 1;
            }
            router.cancel_attempt(now, &attempt);
        } else {
            router.finish_attempt(now, &mut request, &attempt, AttemptOutcome::Served, None);
        }
    }
    assert!(count > 0);
    assert_eq!(time_outs(9_000, &mut router), (all + f64::from(count), all + f64::from(count)));
}

/// An edge that sends to a marshal only rarely uses the loads reported to other edges while they
/// are fresh.
#[test]
fn shared_loads_guide_edges_without_own_reports() {
    let view = view(12);
    let mut router = edge(1, &view, 1, 1);
    let idle = [2, 9];
    let loads: Vec<(u32, u16)> = (0..12)
        .map(|at| (host_key(&format!("i-v1-{at}")), if idle.contains(&at) { 1 } else { 30 }))
        .collect();
    let mut sent = |now: Time, report: bool| -> BTreeMap<usize, u32> {
        let mut sent = BTreeMap::new();
        router.core_heard(now);
        for _ in 0..200 {
            if report {
                router.apply_shared_loads(now, &loads, 0);
            }
            let mut request = route_request(&mut router, now, "/look/x");
            let attempt = router.start_attempt(now, &mut request).unwrap();
            *sent.entry(attempt.id.rsplit('-').next().unwrap().parse().unwrap()).or_default() += 1;
            router.finish_attempt(now, &mut request, &attempt, AttemptOutcome::Cancelled, None);
        }
        sent
    };
    assert!(sent(1_000, true).keys().all(|at| idle.contains(at)), "all others are full");
    let later = sent(20_000, false);
    assert!(later.keys().any(|at| !idle.contains(at)), "old load reports exclude no marshal: {later:?}");
    // The edge reports its own observations once.
    router.core_heard(30_000);
    let mut request = route_request(&mut router, 30_000, "/look/x");
    let attempt = router.start_attempt(30_000, &mut request).unwrap();
    router.finish_attempt(
        30_020,
        &mut request,
        &attempt,
        AttemptOutcome::Served,
        Some(Load { running: 4, waiting: 2 }),
    );
    let observations = router.take_observations(100);
    let observation =
        observations.iter().find(|observation| observation.host == host_key(&attempt.id)).unwrap();
    assert_eq!(
        (observation.answered, observation.failed, observation.unreachable, observation.load),
        (1, 0, 0, Some(5)),
        "the reported load excludes the request itself"
    );
    assert!(router.take_observations(100).is_empty());
}

/// Guards against judging a version by a lost zone: half of the new version's marshals, and none of
/// the earlier version's, stand in the lost zone. Attempts that end there without an answer are no
/// evidence. A marshal that hangs while its host accepts connections does count.
#[test]
fn zone_outage_is_no_evidence_against_a_version() {
    for hangs in [false, true] {
        let mut view = view(12);
        view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 15_000 });
        for at in 0..12 {
            view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
        }
        let mut router = edge(1, &view, 1, 1);
        let in_lost_zone = |id: &str| {
            id.starts_with("i-v22-") && id.rsplit('-').next().unwrap().parse::<u32>().unwrap() % 4 < 2
        };
        let mut in_flight: Vec<(Time, RoutedRequest, Attempt, AttemptOutcome)> = Vec::new();
        for now in 4_000..12_000 {
            router.core_heard(now);
            in_flight.sort_by_key(|(due, ..)| std::cmp::Reverse(*due));
            while in_flight.last().is_some_and(|(due, ..)| *due <= now) {
                let (_, mut request, attempt, outcome) = in_flight.pop().unwrap();
                router.finish_attempt(now, &mut request, &attempt, outcome, None);
            }
            if now % 100 == 0 {
                router.trial_reports(now); // time-outs count as they happen
            }
            let mut request = route_request(&mut router, now, "/look/x");
            let Ok(attempt) = router.start_attempt(now, &mut request) else { continue };
            let (due, outcome) = match (now >= 9_000 && in_lost_zone(&attempt.id), hangs) {
                (false, _) => (now + 40, AttemptOutcome::Served),
                // On an open connection: 0.7 s without a sign that bytes arrive. On a new one the
                // connection fails.
                (true, false) if now % 2 == 0 => (now + 700, AttemptOutcome::ConnectionBroken),
                (true, false) => (now + 350, AttemptOutcome::ConnectFailed),
                (true, true) => (now + 2_000, AttemptOutcome::TimedOut),
            };
            in_flight.push((due, request, attempt, outcome));
        }
        in_flight.sort_by_key(|(due, ..)| *due);
        for (due, mut request, attempt, outcome) in in_flight {
            router.finish_attempt(due, &mut request, &attempt, outcome, None);
        }
        let report = &router.trial_reports(15_000)[0];
        let [old, new] = report.sums[0];
        assert!(
            new.n > 100.0 && old.y == 0.0,
            "{} outcomes of the new version, {} bad ones of the earlier version",
            new.n,
            old.y
        );
        assert_eq!(new.y > 20.0, hangs, "{} bad of {} outcomes", new.y, new.n);
    }
}

#[test]
fn traffic_distribution_follows_the_shares() {
    const REQUESTS: usize = 10_000;
    for shares in
        [vec![("s", 90), ("t", 10)], vec![("s", 50), ("t", 30), ("u", 20)], vec![("s", 0), ("t", 1)]]
    {
        let targets: Vec<String> =
            shares.iter().map(|(name, share)| format!(r#"{{"target":"{name}","share":{share}}}"#)).collect();
        let body = format!(
            r#"{{"revision":2,"routing":{{"look":{{"domain":"h.example","pathPrefix":"/look/","trafficClass":"idempotent","guardS":5,
            "targetS":0.3,"distribution":[{}],"maxTries":2}}}},"targets":{{"s":{{}},"t":{{}},"u":{{}}}},"thresholds":{{}}}}"#,
            targets.join(",")
        );
        let mut view = view(4);
        let command = view.configure_command(2, body.as_bytes()).unwrap();
        view.apply(view.index + 1, &command);
        let mut router = edge(1, &view, 1, 1);
        let mut counts = std::collections::BTreeMap::<String, usize>::new();
        for _ in 0..REQUESTS {
            let request = route_request(&mut router, 1, "/look/x");
            *counts.entry(request.service.to_string()).or_default() += 1;
        }
        let total: usize = shares.iter().map(|(_, share)| share).sum();
        for (name, share) in shares {
            let measured = counts.get(name).copied().unwrap_or(0) as f64 / REQUESTS as f64;
            let expected = share as f64 / total as f64;
            assert!(
                (measured - expected).abs() < 0.02,
                "{name}: share {measured} of the requests, expected {expected}"
            );
        }
    }
}
