//! What an edge decides for each request. No I/O: what arrived, what came of each sending and the time go in; a marshal to
//! send to or the kind of an answer comes out.
//!
//! `table` finds the route, `tenants` whose key a request bears, `marshal` is what is known of one marshal, `budget` counts further tries, `trial` is a version on trial, `canary` which marshals
//! bear its traffic, `intent` what it all should be, and `router` puts them together: pick, try again, or refuse.

pub mod budget;
pub mod canary;
pub mod intent;
pub mod marshal;
pub mod router;
pub mod table;
pub mod tenants;
pub mod trial;

pub use marshal::{Load, Result};
pub use router::{Head, Place, Probe, Router, Sending, Ticket};

/// Milliseconds of a steady clock that is the driver's.
pub type Time = u64;
