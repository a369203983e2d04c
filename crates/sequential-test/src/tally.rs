//! Combines the votes and the evidence of all proxies. A proxy of a large fleet sees only a few
//! outcomes per second, so its own looks alone would detect a bad version late.

use crate::{
    earliest_advance, last_advance, latest_advance, Coverage, ExposureForecast, HoldPolicy, StageTest, Sums,
    Time, TrialReport, Vote, CLASS_COUNT, FINAL_HOLD_P, FINAL_STAGE, NOT_RETRY_SAFE_CLASS,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Decision on a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDecision {
    /// Advance to the next stage; in the final stage, complete the roll-out.
    Advance,
    /// Roll back to the earlier version.
    RollBack,
}

/// Times and limits of a trial, as the control plane knows them.
#[derive(Clone, Debug, Default)]
pub struct TrialSchedule {
    /// When the newest marshal of the new version was registered.
    pub newest_registered: Time,
    /// When the configuration last led more of a route's requests to the service.
    pub routes_added: Time,
    /// Routes of which the configuration leads most requests elsewhere that came here before.
    pub led_away: BTreeSet<String>,
    /// Minimum duration of a stage.
    pub min_duration: Time,
    /// When a version that has not been accepted is reverted.
    pub end: Time,
    /// When the operator's period is over.
    pub term: Time,
    /// The share of all requests that a bad version may get by the term, and the slack beyond it.
    pub exposure: (f64, f64),
}

/// Evidence of a trial, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct TrialSummary {
    /// Adjusted difference between the new version's score and the earlier one's.
    pub delta: f64,
    /// One-sided p-value.
    pub p: f64,
    /// By class, for the earlier version and the new one: outcomes, and bad ones among them.
    pub classes: Vec<[(f64, f64); 2]>,
    /// Votes to advance on this stage.
    pub on: usize,
    /// Votes to hold.
    pub hold: usize,
    /// Votes to roll back.
    pub back: usize,
    /// Proxies without a vote yet.
    pub silent: usize,
    /// Why the stage does not advance although its time has come; empty if it does.
    pub waits_for: Vec<String>,
}

impl std::fmt::Display for TrialSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let sum = |arm: usize| {
            self.classes.iter().fold((0.0, 0.0), |sum, arms| (sum.0 + arms[arm].0, sum.1 + arms[arm].1))
        };
        let ((old, old_bad), (new, new_bad)) = (sum(0), sum(1));
        write!(
            f,
            "{new_bad} of {new} bad, before {old_bad} of {old}, delta {:.3}, p {:.4}",
            self.delta, self.p
        )?;
        write!(f, ", votes on {} hold {} back {} none {}", self.on, self.hold, self.back, self.silent)?;
        if !self.waits_for.is_empty() {
            write!(f, ", waits for {}", self.waits_for.join(", "))?;
        }
        Ok(())
    }
}

/// Fraction of the proxies whose votes suffice for a roll-back, but at least two votes: a single
/// proxy errs at a level of 0.01 per stage.
const ROLL_BACK_SHARE: f64 = 0.2;
/// Fraction of the proxies that must vote to advance.
const ADVANCE_SHARE: f64 = 0.5;
/// Outcomes of the new version within a stage without which it does not advance; except the first stage, in
/// which a service without retry-safe requests has none.
const MIN_STAGE_OUTCOMES: f64 = 1.0;
/// Outcomes of the new version on each significant route, and for each significant class, without which an
/// early stage does not advance.
const MIN_EARLY_OUTCOMES: f64 = 1.0;
/// The same for the last stage to begin, and for the roll-out to complete: of a version of which half of the
/// answers fail, so many succeed with a probability of 0.004.
const MIN_OUTCOMES: f64 = 8.0;
/// Share of the service's expected requests that must lead there while the version is judged under load.
const MIN_LOAD_SHARE: f64 = 0.5;
/// Votes in reports older than this do not count, in milliseconds.
const REPORT_VALIDITY: Time = 3_000;

/// Reports of all proxies on one trial.
#[derive(Debug)]
pub struct TrialTally {
    stage: u32,
    /// When the current stage began, as far as this leader knows.
    stage_since: Time,
    /// Latest report of each proxy instance, with the time at which it arrived.
    reports: BTreeMap<(u32, u64), (Time, TrialReport)>,
    /// Looks at the evidence of all proxies together.
    pooled_test: StageTest,
    /// When the trial began, as far as is known from the proxies; before zero if this replica's clock was started
    /// later.
    started: i64,
    /// Why the stage does not advance although its time has come.
    waits_for: Vec<String>,
}

impl TrialTally {
    /// Starts the tally of a trial at a stage.
    pub fn new(now: Time, stage: u32) -> TrialTally {
        TrialTally {
            stage,
            stage_since: now,
            reports: BTreeMap::new(),
            pooled_test: StageTest::new(0.0),
            started: signed(now),
            waits_for: Vec::new(),
        }
    }

    /// Milliseconds since the trial began: the proxies may know of it for longer than this replica runs.
    pub fn age(&self, now: Time) -> Time {
        u64::try_from(signed(now) - self.started).unwrap_or(0)
    }

    /// The time that lies so many milliseconds behind the start of the trial; zero if that was before this
    /// replica's clock was started.
    pub fn after_start(&self, milliseconds: Time) -> Time {
        u64::try_from(self.started.saturating_add(signed(milliseconds))).unwrap_or(0)
    }

    /// Stores a proxy's report. A later report of the same proxy instance replaces the earlier one,
    /// so that no outcome counts twice.
    pub fn record_report(&mut self, now: Time, proxy: u32, instance: u64, report: TrialReport) {
        self.started = self.started.min(signed(now) - signed(report.trial_age));
        if report.stage == self.stage {
            self.stage_since = self.stage_since.min(now.saturating_sub(report.stage_age));
        }
        if self.reports.len() < 1024 || self.reports.contains_key(&(proxy, instance)) {
            self.reports.insert((proxy, instance), (now, report));
        }
    }

    /// Sets the stage, if it has changed.
    pub fn set_stage(&mut self, now: Time, stage: u32) {
        if stage != self.stage {
            (self.stage, self.stage_since) = (stage, now);
            let (sums, _) = self.pooled_evidence();
            self.pooled_test = StageTest::new(sums.iter().map(|arms| arms[1].n).sum());
        }
    }

    /// Evidence of all proxies: sums and requests by class.
    pub fn pooled_evidence(&self) -> ([[Sums; 2]; CLASS_COUNT], [f64; CLASS_COUNT]) {
        let mut sums = [[Sums::default(); 2]; CLASS_COUNT];
        let mut request_counts = [0.0; CLASS_COUNT];
        for (_, report) in self.reports.values() {
            for (total, reported) in sums.iter_mut().zip(&report.sums) {
                for (arm, addition) in total.iter_mut().zip(reported) {
                    *arm = arm.plus(addition);
                }
            }
            for (total, reported) in request_counts.iter_mut().zip(&report.request_counts) {
                *total += reported;
            }
        }
        (sums, request_counts)
    }

    /// The evidence, the p-value and the votes on the current stage.
    pub fn summary(&self) -> TrialSummary {
        let (sums, request_counts) = self.pooled_evidence();
        let (delta, _, _, p) = crate::adjusted_test(&sums, &request_counts);
        let votes = |vote| {
            self.reports
                .values()
                .filter(|(_, report)| report.stage == self.stage && report.vote == vote)
                .count()
        };
        TrialSummary {
            delta,
            p,
            classes: sums.iter().map(|arms| [(arms[0].n, arms[0].y), (arms[1].n, arms[1].y)]).collect(),
            on: votes(Some(Vote::Advance)),
            hold: votes(Some(Vote::Hold)),
            back: votes(Some(Vote::RollBack)),
            silent: votes(None),
            waits_for: self.waits_for.clone(),
        }
    }

    /// The decision that follows now, if any. A doubtful stage does not advance before the latest time to do so,
    /// and with much doubt not even then, because that would expose more requests. Nor does a stage whose
    /// version was not tried with all that leads to the service: that nothing was seen is no evidence that it
    /// is good. A stage that can't be followed by the others before the trial's end is rolled back.
    pub fn decide(&mut self, now: Time, schedule: &TrialSchedule) -> Option<TrialDecision> {
        let min_duration = schedule.min_duration;
        let fresh = || {
            self.reports
                .values()
                .filter(|(at, _)| now.saturating_sub(*at) <= REPORT_VALIDITY)
                .map(|(_, report)| report)
        };
        let on_this_stage = || fresh().filter(|report| report.stage == self.stage);
        let roll_backs = fresh().filter(|report| report.vote == Some(Vote::RollBack)).count() as f64;
        let reporting = fresh().count() as f64;
        if roll_backs >= (ROLL_BACK_SHARE * reporting).max(2.0) {
            return Some(TrialDecision::RollBack);
        }
        let (sums, request_counts) = self.pooled_evidence();
        let earliest =
            earliest_advance(self.stage, self.stage_since, schedule.newest_registered, min_duration)
                .max(schedule.routes_added + min_duration);
        let pooled_vote = self.pooled_test.evaluate(
            now,
            &sums,
            &request_counts,
            earliest,
            HoldPolicy { until: latest_advance(self.stage, schedule.end, min_duration), after: FINAL_HOLD_P },
        );
        if pooled_vote == Some(Vote::RollBack) {
            return Some(TrialDecision::RollBack);
        }
        let advances = on_this_stage().filter(|report| report.vote == Some(Vote::Advance)).count() as f64;
        let enough = reporting > 0.0 && advances >= ADVANCE_SHARE * reporting;
        if now >= earliest && pooled_vote == Some(Vote::Advance) && enough {
            self.waits_for = self.missing_evidence(now, schedule);
            if self.waits_for.is_empty() {
                return Some(TrialDecision::Advance);
            }
        }
        let too_late = now >= last_advance(self.stage, schedule.end, min_duration);
        too_late.then_some(TrialDecision::RollBack)
    }

    /// What the evidence lacks for the stage to advance.
    fn missing_evidence(&self, now: Time, schedule: &TrialSchedule) -> Vec<String> {
        let coverage = Coverage::of(self.reports.values().map(|(_, report)| report));
        let harmless =
            self.forecast(now, schedule, &coverage).is_within(schedule.exposure.0, schedule.exposure.1);
        let is_late = self.stage + 1 >= FINAL_STAGE;
        let is_first = self.stage == 0;
        let class_is_tried = |class| !is_first || class != NOT_RETRY_SAFE_CLASS;
        let outcomes = if is_late && !harmless { MIN_OUTCOMES } else { MIN_EARLY_OUTCOMES };
        let mut missing = coverage.failing();
        if !(is_first && harmless) {
            missing.extend(coverage.untried(outcomes, class_is_tried));
        }
        if !is_first && self.stage_outcomes() < MIN_STAGE_OUTCOMES {
            missing.push("outcomes".into());
        }
        let led_here = coverage.rate() - coverage.rate_of(schedule.led_away.iter());
        if is_late && !harmless && led_here < MIN_LOAD_SHARE * coverage.rate() {
            missing.push("load".into());
        }
        missing
    }

    fn forecast(&self, now: Time, schedule: &TrialSchedule, coverage: &Coverage) -> ExposureForecast {
        let reports = || self.reports.values().map(|(_, report)| report);
        ExposureForecast {
            requests: reports().flat_map(|report| report.request_counts).sum(),
            exposed: reports().map(|report| report.exposed).sum(),
            rate: coverage.rate(),
            remaining: schedule.term.saturating_sub(now),
        }
    }

    /// Outcomes of the new version since the current stage began.
    fn stage_outcomes(&self) -> f64 {
        let reports = self.reports.values().map(|(_, report)| report);
        reports.filter(|report| report.stage == self.stage).map(|report| report.stage_outcomes).sum()
    }
}

fn signed(time: Time) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}
