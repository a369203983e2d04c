//! A sequential test that compares two versions of a service, and the votes that follow from it. No
//! I/O: the caller provides the time. A look is an interim evaluation of the evidence.
//!
//! `sums` holds the covariate-adjusted test (CUPED), `exposure` limits what one proxy sends to the
//! new version, `stage_test` makes one proxy's vote from its own evidence, `coverage` tells which routes
//! and classes the version has been tried with, and `tally` combines the votes and the evidence of all
//! proxies in the control plane.

pub mod coverage;
pub mod exposure;
pub mod stage_test;
pub mod sums;
pub mod tally;

pub use coverage::{Coverage, OutcomeCount, RouteEvidence};
pub use exposure::{sampling_factor, ExposureBudget, ExposureForecast};
pub use stage_test::{HoldPolicy, StageTest, TrialReport, Vote};
pub use sums::{adjusted_test, Sums};
pub use tally::{TrialDecision, TrialSchedule, TrialTally};

/// Milliseconds of a monotonic clock that the caller provides.
pub type Time = u64;

/// Fraction of the exposure cap that the random assignment aims for; the rest is headroom for
/// random variation.
pub const FILL: f64 = 0.9;
/// Milliseconds after a marshal's registration in which its outcomes do not count as evidence.
pub const BURN_IN: Time = 3_000;
/// Window before a send, in milliseconds, over which the earlier version's mean score is the
/// covariate.
pub const COVARIATE_WINDOW: Time = 1_000;
/// Minimum number of outcomes of the new version before a look.
pub const MIN_N: f64 = 20.0;
/// Maximum number of looks per stage.
pub const LOOKS: u32 = 3;
/// One-sided significance level over the looks of a stage. The CUPED paper uses a single two-sided
/// test.
pub const ALPHA: f64 = 0.01;
/// Below this p-value a stage is held even when its minimum duration is over.
pub const HOLD_P: f64 = 0.1;
/// Below this p-value a stage is held even when its time is running out; the trial then ends with a
/// roll-back.
pub const FINAL_HOLD_P: f64 = 0.05;
/// Differences in the failure rate below this are ignored, because with many outcomes the test
/// finds any difference significant.
pub const MIN_EFFECT: f64 = 0.015;
/// Number of traffic classes: retry-safe, not retry-safe, large responses.
pub const CLASS_COUNT: usize = 3;
/// Index of the class that is not retry-safe.
pub const NOT_RETRY_SAFE_CLASS: usize = 1;

/// Exposure cap of a stage as a fraction of the service's requests. The first stage takes only
/// retry-safe requests; the final stage takes all requests.
pub fn stage_cap(stage: u32, share: f64) -> f64 {
    match stage {
        0 => share,
        1 => (2.5 * share).min(1.0),
        2 => 0.5,
        _ => 1.0,
    }
}

/// The final stage, in which the new version serves all requests.
pub const FINAL_STAGE: u32 = 3;

/// Milliseconds from the decision on a stage until the next one is in force at the proxies and its
/// first evidence is back.
const STAGE_ROUND_TRIP: Time = 500;

/// Minimum duration of a stage in milliseconds, for a roll-out period of `period_ms`.
pub fn min_stage_duration(period_ms: u64) -> Time {
    (period_ms / 12).clamp(500, 2_000)
}

/// Latest time at which a stage must advance so that the following stages can have their minimum
/// duration before the trial ends.
pub fn latest_advance(stage: u32, trial_end: Time, min_duration: Time) -> Time {
    trial_end
        .saturating_sub(Time::from(FINAL_STAGE.saturating_sub(stage)) * (min_duration + STAGE_ROUND_TRIP))
}

/// Latest time at which a stage must have advanced: the minimum durations of the stages that follow would last
/// beyond the trial's end.
pub fn last_advance(stage: u32, trial_end: Time, min_duration: Time) -> Time {
    trial_end.saturating_sub(Time::from(FINAL_STAGE.saturating_sub(stage)) * min_duration)
}

/// Earliest time at which a stage may advance without a look, given the start of the stage and the
/// registration of the new version's newest marshal. The first stage waits longer, for marshals
/// that are cold and give no evidence yet: 4 s in the original design, here scaled with the period.
pub fn earliest_advance(stage: u32, stage_since: Time, newest_registered: Time, min_duration: Time) -> Time {
    (stage_since + min_duration)
        .max(newest_registered + if stage == 0 { 2 * min_duration + 1_000 } else { min_duration })
}
