//! What the core makes of all proxies' votes, and of their sums added up: a proxy of a large fleet sees a few outcomes a
//! second, so that its own looks alone would find a bad version late.

use crate::{
    earliest_advance, HoldPolicy, StageTest, Sums, Time, TrialReport, Vote, CLASS_COUNT, FINAL_HOLD_P,
};
use serde::Serialize;
use std::collections::BTreeMap;

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDecision {
    /// The next stage; after the last one, the end.
    Advance,
    /// Back to the earlier version.
    RollBack,
}

/// A trial's evidence, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct TrialSummary {
    /// Adjusted surplus of the new version's score.
    pub delta: f64,
    /// One-sided p.
    pub p: f64,
    /// By class, for the earlier version and the new one: outcomes, and bad ones among them.
    pub classes: Vec<[(f64, f64); 2]>,
    /// Votes on this stage.
    pub on: usize,
    /// Doubtful ones.
    pub hold: usize,
    /// Votes back.
    pub back: usize,
    /// Proxies without a vote yet.
    pub silent: usize,
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
        write!(f, ", votes on {} hold {} back {} none {}", self.on, self.hold, self.back, self.silent)
    }
}

/// Part of the proxies that vote back which is enough, two at least: one errs at a level of 0.01 a stage.
const BACK: f64 = 0.2;
/// Part of the proxies that vote on which is enough.
const ON: f64 = 0.5;
/// A report older than this speaks for nobody.
const FRESH: Time = 3_000;

/// The votes on one trial.
#[derive(Debug)]
pub struct TrialTally {
    stage: u32,
    /// Since when it is at this stage, as far as this leader knows.
    since: Time,
    reports: BTreeMap<(u32, u64), (Time, TrialReport)>,
    pooled: StageTest,
}

impl TrialTally {
    /// Of a trial that is at a stage.
    pub fn new(now: Time, stage: u32) -> TrialTally {
        TrialTally { stage, since: now, reports: BTreeMap::new(), pooled: StageTest::new(0.0) }
    }

    /// A proxy's report; a later one of the same life takes the place of the earlier, so that none counts twice.
    pub fn record_report(&mut self, now: Time, proxy: u32, life: u64, report: TrialReport) {
        if self.reports.len() < 1024 || self.reports.contains_key(&(proxy, life)) {
            self.reports.insert((proxy, life), (now, report));
        }
    }

    /// The trial has moved on.
    pub fn set_stage(&mut self, now: Time, stage: u32) {
        if stage != self.stage {
            (self.stage, self.since) = (stage, now);
            self.pooled = StageTest::new(self.pool().0.iter().map(|arms| arms[1].n).sum());
        }
    }

    /// Evidence of all proxies: sums and requests by class.
    pub fn pool(&self) -> ([[Sums; 2]; CLASS_COUNT], [f64; CLASS_COUNT]) {
        let mut sums = [[Sums::default(); 2]; CLASS_COUNT];
        let mut counts = [0.0; CLASS_COUNT];
        for (_, report) in self.reports.values() {
            for (all, told) in sums.iter_mut().zip(&report.sums) {
                for (arm, more) in all.iter_mut().zip(told) {
                    *arm = arm.plus(more);
                }
            }
            for (all, told) in counts.iter_mut().zip(&report.request_counts) {
                *all += told;
            }
        }
        (sums, counts)
    }

    /// The evidence in words: by class what each version has, p, and who votes what on the stage.
    pub fn summary(&self) -> TrialSummary {
        let (sums, counts) = self.pool();
        let (delta, _, _, p) = crate::adjusted_test(&sums, &counts);
        let votes =
            |vote| self.reports.values().filter(|(_, it)| it.stage == self.stage && it.vote == vote).count();
        TrialSummary {
            delta,
            p,
            classes: sums.iter().map(|arms| [(arms[0].n, arms[0].y), (arms[1].n, arms[1].y)]).collect(),
            on: votes(Some(Vote::Advance)),
            hold: votes(Some(Vote::Hold)),
            back: votes(Some(Vote::RollBack)),
            silent: votes(None),
        }
    }

    /// What follows now, if anything. `started`: when the newest marshal of the new version registered; `pace`: how long a
    /// stage lasts at least; `latest`: when it has to move on for those that follow to have their time. What looks doubtful does not
    /// move on before that, nor then if there is much doubt: more requests would be shown to it.
    pub fn decide(&mut self, now: Time, started: Time, pace: Time, latest: Time) -> Option<TrialDecision> {
        let fresh =
            || self.reports.values().filter(|(at, _)| now.saturating_sub(*at) <= FRESH).map(|(_, it)| it);
        let here = || fresh().filter(|report| report.stage == self.stage);
        let back = fresh().filter(|report| report.vote == Some(Vote::RollBack)).count() as f64;
        let all = fresh().count() as f64;
        if back >= (BACK * all).max(2.0) {
            return Some(TrialDecision::RollBack);
        }
        let (sums, counts) = self.pool();
        let clock = earliest_advance(self.stage, self.since, started, pace);
        let pooled = self.pooled.evaluate(
            now,
            &sums,
            &counts,
            clock,
            HoldPolicy { until: latest, after: FINAL_HOLD_P },
        );
        if pooled == Some(Vote::RollBack) {
            return Some(TrialDecision::RollBack);
        }
        let on = here().filter(|report| report.vote == Some(Vote::Advance)).count() as f64;
        let enough = all > 0.0 && on >= ON * all;
        (now >= clock && pooled == Some(Vote::Advance) && enough).then_some(TrialDecision::Advance)
    }
}
