//! The five rules, each through the interface, and over generated events.

use crate::common::*;
use milletwing_decision::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn fleet(build: u32, count: usize) -> Vec<NodeEntry> {
    (0..count).map(|i| node(&format!("n{i}"), build)).collect()
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_at_once_and_is_not_repeated() {
    for verdict in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut b = Bench::new(settings(), fleet(1, 4), 1);
        let (id, out) = b.ask(2);
        let node = sent(&out).unwrap();
        assert_eq!(b.end(&id, 0, &node, verdict, 50.0), vec![Action::Fail(id)], "{verdict:?}");
    }
}

#[test]
fn an_unsafe_request_that_never_ran_goes_to_another_node() {
    for verdict in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut b = Bench::new(settings(), fleet(1, 4), 1);
        let (id, out) = b.ask(2);
        let first = sent(&out).unwrap();
        let second = sent(&b.end(&id, 0, &first, verdict, 5.0)).unwrap();
        assert_ne!(first, second);
    }
}

#[test]
fn a_keyed_request_is_not_repeated_after_the_memory_nor_outside_the_group() {
    let mut set = settings();
    set.classes[1].dedup_scope = DedupScope::Zone;
    let mut entries = fleet(1, 2);
    entries[1].zone = ZoneId(1);
    let mut b = Bench::new(set, entries.clone(), 1);
    let (id, out) = b.ask(1);
    let first = sent(&out).unwrap();
    // The only other node is in another zone, and a refusal would promise too much: failed.
    assert_eq!(b.end(&id, 0, &first, Outcome::Error, 5.0), vec![Action::Fail(id)]);

    let mut set = settings();
    set.classes[1].latency_target = Ms(900.0);
    let mut b = Bench::new(set, fleet(1, 3), 1);
    let (id, out) = b.ask(1);
    let first = sent(&out).unwrap();
    b.now += 501.0;
    let out = b.end(&id, 0, &first, Outcome::Error, 501.0);
    assert!(sent(&out).is_none(), "{out:?}");
}

/// Guards against looking the group up in the list: the node may have left it when the outcome comes.
#[test]
fn a_keyed_request_whose_node_left_the_list_is_not_refused() {
    let mut set = settings();
    set.classes[1].dedup_scope = DedupScope::Zone;
    let mut b = Bench::new(set, fleet(1, 1), 1);
    let (id, out) = b.ask(1);
    let first = sent(&out).unwrap();
    b.give(Event::FleetUpdate(FleetUpdateKind::Replace, Vec::new()));
    assert_eq!(b.end(&id, 0, &first, Outcome::Timeout, 100.0), vec![Action::Fail(id)]);
}

#[test]
fn nothing_goes_to_a_draining_or_gone_node() {
    for (form, state) in [
        (FleetUpdateKind::Update, NodeState::Terminating),
        (FleetUpdateKind::Update, NodeState::Terminated),
        (FleetUpdateKind::Replace, NodeState::InService),
    ] {
        let mut b = Bench::new(settings(), fleet(1, 2), 1);
        let mut gone = node("n0", 1);
        gone.state = state;
        let entries = if form == FleetUpdateKind::Replace { vec![node("n1", 1)] } else { vec![gone] };
        b.give(Event::FleetUpdate(form, entries));
        for _ in 0..40 {
            let (id, out) = b.ask(0);
            if let Some(to) = sent(&out) {
                assert_eq!(&*to.0, "n1");
                b.end(&id, 0, &to, Outcome::Ok, 20.0);
            }
        }
    }
}

#[test]
fn a_request_without_a_node_is_refused_at_once_with_a_time_to_come_back() {
    let mut b = Bench::new(settings(), Vec::new(), 1);
    let (id, out) = b.ask(2);
    assert_eq!(out, vec![Action::Refuse(id, Some(Ms(300.0)))]);
}

#[test]
fn a_cold_node_gets_no_more_than_its_warmth_bears() {
    let mut entries = fleet(1, 10);
    entries[0].started = Some(Ms(1000.0));
    let mut b = Bench::new(settings(), entries, 1);
    let (mut cold, mut all) = (0.0, 0.0);
    while b.now < 4000.0 {
        b.pass(2.0);
        all += 1.0;
        let (id, out) = b.ask(0);
        let to = sent(&out).unwrap();
        cold += f64::from(u8::from(&*to.0 == "n0"));
        // The cold node answers fast, so that only the budget keeps requests away.
        let ms = if &*to.0 == "n0" { 1.0 } else { 40.0 };
        b.end(&id, 0, &to, Outcome::Ok, ms);
    }
    let warmth = 0.4 + 0.6 * 3.0 / 4.0;
    assert!(cold > 0.0 && cold < all / 10.0 * 3.0 * 0.4 * warmth + 5.0, "{cold} of {all}");
}

/// Guards against a free request for each marshal: hundreds of them would push a cold node over.
#[test]
fn hundreds_of_marshals_do_not_burst_on_a_cold_node() {
    let mut burst = 0;
    for seed in 0..300 {
        let entries =
            [fleet(1, 9), vec![NodeEntry { started: Some(Ms(1000.0)), ..node("cold", 1) }]].concat();
        let mut b = Bench::seeded(seed, settings(), entries, 1);
        b.pass(5.0);
        for _ in 0..4 {
            burst += u32::from(sent(&b.ask(0).1).is_some_and(|to| &*to.0 == "cold"));
        }
    }
    // Of 1,200 requests an even part of a warm node is 120; a cold one at 0.4 bears 48.
    assert!(burst < 48, "{burst}");
}

/// Guards against a cold budget that grows with overload: what is asked beyond all that was ever answered.
#[test]
fn a_flood_of_requests_does_not_raise_what_a_cold_node_gets() {
    for flood in [1, 6] {
        let mut b = Bench::new(settings(), fleet(1, 5), 1);
        for i in 0..400 {
            b.pass(10.0);
            b.serve(i % 3, |_| (Outcome::Ok, 40.0));
        }
        let cold = NodeEntry { started: Some(Ms(b.now)), ..node("cold", 1) };
        b.give(Event::FleetUpdate(FleetUpdateKind::Update, vec![cold]));
        let mut sends = 0;
        for i in 0..200 {
            b.pass(10.0);
            for n in 0..flood {
                // What is beyond the first is worthless: any node answers it with an error.
                let (id, mut out) = b.ask(i % 3);
                let mut copy = 0;
                while let Some(to) = sent(&out) {
                    sends += u32::from(&*to.0 == "cold");
                    let verdict = if n == 0 { Outcome::Ok } else { Outcome::Error };
                    out = b.end(&id, copy, &to, verdict, 40.0);
                    if n == 0 {
                        break;
                    }
                    copy += 1;
                }
            }
        }
        // 100 answers a second over five machines, 1.25 times and 0.4 of the multiple, at a mean warmth of 0.55
        // for two seconds: 33. Six times as many requests would bear six times that.
        assert!(sends <= 40, "{sends} at {flood}");
    }
}

#[test]
fn discovery_that_must_be_asked_is_subscribed_and_renewed_with_back_off() {
    let mut b = Bench::new(Settings { subscribe_to_discovery: true, ..settings() }, fleet(1, 2), 1);
    let asked = |b: &Bench| b.log.iter().filter(|a| **a == Action::Subscribe).count();
    b.pass(100.0);
    assert_eq!(asked(&b), 1);
    b.give(Event::FleetUpdate(FleetUpdateKind::Unavailable, Vec::new()));
    for _ in 0..40 {
        b.pass(100.0);
    }
    assert!((2..=4).contains(&asked(&b)), "{}", asked(&b));
    b.give(Event::FleetUpdate(FleetUpdateKind::Update, Vec::new()));
    let before = asked(&b);
    for _ in 0..100 {
        b.pass(100.0);
    }
    assert_eq!(asked(&b), before);
}

#[test]
fn guarded_stages_take_safe_classes_only_and_keys_stay_with_the_new_build() {
    let mut entries = fleet(1, 2);
    entries.push(node("new", 2));
    let mut b = Bench::new(Settings { idempotent_only_stages: 1, ..settings() }, entries.clone(), 1);
    b.give(news(2, 0, Phase::Trial, 0.5));
    for i in 0..300 {
        let class = i % 3;
        let (id, out) = b.ask(class);
        let to = sent(&out).unwrap();
        assert!(class == 0 || &*to.0 != "new");
        b.end(&id, 0, &to, Outcome::Ok, 20.0);
    }
    let mut b = Bench::new(Settings { sticky_keys: true, ..settings() }, entries, 1);
    b.give(news(2, 1, Phase::Trial, 0.5));
    let key = || Some(Key("order".into()));
    let mut met = false;
    for _ in 0..200 {
        let (id, out) = b.ask_keyed(0, key());
        let Some(to) = sent(&out) else { continue };
        assert!(!met || &*to.0 == "new");
        met |= &*to.0 == "new";
        b.end(&id, 0, &to, Outcome::Ok, 20.0);
    }
    assert!(met);
}

/// Replays what the marshal did against the rules: answers, repeats, exposure and drains.
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

struct Open {
    id: RequestId,
    class: usize,
    copy: u32,
    node: NodeId,
    may_have_run: bool,
}

fn run_case(steps: &[(u8, usize, u8, f64)], per_class: bool) {
    let mut entries = fleet(1, 3);
    entries.extend([node("t0", 2), node("t1", 2)]);
    let set = Settings { exposure_per_class: per_class, ..settings() };
    let mut b = Bench::new(set, entries.clone(), 1);
    b.give(news(2, 1, Phase::Trial, 0.4));
    let caps = [0.4, 0.1, 0.0, 1.0];
    // Caps as told, with the time; attempts and requests with time and class; the nodes that drain.
    let mut told = vec![(b.now, 0.4)];
    let mut tries: Vec<(f64, usize)> = Vec::new();
    let mut taken: Vec<(f64, usize)> = Vec::new();
    let mut open: Vec<Open> = Vec::new();
    let mut down: Vec<NodeId> = Vec::new();
    for &(kind, pick, verdict, ms) in steps {
        b.pass(ms);
        let (out, mut who) = match kind {
            0..=4 => {
                taken.push((b.now, pick % 3));
                let (id, out) = b.ask(pick % 3);
                (
                    out,
                    Some(Open {
                        id,
                        class: pick % 3,
                        copy: 0,
                        node: entries[0].node.clone(),
                        may_have_run: false,
                    }),
                )
            }
            5..=9 if !open.is_empty() => {
                let mut o = open.remove(pick % open.len());
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
                let verdict = all[usize::from(verdict)];
                let out = b.end(&o.id, o.copy, &o.node, verdict, ms + 1.0);
                o.may_have_run |= !matches!(verdict, Outcome::Rejected | Outcome::ConnectFailed);
                o.copy += 1;
                if verdict == Outcome::Ok {
                    assert!(sent(&out).is_none());
                    (out, None)
                } else {
                    (out, Some(o))
                }
            }
            10 => {
                let cap = caps[pick % 4];
                told.push((b.now, cap));
                (b.give(news(2, 1, Phase::Trial, cap)), None)
            }
            _ => {
                let mut entry = entries[pick % entries.len()].clone();
                down.retain(|n| *n != entry.node);
                if verdict < 4 {
                    entry.state = NodeState::Terminating;
                    down.push(entry.node.clone());
                }
                (b.give(Event::FleetUpdate(FleetUpdateKind::Update, vec![entry])), None)
            }
        };
        let Some(mut o) = who.take() else { continue };
        let about: Vec<&Action> = out
            .iter()
            .filter(|a| match a {
                Action::Attempt { id, .. } | Action::Refuse(id, _) | Action::Fail(id) => *id == o.id,
                _ => false,
            })
            .collect();
        assert_eq!(about.len(), 1, "exactly one step at once: {out:?}");
        match about[0] {
            Action::Attempt { node, .. } => {
                assert!(!(o.class == 2 && o.may_have_run), "unsafe sent again");
                assert!(!down.contains(node), "sent to a draining node");
                o.node = node.clone();
                if node.0.starts_with('t') {
                    tries.push((b.now, o.class));
                    check_exposure(&told, &tries, &taken, b.now, per_class.then_some(o.class));
                }
                open.push(o);
            }
            Action::Refuse(..) => assert!(!(o.class == 2 && o.may_have_run), "unsafe refused"),
            _ => {}
        }
    }
}

/// The cap that binds: the one last told, or the one before while the drain grace runs. Attempts are counted
/// anew from when a lower cap binds.
fn check_exposure(
    told: &[(f64, f64)],
    tries: &[(f64, usize)],
    taken: &[(f64, usize)],
    now: f64,
    class: Option<usize>,
) {
    let (mut cap, mut from) = (told[0].1, f64::MIN);
    let mut pending: Option<(f64, f64)> = None;
    for &(at, next) in &told[1..] {
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
    let sent = tries.iter().filter(|t| t.0 > (now - 6000.0).max(from) && of(t.1)).count() as f64;
    let asked = taken.iter().filter(|t| t.0 > now - 6000.0 && of(t.1)).count() as f64;
    assert!(sent <= 3.0 + cap * asked + 1e-9, "{sent} sent, {asked} asked, cap {cap}");
}

/// Guards against herding: what is in flight must count at once, before any answer tells that it jams.
#[test]
fn a_burst_spreads_over_the_nodes() {
    let mut b = Bench::new(settings(), fleet(1, 8), 1);
    for _ in 0..80 {
        b.pass(5.0);
        b.serve(0, |_| (Outcome::Ok, 40.0));
    }
    let mut held = std::collections::BTreeMap::new();
    for _ in 0..40 {
        if let Some(to) = sent(&b.ask(0).1) {
            *held.entry(to).or_insert(0) += 1;
        }
    }
    assert!(held.values().all(|&n| n <= 8), "{held:?}");
}

#[test]
fn the_aim_is_stretched_by_the_work_where_the_settings_say_so() {
    let mut set = settings();
    set.classes[2].latency_target_per_work = 1.5;
    let mut b = Bench::new(set, fleet(1, 2), 1);
    let out = b.give(Event::Request {
        id: id("r"),
        class: ClassId(2),
        key: None,
        tenant: None,
        expires_in: Ms(1000.0),
        work_hint: Some(Ms(100.0)),
        is_retry: false,
    });
    assert!(matches!(&out[0], Action::Attempt { timeout: Some(Ms(ms)), .. } if *ms == 450.0), "{out:?}");
}

#[test]
fn a_stream_that_broke_is_the_clients_and_a_keyed_request_stays_in_its_cell() {
    let mut set = settings();
    set.classes[0].streamed = true;
    set.classes[1].dedup_scope = DedupScope::Cell;
    let mut entries = fleet(1, 6);
    entries.iter_mut().enumerate().for_each(|(i, entry)| entry.cell = i as u32 / 3);
    let mut b = Bench::new(set, entries.clone(), 1);
    let (id, out) = b.ask(0);
    let node = sent(&out).unwrap();
    assert!(b.give(Event::StreamStarted(id.clone(), 0)).is_empty());
    let broken = Event::Completed {
        id,
        attempt: 0,
        node,
        outcome: Outcome::Reset,
        latency: Ms(60.0),
        is_final: true,
        load: None,
    };
    assert!(b.give(broken).is_empty());
    let cell = |node: &NodeId| entries.iter().find(|e| e.node == *node).map(|e| e.cell);
    for _ in 0..8 {
        let (id, out) = b.ask(1);
        let first = sent(&out).unwrap();
        let out = b.end(&id, 0, &first, Outcome::Error, 20.0);
        if let Some(second) = sent(&out) {
            assert_eq!(cell(&first), cell(&second));
        }
    }
}

/// Guards against work that nobody waits for: clients that leave before their time and ask again at once.
#[test]
fn the_attempt_of_a_client_that_left_is_cancelled_where_allowed() {
    for allowed in [true, false] {
        let mut b = Bench::new(Settings { may_cancel: allowed, ..settings() }, fleet(1, 3), 1);
        let (id, out) = b.ask(0);
        let first = sent(&out).unwrap();
        let out = b.end(&id, 0, &first, Outcome::Error, 5.0);
        let second = sent(&out).unwrap();
        let left = b.give(Event::ClientGone(id.clone()));
        assert_eq!(left, if allowed { vec![Action::Cancel(id.clone(), 1)] } else { vec![] });
        assert!(b.end(&id, 1, &second, Outcome::Cancelled, 60.0).is_empty());
        assert!(b.give(Event::ClientGone(id)).is_empty());
    }
}

/// Guards against knocking at every door: where few nodes take a new connection, those that hold one are asked.
#[test]
fn where_connections_are_refused_the_nodes_that_hold_one_are_asked() {
    let mut b = Bench::new(settings(), fleet(1, 40), 1);
    let takes = |to: &NodeId| ["n3", "n17", "n29"].contains(&&*to.0);
    let tried = std::cell::Cell::new((0u32, 0u32));
    for i in 0..400 {
        b.pass(20.0);
        b.serve(i % 3, |to| {
            let (sent, refused) = tried.get();
            let refuses = i >= 100 && !takes(to);
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

/// Guards against overload by many: each of hundreds of marshals holds next to nothing at any node, and must
/// refuse all the same; now and then it still tries, so that it learns when the jam is over.
#[test]
fn a_marshal_with_little_traffic_refuses_under_overload_and_finds_out_when_it_ends() {
    let mut b = Bench::new(settings(), fleet(1, 40), 1);
    let mut turn = |ms: f64| {
        let mut refused = 0;
        for i in 0..150 {
            b.pass(200.0);
            let (id, out) = b.ask(i % 3);
            match sent(&out) {
                Some(to) => drop(b.end(&id, 0, &to, Outcome::Ok, ms)),
                None => refused += 1,
            }
        }
        refused
    };
    assert_eq!(turn(40.0), 0);
    let jammed = turn(600.0);
    assert!((90..150).contains(&jammed), "{jammed}");
    turn(40.0);
    assert!(turn(40.0) < 15);
}

/// Guards against a refusal by a guess: one answer to a lone request doesn't tell how slowly a crowd is served. Answers to a
/// crowd do, and it is refused where they come late.
#[test]
fn a_crowd_is_refused_for_what_crowds_met_and_not_for_a_guess() {
    let mut b = Bench::new(settings(), fleet(1, 1), 1);
    let mut refused = |count: usize, ms: f64| {
        let asked: Vec<_> = (0..count).map(|at| b.ask(at % 3)).collect();
        let out: Vec<_> = asked.iter().filter_map(|(id, out)| Some((id, sent(out)?))).collect();
        (0..(ms / 50.0) as u32).for_each(|_| b.pass(50.0));
        out.iter().for_each(|(id, to)| drop(b.end(id, 0, to, Outcome::Ok, ms)));
        count - out.len()
    };
    assert_eq!(refused(1, 50.0), 0);
    assert_eq!(refused(8, 50.0), 0);
    let late: usize = (0..10).map(|_| refused(8, 600.0)).sum();
    assert!(late > 40, "{late} of 80 refused");
}

/// Guards against shutting sound servers for single spoilt answers: where each now and then breaks one, all would be
/// set aside most of the time. One without a connection, or that breaks three in a row, is.
#[test]
fn a_single_broken_answer_sets_no_server_aside_and_a_refused_connection_does() {
    for (verdict, times, aside) in
        [(Outcome::Reset, 1, false), (Outcome::Reset, 3, true), (Outcome::ConnectFailed, 1, true)]
    {
        let mut b = Bench::new(settings(), fleet(1, 2), 1);
        let ok = |_: &NodeId| (Outcome::Ok, 40.0);
        (0..100).for_each(|_| b.serve(0, ok));
        let bad = b.ask(2).1;
        let bad = sent(&bad).unwrap();
        let mut broken = 0;
        while broken < times {
            let (id, out) = b.ask(2);
            let node = sent(&out).unwrap();
            let ends = if node == bad { verdict } else { Outcome::Ok };
            broken += u32::from(node == bad);
            b.end(&id, 0, &node, ends, 40.0);
        }
        let asked = (0..40).filter(|_| {
            let (id, out) = b.ask(0);
            let node = sent(&out).unwrap();
            b.end(&id, 0, &node, Outcome::Ok, 40.0);
            node == bad
        });
        assert_eq!(asked.count() == 0, aside, "{verdict:?} {times}");
    }
}

/// Guards against tables that grow as long as a marshal runs: its requests, keys, servers and builds never stop
/// being new.
#[test]
fn what_a_marshal_holds_stays_bounded_on_a_day_without_end() {
    let mut b = Bench::new(Settings { sticky_keys: true, ..settings() }, fleet(1, 3), 1);
    let mut sizes = Vec::new();
    for day in 0..40u32 {
        let build = day + 2;
        let hosts: Vec<NodeEntry> = (0..3).map(|at| node(&format!("d{day}-{at}"), build)).collect();
        b.give(Event::FleetUpdate(FleetUpdateKind::Replace, hosts));
        b.give(news(build, 0, Phase::Trial, 0.1));
        b.give(news(build, 3, if day % 2 == 0 { Phase::Withdrawn } else { Phase::Released }, 1.0));
        for at in 0..300 {
            let key = Key(format!("k{day}-{at}").as_str().into());
            let (id, out) = b.ask_keyed(0, Some(key));
            if let Some(node) = sent(&out) {
                b.end(&id, 0, &node, Outcome::Ok, 40.0);
            }
            b.pass(100.0);
        }
        sizes.push(format!("{:?}", b.marshal).len());
    }
    let most = |part: &[usize]| part.iter().max().copied().unwrap();
    assert!(most(&sizes[20..]) <= most(&sizes[10..20]) + 400, "{sizes:?}");
}

/// Guards against a budget for overload that binds where nothing is late: answers that break all over cost a second
/// attempt each; servers that are full, as under overload, are asked no more than a tenth again.
#[test]
fn breaks_without_lateness_may_each_be_tried_again() {
    for (end, least, most) in [(Outcome::Reset, 0.35, 0.45), (Outcome::Rejected, 0.05, 0.15)] {
        let mut b = Bench::new(settings(), fleet(1, 6), 1);
        let (mut requests, mut attempts) = (0, 0);
        for at in 0..1500 {
            b.pass(20.0);
            let (id, mut out) = b.ask(0);
            let mut copy = 0;
            requests += 1;
            while let Some(node) = sent(&out) {
                attempts += 1;
                let broken = copy == 0 && at % 5 < 2;
                out = b.end(&id, copy, &node, if broken { end } else { Outcome::Ok }, 30.0);
                copy += 1;
                if !broken {
                    break;
                }
            }
        }
        let more = f64::from(attempts - requests) / f64::from(requests);
        assert!(more > least && more < most, "{end:?}: {more}");
    }
}
