//! What callers, marshals and the operator saw in the course of a day.

use serde::Serialize;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that reached a marshal.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its attempt id.
    pub id: String,
    /// When its caller sent it.
    pub sent_at: Duration,
    /// When the marshal began to work on it.
    pub arrived_at: Duration,
    /// The edge that took it.
    pub edge: u32,
    /// The service that ran it.
    pub service: String,
    /// The marshal's version.
    pub version: String,
    /// The marshal's zone.
    pub zone: String,
    /// The marshal gave a bad answer.
    pub bad: bool,
    /// When the marshal gave its answer.
    pub answered_at: Duration,
}

/// How a roll-out ended, as the operator read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RolloutEnd {
    /// It had not ended when the day was over.
    Active,
    /// The new version has the traffic.
    Completed,
    /// The earlier version has the traffic.
    Reverted,
}

/// A roll-out.
#[derive(Clone, Debug)]
pub struct RolloutRecord {
    /// Its service.
    pub service: String,
    /// The new version.
    pub version: String,
    /// Whether that version is bad.
    pub bad: bool,
    /// When it was first ordered.
    pub ordered_at: Duration,
    /// Its period.
    pub period: Duration,
    /// How it ended.
    pub end: RolloutEnd,
    /// When the operator first read that end.
    pub ended_at: Option<Duration>,
}

/// An evacuation, from its acknowledgement until its end is ordered.
#[derive(Clone, Debug)]
pub struct EvacuationRecord {
    /// The zone.
    pub zone: String,
    /// When it was acknowledged.
    pub acknowledged_at: Duration,
    /// When its end was first ordered.
    pub withdrawn_at: Option<Duration>,
}

/// A process was killed, started, stopped or continued.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Its host.
    pub host: u32,
    /// It belongs to the core.
    pub core: bool,
    /// When.
    pub at: Duration,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests that reached marshals.
    pub arrivals: Vec<Arrival>,
    /// Roll-outs in the order in which they were given.
    pub rollouts: Vec<RolloutRecord>,
    /// Evacuations.
    pub evacuations: Vec<EvacuationRecord>,
    /// What was done to processes.
    pub disturbances: Vec<Disturbance>,
    /// Orders without an acknowledgement.
    pub unacknowledged: Vec<String>,
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
}

impl Observations {
    /// Requests that reached the new version of a roll-out.
    pub fn arrivals_of<'a>(&'a self, rollout: &'a RolloutRecord) -> impl Iterator<Item = &'a Arrival> {
        self.arrivals
            .iter()
            .filter(|arrival| arrival.service == rollout.service && arrival.version == rollout.version)
    }
}

/// Where a request was sent, and when.
#[derive(Clone, Copy, Debug)]
struct Sent {
    edge: u32,
    at: Duration,
}

#[derive(Debug, Default)]
struct Recorded {
    sent: HashMap<String, Sent>,
    observations: Observations,
}

/// Collects observations of a day that is being played.
#[derive(Debug)]
pub struct Recorder {
    began: Instant,
    recorded: Mutex<Recorded>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { began: Instant::now(), recorded: Mutex::default() }
    }
}

impl Recorder {
    fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.recorded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the recorder was made.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// A caller sends a request to an edge.
    pub fn sent(&self, id: &str, edge: u32) {
        let at = self.now();
        let recorded = &mut *self.recorded();
        recorded.observations.requests += 1;
        recorded.sent.insert(id.into(), Sent { edge, at });
    }

    /// A caller got its answer.
    pub fn served(&self) {
        self.recorded().observations.served += 1;
    }

    /// A marshal has given its answer to a request that reached it at `arrived_at`.
    pub fn answered(&self, id: String, arrived_at: Duration, node: (&str, &str, &str), bad: bool) {
        let answered_at = self.now();
        let recorded = &mut *self.recorded();
        let Some(sent) = recorded.sent.get(&id).copied() else { return };
        let (service, version, zone) = node;
        recorded.observations.arrivals.push(Arrival {
            id,
            sent_at: sent.at,
            arrived_at,
            edge: sent.edge,
            service: service.into(),
            version: version.into(),
            zone: zone.into(),
            bad,
            answered_at,
        });
    }

    /// Something was done to a process.
    pub fn disturbed(&self, host: u32, core: bool) {
        let at = self.now();
        self.recorded().observations.disturbances.push(Disturbance { host, core, at });
    }

    /// A roll-out is ordered. Returns its number.
    pub fn rollout_ordered(&self, service: &str, version: &str, bad: bool, period: Duration) -> usize {
        let record = RolloutRecord {
            service: service.into(),
            version: version.into(),
            bad,
            ordered_at: self.now(),
            period,
            end: RolloutEnd::Active,
            ended_at: None,
        };
        let rollouts = &mut self.recorded().observations.rollouts;
        rollouts.push(record);
        rollouts.len() - 1
    }

    /// The operator has read how a roll-out ended.
    pub fn rollout_ended(&self, number: usize, end: RolloutEnd) {
        let now = self.now();
        if let Some(rollout) = self.recorded().observations.rollouts.get_mut(number) {
            (rollout.end, rollout.ended_at) = (end, Some(now));
        }
    }

    /// An evacuation was acknowledged. Returns its number.
    pub fn evacuated(&self, zone: &str) -> usize {
        let record = EvacuationRecord { zone: zone.into(), acknowledged_at: self.now(), withdrawn_at: None };
        let evacuations = &mut self.recorded().observations.evacuations;
        evacuations.push(record);
        evacuations.len() - 1
    }

    /// The end of an evacuation is about to be ordered.
    pub fn evacuation_withdrawn(&self, number: usize) {
        let now = self.now();
        if let Some(evacuation) = self.recorded().observations.evacuations.get_mut(number) {
            evacuation.withdrawn_at = Some(now);
        }
    }

    /// An order got no acknowledgement.
    pub fn unacknowledged(&self, order: String) {
        self.recorded().observations.unacknowledged.push(order);
    }

    /// All that was seen so far.
    pub fn take(&self) -> Observations {
        std::mem::take(&mut self.recorded().observations)
    }
}
