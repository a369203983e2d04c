//! Detects and repairs drift: an edge whose routing state is not what the core has committed.
//!
//! - [`digest`] summarizes a routing state in a few bytes.
//! - [`check`] compares the digest of an edge with that of the core and classifies the difference.
//! - [`repair`] decides, on the leader of the core, how an edge is repaired.
//!
//! This crate performs no I/O; callers pass the current time.

pub mod check;
pub mod digest;
pub mod repair;

pub use check::{Checker, Finding, Sample, TableDigest};
pub use digest::{Digest, LeafHashes, LeafSink, Part};
pub use repair::{RepairOrder, Repairer, Step};

/// Milliseconds of a monotonic clock of the caller.
pub type Millis = u64;
