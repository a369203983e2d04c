//! The release gate of an instance: connects the engine of `milletwing-releases`, which makes all decisions, to the disk,
//! the clock, operators and marshals.
//!
//! - `settings`: the operator's settings file
//! - `journal`: write-ahead storage of the engine's state
//! - `host`: the thread that owns the engine and sends tables to marshals
//! - `chart`: a plan as an SVG chart

pub mod chart;
pub mod host;
pub mod journal;
pub mod settings;

pub use host::{AdminRequest, Host, SharedRecord};
pub use settings::Settings;
