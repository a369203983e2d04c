//! Decides which requests an edge still sends to marshals between SIGTERM and the end of its
//! process.
//!
//! A request is refused unrun unless its outcome cannot be lost with the process. The only bound on
//! how long a marshal works that holds for a late marshal as well is the deadline of the request; and the
//! only bound on how long a client reads.

use milletwing_routing::Time;

/// Milliseconds between the deadline of an accepted request and the end of the process: for a signal
/// that is noticed late, and for the response on its way to the client.
const RESPONSE_MARGIN_MS: Time = 250;
/// Milliseconds by which a marshal may overrun the time that it was given if this time ends with the
/// process, not with the deadline of the request.
const OVERRUN_MARGIN_MS: Time = 250;
/// Milliseconds after SIGTERM during which retry-safe requests with small responses are accepted whatever
/// their deadline.
/// Clients of a leaving edge are excused for requests of the first 3 s only; the rest is for a signal
/// that is noticed late.
const ACCEPT_RETRY_SAFE_MS: Time = 2_900;

/// What is known of a request before it is sent to a marshal.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Time after which no response is accepted.
    pub deadline: Time,
    /// The request may run more than once.
    pub retry_safe: bool,
    /// The response is large: how long it takes depends on how fast the client reads.
    pub large_response: bool,
}

/// The times of a shutdown. All times are those of the clock of the edge, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// Until this time, retry-safe requests with small responses are accepted whatever their deadline.
    retry_safe_until: Time,
    /// The process ends: it exits, or the platform kills it.
    ends_at: Time,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins at `now` with the given grace period.
    pub fn new(now: Time, grace: Time) -> ShutdownSchedule {
        ShutdownSchedule { retry_safe_until: now + ACCEPT_RETRY_SAFE_MS.min(grace / 2), ends_at: now + grace }
    }

    /// Milliseconds until the process ends.
    pub fn time_left(&self, now: Time) -> Time {
        self.ends_at.saturating_sub(now)
    }

    /// Whether a request may be sent to a marshal.
    pub fn admits(&self, now: Time, limits: RequestLimits) -> bool {
        let accepted_early = limits.retry_safe && !limits.large_response;
        self.outlasts(limits.deadline) || (accepted_early && now < self.retry_safe_until)
    }

    /// The time by which a marshal is told to have finished a request with the given deadline.
    pub fn work_deadline(&self, deadline: Time) -> Time {
        if self.outlasts(deadline) {
            deadline
        } else {
            self.ends_at.saturating_sub(RESPONSE_MARGIN_MS + OVERRUN_MARGIN_MS)
        }
    }

    /// Whether the process still runs when a request reaches its deadline.
    fn outlasts(&self, deadline: Time) -> bool {
        deadline + RESPONSE_MARGIN_MS <= self.ends_at
    }
}
