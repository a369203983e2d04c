//! A version on trial, as this edge sees it: the coin within the cap, the covariate fixed before the send, the evidence
//! and the vote (design; the test is `verity`'s).

use crate::budget::Budget;
use crate::Time;
use milletwing_ledger::RollOut;
use milletwing_tenet::configuration::Class;
use milletwing_verity::{
    cap, clock, pace, Report, Sums, Vote, Watch, CLASSES, COIN, COVARIATE_SPAN, LAST, UNSCORED,
};
use std::collections::VecDeque;

/// The window in which exposure is counted, in milliseconds.
const WINDOW: Time = 10_000;
/// The earlier version's outcomes kept for the covariate.
const RECENT: usize = 1024;

/// Where a class of requests stands among the sums.
pub fn place(class: Class) -> usize {
    match class {
        Class::Idempotent => 0,
        Class::NonIdempotent => 1,
        Class::Downlink => 2,
    }
}

/// One trial.
#[derive(Debug)]
pub struct Trial {
    /// Its number.
    pub number: u64,
    /// Its stage.
    pub stage: u32,
    /// When this edge heard of the stage.
    since: Time,
    /// Milliseconds that a stage lasts at least.
    pace: Time,
    exposure: Budget,
    recent: [VecDeque<(Time, f64)>; CLASSES],
    sums: [[Sums; 2]; CLASSES],
    counts: [f64; CLASSES],
    watch: Watch,
    /// When the newest marshal of the new version registered.
    pub started: Time,
    /// The new version's part of what all marshals of the service work on at once.
    pub even: f64,
}

impl Trial {
    /// One that this edge hears of now.
    pub fn new(now: Time, roll: &RollOut) -> Trial {
        Trial {
            number: roll.number,
            stage: roll.stage,
            since: now,
            pace: pace(roll.period_ms),
            exposure: Budget::new(WINDOW),
            recent: Default::default(),
            sums: Default::default(),
            counts: [0.0; CLASSES],
            watch: Watch::new(0.0),
            started: now,
            even: 0.0,
        }
    }

    /// It has moved on.
    pub fn moved(&mut self, now: Time, stage: u32) {
        if stage != self.stage {
            (self.stage, self.since) = (stage, now);
            self.watch = Watch::new(self.sums.iter().map(|arms| arms[1].n).sum());
        }
    }

    /// A request of the service came.
    pub fn request(&mut self, now: Time, class: Class) {
        self.exposure.request(now);
        self.counts[place(class)] += 1.0;
    }

    /// Whether a request goes to the new version: the coin, within what this edge may expose. `draw`: from 0 to below 1.
    /// `share`, `slack`: the bounds of the rules, the slack this edge's own part. `heard`: the core was heard lately.
    pub fn heads(&mut self, now: Time, class: Class, draw: f64, share: f64, slack: f64, heard: bool) -> bool {
        if self.stage >= LAST {
            return true;
        }
        // Guards against exposing more and more on the word of a core that may have sent the version back since.
        if !heard || (self.stage == 0 && !class.repeatable()) {
            return false;
        }
        let cap = cap(self.stage, share);
        draw < (COIN * cap).min(self.even) && self.exposure.take(now, cap, slack)
    }

    /// The earlier version's mean score of a class over the second before now.
    pub fn covariate(&mut self, now: Time, class: Class) -> f64 {
        let lane = &mut self.recent[place(class)];
        while lane.front().is_some_and(|(at, _)| at + COVARIATE_SPAN < now) {
            lane.pop_front();
        }
        lane.iter().map(|(_, score)| score).sum::<f64>() / (lane.len() as f64).max(1.0)
    }

    /// An outcome: of the new version or the earlier one, from a marshal known for so long.
    pub fn outcome(&mut self, now: Time, class: Class, new: bool, bad: bool, covariate: f64, known: Time) {
        let score = f64::from(u8::from(bad));
        let class = place(class);
        if !new {
            let lane = &mut self.recent[class];
            lane.push_back((now, score));
            if lane.len() > RECENT {
                lane.pop_front();
            }
        }
        if !new || known >= UNSCORED {
            self.sums[class][usize::from(new)].add(score, covariate);
        }
    }

    /// What the core is told, with this edge's vote.
    pub fn report(&mut self, now: Time, service: &str) -> Report {
        let clock = clock(self.stage, self.since, self.started, self.pace);
        let vote: Option<Vote> = self.watch.judge(now, &self.sums, &self.counts, clock, self.pace);
        Report {
            service: service.into(),
            number: self.number,
            stage: self.stage,
            sums: self.sums,
            counts: self.counts,
            vote,
        }
    }
}
