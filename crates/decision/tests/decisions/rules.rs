//! The five rules, tested one by one through the interface and over generated events.

use crate::common::*;
use milletwing_decision::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn fleet(build: u32, count: usize) -> Vec<NodeEntry> {
    (0..count).map(|i| node(&format!("n{i}"), build)).collect()
}

#[test]
fn an_at_most_once_request_that_may_have_run_fails_at_once() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), fleet(1, 4), 1);
        let (id, out) = harness.request(2);
        let node = attempted_node(&out).unwrap();
        assert_eq!(harness.complete(&id, 0, &node, outcome, 50.0), vec![Action::Fail(id)], "{outcome:?}");
    }
}

#[test]
fn an_at_most_once_request_that_never_ran_goes_to_another_node() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut harness = Harness::new(settings(), fleet(1, 4), 1);
        let (id, out) = harness.request(2);
        let first = attempted_node(&out).unwrap();
        let second = attempted_node(&harness.complete(&id, 0, &first, outcome, 5.0)).unwrap();
        assert_ne!(first, second);
    }
}

#[test]
fn a_deduplicated_request_is_not_repeated_outside_its_window_or_scope() {
    let mut config = settings();
    config.classes[1].dedup_scope = DedupScope::Zone;
    let mut entries = fleet(1, 2);
    entries[1].zone = ZoneId(1);
    let mut harness = Harness::new(config, entries.clone(), 1);
    let (id, out) = harness.request(1);
    let first = attempted_node(&out).unwrap();
    // The only other node is in another zone, and a refusal would promise a safe retry: the request fails.
    assert_eq!(harness.complete(&id, 0, &first, Outcome::Error, 5.0), vec![Action::Fail(id)]);

    let mut config = settings();
    config.classes[1].latency_target = Ms(900.0);
    let mut harness = Harness::new(config, fleet(1, 3), 1);
    let (id, out) = harness.request(1);
    let first = attempted_node(&out).unwrap();
    harness.now += 501.0;
    let out = harness.complete(&id, 0, &first, Outcome::Error, 501.0);
    assert!(attempted_node(&out).is_none(), "{out:?}");
}

/// Guards against taking the dedup scope from the node list: the node may have left it when the outcome
/// arrives.
#[test]
fn a_deduplicated_request_whose_node_left_the_list_is_not_refused() {
    let mut config = settings();
    config.classes[1].dedup_scope = DedupScope::Zone;
    let mut harness = Harness::new(config, fleet(1, 1), 1);
    let (id, out) = harness.request(1);
    let first = attempted_node(&out).unwrap();
    harness.handle(Event::FleetUpdate(FleetUpdateKind::Replace, Vec::new()));
    assert_eq!(harness.complete(&id, 0, &first, Outcome::Timeout, 100.0), vec![Action::Fail(id)]);
}

#[test]
fn nothing_goes_to_a_draining_or_gone_node() {
    for (form, state) in [
        (FleetUpdateKind::Update, NodeState::Terminating),
        (FleetUpdateKind::Update, NodeState::Terminated),
        (FleetUpdateKind::Replace, NodeState::InService),
    ] {
        let mut harness = Harness::new(settings(), fleet(1, 2), 1);
        let mut gone = node("n0", 1);
        gone.state = state;
        let entries = if form == FleetUpdateKind::Replace { vec![node("n1", 1)] } else { vec![gone] };
        harness.handle(Event::FleetUpdate(form, entries));
        for _ in 0..40 {
            let (id, out) = harness.request(0);
            if let Some(to) = attempted_node(&out) {
                assert_eq!(&*to.0, "n1");
                harness.complete(&id, 0, &to, Outcome::Ok, 20.0);
            }
        }
    }
}

#[test]
fn a_request_without_a_node_is_refused_at_once_with_a_retry_delay() {
    let mut harness = Harness::new(settings(), Vec::new(), 1);
    let (id, out) = harness.request(2);
    assert_eq!(out, vec![Action::Refuse(id, Some(Ms(300.0)))]);
}

#[test]
fn a_cold_node_gets_no_more_than_its_capacity_allows() {
    let mut entries = fleet(1, 10);
    entries[0].started = Some(Ms(1000.0));
    let mut harness = Harness::new(settings(), entries, 1);
    let (mut cold, mut all) = (0.0, 0.0);
    while harness.now < 4000.0 {
        harness.advance(2.0);
        all += 1.0;
        let (id, out) = harness.request(0);
        let to = attempted_node(&out).unwrap();
        cold += f64::from(u8::from(&*to.0 == "n0"));
        // The cold node answers fast, so that only the budget keeps requests away.
        let latency = if &*to.0 == "n0" { 1.0 } else { 40.0 };
        harness.complete(&id, 0, &to, Outcome::Ok, latency);
    }
    let warmth = 0.4 + 0.6 * 3.0 / 4.0;
    assert!(cold > 0.0 && cold < all / 10.0 * 3.0 * 0.4 * warmth + 5.0, "{cold} of {all}");
}

/// Guards against one unbudgeted request per marshal: from hundreds of marshals they would overload a cold
/// node.
#[test]
fn hundreds_of_marshals_do_not_burst_on_a_cold_node() {
    let mut burst = 0;
    for seed in 0..300 {
        let entries =
            [fleet(1, 9), vec![NodeEntry { started: Some(Ms(1000.0)), ..node("cold", 1) }]].concat();
        let mut harness = Harness::seeded(seed, settings(), entries, 1);
        harness.advance(5.0);
        for _ in 0..4 {
            burst += u32::from(attempted_node(&harness.request(0).1).is_some_and(|to| &*to.0 == "cold"));
        }
    }
    // Of 1,200 requests an even share for a warm node is 120; a cold one with capacity 0.4 bears 48.
    assert!(burst < 48, "{burst}");
}

/// Guards against a budget of a cold node that grows with requests beyond the highest rate ever answered.
#[test]
fn overload_does_not_raise_the_budget_of_a_cold_node() {
    for flood in [1, 6] {
        let mut harness = Harness::new(settings(), fleet(1, 5), 1);
        for i in 0..400 {
            harness.advance(10.0);
            harness.serve(i % 3, |_| (Outcome::Ok, 40.0));
        }
        let cold = NodeEntry { started: Some(Ms(harness.now)), ..node("cold", 1) };
        harness.handle(Event::FleetUpdate(FleetUpdateKind::Update, vec![cold]));
        let mut sends = 0;
        for i in 0..200 {
            harness.advance(10.0);
            for n in 0..flood {
                // Requests after the first are invalid: every node answers them with an error.
                let (id, mut out) = harness.request(i % 3);
                let mut attempt = 0;
                while let Some(to) = attempted_node(&out) {
                    sends += u32::from(&*to.0 == "cold");
                    let outcome = if n == 0 { Outcome::Ok } else { Outcome::Error };
                    out = harness.complete(&id, attempt, &to, outcome, 40.0);
                    if n == 0 {
                        break;
                    }
                    attempt += 1;
                }
            }
        }
        // 100 answers per second over five machines, times 1.25 and 0.4 of the multiple, at a mean capacity
        // of 0.55 for two seconds: 33. A budget that grew with six times the requests would be six times
        // that.
        assert!(sends <= 40, "{sends} at {flood}");
    }
}

#[test]
fn a_needed_subscription_is_repeated_with_back_off() {
    let mut harness = Harness::new(Settings { subscribe_to_discovery: true, ..settings() }, fleet(1, 2), 1);
    let asked = |harness: &Harness| harness.actions.iter().filter(|a| **a == Action::Subscribe).count();
    harness.advance(100.0);
    assert_eq!(asked(&harness), 1);
    harness.handle(Event::FleetUpdate(FleetUpdateKind::Unavailable, Vec::new()));
    for _ in 0..40 {
        harness.advance(100.0);
    }
    assert!((2..=4).contains(&asked(&harness)), "{}", asked(&harness));
    harness.handle(Event::FleetUpdate(FleetUpdateKind::Update, Vec::new()));
    let before = asked(&harness);
    for _ in 0..100 {
        harness.advance(100.0);
    }
    assert_eq!(asked(&harness), before);
}

#[test]
fn early_stages_serve_idempotent_classes_only_and_keys_stay_on_the_new_build() {
    let mut entries = fleet(1, 2);
    entries.push(node("new", 2));
    let mut harness = Harness::new(Settings { idempotent_only_stages: 1, ..settings() }, entries.clone(), 1);
    harness.handle(stage_report(2, 0, Phase::Trial, 0.5));
    for i in 0..300 {
        let class = i % 3;
        let (id, out) = harness.request(class);
        let to = attempted_node(&out).unwrap();
        assert!(class == 0 || &*to.0 != "new");
        harness.complete(&id, 0, &to, Outcome::Ok, 20.0);
    }
    let mut harness = Harness::new(Settings { sticky_keys: true, ..settings() }, entries, 1);
    harness.handle(stage_report(2, 1, Phase::Trial, 0.5));
    let key = || Some(Key("order".into()));
    let mut answered_by_new = false;
    for _ in 0..200 {
        let (id, out) = harness.request_with_key(0, key());
        let Some(to) = attempted_node(&out) else { continue };
        assert!(!answered_by_new || &*to.0 == "new");
        answered_by_new |= &*to.0 == "new";
        harness.complete(&id, 0, &to, Outcome::Ok, 20.0);
    }
    assert!(answered_by_new);
}

/// Checks all actions of the marshal against the rules on answers, repeats, exposure and draining nodes.
#[test]
fn generated_events_never_break_the_rules() {
    let mut runner = TestRunner::new_with_rng(
        Config { cases: 64, failure_persistence: None, ..Config::default() },
        TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]),
    );
    let step = (0..12u8, 0..6usize, 0..8u8, 0.0..60.0f64);
    runner
        .run(&(prop::collection::vec(step, 50..400), any::<bool>()), |(steps, per_class)| {
            run_case(&steps, per_class);
            Ok(())
        })
        .unwrap();
}

struct PendingRequest {
    id: RequestId,
    class: usize,
    attempt: u32,
    node: NodeId,
    may_have_run: bool,
}

fn run_case(steps: &[(u8, usize, u8, f64)], per_class: bool) {
    let mut entries = fleet(1, 3);
    entries.extend([node("t0", 2), node("t1", 2)]);
    let config = Settings { exposure_per_class: per_class, ..settings() };
    let mut harness = Harness::new(config, entries.clone(), 1);
    harness.handle(stage_report(2, 1, Phase::Trial, 0.4));
    let caps = [0.4, 0.1, 0.0, 1.0];
    // Reported caps with their time; attempts on build 2 and requests with time and class; draining nodes.
    let mut reported_caps = vec![(harness.now, 0.4)];
    let mut exposed: Vec<(f64, usize)> = Vec::new();
    let mut requests: Vec<(f64, usize)> = Vec::new();
    let mut in_flight: Vec<PendingRequest> = Vec::new();
    let mut draining: Vec<NodeId> = Vec::new();
    for &(kind, pick, outcome, latency) in steps {
        harness.advance(latency);
        let (out, mut pending) = match kind {
            0..=4 => {
                requests.push((harness.now, pick % 3));
                let (id, out) = harness.request(pick % 3);
                (
                    out,
                    Some(PendingRequest {
                        id,
                        class: pick % 3,
                        attempt: 0,
                        node: entries[0].node.clone(),
                        may_have_run: false,
                    }),
                )
            }
            5..=9 if !in_flight.is_empty() => {
                let mut request = in_flight.remove(pick % in_flight.len());
                let all = [
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::Timeout,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Ok,
                    Outcome::Ok,
                ];
                let outcome = all[usize::from(outcome)];
                let out =
                    harness.complete(&request.id, request.attempt, &request.node, outcome, latency + 1.0);
                request.may_have_run |= !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
                request.attempt += 1;
                if outcome == Outcome::Ok {
                    assert!(attempted_node(&out).is_none());
                    (out, None)
                } else {
                    (out, Some(request))
                }
            }
            10 => {
                let cap = caps[pick % 4];
                reported_caps.push((harness.now, cap));
                (harness.handle(stage_report(2, 1, Phase::Trial, cap)), None)
            }
            _ => {
                let mut entry = entries[pick % entries.len()].clone();
                draining.retain(|n| *n != entry.node);
                if outcome < 4 {
                    entry.state = NodeState::Terminating;
                    draining.push(entry.node.clone());
                }
                (harness.handle(Event::FleetUpdate(FleetUpdateKind::Update, vec![entry])), None)
            }
        };
        let Some(mut request) = pending.take() else { continue };
        let final_or_sent: Vec<&Action> = out
            .iter()
            .filter(|a| match a {
                Action::Attempt { id, .. } | Action::Refuse(id, _) | Action::Fail(id) => *id == request.id,
                _ => false,
            })
            .collect();
        assert_eq!(final_or_sent.len(), 1, "exactly one immediate action per request: {out:?}");
        match final_or_sent[0] {
            Action::Attempt { node, .. } => {
                assert!(
                    !(request.class == 2 && request.may_have_run),
                    "an at-most-once request that may have run was sent again"
                );
                assert!(!draining.contains(node), "sent to a draining node");
                request.node = node.clone();
                if node.0.starts_with('t') {
                    exposed.push((harness.now, request.class));
                    check_exposure(
                        &reported_caps,
                        &exposed,
                        &requests,
                        harness.now,
                        per_class.then_some(request.class),
                    );
                }
                in_flight.push(request);
            }
            Action::Refuse(..) => assert!(
                !(request.class == 2 && request.may_have_run),
                "an at-most-once request that may have run was refused"
            ),
            _ => {}
        }
    }
}

/// The cap in force is the last one reported, or the one before during the drain grace. Attempts are counted
/// anew from the time that a lower cap is in force.
fn check_exposure(
    reported_caps: &[(f64, f64)],
    exposed: &[(f64, usize)],
    requests: &[(f64, usize)],
    now: f64,
    class: Option<usize>,
) {
    let (mut cap, mut from) = (reported_caps[0].1, f64::MIN);
    let mut pending: Option<(f64, f64)> = None;
    for &(at, next) in &reported_caps[1..] {
        if let Some((binds, low)) = pending.filter(|p| p.0 <= at) {
            (cap, from, pending) = (low, binds, None);
        }
        if next >= cap {
            (cap, pending) = (next, None);
        } else {
            pending = Some((pending.map_or(at + 500.0, |p| p.0.min(at + 500.0)), next));
        }
    }
    if let Some((binds, low)) = pending.filter(|p| p.0 <= now) {
        (cap, from) = (low, binds);
    }
    let of = |c: usize| class.is_none_or(|only| only == c);
    let sent = exposed.iter().filter(|t| t.0 > (now - 6000.0).max(from) && of(t.1)).count() as f64;
    let requested = requests.iter().filter(|t| t.0 > now - 6000.0 && of(t.1)).count() as f64;
    assert!(sent <= 3.0 + cap * requested + 1e-9, "{sent} exposed attempts, {requested} requests, cap {cap}");
}

/// Guards against herding: requests in flight must count at once, before any answer shows that a node is
/// overloaded.
#[test]
fn a_burst_spreads_over_the_nodes() {
    let mut harness = Harness::new(settings(), fleet(1, 8), 1);
    for _ in 0..80 {
        harness.advance(5.0);
        harness.serve(0, |_| (Outcome::Ok, 40.0));
    }
    let mut held = std::collections::BTreeMap::new();
    for _ in 0..40 {
        if let Some(to) = attempted_node(&harness.request(0).1) {
            *held.entry(to).or_insert(0) += 1;
        }
    }
    assert!(held.values().all(|&n| n <= 8), "{held:?}");
}

#[test]
fn the_latency_target_grows_with_the_work_where_configured() {
    let mut config = settings();
    config.classes[2].target_per_work = 1.5;
    let mut harness = Harness::new(config, fleet(1, 2), 1);
    let out = harness.handle(Event::Request {
        id: request_id("r"),
        class: ClassId(2),
        key: None,
        tenant: None,
        expires_in: Ms(1000.0),
        work_hint: Some(Ms(100.0)),
        is_retry: false,
    });
    assert!(
        matches!(&out[0], Action::Attempt { timeout: Some(Ms(latency)), .. } if *latency == 450.0),
        "{out:?}"
    );
}

#[test]
fn a_broken_stream_is_final_and_a_deduplicated_request_stays_in_its_cell() {
    let mut config = settings();
    config.classes[0].streamed = true;
    config.classes[1].dedup_scope = DedupScope::Cell;
    let mut entries = fleet(1, 6);
    entries.iter_mut().enumerate().for_each(|(i, entry)| entry.cell = i as u32 / 3);
    let mut harness = Harness::new(config, entries.clone(), 1);
    let (id, out) = harness.request(0);
    let node = attempted_node(&out).unwrap();
    assert!(harness.handle(Event::StreamStarted(id.clone(), 0)).is_empty());
    let broken = Event::Completed {
        id,
        attempt: 0,
        node,
        outcome: Outcome::Reset,
        latency: Ms(60.0),
        is_final: true,
        load: None,
    };
    assert!(harness.handle(broken).is_empty());
    let cell = |node: &NodeId| entries.iter().find(|e| e.node == *node).map(|e| e.cell);
    for _ in 0..8 {
        let (id, out) = harness.request(1);
        let first = attempted_node(&out).unwrap();
        let out = harness.complete(&id, 0, &first, Outcome::Error, 20.0);
        if let Some(second) = attempted_node(&out) {
            assert_eq!(cell(&first), cell(&second));
        }
    }
}

/// Guards against wasted work: clients that disconnect before their deadline and repeat the request at once.
#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled_where_allowed() {
    for allowed in [true, false] {
        let mut harness = Harness::new(Settings { may_cancel: allowed, ..settings() }, fleet(1, 3), 1);
        let (id, out) = harness.request(0);
        let first = attempted_node(&out).unwrap();
        let out = harness.complete(&id, 0, &first, Outcome::Error, 5.0);
        let second = attempted_node(&out).unwrap();
        let left = harness.handle(Event::ClientGone(id.clone()));
        assert_eq!(left, if allowed { vec![Action::Cancel(id.clone(), 1)] } else { vec![] });
        assert!(harness.complete(&id, 1, &second, Outcome::Cancelled, 60.0).is_empty());
        assert!(harness.handle(Event::ClientGone(id)).is_empty());
    }
}

/// Guards against many failed connects: where few nodes accept a new connection, nodes with a connection are
/// used.
#[test]
fn where_connections_are_refused_connected_nodes_are_used() {
    let mut harness = Harness::new(settings(), fleet(1, 40), 1);
    let accepts = |to: &NodeId| ["n3", "n17", "n29"].contains(&&*to.0);
    let tried = std::cell::Cell::new((0u32, 0u32));
    for i in 0..400 {
        harness.advance(20.0);
        harness.serve(i % 3, |to| {
            let (sent, refused) = tried.get();
            let refuses = i >= 100 && !accepts(to);
            if i >= 200 {
                tried.set((sent + 1, refused + u32::from(refuses)));
            }
            if refuses {
                (Outcome::ConnectFailed, 1.0)
            } else {
                (Outcome::Ok, 40.0)
            }
        });
    }
    let (sent, refused) = tried.get();
    assert!(refused * 4 < sent, "{refused} of {sent} got no connection");
}

/// Guards against overload by hundreds of marshals with few requests each: a marshal must refuse requests
/// although it has hardly any in flight on a node. It still sends some, so that it notices when the overload
/// ends.
#[test]
fn a_marshal_with_few_requests_refuses_under_overload_and_notices_its_end() {
    let mut harness = Harness::new(settings(), fleet(1, 40), 1);
    let mut count_refused = |latency: f64| {
        let mut refused = 0;
        for i in 0..150 {
            harness.advance(200.0);
            let (id, out) = harness.request(i % 3);
            match attempted_node(&out) {
                Some(to) => drop(harness.complete(&id, 0, &to, Outcome::Ok, latency)),
                None => refused += 1,
            }
        }
        refused
    };
    assert_eq!(count_refused(40.0), 0);
    let under_overload = count_refused(600.0);
    assert!((90..150).contains(&under_overload), "{under_overload}");
    count_refused(40.0);
    assert!(count_refused(40.0) < 15);
}

/// Guards against a refusal by extrapolation: the latency of a single request does not tell the latency under
/// load. Answers under load do, and requests are refused where those are late.
#[test]
fn a_burst_is_refused_by_measured_latency_and_not_by_extrapolation() {
    let mut harness = Harness::new(settings(), fleet(1, 1), 1);
    let mut refused = |count: usize, latency: f64| {
        let requests: Vec<_> = (0..count).map(|at| harness.request(at % 3)).collect();
        let out: Vec<_> = requests.iter().filter_map(|(id, out)| Some((id, attempted_node(out)?))).collect();
        (0..(latency / 50.0) as u32).for_each(|_| harness.advance(50.0));
        out.iter().for_each(|(id, to)| drop(harness.complete(id, 0, to, Outcome::Ok, latency)));
        count - out.len()
    };
    assert_eq!(refused(1, 50.0), 0);
    assert_eq!(refused(8, 50.0), 0);
    let late: usize = (0..10).map(|_| refused(8, 600.0)).sum();
    assert!(late > 40, "{late} of 80 refused");
}

/// Guards against ejecting healthy servers for single resets: where each server breaks a connection now and
/// then, all would be ejected most of the time. A server that refuses a connection or resets three in a row
/// is ejected.
#[test]
fn a_single_reset_ejects_no_node_and_a_refused_connection_does() {
    for (outcome, times, ejected) in
        [(Outcome::Reset, 1, false), (Outcome::Reset, 3, true), (Outcome::ConnectFailed, 1, true)]
    {
        let mut harness = Harness::new(settings(), fleet(1, 2), 1);
        let ok = |_: &NodeId| (Outcome::Ok, 40.0);
        (0..100).for_each(|_| harness.serve(0, ok));
        let bad = harness.request(2).1;
        let bad = attempted_node(&bad).unwrap();
        let mut broken = 0;
        while broken < times {
            let (id, out) = harness.request(2);
            let node = attempted_node(&out).unwrap();
            let ends = if node == bad { outcome } else { Outcome::Ok };
            broken += u32::from(node == bad);
            harness.complete(&id, 0, &node, ends, 40.0);
        }
        let sent_to_bad = (0..40).filter(|_| {
            let (id, out) = harness.request(0);
            let node = attempted_node(&out).unwrap();
            harness.complete(&id, 0, &node, Outcome::Ok, 40.0);
            node == bad
        });
        assert_eq!(sent_to_bad.count() == 0, ejected, "{outcome:?} {times}");
    }
}

/// Guards against tables that grow as long as a marshal runs, since new requests, keys, servers and builds
/// never cease.
#[test]
fn memory_stays_bounded_over_many_builds() {
    let mut harness = Harness::new(Settings { sticky_keys: true, ..settings() }, fleet(1, 3), 1);
    let mut sizes = Vec::new();
    for day in 0..40u32 {
        let build = day + 2;
        let nodes: Vec<NodeEntry> = (0..3).map(|at| node(&format!("d{day}-{at}"), build)).collect();
        harness.handle(Event::FleetUpdate(FleetUpdateKind::Replace, nodes));
        harness.handle(stage_report(build, 0, Phase::Trial, 0.1));
        harness.handle(stage_report(
            build,
            3,
            if day % 2 == 0 { Phase::Withdrawn } else { Phase::Released },
            1.0,
        ));
        for at in 0..300 {
            let key = Key(format!("k{day}-{at}").as_str().into());
            let (id, out) = harness.request_with_key(0, Some(key));
            if let Some(node) = attempted_node(&out) {
                harness.complete(&id, 0, &node, Outcome::Ok, 40.0);
            }
            harness.advance(100.0);
        }
        sizes.push(format!("{:?}", harness.marshal).len());
    }
    let max_size = |part: &[usize]| part.iter().max().copied().unwrap();
    assert!(max_size(&sizes[20..]) <= max_size(&sizes[10..20]) + 400, "{sizes:?}");
}

/// Guards against a retry budget for overload that limits retries where no answer is late: each reset may be
/// retried. Rejections by full servers, as under overload, cause no more than a tenth of further attempts.
#[test]
fn resets_without_late_answers_may_each_be_retried() {
    for (end, least, most) in [(Outcome::Reset, 0.35, 0.45), (Outcome::Rejected, 0.05, 0.15)] {
        let mut harness = Harness::new(settings(), fleet(1, 6), 1);
        let (mut requests, mut attempts) = (0, 0);
        for at in 0..1500 {
            harness.advance(20.0);
            let (id, mut out) = harness.request(0);
            let mut attempt = 0;
            requests += 1;
            while let Some(node) = attempted_node(&out) {
                attempts += 1;
                let broken = attempt == 0 && at % 5 < 2;
                out = harness.complete(&id, attempt, &node, if broken { end } else { Outcome::Ok }, 30.0);
                attempt += 1;
                if !broken {
                    break;
                }
            }
        }
        let more = f64::from(attempts - requests) / f64::from(requests);
        assert!(more > least && more < most, "{end:?}: {more}");
    }
}
