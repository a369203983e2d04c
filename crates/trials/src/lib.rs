//! Trials: failures caused among real instances on loopback, and what becomes of the rules. `demo` is the newcomer's
//! call, `group` several instances under faults drawn from a seed, `judging` what pooled judging gains, `fleet` counts over the logs of hundreds, `releases` the gate
//! of editions under freezes and withdrawals.

pub mod client;
pub mod config;
pub mod day;
pub mod demo;
pub mod faults;
pub mod fleet;
pub mod group;
pub mod judging;
pub mod links;
pub mod measure;
pub mod releases;
pub mod soak;
mod stand_in;
pub mod world;
