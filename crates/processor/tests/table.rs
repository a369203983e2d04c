//! One verdict for each try, and never a second run of what must not run twice: by hand, and by drawn proxies that repeat,
//! lose, lie by silence and come back, with the real decision module behind the table.

use milletwing_decision::interface::{
    Action, Build, Class as Kind, ClassId, DedupScope, Event, FleetUpdateKind, Ms, NodeEntry, NodeId,
    Outcome as End, RequestId, RetrySafety, Settings,
};
use milletwing_decision::Marshal;
use milletwing_processor::table::Decision;
use milletwing_processor::table::{Ask, Class, Earlier, Outcome, Output, Refusal, Table, Verdict};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

const EFFECTS: [RetrySafety; 3] =
    [RetrySafety::Idempotent, RetrySafety::Deduplicated, RetrySafety::AtMostOnce];

fn table(most: usize) -> Table {
    let class = |effect| Class { effect, scope: DedupScope::All, memory: Ms(500.0) };
    Table::new(EFFECTS.map(class).into(), Ms(100.0), Ms(200.0), most)
}

fn id(name: &str) -> RequestId {
    RequestId(Arc::from(name))
}

fn node(name: &str) -> NodeId {
    NodeId(Arc::from(name))
}

fn ask(name: &str, class: usize, number: usize, earlier: Vec<Earlier>) -> Ask {
    Ask { id: id(name), class, number, left: Ms(1000.0), earlier }
}

fn send(name: &str, now: f64) -> Verdict {
    Verdict::Send { node: node(name), begin_by: Ms(now + 100.0), until: Ms(now + 800.0) }
}

struct Bench {
    table: Table,
    now: f64,
}

impl Bench {
    fn new() -> Bench {
        Bench { table: table(100), now: 0.0 }
    }
    fn ask(&mut self, stream: u64, ask: &Ask) -> Result<Vec<Output>, Refusal> {
        let mut out = Vec::new();
        self.table.ask(Ms(self.now), stream, ask, &mut out).map(|()| out)
    }
    fn decide(&mut self, name: &str, decision: Decision) -> (bool, Vec<Output>) {
        let mut out = Vec::new();
        (self.table.decided(Ms(self.now), &id(name), decision, &mut out), out)
    }
    fn report(&mut self, name: &str, number: usize, outcome: Outcome) -> Result<Vec<Output>, Refusal> {
        let mut out = Vec::new();
        self.table.report(Ms(self.now), &id(name), number, outcome, &mut out).map(|()| out)
    }
    fn to(&self, name: &str) -> Decision {
        Decision::Send(node(name), Ms(self.now + 800.0))
    }
}

#[test]
fn asked_again_over_another_stream_a_try_has_the_same_verdict() {
    let mut b = Bench::new();
    let first = ask("r", 2, 0, Vec::new());
    assert_eq!(b.ask(1, &first).unwrap(), [Output::Taken(id("r"), 2, Ms(1000.0))]);
    assert_eq!(b.ask(2, &first).unwrap(), [], "the module is told once");
    let (taken, out) = b.decide("r", b.to("n1"));
    let tell = |stream| Output::Tell(stream, id("r"), 0, send("n1", 0.0));
    assert!(taken);
    assert_eq!(out, [tell(1), tell(2)]);
    b.now = 50.0;
    assert_eq!(b.ask(3, &first).unwrap(), [tell(3)], "with its first moment, not a later one");
    assert!(!b.decide("r", b.to("n2")).0, "one is out");
    // A report that comes twice ends it once; no time is longer than it can have been.
    let ended = b.report("r", 0, Outcome::Ended(End::Ok, Ms(9999.0))).unwrap();
    assert_eq!(ended, [Output::Ended(id("r"), 0, node("n1"), End::Ok, Ms(50.0))]);
    assert_eq!(b.report("r", 0, Outcome::Never).unwrap(), []);
    b.now = 1100.0;
    assert_eq!(b.ask(4, &first).unwrap(), [tell(4)]);
}

#[test]
fn a_verdict_that_may_have_reached_its_proxy_may_have_run_until_it_says_never() {
    let earlier = |never| vec![Earlier { node: node("n1"), never, age: Ms(60.0) }];
    for (never, end) in [(false, End::Timeout), (true, End::NotSent)] {
        let mut b = Bench::new();
        b.ask(1, &ask("r", 2, 0, Vec::new())).unwrap();
        b.decide("r", b.to("n1"));
        b.now = 60.0;
        let out = b.ask(2, &ask("r", 2, 1, earlier(never))).unwrap();
        assert!(matches!(&out[..], [Output::Ended(_, 0, _, got, _)] if *got == end), "{out:?}");
        // Decided before it was asked, or after: it is told as it is asked.
        let (_, out) = b.decide("r", Decision::Failed);
        assert_eq!(out, [Output::Tell(2, id("r"), 1, Verdict::Failed)]);
        assert!(!b.decide("r", b.to("n2")).0, "a final verdict is final");
    }
    // Decided while nobody waited: never told, so it never left, whoever asks for the next one.
    let mut b = Bench::new();
    b.ask(1, &ask("r", 2, 0, Vec::new())).unwrap();
    b.table.closed(1);
    b.decide("r", b.to("n1"));
    let out = b.ask(2, &ask("r", 2, 1, Vec::new())).unwrap();
    assert!(matches!(&out[..], [Output::Ended(_, 0, _, End::NotSent, _)]), "{out:?}");
}

#[test]
fn after_a_restart_an_ask_is_answered_from_what_it_proves_or_failed() {
    let earlier = |never, age| vec![Earlier { node: node("n1"), never, age: Ms(age) }];
    for (class, known, goes_on) in [
        (0, earlier(false, 900.0), true),
        (1, earlier(false, 400.0), true),
        (1, earlier(false, 500.0), false),
        (2, earlier(true, 10.0), true),
        (2, earlier(false, 10.0), false),
        (2, Vec::new(), false),
        (1, Vec::new(), false),
    ] {
        let mut b = Bench::new();
        let asked = ask("r", class, 1, known);
        let out = b.ask(1, &asked).unwrap();
        let failed = [Output::Tell(1, id("r"), 1, Verdict::Failed)];
        assert_eq!(out != failed, goes_on, "{asked:?}: {out:?}");
        // What came before is not guessed either, and the same is said again.
        assert_eq!(
            b.ask(2, &Ask { number: 0, ..asked.clone() }).unwrap(),
            [Output::Tell(2, id("r"), 0, Verdict::Failed)]
        );
        if goes_on {
            b.decide("r", b.to("n2"));
            assert_eq!(b.ask(3, &asked).unwrap(), [Output::Tell(3, id("r"), 1, send("n2", 0.0))]);
            assert!(matches!(&b.report("r", 1, Outcome::Never).unwrap()[..], [Output::Ended(_, 0, ..)]));
        } else {
            assert_eq!(b.ask(3, &asked).unwrap(), [Output::Tell(3, id("r"), 1, Verdict::Failed)]);
        }
    }
}

#[test]
fn callers_that_lie_run_ahead_or_never_report_are_bounded() {
    let mut b = Bench { table: table(2), now: 0.0 };
    b.ask(1, &ask("a", 0, 0, Vec::new())).unwrap();
    assert_eq!(b.ask(1, &ask("a", 2, 0, Vec::new())), Err(Refusal::Invalid), "another class under one id");
    assert_eq!(b.ask(1, &ask("x", 9, 0, Vec::new())), Err(Refusal::Invalid));
    assert_eq!(b.ask(1, &ask("a", 0, 3, Vec::new())), Err(Refusal::Ahead));
    b.ask(1, &ask("b", 0, 0, Vec::new())).unwrap();
    assert_eq!(b.ask(1, &ask("c", 0, 0, Vec::new())), Err(Refusal::Full));
    assert_eq!(b.report("c", 0, Outcome::Never), Err(Refusal::Unknown));
    assert_eq!(b.report("a", 0, Outcome::Never), Err(Refusal::Ahead));
    b.decide("a", b.to("n1"));
    b.decide("b", Decision::Refused(None));
    assert_eq!(b.report("b", 0, Outcome::Never), Err(Refusal::Invalid), "nothing was to be sent");
    b.now = 1000.0;
    let mut out = Vec::new();
    b.table.tick(Ms(b.now), &mut out);
    assert!(matches!(&out[..], [Output::Ended(_, 0, _, End::Cancelled, _)]), "evidence of nothing: {out:?}");
    b.table.tick(Ms(1499.0), &mut Vec::new());
    assert_eq!(b.table.len(), 2, "as long as a repeat could do harm");
    b.table.tick(Ms(1500.0), &mut Vec::new());
    assert!(b.table.is_empty());
    // A client that left: the module hears it, and nothing more is decided.
    b.ask(1, &ask("d", 2, 0, Vec::new())).unwrap();
    let mut out = Vec::new();
    b.table.cancel(Ms(b.now), &id("d"), &mut out);
    b.table.cancel(Ms(b.now), &id("d"), &mut out);
    assert_eq!(out, [Output::Gone(id("d"))]);
    assert!(!b.decide("d", b.to("n1")).0);
}

fn settings() -> Settings {
    let class = |effect| Kind {
        latency_target: Ms(300.0),
        target_per_work: 0.0,
        client_timeout: Ms(1000.0),
        retry_safety: effect,
        dedup_scope: DedupScope::All,
        dedup_window: Ms(500.0),
        late_value: 0.5,
        value: 1.0,
        streamed: false,
    };
    Settings {
        marshals: 1,
        tick: Ms(5.0),
        classes: EFFECTS.map(class).into(),
        advance_votes: 1,
        revert_votes: 1,
        votes_per_s: 100.0,
        exposure_allowance: 3.0,
        exposure_window: Ms(6000.0),
        stage_cap: vec![1.0],
        max_attempts: 6,
        cold_start_capacity: 0.4,
        warmup: Ms(4000.0),
        overload_multiple: 3.0,
        drain_grace: Ms(500.0),
        discovery_deadline: Ms(10_000.0),
        retry_after: true,
        max_retry_after: Ms(1000.0),
        ..Settings::default()
    }
}

/// A proxy's request, and what it has been told.
#[derive(Default)]
struct Held {
    class: usize,
    next: usize,
    earlier: Vec<Earlier>,
    over: bool,
}

/// Proxies that lose verdicts, repeat asks, report late or never, and a table that is restarted: what must not run twice
/// doesn't, and a try never has two verdicts in one life of the table.
#[test]
fn drawn_proxies_never_make_an_effect_happen_twice() {
    let (mut runs_in_all, mut failed) = (0, 0);
    for seed in 0..60 {
        let mut dice = Pcg64Mcg::seed_from_u64(seed);
        let mut table = table(10_000);
        let mut module = Marshal::new(settings(), seed);
        let mut actions = Vec::new();
        let list = (0..6)
            .map(|at| NodeEntry {
                node: node(&format!("n{at}")),
                build: Build(1),
                weight: 1.0,
                ..NodeEntry::default()
            })
            .collect();
        module.handle(Ms(0.0), Event::Start, &mut actions);
        module.handle(Ms(0.0), Event::FleetUpdate(FleetUpdateKind::Restored, list), &mut actions);
        let mut held: BTreeMap<RequestId, Held> = BTreeMap::new();
        let mut runs: BTreeMap<RequestId, u32> = BTreeMap::new();
        let mut told: BTreeMap<(RequestId, usize), Verdict> = BTreeMap::new();
        let mut now = 0.0;
        for step in 0..1500 {
            now += dice.random_range(0.0..4.0);
            let mut out = Vec::new();
            if dice.random_bool(0.25) {
                let name = id(&format!("r{step}"));
                held.insert(name, Held { class: dice.random_range(0..3), ..Held::default() });
            }
            // Some ask, or ask again, for the try that they want next.
            let names: Vec<RequestId> =
                held.iter().filter(|(_, h)| !h.over).map(|(name, _)| name.clone()).collect();
            for name in names.iter().filter(|_| dice.random_bool(0.2)).collect::<Vec<_>>() {
                let h = &held[name];
                let ask = Ask {
                    id: name.clone(),
                    class: h.class,
                    number: h.next,
                    left: Ms(1000.0),
                    earlier: h.earlier.clone(),
                };
                let _ = table.ask(Ms(now), dice.random_range(0..4), &ask, &mut out);
                // ahead of its time, for one
            }
            if dice.random_bool(0.05) {
                table.closed(dice.random_range(0..4));
            }
            table.tick(Ms(now), &mut out);
            if step == 700 {
                // The table and the module begin anew, and know nothing.
                table = self::table(10_000);
                module = Marshal::new(settings(), seed + 1);
                actions.clear();
                let list = (0..6)
                    .map(|at| NodeEntry {
                        node: node(&format!("n{at}")),
                        build: Build(1),
                        weight: 1.0,
                        ..NodeEntry::default()
                    })
                    .collect();
                module.handle(Ms(now), Event::Start, &mut actions);
                module.handle(Ms(now), Event::FleetUpdate(FleetUpdateKind::Restored, list), &mut actions);
                told.clear();
                out.clear();
            }
            while let Some(output) = (!out.is_empty()).then(|| out.remove(0)) {
                match output {
                    Output::Taken(id, class, expires_in) => {
                        let (class, key, tenant, work_hint, is_retry) =
                            (ClassId(class), None, None, None, false);
                        let event =
                            Event::Request { id, class, key, tenant, expires_in, work_hint, is_retry };
                        module.handle(Ms(now), event, &mut actions);
                    }
                    Output::Ended(id, copy, node, verdict, latency) => {
                        let settled = verdict == End::Ok;
                        let event = Event::Completed {
                            id,
                            attempt: copy,
                            node,
                            outcome: verdict,
                            latency,
                            is_final: settled,
                            load: None,
                        };
                        module.handle(Ms(now), event, &mut actions);
                    }
                    Output::Gone(id) => module.handle(Ms(now), Event::ClientGone(id), &mut actions),
                    Output::Tell(_, name, number, verdict) => {
                        let before = told.insert((name.clone(), number), verdict.clone());
                        assert!(
                            before.is_none_or(|before| before == verdict),
                            "seed {seed}: {name:?} {number}"
                        );
                        let Some(h) = held.get_mut(&name).filter(|h| h.next == number && !h.over) else {
                            continue;
                        };
                        if dice.random_bool(0.15) {
                            continue; // lost on the way: it is asked again
                        }
                        let Verdict::Send { node, .. } = verdict else {
                            (h.over, failed) = (true, failed + u32::from(verdict == Verdict::Failed));
                            continue;
                        };
                        // It leaves, or doesn't; it runs, or doesn't; and its proxy reports, or doesn't.
                        let ran = dice.random_bool(0.85);
                        *runs.entry(name.clone()).or_default() += u32::from(ran);
                        h.next += 1;
                        h.earlier.push(Earlier { node: node.clone(), never: !ran, age: Ms(0.0) });
                        let outcome = match (ran, dice.random_range(0..4)) {
                            (false, _) => Outcome::Never,
                            (true, 0) => Outcome::Ended(End::Error, Ms(3.0)),
                            (true, 1) => Outcome::Ended(End::Timeout, Ms(9.0)),
                            (true, _) => {
                                h.over = true;
                                Outcome::Ended(End::Ok, Ms(5.0))
                            }
                        };
                        if dice.random_bool(0.8) {
                            let _ = table.report(Ms(now), &name, number, outcome, &mut out);
                            // it may be of another life
                        }
                    }
                }
                for action in std::mem::take(&mut actions) {
                    let (name, decision) = match action {
                        Action::Attempt { id, node, timeout } => {
                            (id, Decision::Send(node, Ms(now) + timeout.unwrap_or(Ms(500.0))))
                        }
                        Action::Refuse(id, wait) => (id, Decision::Refused(wait)),
                        Action::Fail(id) => (id, Decision::Failed),
                        Action::SetTimer(..) => continue,
                        _ => continue,
                    };
                    table.decided(Ms(now), &name, decision, &mut out);
                }
            }
        }
        for (name, runs) in &runs {
            runs_in_all += runs;
            assert!(held[name].class != 2 || *runs <= 1, "seed {seed}: {name:?} ran {runs} times");
        }
    }
    assert!(runs_in_all > 5000 && failed > 100, "{runs_in_all} {failed}");
}
