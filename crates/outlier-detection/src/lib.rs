//! Outlier detection: edges report in their heartbeats what they observe of hosts, and the control
//! plane combines the reports. No I/O: the caller provides the time.
//!
//! `observation` is what one edge observes of a host, `load_board` holds the latest load that each
//! host has reported to any edge, and `detector` decides which hosts are ejected.

pub mod detector;
pub mod load_board;
pub mod observation;

pub use detector::{HostAction, KnownHost, OutlierDetector};
pub use load_board::LoadBoard;
pub use observation::{host_key, HostObservation};

/// Milliseconds of a monotonic clock that the caller provides.
pub type Time = u64;
