//! A small site for tests through the interface.

use milletwing_decision::interface::*;
use milletwing_decision::Marshal;
use std::sync::Arc;

pub fn class(effect: RetrySafety) -> Class {
    Class {
        latency_target: Ms(300.0),
        latency_target_per_work: 0.0,
        client_timeout: Ms(1000.0),
        retry_safety: effect,
        dedup_scope: DedupScope::All,
        dedup_window: Ms(500.0),
        late_value: 0.0,
        value: 1.0,
        streamed: false,
    }
}

/// Three classes (safe, keyed, unsafe), one marshal, four stages.
pub fn settings() -> Settings {
    Settings {
        marshals: 1,
        tick: Ms(5.0),
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::Deduplicated),
            class(RetrySafety::AtMostOnce),
        ],
        advance_votes: 1,
        revert_votes: 1,
        vote_ttl: Ms(6000.0),
        vote_answer_timeout: Ms(2000.0),
        platform_calls_per_s: 100.0,
        min_stage_duration: Ms(1500.0),
        stage_report_period: Ms(4000.0),
        reported_wrong_share: 0.3,
        exposure_allowance: 3.0,
        exposure_window: Ms(6000.0),
        stage_cap: vec![0.1, 0.4, 1.0, 1.0],
        stage_share: vec![0.05, 0.2, 0.5, 1.0],
        retry_after: true,
        max_retry_after: Ms(1000.0),
        max_attempts: 6,
        cold_start_capacity: 0.4,
        warmup: Ms(4000.0),
        overload_multiple: 3.0,
        overload_duration: Ms(3000.0),
        drain_grace: Ms(500.0),
        discovery_deadline: Ms(10000.0),
        ..Settings::default()
    }
}

pub fn node(name: &str, build: u32) -> NodeEntry {
    NodeEntry { node: NodeId(Arc::from(name)), build: Build(build), weight: 1.0, ..NodeEntry::default() }
}

pub fn id(name: &str) -> RequestId {
    RequestId(Arc::from(name))
}

pub fn news(build: u32, stage: u32, phase: Phase, cap: f64) -> Event {
    Event::StageReport(StageReport {
        answers_vote: false,
        outcome: Outcome::Ok,
        build: Build(build),
        stage,
        phase,
        cap,
        age: Ms(0.0),
    })
}

/// A marshal with a clock, its timers and a count of names.
pub struct Bench {
    pub marshal: Marshal,
    pub now: f64,
    pub log: Vec<Action>,
    alarm: f64,
    count: u64,
}

impl Bench {
    pub fn new(set: Settings, entries: Vec<NodeEntry>, build: u32) -> Bench {
        Bench::seeded(7, set, entries, build)
    }
    pub fn seeded(seed: u64, set: Settings, entries: Vec<NodeEntry>, build: u32) -> Bench {
        let marshal = Marshal::new(set, seed);
        let mut bench = Bench { marshal, now: 1000.0, log: Vec::new(), alarm: f64::MAX, count: 0 };
        bench.give(Event::Start);
        bench.give(Event::FleetUpdate(FleetUpdateKind::Restored, entries));
        bench.give(news(build, 3, Phase::Released, 1.0));
        bench
    }
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.marshal.handle(Ms(self.now), event, &mut out);
        for action in &out {
            if let Action::SetTimer(_, at) = action {
                self.alarm = at.0;
            }
        }
        self.log.extend(out.iter().cloned());
        out
    }
    /// Moves the clock on and delivers due alarms.
    pub fn pass(&mut self, ms: f64) {
        self.now += ms;
        if self.now >= self.alarm {
            self.give(Event::Timer("beat".into()));
        }
    }
    pub fn ask(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.ask_keyed(class, None)
    }
    pub fn ask_keyed(&mut self, class: usize, key: Option<Key>) -> (RequestId, Vec<Action>) {
        self.count += 1;
        let id = id(&format!("q{}", self.count));
        let event = Event::Request {
            id: id.clone(),
            class: ClassId(class),
            key,
            tenant: None,
            expires_in: Ms(1000.0),
            work_hint: None,
            is_retry: false,
        };
        let out = self.give(event);
        (id, out)
    }
    pub fn end(
        &mut self,
        id: &RequestId,
        copy: u32,
        node: &NodeId,
        verdict: Outcome,
        ms: f64,
    ) -> Vec<Action> {
        self.give(Event::Completed {
            id: id.clone(),
            attempt: copy,
            node: node.clone(),
            outcome: verdict,
            latency: Ms(ms),
            is_final: verdict == Outcome::Ok,
            load: None,
        })
    }
    /// One request, answered at once as `answer` says for its node and class.
    pub fn serve(&mut self, class: usize, answer: impl Fn(&NodeId) -> (Outcome, f64)) {
        let (id, mut out) = self.ask(class);
        let mut copy = 0;
        while let Some(node) = sent(&out) {
            let (verdict, ms) = answer(&node);
            out = self.end(&id, copy, &node, verdict, ms);
            if verdict == Outcome::Ok {
                return;
            }
            copy += 1;
        }
    }
    pub fn cast(&self, build: u32, wanted: Vote) -> bool {
        self.log
            .iter()
            .any(|a| matches!(a, Action::CastVote { build: b, vote, .. } if b.0 == build && *vote == wanted))
    }
}

pub fn sent(out: &[Action]) -> Option<NodeId> {
    out.iter().find_map(|a| match a {
        Action::Attempt { node, .. } => Some(node.clone()),
        _ => None,
    })
}
