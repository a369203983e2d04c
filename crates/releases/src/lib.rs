//! Staged releases with dependencies and freezes. The crate does no I/O and reads no clock: callers pass the time in.
//!
//! - `names`: identifiers of services, buildings, customers and editions
//! - `calendar`: freezes and exemptions from them
//! - `model`: the operator's description of what is released where; `validation` checks it
//! - `units`: the dependency graph and the editions that must be released together
//! - `planner`: a schedule of all outstanding releases, and the reason for each that can't be scheduled
//! - `engine`: the release state, which survives crashes, and the numbered table of editions that may carry traffic
//!
//! The engine only restricts: how far an edition is rolled out is for the decision module to say.

pub mod calendar;
pub mod engine;
pub mod model;
pub mod names;
pub mod planner;
pub mod units;
mod validation;

/// Seconds of Unix time.
pub type Time = i64;
