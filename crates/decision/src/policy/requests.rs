//! A request's life: sent, tried again, answered. Budgets of further tries and holding times are ours.

use super::*;

/// A mean expected answer time above this part of the tightest aim is overload; scored from 0.3 to 1.1.
const PATIENCE: f64 = 0.8;
const CROWD_GROWTH: f64 = 4.0; // over the crowd a node's mean was seen at: beyond it, slowness is a guess

impl Marshal {
    /// Sends a request that has no attempt out, or gives it its final answer at once.
    pub(super) fn send(&mut self, id: RequestId, mut request: Request, out: &mut Vec<Action>) {
        let Some((node, predicted)) = self.choose(&request) else {
            return self.give_up(id, &request, out);
        };
        let class = &self.set.classes[request.class.0];
        // Overload: an answer expected late earns little and delays others. A node with nothing of ours is
        // tried always, or, where it seldom sees us, ever less often: a bad memory can't shut it for good.
        let tightest =
            self.set.classes.iter().fold(class.latency_target, |aim, other| aim.min(other.latency_target));
        let patience = tightest.min(request.deadline - self.now) * PATIENCE;
        let at = &self.nodes[&node];
        let crowd_growth = (f64::from(at.inflight) + 1.0) / (at.load + 1.0);
        let over = predicted / (crowd_growth / CROWD_GROWTH).max(1.0) / patience.0.max(1.0);
        let probe = if self.seldom { over.powi(-3) } else { 1.0 };
        if request.tries == 0 && over > 1.0 && (self.nodes[&node].inflight > 0 || self.dice.part() > probe) {
            return self.give_up(id, &request, out);
        }
        let mut until = request.deadline;
        // Late earns little and holds up others; but a client that may ask again then comes back with it.
        let keyed_apart =
            class.retry_safety == RetrySafety::Deduplicated && class.dedup_scope != DedupScope::All;
        if class.late_value < 0.5 && (keyed_apart || class.retry_safety == RetrySafety::AtMostOnce) {
            until = until.min(request.aim);
        }
        // Room for a second try where the class allows one; cuts are evidence, so as rare on any kind.
        let like = self.heard.means.get(&(request.class, self.nodes[&node].entry.machine_kind));
        let calm = like.filter(|_| self.step.missed < RETRY_SHARE).map(|mean| mean.value * 5.0);
        let split =
            Ms((class.latency_target.0 * 0.5).max(calm.unwrap_or(SLOW_MEANS * self.heard.mean.value)));
        let repeatable = class.retry_safety != RetrySafety::AtMostOnce && self.flow.retry_tokens >= 1.0;
        if repeatable && request.tries == 0 && split.0 < class.latency_target.0 * 0.75 {
            until = until.min(self.now + split);
        }
        let (covariate, unscored) = (self.covariate(request.class), Ms(BURN_IN as f64).max(self.set.warmup));
        let entry = &self.nodes[&node].entry;
        let build = entry.build;
        let attempt = Attempt {
            class: request.class,
            build,
            kind: entry.machine_kind,
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
    pub(super) fn give_up(&mut self, id: RequestId, request: &Request, out: &mut Vec<Action>) {
        let class = &self.set.classes[request.class.0];
        let harmless = match class.retry_safety {
            RetrySafety::Idempotent => true,
            effect => {
                request.ran.is_none()
                    || (effect == RetrySafety::Deduplicated && class.dedup_scope == DedupScope::All)
            }
        };
        let wait = self.set.retry_after.then(|| class.latency_target.min(self.set.max_retry_after));
        out.push(if harmless { Action::Refuse(id, wait) } else { Action::Fail(id) });
        let early = f64::from(u8::from(request.tries == 0));
        self.step.missed += early * self.pace() * (1.0 - self.step.missed);
    }

    /// Whether the rules and the time left allow a further attempt, and the retry budget pays for it.
    pub(super) fn may_retry(&self, request: &Request) -> bool {
        let class = &self.set.classes[request.class.0];
        let allowed = match (class.retry_safety, &request.ran) {
            (_, None) | (RetrySafety::Idempotent, _) => true,
            (RetrySafety::AtMostOnce, Some(_)) => false,
            (RetrySafety::Deduplicated, Some((_, _, sent))) => {
                self.now + self.set.tick < *sent + class.dedup_window
            }
        };
        let paid = self.flow.retry_tokens >= 1.0 && request.tries < self.set.max_attempts;
        allowed && paid && (request.aim.min(request.deadline) - self.now).0 > self.heard.mean.value
    }
}
