//! What came of a sending.

use super::{Router, Sending, Ticket, MISSES, OTHERS};
use crate::marshal::{Load, Result as Ended};
use crate::Time;

impl Router {
    /// What came of a sending. Gives the milliseconds for which the marshal is avoided from now on, if it is.
    pub fn ended(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        sending: &Sending,
        result: Ended,
        load: Option<Load>,
    ) -> Option<Time> {
        match result {
            Ended::Unreached | Ended::Unsent => {
                // Nothing arrived there: it is no try, though the same one isn't asked again.
                ticket.missed += 1;
                ticket.sent = ticket.sent.saturating_sub(1);
                if result == Ended::Unsent {
                    ticket.tried.retain(|key| *key != sending.marshal);
                }
            }
            Ended::Broken | Ended::Silent | Ended::Failed | Ended::Dropped => ticket.ran = true,
            Ended::Served | Ended::TurnedAway | Ended::Moved => {}
        }
        let took = now.saturating_sub(sending.at);
        if result == Ended::Served {
            if let Some(service) = self.services.get_mut(&ticket.service) {
                service.usual += 0.02 * (took as f64 - service.usual);
            }
        }
        let marshal = self.marshals.get_mut(&sending.marshal)?;
        self.met.insert(sending.marshal);
        // Errors and time-outs score 1, a time-out being an answer beyond the aim; what never ran is no outcome.
        let bad = match result {
            Ended::Served => Some(took > ticket.route.target),
            Ended::Failed | Ended::Broken | Ended::Silent => Some(true),
            _ => None,
        };
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            if marshal.dead(result, sending.at, took) {
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
    pub fn impatient(&mut self, now: Time, sending: &Sending) {
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            trial.timed_out(now, sending.number);
        }
    }

    /// A client left while a sending was out.
    pub fn dropped(&mut self, now: Time, sending: &Sending) {
        let took = now.saturating_sub(sending.at);
        let dead =
            self.marshals.get(&sending.marshal).is_some_and(|it| it.dead(Ended::Dropped, sending.at, took));
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            if dead {
                trial.void(sending.number);
            } else {
                trial.ended(now, sending.number, None);
            }
        }
        if let Some(marshal) = self.marshals.get_mut(&sending.marshal) {
            marshal.end(now, Ended::Dropped, 0, None);
        }
    }

    /// Whether a request may be sent once more after this end of a sending.
    pub fn again(&self, now: Time, ticket: &Ticket, result: Ended) -> bool {
        let certain = matches!(result, Ended::TurnedAway | Ended::Moved | Ended::Unreached | Ended::Unsent);
        // Guards against running twice: what is not repeatable goes on only where it certainly has not run.
        let may =
            if ticket.route.class.is_retry_safe() { result != Ended::Served } else { certain && !ticket.ran };
        let tries = ticket.sent < self.max_tries(&ticket.route);
        may && tries && ticket.missed <= MISSES && now < ticket.deadline
    }
}
