//! Every decision of a marshal, by concern: `requests` sends, `cap` and `pick` choose, `cold` bounds,
//! `evidence` judges, `votes` casts; here events, ends of attempts, the list and what all share. What goes
//! in and out stands in `interface.rs`. Values marked "page" come from the design page.

mod cap;
mod cold;
mod evidence;
mod pick;
mod requests;
mod votes;

use crate::interface::*;
use crate::state::{Attempt, Calls, Cast, Ended, Flow, Heard, Node, Request, Step, Together, Trial};
use crate::statistics::{Dice, Excess, Periods, Times};
pub use milletwing_sequential_test::adjusted_test;
use milletwing_sequential_test::{
    Sums, ALPHA, BURN_IN, COVARIATE_WINDOW, FILL, HOLD_P, LOOKS, MIN_EFFECT, MIN_N,
};
use statrs::distribution::{Binomial, DiscreteCDF};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// An attempt slower than this many means of the earlier build scores as a time-out.
const SLOW_MEANS: f64 = 8.0;
/// Least weight of a new value in a running mean.
const FRESH: f64 = 0.1;
/// Attempts in a row without an answer that set a node aside, its first pause, and the bar of what is load.
const SILENT: u32 = 3;
const PAUSE: Ms = Ms(1000.0);
const WIDESPREAD: f64 = 0.2;
/// Further attempts earned by each request: bounds what retries add under overload.
const RETRY_SHARE: f64 = 0.1;
const RETRY_CALM: f64 = 0.2; // what one costs after a break, while fewer answers than that come late
const RETRY_MOST: f64 = 10.0;
const RATE_SPAN: Ms = Ms(2000.0); // of our own rate
const BEAT: Ms = Ms(100.0); // of votes and discovery

/// One marshal.
#[derive(Debug, Default)]
pub struct Marshal {
    set: Settings,
    dice: Dice,
    now: Ms,
    /// Whether this batch ends a time in which we stood still.
    stood: bool,
    nodes: BTreeMap<NodeId, Node>,
    /// What picks need of the list, by `survey`.
    sides: [[Vec<NodeId>; 3]; 2],
    warm: [f64; 2],
    seldom: bool,
    requests: BTreeMap<RequestId, Request>,
    attempts: BTreeMap<(RequestId, u32), Attempt>,
    flow: Flow,
    /// One-sided level of a vote back over all looks, outcomes of a look, bar of slowness, least surplus.
    bars: (f64, f64, f64, f64),
    heard: Heard,
    moved: BTreeSet<Key>,
    news: Option<StageReport>,
    condemned: BTreeSet<Build>,
    trial: Trial,
    /// Plain failures of the build before the newest, and of the newest since its release.
    after: Vec<[Sums; 2]>,
    /// The same as the platform counted over all marshals, since the newest was offered.
    told: Periods,
    step: Step,
    calls: Calls,
    group: Together,
    /// What may carry traffic, and until when what is on its way may.
    permits: Option<(Arc<PermitTable>, Ms)>,
}

impl Marshal {
    /// New.
    pub fn new(set: Settings, seed: u64) -> Marshal {
        let classes = set.classes.len();
        let sums: Vec<[Sums; 2]> = vec![Default::default(); classes];
        // Where many must vote a build back, as many as needed may err together no more often than one alone
        // would; halved for what they share. By the logarithm of that level fewer and milder signs are
        // enough for each, but of a larger surplus: a small one may well be a trouble that all share.
        let (all, back) = (u64::from(set.marshals.max(1)), u64::from(set.revert_votes.max(1)));
        let (all, back) = if set.group_decisions { (1, 1) } else { (all, back) }; // one verdict of all errs as one
        let err = |level: f64| Binomial::new(level, all).map_or(1.0, |law| law.sf(back - 1));
        let level = (1..50).map(|i| f64::from(i) * 0.01).take_while(|&level| err(level) <= ALPHA).last();
        let level_back = ALPHA.max(level.unwrap_or(0.0) * 0.5);
        let strict = level_back.ln() / ALPHA.ln();
        let turn = Ms(1000.0 * f64::from(set.marshals) / set.platform_calls_per_s.max(0.1));
        Marshal {
            bars: (level_back, (MIN_N * strict).ceil(), SLOW_MEANS * strict, MIN_EFFECT / strict.powi(2)),
            dice: Dice::new(seed),
            flow: Flow::new(classes, RETRY_MOST),
            heard: Heard { earlier: vec![VecDeque::new(); classes], ..Heard::default() },
            after: sums.clone(),
            told: Periods::new(classes),
            trial: Trial { sums, ..Trial::default() },
            step: Step { level: 1.0, ..Step::default() },
            calls: Calls { ask_pause: PAUSE, turn, ..Calls::default() },
            set,
            ..Marshal::default()
        }
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        self.stood = if now > self.now { now - self.now > BEAT * 3.0 } else { self.stood };
        self.now = now;
        match event {
            Event::Start | Event::Timer(_) => {
                out.push(Action::SetTimer("beat".into(), now + BEAT));
                // While no build is on trial nobody else counts them: a long day must not pile them up.
                self.flow.taken.iter_mut().fold(0, |n, lane| n + lane.trim(now - self.set.exposure_window));
                self.ask(out);
                self.judge(out);
                self.survey();
                self.vote(out);
                self.share(out);
            }
            Event::FleetUpdate(form, entries) => self.fleet(form, entries),
            Event::StageReport(news) => self.stage(news, out),
            Event::Request { id, class, key, tenant, expires_in, work_hint, .. } => {
                self.flow.counts[class.0] += 1.0;
                self.flow.taken[class.0].push(now);
                self.flow.recent.push(now);
                self.flow.retry_tokens = (self.flow.retry_tokens + RETRY_SHARE).min(RETRY_MOST);
                let c = &self.set.classes[class.0];
                let aim = now + c.latency_target + work_hint.unwrap_or_default() * c.latency_target_per_work;
                self.send(id, Request::new(class, key, tenant, aim, now + expires_in), out);
            }
            Event::ClientGone(id) => {
                // What it waited for would only hold up the others; its attempt is always the last one sent.
                let gone = self.requests.remove(&id).filter(|_| self.set.may_cancel);
                out.extend(gone.map(|request| Action::Cancel(id, request.tries - 1)));
            }
            Event::Completed { id, attempt, node, outcome, latency, is_final, .. } => {
                self.completed(id, attempt, (node, outcome, latency), is_final, out);
            }
            Event::WrongAnswer { node, class, .. } => self.complaint(&node, class),
            Event::GroupMessage(news) => self.group(news, out),
            // An older table never takes a newer one's place; the same one again lives on.
            Event::PermitTable(table)
                if self.permits.as_ref().is_some_and(|(p, _)| p.version > table.version) => {}
            Event::PermitTable(table) => self.permits = Some((table.clone(), now + table.ttl)),
            Event::Metrics { age, class, build, attempts, failed, .. } => {
                let newest = usize::from(self.is_newest(build));
                self.told.count(now - age, class.0, newest, (attempts, failed));
            }
            Event::StreamStarted(..) | Event::ProbeCompleted(..) | Event::PeerMessage(..) => {}
        }
    }

    /// An attempt has ended: health, evidence, then the request's next step.
    fn completed(&mut self, id: RequestId, copy: u32, end: Ended, settled: bool, out: &mut Vec<Action>) {
        let (node, verdict, latency) = end;
        // A client that left early tells of slowness only what a time-out there would.
        let late = verdict == Outcome::Cancelled && latency.0 > self.bars.2 * self.heard.mean.value;
        let verdict = if late { Outcome::Timeout } else { verdict };
        let Some(attempt) = self.attempts.remove(&(id.clone(), copy)) else { return };
        self.health(&node, attempt.crowd, verdict, latency);
        let Some(mut request) = self.requests.remove(&id) else {
            return self.score(&node, &attempt, verdict, latency);
        };
        let (build, erred) = (attempt.build, verdict == Outcome::Error);
        let unrun = matches!(verdict, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        if !unrun && request.ran.is_none() {
            request.ran = Some((attempt.home.0, attempt.home.1, attempt.sent)); // the list may have moved on
        }
        let doubted = request.erred.take();
        let cured = if self.heard.cured.n > 0.0 { self.heard.cured.value } else { 1.0 };
        let helps = !erred || self.is_newest(build) || self.dice.part() < cured.max(FRESH);
        let again = !settled && helps && !(erred && doubted.is_some()) && self.may_retry(&request);
        // An error may be the request's own: the next attempt tells, else the share cured of late. Two are no
        // evidence and bring no third. Guards against worthless requests and errors of what all depend on.
        if let Some((first, at)) = &doubted {
            if erred || verdict == Outcome::Ok {
                self.heard.cured.add(f64::from(u8::from(!erred)), FRESH * 3.0);
            }
            if verdict == Outcome::Ok {
                self.score(at, first, Outcome::Error, latency);
            }
        }
        if erred && again {
            request.erred = Some((attempt, node));
        } else if !erred || (doubted.is_none() && self.dice.part() < cured) {
            self.score(&node, &attempt, verdict, latency);
        }
        if settled {
            self.flow.met.push(self.now);
            let mixed = self.set.sticky_keys && self.warm[0] < self.warm[1]; // else no earlier build is left
            let moves = mixed && verdict == Outcome::Ok && self.is_newest(build);
            self.moved.extend(request.key.filter(|_| moves));
        } else if again {
            let broken = verdict == Outcome::Reset && self.step.missed < RETRY_SHARE;
            self.flow.retry_tokens -= if broken { RETRY_CALM } else { 1.0 };
            self.send(id, request, out);
        } else {
            self.give_up(id, &request, out);
        }
    }

    /// Discovery that must be asked: subscribes at the start, and again with back-off.
    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.set.subscribe_to_discovery && !self.calls.subscribed && self.now >= self.calls.next_ask {
            self.calls.next_ask = self.now + self.calls.ask_pause;
            self.calls.ask_pause = (self.calls.ask_pause * 2.0).min(self.set.discovery_deadline * 0.4);
            out.push(Action::Subscribe);
        }
    }

    /// Follows the list: a node that drains or is gone gets nothing new from here on (rule 3).
    fn fleet(&mut self, form: FleetUpdateKind, entries: Vec<NodeEntry>) {
        self.calls.subscribed = matches!(form, FleetUpdateKind::Update | FleetUpdateKind::Replace);
        self.calls.ask_pause = if self.calls.subscribed { PAUSE } else { self.calls.ask_pause };
        if matches!(form, FleetUpdateKind::Replace | FleetUpdateKind::Restored) {
            let listed: BTreeSet<&NodeId> = entries.iter().map(|entry| &entry.node).collect();
            self.nodes.retain(|id, _| listed.contains(id));
        }
        for entry in entries {
            if entry.state == NodeState::Terminated {
                self.nodes.remove(&entry.node);
                continue;
            }
            let (now, dice) = (self.now, &mut self.dice);
            let mut fresh =
                |entry| Node { entry, pause: PAUSE, tokens: dice.part(), counted: now, ..Node::default() };
            match self.nodes.get_mut(&entry.node) {
                Some(node) if node.entry.started == entry.started && node.entry.build == entry.build => {
                    node.entry = entry;
                }
                // A new start on a known id: what is still out there counts on.
                Some(node) => *node = Node { inflight: node.inflight, ..fresh(entry) },
                None => {
                    self.nodes.insert(entry.node.clone(), fresh(entry));
                }
            }
        }
        self.survey();
    }
}
