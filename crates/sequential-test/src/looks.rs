//! What one proxy makes of its own evidence on a version on trial.

use crate::{adjusted_test, Sums, Time, CLASSES, HOLD_P, LEAST, LEAST_HARM, LEVEL, LOOKS};
use serde::{Deserialize, Serialize};

/// A proxy's word on a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// The stage may move on.
    On,
    /// Not yet: it looks doubtful.
    Hold,
    /// The version harms.
    Back,
}

/// What a proxy tells the core of a trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// The trial's number.
    pub number: u64,
    /// The stage that it is at here.
    pub stage: u32,
    /// Evidence since the trial began, by class: of the earlier version, of the new one.
    pub sums: [[Sums; 2]; CLASSES],
    /// Requests taken since then, by class.
    pub counts: [f64; CLASSES],
    /// Its vote on this stage.
    pub vote: Option<Vote>,
}

/// For how long a stage is held that looks doubtful.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// Below [`HOLD_P`] until then.
    pub until: Time,
    /// And below this p for good.
    pub after: f64,
}

/// Evidence, looks and the vote of one stage.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    looks: u32,
    /// Outcomes of the new version at the next look.
    next: f64,
    vote: Option<Vote>,
}

impl Watch {
    /// Of a stage that begins with so many outcomes of the new version.
    pub fn new(outcomes: f64) -> Watch {
        Watch { next: outcomes + LEAST, ..Watch::default() }
    }

    /// Judges. `clock`: when the stage may move on without a look.
    /// A vote back stays.
    pub fn judge(
        &mut self,
        now: Time,
        sums: &[[Sums; 2]; CLASSES],
        counts: &[f64; CLASSES],
        clock: Time,
        hold: Hold,
    ) -> Option<Vote> {
        if self.vote == Some(Vote::Back) {
            return self.vote;
        }
        let outcomes: f64 = sums.iter().map(|arms| arms[1].n).sum();
        let (delta, _, _, p) = adjusted_test(sums, counts);
        if self.looks < LOOKS && outcomes >= self.next {
            self.looks += 1;
            // Later looks rest on more: on as many again each time.
            self.next = outcomes + LEAST * f64::from(self.looks);
            if p < LEVEL / f64::from(LOOKS) && delta > LEAST_HARM {
                self.vote = Some(Vote::Back);
            } else if p >= HOLD_P || delta <= LEAST_HARM {
                self.vote = Some(Vote::On);
            }
        }
        // By all that is known now: what has passed a look may look doubtful since.
        if now >= clock && self.vote != Some(Vote::Back) {
            let level = if now < hold.until { HOLD_P } else { hold.after };
            let doubtful = p < level && delta > LEAST_HARM;
            self.vote = Some(if doubtful { Vote::Hold } else { Vote::On });
        }
        self.vote
    }
}
