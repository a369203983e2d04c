//! The routing decisions of an edge proxy, without I/O. Requests, attempt outcomes and the current
//! time go in; a marshal to send to, or the kind of a refusal, comes out.
//!
//! `table` finds the route of a request and `tenants` the tenant of its API key. `marshal` holds
//! what is known of one marshal, `budget` limits retries, `trial` tracks a version on trial,
//! `route_traffic` what leads to its service, and `canary` selects the marshals that serve it. `expected_state` exports the state that an edge
//! should have, and `router` combines all of them.

pub mod budget;
pub mod canary;
pub mod expected_state;
pub mod marshal;
pub mod route_traffic;
pub mod router;
pub mod table;
pub mod tenants;
pub mod trial;

pub use marshal::{AttemptOutcome, Load};
pub use router::{Attempt, Location, Probe, RequestHead, RoutedRequest, Router};

/// Milliseconds of a monotonic clock that the caller provides.
pub type Time = u64;
