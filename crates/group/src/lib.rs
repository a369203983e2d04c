//! Several instances, one decision: what a group of instances has committed, and what each may do of it. No I/O, no
//! clock of its own: time is handed in, and what is to be written, sent or called comes out.
//!
//! Consensus (elections, the log, its membership) is the library's. `log` is what it reads, `record` what is
//! committed, `lease` how long a leader may be sure, `grant` what members may expose, `calls` what is said to the
//! platform, and `member` one instance with all of them.

pub mod calls;
pub mod grant;
pub mod lease;
pub mod log;
pub mod member;
pub mod record;

pub use member::{Member, Options, Output};
pub use record::{MemberId, Record};
