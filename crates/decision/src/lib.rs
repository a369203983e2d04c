//! The decisions of a milletwing marshal: which server gets a request, and how to vote on a build.
//!
//! `interface` holds the input and output types, `policy` all decision logic. The crate is sans-IO: the host
//! supplies the clock and carries out the actions.

pub mod interface;
pub mod policy;
mod state;
pub mod statistics;

pub use policy::Marshal;
