//! Every decision of a marshal, in the order in which a request lives: taken, coined to a build, sent,
//! judged, tried again or answered; then the evidence, the votes and the list. The types that go in and out
//! (settings, events, actions) stand in `interface.rs`. Values marked "page" come from the design page.

use crate::interface::*;
use crate::moments::{Dice, Sums, Times};
use crate::state::{Attempt, Cast, Ended, Node, Request, Trial};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Part of the cap that the coin uses (page); the rest is room for spill and chance.
const COIN: f64 = 0.9;
/// A machine's first time that gives no evidence (page), and the span of the covariate (page).
const UNSCORED: Ms = Ms(3000.0);
const COVARIATE_SPAN: Ms = Ms(1000.0);
/// Outcomes before a look at a stage (page), and the time between its looks, so that they span a stage
/// whatever the traffic: harm that comes late in a stage is still looked at.
const LEAST: f64 = 20.0;
const LOOKS: usize = 3;
const BETWEEN: Ms = Ms(1500.0);
/// One-sided level, split over the looks; below `HOLD_P` the clock holds once a stage (page).
const LEVEL: f64 = 0.01;
const HOLD_P: f64 = 0.1;
/// A surplus of failures below this is left alone: with many outcomes the test finds any difference, also
/// that of a good build a little slower than the last.
const LEAST_HARM: f64 = 0.015;
/// The clock after the newest start (page); the hold lasts as long again.
const CLOCK: Ms = Ms(2500.0);
/// Harm in step with the dose: level of answer times over the calm, fit (squared correlation; after a release
/// above the 0.83 that shared slowness reached on good builds), spread of dose, for so many beats; fading.
const STEP_LEVEL: f64 = 1.8;
const STEP_FIT: f64 = 0.7;
const STEP_FIT_LATE: f64 = 0.88;
const STEP_SPREAD: f64 = 0.003;
const STEP_BEATS: u32 = 8;
const FADE: f64 = 0.995;
/// An attempt slower than this many means of the earlier build scores as a time-out: at an exponential
/// spread under 0.1% do, of a build that needs thrice the work 7%.
const SLOW_MEANS: f64 = 8.0;
/// A latency counts in a node's mean at no more than this many times that mean.
const OUTLIER: f64 = 4.0;
/// Weight of a new latency in a running mean.
const FRESH: f64 = 0.1;
/// A pick leaves the coin's build when it has over this many times (the other pick's plus one) in flight.
/// By in-flight and not by speed: a slow build must go on giving evidence.
const SPILL: u32 = 2;
/// A pick outside our zone must be this much quicker to be worth the crossing.
const FAR: f64 = 1.25;
/// Draws of a server before the list is walked.
const DRAWS: usize = 6;
/// How much longer a node that always fails ranks, so that one that fails fast does not look quick.
const FAIL_COST: f64 = 5.0;
/// Attempts without an answer in a row that set a node aside, and the first such pause; it doubles. None is
/// set aside while more than this share goes unanswered everywhere.
const SILENT: u32 = 3;
const PAUSE: Ms = Ms(1000.0);
const WIDESPREAD: f64 = 0.2;
/// A mean expected answer time above this part of the tightest aim is overload. Scored on all sites at 0.3,
/// 0.4, 0.6, 0.8 and 1.1: best at 0.8, falling off smoothly on both sides.
const PATIENCE: f64 = 0.8;
/// Further attempts earned by each request: bounds what retries add under overload.
const RETRY_SHARE: f64 = 0.1;
const RETRY_MOST: f64 = 10.0;
/// After this long a stage's news has settled: answer times are calm again.
const SETTLED: Ms = Ms(10000.0);
/// Span over which our own rate is counted, and the beat of votes and discovery.
const RATE_SPAN: Ms = Ms(2000.0);
const BEAT: Ms = Ms(100.0);

/// The adjusted test (page; the paper's equations 4 and 7): each class holds the sums of the earlier build
/// and of the build on trial. Gives the adjusted delta, its error, the statistic and the one-sided p.
pub fn adjusted_test(classes: &[[Sums; 2]], shares: &[f64]) -> (f64, f64, f64, f64) {
    let total = |arm: usize| classes.iter().fold(Sums::default(), |sum, class| sum.plus(&class[arm]));
    let (old, new) = (total(0), total(1));
    let all = old.plus(&new);
    let (spread, _, shared) = all.centred();
    let theta = if spread > 1e-9 { shared / spread } else { 0.0 };
    let both = |c: &[Sums; 2]| c[0].n > 0.0 && c[1].n > 0.0;
    let weight: f64 = classes.iter().zip(shares).filter(|(c, _)| both(c)).map(|(_, share)| share).sum();
    let mean = |s: &Sums| (s.y - theta * s.x) / s.n;
    let delta: f64 = (classes.iter().zip(shares))
        .filter(|(c, _)| both(c))
        .map(|(c, share)| share / weight * (mean(&c[1]) - mean(&c[0])))
        .sum();
    let parts = [&old, &new].map(|s| if s.n > 0.0 { s.variance(theta) / s.n } else { 0.0 });
    let error = (parts[0] + parts[1]).sqrt();
    if error <= 1e-12 || weight <= 0.0 {
        return (delta, error, 0.0, 0.5);
    }
    let t = delta / error;
    let below = |part: f64, n: f64| if n > 1.0 { part * part / (n - 1.0) } else { 0.0 };
    let freedom = (error.powi(4) / (below(parts[0], old.n) + below(parts[1], new.n))).max(1.0);
    let p = StudentsT::new(0.0, 1.0, freedom).map_or(0.5, |law| 1.0 - law.cdf(t));
    (delta, error, t, p)
}

/// One marshal.
#[derive(Default)]
pub struct Marshal {
    set: Settings,
    dice: Dice,
    now: Ms,
    nodes: BTreeMap<NodeId, Node>,
    /// What picks need of the list, by `survey`.
    sides: [[Vec<NodeId>; 2]; 2],
    trials: Vec<Build>,
    warm: [f64; 2],
    requests: BTreeMap<RequestId, Request>,
    attempts: BTreeMap<(RequestId, u32), Attempt>,
    /// Requests taken and attempts at builds on trial within the window, by class.
    taken: Vec<Times>,
    exposed: BTreeMap<Build, Vec<Times>>,
    recent: Times,
    counts: Vec<f64>,
    retry_tokens: f64,
    /// The earlier build's scores within the covariate's span, and its mean latency by class and kind.
    earlier: Vec<VecDeque<(Ms, f64)>>,
    means: BTreeMap<(ClassId, KindId), f64>,
    mean: f64,
    calm: BTreeMap<(ClassId, KindId), f64>,
    /// Running share of attempts without an answer, over all nodes.
    unanswered: f64,
    moved: BTreeSet<Key>,
    news: Option<StageNews>,
    /// When the cap was last lowered, and from what.
    cut: Option<(Ms, f64)>,
    condemned: BTreeSet<Build>,
    trial: Trial,
    /// Plain failures of the build before the newest, and of the newest since its release.
    after: Vec<[Sums; 2]>,
    next_watch: Ms,
    /// Share of our attempts at the newest build, the level of answer times against the calm before it, the
    /// share that missed the aim, and the fading sums of dose (covariate) and level (score).
    dose: f64,
    level: f64,
    missed: f64,
    steps: Sums,
    in_step_for: u32,
    cast: Option<Cast>,
    next_call: Ms,
    next_ask: Ms,
    ask_pause: Ms,
    subscribed: bool,
}

impl Marshal {
    /// A marshal that knows nothing yet.
    pub fn new(set: Settings, seed: u64) -> Marshal {
        let classes = set.classes.len();
        let sums: Vec<[Sums; 2]> = vec![Default::default(); classes];
        Marshal {
            dice: Dice::new(seed),
            taken: vec![Times::default(); classes],
            counts: vec![1.0; classes],
            retry_tokens: RETRY_MOST,
            earlier: vec![VecDeque::new(); classes],
            after: sums.clone(),
            trial: Trial { sums, ..Trial::default() },
            level: 1.0,
            ask_pause: PAUSE,
            set,
            ..Marshal::default()
        }
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Start => out.push(Action::SetAlarm("beat".into(), now + BEAT)),
            Event::Alarm(_) => {
                out.push(Action::SetAlarm("beat".into(), now + BEAT));
                self.ask(out);
                self.judge(out);
                self.survey();
                self.vote(out);
            }
            Event::Fleet(form, entries) => {
                self.fleet(form, entries);
                self.survey();
            }
            Event::Stage(news) => {
                self.stage(news, out);
                self.survey();
            }
            Event::Request { id, class, key, expires_in, work_hint, .. } => {
                self.counts[class.0] += 1.0;
                self.taken[class.0].push(now);
                self.recent.push(now);
                self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(RETRY_MOST);
                let c = &self.set.classes[class.0];
                let request = Request {
                    class,
                    key,
                    aim: now + c.aim + work_hint.unwrap_or_default() * c.aim_stretch,
                    deadline: now + expires_in,
                    tries: 0,
                    tried: Vec::new(),
                    ran: None,
                };
                self.send(id, request, out);
            }
            Event::ClientGone(id) => {
                self.requests.remove(&id);
            }
            Event::Completed { id, copy, node, verdict, latency, settled, .. } => {
                self.completed(id, copy, (node, verdict, latency), settled, out);
            }
            Event::Complaint { node, class, .. } => self.complaint(&node, class),
            Event::Started(..) | Event::Probed(..) | Event::Tally { .. } | Event::Peer(..) => {}
        }
    }

    /// Sends a request that has no attempt out, or gives it its final answer at once.
    fn send(&mut self, id: RequestId, mut request: Request, out: &mut Vec<Action>) {
        let Some((node, predicted)) = self.choose(&request) else {
            return self.give_up(id, &request, out);
        };
        let class = &self.set.classes[request.class.0];
        // Overload: an answer expected late earns next to nothing and delays the others. A node with nothing
        // of ours is always tried, so that a bad memory of a node can't shut it for good.
        let idle = self.nodes[&node].inflight == 0;
        let tightest = self.set.classes.iter().fold(class.aim, |aim, other| aim.min(other.aim));
        let patience = tightest.min(request.deadline - self.now) * PATIENCE;
        if request.tries == 0 && !idle && predicted > patience.0 {
            return self.give_up(id, &request, out);
        }
        let mut until = request.deadline;
        // Late earns little and holds up the others; but a client that may ask again then comes back with it.
        let keyed_apart = class.effect == Effect::Deduplicated && class.scope != Scope::All;
        if class.late_worth < 0.5 && (keyed_apart || class.effect == Effect::AtMostOnce) {
            until = until.min(request.aim);
        }
        // Leave room for a second try where the class allows one.
        let split = Ms((class.aim.0 * 0.5).max(SLOW_MEANS * self.mean));
        let repeatable = class.effect != Effect::AtMostOnce && self.retry_tokens >= 1.0;
        if repeatable && request.tries == 0 && split.0 < class.aim.0 * 0.75 {
            until = until.min(self.now + split);
        }
        let covariate = self.covariate(request.class);
        let entry = &self.nodes[&node].entry;
        let build = entry.build;
        let attempt = Attempt {
            class: request.class,
            build,
            kind: entry.kind,
            home: (entry.zone, entry.cell),
            sent: self.now,
            covariate,
            crowd: f64::from(self.nodes[&node].inflight),
            scored: entry.started.is_none_or(|at| self.now - at >= UNSCORED.max(self.set.cold)),
        };
        if self.on_trial(build).is_some() {
            let classes = self.set.classes.len();
            let lanes = self.exposed.entry(build).or_insert_with(|| vec![Times::default(); classes]);
            lanes[request.class.0].push(self.now);
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            n.inflight += 1;
            n.tokens -= 1.0;
        }
        out.push(Action::Attempt { id: id.clone(), node: node.clone(), timeout: Some(until - self.now) });
        self.attempts.insert((id.clone(), request.tries), attempt);
        request.tries += 1;
        request.tried.push(node);
        self.requests.insert(id, request);
    }

    /// The final answer for what can't be served: a refusal where the rules allow one, else a failure.
    fn give_up(&mut self, id: RequestId, request: &Request, out: &mut Vec<Action>) {
        let class = &self.set.classes[request.class.0];
        let harmless = match class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => request.ran.is_none() || class.scope == Scope::All,
            Effect::AtMostOnce => request.ran.is_none(),
        };
        let wait = self.set.retry_after.then(|| class.aim.min(self.set.max_retry_after));
        out.push(if harmless { Action::Refuse(id, wait) } else { Action::Fail(id) });
        self.missed += self.pace() * (1.0 - self.missed);
    }

    /// The cap on a build: `None` if it is not on trial. A build not yet announced counts as in stage 0.
    fn on_trial(&self, build: Build) -> Option<f64> {
        match &self.news {
            Some(n) if build < n.build || (build == n.build && n.phase == Phase::Released) => None,
            Some(n) if build == n.build => Some(n.cap),
            _ => Some(self.set.stage_cap.first().copied().unwrap_or(0.0)),
        }
    }

    fn is_newest(&self, build: Build) -> bool {
        self.news.as_ref().is_some_and(|news| build >= news.build)
    }

    /// Rule 5: whether one more attempt of a class at a build stays within the cap, in the window that ends
    /// now; two ticks of margin on either side.
    fn within_cap(&mut self, build: Build, class: ClassId) -> bool {
        let Some(cap) = self.on_trial(build) else { return true };
        let stage = self.news.as_ref().filter(|news| news.build == build).map_or(0, |news| news.stage);
        let safe = self.set.classes[class.0].effect == Effect::Idempotent;
        if cap <= 0.0 || (stage < self.set.safe_only_stages && !safe) {
            return false;
        }
        let margin = self.set.tick * 2.0;
        let from = self.now - self.set.exposure_window;
        let lanes = if self.set.exposure_per_class { class.0..class.0 + 1 } else { 0..self.taken.len() };
        let taken: usize = self.taken[lanes.clone()].iter_mut().map(|l| l.trim(from + margin)).sum();
        let bound = |cap: f64| self.set.allowance + cap * taken as f64 - 1.0;
        let Some(sent) = self.exposed.get_mut(&build) else { return bound(cap) >= 0.0 };
        let sent = &mut sent[lanes];
        let all: usize = sent.iter_mut().map(|l| l.trim(from - margin)).sum();
        // A lower cap counts attempts anew; until it binds for certain the old one counts all of them.
        let Some((cut, old)) = self.cut.filter(|_| Some(build) == self.news.as_ref().map(|n| n.build)) else {
            return all as f64 <= bound(cap);
        };
        let since: usize = sent.iter().map(|l| l.since(cut)).sum();
        let old_holds = self.now >= cut + self.set.drain_grace + margin || all as f64 <= bound(old);
        since as f64 <= bound(cap) && old_holds
    }

    /// The coin, then two random choices on either side of it. The coin's build keeps the request unless it
    /// has no server for it or far more in flight than the other side (`SPILL`): a few new machines, or the
    /// last old ones, must not drown while the others idle.
    fn choose(&mut self, request: &Request) -> Option<(NodeId, f64)> {
        let mut coin = 0.0;
        if let Some(news) = &self.news {
            if news.phase == Phase::Trial && !self.condemned.contains(&news.build) {
                // The cap rises before the machines of its stage run, and counts them more than once: the
                // coin never asks more of the new machines than their even part of what is warm.
                coin = (COIN * news.cap).min(self.warm[0] / self.warm[1].max(1.0));
            }
        }
        let heads = self.dice.part() < coin;
        let stays = request.key.as_ref().is_some_and(|key| self.moved.contains(key));
        let open = self.trials.clone().into_iter().any(|build| self.within_cap(build, request.class));
        let new = if open { self.two_choices(request, 1, stays) } else { None };
        let picks = [self.two_choices(request, 0, stays), new];
        let [first, second] = if heads || stays { [picks[1].clone(), picks[0].clone()] } else { picks };
        let inflight = |pick: &(NodeId, f64)| self.nodes[&pick.0].inflight;
        match (first, second) {
            (Some(a), Some(b)) if inflight(&a) > SPILL * (inflight(&b) + 1) => Some(b),
            (Some(a), _) => Some(a),
            (None, b) => b,
        }
    }

    /// Two random choices: the one with less in flight for its speed. Nearby servers are asked first; a far
    /// one must be `FAR` times quicker.
    fn two_choices(&mut self, request: &Request, side: usize, stays: bool) -> Option<(NodeId, f64)> {
        let mut best: Option<(NodeId, f64, f64)> = None;
        for (pool, weight) in [(0, 1.0), (1, FAR)] {
            if best.as_ref().is_some_and(|b| self.nodes[&b.0].inflight == 0) {
                break;
            }
            let pool = std::mem::take(&mut self.sides[side][pool]);
            for _ in 0..2 {
                let Some(id) = self.draw(&pool, request, stays) else { break };
                let predicted = self.predicted(&id);
                let node = &self.nodes[&id];
                let far = if self.set.zone == Some(node.entry.zone) { 1.0 } else { weight };
                let rank = predicted * (node.load + 1.0) * far * (1.0 + FAIL_COST * node.failing);
                if best.as_ref().is_none_or(|b| rank < b.2) {
                    best = Some((id, predicted, rank));
                }
            }
            self.sides[side][usize::from(weight > 1.0)] = pool;
        }
        best.map(|(id, predicted, _)| (id, predicted))
    }

    /// One random server that may take the request: drawn and tested, so that the work does not grow with
    /// the fleet; where the draws fail, the first that may from the last draw on.
    fn draw(&mut self, pool: &[NodeId], request: &Request, stays: bool) -> Option<NodeId> {
        let mut at = 0;
        for _ in 0..DRAWS {
            at = self.dice.below(pool.len())?;
            if self.usable(&pool[at], request, stays) {
                return Some(pool[at].clone());
            }
        }
        let (before, after) = pool.split_at(at);
        after.iter().chain(before).find(|id| self.usable(id, request, stays)).cloned()
    }

    /// Whether a server may take the request: in service and not set aside, in the group that drops its
    /// repeats, not tried yet, within the cap, and with room if it is cold.
    fn usable(&mut self, id: &NodeId, request: &Request, stays: bool) -> bool {
        let Some(node) = self.nodes.get(id) else { return false };
        let build = node.entry.build;
        let kept = match (&request.ran, self.set.classes[request.class.0].scope) {
            (Some((home, _, _)), Scope::Zone) => *home == node.entry.zone,
            (Some((_, home, _)), Scope::Cell) => *home == node.entry.cell,
            _ => true,
        };
        let awake = self.now >= node.aside_until && (!stays || self.is_newest(build));
        awake
            && kept
            && !request.tried.contains(id)
            && self.within_cap(build, request.class)
            && self.cold_room(id)
    }

    /// Keeps what picks need of the list: the servers in service by side (earlier builds, then builds on
    /// trial or sent back), nearby ones and all; and the warm capacity, in machines, of the newest build and
    /// of all. Told of a change at once, of warming by the beat.
    fn survey(&mut self) {
        self.sides = Default::default();
        self.trials.clear();
        self.warm = [0.0; 2];
        let newest = self.news.as_ref().map(|news| news.build);
        for (id, node) in self.nodes.iter().filter(|(_, n)| n.entry.state == NodeState::InService) {
            let build = node.entry.build;
            let side = usize::from(self.on_trial(build).is_some() || self.condemned.contains(&build));
            if self.set.zone == Some(node.entry.zone) {
                self.sides[side][0].push(id.clone());
            }
            self.sides[side][1].push(id.clone());
            if side == 1 && !self.trials.contains(&build) {
                self.trials.push(build);
            }
            let warmth = self.warmth(node);
            self.warm[0] += if newest.is_some_and(|newest| build >= newest) { warmth } else { 0.0 };
            self.warm[1] += warmth;
        }
    }

    /// Expected answer time: the node's mean, scaled by what is in flight now against then.
    fn predicted(&self, id: &NodeId) -> f64 {
        let node = &self.nodes[id];
        let latency = node.latency.unwrap_or(self.mean.max(1.0)) / self.warmth(node);
        latency * (f64::from(node.inflight) + 1.0) / (node.load + 1.0)
    }

    /// The part of its capacity that a node is sure to have.
    fn warmth(&self, node: &Node) -> f64 {
        let Some(started) = node.entry.started else { return 1.0 };
        let age = (self.now - started).max(Ms(0.0)) / self.set.cold.max(Ms(1.0));
        (self.set.cold_from + (1.0 - self.set.cold_from) * age).min(1.0)
    }

    /// Rule 4: a cold node gets at most its warmth's share of our own requests, so that all marshals together
    /// stay well under the multiple whatever the coin and the list say. The budget starts at a random part
    /// of a request: hundreds of marshals with a whole one each would push it over in one burst.
    fn cold_room(&mut self, id: &NodeId) -> bool {
        let warmth = self.warmth(&self.nodes[id]);
        if warmth >= 1.0 {
            return true;
        }
        let rate = self.recent.trim(self.now - RATE_SPAN) as f64 / RATE_SPAN.0;
        let rate = rate / self.warm[1].max(1.0) * warmth * self.set.fall_multiple * 0.4;
        let now = self.now;
        let Some(node) = self.nodes.get_mut(id) else { return false };
        node.tokens = (node.tokens + rate * (now - node.counted).0).min(1.0 + rate * 300.0);
        node.counted = now;
        node.tokens >= 1.0
    }

    /// An attempt has ended: health, evidence, then the request's next step.
    fn completed(&mut self, id: RequestId, copy: u32, end: Ended, settled: bool, out: &mut Vec<Action>) {
        let (node, verdict, latency) = end;
        let Some(attempt) = self.attempts.remove(&(id.clone(), copy)) else { return };
        self.health(&node, attempt.crowd, verdict, latency);
        self.score(&node, &attempt, verdict, latency);
        let Some(mut request) = self.requests.remove(&id) else { return };
        if settled {
            let moves = self.set.keys_stay && verdict == Verdict::Ok && self.is_newest(attempt.build);
            self.moved.extend(request.key.filter(|_| moves));
            return;
        }
        let unrun = matches!(verdict, Verdict::Full | Verdict::ConnectFailed | Verdict::Moot);
        // The attempt itself remembers its node's group: the node may have left the list by now.
        if !unrun && request.ran.is_none() {
            request.ran = Some((attempt.home.0, attempt.home.1, attempt.sent));
        }
        if self.may_retry(&request) {
            self.retry_tokens -= 1.0;
            self.send(id, request, out);
        } else {
            self.give_up(id, &request, out);
        }
    }

    /// Whether the rules and the time left allow a further attempt, and the retry budget pays for it.
    fn may_retry(&self, request: &Request) -> bool {
        let class = &self.set.classes[request.class.0];
        let allowed = match (class.effect, &request.ran) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Deduplicated, Some((_, _, sent))) => self.now + self.set.tick < *sent + class.memory,
        };
        let left = request.aim.min(request.deadline) - self.now;
        allowed && request.tries < self.set.try_limit && self.retry_tokens >= 1.0 && left.0 > self.mean
    }

    /// Running means of a node. Attempts without any answer in a row set it aside, longer each time: a dead,
    /// cut-off or lost machine that the list still shows.
    fn health(&mut self, id: &NodeId, crowd: f64, verdict: Verdict, latency: Ms) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.inflight = node.inflight.saturating_sub(1);
        if verdict == Verdict::Moot || verdict == Verdict::Cancelled {
            return;
        }
        let failed = f64::from(u8::from(verdict != Verdict::Ok));
        node.failing += FRESH * (failed - node.failing);
        let unanswered = matches!(verdict, Verdict::Timeout | Verdict::ConnectFailed | Verdict::Reset);
        self.unanswered += FRESH * 0.2 * (f64::from(u8::from(unanswered)) - self.unanswered);
        if verdict == Verdict::Ok || verdict == Verdict::Timeout {
            let mean = node.latency.unwrap_or(latency.0);
            // One costly request among many must not make a quick node look jammed: a jam shows in a few.
            node.latency = Some(mean + FRESH * (latency.0.min(OUTLIER * mean) - mean));
            node.load += FRESH * (crowd - node.load); // with the latency it brought, never ahead of it
        }
        if unanswered {
            node.silent += 1;
            // When much goes unanswered everywhere it is load: shutting nodes would only crowd the rest.
            if self.unanswered < WIDESPREAD && (node.silent >= SILENT || verdict != Verdict::Timeout) {
                node.aside_until = now + node.pause;
                node.pause = (node.pause * 2.0).min(PAUSE * 8.0);
            }
        } else {
            node.silent = 0;
            node.pause = PAUSE;
        }
    }

    /// The covariate: the earlier build's mean score for the class just before the send (page).
    fn covariate(&mut self, class: ClassId) -> f64 {
        let lane = &mut self.earlier[class.0];
        while lane.front().is_some_and(|&(at, _)| at < self.now - COVARIATE_SPAN) {
            lane.pop_front();
        }
        lane.iter().map(|&(_, score)| score).sum::<f64>() / (lane.len() as f64).max(1.0)
    }

    /// Weight of one outcome in a mean over about a second of our own traffic.
    fn pace(&mut self) -> f64 {
        (RATE_SPAN.0 / 1000.0 / self.recent.trim(self.now - RATE_SPAN).max(1) as f64).clamp(0.01, 0.1)
    }

    /// A unit of evidence: errors and time-outs score 1 (page). Slowness shows only through time-outs, so an
    /// attempt that outlasts `SLOW_MEANS` of the earlier build's mean on such a machine scores as one.
    fn score(&mut self, id: &NodeId, attempt: &Attempt, verdict: Verdict, latency: Ms) {
        let newest = self.is_newest(attempt.build);
        let pace = self.pace();
        self.dose += pace * (f64::from(u8::from(newest)) - self.dose);
        // A node that answers nothing at all is dead or cut off, whatever it runs: no evidence on its build.
        let dead = matches!(verdict, Verdict::ConnectFailed | Verdict::Reset)
            || self.nodes.get(id).is_some_and(|n| n.silent >= SILENT);
        if matches!(verdict, Verdict::Moot | Verdict::Cancelled | Verdict::Full) || dead || !attempt.scored {
            return;
        }
        let new = self.on_trial(attempt.build).is_some();
        let aim = self.set.classes[attempt.class.0].aim.0;
        let took = if verdict == Verdict::Ok { latency.0.min(aim) } else { aim };
        let calm = self.calm.entry((attempt.class, attempt.kind)).or_insert(took);
        let level = took / calm.max(1.0);
        let settled = self.now - self.trial.since > SETTLED;
        if !new && settled && self.news.as_ref().is_some_and(|n| n.phase != Phase::Trial) {
            *calm += FRESH * 0.2 * (took - *calm);
        }
        self.level += pace * (level - self.level);
        self.missed += pace * (f64::from(u8::from(took >= aim)) - self.missed);
        let mean = self.means.get(&(attempt.class, attempt.kind)).copied();
        let slow = mean.is_some_and(|mean| latency.0 > SLOW_MEANS * mean);
        let score = f64::from(u8::from(verdict != Verdict::Ok || slow));
        if !new {
            if verdict == Verdict::Ok {
                let mean = self.means.entry((attempt.class, attempt.kind)).or_insert(latency.0);
                *mean += FRESH * 0.2 * (latency.0 - *mean);
                self.mean += FRESH * 0.2 * (latency.0 - self.mean);
            }
            self.earlier[attempt.class.0].push_back((self.now, score));
        }
        self.trial.sums[attempt.class.0][usize::from(new)].add(score, attempt.covariate);
        let error = f64::from(u8::from(verdict == Verdict::Error));
        self.after[attempt.class.0][usize::from(newest)].add(error, 0.0);
        if let Some(node) = self.nodes.get_mut(id).filter(|_| error > 0.0) {
            node.errors += 1;
        }
    }

    /// A wrong answer scores 1 in place of its 0.
    fn complaint(&mut self, id: &NodeId, class: ClassId) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.errors += 1;
        let build = node.entry.build;
        let (new, newest) = (self.on_trial(build).is_some(), self.is_newest(build));
        self.trial.sums[class.0][usize::from(new)].flip();
        self.after[class.0][usize::from(newest)].flip();
    }

    /// The looks of a stage, and its clock (page).
    fn judge(&mut self, out: &mut Vec<Action>) {
        let Some(news) = self.news.clone() else { return };
        if self.condemned.contains(&news.build) {
            return;
        }
        self.watch(news.build, out);
        if news.phase == Phase::Trial || self.now - self.trial.since < SETTLED {
            self.in_step(news.build, out);
        }
        if news.phase != Phase::Trial {
            return;
        }
        let outcomes: f64 = self.trial.sums.iter().map(|arms| arms[1].n).sum();
        if self.trial.looks < LOOKS && outcomes >= LEAST && self.now >= self.trial.next_look {
            self.trial.looks += 1;
            self.trial.next_look = self.now + BETWEEN;
            let (delta, _, _, p) = adjusted_test(&self.trial.sums, &self.counts);
            if p < LEVEL / LOOKS as f64 && delta > LEAST_HARM {
                self.condemned.insert(news.build);
                out.push(Action::Log(format!("back: build {} stage {} p {p:.5}", news.build.0, news.stage)));
            } else if p >= HOLD_P || delta <= LEAST_HARM {
                self.trial.clean = true;
            }
        }
        let starts = self.nodes.values().filter(|n| n.entry.build == news.build);
        let newest = starts.filter_map(|n| n.entry.started).fold(self.trial.since, Ms::max);
        if self.now - newest >= CLOCK && !self.trial.clean {
            let held = *self.trial.held.get_or_insert(self.now);
            let (_, _, _, p) = adjusted_test(&self.trial.sums, &self.counts);
            self.trial.clean = p >= HOLD_P || self.now - held >= CLOCK;
        }
    }

    /// After a release no earlier machine is left to compare with, and a build may turn bad late. What it
    /// fails by itself (errors and wrong answers; not slowness, which load and shared trouble bring) is
    /// tested against the build before it. Most of its machines must fail: a few failing ones are a machine
    /// trouble. Covers every harm that shows as errors once a stage has passed; could harm if something
    /// that all servers depend on answered with errors.
    fn watch(&mut self, build: Build, out: &mut Vec<Action>) {
        if self.now < self.next_watch {
            return;
        }
        self.next_watch = self.now + BETWEEN;
        let (delta, _, _, p) = adjusted_test(&self.after, &self.counts);
        let outcomes: f64 = self.after.iter().map(|arms| arms[1].n).sum();
        let nodes = self.nodes.values().filter(|n| n.entry.build == build);
        let (all, bad) = nodes.fold((0, 0), |(all, bad), n| (all + 1, bad + usize::from(n.errors > 0)));
        if outcomes >= LEAST && delta > LEAST_HARM && p < LEVEL / LOOKS as f64 && 2 * bad >= all {
            self.condemned.insert(build);
            out.push(Action::Log(format!("back after release: build {} delta {delta:.4} p {p:.5}", build.0)));
        }
    }

    /// Harm that slows every server leaves no difference between the builds, and at the last stage no earlier
    /// machine is left to compare with. What remains is the dose: the level of answer times over the calm
    /// before the build, regressed on the build's share of our attempts. A shared trouble sets in whenever it
    /// likes; harm by the build rises with its share. Covers a slow build that has spread, too; could harm
    /// where a shared trouble happens to set in just as a stage moves on.
    fn in_step(&mut self, build: Build, out: &mut Vec<Action>) {
        self.steps.fade(FADE);
        self.steps.add(self.level.max(1e-3).ln(), self.dose);
        let (xx, yy, xy) = self.steps.centred();
        let fit = if xx > 1e-9 && yy > 1e-9 && xy > 0.0 { xy * xy / (xx * yy) } else { 0.0 };
        // After the release a shared trouble is as likely and going back costs more: only a collapse counts.
        let released = self.news.as_ref().is_some_and(|n| n.phase == Phase::Released);
        let collapse = !released || (self.missed >= 0.5 && fit >= STEP_FIT_LATE);
        let harm = self.level >= STEP_LEVEL && fit >= STEP_FIT && xx / self.steps.n > STEP_SPREAD;
        self.in_step_for = if harm && collapse { self.in_step_for + 1 } else { 0 };
        if self.in_step_for >= STEP_BEATS {
            self.condemned.insert(build);
            out.push(Action::Log(format!("back in step: build {} fit {fit:.2}", build.0)));
        }
    }

    /// Casts the vote that stands for what this marshal holds, again when it lapses or went unheard.
    fn vote(&mut self, out: &mut Vec<Action>) {
        let Some(news) = &self.news else { return };
        let vote = match (news.phase, self.condemned.contains(&news.build), self.set.control) {
            (Phase::Trial | Phase::Released, true, _) => Vote::Back,
            (Phase::Trial, false, Control::Votes) if self.trial.clean => Vote::On,
            (Phase::Trial, false, Control::Clocked) if self.trial.held.is_some() && !self.trial.clean => {
                Vote::Hold
            }
            _ => return,
        };
        if let Some(cast) = &self.cast {
            let same = cast.what == (news.build, news.stage, vote);
            let life = if cast.answered { self.set.vote_life * 0.5 } else { self.set.answer_wait };
            if same && self.now < cast.at + life {
                return;
            }
        }
        if self.now < self.next_call {
            return;
        }
        let gap = 2000.0 * f64::from(self.set.marshals) / self.set.calls_per_s.max(0.1);
        self.next_call = self.now + Ms(gap).max(BEAT);
        let (build, stage) = (news.build, news.stage);
        self.cast = Some(Cast { what: (build, stage, vote), at: self.now, answered: false });
        out.push(Action::Cast { build, stage, vote });
    }

    /// News of the newest build, or the answer to a vote.
    fn stage(&mut self, news: StageNews, out: &mut Vec<Action>) {
        if let (true, Some(cast)) = (news.answers_vote, &mut self.cast) {
            cast.answered = news.verdict == Verdict::Ok;
            if !cast.answered {
                cast.at = Ms(f64::MIN); // unheard, or maybe so: again, but not into a platform that is full
                self.next_call = self.next_call.max(self.now + PAUSE * 0.5);
            }
        }
        if news.verdict != Verdict::Ok {
            return;
        }
        let before = self.news.as_ref().map(|old| (old.build, old.stage, old.phase, old.cap));
        if before.is_some_and(|(build, ..)| news.build < build) {
            return;
        }
        if let Some((build, _, _, cap)) = before {
            if build == news.build && news.cap != cap {
                self.cut = (news.cap < cap).then_some((self.now, cap)); // a raise counts all of the window
            }
            if build < news.build {
                (self.cut, self.dose, self.steps) = (None, 0.0, Sums::default());
                self.exposed.retain(|&b, _| b >= news.build);
                self.moved.clear();
                // A build that was kept is what the next one is compared with.
                let kept = !self.condemned.contains(&build);
                for arms in self.after.iter_mut().filter(|arms| kept && arms[1].n > 0.0) {
                    arms[0] = arms[1];
                }
            }
        }
        if matches!(news.phase, Phase::Reverting | Phase::Withdrawn) {
            self.condemned.insert(news.build);
            self.moved.clear();
        }
        if before.is_none_or(|(build, stage, phase, _)| {
            (build, stage, phase) != (news.build, news.stage, news.phase)
        }) {
            let sums = vec![Default::default(); self.set.classes.len()];
            let begun = before.is_none() && news.phase != Phase::Trial;
            let since = if begun { Ms(f64::MIN) } else { self.now - news.age };
            self.trial = Trial { sums, since, ..Trial::default() };
            for arms in &mut self.after {
                arms[1] = Sums::default(); // harm that comes late must not drown in clean earlier stages
            }
            out.push(Action::Log(format!("build {} stage {} {:?}", news.build.0, news.stage, news.phase)));
        }
        self.news = Some(news);
        self.vote(out);
    }

    /// Discovery that must be asked: subscribes at the start, and again with back-off after a failure.
    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.set.ask_discovery && !self.subscribed && self.now >= self.next_ask {
            self.next_ask = self.now + self.ask_pause;
            self.ask_pause = (self.ask_pause * 2.0).min(self.set.ask_within * 0.4);
            out.push(Action::Subscribe);
        }
    }

    /// Follows the list. A node that drains or is gone gets nothing new from here on (rule 3).
    fn fleet(&mut self, form: FleetForm, entries: Vec<NodeEntry>) {
        self.subscribed = matches!(form, FleetForm::Update | FleetForm::Replace);
        if self.subscribed {
            self.ask_pause = PAUSE;
        }
        if matches!(form, FleetForm::Replace | FleetForm::Restored) {
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
    }
}
