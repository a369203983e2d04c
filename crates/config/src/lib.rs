//! What all programs of the system hold to, without I/O: `settings` is what a process is told, `configuration` what the
//! operator sends, `kind` the closed list of errors with the answer to each, `event` the numbered events of the logs.

pub mod configuration;
pub mod event;
pub mod kind;
pub mod settings;

pub use configuration::Configuration;
pub use event::Event;
pub use kind::Kind;
pub use settings::Settings;
