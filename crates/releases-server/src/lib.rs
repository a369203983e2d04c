//! The gate on a disk and a clock: the thin part around `milletwing-releases`, which decides.
//!
//! `settings` is the operator's file, `journal` what is written before it is told, `host` the thread that owns the
//! engine and tells tables to marshals, `chart` a picture of a plan.

pub mod chart;
pub mod host;
pub mod journal;
pub mod settings;

pub use host::{AdminRequest, Host, SharedRecord};
pub use settings::Settings;
