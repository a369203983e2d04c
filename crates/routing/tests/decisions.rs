//! What edges decide, judged after the fact over many edges and drawn days.

mod common;

use common::{arrive, edge, node, view};
use milletwing_config::settings::Guarantees;
use milletwing_config::ErrorKind;
use milletwing_outlier_detection::host_key;
use milletwing_replicated_state::{Command, Node, Phase};
use milletwing_routing::marshal::Load;
use milletwing_routing::{AttemptOutcome, Location, RequestHead, RoutedRequest, Router, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn the_longest_prefix_of_the_host_decides() {
    let mut router = edge(1, &view(4), 1, 1);
    assert_eq!(arrive(&mut router, 1, "/look/x").route.name, "look");
    assert_eq!(arrive(&mut router, 1, "/look/deep/x").route.name, "deep");
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
        "404 only by a configuration"
    );
}

/// Whatever comes of its sendings, what may not run twice is sent on only after a proof that it has not run, and never
/// beyond its tries, its regions, or its time.
#[test]
fn what_may_not_run_twice_goes_on_only_after_a_proof() {
    let ends = [
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
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut router = edge(seed as u32 % 7, &view(12), 1, 1);
        (0..200).for_each(|_| drop(arrive(&mut router, 1, "/look/x")));
        let path = if seed % 2 == 0 { "/order/x" } else { "/look/x" };
        let (mut now, mut ticket) = (2, arrive(&mut router, 2, path));
        let (mut may_have_run, mut arrivals, mut seen) = (0, 0, BTreeSet::new());
        while let Ok(sending) = router.start_attempt(now, &mut ticket) {
            assert!(
                seen.insert(sending.id.clone()) || ticket.route.class.is_retry_safe() || may_have_run == 0
            );
            let at: usize = sending.id.rsplit('-').next().unwrap().parse().unwrap();
            assert!(path != "/order/x" || at % 4 < 2, "{} is outside the route's regions", sending.id);
            let end = ends[chance.random_range(0..ends.len())];
            now += chance.random_range(1..100);
            arrivals += u32::from(!matches!(end, AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent));
            may_have_run += u32::from(matches!(
                end,
                AttemptOutcome::Served
                    | AttemptOutcome::Failed
                    | AttemptOutcome::ConnectionBroken
                    | AttemptOutcome::TimedOut
                    | AttemptOutcome::Cancelled
            ));
            router.finish_attempt(now, &mut ticket, &sending, end, None);
            if !router.may_retry(now, &ticket, end) {
                break;
            }
            assert!(path != "/order/x" || may_have_run == 0, "sent again after {end:?}");
        }
        assert!(arrivals <= ticket.route.tries);
        assert!(now < 1_000);
    }
}

/// Under pressure what goes first still finds room when the rest is refused, at once and as not run.
#[test]
fn under_pressure_room_is_left_for_what_goes_first() {
    let mut router = edge(1, &view(2), 1, 1);
    let mut count = |path: &str| {
        let full = |_: &u32| {
            let mut ticket = arrive(&mut router, 1, path);
            match router.start_attempt(1, &mut ticket) {
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
        (0..1_000u32).take_while(full).count()
    };
    let (looks, orders) = (count("/look/x"), count("/order/x"));
    assert!(looks >= 2 * 6 * 2 && orders > 0, "{looks} look-ups, then {orders} orders");
    assert_eq!(count("/look/x"), 0);
}

/// Drains, evacuated zones and other versions get nothing from the moment that they are folded.
#[test]
fn what_is_closed_gets_nothing() {
    let mut view = view(12);
    view.apply(100, &Command::NodeDrains { id: "i-v1-0".into() });
    view.apply(101, &Command::Evacuate { zone: "b".into(), on: true, sure: false, deals: Vec::new() });
    view.apply(102, &Command::NodeUp(node(3, "v2", Phase::Warm)));
    view.apply(103, &Command::NodeCold { id: "i-v1-2".into(), deal: Vec::new() });
    for id in 0..8 {
        let mut router = edge(id, &view, 8, 1);
        for now in 1..2_000 {
            let mut ticket = arrive(&mut router, now, if now % 3 == 0 { "/order/x" } else { "/look/x" });
            let Ok(sending) = router.start_attempt(now, &mut ticket) else { continue };
            let closed = ["i-v1-0", "i-v1-1", "i-v1-5", "i-v1-9", "i-v2-3", "i-v1-2"];
            assert!(!closed.contains(&sending.id.as_ref()), "{} got a request", sending.id);
            router.finish_attempt(
                now,
                &mut ticket,
                &sending,
                AttemptOutcome::Served,
                Some(Load { running: 1, waiting: 0 }),
            );
        }
    }
}

/// Over all edges, in any second, whoever of them is cut off from the core.
#[test]
fn a_cold_marshal_gets_what_was_dealt_in_any_second() {
    let mut view = view(0); // all press on the one that is cold
    let deal: Vec<(u32, u32)> = (0..3).map(|id| (id, if id < 2 { 9 } else { 8 })).collect();
    view.apply(100, &Command::NodeUp(Node { phase: Phase::Cold(deal), ..node(4, "v1", Phase::Warm) }));
    let mut edges: Vec<Router> = (0..9).map(|id| edge(id, &view, 9, 1)).collect();
    let mut sent: Vec<Time> = Vec::new();
    for now in 1..8_000 {
        for router in &mut edges {
            let mut ticket = arrive(router, now, "/look/x");
            let Ok(sending) = router.start_attempt(now, &mut ticket) else { continue };
            if sending.id.as_ref() == "i-v1-4" {
                sent.push(now);
            }
            router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::Served, None);
        }
    }
    let most =
        sent.iter().map(|from| sent.iter().filter(|at| (*from..from + 1_000).contains(*at)).count()).max();
    assert_eq!(most, Some(26), "all of what was dealt is used, and no more");
}

/// Further tries over all edges, in any window, when every answer is a failure and clients come again at once.
#[test]
fn further_tries_stay_within_what_all_edges_share() {
    let bounds = Guarantees::default();
    for count in [1u32, 8, 40] {
        let view = view(16);
        let mut edges: Vec<Router> = (0..count).map(|id| edge(id, &view, count, 1)).collect();
        let mut chance = Pcg64Mcg::seed_from_u64(u64::from(count));
        let (mut firsts, mut more): (Vec<Time>, Vec<Time>) = (Vec::new(), Vec::new());
        for now in (1..30_000).step_by(10) {
            // A quiet time, a press, a quiet time: what was earned in the press doesn't last.
            let rate = if (10_000..15_000).contains(&now) { 1.0 } else { 0.1 };
            for router in &mut edges {
                router.core_heard(now);
                if !chance.random_bool(rate) {
                    continue;
                }
                firsts.push(now);
                let mut ticket = arrive(router, now, "/look/x");
                let mut sendings = 0;
                while let Ok(sending) = router.start_attempt(now, &mut ticket) {
                    sendings += 1;
                    router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::ConnectionBroken, None);
                    if !router.may_retry(now, &ticket, AttemptOutcome::ConnectionBroken) {
                        break;
                    }
                }
                more.extend((1..sendings).map(|_| now));
            }
        }
        let window = (bounds.retryWindowS * 1000.0) as Time;
        let within = |list: &[Time], from: Time| {
            list.partition_point(|at| *at < from + window) - list.partition_point(|at| *at < from)
        };
        for from in (0..20_000).step_by(50) {
            let (tries, requests) = (within(&more, from), within(&firsts, from));
            assert!(
                tries as f64 <= bounds.retryBudgetRatio * requests as f64 + bounds.retrySlack,
                "{count} edges: {tries} further tries for {requests} requests from {from}"
            );
        }
        assert!(!more.is_empty(), "{count} edges never tried again");
    }
}

/// One that can't be reached is found out by one request at a time, and none that may not run twice.
#[test]
fn an_unreachable_marshal_is_tried_by_what_may_run_twice() {
    let mut router = edge(1, &view(1), 1, 1);
    let (mut probes, mut first) = (Vec::new(), true);
    for now in 1..20_000 {
        let order = now % 2 == 0;
        let mut ticket = arrive(&mut router, now, if order { "/order/x" } else { "/look/x" });
        match router.start_attempt(now, &mut ticket) {
            Ok(sending) => {
                assert!(first || !order, "an order went to one that could not be reached");
                // While one is out to find out, there is no other.
                let mut second = arrive(&mut router, now, "/look/x");
                assert!(first || router.start_attempt(now, &mut second).is_err(), "two at once");
                router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::ConnectFailed, None);
                probes.push(now);
                first = false;
            }
            Err(kind) => assert_eq!(kind, ErrorKind::NoReachableMarshal),
        }
    }
    let pauses: Vec<Time> = probes.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.iter().all(|pause| (400..=3_300).contains(pause)) && pauses.len() < 12, "{pauses:?}");
}

/// The coin keeps to the cap, takes safe classes at first, sends nothing more on the word of a core that is silent, and
/// tries again at the version that is known.
#[test]
fn a_version_on_trial_gets_its_cap_of_safe_requests() {
    let mut view = view(12);
    view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 15_000 });
    for at in 0..12 {
        view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
    }
    let mut edges: Vec<Router> = (0..9).map(|id| edge(id, &view, 9, 1)).collect();
    let (mut all, mut new, mut late) = (0.0, 0.0, 0);
    for now in 1..12_000 {
        for (at, router) in edges.iter_mut().enumerate() {
            if now % 10 != at as u64 {
                continue;
            }
            if now < 8_000 {
                router.core_heard(now);
            }
            // Out of touch, it goes on by what marshals' health answers say.
            for probe in router.due_probes(now, 8) {
                router.record_probe_result(now, &probe, Some(true));
            }
            let order = now % 20 < 10;
            let mut ticket = arrive(router, now, if order { "/order/x" } else { "/look/x" });
            all += 1.0;
            let Ok(sending) = router.start_attempt(now, &mut ticket) else {
                panic!("the earlier version serves")
            };
            let fresh = sending.id.starts_with("i-v22");
            assert!(!(fresh && order), "an order went to a version at its first stage");
            new += f64::from(u8::from(fresh));
            late += u32::from(fresh && now >= 10_001);
            if fresh && now % 3 == 0 {
                router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::ConnectionBroken, None);
                if let Ok(second) = router.start_attempt(now, &mut ticket) {
                    assert!(second.id.starts_with("i-v1"), "a further try went to the version on trial");
                }
            } else {
                router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::Served, None);
            }
        }
    }
    let bounds = Guarantees::default();
    assert!(new > 50.0 && new <= bounds.exposureShare * all + bounds.exposureSlack, "{new} of {all}");
    assert_eq!(late, 0, "exposed on the word of a core that was silent for two seconds");
    let report = &edges[0].trial_reports(12_000)[0];
    assert!(report.sums[0][1].n > 0.0 && report.sums[1][1].n == 0.0);
}

/// A slow version's answers come when all has been decided, or never, since another was faster: its time-outs count when
/// they happen, and once.
#[test]
fn a_slow_version_is_judged_by_its_time_outs() {
    let mut view = view(4);
    view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 15_000 });
    for at in 0..4 {
        view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
    }
    let mut router = edge(1, &view, 1, 1);
    let mut out = Vec::new();
    for now in 4_000..6_000 {
        router.core_heard(now);
        let mut ticket = arrive(&mut router, now, "/look/x");
        let sending = router.start_attempt(now, &mut ticket).unwrap();
        if sending.id.starts_with("i-v22") {
            out.push((ticket, sending));
        } else {
            router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::Served, None);
        }
    }
    assert!(out.len() > 30, "{}", out.len());
    let bad = |now: Time, router: &mut Router| {
        (router.trial_reports(now)[0].sums[0][1].n, router.trial_reports(now)[0].sums[0][1].y)
    };
    // Beyond the aim all of them count, though none has ended.
    let all = out.len() as f64;
    assert_eq!(bad(6_300, &mut router), (all, all));
    // However they end, they count once.
    for (at, (mut ticket, sending)) in out.into_iter().enumerate() {
        match at % 3 {
            0 => router.cancel_attempt(6_400, &sending),
            1 => drop(router.finish_attempt(6_400, &mut ticket, &sending, AttemptOutcome::Served, None)),
            _ => drop(router.finish_attempt(6_400, &mut ticket, &sending, AttemptOutcome::TimedOut, None)),
        }
    }
    assert_eq!(bad(6_500, &mut router), (all, all));
    // One that this edge no longer waits for counts at once; a client that leaves early tells nothing.
    let mut count = 0;
    for now in 7_000..9_000 {
        router.core_heard(now);
        let mut ticket = arrive(&mut router, now, "/look/x");
        let sending = router.start_attempt(now, &mut ticket).unwrap();
        if sending.id.starts_with("i-v22") {
            if now % 2 == 0 {
                router.record_timeout(now, &sending);
                count += 1;
            }
            router.cancel_attempt(now, &sending);
        } else {
            router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::Served, None);
        }
    }
    assert!(count > 0);
    assert_eq!(bad(9_000, &mut router), (all + f64::from(count), all + f64::from(count)));
}

/// An edge that meets a marshal once in many seconds goes by what others were told there, as long as that is fresh.
#[test]
fn loads_that_other_edges_were_told_steer_an_edge_that_met_nobody() {
    let view = view(12);
    let mut router = edge(1, &view, 1, 1);
    let free = [2, 9];
    let loads: Vec<(u32, u16)> = (0..12)
        .map(|at| (host_key(&format!("i-v1-{at}")), if free.contains(&at) { 1 } else { 30 }))
        .collect();
    let mut sent = |now: Time, told: bool| -> BTreeMap<usize, u32> {
        let mut sent = BTreeMap::new();
        router.core_heard(now);
        for _ in 0..200 {
            if told {
                router.apply_shared_loads(now, &loads, 0);
            }
            let mut ticket = arrive(&mut router, now, "/look/x");
            let sending = router.start_attempt(now, &mut ticket).unwrap();
            *sent.entry(sending.id.rsplit('-').next().unwrap().parse().unwrap()).or_default() += 1;
            router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::Cancelled, None);
        }
        sent
    };
    assert!(sent(1_000, true).keys().all(|at| free.contains(at)), "all others are full");
    let later = sent(20_000, false);
    assert!(later.keys().any(|at| !free.contains(at)), "what was told long ago shuts out nobody: {later:?}");
    // What it meets itself it tells, once.
    router.core_heard(30_000);
    let mut ticket = arrive(&mut router, 30_000, "/look/x");
    let sending = router.start_attempt(30_000, &mut ticket).unwrap();
    router.finish_attempt(
        30_020,
        &mut ticket,
        &sending,
        AttemptOutcome::Served,
        Some(Load { running: 4, waiting: 2 }),
    );
    let observed = router.take_observations(100);
    let of = observed.iter().find(|observed| observed.host == host_key(&sending.id)).unwrap();
    assert_eq!((of.answered, of.failed, of.unreachable, of.load), (1, 0, 0, Some(5)), "itself has left");
    assert!(router.take_observations(100).is_empty());
}

/// Half of the new version's marshals stand in a zone that goes dark, none of the earlier one's: what breaks off there for want
/// of an answer tells nothing of the version. One that hangs, though its host takes connections, is judged.
#[test]
fn a_zone_that_goes_dark_is_no_evidence_on_a_version() {
    for hangs in [false, true] {
        let mut view = view(12);
        view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 15_000 });
        for at in 0..12 {
            view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
        }
        let mut router = edge(1, &view, 1, 1);
        let lost = |id: &str| {
            id.starts_with("i-v22-") && id.rsplit('-').next().unwrap().parse::<u32>().unwrap() % 4 < 2
        };
        let mut out: Vec<(Time, RoutedRequest, milletwing_routing::Attempt, AttemptOutcome)> = Vec::new();
        for now in 4_000..12_000 {
            router.core_heard(now);
            out.sort_by_key(|(due, ..)| std::cmp::Reverse(*due));
            while out.last().is_some_and(|(due, ..)| *due <= now) {
                let (_, mut ticket, sending, end) = out.pop().unwrap();
                router.finish_attempt(now, &mut ticket, &sending, end, None);
            }
            if now % 100 == 0 {
                router.trial_reports(now); // time-outs count as they happen
            }
            let mut ticket = arrive(&mut router, now, "/look/x");
            let Ok(sending) = router.start_attempt(now, &mut ticket) else { continue };
            let (due, end) = match (now >= 9_000 && lost(&sending.id), hangs) {
                (false, _) => (now + 40, AttemptOutcome::Served),
                // On a connection that was open: 0.7 s without a sign that bytes arrive; on a new one none comes up.
                (true, false) if now % 2 == 0 => (now + 700, AttemptOutcome::ConnectionBroken),
                (true, false) => (now + 350, AttemptOutcome::ConnectFailed),
                (true, true) => (now + 2_000, AttemptOutcome::TimedOut),
            };
            out.push((due, ticket, sending, end));
        }
        out.sort_by_key(|(due, ..)| *due);
        for (due, mut ticket, sending, end) in out {
            router.finish_attempt(due, &mut ticket, &sending, end, None);
        }
        let report = &router.trial_reports(15_000)[0];
        let [old, new] = report.sums[0];
        assert!(new.n > 100.0 && old.y == 0.0, "{} of the new, {} bad of the old", new.n, old.y);
        assert_eq!(new.y > 20.0, hangs, "{} bad of {}", new.y, new.n);
    }
}

#[test]
fn the_parts_of_a_distribution_get_their_shares() {
    const REQUESTS: usize = 10_000;
    for shares in
        [vec![("s", 90), ("t", 10)], vec![("s", 50), ("t", 30), ("u", 20)], vec![("s", 0), ("t", 1)]]
    {
        let parts: Vec<String> =
            shares.iter().map(|(name, share)| format!(r#"{{"target":"{name}","share":{share}}}"#)).collect();
        let body = format!(
            r#"{{"revision":2,"routing":{{"look":{{"domain":"h.example","pathPrefix":"/look/","trafficClass":"idempotent","guardS":5,
            "targetS":0.3,"distribution":[{}],"maxTries":2}}}},"targets":{{"s":{{}},"t":{{}},"u":{{}}}},"thresholds":{{}}}}"#,
            parts.join(",")
        );
        let mut view = view(4);
        let command = view.configure_command(2, body.as_bytes()).unwrap();
        view.apply(view.index + 1, &command);
        let mut router = edge(1, &view, 1, 1);
        let mut counts = std::collections::BTreeMap::<String, usize>::new();
        for _ in 0..REQUESTS {
            let ticket = arrive(&mut router, 1, "/look/x");
            *counts.entry(ticket.service.to_string()).or_default() += 1;
        }
        let whole: usize = shares.iter().map(|(_, share)| share).sum();
        for (name, share) in shares {
            let got = counts.get(name).copied().unwrap_or(0) as f64 / REQUESTS as f64;
            let wanted = share as f64 / whole as f64;
            assert!((got - wanted).abs() < 0.02, "{name}: {got} of the requests, {wanted} wanted");
        }
    }
}
