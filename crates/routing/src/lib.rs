//! What an edge decides for each request. No I/O: what arrived, what came of each sending and the time go in; a marshal to
//! send to or the kind of an answer comes out.
//!
//! `table` finds the route, `tenants` whose key a request bears, `marshal` is what is known of one marshal, `budget` counts further tries, `trial` is a version on trial, `canary` which marshals
//! bear its traffic, `expected_state` what it all should be, and `router` puts them together: pick, try again, or refuse.

pub mod budget;
pub mod canary;
pub mod expected_state;
pub mod marshal;
pub mod router;
pub mod table;
pub mod tenants;
pub mod trial;

pub use marshal::{AttemptOutcome, Load};
pub use router::{Attempt, Location, Probe, RequestHead, RoutedRequest, Router};

/// Milliseconds of a steady clock that is the driver's.
pub type Time = u64;
