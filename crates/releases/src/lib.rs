//! Staged releases with dependencies and freezes. No I/O and no clock: time is handed in.
//!
//! `names` is what things are known by, `calendar` when they may not move, `model` what operators describe, `units` what moves
//! together, `check` what is wrong with a model, `planner` an order of steps and why each waits,
//! `engine` the state that goes on through kills and gives the numbered table of what may carry traffic. The engine
//! only narrows: how far a release goes is the decision module's.

pub mod calendar;
pub mod engine;
pub mod model;
pub mod names;
pub mod planner;
pub mod units;
mod validation;

/// Seconds of Unix time.
pub type Time = i64;
