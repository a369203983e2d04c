//! What an edge knows of one marshal: location, reported and observed load, latency and failure
//! rate.

use crate::Time;
use milletwing_outlier_detection::{host_key, HostObservation};
use milletwing_replicated_state::{Node, Phase};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Load that a marshal reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

impl Load {
    /// Parses a `running,waiting,slots` header value; the slots are ignored.
    pub fn parse(text: &str) -> Option<Load> {
        let mut fields = text.split(',').map(|field| field.trim().parse().ok());
        Some(Load { running: fields.next()??, waiting: fields.next()?? })
    }
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response.
    Served,
    /// The marshal answered with a server error: the request ran.
    Failed,
    /// The marshal reported that it did not run the request.
    Rejected,
    /// Another marshal instance has the address: the request did not run.
    WrongInstance,
    /// Nothing was sent: no connection could be established.
    ConnectFailed,
    /// Nothing was sent: the connection had already ended, or none was free.
    NotSent,
    /// The connection broke or delivered an invalid response: the request may have run.
    ConnectionBroken,
    /// No response before the deadline: the request may have run.
    TimedOut,
    /// The client disconnected, or another attempt answered first.
    Cancelled,
}

/// Distance between an edge and a marshal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the edge's zone.
    SameZone,
    /// In the edge's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Half-life of the observed failure rate, in milliseconds.
const FAILURE_HALF_LIFE: f64 = 4_000.0;
/// Milliseconds for which a reported load is fully trusted; after that the trust halves in each
/// such span.
const LOAD_TRUST: f64 = 400.0;
/// Assumed load of a marshal that rejects requests, as a multiple of its capacity. This is the
/// lowest load factor at which any request is refused, so requests of the highest priority are
/// still sent there when nothing better is left.
const FULL_LOAD_FACTOR: f64 = 2.0;
/// When a connection breaks after this many milliseconds without a sign that bytes arrive, the host
/// is taken to be gone.
const HOST_SILENCE: Time = 500;
/// Shortest and longest backoff for an unreachable marshal, in milliseconds.
const BACKOFF: (Time, Time) = (400, 3_200);

/// Milliseconds for which a health answer is valid.
const HEALTH_VALIDITY: Time = 600;
/// Milliseconds between two health probes of a marshal.
const PROBE_INTERVAL: Time = 200;

/// State of the health probes of a marshal.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    warm_until: Time,
    /// Requests that may still be sent on the strength of the last answer that said warm. The
    /// marshal may have turned cold right after it: what it gets then is bounded by the credit of
    /// all edges, not by how much they send while the answer is valid.
    credit: u32,
    last_probe: Time,
}

impl Health {
    fn is_warm(&self, now: Time) -> bool {
        now < self.warm_until && self.credit > 0
    }

    fn probe_due(&self, now: Time) -> bool {
        now >= self.last_probe + PROBE_INTERVAL
    }
}

/// One marshal instance.
#[derive(Debug)]
pub struct Marshal {
    /// Id of the instance.
    pub id: Rc<str>,
    /// Address at which it listens.
    pub address: SocketAddrV4,
    /// Its service.
    pub service: Rc<str>,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Number of requests that it runs concurrently.
    pub capacity: f64,
    /// Its distance from this edge.
    pub proximity: Proximity,
    /// Its zone, version and phase allow it to be sent requests.
    pub eligible: bool,
    /// Ejected by agreement, while this edge retests it with retry-safe requests, one at a time.
    pub retest: bool,
    /// It runs a version on trial.
    pub on_trial: bool,
    /// Requests per second that this edge may send while the marshal is cold; `None` if not
    /// limited.
    pub cold_limit: Option<u32>,
    /// Send times of the attempts of this edge within the last second.
    recent_sends: VecDeque<Time>,
    /// Health answers received while the control plane was out of reach.
    health: Health,
    /// Attempts of this edge that are in flight.
    pub in_flight: u32,
    /// Load by other senders, as last reported to this or another edge, and when it was reported.
    reported_load: (f64, Time),
    /// Observations since the last report to the control plane, with the numeric host key that
    /// edges share.
    pub observation: HostObservation,
    /// Mean latency in milliseconds; 0 if unknown.
    pub mean_latency: f64,
    /// Observed failure rate, and when it was last updated.
    failures: (f64, Time),
    /// End of the current backoff, and the number of consecutive backoffs.
    backoff: (Time, u32),
    /// A request that checks the marshal after a backoff or in a retest is in flight.
    check_in_flight: bool,
    /// Time of the last answer of any kind.
    last_answer: Time,
    /// A connection attempt has failed since the last answer.
    connect_failed: bool,
    /// When this edge first saw it; decides whether its outcomes count as evidence in a trial.
    pub first_seen: Time,
}

impl Marshal {
    /// Takes the agreed state from a newly built entry and keeps what this edge has counted and
    /// observed: requests sent to a cold marshal within the last second still count against its
    /// limit.
    pub fn rebuild_from(&mut self, fresh: Marshal) {
        let recent_sends = std::mem::take(&mut self.recent_sends);
        let (in_flight, reported_load, mean_latency, failures) =
            (self.in_flight, self.reported_load, self.mean_latency, self.failures);
        let (backoff, check_in_flight, first_seen, observation) =
            (self.backoff, self.check_in_flight, self.first_seen, self.observation);
        let (last_answer, connect_failed, health) = (self.last_answer, self.connect_failed, self.health);
        *self = Marshal {
            recent_sends,
            health,
            in_flight,
            reported_load,
            mean_latency,
            failures,
            backoff,
            check_in_flight,
            last_answer,
            connect_failed,
            first_seen,
            ..fresh
        };
        self.observation = HostObservation { host: self.observation.host, ..observation };
    }

    /// Takes the observations since the last call, if there are any.
    pub fn take_observation(&mut self) -> Option<HostObservation> {
        let fresh = HostObservation { host: self.observation.host, ..HostObservation::default() };
        (self.observation != fresh).then(|| std::mem::replace(&mut self.observation, fresh))
    }

    /// Load by other senders as a fraction of capacity, as last reported.
    pub fn other_load(&self) -> f64 {
        self.reported_load.0 / self.capacity
    }

    /// Creates the entry of a marshal instance.
    pub fn new(node: &Node, region: &str, proximity: Proximity, now: Time) -> Marshal {
        Marshal {
            id: Rc::from(node.id.as_str()),
            address: node.address,
            service: Rc::from(node.target.as_str()),
            zone: node.zone.clone(),
            region: region.into(),
            capacity: f64::from(node.capacity.max(1)),
            proximity,
            eligible: false,
            retest: false,
            on_trial: false,
            cold_limit: None,
            recent_sends: VecDeque::new(),
            health: Health::default(),
            in_flight: 0,
            reported_load: (0.0, 0),
            observation: HostObservation { host: host_key(&node.id), ..HostObservation::default() },
            mean_latency: 0.0,
            failures: (0.0, now),
            backoff: (0, 0),
            check_in_flight: false,
            last_answer: 0,
            connect_failed: false,
            first_seen: now,
        }
    }

    /// Applies the phase, from the point of view of the edge with id `edge`.
    pub fn set_phase(&mut self, phase: &Phase, edge: u32) {
        self.cold_limit = match phase {
            Phase::Cold(limits) => {
                Some(limits.iter().find(|(id, _)| *id == edge).map_or(0, |(_, limit)| *limit))
            }
            Phase::Warm | Phase::Draining => None,
        };
    }

    /// Whether an attempt that was sent at `sent_at` ended because the host is gone. Such an end
    /// says nothing about the marshal's version.
    pub fn ended_by_host_loss(&self, outcome: AttemptOutcome, sent_at: Time, elapsed: Time) -> bool {
        let unreachable = match outcome {
            AttemptOutcome::ConnectFailed => true,
            // No sent byte was acknowledged for so long. A hung process would still accept bytes.
            AttemptOutcome::ConnectionBroken => self.connect_failed || elapsed >= HOST_SILENCE,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => self.connect_failed,
            AttemptOutcome::Served
            | AttemptOutcome::Failed
            | AttemptOutcome::Rejected
            | AttemptOutcome::WrongInstance
            | AttemptOutcome::NotSent => false,
        };
        unreachable && self.last_answer < sent_at
    }

    /// Whether a request may be sent to it now. `retry_safe`: the request may run twice, so it may
    /// be used to check a marshal that failed. `unconfirmed_limit`: requests per second that an
    /// edge without contact to the control plane may send to a marshal that may have turned cold.
    pub fn accepts(&mut self, now: Time, retry_safe: bool, unconfirmed_limit: Option<u32>) -> bool {
        if now < self.backoff.0 || (!self.eligible && !self.retest) {
            return false;
        }
        if self.retest && self.in_flight > 0 {
            return false;
        }
        // In a retest and after a connection failure one request at a time checks the marshal, and
        // only a retry-safe one.
        let is_check = self.retest || self.backoff.1 > 0;
        if is_check && (self.check_in_flight || !retry_safe) {
            return false;
        }
        let limit = match (self.cold_limit, unconfirmed_limit) {
            (Some(limit), unconfirmed_limit) => limit.min(unconfirmed_limit.unwrap_or(limit)),
            (None, Some(limit)) if !self.health.is_warm(now) => limit,
            (None, _) => return true,
        };
        self.sends_in_last_second(now) < limit
    }

    /// Number of requests that this edge sent to it within the last second.
    fn sends_in_last_second(&mut self, now: Time) -> u32 {
        while self.recent_sends.front().is_some_and(|at| at + 1_000 <= now) {
            self.recent_sends.pop_front();
        }
        self.recent_sends.len() as u32
    }

    /// Whether to probe its health now: this edge sends it nearly as much as a possibly cold
    /// marshal may get.
    pub fn wants_probe(&mut self, now: Time, unconfirmed_limit: u32) -> bool {
        self.eligible
            && self.cold_limit.is_none()
            && self.health.probe_due(now)
            && self.sends_in_last_second(now) + 1 >= unconfirmed_limit
    }

    /// Notes that a health probe was sent.
    pub fn probe_started(&mut self, now: Time) {
        self.health.last_probe = now;
    }

    /// Records the answer to a probe that was sent at `probed_at`: warm, cold, or `None` if it is
    /// not reliable. `unconfirmed_limit`: requests that may be sent from then on if it says warm.
    pub fn record_probe_result(
        &mut self,
        now: Time,
        probed_at: Time,
        warm: Option<bool>,
        unconfirmed_limit: u32,
    ) {
        match warm {
            Some(true) => {
                let sent = self.recent_sends.iter().filter(|at| **at >= probed_at).count() as u32;
                self.health.warm_until = now + HEALTH_VALIDITY;
                self.health.credit = unconfirmed_limit.saturating_sub(sent);
            }
            Some(false) => self.health.warm_until = 0,
            None => {}
        }
    }

    /// Trust in the reported load: 1 while fresh, then decaying.
    fn load_trust(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.reported_load.1) as f64;
        if age <= LOAD_TRUST {
            1.0
        } else {
            (0.5f64).powf((age - LOAD_TRUST) / LOAD_TRUST)
        }
    }

    /// Estimated number of requests there: this edge's own and the reported ones of others.
    pub fn estimated_load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.reported_load.0 * self.load_trust(now)
    }

    /// Applies a load that was reported to another edge `ago` milliseconds ago.
    pub fn apply_shared_load(&mut self, now: Time, load: u16, ago: Time) {
        let reported_at = now.saturating_sub(ago);
        if reported_at > self.reported_load.1 {
            self.reported_load = ((f64::from(load) - f64::from(self.in_flight)).max(0.0), reported_at);
        }
    }

    /// Expected latency in milliseconds. `typical_latency` is that of the service and
    /// `other_load` the mean load by other senders as a fraction of capacity. As the report on this marshal
    /// ages, the estimate shifts towards `other_load`, so that a marshal without recent reports is not
    /// taken to be idle.
    pub fn expected_latency(&self, now: Time, typical_latency: f64, other_load: f64) -> f64 {
        let latency = if self.mean_latency > 0.0 { self.mean_latency } else { typical_latency };
        let load = self.estimated_load(now) + other_load * self.capacity * (1.0 - self.load_trust(now));
        let queue = (load + 1.0 - self.capacity).max(0.0) / self.capacity;
        // Below capacity, each request there makes waiting a little more likely, and some marshals
        // slow down.
        latency * (1.0 + queue + 0.25 * (load / self.capacity).min(1.0))
    }

    /// Observed failure rate.
    pub fn failure_rate(&self, now: Time) -> f64 {
        self.failures.0 * (0.5f64).powf(now.saturating_sub(self.failures.1) as f64 / FAILURE_HALF_LIFE)
    }

    /// Marks the marshal as full, and reports that load to other edges too.
    fn mark_full(&mut self, now: Time) {
        let other_load = self.reported_load.0.max(FULL_LOAD_FACTOR * self.capacity);
        self.reported_load = (other_load, now);
        self.observation.load = Some((other_load + f64::from(self.in_flight)) as u16);
    }

    /// Updates the failure rate with a score from 0 (success) to 1 (failure).
    fn record_score(&mut self, now: Time, score: f64) {
        let before = self.failure_rate(now);
        self.failures = (before + 0.1 * (score - before), now);
    }

    /// Records that an attempt is sent.
    pub fn attempt_started(&mut self, now: Time) {
        self.in_flight += 1;
        self.sends_in_last_second(now);
        self.recent_sends.push_back(now);
        self.health.credit = self.health.credit.saturating_sub(1);
        self.check_in_flight = self.backoff.1 > 0 || self.retest;
    }

    /// Records the end of an attempt. Returns the milliseconds of the backoff if one begins.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        outcome: AttemptOutcome,
        elapsed: Time,
        load: Option<Load>,
    ) -> Option<Time> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.check_in_flight = false;
        if let Some(load) = load {
            let other_load = f64::from(load.running + load.waiting) - f64::from(self.in_flight) - 1.0;
            self.reported_load = (other_load.max(0.0), now);
            self.observation.load = u16::try_from((load.running + load.waiting).saturating_sub(1)).ok();
        }
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Failed | AttemptOutcome::Rejected) {
            (self.last_answer, self.connect_failed) = (now, false);
        }
        self.connect_failed |= outcome == AttemptOutcome::ConnectFailed;
        let observation = &mut self.observation;
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::Rejected => {
                observation.answered = observation.answered.saturating_add(1)
            }
            AttemptOutcome::Failed | AttemptOutcome::ConnectionBroken => {
                observation.failed = observation.failed.saturating_add(1)
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut => {
                observation.unreachable = observation.unreachable.saturating_add(1)
            }
            AttemptOutcome::WrongInstance | AttemptOutcome::NotSent | AttemptOutcome::Cancelled => {}
        }
        match outcome {
            AttemptOutcome::Served => {
                self.backoff = (0, 0);
                let elapsed = (elapsed as f64).max(0.5);
                self.mean_latency = if self.mean_latency > 0.0 {
                    self.mean_latency + 0.1 * (elapsed - self.mean_latency)
                } else {
                    elapsed
                };
                self.record_score(now, 0.0);
            }
            AttemptOutcome::Failed => {
                self.backoff = (0, 0);
                self.record_score(now, 1.0);
            }
            AttemptOutcome::Rejected => {
                // The marshal is full: other edges send there as well.
                self.backoff = (0, 0);
                self.mark_full(now);
            }
            AttemptOutcome::ConnectionBroken => {
                // Marshals of some services reset connections when they are full. The sign is a
                // marshal known to be busy that breaks the connection early.
                if self.estimated_load(now) >= self.capacity && (elapsed as f64) < 0.5 * self.mean_latency {
                    self.mark_full(now);
                }
                self.record_score(now, 1.0);
            }
            AttemptOutcome::WrongInstance | AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut => {
                self.record_score(now, 1.0);
                let backoffs = self.backoff.1.min(8);
                let duration = if outcome == AttemptOutcome::WrongInstance {
                    BACKOFF.1
                } else {
                    (BACKOFF.0 << backoffs).min(BACKOFF.1)
                };
                self.backoff = (now + duration, backoffs + 1);
                return Some(duration);
            }
            AttemptOutcome::NotSent | AttemptOutcome::Cancelled => {}
        }
        None
    }
}
