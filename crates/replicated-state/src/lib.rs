//! The state that the core machines replicate.
//!
//! - [`command`] defines the contents of log entries.
//! - [`view`] is the state machine that applies them; core machines and edges run the same code.
//! - [`pack`] compresses bytes against others that the receiver already has.
//! - [`registry`] turns heartbeats of marshals into log entries.
//!
//! This crate performs no I/O; callers pass the current time.

pub mod command;
pub mod pack;
pub mod registry;
pub mod view;

pub use command::{Command, Deal, Node, Phase, Subject};
pub use registry::{Beat, EdgeHeartbeat, EdgeStatus, Registry};
pub use view::{Outcome, Repair, RollOut, RollOutState, View, ZoneEvacuation};
