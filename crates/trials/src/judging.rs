//! What pooled judging is for: the time from a bad build's first answers to the vote that sends it back, pooled against
//! each instance judging alone, and how often a good build goes back. The module itself, many of it, without sockets
//! and on a clock of its own; whatever answers is drawn.

use milletwing_decision::interface::*;
use milletwing_decision::Marshal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// Milliseconds of a step, of a trial at most, between reports of evidence, and of a word among instances.
const STEP: f64 = 5.0;
const LIMIT: f64 = 60_000.0;
const REPORT: f64 = 250.0;
const WORD: f64 = 50.0;
/// Earlier machines, and those of the build on trial.
const OLD: usize = 15;
const NEW: usize = 5;
/// Mean time of an answer, in milliseconds.
const MEAN: f64 = 40.0;

/// How a build is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    /// It is not.
    None,
    /// Half of one class's requests fail.
    Errors,
    /// Everything takes three times as long.
    Slow,
    /// Everything takes six times as long.
    Slower,
    /// A third of its answers are wrong; clients report three in ten of those, two seconds later.
    Wrong,
}

/// All kinds.
pub const HARMS: [(Harm, &str); 5] = [
    (Harm::None, "good"),
    (Harm::Errors, "errors in one class"),
    (Harm::Slow, "three times slower"),
    (Harm::Slower, "six times slower"),
    (Harm::Wrong, "wrong answers"),
];

fn class(effect: RetrySafety) -> Class {
    Class {
        latency_target: Ms(300.0),
        target_per_work: 0.0,
        client_timeout: Ms(1000.0),
        retry_safety: effect,
        dedup_scope: DedupScope::All,
        dedup_window: Ms(500.0),
        late_value: 0.1,
        value: 1.0,
        streamed: false,
    }
}

fn settings(instances: usize, me: usize, shared: bool) -> Settings {
    let of = |part: f64| ((instances as f64 * part).ceil() as u32).max(1);
    Settings {
        marshals: instances as u32,
        marshal_index: me as u32,
        tick: Ms(5.0),
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::Deduplicated),
            class(RetrySafety::AtMostOnce),
        ],
        advance_votes: of(0.4),
        revert_votes: of(0.25),
        vote_ttl: Ms(6000.0),
        vote_answer_timeout: Ms(2000.0),
        votes_per_s: 300.0,
        min_stage_duration: Ms(1500.0),
        stage_report_period: Ms(4000.0),
        reported_wrong_share: 0.3,
        exposure_allowance: 3.0,
        exposure_window: Ms(6000.0),
        stage_cap: vec![0.25, 0.5, 1.0],
        stage_share: vec![0.25, 0.5, 1.0],
        retry_after: true,
        max_retry_after: Ms(1000.0),
        max_attempts: 6,
        cold_start_capacity: 0.4,
        warmup: Ms(4000.0),
        overload_multiple: 3.0,
        overload_duration: Ms(3000.0),
        drain_grace: Ms(500.0),
        discovery_deadline: Ms(10_000.0),
        may_cancel: true,
        group_decisions: shared,
        ..Settings::default()
    }
}

/// What is due at an instance, soonest first.
struct Due(f64, u64, usize, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// How a trial ended: milliseconds until it was sent back, if it was, and until it was first voted or decided on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ended {
    /// Back.
    pub back: Option<f64>,
    /// On.
    pub on: Option<f64>,
}

struct Trial {
    now: f64,
    dice: Pcg64Mcg,
    due: BinaryHeap<Due>,
    numbers: u64,
    harm: Harm,
    copies: BTreeMap<(usize, RequestId), (u32, usize)>,
}

impl Trial {
    fn set(&mut self, at: f64, instance: usize, event: Event) {
        self.numbers += 1;
        self.due.push(Due(at, self.numbers, instance, event));
    }

    /// What becomes of an attempt.
    fn attempt(&mut self, instance: usize, id: RequestId, node: NodeId, timeout: Ms) {
        let (copy, class) = self.copies.get(&(instance, id.clone())).copied().unwrap_or((0, 0));
        self.copies.insert((instance, id.clone()), (copy + 1, class));
        let new = node.0.starts_with('t');
        let slow = match self.harm {
            Harm::Slow if new => 3.0,
            Harm::Slower if new => 6.0,
            _ => 1.0,
        };
        let drawn: f64 = self.dice.random_range(0.0..1.0);
        let took = slow * MEAN * (0.5 - 0.5 * (1.0 - drawn).ln());
        let failed = new && self.harm == Harm::Errors && class == 1 && self.dice.random_bool(0.5);
        let wrong = new && self.harm == Harm::Wrong && self.dice.random_bool(0.33);
        let verdict = match (took > timeout.0, failed) {
            (true, _) => Outcome::Timeout,
            (_, true) => Outcome::Error,
            _ => Outcome::Ok,
        };
        let latency = took.min(timeout.0);
        if wrong && verdict == Outcome::Ok && self.dice.random_bool(0.3) {
            let (node, class, age) = (node.clone(), ClassId(class), Ms(latency + 2000.0));
            self.set(self.now + latency + 2000.0, instance, Event::WrongAnswer { node, class, age });
        }
        let settled = verdict == Outcome::Ok;
        let event = Event::Completed {
            id,
            attempt: copy,
            node,
            outcome: verdict,
            latency: Ms(latency),
            is_final: settled,
            load: None,
        };
        self.set(self.now + latency, instance, event);
    }
}

/// One trial of a build by so many instances of so many requests a second each.
pub fn trial(instances: usize, rate: f64, harm: Harm, shared: bool, seed: u64) -> Ended {
    let entry = |name: String, build: u32| NodeEntry {
        node: NodeId(Arc::from(name.as_str())),
        build: Build(build),
        weight: 1.0,
        ..NodeEntry::default()
    };
    let mut list: Vec<NodeEntry> = (0..OLD).map(|at| entry(format!("n{at}"), 1)).collect();
    let news = |build: u32, phase, cap| {
        let (build, age) = (Build(build), Ms(0.0));
        Event::StageReport(StageReport {
            answers_vote: false,
            outcome: Outcome::Ok,
            build,
            stage: 0,
            phase,
            cap,
            age,
        })
    };
    let mut marshals: Vec<Marshal> = (0..instances)
        .map(|at| Marshal::new(settings(instances, at, shared), seed * 1000 + at as u64))
        .collect();
    let dice = Pcg64Mcg::seed_from_u64(seed);
    let mut t = Trial { now: 1e6, dice, due: BinaryHeap::new(), numbers: 0, harm, copies: BTreeMap::new() };
    for at in 0..instances {
        t.set(t.now, at, Event::Start);
        t.set(t.now, at, Event::FleetUpdate(FleetUpdateKind::Restored, list.clone()));
        t.set(t.now, at, news(1, Phase::Released, 1.0));
    }
    list.extend((0..NEW).map(|at| entry(format!("t{at}"), 2)));
    // The build comes after twelve calm seconds.
    let began = t.now + 12_000.0;
    for at in 0..instances {
        t.set(began, at, news(2, Phase::Trial, 0.25));
        t.set(began, at, Event::FleetUpdate(FleetUpdateKind::Update, list[OLD..].to_vec()));
        t.set(began, at, Event::GroupMessage(GroupMessage::ExposureGrant(Build(2), 0.25)));
        t.set(began, at, Event::GroupMessage(GroupMessage::Leadership(at == 0)));
    }
    let back_votes = settings(instances, 0, shared).revert_votes as usize;
    let mut seen: BTreeMap<usize, Evidence> = BTreeMap::new();
    let mut votes: BTreeMap<usize, f64> = BTreeMap::new();
    let (mut ended, mut asked, mut pool_at) = (Ended::default(), 0u64, began);
    let mut decided = None;
    let mut out = Vec::new();
    while t.now < began + LIMIT {
        t.now += STEP;
        for at in 0..instances {
            if t.dice.random_bool(rate * STEP / 1000.0) {
                asked += 1;
                let id = RequestId(Arc::from(format!("q{asked}").as_str()));
                let class = (asked % 3) as usize;
                t.copies.insert((at, id.clone()), (0, class));
                let (class, expires_in) = (ClassId(class), Ms(1000.0));
                let (key, tenant, work_hint, is_retry) = (None, None, None, false);
                t.set(t.now, at, Event::Request { id, class, key, tenant, expires_in, work_hint, is_retry });
            }
        }
        if shared && t.now >= pool_at {
            pool_at += REPORT;
            let pool = seen.values().cloned().reduce(|sum, part| sum.plus(&part));
            if let Some(pool) = pool {
                t.set(t.now + 2.0 * WORD, 0, Event::GroupMessage(GroupMessage::PooledEvidence(pool)));
            }
        }
        while t.due.peek().is_some_and(|due| due.0 <= t.now) {
            let Some(Due(_, _, at, event)) = t.due.pop() else { break };
            marshals[at].handle(Ms(t.now), event, &mut out);
            for action in out.drain(..) {
                match action {
                    Action::Attempt { id, node, timeout } => {
                        t.attempt(at, id, node, timeout.unwrap_or(Ms(1000.0)))
                    }
                    Action::Refuse(id, _) | Action::Fail(id) => drop(t.copies.remove(&(at, id))),
                    Action::SetTimer(key, due) => t.set(due.0, at, Event::Timer(key)),
                    Action::ShareEvidence(evidence) if evidence.build == Build(2) => {
                        drop(seen.insert(at, *evidence))
                    }
                    Action::ProposeDecision { build, stage, vote }
                        if decided.is_none_or(|was| was != vote && was != Vote::Revert) =>
                    {
                        decided = Some(vote);
                        for other in 0..instances {
                            let news = GroupMessage::Decided(build, stage, vote);
                            t.set(t.now + 2.0 * WORD, other, Event::GroupMessage(news));
                        }
                    }
                    Action::CastVote { vote: Vote::Revert, .. } => drop(votes.insert(at, t.now)),
                    Action::CastVote { vote: Vote::Advance, .. } => {
                        ended.on.get_or_insert(t.now - began);
                    }
                    _ => {}
                }
            }
        }
        let standing = votes.values().filter(|at| t.now - **at <= 6000.0).count();
        if standing >= back_votes {
            ended.back = Some(t.now - began);
            return ended;
        }
    }
    ended
}

/// Trials of one kind, with and without the group, as many as `seeds`.
pub fn run(instances: usize, seeds: u64) -> Value {
    let mut rows = Vec::new();
    for (harm, name) in HARMS {
        let [alone, pooled] = [false, true].map(|shared| {
            let work = |seed| trial(instances, 5.0, harm, shared, seed);
            let mut times: Vec<f64> = parallel(seeds, work).iter().filter_map(|ended| ended.back).collect();
            times.sort_by(f64::total_cmp);
            let at = |part: f64| {
                times.get((times.len() as f64 * part) as usize).map(|ms| (ms / 10.0).round() / 100.0)
            };
            json!({ "sent_back": times.len() as f64 / seeds as f64, "median_s": at(0.5), "p90_s": at(0.9) })
        });
        rows.push(json!({ "instances": instances, "build": name, "alone": alone, "pooled": pooled }));
    }
    json!(rows)
}

/// The work of all seeds on as many threads as there are cores.
fn parallel<T: Send>(seeds: u64, work: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = std::sync::atomic::AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        let one = || {
            let mut out = Vec::new();
            loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                if seed >= seeds {
                    return out;
                }
                out.push(work(seed));
            }
        };
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(one)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    })
}
