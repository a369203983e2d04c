//! What came of a sending.

use super::{Attempt, RoutedRequest, Router, MISSES, OTHERS};
use crate::marshal::{AttemptOutcome, Load};
use crate::Time;

impl Router {
    /// What came of a sending. Gives the milliseconds for which the marshal is avoided from now on, if it is.
    pub fn finish_attempt(
        &mut self,
        now: Time,
        ticket: &mut RoutedRequest,
        sending: &Attempt,
        result: AttemptOutcome,
        load: Option<Load>,
    ) -> Option<Time> {
        match result {
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => {
                // Nothing arrived there: it is no try, though the same one isn't asked again.
                ticket.missed += 1;
                ticket.sent = ticket.sent.saturating_sub(1);
                if result == AttemptOutcome::NotSent {
                    ticket.tried.retain(|key| *key != sending.marshal_key);
                }
            }
            AttemptOutcome::ConnectionBroken
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Failed
            | AttemptOutcome::Cancelled => ticket.may_have_run = true,
            AttemptOutcome::Served | AttemptOutcome::Rejected | AttemptOutcome::WrongInstance => {}
        }
        let took = now.saturating_sub(sending.started_at);
        if result == AttemptOutcome::Served {
            if let Some(service) = self.services.get_mut(&ticket.service) {
                service.usual += 0.02 * (took as f64 - service.usual);
            }
        }
        let marshal = self.marshals.get_mut(&sending.marshal_key)?;
        self.met.insert(sending.marshal_key);
        // Errors and time-outs score 1, a time-out being an answer beyond the aim; what never ran is no outcome.
        let bad = match result {
            AttemptOutcome::Served => Some(took > ticket.route.target),
            AttemptOutcome::Failed | AttemptOutcome::ConnectionBroken | AttemptOutcome::TimedOut => {
                Some(true)
            }
            _ => None,
        };
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            if marshal.dead(result, sending.started_at, took) {
                trial.void(sending.number);
            } else {
                trial.ended(now, sending.number, bad);
            }
        }
        let avoided = marshal.end(now, result, took, load);
        if let (Some(_), Some(service)) = (load, self.services.get_mut(&sending.service)) {
            service.others += OTHERS * (marshal.others() - service.others);
        }
        avoided
    }

    /// A sending waits longer than this edge waits for one.
    pub fn record_timeout(&mut self, now: Time, sending: &Attempt) {
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            trial.timed_out(now, sending.number);
        }
    }

    /// A client left while a sending was out.
    pub fn cancel_attempt(&mut self, now: Time, sending: &Attempt) {
        let took = now.saturating_sub(sending.started_at);
        let dead = self
            .marshals
            .get(&sending.marshal_key)
            .is_some_and(|it| it.dead(AttemptOutcome::Cancelled, sending.started_at, took));
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            if dead {
                trial.void(sending.number);
            } else {
                trial.ended(now, sending.number, None);
            }
        }
        if let Some(marshal) = self.marshals.get_mut(&sending.marshal_key) {
            marshal.end(now, AttemptOutcome::Cancelled, 0, None);
        }
    }

    /// Whether a request may be sent once more after this end of a sending.
    pub fn may_retry(&self, now: Time, ticket: &RoutedRequest, result: AttemptOutcome) -> bool {
        let certain = matches!(
            result,
            AttemptOutcome::Rejected
                | AttemptOutcome::WrongInstance
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::NotSent
        );
        // Guards against running twice: what is not repeatable goes on only where it certainly has not run.
        let may = if ticket.route.class.is_retry_safe() {
            result != AttemptOutcome::Served
        } else {
            certain && !ticket.may_have_run
        };
        let tries = ticket.sent < self.max_tries(&ticket.route);
        may && tries && ticket.missed <= MISSES && now < ticket.deadline
    }
}
