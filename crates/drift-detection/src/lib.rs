//! Whether an edge routes by what the core agreed. `digest` is what one routes by, in a few bytes; `check` holds an edge's
//! against the core's own and says what is wrong; `repair` decides, where the core leads, how an edge is brought back. No I/O:
//! time is handed in.

pub mod check;
pub mod digest;
pub mod repair;

pub use check::{Checker, Finding, Sample, TableDigest};
pub use digest::{Digest, LeafHashes, LeafSink, Part};
pub use repair::{RepairOrder, Repairer, Step};

/// Milliseconds of a steady clock that is the user's.
pub type Millis = u64;
