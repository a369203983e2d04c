//! Handles the outcomes of attempts.

use super::{Attempt, RoutedRequest, Router, LOAD_REPORT_WEIGHT, MAX_UNDELIVERED};
use crate::marshal::{AttemptOutcome, Load};
use crate::Time;

impl Router {
    /// Records the end of an attempt. Returns the milliseconds of the marshal's backoff if one
    /// begins now.
    pub fn finish_attempt(
        &mut self,
        now: Time,
        request: &mut RoutedRequest,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        load: Option<Load>,
    ) -> Option<Time> {
        match outcome {
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => {
                // Nothing reached the marshal, so this does not count as an attempt.
                request.undelivered += 1;
                request.attempts = request.attempts.saturating_sub(1);
                if outcome == AttemptOutcome::NotSent {
                    request.tried_marshals.retain(|key| *key != attempt.marshal_key);
                }
            }
            AttemptOutcome::ConnectionBroken
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed
            | AttemptOutcome::Cancelled => request.may_have_run = true,
            AttemptOutcome::Served | AttemptOutcome::Rejected | AttemptOutcome::WrongInstance => {}
        }
        let elapsed = now.saturating_sub(attempt.started_at);
        if outcome == AttemptOutcome::Served {
            if let Some(service) = self.services.get_mut(&request.service) {
                service.mean_latency += 0.02 * (elapsed as f64 - service.mean_latency);
            }
        }
        let marshal = self.marshals.get_mut(&attempt.marshal_key)?;
        self.unreported.insert(attempt.marshal_key);
        // Errors and time-outs score 1, where a time-out is a response later than the target
        // latency. A request that did not run is no outcome.
        let failed = match outcome {
            AttemptOutcome::Served => Some(elapsed > request.route.target_latency),
            AttemptOutcome::Failed | AttemptOutcome::ConnectionBroken | AttemptOutcome::TimedOut => {
                Some(true)
            }
            _ => None,
        };
        if let Some(trial) =
            self.services.get_mut(&attempt.service).and_then(|service| service.trial.as_mut())
        {
            if marshal.ended_by_host_loss(outcome, attempt.started_at, elapsed) {
                trial.discard_attempt(attempt.number);
            } else {
                trial.attempt_ended(now, attempt.number, failed);
            }
        }
        let backoff = marshal.attempt_ended(now, outcome, elapsed, load);
        if let (Some(_), Some(service)) = (load, self.services.get_mut(&attempt.service)) {
            service.other_load += LOAD_REPORT_WEIGHT * (marshal.other_load() - service.other_load);
        }
        backoff
    }

    /// Records that an attempt takes longer than the hedge delay.
    pub fn record_timeout(&mut self, now: Time, attempt: &Attempt) {
        if let Some(trial) =
            self.services.get_mut(&attempt.service).and_then(|service| service.trial.as_mut())
        {
            trial.record_timeout(now, attempt.number);
        }
    }

    /// Records that the client disconnected during an attempt.
    pub fn cancel_attempt(&mut self, now: Time, attempt: &Attempt) {
        let elapsed = now.saturating_sub(attempt.started_at);
        let host_lost = self.marshals.get(&attempt.marshal_key).is_some_and(|marshal| {
            marshal.ended_by_host_loss(AttemptOutcome::Cancelled, attempt.started_at, elapsed)
        });
        if let Some(trial) =
            self.services.get_mut(&attempt.service).and_then(|service| service.trial.as_mut())
        {
            if host_lost {
                trial.discard_attempt(attempt.number);
            } else {
                trial.attempt_ended(now, attempt.number, None);
            }
        }
        if let Some(marshal) = self.marshals.get_mut(&attempt.marshal_key) {
            marshal.attempt_ended(now, AttemptOutcome::Cancelled, 0, None);
        }
    }

    /// Whether a request may be sent again after this outcome.
    pub fn may_retry(&self, now: Time, request: &RoutedRequest, outcome: AttemptOutcome) -> bool {
        let certainly_not_run = matches!(
            outcome,
            AttemptOutcome::Rejected
                | AttemptOutcome::WrongInstance
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::NotSent
        );
        // A request that is not retry-safe is sent again only when it certainly has not run.
        let safe_to_resend = if request.route.class.is_retry_safe() {
            outcome != AttemptOutcome::Served
        } else {
            certainly_not_run && !request.may_have_run
        };
        let attempts_left = request.attempts < self.max_attempts(&request.route);
        safe_to_resend && attempts_left && request.undelivered <= MAX_UNDELIVERED && now < request.deadline
    }
}
