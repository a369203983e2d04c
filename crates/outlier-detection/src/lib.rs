//! Outlier detection: edges report in their heartbeats what they observe of hosts, and the control
//! plane combines the reports. No I/O: the caller provides the time.
//!
//! `observed` is the observation of one edge, `board` the latest load that any edge was told for
//! each host, and `tally` decides which hosts are ejected.

pub mod board;
pub mod observed;
pub mod tally;

pub use board::LoadBoard;
pub use observed::{host_key, HostObservation};
pub use tally::{HostAction, KnownHost, OutlierDetector};

/// Milliseconds of a monotonic clock that the caller provides.
pub type Time = u64;
