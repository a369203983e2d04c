//! A version on trial, as this edge sees it: the coin within the cap, the covariate fixed before the send, the evidence
//! and the vote (design; the test is `sequential-test`'s).

use crate::budget::Budget;
use crate::canary::Canaries;
use crate::Time;
use hashbrown::HashMap;
use milletwing_config::configuration::TrafficClass;
use milletwing_replicated_state::RollOut;
use milletwing_sequential_test::{
    earliest_advance, min_stage_duration, stage_cap, ExposureBudget, HoldPolicy, StageTest, Sums,
    TrialReport, Vote, BURN_IN, CLASS_COUNT, COVARIATE_WINDOW, FILL, FINAL_STAGE,
};
use std::collections::VecDeque;

/// The window in which exposure is counted, in milliseconds.
const WINDOW: Time = 10_000;
/// Parts of the slack of the rules that a window and a whole trial may use before the last stage.
const LATELY_SLACK: f64 = 0.5;
const TRIAL_SLACK: f64 = 0.8;
/// The earlier version's outcomes kept for the covariate.
const RECENT: usize = 1024;

/// Where a class of requests stands among the sums.
pub fn place(class: TrafficClass) -> usize {
    match class {
        TrafficClass::Idempotent => 0,
        TrafficClass::NonIdempotent => 1,
        TrafficClass::Downlink => 2,
    }
}

/// A sending that is out.
#[derive(Debug)]
pub struct Out {
    /// What may be done with its request.
    pub class: TrafficClass,
    /// To the new version.
    pub new: bool,
    /// Fixed before the send.
    pub covariate: f64,
    /// Its marshal gives evidence already.
    pub scored: bool,
    /// When it counts as timed out: the aim is missed.
    pub until: Time,
    /// It has been counted as timed out.
    pub late: bool,
}

/// One trial.
#[derive(Debug)]
pub struct Trial {
    /// Sendings that are out, by number.
    out: HashMap<u64, Out>,
    /// Its number.
    pub number: u64,
    /// Its stage.
    pub stage: u32,
    /// When this edge heard of the stage.
    since: Time,
    /// Milliseconds that a stage lasts at least.
    pace: Time,
    /// Over a window, within the cap of the stage; and over the whole trial, within the bound of the rules.
    lately: Budget,
    exposure: ExposureBudget,
    recent: [VecDeque<(Time, f64)>; CLASS_COUNT],
    sums: [[Sums; 2]; CLASS_COUNT],
    counts: [f64; CLASS_COUNT],
    watch: StageTest,
    /// When the newest marshal of the new version registered.
    pub started: Time,
    /// The new version's part of what all marshals of the service work on at once.
    pub even: f64,
    /// When the first marshal of the new version gives evidence.
    pub evidence_from: Time,
    /// The marshals that bear it before its last stage.
    pub canaries: Canaries,
}

impl Trial {
    /// One that this edge hears of now.
    pub fn new(now: Time, roll: &RollOut) -> Trial {
        Trial {
            out: HashMap::new(),
            number: roll.number,
            stage: roll.stage,
            since: now,
            pace: min_stage_duration(roll.period_ms),
            lately: Budget::new(WINDOW),
            exposure: ExposureBudget::default(),
            recent: Default::default(),
            sums: Default::default(),
            counts: [0.0; CLASS_COUNT],
            watch: StageTest::new(0.0),
            started: now,
            even: 0.0,
            evidence_from: now + BURN_IN,
            canaries: Canaries::default(),
        }
    }

    /// It has moved on.
    pub fn moved(&mut self, now: Time, stage: u32) {
        if stage != self.stage {
            (self.stage, self.since) = (stage, now);
            self.watch = StageTest::new(self.sums.iter().map(|arms| arms[1].n).sum());
        }
    }

    /// Of the service's requests, those that may go to the new version. `share`: the bound of the rules.
    pub fn part(&self, share: f64) -> f64 {
        (FILL * stage_cap(self.stage, share)).min(self.even)
    }

    /// A request of the service came.
    pub fn request(&mut self, now: Time, class: TrafficClass) {
        self.lately.request(now);
        self.exposure.record_request();
        self.counts[place(class)] += 1.0;
    }

    /// Whether a request goes to the new version: the coin, within what this edge may expose. `draw`: from 0 to below 1.
    /// `share`, `slack`: the bounds of the rules, the slack this edge's own part. `heard`: the core was heard lately.
    pub fn heads(
        &mut self,
        now: Time,
        class: TrafficClass,
        draw: f64,
        share: f64,
        slack: f64,
        heard: bool,
    ) -> bool {
        if self.stage >= FINAL_STAGE {
            return true;
        }
        // Guards against showing requests to marshals whose answers are no evidence yet.
        if now < self.evidence_from {
            return false;
        }
        // Guards against exposing more and more on the word of a core that may have sent the version back since.
        if !heard || (self.stage == 0 && !class.is_retry_safe()) {
            return false;
        }
        let cap = stage_cap(self.stage, share);
        draw < self.part(share)
            && self.lately.take(now, cap, LATELY_SLACK * slack)
            && self.exposure.try_take(share, TRIAL_SLACK * slack)
    }

    /// The earlier version's mean score of a class over the second before now.
    pub fn covariate(&mut self, now: Time, class: TrafficClass) -> f64 {
        let lane = &mut self.recent[place(class)];
        while lane.front().is_some_and(|(at, _)| at + COVARIATE_WINDOW < now) {
            lane.pop_front();
        }
        lane.iter().map(|(_, score)| score).sum::<f64>() / (lane.len() as f64).max(1.0)
    }

    /// A sending goes out.
    pub fn sent(&mut self, number: u64, out: Out) {
        self.out.insert(number, out);
    }

    /// A sending has waited longer than this edge waits for one, or is beyond its aim: a time-out, which scores 1 now. Guards
    /// against a slow version whose slow answers come when all has been decided, or never, since another was faster.
    pub fn timed_out(&mut self, now: Time, number: u64) {
        if let Some(out) = self.out.get_mut(&number).filter(|out| !out.late) {
            out.late = true;
            let (class, new, covariate, scored) = (out.class, out.new, out.covariate, out.scored);
            self.outcome(now, class, new, true, covariate, scored);
        }
    }

    /// A sending ended at a marshal that has answered nothing since it went out: a host without power, or cut off, says nothing
    /// of its version. Guards against sending a good version back because it has more of its marshals in a zone that was
    /// lost; if it counted as timed out before that showed, it doesn't any more.
    pub fn void(&mut self, number: u64) {
        let Some(out) = self.out.remove(&number).filter(|out| out.late) else { return };
        if !out.new || out.scored {
            self.sums[place(out.class)][usize::from(out.new)].remove(1.0, out.covariate);
        }
    }

    /// A sending ended; `bad`: nothing where its end is no outcome.
    pub fn ended(&mut self, now: Time, number: u64, bad: Option<bool>) {
        let Some(out) = self.out.remove(&number) else { return };
        let bad = bad.or((now >= out.until).then_some(true));
        if let (Some(bad), false) = (bad, out.late) {
            self.outcome(now, out.class, out.new, bad, out.covariate, out.scored);
        }
    }

    fn outcome(
        &mut self,
        now: Time,
        class: TrafficClass,
        new: bool,
        bad: bool,
        covariate: f64,
        scored: bool,
    ) {
        let score = f64::from(u8::from(bad));
        let class = place(class);
        if !new {
            let lane = &mut self.recent[class];
            lane.push_back((now, score));
            if lane.len() > RECENT {
                lane.pop_front();
            }
        }
        if !new || scored {
            self.sums[class][usize::from(new)].add(score, covariate);
        }
    }

    /// Whether a marshal known for so long gives evidence.
    pub fn gives(new: bool, known: Time) -> bool {
        !new || known >= BURN_IN
    }

    /// What the core is told, with this edge's vote.
    pub fn report(&mut self, now: Time, service: &str) -> TrialReport {
        let due: Vec<u64> = self
            .out
            .iter()
            .filter(|(_, out)| !out.late && now >= out.until)
            .map(|(number, _)| *number)
            .collect();
        due.into_iter().for_each(|number| self.timed_out(now, number));
        let clock = earliest_advance(self.stage, self.since, self.started, self.pace);
        // One proxy's evidence is thin: its doubt holds a stage once, the core's for longer.
        let hold = HoldPolicy { until: clock + self.pace, after: 0.0 };
        let vote: Option<Vote> = self.watch.evaluate(now, &self.sums, &self.counts, clock, hold);
        TrialReport {
            service: service.into(),
            number: self.number,
            stage: self.stage,
            sums: self.sums,
            request_counts: self.counts,
            vote,
        }
    }
}
