//! What all programs of the system hold to, without I/O: `settings` is what a process is told, `configuration` what the
//! operator sends, `difference` what one changes,
//! `kind` the closed list of errors with the answer to each, `event` the numbered events of the logs.

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
