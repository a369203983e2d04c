//! A harness and default settings for tests through the public interface.

use milletwing_decision::interface::*;
use milletwing_decision::Marshal;
use std::sync::Arc;

pub fn class(effect: RetrySafety) -> Class {
    Class {
        latency_target: Ms(300.0),
        target_per_work: 0.0,
        client_timeout: Ms(1000.0),
        retry_safety: effect,
        dedup_scope: DedupScope::All,
        dedup_window: Ms(500.0),
        late_value: 0.0,
        value: 1.0,
        streamed: false,
    }
}

/// Three classes (idempotent, deduplicated, at most once), one marshal, four stages.
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
        votes_per_s: 100.0,
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

pub fn request_id(name: &str) -> RequestId {
    RequestId(Arc::from(name))
}

pub fn stage_report(build: u32, stage: u32, phase: Phase, cap: f64) -> Event {
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

/// A marshal with a simulated clock and timer, a record of its actions, and a counter for request ids.
pub struct Harness {
    pub marshal: Marshal,
    pub now: f64,
    pub actions: Vec<Action>,
    timer_due: f64,
    request_count: u64,
}

impl Harness {
    pub fn new(config: Settings, entries: Vec<NodeEntry>, build: u32) -> Harness {
        Harness::seeded(7, config, entries, build)
    }
    pub fn seeded(seed: u64, config: Settings, entries: Vec<NodeEntry>, build: u32) -> Harness {
        let marshal = Marshal::new(config, seed);
        let mut harness =
            Harness { marshal, now: 1000.0, actions: Vec::new(), timer_due: f64::MAX, request_count: 0 };
        harness.handle(Event::Start);
        harness.handle(Event::FleetUpdate(FleetUpdateKind::Restored, entries));
        harness.handle(stage_report(build, 3, Phase::Released, 1.0));
        harness
    }
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.marshal.handle(Ms(self.now), event, &mut out);
        for action in &out {
            if let Action::SetTimer(_, at) = action {
                self.timer_due = at.0;
            }
        }
        self.actions.extend(out.iter().cloned());
        out
    }
    /// Advances the clock and delivers the timer if it is due.
    pub fn advance(&mut self, latency: f64) {
        self.now += latency;
        if self.now >= self.timer_due {
            self.handle(Event::Timer("beat".into()));
        }
    }
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with_key(class, None)
    }
    pub fn request_with_key(&mut self, class: usize, key: Option<Key>) -> (RequestId, Vec<Action>) {
        self.request_count += 1;
        let id = request_id(&format!("q{}", self.request_count));
        let event = Event::Request {
            id: id.clone(),
            class: ClassId(class),
            key,
            tenant: None,
            expires_in: Ms(1000.0),
            work_hint: None,
            is_retry: false,
        };
        let out = self.handle(event);
        (id, out)
    }
    pub fn complete(
        &mut self,
        id: &RequestId,
        attempt: u32,
        node: &NodeId,
        outcome: Outcome,
        latency: f64,
    ) -> Vec<Action> {
        self.handle(Event::Completed {
            id: id.clone(),
            attempt,
            node: node.clone(),
            outcome,
            latency: Ms(latency),
            is_final: outcome == Outcome::Ok,
            load: None,
        })
    }
    /// Sends one request; `answer` gives the outcome and latency of each attempt by its node.
    pub fn serve(&mut self, class: usize, answer: impl Fn(&NodeId) -> (Outcome, f64)) {
        let (id, mut out) = self.request(class);
        let mut attempt = 0;
        while let Some(node) = attempted_node(&out) {
            let (outcome, latency) = answer(&node);
            out = self.complete(&id, attempt, &node, outcome, latency);
            if outcome == Outcome::Ok {
                return;
            }
            attempt += 1;
        }
    }
    pub fn has_cast(&self, build: u32, expected: Vote) -> bool {
        self.actions.iter().any(
            |a| matches!(a, Action::CastVote { build: of, vote, .. } if of.0 == build && *vote == expected),
        )
    }
}

pub fn attempted_node(out: &[Action]) -> Option<NodeId> {
    out.iter().find_map(|a| match a {
        Action::Attempt { node, .. } => Some(node.clone()),
        _ => None,
    })
}
