//! The test of one paper on two versions of a service, and the votes made of it. `sums` is the test, `exposure` what one
//! proxy shows to the new version, `looks` what it makes of its own evidence, `tally` what the core makes of all proxies'
//! votes and sums. No I/O: time is handed in.

pub mod exposure;
pub mod looks;
pub mod sums;
pub mod tally;

pub use exposure::ExposureBudget;
pub use looks::{HoldPolicy, StageTest, TrialReport, Vote};
pub use sums::{adjusted_test, Sums};
pub use tally::{TrialDecision, TrialTally};

/// Milliseconds of a steady clock that is the user's.
pub type Time = u64;

/// Part of the cap that the coin uses; the rest is room for chance (design: ours).
pub const FILL: f64 = 0.9;
/// A marshal's first milliseconds that give no evidence, from its registration (design: ours).
pub const BURN_IN: Time = 3_000;
/// Milliseconds before a send over which the earlier version's mean score is the covariate (design: ours).
pub const COVARIATE_WINDOW: Time = 1_000;
/// Outcomes of the new version before a look (design: ours).
pub const MIN_N: f64 = 20.0;
/// Looks at a stage (design: ours).
pub const LOOKS: u32 = 3;
/// One-sided level over a stage's looks (design: ours; the paper tests two-sided, once).
pub const ALPHA: f64 = 0.01;
/// Below this p the clock holds (design: ours).
pub const HOLD_P: f64 = 0.1;
/// Below this p what looks doubtful goes no further though its time presses: it goes back at the end (ours).
pub const FINAL_HOLD_P: f64 = 0.05;
/// A surplus of failures below this is left alone: with many outcomes the test finds any difference (ours).
pub const MIN_EFFECT: f64 = 0.015;
/// Classes of requests: repeatable, not repeatable, large answers.
pub const CLASS_COUNT: usize = 3;

/// The cap of each stage, as a part of the service's requests; the first takes safe classes only. The last is all.
pub fn stage_cap(stage: u32, share: f64) -> f64 {
    match stage {
        0 => share,
        1 => (2.5 * share).min(1.0),
        2 => 0.5,
        _ => 1.0,
    }
}

/// The last stage: the new version bears all.
pub const FINAL_STAGE: u32 = 3;

/// Milliseconds from a decision on a stage until the next one is in force at proxies and its evidence comes back.
const STAGE_TRAVEL: Time = 500;

/// Milliseconds that a stage lasts at least, for a roll-out that may take so long.
pub fn min_stage_duration(period_ms: u64) -> Time {
    (period_ms / 12).clamp(500, 2_000)
}

/// When a stage has to move on for those that follow to have their time before a trial's end.
pub fn latest_advance(stage: u32, end: Time, pace: Time) -> Time {
    end.saturating_sub(Time::from(FINAL_STAGE.saturating_sub(stage)) * (pace + STAGE_TRAVEL))
}

/// When a stage may move on without a look: it began then, and the newest marshal of the new version registered then. The
/// first stage waits for marshals that are cold and give no evidence yet (design: 4 s; ours: as the period allows).
pub fn earliest_advance(stage: u32, since: Time, started: Time, pace: Time) -> Time {
    (since + pace).max(started + if stage == 0 { 2 * pace + 1_000 } else { pace })
}
