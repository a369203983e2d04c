//! The life of a request: sending, retries and final answers.

use super::*;

const OVERLOAD_PART: f64 = 0.8; // of the tightest target: predictions above are overload; 0.3 to 1.1 tried
const MAX_LOAD_GROWTH: f64 = 4.0; // over the load a latency was measured at; beyond, slowness is a guess

impl Marshal {
    /// Sends a request that has no attempt in flight, or gives it its final answer.
    pub(super) fn send(&mut self, id: RequestId, mut request: Request, out: &mut Vec<Action>) {
        let Some((node, predicted)) = self.choose_node(&request) else {
            return self.answer_unserved(id, &request, out);
        };
        let class = &self.settings.classes[request.class.0];
        // Overload: a late answer earns little and delays others. A node without our requests is still tried,
        // but ever less often if requests are sparse: outdated statistics must not shut it out for good.
        let target = self.settings.classes.iter().fold(class.latency_target, |t, c| t.min(c.latency_target));
        let limit = target.min(request.deadline - self.now) * OVERLOAD_PART;
        let at = &self.nodes[&node];
        let load_growth = (f64::from(at.inflight) + 1.0) / (at.mean_inflight + 1.0);
        let ratio = predicted / (load_growth / MAX_LOAD_GROWTH).max(1.0) / limit.0.max(1.0);
        let p = if self.sparse { ratio.powi(-3) } else { 1.0 };
        if request.tries == 0 && ratio > 1.0 && (self.nodes[&node].inflight > 0 || self.rng.fraction() > p) {
            return self.answer_unserved(id, &request, out);
        }
        let mut until = request.deadline;
        // A late answer earns little and delays others; but a client that may retry would send it again.
        let scoped = class.retry_safety == RetrySafety::Deduplicated && class.dedup_scope != DedupScope::All;
        if class.late_value < 0.5 && (scoped || class.retry_safety == RetrySafety::AtMostOnce) {
            until = until.min(request.target);
        }
        // Leaves time for a retry. These time-outs are evidence, so they must be as rare on any machine kind.
        let mean = self.stats.mean_by_kind.get(&(request.class, self.nodes[&node].entry.machine_kind));
        let usual = mean.filter(|_| self.response.late_rate < RETRY_SHARE).map(|mean| mean.value * 5.0);
        let first_timeout =
            Ms((class.latency_target.0 * 0.5).max(usual.unwrap_or(SLOW_FACTOR * self.stats.latency.value)));
        let repeatable = class.retry_safety != RetrySafety::AtMostOnce && self.traffic.retry_tokens >= 1.0;
        if repeatable && request.tries == 0 && first_timeout.0 < class.latency_target.0 * 0.75 {
            until = until.min(self.now + first_timeout);
        }
        let (covariate, wait) = (self.covariate(request.class), Ms(BURN_IN as f64).max(self.settings.warmup));
        let entry = &self.nodes[&node].entry;
        let build = entry.build;
        let attempt = Attempt {
            class: request.class,
            build,
            machine_kind: entry.machine_kind,
            location: (entry.zone, entry.cell),
            sent: self.now,
            covariate,
            node_inflight: f64::from(self.nodes[&node].inflight),
            is_evidence: !self.stalled && entry.started.is_none_or(|start| self.now - start >= wait),
        };
        if self.trial_cap(build).is_some() {
            let n = self.settings.classes.len();
            let times = self.traffic.exposed.entry(build).or_insert_with(|| vec![EventTimes::default(); n]);
            times[request.class.0].push(self.now);
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

    /// The final answer to a request that can't be served: a refusal where a repeat is safe, else a failure.
    pub(super) fn answer_unserved(&mut self, id: RequestId, request: &Request, out: &mut Vec<Action>) {
        let class = &self.settings.classes[request.class.0];
        let safe = match class.retry_safety {
            RetrySafety::Idempotent => true,
            safety => {
                request.first_run.is_none()
                    || (safety == RetrySafety::Deduplicated && class.dedup_scope == DedupScope::All)
            }
        };
        let wait = self.settings.retry_after.then(|| class.latency_target.min(self.settings.max_retry_after));
        out.push(if safe { Action::Refuse(id, wait) } else { Action::Fail(id) });
        let early = f64::from(u8::from(request.tries == 0));
        self.response.late_rate += early * self.outcome_weight() * (1.0 - self.response.late_rate);
    }

    /// Whether the rules, the remaining time and the retry budget allow a further attempt.
    pub(super) fn may_retry(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class.0];
        let allowed = match (class.retry_safety, &request.first_run) {
            (_, None) | (RetrySafety::Idempotent, _) => true,
            (RetrySafety::AtMostOnce, Some(_)) => false,
            (RetrySafety::Deduplicated, Some((_, _, sent))) => {
                self.now + self.settings.tick < *sent + class.dedup_window
            }
        };
        let budget = self.traffic.retry_tokens >= 1.0 && request.tries < self.settings.max_attempts;
        allowed && budget && (request.target.min(request.deadline) - self.now).0 > self.stats.latency.value
    }
}
