//! The choice of a node for a request: two random candidates, compared by the statistics of each.

use super::*;

const OUTLIER: f64 = 4.0; // a latency enters a node's mean at no more than this many times the mean
/// A request leaves the build drawn for it when that build's candidate has over this many times as many
/// requests in flight as the other's plus one. Speed doesn't count: a slow build must keep giving evidence.
const SPILL_FACTOR: u32 = 2;
const FAILURE_PENALTY: f64 = 5.0; // added to the latency factor of a node that always fails
const MAX_DRAWS: usize = 6; // random draws of a node before the list is searched
const MEMORY: Ms = Ms(4000.0); // time constant with which statistics of a rarely used node age

impl Marshal {
    /// Draws the build, then compares two random candidates of it. The request stays with that build unless
    /// it has no usable node or far more in flight (`SPILL_FACTOR`), which protects builds with few nodes.
    pub(super) fn choose_node(&mut self, request: &Request) -> Option<(NodeId, f64)> {
        // The cap rises before the machines of its stage run: no more than the new build's warm share.
        let max = self.warm[0] / self.warm[1].max(1.0);
        let live = |n: &&StageReport| n.phase == Phase::Trial && !self.to_revert.contains(&n.build);
        let share =
            self.report.as_ref().filter(live).map_or(0.0, |n| (FILL * self.granted(n.build, n.cap)).min(max));
        let prefer_new = self.rng.fraction() < share;
        let sticky = request.key.as_ref().is_some_and(|key| self.keys_on_newest.contains(key));
        let build = self.candidates[1][1].first().map(|id| self.nodes[id].entry.build);
        let open = build.is_some_and(|build| self.within_cap(build, request.class));
        let new = if open { self.best_of_two(request, 1, sticky) } else { None };
        let picks = [self.best_of_two(request, 0, sticky), new];
        let [first, second] = if prefer_new || sticky { [picks[1].clone(), picks[0].clone()] } else { picks };
        let inflight = |pick: &(NodeId, f64)| self.nodes[&pick.0].inflight;
        match (first, second) {
            (Some(a), Some(b)) if inflight(&a) > SPILL_FACTOR * (inflight(&b) + 1) => Some(b),
            (a, b) => a.or(b),
        }
    }

    /// Compares two random nodes of this zone, two of any zone and, where connections are often refused, two
    /// connected ones. Takes the best chance of an answer in time at equal load, less the cross-zone cost.
    fn best_of_two(&mut self, request: &Request, side: usize, sticky: bool) -> Option<(NodeId, f64)> {
        let mut best: Option<(NodeId, f64, f64)> = None;
        for set in 0..if self.stats.refused < WIDESPREAD { 2 } else { 3 } {
            let pool = std::mem::take(&mut self.candidates[side][set]);
            for _ in 0..2 {
                let Some(id) = self.draw_usable(&pool, request, sticky) else { break };
                let latency = self.predicted_latency(&id);
                let node = &self.nodes[&id];
                let far = f64::from(u8::from(self.settings.zone != Some(node.entry.zone)));
                let connects = if node.connected { 1.0 } else { 1.0 - self.stats.refused };
                let failing = 1.0 + FAILURE_PENALTY * (node.failure_rate - self.stats.failure_rate).max(0.0);
                let time = failing * latency * (node.mean_inflight + 1.0) / (self.stats.mean_inflight + 1.0);
                let in_time = -(-(request.target - self.now).0.max(1.0) / time).exp_m1();
                let cost = far * self.settings.cross_zone_cost - connects * in_time;
                if best.as_ref().is_none_or(|b| cost < b.2) {
                    best = Some((id, latency, cost));
                }
            }
            self.candidates[side][set] = pool;
        }
        best.map(|(id, latency, _)| (id, latency))
    }

    /// A random usable node: a few random draws, then a search of the list from the last one drawn.
    fn draw_usable(&mut self, pool: &[NodeId], request: &Request, sticky: bool) -> Option<NodeId> {
        let mut at = 0;
        for _ in 0..MAX_DRAWS {
            at = self.rng.index_below(pool.len())?;
            if self.is_usable(&pool[at], request, sticky) {
                return Some(pool[at].clone());
            }
        }
        let (before, after) = pool.split_at(at);
        after.iter().chain(before).find(|id| self.is_usable(id, request, sticky)).cloned()
    }

    /// Whether a node may get the request: not ejected, in scope, untried, permitted, in cap and cold budget.
    fn is_usable(&mut self, id: &NodeId, request: &Request, sticky: bool) -> bool {
        let Some(node) = self.nodes.get(id) else { return false };
        let build = node.entry.build;
        let in_scope = match (&request.first_run, self.settings.classes[request.class.0].dedup_scope) {
            (Some((zone, _, _)), DedupScope::Zone) => *zone == node.entry.zone,
            (Some((_, cell, _)), DedupScope::Cell) => *cell == node.entry.cell,
            _ => true,
        };
        let available = self.now >= node.ejected_until && (!sticky || self.is_newest(build));
        let untried = in_scope && !request.tried.contains(id);
        let zone = node.entry.zone;
        let open = available && untried && self.is_permitted(build, zone, request.tenant);
        open && self.within_cap(build, request.class) && self.has_cold_budget(id)
    }

    /// Whether the permit table allows the build there. Every attempt is checked, retries too. Guards against
    /// traffic for combinations that the table does not contain or whose permit has expired.
    fn is_permitted(&self, build: Build, zone: ZoneId, tenant: TenantId) -> bool {
        let Some((table, until)) = &self.permits else { return !self.settings.require_permits };
        let entry = (build, zone, tenant);
        table.released.contains(&entry) || (self.now < *until && table.in_rollout.contains(&entry))
    }

    /// Recomputes the candidates (builds on trial or reverted count as new), the warm capacity and `sparse`.
    pub(super) fn refresh_candidates(&mut self) {
        let requests = self.traffic.recent.trim(self.now - WINDOW) as f64 * (self.settings.warmup / WINDOW);
        self.sparse = requests < 4.0 * self.nodes.len() as f64;
        self.candidates = Default::default();
        self.warm = [0.0; 2];
        for (id, node) in self.nodes.iter().filter(|(_, n)| n.entry.state == NodeState::InService) {
            let build = node.entry.build;
            let reverted = self.to_revert.contains(&build) && self.is_newest(build);
            let side = usize::from(reverted || self.trial_cap(build).is_some());
            let near = self.settings.zone == Some(node.entry.zone);
            self.candidates[side][0].extend(near.then(|| id.clone()));
            self.candidates[side][1].push(id.clone());
            self.candidates[side][2].extend(node.connected.then(|| id.clone()));
            let warmth = self.warmth(node);
            let part = if warmth < 1.0 && self.sparse { warmth * 0.5 } else { warmth }; // rarely has budget
            self.warm[0] += if self.is_newest(build) { part } else { 0.0 };
            self.warm[1] += warmth;
        }
        let answers = self.traffic.recent_answers.trim(self.now - WINDOW) as f64 / self.warm[1].max(1.0);
        self.traffic.peak_answers = self.traffic.peak_answers.max(answers);
    }

    /// Expected latency: the node's mean, scaled from the load it was measured at to the present load. As it
    /// ages, the mean of similar nodes (same zone and machine kind) takes its place.
    fn predicted_latency(&self, id: &NodeId) -> f64 {
        let node = &self.nodes[id];
        let similar = self.stats.similar.get(&(node.entry.zone, node.entry.machine_kind));
        let similar = similar.map_or(self.stats.latency.value.max(1.0), |similar| similar.0);
        let fresh = (-((self.now - node.answered) / MEMORY)).exp();
        let latency = node.latency.map_or(similar, |m| similar + fresh * (m - similar)) / self.warmth(node);
        latency * (f64::from(node.inflight) + 1.0) / (node.mean_inflight + 1.0)
    }

    /// Updates a node's running means. Consecutive attempts without an answer eject it, each time for longer.
    pub(super) fn update_health(&mut self, id: &NodeId, inflight: f64, outcome: Outcome, took: Ms) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.inflight = node.inflight.saturating_sub(1);
        if outcome == Outcome::NotSent || outcome == Outcome::Cancelled {
            return;
        }
        let refused = f64::from(u8::from(outcome == Outcome::ConnectFailed));
        self.stats.refused += if node.connected { 0.0 } else { MIN_WEIGHT * (refused - self.stats.refused) };
        node.connected = !matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        let failed = f64::from(u8::from(outcome != Outcome::Ok));
        node.failure_rate += MIN_WEIGHT * (failed - node.failure_rate);
        self.stats.failure_rate += MIN_WEIGHT * 0.2 * (failed - self.stats.failure_rate);
        let unanswered = matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset);
        self.stats.unanswered += MIN_WEIGHT * 0.2 * (f64::from(u8::from(unanswered)) - self.stats.unanswered);
        if !self.stalled && (outcome == Outcome::Ok || outcome == Outcome::Timeout) {
            let weight = |since: Ms| MIN_WEIGHT.max(-(-((now - since) / MEMORY)).exp_m1());
            let similar =
                self.stats.similar.entry((node.entry.zone, node.entry.machine_kind)).or_insert((took.0, now));
            similar.0 += weight(similar.1) * (took.0.min(OUTLIER * similar.0) - similar.0);
            similar.1 = now;
            let mean = node.latency.unwrap_or(similar.0);
            // Limited: one costly request must not make a fast node look overloaded; overload shows in a few.
            node.latency = Some(mean + weight(node.answered) * (took.0.min(OUTLIER * mean) - mean));
            node.mean_inflight += weight(node.answered) * (inflight - node.mean_inflight); // with its latency
            node.answered = now;
            self.stats.mean_inflight += MIN_WEIGHT * 0.2 * (inflight - self.stats.mean_inflight);
        }
        if unanswered {
            node.unanswered += 1;
            // Many unanswered attempts everywhere are overload: ejections would load the other nodes more.
            // A reset may be one bad answer; a dead node refuses the next connection at once.
            if self.stats.unanswered < WIDESPREAD && (node.unanswered >= MAX_UNANSWERED || refused > 0.0) {
                node.ejected_until = now + node.ejection;
                node.ejection = (node.ejection * 2.0).min(BACKOFF * 8.0);
            }
        } else {
            node.unanswered = 0;
            node.ejection = BACKOFF;
        }
    }
}
