//! An instance of the group on real sockets and a real disk: the thin part around `milletwing-group`, which decides.
//!
//! `settings` is the operator's file, `store` the record on disk, `frame` what passes between members, `link` the
//! connections to them, `admin` operators' calls, and `node` the thread that owns the member.

pub mod admin;
pub mod frame;
pub mod link;
pub mod node;
pub mod settings;
pub mod store;

pub use node::{Joiner, Keeping};
pub use settings::Settings;
