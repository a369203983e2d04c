//! The vote of one proxy on a version on trial, made from its own evidence.

use crate::{adjusted_test, RouteEvidence, Sums, Time, ALPHA, CLASS_COUNT, HOLD_P, LOOKS, MIN_EFFECT, MIN_N};
use serde::{Deserialize, Serialize};

/// Vote of a proxy on a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// The stage may advance.
    Advance,
    /// Wait: the version looks doubtful.
    Hold,
    /// The version does harm and must be rolled back.
    RollBack,
}

/// Report of a proxy to the control plane on one trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Name of the service.
    pub service: String,
    /// Number of the trial.
    pub number: u64,
    /// Stage of the trial on this proxy.
    pub stage: u32,
    /// Evidence since the trial began, by class: of the earlier version, of the new one.
    pub sums: [[Sums; 2]; CLASS_COUNT],
    /// Requests since the trial began, by class.
    pub request_counts: [f64; CLASS_COUNT],
    /// Vote on this stage.
    pub vote: Option<Vote>,
    /// Milliseconds since this proxy learned of the trial.
    pub trial_age: Time,
    /// Milliseconds since it learned of the stage.
    pub stage_age: Time,
    /// Outcomes of the new version since this proxy learned of the stage.
    pub stage_outcomes: f64,
    /// Requests sent to the new version since the trial began.
    pub exposed: f64,
    /// Evidence by route.
    pub routes: Vec<RouteEvidence>,
}

/// How long a doubtful stage is held.
#[derive(Clone, Copy, Debug)]
pub struct HoldPolicy {
    /// Until this time the stage is held below [`HOLD_P`].
    pub until: Time,
    /// After that time it is held below this p-value.
    pub after: f64,
}

/// Looks and vote of one stage.
#[derive(Clone, Debug, Default)]
pub struct StageTest {
    looks: u32,
    /// Number of outcomes of the new version at which the next look is due.
    next_look: f64,
    vote: Option<Vote>,
}

impl StageTest {
    /// Starts the test of a stage at which the new version already has `outcomes` outcomes.
    pub fn new(outcomes: f64) -> StageTest {
        StageTest { next_look: outcomes + MIN_N, ..StageTest::default() }
    }

    /// Evaluates the evidence and returns the vote. `earliest` is the time at which the stage may
    /// advance without a look. A vote to roll back is final.
    pub fn evaluate(
        &mut self,
        now: Time,
        sums: &[[Sums; 2]; CLASS_COUNT],
        request_counts: &[f64; CLASS_COUNT],
        earliest: Time,
        hold: HoldPolicy,
    ) -> Option<Vote> {
        if self.vote == Some(Vote::RollBack) {
            return self.vote;
        }
        let outcomes: f64 = sums.iter().map(|arms| arms[1].n).sum();
        let (delta, _, _, p) = adjusted_test(sums, request_counts);
        if self.looks < LOOKS && outcomes >= self.next_look {
            self.looks += 1;
            // Each later look rests on about twice as many outcomes as the one before.
            self.next_look = outcomes + MIN_N * f64::from(self.looks);
            if p < ALPHA / f64::from(LOOKS) && delta > MIN_EFFECT {
                self.vote = Some(Vote::RollBack);
            } else if p >= HOLD_P || delta <= MIN_EFFECT {
                self.vote = Some(Vote::Advance);
            }
        }
        // Uses all current evidence: a stage that has passed a look may have become doubtful since.
        if now >= earliest && self.vote != Some(Vote::RollBack) {
            let hold_p = if now < hold.until { HOLD_P } else { hold.after };
            let doubtful = p < hold_p && delta > MIN_EFFECT;
            self.vote = Some(if doubtful { Vote::Hold } else { Vote::Advance });
        }
        self.vote
    }
}
