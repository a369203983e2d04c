//! What one proxy makes of its own evidence on a version on trial.

use crate::{adjusted_test, Sums, Time, ALPHA, CLASS_COUNT, HOLD_P, LOOKS, MIN_EFFECT, MIN_N};
use serde::{Deserialize, Serialize};

/// A proxy's word on a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// The stage may move on.
    Advance,
    /// Not yet: it looks doubtful.
    Hold,
    /// The version harms.
    RollBack,
}

/// What a proxy tells the core of a trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// The service.
    pub service: String,
    /// The trial's number.
    pub number: u64,
    /// The stage that it is at here.
    pub stage: u32,
    /// Evidence since the trial began, by class: of the earlier version, of the new one.
    pub sums: [[Sums; 2]; CLASS_COUNT],
    /// Requests taken since then, by class.
    pub request_counts: [f64; CLASS_COUNT],
    /// Its vote on this stage.
    pub vote: Option<Vote>,
}

/// For how long a stage is held that looks doubtful.
#[derive(Clone, Copy, Debug)]
pub struct HoldPolicy {
    /// Below [`HOLD_P`] until then.
    pub until: Time,
    /// And below this p for good.
    pub after: f64,
}

/// Evidence, looks and the vote of one stage.
#[derive(Clone, Debug, Default)]
pub struct StageTest {
    looks: u32,
    /// Outcomes of the new version at the next look.
    next: f64,
    vote: Option<Vote>,
}

impl StageTest {
    /// Of a stage that begins with so many outcomes of the new version.
    pub fn new(outcomes: f64) -> StageTest {
        StageTest { next: outcomes + MIN_N, ..StageTest::default() }
    }

    /// Judges. `clock`: when the stage may move on without a look.
    /// A vote back stays.
    pub fn evaluate(
        &mut self,
        now: Time,
        sums: &[[Sums; 2]; CLASS_COUNT],
        counts: &[f64; CLASS_COUNT],
        clock: Time,
        hold: HoldPolicy,
    ) -> Option<Vote> {
        if self.vote == Some(Vote::RollBack) {
            return self.vote;
        }
        let outcomes: f64 = sums.iter().map(|arms| arms[1].n).sum();
        let (delta, _, _, p) = adjusted_test(sums, counts);
        if self.looks < LOOKS && outcomes >= self.next {
            self.looks += 1;
            // Later looks rest on more: on as many again each time.
            self.next = outcomes + MIN_N * f64::from(self.looks);
            if p < ALPHA / f64::from(LOOKS) && delta > MIN_EFFECT {
                self.vote = Some(Vote::RollBack);
            } else if p >= HOLD_P || delta <= MIN_EFFECT {
                self.vote = Some(Vote::Advance);
            }
        }
        // By all that is known now: what has passed a look may look doubtful since.
        if now >= clock && self.vote != Some(Vote::RollBack) {
            let level = if now < hold.until { HOLD_P } else { hold.after };
            let doubtful = p < level && delta > MIN_EFFECT;
            self.vote = Some(if doubtful { Vote::Hold } else { Vote::Advance });
        }
        self.vote
    }
}
