//! A version on trial as seen by this edge: the random assignment of requests within the exposure
//! cap, the covariate fixed before each attempt, the evidence, and the edge's vote. The statistical
//! test is in `sequential-test`.

use crate::budget::Budget;
use crate::canary::Canaries;
use crate::route_traffic::{RouteTraffic, TrialRoutes};
use crate::table::{class_index, Route};
use crate::Time;
use hashbrown::HashMap;
use milletwing_config::configuration::TrafficClass;
use milletwing_replicated_state::RollOut;
use milletwing_sequential_test::{
    earliest_advance, min_stage_duration, stage_cap, ExposureBudget, HoldPolicy, StageTest, Sums,
    TrialReport, Vote, BURN_IN, CLASS_COUNT, COVARIATE_WINDOW, FILL, FINAL_STAGE,
};
use std::collections::VecDeque;

/// Window over which recent exposure is counted, in milliseconds.
const EXPOSURE_WINDOW: Time = 10_000;
/// Share of the exposure slack that one window may use before the final stage.
const WINDOW_SLACK_SHARE: f64 = 0.5;
/// Share of the exposure slack that the whole trial may use before the final stage.
const TOTAL_SLACK_SHARE: f64 = 0.8;
/// Number of outcomes of the earlier version that are kept for the covariate.
const MAX_RECENT_SCORES: usize = 1024;

/// An attempt that has not ended.
#[derive(Debug)]
pub struct PendingAttempt {
    /// Traffic class of its request.
    pub class: TrafficClass,
    /// Number of its route in this trial, unless there are too many routes.
    pub route: Option<usize>,
    /// It went to the version on trial.
    pub on_trial: bool,
    /// Covariate, fixed before the send.
    pub covariate: f64,
    /// Its marshal has been up long enough for the outcome to count as evidence.
    pub scored: bool,
    /// Time at which it counts as timed out, because the target latency is missed.
    pub due: Time,
    /// It has been counted as timed out.
    pub timed_out: bool,
}

impl PendingAttempt {
    /// Whether its outcome counts as evidence.
    fn is_evidence(&self) -> bool {
        !self.on_trial || self.scored
    }
}

/// State of one trial.
#[derive(Debug)]
pub struct Trial {
    /// Attempts that have not ended, by number.
    pending: HashMap<u64, PendingAttempt>,
    /// Number of the trial.
    pub number: u64,
    /// Current stage.
    pub stage: u32,
    /// When this edge learned of the trial.
    known_since: Time,
    /// When this edge learned of the stage.
    stage_since: Time,
    /// Outcomes of the new version when this edge learned of the stage.
    outcomes_before_stage: f64,
    /// Requests sent to the new version.
    exposed: f64,
    /// Evidence by route.
    routes: TrialRoutes,
    /// Minimum duration of a stage in milliseconds.
    min_stage_duration: Time,
    /// Exposure within the window, limited by the cap of the stage.
    recent_exposure: Budget,
    /// Exposure over the whole trial, limited by the exposure guarantee.
    total_exposure: ExposureBudget,
    /// Recent scores of the earlier version by class, with their times.
    recent_scores: [VecDeque<(Time, f64)>; CLASS_COUNT],
    /// Evidence by class: of the earlier version, of the new one.
    sums: [[Sums; 2]; CLASS_COUNT],
    request_counts: [f64; CLASS_COUNT],
    stage_test: StageTest,
    /// When the newest marshal of the new version was registered.
    pub newest_registered: Time,
    /// The new version's share of the service's capacity.
    pub capacity_share: f64,
    /// When the first marshal of the new version starts to give evidence.
    pub evidence_from: Time,
    /// The marshals that serve the new version before the final stage.
    pub canaries: Canaries,
}

impl Trial {
    /// Starts tracking a trial that this edge learns of now. `traffic` tells what led to the service before.
    pub fn new(now: Time, rollout: &RollOut, traffic: &RouteTraffic) -> Trial {
        Trial {
            pending: HashMap::new(),
            number: rollout.number,
            stage: rollout.stage,
            known_since: now,
            stage_since: now,
            outcomes_before_stage: 0.0,
            exposed: 0.0,
            routes: TrialRoutes::new(now, traffic),
            min_stage_duration: min_stage_duration(rollout.period_ms),
            recent_exposure: Budget::new(EXPOSURE_WINDOW),
            total_exposure: ExposureBudget::default(),
            recent_scores: Default::default(),
            sums: Default::default(),
            request_counts: [0.0; CLASS_COUNT],
            stage_test: StageTest::new(0.0),
            newest_registered: now,
            capacity_share: 0.0,
            evidence_from: now + BURN_IN,
            canaries: Canaries::default(),
        }
    }

    /// Sets the stage, if it has changed.
    pub fn set_stage(&mut self, now: Time, stage: u32) {
        if stage != self.stage {
            (self.stage, self.stage_since) = (stage, now);
            self.outcomes_before_stage = self.new_version_outcomes();
            self.stage_test = StageTest::new(self.outcomes_before_stage);
        }
    }

    /// The share of the service's requests that may go to the new version. `share` is the
    /// guaranteed limit.
    pub fn traffic_share(&self, share: f64) -> f64 {
        (FILL * stage_cap(self.stage, share)).min(self.capacity_share)
    }

    fn new_version_outcomes(&self) -> f64 {
        self.sums.iter().map(|arms| arms[1].n).sum()
    }

    /// Number of a route in this trial, unless there are too many.
    pub fn route_number(&mut self, route: &str, class: TrafficClass) -> Option<usize> {
        self.routes.number(route, class_index(class))
    }

    /// Counts a request of the service.
    pub fn record_request(&mut self, now: Time, class: TrafficClass, route: &str) {
        if let Some(number) = self.route_number(route, class) {
            self.routes.record_request(now, number);
        }
        self.recent_exposure.record_request(now);
        self.total_exposure.record_request();
        self.request_counts[class_index(class)] += 1.0;
    }

    /// Whether a request goes to the new version, decided by a random draw within what this edge
    /// may expose. `draw` is in [0, 1); a route with few requests is sampled more often. `share` and `slack` are the guaranteed limits, with `slack`
    /// already this edge's part. `in_contact` tells whether there was recent contact with the
    /// control plane.
    pub fn draw_trial_version(
        &mut self,
        now: Time,
        route: &Route,
        draw: f64,
        share: f64,
        slack: f64,
        in_contact: bool,
    ) -> bool {
        if self.stage >= FINAL_STAGE {
            return true;
        }
        // Marshals whose outcomes do not count as evidence yet get no requests.
        if now < self.evidence_from {
            return false;
        }
        // Without recent contact no more requests are exposed, since the control plane may have
        // rolled the version back meanwhile.
        if !in_contact || (self.stage == 0 && !route.class.is_retry_safe()) {
            return false;
        }
        let cap = stage_cap(self.stage, share);
        draw < self.traffic_share(share) * self.routes.sampling_factor(&route.name)
            && self.recent_exposure.try_take(now, cap, WINDOW_SLACK_SHARE * slack)
            && self.total_exposure.try_take(share, TOTAL_SLACK_SHARE * slack)
    }

    /// The earlier version's mean score in a class over the covariate window before `now`.
    pub fn covariate(&mut self, now: Time, class: TrafficClass) -> f64 {
        let scores = &mut self.recent_scores[class_index(class)];
        while scores.front().is_some_and(|(at, _)| at + COVARIATE_WINDOW < now) {
            scores.pop_front();
        }
        scores.iter().map(|(_, score)| score).sum::<f64>() / (scores.len() as f64).max(1.0)
    }

    /// Records that an attempt was sent.
    pub fn attempt_started(&mut self, number: u64, attempt: PendingAttempt) {
        self.exposed += f64::from(u8::from(attempt.on_trial));
        self.pending.insert(number, attempt);
    }

    /// Records a time-out, which scores 1: the attempt missed its target latency, or took longer
    /// than the hedge delay. Counting it now keeps a slow version from passing because its responses
    /// come after the decision, or never, when another attempt was faster.
    pub fn record_timeout(&mut self, now: Time, number: u64) {
        let Some(mut attempt) = self.pending.remove(&number) else { return };
        if !attempt.timed_out {
            attempt.timed_out = true;
            self.record_outcome(now, &attempt, true);
        }
        self.pending.insert(number, attempt);
    }

    /// Discards an attempt that ended at a marshal which has answered nothing since it was sent: a
    /// host without power or network says nothing about its version. Without this a good version
    /// would be rolled back because more of its marshals stood in a lost zone. A time-out that was
    /// counted before is removed.
    pub fn discard_attempt(&mut self, number: u64) {
        let Some(attempt) = self.pending.remove(&number).filter(|attempt| attempt.timed_out) else { return };
        if attempt.is_evidence() {
            let arm = usize::from(attempt.on_trial);
            self.sums[class_index(attempt.class)][arm].remove(1.0, attempt.covariate);
            self.routes.remove_failure(attempt.route, arm);
        }
    }

    /// Records the end of an attempt. `failed` is `None` if its end is no outcome.
    pub fn attempt_ended(&mut self, now: Time, number: u64, failed: Option<bool>) {
        let Some(attempt) = self.pending.remove(&number) else { return };
        let failed = failed.or((now >= attempt.due).then_some(true));
        if let (Some(failed), false) = (failed, attempt.timed_out) {
            self.record_outcome(now, &attempt, failed);
        }
    }

    fn record_outcome(&mut self, now: Time, attempt: &PendingAttempt, failed: bool) {
        let score = f64::from(u8::from(failed));
        let class = class_index(attempt.class);
        if !attempt.on_trial {
            let scores = &mut self.recent_scores[class];
            scores.push_back((now, score));
            if scores.len() > MAX_RECENT_SCORES {
                scores.pop_front();
            }
        }
        if attempt.is_evidence() {
            let arm = usize::from(attempt.on_trial);
            self.sums[class][arm].add(score, attempt.covariate);
            self.routes.record_outcome(attempt.route, arm, failed);
        }
    }

    /// Whether the outcomes of a marshal count as evidence, given the milliseconds since it was
    /// first seen.
    pub fn gives_evidence(on_trial: bool, known_for: Time) -> bool {
        !on_trial || known_for >= BURN_IN
    }

    /// The report to the control plane, with this edge's vote.
    pub fn report(&mut self, now: Time, service: &str) -> TrialReport {
        let overdue: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, attempt)| !attempt.timed_out && now >= attempt.due)
            .map(|(number, _)| *number)
            .collect();
        overdue.into_iter().for_each(|number| self.record_timeout(now, number));
        let earliest =
            earliest_advance(self.stage, self.stage_since, self.newest_registered, self.min_stage_duration);
        // One edge has little evidence: its doubt holds a stage for one more minimum duration, the
        // pooled evidence for longer.
        let hold = HoldPolicy { until: earliest + self.min_stage_duration, after: 0.0 };
        let vote: Option<Vote> =
            self.stage_test.evaluate(now, &self.sums, &self.request_counts, earliest, hold);
        TrialReport {
            service: service.into(),
            number: self.number,
            stage: self.stage,
            sums: self.sums,
            request_counts: self.request_counts,
            vote,
            trial_age: now.saturating_sub(self.known_since),
            stage_age: now.saturating_sub(self.stage_since),
            stage_outcomes: self.new_version_outcomes() - self.outcomes_before_stage,
            exposed: self.exposed,
            routes: self.routes.evidence(),
        }
    }
}
