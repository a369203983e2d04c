//! Every decision of a marshal, in the order in which a request lives: taken, coined to a build, sent,
//! judged, tried again or answered; then the evidence, the votes and the list. The types that go in and out
//! (settings, events, actions) stand in `interface.rs`. Values marked "page" come from the design page.

use crate::interface::*;
use crate::moments::{Dice, Excess, Periods, Times};
use crate::state::{Attempt, Calls, Cast, Ended, Flow, Heard, Node, Request, Step, Together, Trial};
pub use milletwing_verity::adjusted_test;
use milletwing_verity::Sums;
use statrs::distribution::{Binomial, DiscreteCDF};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Part of the cap that the coin uses (page); the rest is room for spill and chance.
const COIN: f64 = 0.9;
/// A machine's first time that gives no evidence (page), and the span of the covariate (page).
const UNSCORED: Ms = Ms(3000.0);
const COVARIATE_SPAN: Ms = Ms(1000.0);
/// Outcomes before a look (page), and the time between looks, so that they span a stage at any traffic.
const LEAST: f64 = 20.0;
const LOOKS: usize = 3;
const BETWEEN: Ms = Ms(1500.0);
/// One-sided level, split over the looks; below `HOLD_P` the clock holds once a stage (page).
const LEVEL: f64 = 0.01;
const HOLD_P: f64 = 0.1;
/// A surplus of failures below this is left alone: with many outcomes the test finds any difference.
const LEAST_HARM: f64 = 0.015;
/// Clock after the newest start (page); the hold lasts as long again.
const CLOCK: Ms = Ms(2500.0);
/// Harm in step: level of answer times over the calm, fit (squared correlation; after a release above the
/// 0.83 of shared slowness on good builds), spread of dose, beats, least part of warm capacity, fading.
const STEP_LEVEL: f64 = 1.8;
const STEP_FIT: f64 = 0.7;
const STEP_FIT_LATE: f64 = 0.88;
const STEP_SPREAD: f64 = 0.003;
const STEP_BEATS: u32 = 8;
const STRAIN: f64 = 0.99;
const FADE: f64 = 0.995;
/// An attempt slower than this many means of the earlier build scores as a time-out.
const SLOW_MEANS: f64 = 8.0;
/// A latency counts in a node's mean at no more than this many times that mean.
const OUTLIER: f64 = 4.0;
/// Least weight of a new value in a running mean, and how long one stays news to a rare visitor.
const FRESH: f64 = 0.1;
const MEMORY: Ms = Ms(4000.0);
/// A pick leaves the coin's build at over this many times (the other pick's plus one) in flight; not by
/// speed, since a slow build must go on giving evidence.
const SPILL: u32 = 2;
const FAIL_COST: f64 = 5.0; // how much longer a node that always fails ranks
const DRAWS: usize = 6; // of a server, before the list is walked
/// Attempts in a row without an answer that set a node aside, its first pause, and the bar of what is load.
const SILENT: u32 = 3;
const PAUSE: Ms = Ms(1000.0);
const WIDESPREAD: f64 = 0.2;
/// A mean expected answer time above this part of the tightest aim is overload; scored from 0.3 to 1.1.
const PATIENCE: f64 = 0.8;
/// Further attempts earned by each request: bounds what retries add under overload.
const RETRY_SHARE: f64 = 0.1;
const RETRY_CALM: f64 = 0.2; // what one costs after a break, while fewer answers than that come late
const RETRY_MOST: f64 = 10.0;
/// After this long a stage's news has settled: answer times are calm again.
const SETTLED: Ms = Ms(10000.0);
const RATE_SPAN: Ms = Ms(2000.0); // of our own rate
const BEAT: Ms = Ms(100.0); // of votes and discovery
/// What a machine bears, over the most it ever answered; least part of our requests that it is held to bear.
const MORE: f64 = 1.25;
const MET_PART: f64 = 0.25;

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
    news: Option<StageNews>,
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
    permits: Option<(Arc<Permits>, Ms)>,
}

impl Marshal {
    /// New.
    pub fn new(set: Settings, seed: u64) -> Marshal {
        let classes = set.classes.len();
        let sums: Vec<[Sums; 2]> = vec![Default::default(); classes];
        // Where many must vote a build back, as many as needed may err together no more often than one alone
        // would; halved for what they share. By the logarithm of that level fewer and milder signs are
        // enough for each, but of a larger surplus: a small one may well be a trouble that all share.
        let (all, back) = (u64::from(set.marshals.max(1)), u64::from(set.back_votes.max(1)));
        let (all, back) = if set.shared { (1, 1) } else { (all, back) }; // one verdict of all errs as one
        let err = |level: f64| Binomial::new(level, all).map_or(1.0, |law| law.sf(back - 1));
        let level = (1..50).map(|i| f64::from(i) * 0.01).take_while(|&level| err(level) <= LEVEL).last();
        let level_back = LEVEL.max(level.unwrap_or(0.0) * 0.5);
        let strict = level_back.ln() / LEVEL.ln();
        let turn = Ms(1000.0 * f64::from(set.marshals) / set.calls_per_s.max(0.1));
        Marshal {
            bars: (level_back, (LEAST * strict).ceil(), SLOW_MEANS * strict, LEAST_HARM / strict.powi(2)),
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
            Event::Start | Event::Alarm(_) => {
                out.push(Action::SetAlarm("beat".into(), now + BEAT));
                // While no build is on trial nobody else counts them: a long day must not pile them up.
                self.flow.taken.iter_mut().fold(0, |n, lane| n + lane.trim(now - self.set.exposure_window));
                self.ask(out);
                self.judge(out);
                self.survey();
                self.vote(out);
                self.share(out);
            }
            Event::Fleet(form, entries) => self.fleet(form, entries),
            Event::Stage(news) => self.stage(news, out),
            Event::Request { id, class, key, tenant, expires_in, work_hint, .. } => {
                self.flow.counts[class.0] += 1.0;
                self.flow.taken[class.0].push(now);
                self.flow.recent.push(now);
                self.flow.retry_tokens = (self.flow.retry_tokens + RETRY_SHARE).min(RETRY_MOST);
                let c = &self.set.classes[class.0];
                let aim = now + c.aim + work_hint.unwrap_or_default() * c.aim_stretch;
                self.send(id, Request::new(class, key, tenant, aim, now + expires_in), out);
            }
            Event::ClientGone(id) => {
                // What it waited for would only hold up the others; its attempt is always the last one sent.
                let gone = self.requests.remove(&id).filter(|_| self.set.may_cancel);
                out.extend(gone.map(|request| Action::Cancel(id, request.tries - 1)));
            }
            Event::Completed { id, copy, node, verdict, latency, settled, .. } => {
                self.completed(id, copy, (node, verdict, latency), settled, out);
            }
            Event::Complaint { node, class, .. } => self.complaint(&node, class),
            Event::Group(news) => self.group(news, out),
            // An older table never takes a newer one's place; the same one again lives on.
            Event::Permits(table) if self.permits.as_ref().is_some_and(|(p, _)| p.number > table.number) => {}
            Event::Permits(table) => self.permits = Some((table.clone(), now + table.life)),
            Event::Tally { age, class, build, attempts, failed, .. } => {
                let newest = usize::from(self.is_newest(build));
                self.told.count(now - age, class.0, newest, (attempts, failed));
            }
            Event::Started(..) | Event::Probed(..) | Event::Peer(..) => {}
        }
    }

    /// Sends a request that has no attempt out, or gives it its final answer at once.
    fn send(&mut self, id: RequestId, mut request: Request, out: &mut Vec<Action>) {
        let Some((node, predicted)) = self.choose(&request) else {
            return self.give_up(id, &request, out);
        };
        let class = &self.set.classes[request.class.0];
        // Overload: an answer expected late earns little and delays others. A node with nothing of ours is
        // tried always, or, where it seldom sees us, ever less often: a bad memory can't shut it for good.
        let tightest = self.set.classes.iter().fold(class.aim, |aim, other| aim.min(other.aim));
        let patience = tightest.min(request.deadline - self.now) * PATIENCE;
        let over = predicted / patience.0.max(1.0);
        let probe = if self.seldom { over.powi(-3) } else { 1.0 };
        if request.tries == 0 && over > 1.0 && (self.nodes[&node].inflight > 0 || self.dice.part() > probe) {
            return self.give_up(id, &request, out);
        }
        let mut until = request.deadline;
        // Late earns little and holds up others; but a client that may ask again then comes back with it.
        let keyed_apart = class.effect == Effect::Deduplicated && class.scope != Scope::All;
        if class.late_worth < 0.5 && (keyed_apart || class.effect == Effect::AtMostOnce) {
            until = until.min(request.aim);
        }
        // Room for a second try where the class allows one; cuts are evidence, so as rare on any kind.
        let like = self.heard.means.get(&(request.class, self.nodes[&node].entry.kind));
        let calm = like.filter(|_| self.step.missed < RETRY_SHARE).map(|mean| mean.value * 5.0);
        let split = Ms((class.aim.0 * 0.5).max(calm.unwrap_or(SLOW_MEANS * self.heard.mean.value)));
        let repeatable = class.effect != Effect::AtMostOnce && self.flow.retry_tokens >= 1.0;
        if repeatable && request.tries == 0 && split.0 < class.aim.0 * 0.75 {
            until = until.min(self.now + split);
        }
        let (covariate, unscored) = (self.covariate(request.class), UNSCORED.max(self.set.cold));
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
            scored: !self.stood && entry.started.is_none_or(|at| self.now - at >= unscored),
        };
        if self.on_trial(build).is_some() {
            let classes = self.set.classes.len();
            let lanes = self.flow.exposed.entry(build).or_insert_with(|| vec![Times::default(); classes]);
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
            effect => request.ran.is_none() || (effect == Effect::Deduplicated && class.scope == Scope::All),
        };
        let wait = self.set.retry_after.then(|| class.aim.min(self.set.max_retry_after));
        out.push(if harmless { Action::Refuse(id, wait) } else { Action::Fail(id) });
        let early = f64::from(u8::from(request.tries == 0));
        self.step.missed += early * self.pace() * (1.0 - self.step.missed);
    }

    /// The cap on a build, if it is on trial. One not yet announced counts as in stage 0.
    fn on_trial(&self, build: Build) -> Option<f64> {
        match &self.news {
            Some(n) if build < n.build || (build == n.build && n.phase == Phase::Released) => None,
            Some(n) if build == n.build => Some(self.granted(build, n.cap)),
            _ => Some(self.granted(build, self.set.stage_cap.first().copied().unwrap_or(0.0))),
        }
    }

    /// Where judging is shared, the cap is that of a grant at most. Guards against an instance cut off from
    /// the group, which would go on exposing a build that the group has long sent back.
    fn granted(&self, build: Build, cap: f64) -> f64 {
        let grant = self.group.granted.filter(|(of, _)| *of == build).map_or(0.0, |(_, cap)| cap);
        cap.min(if self.set.shared { grant } else { cap })
    }

    fn is_newest(&self, build: Build) -> bool {
        self.news.as_ref().is_some_and(|news| build >= news.build)
    }

    /// Rule 5: whether one more attempt stays within the cap, in the window up to now; two ticks either side.
    fn within_cap(&mut self, build: Build, class: ClassId) -> bool {
        let Some(cap) = self.on_trial(build) else { return true };
        let stage = self.news.as_ref().filter(|news| news.build == build).map_or(0, |news| news.stage);
        let safe = self.set.classes[class.0].effect == Effect::Idempotent;
        if cap <= 0.0 || (stage < self.set.safe_only_stages && !safe) {
            return false;
        }
        let margin = self.set.tick * 2.0;
        let from = self.now - self.set.exposure_window;
        let lanes = if self.set.exposure_per_class { class.0..class.0 + 1 } else { 0..self.flow.taken.len() };
        let taken: usize = self.flow.taken[lanes.clone()].iter_mut().map(|l| l.trim(from + margin)).sum();
        let bound = |cap: f64| self.set.allowance + cap * taken as f64 - 1.0;
        let Some(sent) = self.flow.exposed.get_mut(&build) else { return bound(cap) >= 0.0 };
        let sent = &mut sent[lanes];
        let all: usize = sent.iter_mut().map(|l| l.trim(from - margin)).sum();
        // A lower cap counts attempts anew; until it binds for certain the old one counts all of them.
        let cut = self.flow.cut.filter(|_| self.news.as_ref().is_some_and(|n| n.build == build));
        let Some((cut, old)) = cut else { return all as f64 <= bound(cap) };
        let since: usize = sent.iter().map(|l| l.since(cut)).sum();
        let old_holds = self.now >= cut + self.set.drain_grace + margin || all as f64 <= bound(old);
        since as f64 <= bound(cap) && old_holds
    }

    /// The coin, then two random choices on either side. The coin's build keeps the request unless it has no
    /// server or far more in flight (`SPILL`): a few new machines, or the last old ones, must not drown.
    fn choose(&mut self, request: &Request) -> Option<(NodeId, f64)> {
        // The cap rises before the machines of its stage run: the coin never asks more of the new machines
        // than their even part of what is warm.
        let even = self.warm[0] / self.warm[1].max(1.0);
        let trial = |n: &&StageNews| n.phase == Phase::Trial && !self.condemned.contains(&n.build);
        let coin =
            self.news.as_ref().filter(trial).map_or(0.0, |n| (COIN * self.granted(n.build, n.cap)).min(even));
        let heads = self.dice.part() < coin;
        let stays = request.key.as_ref().is_some_and(|key| self.moved.contains(key));
        let trial = self.sides[1][1].first().map(|id| self.nodes[id].entry.build);
        let open = trial.is_some_and(|build| self.within_cap(build, request.class));
        let new = if open { self.two_choices(request, 1, stays) } else { None };
        let picks = [self.two_choices(request, 0, stays), new];
        let [first, second] = if heads || stays { [picks[1].clone(), picks[0].clone()] } else { picks };
        let inflight = |pick: &(NodeId, f64)| self.nodes[&pick.0].inflight;
        match (first, second) {
            (Some(a), Some(b)) if inflight(&a) > SPILL * (inflight(&b) + 1) => Some(b),
            (a, b) => a.or(b),
        }
    }

    /// Two random choices nearby, two anywhere and, where few get a connection, two that hold one of ours:
    /// the least chance of a late answer, by in-flight and failures, plus the price of crossing zones.
    fn two_choices(&mut self, request: &Request, side: usize, stays: bool) -> Option<(NodeId, f64)> {
        let mut best: Option<(NodeId, f64, f64)> = None;
        for place in 0..if self.heard.barred < WIDESPREAD { 2 } else { 3 } {
            let pool = std::mem::take(&mut self.sides[side][place]);
            for _ in 0..2 {
                let Some(id) = self.draw(&pool, request, stays) else { break };
                let predicted = self.predicted(&id);
                let node = &self.nodes[&id];
                let far = f64::from(u8::from(self.set.zone != Some(node.entry.zone)));
                let open = if node.linked { 1.0 } else { 1.0 - self.heard.barred };
                let failing = 1.0 + FAIL_COST * (node.failing - self.heard.failing).max(0.0);
                let time = failing * predicted * (node.load + 1.0) / (self.heard.load + 1.0); // at one load
                let in_time = -(-(request.aim - self.now).0.max(1.0) / time).exp_m1();
                let cost = far * self.set.cross_zone_price - open * in_time;
                if best.as_ref().is_none_or(|b| cost < b.2) {
                    best = Some((id, predicted, cost));
                }
            }
            self.sides[side][place] = pool;
        }
        best.map(|(id, predicted, _)| (id, predicted))
    }

    /// One random server that may take the request: drawn and tested; then the first from the last draw on.
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

    /// Whether a server may take the request: awake, in its group, not tried yet, within the cap, with room.
    fn usable(&mut self, id: &NodeId, request: &Request, stays: bool) -> bool {
        let Some(node) = self.nodes.get(id) else { return false };
        let build = node.entry.build;
        let kept = match (&request.ran, self.set.classes[request.class.0].scope) {
            (Some((home, _, _)), Scope::Zone) => *home == node.entry.zone,
            (Some((_, home, _)), Scope::Cell) => *home == node.entry.cell,
            _ => true,
        };
        let awake = self.now >= node.aside_until && (!stays || self.is_newest(build));
        let anew = kept && !request.tried.contains(id);
        let zone = node.entry.zone;
        let open = awake && anew && self.permitted(build, zone, request.tenant);
        open && self.within_cap(build, request.class) && self.cold_room(id)
    }

    /// Whether a table permits a build there, where the settings want one. All picks pass here, of first
    /// tries and further ones. Guards against traffic on what the table doesn't know, or permitted long ago.
    fn permitted(&self, build: Build, zone: ZoneId, tenant: TenantId) -> bool {
        let Some((table, until)) = &self.permits else { return !self.set.gated };
        let of = (build, zone, tenant);
        table.released.contains(&of) || (self.now < *until && table.moving.contains(&of))
    }

    /// Keeps what picks need: servers in service by side (earlier builds, those on trial or sent back), near
    /// and all, and the warm capacity, in machines, of the newest build and of all.
    fn survey(&mut self) {
        let span = self.flow.recent.trim(self.now - RATE_SPAN) as f64 * (self.set.cold / RATE_SPAN);
        self.seldom = span < 4.0 * self.nodes.len() as f64;
        self.sides = Default::default();
        self.warm = [0.0; 2];
        for (id, node) in self.nodes.iter().filter(|(_, n)| n.entry.state == NodeState::InService) {
            let build = node.entry.build;
            let back = self.condemned.contains(&build) && self.is_newest(build);
            let side = usize::from(back || self.on_trial(build).is_some());
            let near = self.set.zone == Some(node.entry.zone);
            self.sides[side][0].extend(near.then(|| id.clone()));
            self.sides[side][1].push(id.clone());
            self.sides[side][2].extend(node.linked.then(|| id.clone()));
            let warmth = self.warmth(node);
            let part = if warmth < 1.0 && self.seldom { warmth * 0.5 } else { warmth }; // rarely has room
            self.warm[0] += if self.is_newest(build) { part } else { 0.0 };
            self.warm[1] += warmth;
        }
        let met = self.flow.met.trim(self.now - RATE_SPAN) as f64 / self.warm[1].max(1.0);
        self.flow.best = self.flow.best.max(met);
    }

    /// Expected answer time: the node's mean, scaled by what is in flight now against then; the longer ago
    /// it answered, the more it counts as its like, the nodes of its zone and kind.
    fn predicted(&self, id: &NodeId) -> f64 {
        let node = &self.nodes[id];
        let like = self.heard.likes.get(&(node.entry.zone, node.entry.kind));
        let like = like.map_or(self.heard.mean.value.max(1.0), |like| like.0);
        let fresh = (-((self.now - node.seen) / MEMORY)).exp();
        let latency = node.latency.map_or(like, |own| like + fresh * (own - like)) / self.warmth(node);
        latency * (f64::from(node.inflight) + 1.0) / (node.load + 1.0)
    }

    /// The part of its capacity that a node is sure to have.
    fn warmth(&self, node: &Node) -> f64 {
        let Some(started) = node.entry.started else { return 1.0 };
        let age = (self.now - started).max(Ms(0.0)) / self.set.cold.max(Ms(1.0));
        (self.set.cold_from + (1.0 - self.set.cold_from) * age).min(1.0)
    }

    /// Rule 4: a cold node gets its share by warmth of our requests, but not of what overload and worthless
    /// ones add to the most ever answered; from a random part on, since hundreds of whole ones are a burst.
    fn cold_room(&mut self, id: &NodeId) -> bool {
        let warmth = self.warmth(&self.nodes[id]);
        if warmth >= 1.0 {
            return true;
        }
        let taken = self.flow.recent.trim(self.now - RATE_SPAN) as f64 / self.warm[1].max(1.0);
        let borne = taken.min((self.flow.best * MORE).max(taken * MET_PART)) / RATE_SPAN.0;
        let rate = borne * warmth * self.set.fall_multiple * 0.4;
        let (now, Some(node)) = (self.now, self.nodes.get_mut(id)) else { return false };
        node.tokens = (node.tokens + rate * (now - node.counted).0).min(1.0 + rate * 300.0);
        node.counted = now;
        node.tokens >= 1.0
    }

    /// An attempt has ended: health, evidence, then the request's next step.
    fn completed(&mut self, id: RequestId, copy: u32, end: Ended, settled: bool, out: &mut Vec<Action>) {
        let (node, verdict, latency) = end;
        // A client that left early tells of slowness only what a time-out there would.
        let late = verdict == Verdict::Cancelled && latency.0 > self.bars.2 * self.heard.mean.value;
        let verdict = if late { Verdict::Timeout } else { verdict };
        let Some(attempt) = self.attempts.remove(&(id.clone(), copy)) else { return };
        self.health(&node, attempt.crowd, verdict, latency);
        let Some(mut request) = self.requests.remove(&id) else {
            return self.score(&node, &attempt, verdict, latency);
        };
        let (build, erred) = (attempt.build, verdict == Verdict::Error);
        let unrun = matches!(verdict, Verdict::Full | Verdict::ConnectFailed | Verdict::Moot);
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
            if erred || verdict == Verdict::Ok {
                self.heard.cured.add(f64::from(u8::from(!erred)), FRESH * 3.0);
            }
            if verdict == Verdict::Ok {
                self.score(at, first, Verdict::Error, latency);
            }
        }
        if erred && again {
            request.erred = Some((attempt, node));
        } else if !erred || (doubted.is_none() && self.dice.part() < cured) {
            self.score(&node, &attempt, verdict, latency);
        }
        if settled {
            self.flow.met.push(self.now);
            let mixed = self.set.keys_stay && self.warm[0] < self.warm[1]; // else no earlier build is left
            let moves = mixed && verdict == Verdict::Ok && self.is_newest(build);
            self.moved.extend(request.key.filter(|_| moves));
        } else if again {
            let broken = verdict == Verdict::Reset && self.step.missed < RETRY_SHARE;
            self.flow.retry_tokens -= if broken { RETRY_CALM } else { 1.0 };
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
        let paid = self.flow.retry_tokens >= 1.0 && request.tries < self.set.try_limit;
        allowed && paid && (request.aim.min(request.deadline) - self.now).0 > self.heard.mean.value
    }

    /// Running means of a node. Attempts in a row without any answer set it aside, ever longer.
    fn health(&mut self, id: &NodeId, crowd: f64, verdict: Verdict, latency: Ms) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.inflight = node.inflight.saturating_sub(1);
        if verdict == Verdict::Moot || verdict == Verdict::Cancelled {
            return;
        }
        let barred = f64::from(u8::from(verdict == Verdict::ConnectFailed));
        self.heard.barred += if node.linked { 0.0 } else { FRESH * (barred - self.heard.barred) };
        node.linked = !matches!(verdict, Verdict::ConnectFailed | Verdict::Reset);
        let failed = f64::from(u8::from(verdict != Verdict::Ok));
        node.failing += FRESH * (failed - node.failing);
        self.heard.failing += FRESH * 0.2 * (failed - self.heard.failing);
        let unanswered = matches!(verdict, Verdict::Timeout | Verdict::ConnectFailed | Verdict::Reset);
        self.heard.unanswered += FRESH * 0.2 * (f64::from(u8::from(unanswered)) - self.heard.unanswered);
        if !self.stood && (verdict == Verdict::Ok || verdict == Verdict::Timeout) {
            let weight = |since: Ms| FRESH.max(-(-((now - since) / MEMORY)).exp_m1());
            let like = self.heard.likes.entry((node.entry.zone, node.entry.kind)).or_insert((latency.0, now));
            like.0 += weight(like.1) * (latency.0.min(OUTLIER * like.0) - like.0);
            like.1 = now;
            let mean = node.latency.unwrap_or(like.0);
            // One costly request among many must not make a quick node look jammed: a jam shows in a few.
            node.latency = Some(mean + weight(node.seen) * (latency.0.min(OUTLIER * mean) - mean));
            node.load += weight(node.seen) * (crowd - node.load); // with the latency it brought, never ahead
            node.seen = now;
            self.heard.load += FRESH * 0.2 * (crowd - self.heard.load);
        }
        if unanswered {
            node.silent += 1;
            // When much goes unanswered everywhere it is load: shutting nodes would only crowd the rest.
            // A break may be one spoilt answer; a dead node refuses the next connection at once.
            if self.heard.unanswered < WIDESPREAD && (node.silent >= SILENT || barred > 0.0) {
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
        let lane = &mut self.heard.earlier[class.0];
        while lane.front().is_some_and(|&(at, _)| at < self.now - COVARIATE_SPAN) {
            lane.pop_front();
        }
        lane.iter().map(|&(_, score)| score).sum::<f64>() / (lane.len() as f64).max(1.0)
    }

    /// Weight of one outcome in a mean over about a second of our traffic.
    fn pace(&mut self) -> f64 {
        (RATE_SPAN.0 / 1000.0 / self.flow.recent.trim(self.now - RATE_SPAN).max(1) as f64).clamp(0.01, 0.03)
    }

    /// A unit of evidence: errors and time-outs score 1 (page). Slowness shows only through time-outs, so an
    /// attempt that outlasts `SLOW_MEANS` of the earlier build's mean on such a machine scores as one.
    fn score(&mut self, id: &NodeId, attempt: &Attempt, verdict: Verdict, latency: Ms) {
        let newest = self.is_newest(attempt.build);
        // Less warm capacity than before the build, as its machines replace others, slows all by itself.
        let strained = self.warm[1] < STRAIN * self.step.whole;
        let (full, pace) = (self.pace(), if strained { 0.0 } else { self.pace() });
        self.step.dose += pace * (f64::from(u8::from(newest)) - self.step.dose);
        // No evidence on a build: a node that answers nothing; what came while we stood still.
        let dead = matches!(verdict, Verdict::ConnectFailed | Verdict::Reset)
            || self.nodes.get(id).is_some_and(|n| n.silent >= SILENT);
        let told = attempt.scored && !dead && !self.stood;
        if !told || matches!(verdict, Verdict::Moot | Verdict::Cancelled | Verdict::Full) {
            return;
        }
        let new = self.on_trial(attempt.build).is_some();
        let aim = self.set.classes[attempt.class.0].aim.0;
        let took = if verdict == Verdict::Ok { latency.0.min(aim) } else { aim };
        let calm = self.heard.calm.entry((attempt.class, attempt.kind)).or_default();
        let settled = self.now - self.trial.since > SETTLED;
        if !new && settled && self.news.as_ref().is_some_and(|n| n.phase != Phase::Trial) {
            calm.add(took, FRESH * 0.2);
        }
        let level = if calm.n < 4.0 { 1.0 } else { took / calm.value.max(1.0) };
        if verdict != Verdict::Error {
            self.step.level += pace * (level - self.step.level);
            self.step.missed += full * (f64::from(u8::from(took >= aim)) - self.step.missed);
        }
        let mean = self.heard.means.entry((attempt.class, attempt.kind)).or_default();
        let slow = mean.n >= 4.0 && latency.0 > self.bars.2 * mean.value;
        let score = f64::from(u8::from(verdict != Verdict::Ok || slow));
        if !new {
            if verdict == Verdict::Ok {
                mean.add(latency.0, FRESH * 0.2);
                self.heard.mean.add(latency.0, FRESH * 0.2);
            }
            self.heard.earlier[attempt.class.0].push_back((self.now, score));
        }
        // Sent into a jam of the earlier build: what differs then is how crowded the few new machines are.
        if attempt.covariate < WIDESPREAD {
            self.trial.sums[attempt.class.0][usize::from(new)].add(score, attempt.covariate);
        }
        let error = f64::from(u8::from(verdict == Verdict::Error));
        self.after[attempt.class.0][usize::from(newest)].add(error, 0.0);
        self.nodes.get_mut(id).into_iter().for_each(|node| node.errors += error as u32);
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

    /// What this instance has seen of the stage.
    fn evidence(&self, news: &StageNews) -> Evidence {
        let of = self.nodes.iter().filter(|(_, n)| n.entry.build == news.build && n.errors > 0);
        Evidence {
            build: news.build,
            stage: news.stage,
            sums: self.trial.sums.clone(),
            after: self.after.clone(),
            counts: self.flow.counts.clone(),
            errors: of.map(|(id, n)| (id.clone(), f64::from(n.errors))).collect(),
            looks: self.trial.looks as u32,
            objecting: u32::from(self.group.objects),
        }
    }

    /// Where judging is shared, tells the group what was seen; sums so far, so that a repeat changes nothing.
    fn share(&self, out: &mut Vec<Action>) {
        let news = self.news.as_ref().filter(|_| self.set.shared);
        out.extend(news.map(|news| Action::Evidence(Box::new(self.evidence(news)))));
    }

    /// What the group tells. A decision to send back stands above all; one to go on holds for its stage.
    fn group(&mut self, news: GroupNews, out: &mut Vec<Action>) {
        match news {
            GroupNews::Leads(leads) => self.group.leads = leads,
            GroupNews::Pool(pool) => self.group.pool = Some(pool),
            GroupNews::Grant(build, cap) => self.group.granted = Some((build, cap)),
            GroupNews::Decided(build, stage, vote) => {
                if vote == Vote::Back {
                    self.condemned.insert(build);
                }
                let back = |(of, _, was): (Build, u32, Vote)| of == build && was == Vote::Back;
                if !self.group.decided.is_some_and(back) {
                    self.group.decided = Some((build, stage, vote));
                }
                self.vote(out);
            }
        }
    }

    /// The looks of a stage, and its clock (page). Where judging is shared, the one that leads takes them, of
    /// what all have seen; looks that an earlier leader took count.
    fn judge(&mut self, out: &mut Vec<Action>) {
        let open = |news: &StageNews| !self.condemned.contains(&news.build);
        let Some(news) = self.news.clone().filter(open) else { return };
        let of = |pool: &&Evidence| (pool.build, pool.stage) == (news.build, news.stage);
        let seen = match (self.set.shared, self.group.leads) {
            (false, _) => Some(self.evidence(&news)),
            (true, leads) => self.group.pool.as_ref().filter(of).filter(|_| leads).cloned(),
        };
        seen.iter().for_each(|seen| self.watch(seen, out));
        if news.phase == Phase::Trial || self.now - self.trial.since < SETTLED {
            self.in_step(news.build, out);
        }
        let Some(seen) = seen.filter(|_| news.phase == Phase::Trial) else { return };
        self.trial.looks = self.trial.looks.max(seen.looks as usize);
        let outcomes: f64 = seen.sums.iter().map(|arms| arms[1].n).sum();
        if self.trial.looks < LOOKS && outcomes >= self.bars.1 && self.now >= self.trial.next_look {
            self.trial.looks += 1;
            self.trial.next_look = self.now + BETWEEN;
            let (delta, _, _, p) = adjusted_test(&seen.sums, &seen.counts);
            if p < self.bars.0 / LOOKS as f64 && delta > self.bars.3 {
                self.condemn(news.build, "on trial", p, out);
            } else if p >= HOLD_P || delta <= self.bars.3 {
                self.trial.clean = true;
            }
        }
        let starts = self.nodes.values().filter(|n| n.entry.build == news.build);
        let newest = starts.filter_map(|n| n.entry.started).fold(self.trial.since, Ms::max);
        if self.now - newest >= CLOCK && !self.trial.clean {
            let held = *self.trial.held.get_or_insert(self.now);
            let (_, _, _, p) = adjusted_test(&seen.sums, &seen.counts);
            self.trial.clean = p >= HOLD_P || self.now - held >= CLOCK;
        }
    }

    /// From here on we stand for sending the build back.
    fn condemn(&mut self, build: Build, how: &str, p: f64, out: &mut Vec<Action>) {
        self.condemned.insert(build);
        out.push(Action::Log(format!("back: build {} {how}, p or fit {p:.4}", build.0)));
    }

    /// A build may turn bad late: its errors and wrong answers (not slowness), rare as they are, are tested
    /// against its part of the outcomes, if even over a fourth of its machines, as many as may be of a kind.
    fn watch(&mut self, seen: &Evidence, out: &mut Vec<Action>) {
        let own = Excess::of(&seen.after);
        let all = self.nodes.values().filter(|n| n.entry.build == seen.build).count() as f64;
        let (sum, squares) = seen.errors.values().fold((0.0, 0.0), |(s, q), e| (s + e, q + e * e));
        let harm = own.score >= self.bars.1 * 0.2 && own.surplus > self.bars.3 * own.units;
        let even = sum * sum >= (sum / 2.0).min(all / 4.0) * squares;
        if harm && even && own.units >= self.bars.1 && own.p() < self.bars.0 / LOOKS as f64 {
            self.condemn(seen.build, "by its errors", own.p(), out);
        }
        // The platform counts what each sees a few of; all judge it alike, far below a quorum's level. A few
        // bad machines among the new are no bad build: it must have three times the errors of the others.
        let (told, alone) = (self.told.excess(), self.set.shared || self.set.back_votes <= 1);
        let harm = told.score > 2.0 && told.surplus > (self.bars.3 * told.units).max(told.score / 1.5);
        if harm && !alone && told.p() < LEVEL * 0.1 {
            self.condemn(seen.build, "by the platform's counts", told.p(), out);
        }
        // As many as could vote it back alone; where judging is not shared, nobody objects but by voting.
        if self.set.shared && seen.objecting >= self.set.back_votes.max(1) {
            self.condemn(seen.build, "in step at several", 0.0, out);
        }
    }

    /// Harm that slows every server leaves no difference, but rises with the dose: answer times regressed on
    /// the build's share of our attempts. Could harm where a shared trouble sets in as a stage moves on.
    fn in_step(&mut self, build: Build, out: &mut Vec<Action>) {
        self.step.sums.fade(FADE);
        self.step.sums.add(self.step.level.max(1e-3).ln(), self.step.dose);
        let (xx, yy, xy) = self.step.sums.centred();
        let fit = if xx > 1e-9 && yy > 1e-9 && xy > 0.0 { xy * xy / (xx * yy) } else { 0.0 };
        let released = self.news.as_ref().is_some_and(|n| n.phase == Phase::Released);
        let collapse = !released || (self.step.missed >= 0.5 && fit >= STEP_FIT_LATE);
        // Milder signs from each, as for a look, where earlier machines stay and can't be what is missed.
        let ease = if self.set.side_by_side { 0.65 + 0.35 * self.bars.1 / LEAST } else { 1.0 };
        let signs = (fit / STEP_FIT).min(self.step.level.ln() / STEP_LEVEL.ln());
        let harm = signs >= ease && xx / self.step.sums.n > STEP_SPREAD;
        self.step.beats = if harm && collapse { self.step.beats + 1 } else { 0 };
        self.group.objects = self.set.shared && (self.group.objects || self.step.beats >= STEP_BEATS);
        if self.step.beats >= STEP_BEATS && !self.set.shared {
            self.condemn(build, "in step", fit, out);
        }
    }

    /// Casts the vote for what this marshal holds, again when it lapses or went unheard.
    fn vote(&mut self, out: &mut Vec<Action>) {
        let (Some(news), held) = (&self.news, self.trial.held.is_some()) else { return };
        let agreed = self.group.decided == Some((news.build, news.stage, Vote::On));
        let vote = match (news.phase, self.condemned.contains(&news.build), self.set.control) {
            (Phase::Trial | Phase::Released, true, _) => Vote::Back,
            (Phase::Trial, false, Control::Votes) if self.trial.clean || agreed => Vote::On,
            (Phase::Trial, false, Control::Clocked) if held && !self.trial.clean => Vote::Hold,
            _ => return,
        };
        if self.set.shared && vote != Vote::Hold {
            // Only what the group has decided is voted: by the one that leads where one vote is enough, by
            // all where several are wanted. Guards against two instances that act on two judgements.
            let (build, stage) = (news.build, news.stage);
            if !self.group.decided.is_some_and(|(of, at, was)| (of, was) == (build, vote) && at <= stage)
                || (vote == Vote::On && self.group.decided.map(|(_, at, _)| at) != Some(stage))
            {
                out.extend(self.group.leads.then_some(Action::Judged { build, stage, vote }));
                return;
            }
            let wanted = if vote == Vote::Back { self.set.back_votes } else { self.set.on_votes };
            if wanted <= 1 && !self.group.leads {
                return;
            }
        }
        if let Some(cast) = &self.calls.cast {
            let same = cast.what == (news.build, news.stage, vote);
            // One that still stands adds nobody: renewed late where the platform's calls are few for so many.
            let stands = self.calls.turn.max(self.set.vote_life * 0.5).min(self.set.vote_life);
            let life = if cast.answered { stands } else { self.set.answer_wait };
            let waits = vote != Vote::Back || cast.what.2 == vote; // a first vote back takes no turn
            if (same && self.now < cast.at + life) || (waits && self.now < self.calls.next_call) {
                return;
            }
        }
        self.calls.next_call = self.now + if vote == Vote::Back { BEAT } else { self.calls.turn.max(BEAT) };
        self.calls.cast = Some(Cast { what: (news.build, news.stage, vote), at: self.now, answered: false });
        out.push(Action::Cast { build: news.build, stage: news.stage, vote });
    }

    /// News of the newest build, or the answer to a vote.
    fn stage(&mut self, news: StageNews, out: &mut Vec<Action>) {
        if let (true, Some(cast)) = (news.answers_vote, &mut self.calls.cast) {
            cast.answered = news.verdict == Verdict::Ok;
            if !cast.answered {
                // Unheard, or maybe so: again, but not into a platform that is full, nor hundreds at once.
                let wait = self.calls.turn.max(PAUSE * 2.0) * (0.5 * self.dice.part());
                cast.at = Ms(f64::MIN);
                self.calls.next_call = self.calls.next_call.max(self.now + wait);
            }
        }
        let before = self.news.as_ref().map(|old| (old.build, old.stage, old.phase, old.cap));
        if news.verdict != Verdict::Ok || before.is_some_and(|(build, ..)| news.build < build) {
            return;
        }
        if let Some((build, _, _, cap)) = before {
            if build == news.build && news.cap != cap {
                self.flow.cut = (news.cap < cap).then_some((self.now, cap)); // a raise counts all
            }
            if build < news.build {
                (self.flow.cut, self.step.dose, self.step.sums) = (None, 0.0, Sums::default());
                self.step.whole = self.warm[1];
                self.group.objects = false;
                self.told = Periods::new(self.set.classes.len());
                self.flow.exposed.retain(|&b, _| b >= news.build);
                self.moved.clear();
                // A build that was kept is what the next one is compared with.
                let kept = !self.condemned.contains(&build);
                for arms in self.after.iter_mut().filter(|arms| kept && arms[1].n > 0.0) {
                    arms[0] = arms[1];
                }
                self.condemned.retain(|&old| old >= news.build); // builds never stop being new
            }
        }
        if matches!(news.phase, Phase::Reverting | Phase::Withdrawn) {
            self.condemned.insert(news.build);
            self.moved.clear();
        }
        if before.map(|(b, s, p, _)| (b, s, p)) != Some((news.build, news.stage, news.phase)) {
            // Units of a stage that was never looked at are still fresh for the next one.
            let same = before.is_some_and(|(build, ..)| build == news.build);
            let sums = std::mem::take(&mut self.trial.sums);
            let sums =
                if same && self.trial.looks == 0 { sums } else { vec![Default::default(); sums.len()] };
            let new = before.is_some() || news.phase == Phase::Trial;
            let since = if new { self.now - news.age } else { Ms(f64::MIN) };
            self.trial = Trial { sums, since, ..Trial::default() };
            // Harm that comes late must not drown in clean earlier stages; signs of harm are kept.
            let all = self.after.iter().fold(Sums::default(), |sum, arms| sum.plus(&arms[1]));
            for arms in self.after.iter_mut().filter(|_| !same || all.y <= self.bars.3 * all.n) {
                arms[1] = Sums::default();
            }
        }
        self.news = Some(news);
        self.survey();
        self.vote(out);
    }

    /// Discovery that must be asked: subscribes at the start, and again with back-off.
    fn ask(&mut self, out: &mut Vec<Action>) {
        if self.set.ask_discovery && !self.calls.subscribed && self.now >= self.calls.next_ask {
            self.calls.next_ask = self.now + self.calls.ask_pause;
            self.calls.ask_pause = (self.calls.ask_pause * 2.0).min(self.set.ask_within * 0.4);
            out.push(Action::Subscribe);
        }
    }

    /// Follows the list: a node that drains or is gone gets nothing new from here on (rule 3).
    fn fleet(&mut self, form: FleetForm, entries: Vec<NodeEntry>) {
        self.calls.subscribed = matches!(form, FleetForm::Update | FleetForm::Replace);
        self.calls.ask_pause = if self.calls.subscribed { PAUSE } else { self.calls.ask_pause };
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
        self.survey();
    }
}
