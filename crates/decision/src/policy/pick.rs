//! Which server gets a request: two random choices (page) by what is known of each (ours).

use super::*;

/// A latency counts in a node's mean at no more than this many times that mean.
const OUTLIER: f64 = 4.0;
/// A pick leaves the coin's build at over this many times (the other pick's plus one) in flight; not by
/// speed, since a slow build must go on giving evidence.
const SPILL: u32 = 2;
const FAIL_COST: f64 = 5.0; // how much longer a node that always fails ranks
const DRAWS: usize = 6; // of a server, before the list is walked
/// How long a value stays news to a rare visitor.
const MEMORY: Ms = Ms(4000.0);

impl Marshal {
    /// The coin, then two random choices on either side. The coin's build keeps the request unless it has no
    /// server or far more in flight (`SPILL`): a few new machines, or the last old ones, must not drown.
    pub(super) fn choose(&mut self, request: &Request) -> Option<(NodeId, f64)> {
        // The cap rises before the machines of its stage run: the coin never asks more of the new machines
        // than their even part of what is warm.
        let even = self.warm[0] / self.warm[1].max(1.0);
        let trial = |n: &&StageReport| n.phase == Phase::Trial && !self.condemned.contains(&n.build);
        let coin =
            self.news.as_ref().filter(trial).map_or(0.0, |n| (FILL * self.granted(n.build, n.cap)).min(even));
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
                let cost = far * self.set.cross_zone_cost - open * in_time;
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
        let kept = match (&request.ran, self.set.classes[request.class.0].dedup_scope) {
            (Some((home, _, _)), DedupScope::Zone) => *home == node.entry.zone,
            (Some((_, home, _)), DedupScope::Cell) => *home == node.entry.cell,
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
        let Some((table, until)) = &self.permits else { return !self.set.require_permits };
        let of = (build, zone, tenant);
        table.released.contains(&of) || (self.now < *until && table.in_rollout.contains(&of))
    }

    /// Keeps what picks need: servers in service by side (earlier builds, those on trial or sent back), near
    /// and all, and the warm capacity, in machines, of the newest build and of all.
    pub(super) fn survey(&mut self) {
        let span = self.flow.recent.trim(self.now - RATE_SPAN) as f64 * (self.set.warmup / RATE_SPAN);
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
        let like = self.heard.likes.get(&(node.entry.zone, node.entry.machine_kind));
        let like = like.map_or(self.heard.mean.value.max(1.0), |like| like.0);
        let fresh = (-((self.now - node.seen) / MEMORY)).exp();
        let latency = node.latency.map_or(like, |own| like + fresh * (own - like)) / self.warmth(node);
        latency * (f64::from(node.inflight) + 1.0) / (node.load + 1.0)
    }

    /// Running means of a node. Attempts in a row without any answer set it aside, ever longer.
    pub(super) fn health(&mut self, id: &NodeId, crowd: f64, verdict: Outcome, latency: Ms) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.inflight = node.inflight.saturating_sub(1);
        if verdict == Outcome::NotSent || verdict == Outcome::Cancelled {
            return;
        }
        let barred = f64::from(u8::from(verdict == Outcome::ConnectFailed));
        self.heard.barred += if node.linked { 0.0 } else { FRESH * (barred - self.heard.barred) };
        node.linked = !matches!(verdict, Outcome::ConnectFailed | Outcome::Reset);
        let failed = f64::from(u8::from(verdict != Outcome::Ok));
        node.failing += FRESH * (failed - node.failing);
        self.heard.failing += FRESH * 0.2 * (failed - self.heard.failing);
        let unanswered = matches!(verdict, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset);
        self.heard.unanswered += FRESH * 0.2 * (f64::from(u8::from(unanswered)) - self.heard.unanswered);
        if !self.stood && (verdict == Outcome::Ok || verdict == Outcome::Timeout) {
            let weight = |since: Ms| FRESH.max(-(-((now - since) / MEMORY)).exp_m1());
            let like = self
                .heard
                .likes
                .entry((node.entry.zone, node.entry.machine_kind))
                .or_insert((latency.0, now));
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
}
