//! All decisions of a marshal: `requests` sends, `cap` and `pick` choose a node, `cold` protects cold nodes,
//! `evidence` judges, `votes` votes; here: events, ends of attempts, the node list. See `interface.rs`.

mod cap;
mod cold;
mod evidence;
mod pick;
mod requests;
mod votes;

use crate::interface::*;
use crate::state::*;
use crate::statistics::{EventTimes, FailureExcess, PeriodCounts, SeededRng, Sums};
pub use milletwing_sequential_test::adjusted_test;
use milletwing_sequential_test::{ALPHA, BURN_IN, COVARIATE_WINDOW, FILL, HOLD_P, LOOKS, MIN_EFFECT, MIN_N};
use statrs::distribution::{Binomial, DiscreteCDF};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const SLOW_FACTOR: f64 = 8.0; // an attempt of more mean latencies of the earlier build scores as a time-out
const MIN_WEIGHT: f64 = 0.1; // minimum weight of a new value in a running mean
const MAX_UNANSWERED: u32 = 3; // attempts in a row without an answer that eject a node
const BACKOFF: Ms = Ms(1000.0); // the first ejection time, and the base of other pauses
const WIDESPREAD: f64 = 0.2; // the share of unanswered attempts that means overload
const RETRY_SHARE: f64 = 0.1; // retry tokens per request: limits the load of retries under overload
const RESET_RETRY_COST: f64 = 0.2; // of a retry after a reset, while under `RETRY_SHARE` of answers are late
const MAX_RETRY_TOKENS: f64 = 10.0;
const WINDOW: Ms = Ms(2000.0); // for this marshal's own request rate
const PERIOD: Ms = Ms(100.0); // of the timer that drives votes and discovery

/// The decision logic of one marshal.
#[derive(Debug, Default)]
pub struct Marshal {
    settings: Settings,
    rng: SeededRng,
    now: Ms,
    stalled: bool, // whether this batch of events follows a pause in which the process did not run
    nodes: BTreeMap<NodeId, Node>,
    /// Nodes in service by build [earlier, new] and set [own zone, all, connected]; their warm capacity in
    /// machines [newest build, all]; whether requests are rare compared to nodes.
    candidates: [[Vec<NodeId>; 3]; 2],
    warm: [f64; 2],
    sparse: bool,
    requests: BTreeMap<RequestId, Request>,
    attempts: BTreeMap<(RequestId, u32), Attempt>,
    traffic: Traffic,
    limit: EvidenceLimits,
    stats: AnswerStats,
    keys_on_newest: BTreeSet<Key>,
    report: Option<StageReport>,
    to_revert: BTreeSet<Build>,
    trial: Trial,
    failures: Vec<[Sums; 2]>, // unadjusted: of the build before the newest, of the newest in its stage
    platform_counts: PeriodCounts, // the same, over all marshals, since the newest build was offered
    response: DoseResponse,
    calls: Calls,
    group: GroupState,
    permits: Option<(Arc<PermitTable>, Ms)>, // and until when its `in_rollout` entries are valid
}

impl Marshal {
    /// A marshal with the given settings and random seed.
    pub fn new(settings: Settings, seed: u64) -> Marshal {
        let classes = settings.classes.len();
        let sums: Vec<[Sums; 2]> = vec![Default::default(); classes];
        // Where reverting needs a quorum, each vote has the significance level at which the quorum errs as
        // rarely as one marshal at `ALPHA`; halved, as marshals share causes of error. With its logarithm,
        // each needs fewer and milder signs but a larger surplus: a small one may be common to all.
        let (all, quorum) = (u64::from(settings.marshals.max(1)), u64::from(settings.revert_votes.max(1)));
        let (all, quorum) = if settings.group_decisions { (1, 1) } else { (all, quorum) }; // one judgement
        let quorum_error = |level: f64| Binomial::new(level, all).map_or(1.0, |law| law.sf(quorum - 1));
        let level = (1..50).map(|i| f64::from(i) * 0.01).take_while(|&p| quorum_error(p) <= ALPHA).last();
        let alpha = ALPHA.max(level.unwrap_or(0.0) * 0.5);
        let strictness = alpha.ln() / ALPHA.ln();
        let interval = Ms(1000.0 * f64::from(settings.marshals) / settings.votes_per_s.max(0.1));
        Marshal {
            limit: EvidenceLimits {
                alpha,
                n: (MIN_N * strictness).ceil(),
                slow: SLOW_FACTOR * strictness,
                min_harm: MIN_EFFECT / strictness.powi(2),
            },
            rng: SeededRng::new(seed),
            traffic: Traffic::new(classes, MAX_RETRY_TOKENS),
            stats: AnswerStats { earlier_scores: vec![VecDeque::new(); classes], ..AnswerStats::default() },
            failures: sums.clone(),
            platform_counts: PeriodCounts::new(classes),
            trial: Trial { sums, ..Trial::default() },
            response: DoseResponse { latency_ratio: 1.0, ..DoseResponse::default() },
            calls: Calls { backoff: BACKOFF, interval, ..Calls::default() },
            settings,
            ..Marshal::default()
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        self.stalled = if now > self.now { now - self.now > PERIOD * 3.0 } else { self.stalled };
        self.now = now;
        match event {
            Event::Start | Event::Timer(_) => {
                out.push(Action::SetTimer("beat".into(), now + PERIOD));
                // While no build is on trial nothing else trims these, and they would grow without bound.
                self.traffic.taken.iter_mut().fold(0, |n, t| n + t.trim(now - self.settings.exposure_window));
                self.subscribe(out);
                self.evaluate(out);
                self.refresh_candidates();
                self.cast_vote(out);
                self.share_evidence(out);
            }
            Event::FleetUpdate(kind, entries) => self.update_fleet(kind, entries),
            Event::StageReport(report) => self.handle_report(report, out),
            Event::Request { id, class, key, tenant, expires_in, work_hint, .. } => {
                self.traffic.request_counts[class.0] += 1.0;
                self.traffic.taken[class.0].push(now);
                self.traffic.recent.push(now);
                self.traffic.retry_tokens = (self.traffic.retry_tokens + RETRY_SHARE).min(MAX_RETRY_TOKENS);
                let c = &self.settings.classes[class.0];
                let target = now + c.latency_target + work_hint.unwrap_or_default() * c.target_per_work;
                self.send(id, Request::new(class, key, tenant, target, now + expires_in), out);
            }
            Event::ClientGone(id) => {
                // The abandoned attempt, always the last one sent, would only delay other requests.
                let gone = self.requests.remove(&id).filter(|_| self.settings.may_cancel);
                out.extend(gone.map(|request| Action::Cancel(id, request.tries - 1)));
            }
            Event::Completed { id, attempt, node, outcome, latency, is_final, .. } => {
                self.completed(id, attempt, (node, outcome, latency), is_final, out);
            }
            Event::WrongAnswer { node, class, .. } => self.record_wrong_answer(&node, class),
            Event::GroupMessage(message) => self.handle_group_message(message, out),
            // An older table never replaces a newer one; the same table again renews its validity.
            Event::PermitTable(t) if self.permits.as_ref().is_some_and(|(p, _)| p.version > t.version) => {}
            Event::PermitTable(table) => self.permits = Some((table.clone(), now + table.ttl)),
            Event::Metrics { age, class, build, attempts, failed, .. } => {
                let newest = usize::from(self.is_newest(build));
                self.platform_counts.record(now - age, class.0, newest, (attempts, failed));
            }
            Event::StreamStarted(..) | Event::ProbeCompleted(..) | Event::PeerMessage(..) => {}
        }
    }

    /// Handles the end of an attempt: node health, evidence, then a retry or the request's answer.
    fn completed(&mut self, id: RequestId, number: u32, end: Ended, is_final: bool, out: &mut Vec<Action>) {
        let (node, outcome, latency) = end;
        // A client that left early shows slowness only if it waited as long as a slow attempt takes.
        let slow = outcome == Outcome::Cancelled && latency.0 > self.limit.slow * self.stats.latency.value;
        let outcome = if slow { Outcome::Timeout } else { outcome };
        let Some(attempt) = self.attempts.remove(&(id.clone(), number)) else { return };
        self.update_health(&node, attempt.node_inflight, outcome, latency);
        let Some(mut request) = self.requests.remove(&id) else {
            return self.record_outcome(&node, &attempt, outcome, latency);
        };
        let (build, is_error) = (attempt.build, outcome == Outcome::Error);
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        if !never_ran && request.first_run.is_none() {
            // Recorded now: the node may have left the list by the time this is used.
            request.first_run = Some((attempt.location.0, attempt.location.1, attempt.sent));
        }
        let previous_error = request.pending_error.take();
        let success_rate = if self.stats.retry_gain.n > 0.0 { self.stats.retry_gain.value } else { 1.0 };
        let helps = !is_error || self.is_newest(build) || self.rng.fraction() < success_rate.max(MIN_WEIGHT);
        let retry = !is_final && helps && !(is_error && previous_error.is_some()) && self.may_retry(&request);
        // An error may be the request's own: a retry tells, else the success rate of retries decides. Two are
        // no evidence and bring no third. Guards against invalid requests and errors of shared services.
        if let Some((first, first_node)) = &previous_error {
            if is_error || outcome == Outcome::Ok {
                self.stats.retry_gain.add(f64::from(u8::from(!is_error)), MIN_WEIGHT * 3.0);
            }
            if outcome == Outcome::Ok {
                self.record_outcome(first_node, first, Outcome::Error, latency);
            }
        }
        if is_error && retry {
            request.pending_error = Some((attempt, node));
        } else if !is_error || (previous_error.is_none() && self.rng.fraction() < success_rate) {
            self.record_outcome(&node, &attempt, outcome, latency);
        }
        if is_final {
            self.traffic.recent_answers.push(self.now);
            let earlier_left = self.settings.sticky_keys && self.warm[0] < self.warm[1];
            let moves = earlier_left && outcome == Outcome::Ok && self.is_newest(build);
            self.keys_on_newest.extend(request.key.filter(|_| moves));
        } else if retry {
            let cheap = outcome == Outcome::Reset && self.response.late_rate < RETRY_SHARE;
            self.traffic.retry_tokens -= if cheap { RESET_RETRY_COST } else { 1.0 };
            self.send(id, request, out);
        } else {
            self.answer_unserved(id, &request, out);
        }
    }

    /// Subscribes to discovery where that is needed, and repeats it with back-off.
    fn subscribe(&mut self, out: &mut Vec<Action>) {
        if self.settings.subscribe_to_discovery && !self.calls.subscribed && self.now >= self.calls.retry_at {
            self.calls.retry_at = self.now + self.calls.backoff;
            self.calls.backoff = (self.calls.backoff * 2.0).min(self.settings.discovery_deadline * 0.4);
            out.push(Action::Subscribe);
        }
    }

    /// Applies a discovery message. A node that is draining or gone gets no further request (rule 3).
    fn update_fleet(&mut self, kind: FleetUpdateKind, entries: Vec<NodeEntry>) {
        self.calls.subscribed = matches!(kind, FleetUpdateKind::Update | FleetUpdateKind::Replace);
        self.calls.backoff = if self.calls.subscribed { BACKOFF } else { self.calls.backoff };
        if matches!(kind, FleetUpdateKind::Replace | FleetUpdateKind::Restored) {
            let listed: BTreeSet<&NodeId> = entries.iter().map(|entry| &entry.node).collect();
            self.nodes.retain(|id, _| listed.contains(id));
        }
        for entry in entries {
            if entry.state == NodeState::Terminated {
                self.nodes.remove(&entry.node);
                continue;
            }
            let (filled, rng) = (self.now, &mut self.rng);
            let mut new_node =
                |entry| Node { entry, ejection: BACKOFF, tokens: rng.fraction(), filled, ..Node::default() };
            match self.nodes.get_mut(&entry.node) {
                Some(node) if node.entry.started == entry.started && node.entry.build == entry.build => {
                    node.entry = entry;
                }
                // A restart under a known id: attempts still in flight keep counting.
                Some(node) => *node = Node { inflight: node.inflight, ..new_node(entry) },
                None => {
                    self.nodes.insert(entry.node.clone(), new_node(entry));
                }
            }
        }
        self.refresh_candidates();
    }
}
