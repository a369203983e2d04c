//! The decisions of a milletwing marshal: which server gets a request, and how to vote on a build.
//!
//! `interface` holds the types that go in and out, `policy` every decision. Sans-IO: the host brings the clock.

pub mod interface;
pub mod policy;
mod state;
pub mod statistics;

pub use policy::Marshal;
