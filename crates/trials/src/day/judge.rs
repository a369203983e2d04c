//! Judges a day by the rules of the protocol about versions on trial and evacuated zones.

use super::observations::{Arrival, Observations, RolloutEnd, RolloutRecord};
use serde::Serialize;
use std::time::Duration;

/// The guarantees that the day's settings name.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A machine is in touch if nothing disturbed it or the core for so long.
    pub contact: Duration,
    /// Share of the service's requests that a bad version may get by its term.
    pub exposure_share: f64,
    /// Requests that a bad version may get beyond that share.
    pub exposure_slack: f64,
    /// Time from the 50th bad answer until the version gets nothing more.
    pub roll_back: Duration,
    /// Time from the acknowledgement of an evacuation until its zone gets nothing more.
    pub evacuation: Duration,
}

/// What a missed duty is called in place of a rule.
pub const DUTY: &str = "Duty";
/// Bad answers after which a version is to be taken back.
const BAD_ANSWERS: usize = 50;

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact: Duration::from_secs(5),
            exposure_share: 0.1,
            exposure_slack: 50.0,
            roll_back: Duration::from_secs(5),
            evacuation: Duration::from_secs(5),
        }
    }
}

impl Bounds {
    /// The guarantees as lines of a settings file.
    pub fn settings(&self) -> String {
        format!(
            "graceS = 6\nackS = 6\ndrainS = 3\napplyS = 3\ncontactS = {}\nexposureShare = {:?}\nexposureSlack = {:?}\nrollbackS = {}\nevacuationS = {}\n",
            self.contact.as_secs(),
            self.exposure_share,
            self.exposure_slack,
            self.roll_back.as_secs(),
            self.evacuation.as_secs()
        )
    }
}

/// A rule that was broken, or a duty that was missed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule, or `Duty`.
    pub rule: &'static str,
    /// What was seen.
    pub what: String,
}

/// Requests of a service by the term of a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct ExposureByTerm {
    /// To the new version, from edges in touch.
    pub exposed: usize,
    /// To the service.
    pub requests: usize,
}

/// Counts the requests between the order of a roll-out and its term.
pub fn exposure_by_term(
    observations: &Observations,
    rollout: &RolloutRecord,
    bounds: &Bounds,
) -> ExposureByTerm {
    let term = rollout.ordered_at + rollout.period;
    let by_term: Vec<&Arrival> = observations
        .arrivals
        .iter()
        .filter(|arrival| arrival.service == rollout.service)
        .filter(|arrival| arrival.arrived_at >= rollout.ordered_at && arrival.arrived_at <= term)
        .collect();
    let exposed = by_term
        .iter()
        .filter(|arrival| arrival.version == rollout.version && in_touch(observations, arrival, bounds))
        .count();
    ExposureByTerm { exposed, requests: by_term.len() }
}

/// Returns what was broken, in the order of the rules.
pub fn judge(observations: &Observations, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = Vec::new();
    for rollout in &observations.rollouts {
        if rollout.bad {
            violations.extend(excess_exposure(observations, rollout, bounds));
            violations.extend(late_exposure(observations, rollout, bounds));
        }
        violations.extend(missed_duty(rollout));
    }
    violations.extend(evacuated_zone(observations, bounds));
    violations.extend(
        observations.unacknowledged.iter().map(|order| Violation { rule: "Acks", what: order.clone() }),
    );
    violations
}

fn in_touch(observations: &Observations, arrival: &Arrival, bounds: &Bounds) -> bool {
    !observations.disturbances.iter().any(|disturbance| {
        let near =
            disturbance.at <= arrival.arrived_at && arrival.arrived_at < disturbance.at + bounds.contact;
        near && (disturbance.core || disturbance.host == arrival.edge)
    })
}

fn excess_exposure(
    observations: &Observations,
    rollout: &RolloutRecord,
    bounds: &Bounds,
) -> Option<Violation> {
    let ExposureByTerm { exposed, requests } = exposure_by_term(observations, rollout, bounds);
    let allowed = bounds.exposure_share * requests as f64 + bounds.exposure_slack;
    (exposed as f64 > allowed).then(|| Violation {
        rule: "EXPOSURE",
        what: format!(
            "{}: {exposed} of {requests} requests by the term, {allowed:.0} are allowed",
            rollout.service
        ),
    })
}

fn late_exposure(observations: &Observations, rollout: &RolloutRecord, bounds: &Bounds) -> Option<Violation> {
    let settled_from = observations.disturbances.iter().filter(|disturbance| disturbance.core);
    let settled_from = settled_from.map(|disturbance| disturbance.at + bounds.contact).max();
    let mut bad_answers: Vec<Duration> = observations
        .arrivals_of(rollout)
        .filter(|arrival| arrival.bad && settled_from.is_none_or(|from| arrival.answered_at >= from))
        .map(|arrival| arrival.answered_at)
        .collect();
    bad_answers.sort_unstable();
    let limit = *bad_answers.get(BAD_ANSWERS - 1)? + bounds.roll_back;
    let late = observations
        .arrivals_of(rollout)
        .filter(|arrival| arrival.sent_at > limit && in_touch(observations, arrival, bounds))
        .count();
    (late > 0).then(|| Violation {
        rule: "EXPOSURE",
        what: format!("{}: {late} requests sent later than {limit:.1?}", rollout.service),
    })
}

fn missed_duty(rollout: &RolloutRecord) -> Option<Violation> {
    let due = if rollout.bad { RolloutEnd::Reverted } else { RolloutEnd::Completed };
    let in_time = rollout.ended_at.is_some_and(|at| at <= rollout.ordered_at + rollout.period);
    (rollout.end != due || !in_time).then(|| Violation {
        rule: DUTY,
        what: format!(
            "{}: {:?} {:?} after the order, {due:?} is due within {:?}",
            rollout.service,
            rollout.end,
            rollout.ended_at.map(|at| at - rollout.ordered_at),
            rollout.period
        ),
    })
}

fn evacuated_zone(observations: &Observations, bounds: &Bounds) -> Option<Violation> {
    let mut late = observations.arrivals.iter().filter(|arrival| {
        in_touch(observations, arrival, bounds)
            && observations.evacuations.iter().any(|evacuation| {
                evacuation.zone == arrival.zone
                    && arrival.arrived_at > evacuation.acknowledged_at + bounds.evacuation
                    && evacuation.withdrawn_at.is_none_or(|at| arrival.arrived_at < at)
            })
    });
    let first = late.next()?;
    let what =
        format!("{} requests reached the evacuated zone {}, first {first:?}", 1 + late.count(), first.zone);
    Some(Violation { rule: "EVAC", what })
}
