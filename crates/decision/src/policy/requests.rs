//! The life of a request: sending, retries and final answers.

use super::*;

/// A predicted latency above this part of the tightest target is overload; values from 0.3 to 1.1 were tried.
const OVERLOAD_PART: f64 = 0.8;
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
        let tightest = self.settings.classes.iter().map(|c| c.latency_target).fold(Ms(f64::MAX), Ms::min);
        let limit = tightest.min(request.deadline - self.now) * OVERLOAD_PART;
        let at = &self.nodes[&node];
        let load_growth = (f64::from(at.inflight) + 1.0) / (at.mean_inflight + 1.0);
        let overload = predicted / (load_growth / MAX_LOAD_GROWTH).max(1.0) / limit.0.max(1.0);
        let probe = if self.sparse { overload.powi(-3) } else { 1.0 };
        if request.attempts == 0 && overload > 1.0 && (at.inflight > 0 || self.rng.fraction() > probe) {
            return self.answer_unserved(id, &request, out);
        }
        let mut until = request.deadline;
        // A late answer earns little and delays others; but a client that may retry would send it again.
        let scoped = class.retry_safety == RetrySafety::Deduplicated && class.dedup_scope != DedupScope::All;
        if class.late_value < 0.5 && (scoped || class.retry_safety == RetrySafety::AtMostOnce) {
            until = until.min(request.target);
        }
        // Leaves time for a retry. These time-outs are evidence, so they must be as rare on any machine kind.
        let mean = self.stats.mean_by_kind.get(&(request.class, at.entry.machine_kind));
        let usual = mean.filter(|_| self.dose_response.late_share < RETRY_SHARE).map(|mean| mean.value * 5.0);
        let longest = usual.unwrap_or(SLOW_FACTOR * self.stats.mean_latency.value);
        let first_timeout = Ms((class.latency_target.0 * 0.5).max(longest));
        let repeatable = class.retry_safety != RetrySafety::AtMostOnce && self.traffic.retry_tokens >= 1.0;
        if repeatable && request.attempts == 0 && first_timeout.0 < class.latency_target.0 * 0.75 {
            until = until.min(self.now + first_timeout);
        }
        let burn_in = Ms(BURN_IN as f64).max(self.settings.warmup);
        let covariate = self.covariate(request.class);
        let at = &self.nodes[&node];
        let build = at.entry.build;
        let is_evidence = !self.stalled && at.entry.started.is_none_or(|start| self.now - start >= burn_in);
        let attempt = Attempt::new(request.class, at, self.now, covariate, is_evidence);
        if self.trial_cap(build).is_some() {
            self.traffic.add_exposed(build, request.class, self.now);
        }
        if let Some(n) = self.nodes.get_mut(&node) {
            n.inflight += 1;
            n.cold_tokens -= 1.0;
        }
        out.push(Action::Attempt { id: id.clone(), node: node.clone(), timeout: Some(until - self.now) });
        self.attempts.insert((id.clone(), request.attempts), attempt);
        request.attempts += 1;
        request.tried.push(node);
        self.requests.insert(id, request);
    }

    /// The final answer to a request that can't be served: a refusal where a repeat is safe, else a failure.
    pub(super) fn answer_unserved(&mut self, id: RequestId, request: &Request, out: &mut Vec<Action>) {
        let class = &self.settings.classes[request.class.0];
        let safe = match class.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::Deduplicated => request.first_run.is_none() || class.dedup_scope == DedupScope::All,
            RetrySafety::AtMostOnce => request.first_run.is_none(),
        };
        let wait = self.settings.retry_after.then(|| class.latency_target.min(self.settings.max_retry_after));
        out.push(if safe { Action::Refuse(id, wait) } else { Action::Fail(id) });
        let weight = f64::from(u8::from(request.attempts == 0)) * self.outcome_weight();
        self.dose_response.add_late(true, weight);
    }

    /// Whether the rules, the remaining time and the retry budget allow a further attempt.
    pub(super) fn may_retry(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class.0];
        let in_window = |sent: Ms| self.now + self.settings.tick < sent + class.dedup_window;
        let allowed = match (class.retry_safety, &request.first_run) {
            (_, None) | (RetrySafety::Idempotent, _) => true,
            (RetrySafety::AtMostOnce, Some(_)) => false,
            (RetrySafety::Deduplicated, Some((_, _, sent))) => in_window(*sent),
        };
        let budget = self.traffic.retry_tokens >= 1.0 && request.attempts < self.settings.max_attempts;
        allowed
            && budget
            && (request.target.min(request.deadline) - self.now).0 > self.stats.mean_latency.value
    }
}
