//! Definitions that all programs of the system share. This crate performs no I/O.
//!
//! - [`settings`] is the settings file of a process.
//! - [`configuration`] is the configuration that operators send, and [`difference`] describes what a new one changes.
//! - [`kind`] is the closed list of errors, with the response to each.
//! - [`event`] is the list of numbered log events.

pub mod configuration;
pub mod difference;
pub mod event;
pub mod kind;
pub mod settings;
mod shape;
mod validity;

pub use configuration::Configuration;
pub use difference::Difference;
pub use event::Event;
pub use kind::ErrorKind;
pub use settings::Settings;
